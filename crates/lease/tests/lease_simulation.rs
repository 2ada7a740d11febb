//! Leases in virtual time: randomly drawn faults, each hard case by itself, and injected faults that the
//! checkers have to find.

use lease::{
    ConfigurationState, Event, InjectedFault, NodeHealth, NodeId, ReconfigurationError,
    ReconfigurationOutcome, Shard,
};
use simulation::{Clock, Link, Trouble};
use testkit::lease_simulation::{
    node_id, run_trial, AcceptorFile, OwnershipError, SimulatedFleet, Violation, LEASE_MS,
    RECOVERY_MS, SHARDS,
};

#[test]
fn random_faults_never_make_two_owners_and_all_is_owned_after_them() {
    let (mut acquired, mut rejected) = (0, 0);
    for seed in 0..300 {
        let outcome =
            run_trial(seed, InjectedFault::None).unwrap_or_else(|error| panic!("{error}"));
        acquired += outcome.acquired;
        rejected += outcome.rejected_effects;
    }
    assert!(
        acquired > 4_000 && rejected > 100,
        "the faults have effects: {acquired} acquired, {rejected} rejected"
    );
}

fn partition(fleet: &mut SimulatedFleet, one: usize, other: usize) {
    fleet.apply(&Trouble::Cut {
        from: one,
        to: other,
    });
    fleet.apply(&Trouble::Cut {
        from: other,
        to: one,
    });
}

/// Cuts all links of a node, in both directions.
fn isolate(fleet: &mut SimulatedFleet, node: usize) {
    (0..fleet.clocks.len())
        .filter(|other| *other != node)
        .for_each(|other| partition(fleet, node, other));
}

/// A fleet of seven with three acceptors in which a node that is no acceptor owns a shard; that node and
/// the shard.
fn owned_by_non_acceptor(
    seed: u64,
    injected_fault: InjectedFault,
) -> (SimulatedFleet, usize, Shard) {
    for seed in seed * 1_000.. {
        let fleet = SimulatedFleet::started(seed, 7, 3, injected_fault);
        let found = (0..SHARDS).find_map(|shard| Some((fleet.owner[usize::from(shard)]?, shard)));
        if let Some((owner, shard)) = found.filter(|(owner, _)| *owner >= 3) {
            return (fleet, owner, shard);
        }
    }
    unreachable!("some seed places a shard so")
}

/// An owner is isolated, and all acceptors restart while its lease is valid.
fn restart_all_acceptors(injected_fault: InjectedFault) -> Result<(), OwnershipError> {
    for seed in 0..5 {
        let (mut fleet, owner, _) = owned_by_non_acceptor(seed, injected_fault);
        isolate(&mut fleet, owner);
        for acceptor in 0..3 {
            fleet.kill(acceptor);
            fleet.start(acceptor);
        }
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.check()?;
        fleet.wait_until_owned(0.0)?;
    }
    Ok(())
}

/// An owner that receives responses late is isolated.
fn partition_owner_with_slow_responses(
    injected_fault: InjectedFault,
) -> Result<(), OwnershipError> {
    for seed in 0..10 {
        let (mut fleet, owner, _) = owned_by_non_acceptor(seed, injected_fault);
        let slow = Link {
            delay_ms: 580.0,
            ..Link::default()
        };
        for other in (0..7).filter(|other| *other != owner) {
            fleet.apply(&Trouble::Link {
                from: other,
                to: owner,
                link: slow.clone(),
            });
        }
        fleet.run(10_000.0);
        isolate(&mut fleet, owner);
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.check()?;
    }
    Ok(())
}

/// All processes end, and all nodes restart.
fn restart_all_nodes(injected_fault: InjectedFault) -> Result<(), OwnershipError> {
    let mut fleet = SimulatedFleet::started(1, 5, 3, injected_fault);
    for node in 0..5 {
        fleet.kill(node);
    }
    fleet.run(100.0);
    for node in 0..5 {
        fleet.start(node);
    }
    fleet.run(LEASE_MS);
    if fleet.owner.iter().any(Option::is_some) {
        return Err(fleet.error(Violation::OwnedDuringQuarantine));
    }
    fleet.wait_until_owned(RECOVERY_MS)?;
    fleet.check()
}

fn assert_detected(injected_fault: InjectedFault) {
    let found = (0..300).find_map(|seed| run_trial(seed, injected_fault).err());
    assert!(found.is_some(), "{injected_fault:?}");
}

#[test]
fn missing_quarantine_is_detected() {
    restart_all_acceptors(InjectedFault::None).expect("no fault");
    restart_all_acceptors(InjectedFault::NoQuarantine).expect_err("the fault is detected");
}

#[test]
fn lease_counted_from_the_response_is_detected() {
    partition_owner_with_slow_responses(InjectedFault::None).expect("no fault");
    partition_owner_with_slow_responses(InjectedFault::LeaseFromResponse)
        .expect_err("the fault is detected");
}

#[test]
fn missing_token_floor_is_detected() {
    restart_all_nodes(InjectedFault::None).expect("no fault");
    restart_all_nodes(InjectedFault::NoTokenFloor).expect_err("the fault is detected");
}

#[test]
fn grant_of_an_equal_token_is_detected() {
    assert_detected(InjectedFault::EqualToken);
}

#[test]
fn forgotten_token_is_detected() {
    assert_detected(InjectedFault::ForgottenToken);
}

#[test]
fn stale_renewal_is_detected() {
    assert_detected(InjectedFault::StaleRenewal);
}

#[test]
fn paused_owner_is_replaced_and_never_overlaps_its_successor() {
    for (seed, ms) in [
        LEASE_MS - 10.0,
        LEASE_MS,
        2.0 * LEASE_MS,
        10.0 * LEASE_MS,
        60_000.0,
    ]
    .into_iter()
    .enumerate()
    {
        // At many phases of its lease.
        for part in 0..20 {
            let mut fleet = SimulatedFleet::started(seed as u64, 7, 3, InjectedFault::None);
            fleet.run(f64::from(part) * 43.0);
            let owner = fleet.owner[0].expect("owned");
            fleet.world.pause(owner, ms);
            fleet.run(ms.min(RECOVERY_MS));
            if ms > RECOVERY_MS {
                assert!(
                    fleet.owner[0].is_some_and(|now| now != owner),
                    "seed {seed}: replaced"
                );
                fleet.run(ms - RECOVERY_MS);
            }
            fleet.run(LEASE_MS);
            fleet
                .wait_until_owned(RECOVERY_MS)
                .expect("all is owned again");
            fleet.check().expect("one owner at a time");
        }
    }
}

#[test]
fn owner_behind_one_way_partition_is_replaced_in_time() {
    for is_receiving_cut in [true, false] {
        let (mut fleet, owner, shard) = owned_by_non_acceptor(3, InjectedFault::None);
        for other in (0..7).filter(|other| *other != owner) {
            let (from, to) = if is_receiving_cut {
                (other, owner)
            } else {
                (owner, other)
            };
            fleet.apply(&Trouble::Cut { from, to });
        }
        fleet.run(RECOVERY_MS);
        assert!(
            fleet.owner[usize::from(shard)].is_some_and(|now| now != owner),
            "receiving cut: {is_receiving_cut}"
        );
        fleet.check().expect("one owner at a time");
    }
}

#[test]
fn owner_keeps_shard_with_majority_and_loses_it_with_minority() {
    for reached in [1, 2] {
        let (mut fleet, owner, shard) = owned_by_non_acceptor(5, InjectedFault::None);
        for acceptor in reached..3 {
            partition(&mut fleet, owner, acceptor);
        }
        fleet.run(3.0 * RECOVERY_MS);
        let stays = fleet.owner[usize::from(shard)] == Some(owner);
        assert_eq!(stays, reached == 2, "{reached} of 3 reached");
        assert!(fleet.owner[usize::from(shard)].is_some());
        fleet.check().expect("one owner at a time");
    }
}

/// The majorities of the owner and its successor have only one acceptor in common, which decides.
#[test]
fn majorities_sharing_one_acceptor_never_grant_twice() {
    for seed in 0..5 {
        let (mut fleet, owner, _) = owned_by_non_acceptor(seed, InjectedFault::None);
        for other in 3..7 {
            let unheard = if other == owner { 2 } else { 0 };
            partition(&mut fleet, other, unheard);
        }
        fleet.run(20_000.0);
        fleet.world.pause(1, 4_000.0);
        fleet.run(20_000.0);
        fleet.check().expect("one owner at a time");
    }
}

#[test]
fn delayed_duplicated_or_lost_messages_make_no_two_owners() {
    for seed in 0..6 {
        let mut fleet = SimulatedFleet::started(seed, 7, 5, InjectedFault::None);
        let link = Link {
            twice: 0.3,
            replay: 0.3,
            loss: 0.1,
            jitter_ms: 3_000.0,
            ..Link::default()
        };
        fleet.apply(&Trouble::All { link });
        fleet.run(60_000.0);
        // Messages in flight arrive a minute later.
        fleet.apply(&Trouble::All {
            link: Link {
                delay_ms: 60_000.0,
                ..Link::default()
            },
        });
        fleet.run(5_000.0);
        fleet.apply(&Trouble::HealAll);
        fleet.run(70_000.0);
        fleet
            .wait_until_owned(RECOVERY_MS)
            .expect("all is owned again");
        fleet.check().expect("one owner at a time");
    }
}

#[test]
fn thirty_percent_loss_for_ten_minutes_makes_no_two_owners() {
    let mut fleet = SimulatedFleet::started(1, 7, 5, InjectedFault::None);
    fleet.apply(&Trouble::All {
        link: Link {
            loss: 0.3,
            ..Link::default()
        },
    });
    fleet.run(600_000.0);
    fleet
        .wait_until_owned(RECOVERY_MS)
        .expect("all is owned again");
    fleet.check().expect("one owner at a time");
    let part = fleet.unowned_ms / 600_000.0 / f64::from(SHARDS);
    assert!(part < 0.01, "{part} of the time unowned");
}

#[test]
fn restarting_acceptors_make_no_two_owners() {
    let mut fleet = SimulatedFleet::started(2, 7, 3, InjectedFault::None);
    for _ in 0..30 {
        fleet.kill(1);
        fleet.run(500.0);
        fleet.start(1);
        fleet.run(500.0);
    }
    fleet
        .wait_until_owned(0.0)
        .expect("two of three are enough");
    (0..2).for_each(|acceptor| fleet.world.pause(acceptor, 20_000.0));
    fleet.run(LEASE_MS + 100.0);
    assert_eq!(
        fleet.owner.iter().flatten().count(),
        0,
        "without a majority there is no owner"
    );
    fleet.run(20_000.0 - LEASE_MS);
    fleet
        .wait_until_owned(RECOVERY_MS)
        .expect("all is owned again");
    fleet.check().expect("one owner at a time");
}

/// All machines but one are suspended for five minutes; their clocks include that time.
#[test]
fn suspended_machines_own_nothing_when_they_wake() {
    let mut fleet = SimulatedFleet::started(4, 7, 3, InjectedFault::None);
    (1..7).for_each(|node| fleet.world.pause(node, 300_000.0));
    fleet.run(300_000.0 - 10.0);
    assert_eq!(
        fleet.owner.iter().flatten().count(),
        0,
        "a node that wakes owns nothing"
    );
    fleet.run(LEASE_MS);
    fleet
        .wait_until_owned(RECOVERY_MS)
        .expect("all is owned again");
    fleet.check().expect("one owner at a time");
}

#[test]
fn three_hundred_simultaneous_claimants_agree_on_one_owner() {
    let mut fleet = SimulatedFleet::new(1, 300, 5, InjectedFault::None);
    for acceptor in 0..5 {
        fleet.start(acceptor);
    }
    // They grant from now on, but no node knows yet that any shard is free.
    fleet.run(LEASE_MS * 1.02);
    for node in 5..300 {
        fleet.start(node);
    }
    fleet.wait_until_owned(3_000.0).expect("all is owned");
    fleet.run(1_000.0);
    fleet.check().expect("one owner at a time");
}

#[test]
fn rolling_restart_leaves_shards_unowned_below_one_percent() {
    let mut fleet = SimulatedFleet::started(6, 7, 3, InjectedFault::None);
    fleet.unowned_ms = 0.0;
    let start = fleet.world.now_ms();
    for node in 0..7 {
        fleet
            .world
            .with(node, |node, now, out| node.handle(now, Event::Leave, out));
        fleet.run(200.0);
        fleet.kill(node);
        fleet.run(300.0);
        fleet.start(node);
        fleet.run(4_500.0);
    }
    let part = fleet.unowned_ms / (fleet.world.now_ms() - start) / f64::from(SHARDS);
    assert!(part < 0.01, "{part} of the time unowned");
    fleet.check().expect("one owner at a time");
}

/// All messages of a transfer are lost: they are repeated, so that no node has to wait until the lease
/// expires.
#[test]
fn transfer_whose_messages_are_lost_is_repeated() {
    let (mut fleet, owner, shard) = owned_by_non_acceptor(8, InjectedFault::None);
    let to = (3..7).find(|node| *node != owner).expect("another");
    fleet.world.with(owner, |node, now, out| {
        node.handle(
            now,
            Event::TransferShard {
                shard,
                to: node_id(to),
            },
            out,
        );
    });
    // The offer has arrived, and its acceptance is in flight.
    fleet.run(0.9);
    let others: Vec<_> = (0..7).filter(|other| *other != owner).collect();
    for other in &others {
        fleet.apply(&Trouble::Cut {
            from: owner,
            to: *other,
        });
    }
    fleet.run(100.0);
    assert_eq!(
        fleet.owner[usize::from(shard)],
        None,
        "the owner has given it up, and no other node knows"
    );
    for other in &others {
        fleet.apply(&Trouble::Mend {
            from: owner,
            to: *other,
        });
    }
    fleet.run(400.0);
    assert_eq!(fleet.owner[usize::from(shard)], Some(to));
    fleet.check().expect("one owner at a time");
}

#[test]
fn planned_transfer_takes_two_round_trips() {
    let (mut fleet, owner, shard) = owned_by_non_acceptor(8, InjectedFault::None);
    let to = (3..7).find(|node| *node != owner).expect("another");
    fleet.unowned_ms = 0.0;
    fleet.world.with(owner, |node, now, out| {
        node.handle(
            now,
            Event::TransferShard {
                shard,
                to: node_id(to),
            },
            out,
        );
    });
    fleet.run(200.0);
    assert_eq!(fleet.owner[usize::from(shard)], Some(to));
    assert!(fleet.unowned_ms < 50.0, "{} ms unowned", fleet.unowned_ms);
    fleet.check().expect("one owner at a time");
}

/// Five nodes; the acceptors change from `0 1 2` to `0 1 3` by files that are reloaded in every order.
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
        let part = fleet.unowned_ms / (fleet.world.now_ms() - 7_500.0) / f64::from(SHARDS);
        assert!(part < 0.4, "order {order:?}: {part} of the time unowned");
        // The node that is no acceptor any more is not needed.
        fleet.kill(2);
        fleet.kill(0);
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.wait_until_owned(0.0).expect("all is owned");
        fleet.check().expect("one owner at a time");
    }
}

/// The old majority `0 2` and the new one `1 3` are disjoint: neither side of a partition may own what the
/// other owns.
fn reconfigure_one_side_of_a_partition(
    injected_fault: InjectedFault,
) -> Result<(), OwnershipError> {
    for seed in 0..10 {
        let mut fleet = SimulatedFleet::started(seed, 7, 3, injected_fault);
        let side = |node: usize| [0, 2, 4].contains(&node);
        for (from, to) in (0..7).flat_map(|from| (0..7).map(move |to| (from, to))) {
            if side(from) != side(to) {
                fleet.apply(&Trouble::Cut { from, to });
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
        // A node that starts there does not know how far the reconfiguration is, and learns it from the others.
        fleet.kill(5);
        fleet.start(5);
        fleet.apply(&Trouble::HealAll);
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

/// During a reconfiguration all nodes end at once and start with the new file: no node knows how far it
/// was, so nothing is owned.
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

/// All nodes restart with their wall clocks set back by an hour: with fence files tokens go on, without
/// them they go back, as the design page says.
#[test]
fn reserved_tokens_rise_despite_wall_clock_set_back() {
    for has_fence_files in [true, false] {
        let mut fleet = SimulatedFleet::new(4, 5, 3, InjectedFault::None);
        fleet.has_fence_files = has_fence_files;
        fleet.run(7_200_000.0);
        for node in 0..5 {
            fleet.start(node);
        }
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.wait_until_owned(0.0).expect("all is owned");
        let before = fleet.highest_token();
        for node in 0..5 {
            fleet.kill(node);
        }
        fleet.wall_clock_setback_ms = 3_600_000;
        for node in 0..5 {
            fleet.start(node);
        }
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.wait_until_owned(0.0).expect("all is owned");
        assert_eq!(fleet.check().is_ok(), has_fence_files, "{before:?} before");
    }
}

/// An effect of an owner that arrives after one of its successor is dropped.
#[test]
fn effect_of_a_former_owner_is_dropped_after_a_later_one() {
    let mut stale = 0;
    for seed in 0..20 {
        let (mut fleet, owner, _) = owned_by_non_acceptor(seed, InjectedFault::None);
        let slow = Link {
            delay_ms: 8_000.0,
            ..Link::default()
        };
        for other in (0..7).filter(|other| *other != owner) {
            fleet.apply(&Trouble::Link {
                from: owner,
                to: other,
                link: slow.clone(),
            });
        }
        fleet.run(2.0 * LEASE_MS);
        fleet.world.pause(owner, 10_000.0);
        fleet.run(20_000.0);
        fleet.check().expect("one owner at a time");
        assert!(fleet.accepted_effects() > 100);
        stale += fleet.stale_effects();
    }
    assert!(stale > 10, "{stale} dropped");
}

/// The recipient of a transfer receives the owner's messages but reaches no acceptor: it owns nothing.
#[test]
fn node_that_reaches_no_acceptor_cannot_accept_a_transfer() {
    let (mut fleet, owner, shard) = owned_by_non_acceptor(6, InjectedFault::None);
    let next = (3..7).find(|node| *node != owner).expect("another");
    (0..3).for_each(|acceptor| partition(&mut fleet, next, acceptor));
    fleet.world.with(owner, |node, now, out| {
        node.handle(
            now,
            Event::TransferShard {
                shard,
                to: node_id(next),
            },
            out,
        );
    });
    fleet.world.pause(owner, 30_000.0);
    for _ in 0..30 {
        fleet.run(1_000.0);
        assert_ne!(fleet.owner[usize::from(shard)], Some(next));
    }
    fleet.run(RECOVERY_MS);
    fleet.wait_until_owned(0.0).expect("all is owned");
    fleet.check().expect("one owner at a time");
}

/// Why the clock includes suspend time: by one that does not an owner would wake with its lease valid.
#[test]
fn clock_that_omits_suspend_time_makes_two_owners() {
    for stands_still in [false, true] {
        let (mut fleet, owner, _) = owned_by_non_acceptor(9, InjectedFault::None);
        fleet.world.pause(owner, 300_000.0);
        fleet.run(300_000.0 - 1.0);
        if stands_still {
            let clock = fleet.clocks[owner];
            fleet.world.set_clock(
                owner,
                Clock {
                    offset_ms: clock.offset_ms - 300_000.0 * (1.0 + clock.drift),
                    ..clock
                },
            );
        }
        // Right before it resumes: events that it handles then would expire the lease.
        fleet.run(0.5);
        assert_eq!(fleet.check().is_err(), stands_still);
    }
}

/// A joining node is transferred the shards that prefer it and no others, one after another.
#[test]
fn joining_node_receives_only_its_share_of_shards() {
    const MANY: Shard = 128;
    let (mut moved, mut rounds) = (0, 0);
    for seed in 0..4 {
        let mut fleet = SimulatedFleet::new(seed, 8, 3, InjectedFault::None).with_shards(MANY);
        fleet.stop_effects();
        let seven: Vec<_> = (0..7).map(node_id).collect();
        let eight: Vec<_> = (0..8).map(node_id).collect();
        let tell = |fleet: &mut SimulatedFleet, candidates: &[NodeId]| {
            for node in 0..8 {
                let event = Event::Candidates(candidates, NodeHealth::Healthy);
                fleet
                    .world
                    .with(node, |node, now, out| node.handle(now, event, out));
            }
        };
        // Another node joins each time.
        let new = 3 + seed as usize;
        let others: Vec<_> = eight
            .iter()
            .copied()
            .filter(|node| *node != node_id(new))
            .collect();
        assert_eq!(others.len(), seven.len());
        (0..8)
            .filter(|node| *node != new)
            .for_each(|node| fleet.start(node));
        fleet.run(100.0);
        tell(&mut fleet, &others);
        fleet.run(LEASE_MS + RECOVERY_MS + 60_000.0);
        let before = fleet.owner.clone();
        assert!(before.iter().all(Option::is_some));
        fleet.start(new);
        fleet.run(100.0);
        tell(&mut fleet, &eight);
        fleet.run(9_000.0);
        assert_eq!(
            fleet.owner, before,
            "nothing moves before the node has been preferred for 10 s"
        );
        fleet.run(30_000.0);
        let changed = || {
            before
                .iter()
                .zip(&fleet.owner)
                .filter(|(before, after)| before != after)
        };
        assert!(
            changed().all(|(_, after)| *after == Some(new)),
            "shards move only to the joining node"
        );
        moved += changed().count();
        rounds += 1;
        fleet.check().expect("one owner at a time");
    }
    let part = moved as f64 / f64::from(rounds) / f64::from(MANY);
    assert!(part > 0.5 / 8.0 && part <= 1.2 / 8.0, "{part} moved");
}
