//! Paused and restarted nodes, partitions, message faults and clocks.

use lease::InjectedFault;
use simulation::{Clock, Fault, Link};
use testkit::lease_simulation::{SimulatedFleet, LEASE_MS, RECOVERY_MS, SHARDS};

use crate::{owned_by_non_acceptor, partition};

#[test]
fn paused_owner_is_replaced_and_never_overlaps_its_successor() {
    for (seed, pause_ms) in [
        LEASE_MS - 10.0,
        LEASE_MS,
        2.0 * LEASE_MS,
        10.0 * LEASE_MS,
        60_000.0,
    ]
    .into_iter()
    .enumerate()
    {
        // The pause begins at 20 times, 43 ms apart, which cover a renewal interval.
        for phase in 0..20 {
            let mut fleet = SimulatedFleet::started(seed as u64, 7, 3, InjectedFault::None);
            fleet.run(f64::from(phase) * 43.0);
            let owner = fleet.owner[0].expect("shard 0 has an owner");
            fleet.simulation.pause(owner, pause_ms);
            fleet.run(pause_ms.min(RECOVERY_MS));
            if pause_ms > RECOVERY_MS {
                assert!(
                    fleet.owner[0].is_some_and(|current| current != owner),
                    "seed {seed}: the paused owner must be replaced"
                );
                fleet.run(pause_ms - RECOVERY_MS);
            }
            fleet.run(LEASE_MS);
            fleet
                .wait_until_owned(RECOVERY_MS)
                .expect("every shard has an owner again");
            fleet.check().expect("each shard has one owner at a time");
        }
    }
}

#[test]
fn owner_behind_one_way_partition_is_replaced_in_time() {
    for is_incoming_cut in [true, false] {
        let (mut fleet, owner, shard) = owned_by_non_acceptor(3, InjectedFault::None);
        for other in (0..7).filter(|other| *other != owner) {
            let (from, to) = if is_incoming_cut {
                (other, owner)
            } else {
                (owner, other)
            };
            fleet.apply(&Fault::Cut { from, to });
        }
        fleet.run(RECOVERY_MS);
        assert!(
            fleet.owner[usize::from(shard)].is_some_and(|current| current != owner),
            "the owner must be replaced; incoming links cut: {is_incoming_cut}"
        );
        fleet.check().expect("each shard has one owner at a time");
    }
}

#[test]
fn owner_keeps_shard_with_majority_and_loses_it_with_minority() {
    for reachable in [1, 2] {
        let (mut fleet, owner, shard) = owned_by_non_acceptor(5, InjectedFault::None);
        for acceptor in reachable..3 {
            partition(&mut fleet, owner, acceptor);
        }
        fleet.run(3.0 * RECOVERY_MS);
        let is_kept = fleet.owner[usize::from(shard)] == Some(owner);
        assert_eq!(
            is_kept,
            reachable == 2,
            "the owner must keep the shard only with a majority; it reaches {reachable} of 3"
        );
        assert!(fleet.owner[usize::from(shard)].is_some());
        fleet.check().expect("each shard has one owner at a time");
    }
}

/// The majorities of the owner and its successor have only one acceptor in common, which decides.
#[test]
fn majorities_sharing_one_acceptor_never_grant_twice() {
    for seed in 0..5 {
        let (mut fleet, owner, _) = owned_by_non_acceptor(seed, InjectedFault::None);
        for other in 3..7 {
            let unreachable_acceptor = if other == owner { 2 } else { 0 };
            partition(&mut fleet, other, unreachable_acceptor);
        }
        fleet.run(20_000.0);
        fleet.simulation.pause(1, 4_000.0);
        fleet.run(20_000.0);
        fleet.check().expect("each shard has one owner at a time");
    }
}

#[test]
fn delayed_duplicated_or_lost_messages_cause_no_two_owners() {
    for seed in 0..6 {
        let mut fleet = SimulatedFleet::started(seed, 7, 5, InjectedFault::None);
        let link = Link {
            duplication: 0.3,
            replay: 0.3,
            loss: 0.1,
            jitter_ms: 3_000.0,
            ..Link::default()
        };
        fleet.apply(&Fault::AllLinks { link });
        fleet.run(60_000.0);
        // Messages that are sent during the next 5 s arrive a minute later.
        fleet.apply(&Fault::AllLinks {
            link: Link {
                delay_ms: 60_000.0,
                ..Link::default()
            },
        });
        fleet.run(5_000.0);
        fleet.apply(&Fault::HealAll);
        fleet.run(70_000.0);
        fleet
            .wait_until_owned(RECOVERY_MS)
            .expect("every shard has an owner again");
        fleet.check().expect("each shard has one owner at a time");
    }
}

#[test]
fn thirty_percent_loss_for_ten_minutes_causes_no_two_owners() {
    let mut fleet = SimulatedFleet::started(1, 7, 5, InjectedFault::None);
    fleet.apply(&Fault::AllLinks {
        link: Link {
            loss: 0.3,
            ..Link::default()
        },
    });
    fleet.run(600_000.0);
    fleet
        .wait_until_owned(RECOVERY_MS)
        .expect("every shard has an owner again");
    fleet.check().expect("each shard has one owner at a time");
    let unowned_fraction = fleet.unowned_ms / 600_000.0 / f64::from(SHARDS);
    assert!(
        unowned_fraction < 0.01,
        "unowned fraction of the time: {unowned_fraction}, expected less than 0.01"
    );
}

#[test]
fn restarting_acceptors_cause_no_two_owners() {
    let mut fleet = SimulatedFleet::started(2, 7, 3, InjectedFault::None);
    for _ in 0..30 {
        fleet.kill(1);
        fleet.run(500.0);
        fleet.start(1);
        fleet.run(500.0);
    }
    fleet
        .wait_until_owned(0.0)
        .expect("two of three acceptors are a majority");
    (0..2).for_each(|acceptor| fleet.simulation.pause(acceptor, 20_000.0));
    fleet.run(LEASE_MS + 100.0);
    assert_eq!(
        fleet.owner.iter().flatten().count(),
        0,
        "without a majority of acceptors no shard must have an owner"
    );
    fleet.run(20_000.0 - LEASE_MS);
    fleet
        .wait_until_owned(RECOVERY_MS)
        .expect("every shard has an owner again");
    fleet.check().expect("each shard has one owner at a time");
}

/// All machines but one are suspended for five minutes; their clocks include that time.
#[test]
fn suspended_machines_own_nothing_when_they_resume() {
    let mut fleet = SimulatedFleet::started(4, 7, 3, InjectedFault::None);
    (1..7).for_each(|node| fleet.simulation.pause(node, 300_000.0));
    fleet.run(300_000.0 - 10.0);
    assert_eq!(
        fleet.owner.iter().flatten().count(),
        0,
        "a machine must own nothing right before it resumes"
    );
    fleet.run(LEASE_MS);
    fleet
        .wait_until_owned(RECOVERY_MS)
        .expect("every shard has an owner again");
    fleet.check().expect("each shard has one owner at a time");
}

#[test]
fn shards_claimed_by_three_hundred_nodes_have_one_owner() {
    let mut fleet = SimulatedFleet::new(1, 300, 5, InjectedFault::None);
    for acceptor in 0..5 {
        fleet.start(acceptor);
    }
    // Ends shortly after the acceptors' quarantine, so that the other nodes compete for the shards.
    fleet.run(LEASE_MS * 1.02);
    for node in 5..300 {
        fleet.start(node);
    }
    fleet
        .wait_until_owned(3_000.0)
        .expect("every shard has an owner");
    fleet.run(1_000.0);
    fleet.check().expect("each shard has one owner at a time");
}

/// All nodes restart with their wall clocks set back by an hour. With fence files the tokens
/// continue to rise; without them the tokens fall, which is a documented limitation.
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
        fleet
            .wait_until_owned(0.0)
            .expect("every shard has an owner");
        let highest_before = fleet.highest_token();
        for node in 0..5 {
            fleet.kill(node);
        }
        fleet.wall_clock_setback_ms = 3_600_000;
        for node in 0..5 {
            fleet.start(node);
        }
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet
            .wait_until_owned(0.0)
            .expect("every shard has an owner");
        assert_eq!(
            fleet.check().is_ok(),
            has_fence_files,
            "tokens must continue to rise above {highest_before:?} only with fence files"
        );
    }
}

/// An effect of a former owner that arrives after one of its successor is dropped.
#[test]
fn late_effect_of_a_former_owner_is_dropped() {
    let mut stale_effects = 0;
    for seed in 0..20 {
        let (mut fleet, owner, _) = owned_by_non_acceptor(seed, InjectedFault::None);
        let slow_link = Link {
            delay_ms: 8_000.0,
            ..Link::default()
        };
        for other in (0..7).filter(|other| *other != owner) {
            fleet.apply(&Fault::Link {
                from: owner,
                to: other,
                link: slow_link.clone(),
            });
        }
        fleet.run(2.0 * LEASE_MS);
        fleet.simulation.pause(owner, 10_000.0);
        fleet.run(20_000.0);
        fleet.check().expect("each shard has one owner at a time");
        assert!(fleet.accepted_effects() > 100);
        stale_effects += fleet.stale_effects();
    }
    assert!(
        stale_effects > 10,
        "more than 10 effects must be dropped, but got {stale_effects}"
    );
}

/// The reason why the clock includes suspend time: by a clock that omits it, an owner would resume
/// with a valid lease.
#[test]
fn clock_that_omits_suspend_time_causes_two_owners() {
    for omits_suspend_time in [false, true] {
        let (mut fleet, owner, _) = owned_by_non_acceptor(9, InjectedFault::None);
        fleet.simulation.pause(owner, 300_000.0);
        fleet.run(300_000.0 - 1.0);
        if omits_suspend_time {
            let clock = fleet.clocks[owner];
            fleet.simulation.set_clock(
                owner,
                Clock {
                    offset_ms: clock.offset_ms - 300_000.0 * (1.0 + clock.drift),
                    ..clock
                },
            );
        }
        // Checked right before the owner resumes, as events that it handles then expire the
        // lease.
        fleet.run(0.5);
        assert_eq!(fleet.check().is_err(), omits_suspend_time);
    }
}
