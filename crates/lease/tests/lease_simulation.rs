//! Leases in virtual time: randomly drawn faults, each hard case by itself, and injected faults that the
//! checkers have to find.

#![allow(
    clippy::needless_for_each,
    clippy::unwrap_used,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

use lease::{
    ConfigurationState, Event, InjectedFault, NodeHealth, NodeId, ReconfigurationError,
    ReconfigurationOutcome, Shard,
};
use simulation::{Clock, Link, Trouble};
use testkit::owners::{id, trial, File, Fleet, AGAIN, LEASE, SHARDS};

#[test]
fn drawn_troubles_never_make_two_owners_and_all_is_owned_after_them() {
    let (mut won, mut refused) = (0, 0);
    for seed in 0..300 {
        let (one_won, one_refused) =
            trial(seed, InjectedFault::None).unwrap_or_else(|error| panic!("{error}"));
        won += one_won;
        refused += one_refused;
    }
    assert!(
        won > 4_000 && refused > 100,
        "the troubles are some: {won} won, {refused} refused"
    );
}

fn cut(fleet: &mut Fleet, one: usize, other: usize) {
    fleet.apply(&Trouble::Cut {
        from: one,
        to: other,
    });
    fleet.apply(&Trouble::Cut {
        from: other,
        to: one,
    });
}

/// Cuts all links of a node's, both ways.
fn cut_off(fleet: &mut Fleet, node: usize) {
    (0..fleet.clocks.len())
        .filter(|other| *other != node)
        .for_each(|other| cut(fleet, node, other));
}

/// A fleet of seven with three keepers in which a node that is no keeper owns a shard, that node, and the shard.
fn owned_by_another(seed: u64, injected_fault: InjectedFault) -> (Fleet, usize, Shard) {
    for seed in seed * 1_000.. {
        let fleet = Fleet::started(seed, 7, 3, injected_fault);
        let found = (0..SHARDS).find_map(|shard| Some((fleet.owner[usize::from(shard)]?, shard)));
        if let Some((owner, shard)) = found.filter(|(owner, _)| *owner >= 3) {
            return (fleet, owner, shard);
        }
    }
    unreachable!("some seed has it")
}

/// An owner is cut off, and all keepers begin anew while its lease lasts.
fn keepers_restart(injected_fault: InjectedFault) -> Result<(), String> {
    for seed in 0..5 {
        let (mut fleet, owner, _) = owned_by_another(seed, injected_fault);
        cut_off(&mut fleet, owner);
        (0..3).for_each(|keeper| {
            fleet.kill(keeper);
            fleet.start(keeper);
        });
        fleet.run(LEASE + AGAIN);
        fleet.judge()?;
        fleet.owned_within(0.0)?;
    }
    Ok(())
}

/// An owner to whom answers are slow is cut off.
fn slow_owner(injected_fault: InjectedFault) -> Result<(), String> {
    for seed in 0..10 {
        let (mut fleet, owner, _) = owned_by_another(seed, injected_fault);
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
        cut_off(&mut fleet, owner);
        fleet.run(LEASE + AGAIN);
        fleet.judge()?;
    }
    Ok(())
}

/// Every process ends, and all begin anew.
fn all_restart(injected_fault: InjectedFault) -> Result<(), String> {
    let mut fleet = Fleet::started(1, 5, 3, injected_fault);
    (0..5).for_each(|node| fleet.kill(node));
    fleet.run(100.0);
    (0..5).for_each(|node| fleet.start(node));
    fleet.run(LEASE);
    if fleet.owner.iter().any(Option::is_some) {
        return Err("owned before all that was granted is over".into());
    }
    fleet.owned_within(AGAIN)?;
    fleet.judge()
}

fn is_found(injected_fault: InjectedFault) {
    let found = (0..300).find_map(|seed| trial(seed, injected_fault).err());
    assert!(found.is_some(), "{injected_fault:?}");
}

#[test]
fn a_keeper_that_grants_right_after_its_start_is_found() {
    keepers_restart(InjectedFault::None).unwrap();
    keepers_restart(InjectedFault::NoQuarantine).unwrap_err();
}

#[test]
fn a_lease_that_is_counted_from_the_answer_is_found() {
    slow_owner(InjectedFault::None).unwrap();
    slow_owner(InjectedFault::LeaseFromResponse).unwrap_err();
}

#[test]
fn numbers_that_go_back_after_all_restarted_are_found() {
    all_restart(InjectedFault::None).unwrap();
    all_restart(InjectedFault::NoTokenFloor).unwrap_err();
}

#[test]
fn a_grant_under_the_same_number_is_found() {
    is_found(InjectedFault::EqualToken);
}

#[test]
fn a_number_that_is_forgotten_is_found() {
    is_found(InjectedFault::ForgottenToken);
}

#[test]
fn a_renewal_after_a_new_grant_is_found() {
    is_found(InjectedFault::StaleRenewal);
}

#[test]
fn an_owner_that_is_stopped_for_any_time_is_replaced_and_never_beside_the_next() {
    for (seed, ms) in [LEASE - 10.0, LEASE, 2.0 * LEASE, 10.0 * LEASE, 60_000.0]
        .into_iter()
        .enumerate()
    {
        // At many points of what it is doing.
        for part in 0..20 {
            let mut fleet = Fleet::started(seed as u64, 7, 3, InjectedFault::None);
            fleet.run(f64::from(part) * 43.0);
            let owner = fleet.owner[0].expect("owned");
            fleet.world.pause(owner, ms);
            fleet.run(ms.min(AGAIN));
            if ms > AGAIN {
                assert!(
                    fleet.owner[0].is_some_and(|now| now != owner),
                    "seed {seed}: replaced"
                );
                fleet.run(ms - AGAIN);
            }
            fleet.run(LEASE);
            fleet.owned_within(AGAIN).unwrap();
            fleet.judge().unwrap();
        }
    }
}

#[test]
fn an_owner_that_is_cut_one_way_is_replaced_in_time() {
    for is_deaf in [true, false] {
        let (mut fleet, owner, shard) = owned_by_another(3, InjectedFault::None);
        for other in (0..7).filter(|other| *other != owner) {
            let (from, to) = if is_deaf {
                (other, owner)
            } else {
                (owner, other)
            };
            fleet.apply(&Trouble::Cut { from, to });
        }
        fleet.run(AGAIN);
        assert!(
            fleet.owner[usize::from(shard)].is_some_and(|now| now != owner),
            "deaf: {is_deaf}"
        );
        fleet.judge().unwrap();
    }
}

#[test]
fn a_majority_is_enough_and_a_minority_is_not() {
    for reached in [1, 2] {
        let (mut fleet, owner, shard) = owned_by_another(5, InjectedFault::None);
        for keeper in reached..3 {
            cut(&mut fleet, owner, keeper);
        }
        fleet.run(3.0 * AGAIN);
        let stays = fleet.owner[usize::from(shard)] == Some(owner);
        assert_eq!(stays, reached == 2, "{reached} of 3 reached");
        assert!(fleet.owner[usize::from(shard)].is_some());
        fleet.judge().unwrap();
    }
}

/// The old owner and the next have but one keeper in common, which decides.
#[test]
fn majorities_that_meet_in_one_keeper_do() {
    for seed in 0..5 {
        let (mut fleet, owner, _) = owned_by_another(seed, InjectedFault::None);
        for other in 3..7 {
            let unheard = if other == owner { 2 } else { 0 };
            cut(&mut fleet, other, unheard);
        }
        fleet.run(20_000.0);
        fleet.world.pause(1, 4_000.0);
        fleet.run(20_000.0);
        fleet.judge().unwrap();
    }
}

#[test]
fn words_that_come_late_doubled_or_not_at_all_make_no_two_owners() {
    for seed in 0..6 {
        let mut fleet = Fleet::started(seed, 7, 5, InjectedFault::None);
        let link = Link {
            twice: 0.3,
            replay: 0.3,
            loss: 0.1,
            jitter_ms: 3_000.0,
            ..Link::default()
        };
        fleet.apply(&Trouble::All { link });
        fleet.run(60_000.0);
        // What is on its way arrives a minute later.
        fleet.apply(&Trouble::All {
            link: Link {
                delay_ms: 60_000.0,
                ..Link::default()
            },
        });
        fleet.run(5_000.0);
        fleet.apply(&Trouble::HealAll);
        fleet.run(70_000.0);
        fleet.owned_within(AGAIN).unwrap();
        fleet.judge().unwrap();
    }
}

#[test]
fn ten_minutes_at_thirty_percent_loss_make_no_two_owners() {
    let mut fleet = Fleet::started(1, 7, 5, InjectedFault::None);
    fleet.apply(&Trouble::All {
        link: Link {
            loss: 0.3,
            ..Link::default()
        },
    });
    fleet.run(600_000.0);
    fleet.owned_within(AGAIN).unwrap();
    fleet.judge().unwrap();
    let part = fleet.without_ms / 600_000.0 / f64::from(SHARDS);
    assert!(part < 0.01, "{part} of the time without an owner");
}

#[test]
fn keepers_that_come_and_go_make_no_two_owners() {
    let mut fleet = Fleet::started(2, 7, 3, InjectedFault::None);
    for _ in 0..30 {
        fleet.kill(1);
        fleet.run(500.0);
        fleet.start(1);
        fleet.run(500.0);
    }
    fleet.owned_within(0.0).expect("two of three are enough");
    (0..2).for_each(|keeper| fleet.world.pause(keeper, 20_000.0));
    fleet.run(LEASE + 100.0);
    assert_eq!(
        fleet.owner.iter().flatten().count(),
        0,
        "no majority, no owner"
    );
    fleet.run(20_000.0 - LEASE);
    fleet.owned_within(AGAIN).unwrap();
    fleet.judge().unwrap();
}

/// Five minutes in which all machines but one stand still, clocks going on.
#[test]
fn a_suspend_ends_every_lease() {
    let mut fleet = Fleet::started(4, 7, 3, InjectedFault::None);
    (1..7).for_each(|node| fleet.world.pause(node, 300_000.0));
    fleet.run(300_000.0 - 10.0);
    assert_eq!(
        fleet.owner.iter().flatten().count(),
        0,
        "who wakes up owns nothing"
    );
    fleet.run(LEASE);
    fleet.owned_within(AGAIN).unwrap();
    fleet.judge().unwrap();
}

#[test]
fn three_hundred_that_ask_at_one_instant_agree_on_one() {
    let mut fleet = Fleet::new(1, 300, 5, InjectedFault::None);
    (0..5).for_each(|keeper| fleet.start(keeper));
    // They may grant, but nobody is told that anything is free.
    fleet.run(LEASE * 1.02);
    (5..300).for_each(|node| fleet.start(node));
    fleet.owned_within(3_000.0).unwrap();
    fleet.run(1_000.0);
    fleet.judge().unwrap();
}

#[test]
fn a_rolling_restart_leaves_hardly_anything_without_an_owner() {
    let mut fleet = Fleet::started(6, 7, 3, InjectedFault::None);
    fleet.without_ms = 0.0;
    let start = fleet.world.now_ms();
    for node in 0..7 {
        fleet
            .world
            .with(node, |node, now, out| node.act(now, Event::Leave, out));
        fleet.run(200.0);
        fleet.kill(node);
        fleet.run(300.0);
        fleet.start(node);
        fleet.run(4_500.0);
    }
    let part = fleet.without_ms / (fleet.world.now_ms() - start) / f64::from(SHARDS);
    assert!(part < 0.01, "{part} of the time without an owner");
    fleet.judge().unwrap();
}

/// Word of a move is lost, to everybody: it is said again, so that nobody has to wait for the lease's end.
#[test]
fn a_move_of_which_all_word_is_lost_is_said_again() {
    let (mut fleet, owner, shard) = owned_by_another(8, InjectedFault::None);
    let to = (3..7).find(|node| *node != owner).expect("another");
    fleet.world.with(owner, |node, now, out| {
        node.act(now, Event::TransferShard { shard, to: id(to) }, out);
    });
    // The offer has come, and the answer is on its way.
    fleet.run(0.9);
    let others: Vec<_> = (0..7).filter(|other| *other != owner).collect();
    others.iter().for_each(|other| {
        fleet.apply(&Trouble::Cut {
            from: owner,
            to: *other,
        });
    });
    fleet.run(100.0);
    assert_eq!(
        fleet.owner[usize::from(shard)],
        None,
        "it has let go, and nobody knows"
    );
    others.iter().for_each(|other| {
        fleet.apply(&Trouble::Mend {
            from: owner,
            to: *other,
        });
    });
    fleet.run(400.0);
    assert_eq!(fleet.owner[usize::from(shard)], Some(to));
    fleet.judge().unwrap();
}

#[test]
fn a_planned_move_takes_two_round_trips() {
    let (mut fleet, owner, shard) = owned_by_another(8, InjectedFault::None);
    let to = (3..7).find(|node| *node != owner).expect("another");
    fleet.without_ms = 0.0;
    fleet.world.with(owner, |node, now, out| {
        node.act(now, Event::TransferShard { shard, to: id(to) }, out);
    });
    fleet.run(200.0);
    assert_eq!(fleet.owner[usize::from(shard)], Some(to));
    assert!(
        fleet.without_ms < 50.0,
        "{} ms without an owner",
        fleet.without_ms
    );
    fleet.judge().unwrap();
}

/// Five nodes; keepers go from `0 1 2` to `0 1 3` by files that are changed and read again in every order.
#[test]
fn keepers_change_by_reload_in_every_order() {
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
        let mut fleet = Fleet::started(at as u64, 5, 3, InjectedFault::None);
        let next = fleet.files[0].next(&[0, 1, 3]);
        let before = fleet.highest();
        fleet.without_ms = 0.0;
        for (step, node) in order.iter().enumerate() {
            fleet.files[*node] = next.clone();
            assert_eq!(fleet.reload(*node), Ok(ReconfigurationOutcome::Started));
            fleet.run(700.0);
            // One that crashes in the midst starts with what its file says by then.
            if step == at % 5 {
                let crashed = order[at / 5 % 5];
                fleet.kill(crashed);
                fleet.run(300.0);
                fleet.start(crashed);
            }
        }
        fleet.run(3.0 * LEASE);
        fleet.owned_within(0.0).unwrap();
        assert!(
            (0..5).all(|node| fleet.configuration(node)
                == Some(ConfigurationState {
                    number: 2,
                    is_settled: true
                })),
            "order {order:?}"
        );
        assert!(fleet.highest() > before);
        let part = fleet.without_ms / (fleet.world.now_ms() - 7_500.0) / f64::from(SHARDS);
        assert!(
            part < 0.4,
            "order {order:?}: {part} of the time without an owner"
        );
        // The one that keeps no more is not needed any more.
        fleet.kill(2);
        fleet.kill(0);
        fleet.run(LEASE + AGAIN);
        fleet.owned_within(0.0).unwrap();
        fleet.judge().unwrap();
    }
}

/// The old majority `0 2` and the new one `1 3` do not meet: neither side may own what the other does.
fn two_sides(injected_fault: InjectedFault) -> Result<(), String> {
    for seed in 0..10 {
        let mut fleet = Fleet::started(seed, 7, 3, injected_fault);
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
        fleet.run(4.0 * LEASE);
        fleet.judge()?;
        let owners: Vec<_> = fleet.owner.iter().flatten().copied().collect();
        assert!(
            owners.len() == 4 && owners.iter().all(|owner| side(*owner)),
            "the old set decides: {owners:?}"
        );
        // One that starts there knows nothing of how far the change is, and finds out from the others.
        fleet.kill(5);
        fleet.start(5);
        fleet.apply(&Trouble::HealAll);
        (0..7).filter(|node| side(*node)).for_each(|node| {
            fleet.files[node] = next.clone();
            assert_eq!(fleet.reload(node), Ok(ReconfigurationOutcome::Started));
        });
        fleet.run(LEASE + AGAIN);
        fleet.owned_within(0.0).unwrap();
        assert!((0..7).all(|node| fleet.configuration(node)
            == Some(ConfigurationState {
                number: 2,
                is_settled: true
            })));
        fleet.judge()?;
    }
    Ok(())
}

#[test]
fn majorities_of_two_sets_that_do_not_meet_own_nothing_twice() {
    two_sides(InjectedFault::None).unwrap();
    two_sides(InjectedFault::NoJointQuorum).unwrap_err();
}

#[test]
fn steps_that_are_not_safe_are_refused() {
    let mut fleet = Fleet::started(1, 5, 3, InjectedFault::None);
    let next = fleet.files[0].next(&[0, 1, 3]);
    let after = next.next(&[0, 3, 4]);
    let mut refused = |file: &File, why: ReconfigurationError| {
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
        &File {
            before: vec![],
            ..next.clone()
        },
        ReconfigurationError::PreviousMismatch,
    );
    refused(
        &File {
            before: vec![0, 1, 4],
            ..next.clone()
        },
        ReconfigurationError::PreviousMismatch,
    );
    refused(
        &File {
            set: 1,
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
        "the first set may still decide"
    );
    for node in 1..5 {
        fleet.files[node] = next.clone();
        assert_eq!(fleet.reload(node), Ok(ReconfigurationOutcome::Started));
    }
    fleet.run(2.0 * LEASE);
    assert_eq!(
        fleet.reload(0),
        Ok(ReconfigurationOutcome::Started),
        "now it may follow"
    );
    fleet.judge().unwrap();
}

/// Between two changes all keepers end at once and start with the later file: nobody owns by what nobody knows.
#[test]
fn a_change_that_nobody_remembers_owns_nothing() {
    let mut fleet = Fleet::started(3, 5, 3, InjectedFault::None);
    let next = fleet.files[0].next(&[0, 1, 3]);
    (0..5).for_each(|node| fleet.kill(node));
    (0..5).for_each(|node| {
        fleet.files[node] = next.clone();
        fleet.start(node);
    });
    fleet.run(5.0 * LEASE);
    assert_eq!(fleet.owner.iter().flatten().count(), 0);
    assert!((0..5).all(|node| fleet.configuration(node)
        == Some(ConfigurationState {
            number: 2,
            is_settled: false
        })));
    // Who operates it says that no earlier set is left.
    (0..5).for_each(|node| fleet.kill(node));
    fleet.run(LEASE);
    (0..5).for_each(|node| {
        fleet.files[node].before.clear();
        fleet.start(node);
    });
    fleet.run(LEASE);
    fleet.owned_within(AGAIN).unwrap();
    fleet.judge().unwrap();
}

/// All keepers end while every wall clock is set back by an hour: with a disk numbers go on, without one they go back, which
/// the page says.
#[test]
fn numbers_that_are_written_down_outlive_any_clock() {
    for with_disks in [true, false] {
        let mut fleet = Fleet::new(4, 5, 3, InjectedFault::None);
        fleet.with_disks = with_disks;
        fleet.run(7_200_000.0);
        (0..5).for_each(|node| fleet.start(node));
        fleet.run(LEASE + AGAIN);
        fleet.owned_within(0.0).unwrap();
        let before = fleet.highest();
        (0..5).for_each(|node| fleet.kill(node));
        fleet.wall_back_ms = 3_600_000;
        (0..5).for_each(|node| fleet.start(node));
        fleet.run(LEASE + AGAIN);
        fleet.owned_within(0.0).unwrap();
        assert_eq!(fleet.judge().is_ok(), with_disks, "{before:?} before");
    }
}

/// What an owner said before it was stopped arrives after the next one's word, and is dropped.
#[test]
fn word_of_an_old_owner_is_dropped_by_whoever_heard_a_later_one() {
    let mut stale = 0;
    for seed in 0..20 {
        let (mut fleet, owner, _) = owned_by_another(seed, InjectedFault::None);
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
        fleet.run(2.0 * LEASE);
        fleet.world.pause(owner, 10_000.0);
        fleet.run(20_000.0);
        fleet.judge().unwrap();
        assert!(fleet.effects() > 100);
        stale += fleet.stale();
    }
    assert!(stale > 10, "{stale} dropped");
}

/// The next owner hears the old one but no keepers: it does not own.
#[test]
fn who_reaches_the_old_owner_but_no_keepers_owns_nothing() {
    let (mut fleet, owner, shard) = owned_by_another(6, InjectedFault::None);
    let next = (3..7).find(|node| *node != owner).expect("another");
    (0..3).for_each(|keeper| cut(&mut fleet, next, keeper));
    fleet.world.with(owner, |node, now, out| {
        node.act(
            now,
            Event::TransferShard {
                shard,
                to: id(next),
            },
            out,
        );
    });
    fleet.world.pause(owner, 30_000.0);
    for _ in 0..30 {
        fleet.run(1_000.0);
        assert_ne!(fleet.owner[usize::from(shard)], Some(next));
    }
    fleet.run(AGAIN);
    fleet.owned_within(0.0).unwrap();
    fleet.judge().unwrap();
}

/// Why the clock counts suspends: by one that stands still an owner would wake up with its lease.
#[test]
fn a_clock_that_stands_still_in_suspend_would_break_it() {
    for stands_still in [false, true] {
        let (mut fleet, owner, _) = owned_by_another(9, InjectedFault::None);
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
        // Right before it goes on: whoever is told of it gives it back what it should have.
        fleet.run(0.5);
        assert_eq!(fleet.judge().is_err(), stands_still);
    }
}

/// One that joins takes what it should have and nothing else, one shard after the other.
#[test]
fn a_node_that_joins_moves_its_share_alone() {
    const MANY: Shard = 128;
    let (mut moved, mut rounds) = (0, 0);
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, 8, 3, InjectedFault::None).with_shards(MANY);
        fleet.be_quiet();
        let seven: Vec<_> = (0..7).map(id).collect();
        let eight: Vec<_> = (0..8).map(id).collect();
        let tell = |fleet: &mut Fleet, candidates: &[NodeId]| {
            (0..8).for_each(|node| {
                let event = Event::Candidates(candidates, NodeHealth::Healthy);
                fleet
                    .world
                    .with(node, |node, now, out| node.act(now, event, out));
            });
        };
        // Another one joins each time.
        let new = 3 + seed as usize;
        let others: Vec<_> = eight
            .iter()
            .copied()
            .filter(|node| *node != id(new))
            .collect();
        assert_eq!(others.len(), seven.len());
        (0..8)
            .filter(|node| *node != new)
            .for_each(|node| fleet.start(node));
        fleet.run(100.0);
        tell(&mut fleet, &others);
        fleet.run(LEASE + AGAIN + 60_000.0);
        let before = fleet.owner.clone();
        assert!(before.iter().all(Option::is_some));
        fleet.start(new);
        fleet.run(100.0);
        tell(&mut fleet, &eight);
        fleet.run(9_000.0);
        assert_eq!(
            fleet.owner, before,
            "nothing moves before it has been there for 10 s"
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
            "to it alone"
        );
        moved += changed().count();
        rounds += 1;
        fleet.judge().unwrap();
    }
    let part = moved as f64 / f64::from(rounds) / f64::from(MANY);
    assert!(part > 0.5 / 8.0 && part <= 1.2 / 8.0, "{part} moved");
}
