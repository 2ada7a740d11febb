//! Paused processes.

use gossip::{Health, LogEvent, State};
use testkit::nodes::VirtualCluster;

use crate::{
    assert_none_declared_dead, run_until_dead_to_all, DETECTION_MS, REFUTATION_MS,
    SUSPICION_TIMEOUT_MS,
};

#[test]
fn pause_below_suspicion_timeout_is_tolerated() {
    for (seed, ms) in [(1, 500.0), (2, 1_000.0), (3, 1_900.0)] {
        let mut cluster = VirtualCluster::started(seed, 9);
        let since_ms = cluster.simulation.now_ms();
        for node in [0, 4, 8, 0, 1, 1] {
            cluster.simulation.pause(node, ms);
            cluster.run(4_000.0);
        }
        assert_none_declared_dead(&cluster, since_ms);
        cluster.agree_within(1_000.0);
    }
}

#[test]
fn resumed_node_refutes_its_death_and_declares_none_dead() {
    for (seed, ms) in [(1, 5_000.0), (2, 10_000.0), (3, 60_000.0)] {
        let mut cluster = VirtualCluster::started(seed, 9);
        let since_ms = cluster.simulation.now_ms();
        cluster.simulation.pause(3, ms);
        let detected_ms = run_until_dead_to_all(&mut cluster, 3, DETECTION_MS);
        assert!(
            detected_ms >= SUSPICION_TIMEOUT_MS,
            "declared dead after {detected_ms} ms, before the suspicion timeout"
        );
        cluster.simulation.run_until(since_ms + ms);
        cluster.agree_within(REFUTATION_MS);
        cluster.run(5_000.0);
        assert!(cluster
            .deaths_since(since_ms)
            .iter()
            .all(|(by, _, name)| *by != 3 && name == "n3"));
        let log_events = cluster.log_events(3);
        assert!(
            log_events
                .iter()
                .any(|event| matches!(event, LogEvent::ResumedAfterPause { .. })),
            "{log_events:?}"
        );
        assert!(
            log_events
                .iter()
                .any(|event| matches!(event, LogEvent::Refuted { .. })),
            "{log_events:?}"
        );
    }
}

/// Guards against a node that flaps forever: from the third refutation in a minute on, each is
/// delayed for longer.
#[test]
fn repeatedly_paused_node_refutes_with_backoff() {
    let mut cluster = VirtualCluster::started(1, 9);
    for _ in 0..24 {
        cluster.simulation.pause(3, 4_500.0);
        cluster.run(7_500.0);
    }
    let refutations = cluster
        .log_events(3)
        .iter()
        .filter(|event| matches!(event, LogEvent::Refuted { .. }))
        .count();
    assert!(
        (3..=16).contains(&refutations),
        "expected 3 to 16 refutations in 24 pauses, got {refutations}"
    );
    let since_ms = cluster.simulation.now_ms();
    cluster.run(31_000.0);
    cluster.agree_within(1_000.0);
    assert_none_declared_dead(&cluster, since_ms);
}

/// The pause is about as long as the detection of a death takes. Whether the paused node is
/// declared dead or not, no other node may be.
#[test]
fn pause_as_long_as_detection_is_tolerated_or_refuted() {
    let (mut declared_dead, mut tolerated) = (0, 0);
    for seed in 0..40 {
        let mut cluster = VirtualCluster::started(seed, 9);
        let since_ms = cluster.simulation.now_ms();
        cluster.simulation.pause(3, 2_900.0 + 40.0 * seed as f64);
        cluster.run(2_900.0 + 40.0 * seed as f64);
        cluster.agree_within(REFUTATION_MS);
        cluster.run(3_000.0);
        let deaths = cluster.deaths_since(since_ms);
        assert!(
            deaths.iter().all(|(by, _, name)| *by != 3 && name == "n3"),
            "seed {seed}: only n3 may be declared dead, and only by other nodes: {deaths:?}"
        );
        *(if deaths.is_empty() {
            &mut tolerated
        } else {
            &mut declared_dead
        }) += 1;
    }
    assert!(
        declared_dead > 0 && tolerated > 0,
        "both outcomes must occur: {declared_dead} declared dead, {tolerated} tolerated"
    );
}

#[test]
fn third_of_cluster_paused_together_declares_no_other_dead() {
    for (seed, ms) in [
        (1, 500.0),
        (2, 1_000.0),
        (3, 3_000.0),
        (4, 10_000.0),
        (5, 60_000.0),
    ] {
        let mut cluster = VirtualCluster::started(seed, 12);
        let since_ms = cluster.simulation.now_ms();
        (0..4).for_each(|node| cluster.simulation.pause(node, ms));
        cluster.run(ms);
        cluster.agree_within(REFUTATION_MS);
        cluster.run(5_000.0);
        let deaths = cluster.deaths_since(since_ms);
        assert!(
            !deaths
                .iter()
                .any(|(_, _, name)| !["n0", "n1", "n2", "n3"].contains(&name.as_str())),
            "only paused nodes may be declared dead: {deaths:?}"
        );
        let verdicts = |node| cluster.metrics(node).verdicts;
        assert_eq!(
            (0..4).map(verdicts).sum::<u64>(),
            0,
            "a resumed node must not declare any node dead"
        );
        assert!(
            ms > SUSPICION_TIMEOUT_MS || deaths.is_empty(),
            "a pause of {ms} ms must be tolerated: {deaths:?}"
        );
    }
}

/// The observer is paused in each phase of a detection: before it suspects the killed node, while
/// it polls the quorum, and while it disseminates the death.
#[test]
fn paused_observer_does_not_prevent_death_detection() {
    let (mut probing, mut polling, mut disseminating) = (0, 0, 0);
    for seed in 0..60 {
        let mut cluster = VirtualCluster::started(seed, 7);
        let since_ms = cluster.simulation.now_ms();
        cluster.kill(0);
        // Over the seeds, this ranges from before the first suspicion until after the last death
        // notice.
        cluster.run(2_300.0 + 30.0 * seed as f64);
        let paused = 1 + seed as usize % 6;
        let verdicts = cluster.metrics(paused).verdicts;
        match cluster.state(paused, 0) {
            Some(State::Alive) => probing += 1,
            Some(State::Suspect) => polling += 1,
            Some(State::Dead) if verdicts > 0 => disseminating += 1,
            _ => {}
        }
        cluster.simulation.pause(paused, 2_000.0);
        let start_ms = cluster.simulation.now_ms();
        while !(1..7)
            .filter(|viewer| *viewer != paused)
            .all(|viewer| cluster.state(viewer, 0) == Some(State::Dead))
        {
            cluster.run(50.0);
            assert!(
                cluster.simulation.now_ms() - start_ms < DETECTION_MS,
                "seed {seed}: n0 is not dead in all views in time"
            );
        }
        cluster.run(5_000.0);
        cluster.agree_within(REFUTATION_MS);
        assert!(cluster
            .deaths_since(since_ms)
            .iter()
            .all(|(_, _, name)| name == "n0"));
    }
    assert!(
        probing > 0 && polling > 0 && disseminating > 0,
        "each phase must occur: {probing} probing, {polling} polling, {disseminating} disseminating"
    );
}

#[test]
fn repeated_short_pauses_are_tolerated() {
    let mut cluster = VirtualCluster::started(1, 7);
    let since_ms = cluster.simulation.now_ms();
    for second in 0..60 {
        (0..7)
            .filter(|node| (node + second) % 2 == 0)
            .for_each(|node| cluster.simulation.pause(node, 200.0));
        cluster.run(1_000.0);
    }
    assert_none_declared_dead(&cluster, since_ms);
    assert!((0..7).all(|node| cluster.health(node) == Health::Well));
}
