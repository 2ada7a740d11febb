//! Starts, kills, restarts and name conflicts.

use gossip::{Event, Health, LogEvent, State};
use testkit::nodes::Fleet;

use crate::{assert_none_declared_dead, run_until_dead_to_all, DETECTION_MS, REFUTATION_MS};

#[test]
fn started_cluster_agrees_and_detects_kill_restart_and_leave() {
    for (seed, nodes) in [(1, 2), (2, 3), (3, 5), (4, 9), (5, 30)] {
        let mut fleet = Fleet::new(seed, nodes);
        fleet.start_all(1_000.0);
        fleet.agree_within(3_000.0);
        fleet.run(3_000.0);
        assert!((0..nodes).all(|node| fleet.health(node) == Health::Well));
        let before = fleet.world.now_ms();
        fleet.run(60_000.0);
        assert_none_declared_dead(&fleet, before);
        if nodes == 2 {
            continue; // One node alone cannot tell its own partition from the death of the other.
        }
        fleet.kill(0);
        run_until_dead_to_all(&mut fleet, 0, DETECTION_MS);
        fleet.start(0);
        fleet.agree_within(REFUTATION_MS);
        fleet
            .world
            .with(0, |node, now, out| node.act(now, Event::Leave, out));
        fleet.kill(0);
        fleet.run(500.0);
        assert!(
            (1..nodes).all(|of| fleet.state(of, 0) == Some(State::Left)),
            "it has left"
        );
    }
}

#[test]
fn three_hundred_nodes_agree_after_mass_start_and_mass_kill() {
    let mut fleet = Fleet::new(7, 300);
    fleet.start_all(1_000.0);
    fleet.agree_within(15_000.0);
    let before = fleet.world.now_ms();
    fleet.run(10_000.0);
    assert_none_declared_dead(&fleet, before);
    (0..300)
        .filter(|node| node % 10 < 7)
        .for_each(|node| fleet.kill(node));
    fleet.agree_within(60_000.0);
    (0..300)
        .filter(|node| node % 10 < 7)
        .for_each(|node| fleet.start(node));
    fleet.agree_within(15_000.0);
}

#[test]
fn repeatedly_restarted_node_affects_no_other() {
    let mut fleet = Fleet::started(3, 7);
    let before = fleet.world.now_ms();
    for _ in 0..10 {
        fleet.kill(2);
        fleet.run(500.0);
        fleet.start(2);
        fleet.run(5_500.0);
    }
    fleet.agree_within(REFUTATION_MS);
    assert!(fleet
        .gone_since(before)
        .iter()
        .all(|(_, _, name)| name == "n2"));
}

/// A clock that is set back between two processes makes the incarnation of the later one lower.
#[test]
fn new_process_with_earlier_clock_supersedes_old_one() {
    let mut fleet = Fleet::started(4, 5);
    fleet.run(30_000.0);
    let later = fleet.view(0)["n2"].1;
    fleet.kill(2);
    fleet.run(8_000.0);
    assert_eq!(fleet.state(0, 2), Some(State::Dead));
    fleet.start_born(2, later - 500);
    fleet.agree_within(REFUTATION_MS);
    assert!(fleet.view(0)["n2"].1 > later);
}

#[test]
fn two_processes_with_one_name_log_conflict_and_affect_no_other() {
    let mut fleet = Fleet::started(5, 6);
    fleet.run(20_000.0);
    fleet.names[5] = "n1".into();
    fleet.kill(5);
    fleet.run(8_000.0);
    let before = fleet.world.now_ms();
    fleet.start(5);
    fleet.run(60_000.0);
    for node in [1, 5] {
        let log_events = fleet.log_events(node);
        assert!(
            log_events
                .iter()
                .any(|event| matches!(event, LogEvent::NameConflict { .. })),
            "n{node}: {log_events:?}"
        );
    }
    for of in [0, 2, 3, 4] {
        let view = fleet.view(of);
        assert!(
            ["n0", "n1", "n2", "n3", "n4"]
                .iter()
                .all(|name| view[*name].0 == State::Alive),
            "{view:?}"
        );
    }
    assert!(fleet
        .gone_since(before)
        .iter()
        .all(|(_, _, name)| name == "n1"));
    assert!(
        fleet.gone_since(before + 20_000.0).is_empty(),
        "the conflict settles"
    );
}
