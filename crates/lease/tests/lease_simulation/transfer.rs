//! Transfers of shards when nodes leave and join, and at an operator's request.

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
    let unowned_fraction =
        fleet.unowned_ms / (fleet.simulation.now_ms() - start) / f64::from(SHARDS);
    assert!(
        unowned_fraction < 0.01,
        "unowned fraction of the time: {unowned_fraction}, expected less than 0.01"
    );
    fleet.check().expect("each shard has one owner at a time");
}

/// Guards against a next owner that has to wait until the previous lease expires because all
/// messages of the transfer were lost: the messages are repeated.
#[test]
fn transfer_with_lost_messages_is_repeated() {
    let (mut fleet, owner, shard) = owned_by_non_acceptor(8, InjectedFault::None);
    let to = (3..7)
        .find(|node| *node != owner)
        .expect("another node that is not an acceptor");
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
        "the owner must have given up the shard, and no other node must own it yet"
    );
    for other in &others {
        fleet.apply(&Fault::Restore {
            from: owner,
            to: *other,
        });
    }
    fleet.run(400.0);
    assert_eq!(fleet.owner[usize::from(shard)], Some(to));
    fleet.check().expect("each shard has one owner at a time");
}

#[test]
fn planned_transfer_takes_two_round_trips() {
    let (mut fleet, owner, shard) = owned_by_non_acceptor(8, InjectedFault::None);
    let to = (3..7)
        .find(|node| *node != owner)
        .expect("another node that is not an acceptor");
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
    assert!(
        fleet.unowned_ms < 50.0,
        "the shard was unowned for {} ms, expected less than 50 ms",
        fleet.unowned_ms
    );
    fleet.check().expect("each shard has one owner at a time");
}

/// The recipient of a transfer receives the owner's messages but reaches no acceptor: it owns
/// nothing.
#[test]
fn node_that_reaches_no_acceptor_cannot_own_by_transfer() {
    let (mut fleet, owner, shard) = owned_by_non_acceptor(6, InjectedFault::None);
    let next = (3..7)
        .find(|node| *node != owner)
        .expect("another node that is not an acceptor");
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
    fleet
        .wait_until_owned(0.0)
        .expect("every shard has an owner");
    fleet.check().expect("each shard has one owner at a time");
}

/// A joining node is transferred only the shards whose preferred owner it is, one after another.
#[test]
fn joining_node_receives_only_its_share_of_shards() {
    const MANY_SHARDS: Shard = 128;
    let (mut moved, mut rounds) = (0, 0);
    for seed in 0..4 {
        let mut fleet =
            SimulatedFleet::new(seed, 8, 3, InjectedFault::None).with_shards(MANY_SHARDS);
        fleet.stop_effects();
        let seven_nodes: Vec<_> = (0..7).map(node_id).collect();
        let eight_nodes: Vec<_> = (0..8).map(node_id).collect();
        let set_candidates = |fleet: &mut SimulatedFleet, candidates: &[NodeId]| {
            for node in 0..8 {
                let event = Event::Candidates(candidates, NodeHealth::Healthy);
                fleet
                    .simulation
                    .with(node, |node, now, out| node.handle(now, event, out));
            }
        };
        // For each seed a different node joins.
        let joining_node = 3 + seed as usize;
        let initial_nodes: Vec<_> = eight_nodes
            .iter()
            .copied()
            .filter(|node| *node != node_id(joining_node))
            .collect();
        assert_eq!(initial_nodes.len(), seven_nodes.len());
        (0..8)
            .filter(|node| *node != joining_node)
            .for_each(|node| fleet.start(node));
        fleet.run(100.0);
        set_candidates(&mut fleet, &initial_nodes);
        fleet.run(LEASE_MS + RECOVERY_MS + 60_000.0);
        let before = fleet.owner.clone();
        assert!(before.iter().all(Option::is_some));
        fleet.start(joining_node);
        fleet.run(100.0);
        set_candidates(&mut fleet, &eight_nodes);
        fleet.run(9_000.0);
        assert_eq!(
            fleet.owner, before,
            "no shard must move before the joining node has been preferred for 10 s"
        );
        fleet.run(30_000.0);
        let changed = || {
            before
                .iter()
                .zip(&fleet.owner)
                .filter(|(before, after)| before != after)
        };
        assert!(
            changed().all(|(_, after)| *after == Some(joining_node)),
            "shards must move only to the joining node"
        );
        moved += changed().count();
        rounds += 1;
        fleet.check().expect("each shard has one owner at a time");
    }
    let moved_fraction = moved as f64 / f64::from(rounds) / f64::from(MANY_SHARDS);
    assert!(
        moved_fraction > 0.5 / 8.0 && moved_fraction <= 1.2 / 8.0,
        "about an eighth of the shards must move to the joining node, but got {moved_fraction}"
    );
}
