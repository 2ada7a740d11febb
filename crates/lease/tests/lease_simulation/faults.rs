//! Paused and restarted nodes, partitions, message faults and clocks.

use lease::InjectedFault;
use simulation::{Clock, Fault, Link};
use testkit::lease_simulation::{SimulatedFleet, LEASE_MS, RECOVERY_MS, SHARDS};

use crate::{owned_by_non_acceptor, partition};

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
            fleet.simulation.pause(owner, ms);
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
            fleet.apply(&Fault::Cut { from, to });
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
        fleet.simulation.pause(1, 4_000.0);
        fleet.run(20_000.0);
        fleet.check().expect("one owner at a time");
    }
}

#[test]
fn delayed_duplicated_or_lost_messages_make_no_two_owners() {
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
        // Messages in flight arrive a minute later.
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
            .expect("all is owned again");
        fleet.check().expect("one owner at a time");
    }
}

#[test]
fn thirty_percent_loss_for_ten_minutes_makes_no_two_owners() {
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
    (0..2).for_each(|acceptor| fleet.simulation.pause(acceptor, 20_000.0));
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
    (1..7).for_each(|node| fleet.simulation.pause(node, 300_000.0));
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

/// All nodes restart with their wall clocks set back by an hour: with fence files tokens go on,
/// without them they go back, as the design page says.
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
            fleet.apply(&Fault::Link {
                from: owner,
                to: other,
                link: slow.clone(),
            });
        }
        fleet.run(2.0 * LEASE_MS);
        fleet.simulation.pause(owner, 10_000.0);
        fleet.run(20_000.0);
        fleet.check().expect("one owner at a time");
        assert!(fleet.accepted_effects() > 100);
        stale += fleet.stale_effects();
    }
    assert!(stale > 10, "{stale} dropped");
}

/// Why the clock includes suspend time: by one that does not an owner would wake with its lease
/// valid.
#[test]
fn clock_that_omits_suspend_time_makes_two_owners() {
    for stands_still in [false, true] {
        let (mut fleet, owner, _) = owned_by_non_acceptor(9, InjectedFault::None);
        fleet.simulation.pause(owner, 300_000.0);
        fleet.run(300_000.0 - 1.0);
        if stands_still {
            let clock = fleet.clocks[owner];
            fleet.simulation.set_clock(
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
