//! Replacement of the acceptors of a running cluster.

use lease::{ConfigurationState, InjectedFault, ReconfigurationError, ReconfigurationOutcome};
use simulation::Fault;
use testkit::lease_simulation::{
    AcceptorFile, OwnershipError, SimulatedFleet, LEASE_MS, RECOVERY_MS, SHARDS,
};

/// Five nodes replace the acceptors `0 1 2` by `0 1 3`: they reload their files in every order.
#[test]
fn reconfiguration_in_every_reload_order_settles() {
    let mut orders = vec![vec![]];
    for _ in 0..5 {
        let extended = |order: &Vec<usize>| {
            (0..5)
                .filter(|node| !order.contains(node))
                .map(|node| [&order[..], &[node]].concat())
                .collect::<Vec<_>>()
        };
        orders = orders.iter().flat_map(extended).collect();
    }
    assert_eq!(orders.len(), 120);
    for (index, order) in orders.iter().enumerate() {
        let mut fleet = SimulatedFleet::started(index as u64, 5, 3, InjectedFault::None);
        let next = fleet.files[0].next(&[0, 1, 3]);
        let before = fleet.highest_token();
        fleet.unowned_ms = 0.0;
        for (step, node) in order.iter().enumerate() {
            fleet.files[*node] = next.clone();
            assert_eq!(fleet.reload(*node), Ok(ReconfigurationOutcome::Started));
            fleet.run(700.0);
            // One node crashes during the reconfiguration and restarts with its current file.
            if step == index % 5 {
                let crashed = order[index / 5 % 5];
                fleet.kill(crashed);
                fleet.run(300.0);
                fleet.start(crashed);
            }
        }
        fleet.run(3.0 * LEASE_MS);
        fleet
            .wait_until_owned(0.0)
            .expect("every shard has an owner");
        assert!(
            (0..5).all(|node| fleet.configuration(node)
                == Some(ConfigurationState {
                    number: 2,
                    is_settled: true
                })),
            "order {order:?}: every node must have settled configuration 2"
        );
        assert!(fleet.highest_token() > before);
        let unowned_fraction =
            fleet.unowned_ms / (fleet.simulation.now_ms() - 7_500.0) / f64::from(SHARDS);
        assert!(
            unowned_fraction < 0.4,
            "order {order:?}: unowned fraction of the time: {unowned_fraction}"
        );
        // Two of the new acceptors are a majority: node 2 is no longer an acceptor.
        fleet.kill(2);
        fleet.kill(0);
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet
            .wait_until_owned(0.0)
            .expect("every shard has an owner");
        fleet.check().expect("each shard has one owner at a time");
    }
}

/// The old majority `0 2` and the new majority `1 3` are disjoint: the two sides of a partition
/// must not own the same shard.
fn reconfigure_one_side_of_a_partition(
    injected_fault: InjectedFault,
) -> Result<(), OwnershipError> {
    for seed in 0..10 {
        let mut fleet = SimulatedFleet::started(seed, 7, 3, injected_fault);
        let is_old_side = |node: usize| [0, 2, 4].contains(&node);
        for (from, to) in (0..7).flat_map(|from| (0..7).map(move |to| (from, to))) {
            if is_old_side(from) != is_old_side(to) {
                fleet.apply(&Fault::Cut { from, to });
            }
        }
        let next = fleet.files[0].next(&[0, 1, 3]);
        for node in (0..7).filter(|node| !is_old_side(*node)) {
            fleet.files[node] = next.clone();
            assert_eq!(fleet.reload(node), Ok(ReconfigurationOutcome::Started));
        }
        fleet.run(4.0 * LEASE_MS);
        fleet.check()?;
        let owners: Vec<_> = fleet.owner.iter().flatten().copied().collect();
        assert!(
            owners.len() == 4 && owners.iter().all(|owner| is_old_side(*owner)),
            "the side with the old majority must own all shards, but the owners are {owners:?}"
        );
        // A node that starts on the new side does not know the phase of the reconfiguration, until
        // other nodes report it.
        fleet.kill(5);
        fleet.start(5);
        fleet.apply(&Fault::HealAll);
        (0..7).filter(|node| is_old_side(*node)).for_each(|node| {
            fleet.files[node] = next.clone();
            assert_eq!(fleet.reload(node), Ok(ReconfigurationOutcome::Started));
        });
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet
            .wait_until_owned(0.0)
            .expect("every shard has an owner");
        assert!((0..7).all(|node| fleet.configuration(node)
            == Some(ConfigurationState {
                number: 2,
                is_settled: true
            })));
        fleet.check()?;
    }
    Ok(())
}

#[test]
fn disjoint_majorities_of_two_configurations_never_own_twice() {
    reconfigure_one_side_of_a_partition(InjectedFault::None)
        .expect("no violation without the fault");
    reconfigure_one_side_of_a_partition(InjectedFault::NoJointQuorum)
        .expect_err("the fault is detected");
}

#[test]
fn unsafe_reconfiguration_is_rejected() {
    let mut fleet = SimulatedFleet::started(1, 5, 3, InjectedFault::None);
    let next = fleet.files[0].next(&[0, 1, 3]);
    let after = next.next(&[0, 3, 4]);
    let mut assert_rejected = |file: &AcceptorFile, error: ReconfigurationError| {
        fleet.files[0] = file.clone();
        assert_eq!(fleet.reload(0), Err(error));
    };
    assert_rejected(
        &after,
        ReconfigurationError::NotConsecutive {
            current: 1,
            requested: 3,
        },
    );
    assert_rejected(
        &AcceptorFile {
            previous_acceptors: vec![],
            ..next.clone()
        },
        ReconfigurationError::PreviousMismatch,
    );
    assert_rejected(
        &AcceptorFile {
            previous_acceptors: vec![0, 1, 4],
            ..next.clone()
        },
        ReconfigurationError::PreviousMismatch,
    );
    assert_rejected(
        &AcceptorFile {
            number: 1,
            ..next.clone()
        },
        ReconfigurationError::NumberInUse(1),
    );
    fleet.files[0] = next.clone();
    assert_eq!(
        (fleet.reload(0), fleet.reload(0)),
        (
            Ok(ReconfigurationOutcome::Started),
            Ok(ReconfigurationOutcome::Unchanged)
        )
    );
    fleet.run(100.0);
    fleet.files[0] = after.clone();
    assert_eq!(
        fleet.reload(0),
        Err(ReconfigurationError::NotSettled(2)),
        "a reconfiguration must be rejected while the first configuration may still decide"
    );
    for node in 1..5 {
        fleet.files[node] = next.clone();
        assert_eq!(fleet.reload(node), Ok(ReconfigurationOutcome::Started));
    }
    fleet.run(2.0 * LEASE_MS);
    assert_eq!(
        fleet.reload(0),
        Ok(ReconfigurationOutcome::Started),
        "the next reconfiguration must be accepted once the second configuration is settled"
    );
    fleet.check().expect("each shard has one owner at a time");
}

/// During a reconfiguration all nodes end at once and restart with the new file: no node knows the
/// phase of the reconfiguration, so no shard is owned.
#[test]
fn restart_of_all_nodes_in_reconfiguration_owns_nothing() {
    let mut fleet = SimulatedFleet::started(3, 5, 3, InjectedFault::None);
    let next = fleet.files[0].next(&[0, 1, 3]);
    for node in 0..5 {
        fleet.kill(node);
    }
    for node in 0..5 {
        fleet.files[node] = next.clone();
        fleet.start(node);
    }
    fleet.run(5.0 * LEASE_MS);
    assert_eq!(fleet.owner.iter().flatten().count(), 0);
    assert!((0..5).all(|node| fleet.configuration(node)
        == Some(ConfigurationState {
            number: 2,
            is_settled: false
        })));
    // Without previous acceptors the files state that no earlier configuration is in use.
    for node in 0..5 {
        fleet.kill(node);
    }
    fleet.run(LEASE_MS);
    for node in 0..5 {
        fleet.files[node].previous_acceptors.clear();
        fleet.start(node);
    }
    fleet.run(LEASE_MS);
    fleet
        .wait_until_owned(RECOVERY_MS)
        .expect("every shard has an owner again");
    fleet.check().expect("each shard has one owner at a time");
}
