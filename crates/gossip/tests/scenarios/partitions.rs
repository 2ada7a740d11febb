//! One-way and two-way partitions, and the recovery from them.

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
fn node_that_receives_nothing_declares_none_dead() {
    for (seed, nodes) in [(1, 4), (2, 7), (3, 20)] {
        let mut cluster = VirtualCluster::started(seed, nodes);
        let since_ms = cluster.simulation.now_ms();
        (1..nodes).for_each(|from| cluster.cut(from, 0));
        cluster.run(60_000.0);
        assert_none_declared_dead(&cluster, since_ms);
        assert_eq!(cluster.health(0), Health::Isolated);
        assert!(
            (1..nodes).all(|viewer| cluster.state(viewer, 0) == Some(State::Alive)),
            "n0 must stay alive in the other views, as its probes are received"
        );
        cluster.heal();
        cluster.agree_within(CONVERGENCE_MS);
    }
}

#[test]
fn node_that_cannot_send_is_declared_dead_and_notified() {
    for (seed, nodes) in [(1, 4), (2, 7), (3, 20)] {
        let mut cluster = VirtualCluster::started(seed, nodes);
        let since_ms = cluster.simulation.now_ms();
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
            .deaths_since(since_ms)
            .iter()
            .all(|(_, _, name)| name == "n0"));
        assert!(
            (1..nodes).all(|viewer| cluster.state(viewer, 0) == Some(State::Dead)),
            "n0 must stay dead while it cannot send"
        );
        cluster.heal();
        cluster.agree_within(CONVERGENCE_MS);
    }
}

#[test]
fn no_node_is_declared_dead_in_partial_partitions() {
    type Cuts = fn(&mut VirtualCluster);
    let cases: [(&str, Cuts); 4] = [
        ("two nodes receive nothing from each other", |cluster| {
            cluster.cut(0, 1);
            cluster.cut(1, 0);
        }),
        (
            "one node receives nothing from another, but not the reverse",
            |cluster| {
                cluster.cut(0, 1);
            },
        ),
        ("each node can send nothing to the next one", |cluster| {
            (0..9).for_each(|node| cluster.cut(node, (node + 1) % 9));
        }),
        ("only a ring of one-way links remains", |cluster| {
            let remains = |from: usize, to: usize| to == (from + 1) % 9;
            let all = (0..9).flat_map(|from| (0..9).map(move |to| (from, to)));
            all.filter(|(from, to)| from != to && !remains(*from, *to))
                .for_each(|(from, to)| cluster.cut(from, to));
        }),
    ];
    for (case, cuts) in cases {
        for seed in 0..5 {
            let mut cluster = VirtualCluster::started(seed, 9);
            let since_ms = cluster.simulation.now_ms();
            cuts(&mut cluster);
            cluster.run(120_000.0);
            let deaths = cluster.deaths_since(since_ms);
            assert!(
                deaths.is_empty(),
                "unexpected deaths where {case}: {deaths:?}"
            );
            cluster.heal();
            cluster.agree_within(CONVERGENCE_MS);
        }
    }
}

/// Half of the cluster receives nothing from the other half. Either half may be declared dead, but
/// the views must not keep changing.
#[test]
fn one_way_partition_of_halves_settles() {
    for seed in 0..5 {
        let mut cluster = VirtualCluster::started(seed, 10);
        for from in 5..10 {
            (0..5).for_each(|to| cluster.cut(from, to));
        }
        cluster.run(60_000.0);
        let since_ms = cluster.simulation.now_ms();
        cluster.run(120_000.0);
        assert_none_declared_dead(&cluster, since_ms);
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
            for viewer in 1..nodes {
                let is_view_correct = |node: usize| {
                    (cluster.state(viewer, node) == Some(State::Alive))
                        == (side(viewer) == side(node))
                };
                assert!(
                    (0..nodes).all(is_view_correct),
                    "seed {seed}: in the view of n{viewer}, exactly its own side must be alive"
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
        // A node that is dead in the views of one side restarts on the other, and another node
        // leaves and can notify only its own side.
        cluster.run(6_000.0);
        cluster.start(4);
        cluster
            .simulation
            .with(5, |node, now, out| node.handle(now, Event::Leave, out));
        cluster.kill(5);
        cluster.run(4_000.0);
        cluster.heal();
        cluster.agree_within(CONVERGENCE_MS);
        let since_ms = cluster.simulation.now_ms();
        cluster.run(20_000.0);
        assert_none_declared_dead(&cluster, since_ms);
    }
}
