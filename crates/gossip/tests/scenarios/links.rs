//! Lossy, slow and corrupting links, and clocks that differ between nodes.

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
            let since_ms = cluster.simulation.now_ms();
            cluster.run(if loss < 0.4 { 600_000.0 } else { 60_000.0 });
            assert_none_declared_dead(&cluster, since_ms);
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
    let default_link = Link::default;
    let cases = [
        Link {
            burst: Burst {
                probability: 0.002,
                duration_ms: 2_000.0,
            },
            ..default_link()
        },
        Link {
            delay_ms: 1_200.0,
            ..default_link()
        },
        Link {
            jitter_ms: 3_000.0,
            ..default_link()
        },
        Link {
            duplication: 0.5,
            ..default_link()
        },
        Link {
            corruption: 0.1,
            ..default_link()
        },
        Link {
            replay: 0.5,
            jitter_ms: 500.0,
            ..default_link()
        },
    ];
    for (seed, faulty_link) in (1..).zip(cases) {
        let mut cluster = VirtualCluster::started(seed, 7);
        let since_ms = cluster.simulation.now_ms();
        cluster.set_all_links(faulty_link.clone());
        cluster.run(120_000.0);
        let deaths = cluster.deaths_since(since_ms);
        assert!(
            deaths.is_empty(),
            "unexpected deaths with {faulty_link:?}: {deaths:?}"
        );
        let faults = cluster.simulation.totals().faults;
        assert_eq!(
            faulty_link.burst.probability > 0.0,
            faults.lost > 100,
            "more than 100 datagrams must be lost if and only if the link has bursts: \
             {faulty_link:?}, {faults:?}"
        );
        assert_eq!(
            faulty_link.duplication > 0.0,
            faults.duplicated > 100,
            "more than 100 datagrams must be duplicated if and only if the link duplicates: \
             {faulty_link:?}, {faults:?}"
        );
        assert_eq!(
            faulty_link.corruption > 0.0,
            faults.corrupted > 100,
            "more than 100 datagrams must be corrupted if and only if the link corrupts: \
             {faulty_link:?}, {faults:?}"
        );
        assert_eq!(
            faulty_link.replay > 0.0,
            faults.replayed > 100,
            "more than 100 datagrams must be replayed if and only if the link replays: \
             {faulty_link:?}, {faults:?}"
        );
        let rejected = |reason| cluster.metrics(0).rejected_for(reason);
        assert!(
            faulty_link.corruption == 0.0 || rejected(RejectReason::BadSeal) > 10,
            "more than 10 corrupted datagrams must be rejected"
        );
        assert!(
            faulty_link.duplication == 0.0 || rejected(RejectReason::Replayed) > 100,
            "more than 100 duplicates must be rejected"
        );
        cluster.heal();
        cluster.agree_within(CONVERGENCE_MS);
    }
}

/// Every datagram is corrupted, so that no node receives anything: no node may vote, and none is
/// declared dead.
#[test]
fn total_corruption_isolates_all_nodes_without_deaths() {
    let mut cluster = VirtualCluster::started(1, 7);
    let since_ms = cluster.simulation.now_ms();
    cluster.set_all_links(Link {
        corruption: 1.0,
        ..Link::default()
    });
    cluster.run(60_000.0);
    assert_none_declared_dead(&cluster, since_ms);
    assert!((0..7).all(|node| cluster.health(node) == Health::Isolated));
    cluster.heal();
    cluster.agree_within(CONVERGENCE_MS);
}

/// The links of one node lose most datagrams in both directions. Guards against endless flapping:
/// the backoff limits the refutations of its death.
#[test]
fn node_with_lossy_links_does_not_flap() {
    let mut max_refutations = 0;
    for (seed, loss) in [(1, 0.6), (2, 0.75), (3, 0.85), (4, 0.9), (5, 0.95)] {
        let mut cluster = VirtualCluster::started(seed, 9);
        let since_ms = cluster.simulation.now_ms();
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
        let deaths = cluster.deaths_since(since_ms);
        assert!(
            deaths.iter().all(|(_, _, name)| name == "n0"),
            "unexpected deaths with loss {loss}: {deaths:?}"
        );
        let refutations = cluster.metrics(0).refutations;
        max_refutations = max_refutations.max(refutations);
        // Two refutations without delay, then a backoff that doubles up to the maximum: 0, 0, 2, 4,
        // 8, 16 and 30 s.
        assert!(
            refutations <= 20,
            "expected at most 20 refutations in ten minutes with loss {loss}, got {refutations}"
        );
    }
    assert!(max_refutations > 0, "no refutation occurred with any loss");
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
    let since_ms = cluster.simulation.now_ms();
    cluster.run(600_000.0);
    assert_none_declared_dead(&cluster, since_ms);
    cluster.kill(0);
    run_until_dead_to_all(&mut cluster, 0, DETECTION_MS);
}
