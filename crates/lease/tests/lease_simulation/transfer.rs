//! Shards that move: when nodes leave and join, and when an owner is told to transfer.

use lease::{Event, InjectedFault, NodeHealth, NodeId, Shard};
use simulation::Fault;
use testkit::lease_simulation::{node_id, SimulatedFleet, LEASE_MS, RECOVERY_MS, SHARDS};

use crate::{owned_by_non_acceptor, partition};

#[test]
fn rolling_restart_leaves_shards_unowned_below_one_percent() {
    let mut fleet = SimulatedFleet::started(6, 7, 3, InjectedFault::None);
    fleet.unowned_ms = 0.0;
    let start = fleet.simulation.now_ms();
    for node in 0..7 {
        fleet
            .simulation
            .with(node, |node, now, out| node.handle(now, Event::Leave, out));
        fleet.run(200.0);
        fleet.kill(node);
        fleet.run(300.0);
        fleet.start(node);
        fleet.run(4_500.0);
    }
    let part = fleet.unowned_ms / (fleet.simulation.now_ms() - start) / f64::from(SHARDS);
    assert!(part < 0.01, "{part} of the time unowned");
    fleet.check().expect("one owner at a time");
}

/// All messages of a transfer are lost: they are repeated, so that no node has to wait until the
/// lease expires.
#[test]
fn transfer_whose_messages_are_lost_is_repeated() {
    let (mut fleet, owner, shard) = owned_by_non_acceptor(8, InjectedFault::None);
    let to = (3..7).find(|node| *node != owner).expect("another");
    fleet.simulation.with(owner, |node, now, out| {
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
        fleet.apply(&Fault::Cut {
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
        fleet.apply(&Fault::Restore {
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
    fleet.simulation.with(owner, |node, now, out| {
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

/// The recipient of a transfer receives the owner's messages but reaches no acceptor: it owns
/// nothing.
#[test]
fn node_that_reaches_no_acceptor_cannot_accept_a_transfer() {
    let (mut fleet, owner, shard) = owned_by_non_acceptor(6, InjectedFault::None);
    let next = (3..7).find(|node| *node != owner).expect("another");
    (0..3).for_each(|acceptor| partition(&mut fleet, next, acceptor));
    fleet.simulation.with(owner, |node, now, out| {
        node.handle(
            now,
            Event::TransferShard {
                shard,
                to: node_id(next),
            },
            out,
        );
    });
    fleet.simulation.pause(owner, 30_000.0);
    for _ in 0..30 {
        fleet.run(1_000.0);
        assert_ne!(fleet.owner[usize::from(shard)], Some(next));
    }
    fleet.run(RECOVERY_MS);
    fleet.wait_until_owned(0.0).expect("all is owned");
    fleet.check().expect("one owner at a time");
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
        let set_candidates = |fleet: &mut SimulatedFleet, candidates: &[NodeId]| {
            for node in 0..8 {
                let event = Event::Candidates(candidates, NodeHealth::Healthy);
                fleet
                    .simulation
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
        set_candidates(&mut fleet, &others);
        fleet.run(LEASE_MS + RECOVERY_MS + 60_000.0);
        let before = fleet.owner.clone();
        assert!(before.iter().all(Option::is_some));
        fleet.start(new);
        fleet.run(100.0);
        set_candidates(&mut fleet, &eight);
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
