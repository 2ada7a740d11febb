//! Replacing the acceptors of a running fleet.

use lease::{ConfigurationState, InjectedFault, ReconfigurationError, ReconfigurationOutcome};
use simulation::Fault;
use testkit::lease_simulation::{
    AcceptorFile, OwnershipError, SimulatedFleet, LEASE_MS, RECOVERY_MS, SHARDS,
};

/// Five nodes; the acceptors change from `0 1 2` to `0 1 3` by files that are reloaded in every
/// order.
#[test]
fn reconfiguration_in_every_reload_order_settles() {
    let mut orders = vec![vec![]];
    for _ in 0..5 {
        let longer = |order: &Vec<usize>| {
            (0..5)
                .filter(|node| !order.contains(node))
                .map(|node| [&order[..], &[node]].concat())
                .collect::<Vec<_>>()
        };
        orders = orders.iter().flat_map(longer).collect();
    }
    assert_eq!(orders.len(), 120);
    for (at, order) in orders.iter().enumerate() {
        let mut fleet = SimulatedFleet::started(at as u64, 5, 3, InjectedFault::None);
        let next = fleet.files[0].next(&[0, 1, 3]);
        let before = fleet.highest_token();
        fleet.unowned_ms = 0.0;
        for (step, node) in order.iter().enumerate() {
            fleet.files[*node] = next.clone();
            assert_eq!(fleet.reload(*node), Ok(ReconfigurationOutcome::Started));
            fleet.run(700.0);
            // A node that crashes meanwhile starts with what its file says by then.
            if step == at % 5 {
                let crashed = order[at / 5 % 5];
                fleet.kill(crashed);
                fleet.run(300.0);
                fleet.start(crashed);
            }
        }
        fleet.run(3.0 * LEASE_MS);
        fleet.wait_until_owned(0.0).expect("all is owned");
        assert!(
            (0..5).all(|node| fleet.configuration(node)
                == Some(ConfigurationState {
                    number: 2,
                    is_settled: true
                })),
            "order {order:?}"
        );
        assert!(fleet.highest_token() > before);
        let part = fleet.unowned_ms / (fleet.simulation.now_ms() - 7_500.0) / f64::from(SHARDS);
        assert!(part < 0.4, "order {order:?}: {part} of the time unowned");
        // The node that is no acceptor any more is not needed.
        fleet.kill(2);
        fleet.kill(0);
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.wait_until_owned(0.0).expect("all is owned");
        fleet.check().expect("one owner at a time");
    }
}

/// The old majority `0 2` and the new one `1 3` are disjoint: neither side of a partition may own
/// what the other owns.
fn reconfigure_one_side_of_a_partition(
    injected_fault: InjectedFault,
) -> Result<(), OwnershipError> {
    for seed in 0..10 {
        let mut fleet = SimulatedFleet::started(seed, 7, 3, injected_fault);
        let side = |node: usize| [0, 2, 4].contains(&node);
        for (from, to) in (0..7).flat_map(|from| (0..7).map(move |to| (from, to))) {
            if side(from) != side(to) {
                fleet.apply(&Fault::Cut { from, to });
            }
        }
        let next = fleet.files[0].next(&[0, 1, 3]);
        for node in (0..7).filter(|node| !side(*node)) {
            fleet.files[node] = next.clone();
            assert_eq!(fleet.reload(node), Ok(ReconfigurationOutcome::Started));
        }
        fleet.run(4.0 * LEASE_MS);
        fleet.check()?;
        let owners: Vec<_> = fleet.owner.iter().flatten().copied().collect();
        assert!(
            owners.len() == 4 && owners.iter().all(|owner| side(*owner)),
            "the old configuration decides: {owners:?}"
        );
        // A node that starts there does not know how far the reconfiguration is, and learns it from
        // the others.
        fleet.kill(5);
        fleet.start(5);
        fleet.apply(&Fault::HealAll);
        (0..7).filter(|node| side(*node)).for_each(|node| {
            fleet.files[node] = next.clone();
            assert_eq!(fleet.reload(node), Ok(ReconfigurationOutcome::Started));
        });
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.wait_until_owned(0.0).expect("all is owned");
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
    reconfigure_one_side_of_a_partition(InjectedFault::None).expect("no fault");
    reconfigure_one_side_of_a_partition(InjectedFault::NoJointQuorum)
        .expect_err("the fault is detected");
}

#[test]
fn unsafe_reconfiguration_is_rejected() {
    let mut fleet = SimulatedFleet::started(1, 5, 3, InjectedFault::None);
    let next = fleet.files[0].next(&[0, 1, 3]);
    let after = next.next(&[0, 3, 4]);
    let mut refused = |file: &AcceptorFile, why: ReconfigurationError| {
        fleet.files[0] = file.clone();
        assert_eq!(fleet.reload(0), Err(why));
    };
    refused(
        &after,
        ReconfigurationError::NotNext {
            current: 1,
            requested: 3,
        },
    );
    refused(
        &AcceptorFile {
            previous_acceptors: vec![],
            ..next.clone()
        },
        ReconfigurationError::PreviousMismatch,
    );
    refused(
        &AcceptorFile {
            previous_acceptors: vec![0, 1, 4],
            ..next.clone()
        },
        ReconfigurationError::PreviousMismatch,
    );
    refused(
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
        "the first configuration may still decide"
    );
    for node in 1..5 {
        fleet.files[node] = next.clone();
        assert_eq!(fleet.reload(node), Ok(ReconfigurationOutcome::Started));
    }
    fleet.run(2.0 * LEASE_MS);
    assert_eq!(
        fleet.reload(0),
        Ok(ReconfigurationOutcome::Started),
        "now the next one may follow"
    );
    fleet.check().expect("one owner at a time");
}

/// During a reconfiguration all nodes end at once and start with the new file: no node knows how
/// far it was, so nothing is owned.
#[test]
fn reconfiguration_forgotten_by_all_leaves_nothing_owned() {
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
    // The operators state that no earlier configuration is in use.
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
        .expect("all is owned again");
    fleet.check().expect("one owner at a time");
}
