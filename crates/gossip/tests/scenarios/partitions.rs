//! One-way and two-way partitions, and what follows once they heal.

use gossip::{Event, Health, LogEvent, State};
use testkit::nodes::VirtualCluster;

use crate::{assert_none_declared_dead, run_until_dead_to_all, CONVERGENCE_MS, DETECTION_MS};

#[test]
fn killed_node_of_two_stays_suspect() {
    let mut cluster = VirtualCluster::started(1, 2);
    cluster.kill(0);
    cluster.run(60_000.0);
    assert_eq!(
        (cluster.state(1, 0), cluster.health(1)),
        (Some(State::Suspect), Health::Isolated)
    );
}

#[test]
fn node_that_receives_nothing_declares_nobody_dead() {
    for (seed, nodes) in [(1, 4), (2, 7), (3, 20)] {
        let mut cluster = VirtualCluster::started(seed, nodes);
        let before = cluster.simulation.now_ms();
        (1..nodes).for_each(|from| cluster.cut(from, 0));
        cluster.run(60_000.0);
        assert_none_declared_dead(&cluster, before);
        assert_eq!(cluster.health(0), Health::Isolated);
        assert!(
            (1..nodes).all(|of| cluster.state(of, 0) == Some(State::Alive)),
            "its probes are received"
        );
        cluster.heal();
        cluster.agree_within(CONVERGENCE_MS);
    }
}

#[test]
fn node_that_cannot_send_is_declared_dead_and_notified() {
    for (seed, nodes) in [(1, 4), (2, 7), (3, 20)] {
        let mut cluster = VirtualCluster::started(seed, nodes);
        let before = cluster.simulation.now_ms();
        (1..nodes).for_each(|to| cluster.cut(0, to));
        run_until_dead_to_all(&mut cluster, 0, DETECTION_MS);
        cluster.run(10_000.0);
        assert!(cluster
            .log_events(0)
            .iter()
            .any(|event| matches!(event, LogEvent::DeclaredDead { .. })));
        assert_eq!(
            (cluster.health(0), cluster.state(0, 0)),
            (Health::Isolated, Some(State::Dead))
        );
        cluster.run(60_000.0);
        assert!(cluster
            .deaths_since(before)
            .iter()
            .all(|(_, _, name)| name == "n0"));
        assert!(
            (1..nodes).all(|of| cluster.state(of, 0) == Some(State::Dead)),
            "it stays dead"
        );
        cluster.heal();
        cluster.agree_within(CONVERGENCE_MS);
    }
}

#[test]
fn partial_partitions_kill_nobody() {
    type Cuts = fn(&mut VirtualCluster);
    let cases: [(&str, Cuts); 4] = [
        ("two receive nothing from each other", |cluster| {
            cluster.cut(0, 1);
            cluster.cut(1, 0);
        }),
        (
            "one receives from the other but not the reverse",
            |cluster| {
                cluster.cut(0, 1);
            },
        ),
        ("each is partitioned from the next, one way", |cluster| {
            (0..9).for_each(|node| cluster.cut(node, (node + 1) % 9));
        }),
        ("a ring of one-way links is all that is left", |cluster| {
            let is_left = |from: usize, to: usize| to == (from + 1) % 9;
            let all = (0..9).flat_map(|from| (0..9).map(move |to| (from, to)));
            all.filter(|(from, to)| from != to && !is_left(*from, *to))
                .for_each(|(from, to)| cluster.cut(from, to));
        }),
    ];
    for (what, cuts) in cases {
        for seed in 0..5 {
            let mut cluster = VirtualCluster::started(seed, 9);
            let before = cluster.simulation.now_ms();
            cuts(&mut cluster);
            cluster.run(120_000.0);
            let deaths = cluster.deaths_since(before);
            assert!(deaths.is_empty(), "{what}: {deaths:?}");
            cluster.heal();
            cluster.agree_within(CONVERGENCE_MS);
        }
    }
}

/// Half of the cluster receives nothing from the other half: whatever the outcome, it does not keep changing.
#[test]
fn one_way_partition_of_halves_settles() {
    for seed in 0..5 {
        let mut cluster = VirtualCluster::started(seed, 10);
        for from in 5..10 {
            (0..5).for_each(|to| cluster.cut(from, to));
        }
        cluster.run(60_000.0);
        let before = cluster.simulation.now_ms();
        cluster.run(120_000.0);
        assert_none_declared_dead(&cluster, before);
        assert!(cluster.simulation.totals().faults.cut > 1_000);
        cluster.heal();
        cluster.run(30_000.0);
        cluster.agree_within(CONVERGENCE_MS);
    }
}

#[test]
fn partitioned_sides_agree_after_heal() {
    type Side = fn(usize) -> usize;
    let sides: [Side; 3] = [
        |node| node % 2,
        |node| usize::from(node == 0),
        |node| node % 3,
    ];
    for (seed, side) in (1..).zip(sides) {
        for nodes in [8, 9, 30] {
            let mut cluster = VirtualCluster::started(seed, nodes);
            cluster.partition(side);
            cluster.run(20_000.0);
            for of in 1..nodes {
                let is_right = |node: usize| {
                    (cluster.state(of, node) == Some(State::Alive)) == (side(of) == side(node))
                };
                assert!(
                    (0..nodes).all(is_right),
                    "seed {seed}: each side considers exactly its own nodes alive: {of}"
                );
            }
            cluster.heal();
            cluster.agree_within(CONVERGENCE_MS);
        }
    }
}

#[test]
fn successive_partitions_with_conflicting_updates_heal() {
    for seed in 0..10 {
        let mut cluster = VirtualCluster::started(seed, 9);
        for shift in 0..3 {
            cluster.partition(|node| (node + shift) / 3 % 2);
            cluster.run(1_500.0 * (1 + shift) as f64);
        }
        // A node that is dead to one side restarts on the other, and another leaves and notifies its own side only.
        cluster.run(6_000.0);
        cluster.start(4);
        cluster
            .simulation
            .with(5, |node, now, out| node.handle(now, Event::Leave, out));
        cluster.kill(5);
        cluster.run(4_000.0);
        cluster.heal();
        cluster.agree_within(CONVERGENCE_MS);
        let before = cluster.simulation.now_ms();
        cluster.run(20_000.0);
        assert_none_declared_dead(&cluster, before);
    }
}
