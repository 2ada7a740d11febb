//! Lossy, slow and corrupting links, and clocks that differ.

use gossip::{Health, RejectReason};
use simulation::{Clock, Link, Trouble};
use testkit::nodes::Fleet;

use crate::{assert_none_declared_dead, run_until_dead_to_all, CONVERGENCE_MS, DETECTION_MS};

#[test]
fn datagram_loss_is_tolerated_and_kill_is_detected() {
    for (seed, loss) in [(1, 0.1), (2, 0.3), (3, 0.5)] {
        for nodes in [5, 9, 30] {
            let mut fleet = Fleet::new(seed, nodes);
            fleet.all_links(Link {
                loss,
                ..Link::default()
            });
            fleet.start_all(1_000.0);
            fleet.run(20_000.0);
            let before = fleet.world.now_ms();
            fleet.run(if loss < 0.4 { 600_000.0 } else { 60_000.0 });
            assert_none_declared_dead(&fleet, before);
            fleet.kill(1);
            run_until_dead_to_all(
                &mut fleet,
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
            burst: (0.002, 2_000.0),
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
            twice: 0.5,
            ..link()
        },
        Link {
            corrupt: 0.1,
            ..link()
        },
        Link {
            replay: 0.5,
            jitter_ms: 500.0,
            ..link()
        },
    ];
    for (seed, held) in (1..).zip(cases) {
        let mut fleet = Fleet::started(seed, 7);
        let before = fleet.world.now_ms();
        fleet.all_links(held.clone());
        fleet.run(120_000.0);
        let gone = fleet.gone_since(before);
        assert!(gone.is_empty(), "{held:?}: {gone:?}");
        let done = fleet.world.totals().done;
        assert_eq!(held.burst.0 > 0.0, done.lost > 100, "{held:?}: {done:?}");
        assert_eq!(held.twice > 0.0, done.doubled > 100, "{held:?}: {done:?}");
        assert_eq!(
            held.corrupt > 0.0,
            done.corrupted > 100,
            "{held:?}: {done:?}"
        );
        assert_eq!(held.replay > 0.0, done.replayed > 100, "{held:?}: {done:?}");
        let rejected = |reason| fleet.metrics(0).rejected_for(reason);
        assert!(
            held.corrupt == 0.0 || rejected(RejectReason::BadSeal) > 10,
            "corruption is detected"
        );
        assert!(
            held.twice == 0.0 || rejected(RejectReason::Replayed) > 100,
            "duplicates are detected"
        );
        fleet.heal();
        fleet.agree_within(CONVERGENCE_MS);
    }
}

/// Every datagram is corrupted, so that no node receives anything: none may vote, and none is declared dead.
#[test]
fn total_corruption_isolates_all_and_kills_nobody() {
    let mut fleet = Fleet::started(1, 7);
    let before = fleet.world.now_ms();
    fleet.all_links(Link {
        corrupt: 1.0,
        ..Link::default()
    });
    fleet.run(60_000.0);
    assert_none_declared_dead(&fleet, before);
    assert!((0..7).all(|node| fleet.health(node) == Health::Isolated));
    fleet.heal();
    fleet.agree_within(CONVERGENCE_MS);
}

/// The links of one node lose nearly everything, both ways: it refutes its death less and less often.
#[test]
fn node_with_lossy_links_does_not_flap() {
    let mut max_refutations = 0;
    for (seed, loss) in [(1, 0.6), (2, 0.75), (3, 0.85), (4, 0.9), (5, 0.95)] {
        let mut fleet = Fleet::started(seed, 9);
        let before = fleet.world.now_ms();
        let link = Link {
            loss,
            ..Link::default()
        };
        for other in 1..9 {
            fleet.world.apply(&Trouble::Link {
                from: 0,
                to: other,
                link: link.clone(),
            });
            fleet.world.apply(&Trouble::Link {
                from: other,
                to: 0,
                link: link.clone(),
            });
        }
        fleet.run(600_000.0);
        let gone = fleet.gone_since(before);
        assert!(
            gone.iter().all(|(_, _, name)| name == "n0"),
            "loss {loss}: {gone:?}"
        );
        let refutations = fleet.metrics(0).refutations;
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
    let mut fleet = Fleet::new(6, 8);
    for (node, clock) in fleet.clocks.iter_mut().enumerate() {
        let drift = [0.01, -0.01][node % 2];
        *clock = Clock {
            offset_ms: 86_400_000.0 * (1 + node) as f64,
            drift,
        };
    }
    fleet.start_all(1_000.0);
    fleet.agree_within(3_000.0);
    let before = fleet.world.now_ms();
    fleet.run(600_000.0);
    assert_none_declared_dead(&fleet, before);
    fleet.kill(0);
    run_until_dead_to_all(&mut fleet, 0, DETECTION_MS);
}
