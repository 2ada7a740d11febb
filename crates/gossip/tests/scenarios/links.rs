//! Lossy, slow and corrupting links, and clocks that differ.

use gossip::{Health, RejectReason};
use simulation::{Burst, Clock, Fault, Link};
use testkit::nodes::VirtualCluster;

use crate::{assert_none_declared_dead, run_until_dead_to_all, CONVERGENCE_MS, DETECTION_MS};

#[test]
fn datagram_loss_is_tolerated_and_kill_is_detected() {
    for (seed, loss) in [(1, 0.1), (2, 0.3), (3, 0.5)] {
        for nodes in [5, 9, 30] {
            let mut cluster = VirtualCluster::new(seed, nodes);
            cluster.set_all_links(Link {
                loss,
                ..Link::default()
            });
            cluster.start_all(1_000.0);
            cluster.run(20_000.0);
            let before = cluster.simulation.now_ms();
            cluster.run(if loss < 0.4 { 600_000.0 } else { 60_000.0 });
            assert_none_declared_dead(&cluster, before);
            cluster.kill(1);
            run_until_dead_to_all(
                &mut cluster,
                1,
                if loss < 0.2 {
                    DETECTION_MS
                } else {
                    4.0 * DETECTION_MS
                },
            );
        }
    }
}

#[test]
fn bursts_delays_duplicates_and_corruption_are_tolerated() {
    let link = Link::default;
    let cases = [
        Link {
            burst: Burst {
                probability: 0.002,
                duration_ms: 2_000.0,
            },
            ..link()
        },
        Link {
            delay_ms: 1_200.0,
            ..link()
        },
        Link {
            jitter_ms: 3_000.0,
            ..link()
        },
        Link {
            duplication: 0.5,
            ..link()
        },
        Link {
            corruption: 0.1,
            ..link()
        },
        Link {
            replay: 0.5,
            jitter_ms: 500.0,
            ..link()
        },
    ];
    for (seed, held) in (1..).zip(cases) {
        let mut cluster = VirtualCluster::started(seed, 7);
        let before = cluster.simulation.now_ms();
        cluster.set_all_links(held.clone());
        cluster.run(120_000.0);
        let deaths = cluster.deaths_since(before);
        assert!(deaths.is_empty(), "{held:?}: {deaths:?}");
        let faults = cluster.simulation.totals().faults;
        assert_eq!(
            held.burst.probability > 0.0,
            faults.lost > 100,
            "{held:?}: {faults:?}"
        );
        assert_eq!(
            held.duplication > 0.0,
            faults.duplicated > 100,
            "{held:?}: {faults:?}"
        );
        assert_eq!(
            held.corruption > 0.0,
            faults.corrupted > 100,
            "{held:?}: {faults:?}"
        );
        assert_eq!(
            held.replay > 0.0,
            faults.replayed > 100,
            "{held:?}: {faults:?}"
        );
        let rejected = |reason| cluster.metrics(0).rejected_for(reason);
        assert!(
            held.corruption == 0.0 || rejected(RejectReason::BadSeal) > 10,
            "corruption is detected"
        );
        assert!(
            held.duplication == 0.0 || rejected(RejectReason::Replayed) > 100,
            "duplicates are detected"
        );
        cluster.heal();
        cluster.agree_within(CONVERGENCE_MS);
    }
}

/// Every datagram is corrupted, so that no node receives anything: none may vote, and none is declared dead.
#[test]
fn total_corruption_isolates_all_and_kills_nobody() {
    let mut cluster = VirtualCluster::started(1, 7);
    let before = cluster.simulation.now_ms();
    cluster.set_all_links(Link {
        corruption: 1.0,
        ..Link::default()
    });
    cluster.run(60_000.0);
    assert_none_declared_dead(&cluster, before);
    assert!((0..7).all(|node| cluster.health(node) == Health::Isolated));
    cluster.heal();
    cluster.agree_within(CONVERGENCE_MS);
}

/// The links of one node lose nearly everything, both ways: it refutes its death less and less often.
#[test]
fn node_with_lossy_links_does_not_flap() {
    let mut max_refutations = 0;
    for (seed, loss) in [(1, 0.6), (2, 0.75), (3, 0.85), (4, 0.9), (5, 0.95)] {
        let mut cluster = VirtualCluster::started(seed, 9);
        let before = cluster.simulation.now_ms();
        let link = Link {
            loss,
            ..Link::default()
        };
        for other in 1..9 {
            cluster.simulation.apply(&Fault::Link {
                from: 0,
                to: other,
                link: link.clone(),
            });
            cluster.simulation.apply(&Fault::Link {
                from: other,
                to: 0,
                link: link.clone(),
            });
        }
        cluster.run(600_000.0);
        let deaths = cluster.deaths_since(before);
        assert!(
            deaths.iter().all(|(_, _, name)| name == "n0"),
            "loss {loss}: {deaths:?}"
        );
        let refutations = cluster.metrics(0).refutations;
        max_refutations = max_refutations.max(refutations);
        // Two at once, then with a backoff that doubles: 0, 0, 2, 4, 8, 16 and 30 s.
        assert!(
            refutations <= 20,
            "loss {loss}: {refutations} times in ten minutes"
        );
    }
    assert!(max_refutations > 0, "refutations occur");
}

#[test]
fn differing_and_drifting_clocks_have_no_effect() {
    let mut cluster = VirtualCluster::new(6, 8);
    for (node, clock) in cluster.clocks.iter_mut().enumerate() {
        let drift = [0.01, -0.01][node % 2];
        *clock = Clock {
            offset_ms: 86_400_000.0 * (1 + node) as f64,
            drift,
        };
    }
    cluster.start_all(1_000.0);
    cluster.agree_within(3_000.0);
    let before = cluster.simulation.now_ms();
    cluster.run(600_000.0);
    assert_none_declared_dead(&cluster, before);
    cluster.kill(0);
    run_until_dead_to_all(&mut cluster, 0, DETECTION_MS);
}
