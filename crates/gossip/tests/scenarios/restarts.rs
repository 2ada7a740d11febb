//! Starts, kills, restarts and name conflicts.

use gossip::{Event, Health, LogEvent, State};
use testkit::nodes::VirtualCluster;

use crate::{assert_none_declared_dead, run_until_dead_to_all, DETECTION_MS, REFUTATION_MS};

#[test]
fn started_cluster_agrees_and_detects_kill_restart_and_leave() {
    for (seed, nodes) in [(1, 2), (2, 3), (3, 5), (4, 9), (5, 30)] {
        let mut cluster = VirtualCluster::new(seed, nodes);
        cluster.start_all(1_000.0);
        cluster.agree_within(3_000.0);
        cluster.run(3_000.0);
        assert!((0..nodes).all(|node| cluster.health(node) == Health::Well));
        let since_ms = cluster.simulation.now_ms();
        cluster.run(60_000.0);
        assert_none_declared_dead(&cluster, since_ms);
        if nodes == 2 {
            // A single remaining node cannot tell its own partition from the death of the other.
            continue;
        }
        cluster.kill(0);
        run_until_dead_to_all(&mut cluster, 0, DETECTION_MS);
        cluster.start(0);
        cluster.agree_within(REFUTATION_MS);
        cluster
            .simulation
            .with(0, |node, now, out| node.handle(now, Event::Leave, out));
        cluster.kill(0);
        cluster.run(500.0);
        assert!(
            (1..nodes).all(|viewer| cluster.state(viewer, 0) == Some(State::Left)),
            "n0 must have left in all views"
        );
    }
}

#[test]
fn three_hundred_nodes_agree_after_mass_start_and_mass_kill() {
    let mut cluster = VirtualCluster::new(7, 300);
    cluster.start_all(1_000.0);
    cluster.agree_within(15_000.0);
    let since_ms = cluster.simulation.now_ms();
    cluster.run(10_000.0);
    assert_none_declared_dead(&cluster, since_ms);
    (0..300)
        .filter(|node| node % 10 < 7)
        .for_each(|node| cluster.kill(node));
    cluster.agree_within(60_000.0);
    (0..300)
        .filter(|node| node % 10 < 7)
        .for_each(|node| cluster.start(node));
    cluster.agree_within(15_000.0);
}

#[test]
fn repeatedly_restarted_node_affects_no_other() {
    let mut cluster = VirtualCluster::started(3, 7);
    let since_ms = cluster.simulation.now_ms();
    for _ in 0..10 {
        cluster.kill(2);
        cluster.run(500.0);
        cluster.start(2);
        cluster.run(5_500.0);
    }
    cluster.agree_within(REFUTATION_MS);
    assert!(cluster
        .deaths_since(since_ms)
        .iter()
        .all(|(_, _, name)| name == "n2"));
}

/// The clock is set back between two processes of a node, so that the later process has the lower
/// first incarnation.
#[test]
fn new_process_with_earlier_clock_supersedes_old_one() {
    let mut cluster = VirtualCluster::started(4, 5);
    cluster.run(30_000.0);
    let first_incarnation = cluster.view(0)["n2"].1;
    cluster.kill(2);
    cluster.run(8_000.0);
    assert_eq!(cluster.state(0, 2), Some(State::Dead));
    cluster.start_with_incarnation(2, first_incarnation - 500);
    cluster.agree_within(REFUTATION_MS);
    assert!(cluster.view(0)["n2"].1 > first_incarnation);
}

#[test]
fn two_processes_with_one_name_log_conflict_and_affect_no_other() {
    let mut cluster = VirtualCluster::started(5, 6);
    cluster.run(20_000.0);
    cluster.names[5] = "n1".into();
    cluster.kill(5);
    cluster.run(8_000.0);
    let since_ms = cluster.simulation.now_ms();
    cluster.start(5);
    cluster.run(60_000.0);
    for node in [1, 5] {
        let log_events = cluster.log_events(node);
        assert!(
            log_events
                .iter()
                .any(|event| matches!(event, LogEvent::NameConflict { .. })),
            "n{node} logged no name conflict: {log_events:?}"
        );
    }
    for viewer in [0, 2, 3, 4] {
        let view = cluster.view(viewer);
        assert!(
            ["n0", "n1", "n2", "n3", "n4"]
                .iter()
                .all(|name| view[*name].0 == State::Alive),
            "view of n{viewer}: {view:?}"
        );
    }
    assert!(cluster
        .deaths_since(since_ms)
        .iter()
        .all(|(_, _, name)| name == "n1"));
    assert!(
        cluster.deaths_since(since_ms + 20_000.0).is_empty(),
        "no node may be declared dead once the conflict is resolved"
    );
}
