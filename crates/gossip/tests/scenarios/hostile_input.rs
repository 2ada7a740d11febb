//! Datagrams that no correct node of this cluster would send at the time, and the maximum length of
//! datagrams.

use gossip::{ClusterKey, Event, RejectReason, State};
use simulation::{Fault, Link};
use testkit::nodes::{VirtualCluster, KEY};

use crate::{assert_none_declared_dead, run_until_dead_to_all, DETECTION_MS, REFUTATION_MS};

#[test]
fn replayed_datagrams_of_earlier_process_are_rejected() {
    let mut cluster = VirtualCluster::started(1, 5);
    cluster.set_all_links(Link {
        replay: 0.5,
        ..Link::default()
    });
    for _ in 0..6 {
        cluster.run(3_000.0);
        cluster.kill(2);
        cluster.run(1_000.0);
        cluster.start(2);
        cluster.agree_within(REFUTATION_MS);
    }
    cluster.run(1_000.0);
    cluster.kill(2);
    run_until_dead_to_all(&mut cluster, 2, DETECTION_MS);
    cluster.run(60_000.0);
    assert!(
        [0, 1, 3, 4]
            .iter()
            .all(|viewer| cluster.state(*viewer, 2) == Some(State::Dead)),
        "every view must still list the killed node as dead after replayed datagrams"
    );
    let rejected = |viewer: usize| {
        cluster
            .metrics(viewer)
            .rejected_for(RejectReason::StaleIncarnation)
    };
    assert!(
        [0, 1, 3, 4]
            .iter()
            .map(|viewer| rejected(*viewer))
            .sum::<u64>()
            > 20,
        "more than 20 replayed datagrams must be rejected"
    );
}

#[test]
fn wrong_key_other_cluster_and_garbage_are_rejected() {
    let mut cluster = VirtualCluster::new(8, 6);
    cluster.keys[4] = ClusterKey::new("holds", b"another key of its own");
    cluster.keys[5] = ClusterKey::new("other", KEY);
    cluster.start_all(1_000.0);
    cluster.run(10_000.0);
    for viewer in 0..4 {
        let view = cluster.view(viewer);
        assert_eq!(view.len(), 4, "view of n{viewer}: {view:?}");
        let rejected = |reason| cluster.metrics(viewer).rejected_for(reason);
        assert!(rejected(RejectReason::BadSeal) > 0 && rejected(RejectReason::WrongCluster) > 0);
    }
    let mut rng = fastrand::Rng::with_seed(9);
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..rng.usize(..400)).map(|_| rng.u8(..)).collect();
        cluster.simulation.with(0, |node, now_ms, outbox| {
            node.handle(
                now_ms,
                Event::Datagram {
                    from: 1,
                    bytes: &bytes,
                },
                outbox,
            );
        });
        cluster.simulation.with(0, |node, now_ms, outbox| {
            node.handle(
                now_ms,
                Event::Datagram {
                    from: 99,
                    bytes: &bytes,
                },
                outbox,
            );
        });
    }
    assert_eq!(cluster.view(0).len(), 4);
    assert_none_declared_dead(&cluster, 0.0);
}

/// Guards against datagrams that exceed the platform's limit when node names have the maximum
/// length.
#[test]
fn datagrams_with_longest_names_stay_within_limit() {
    let mut cluster = VirtualCluster::new(9, 12);
    for (node, name) in cluster.names.iter_mut().enumerate() {
        *name = format!("{node:0>64}");
    }
    cluster.start_all(1_000.0);
    cluster.agree_within(5_000.0);
    cluster.run(5_000.0);
    cluster.simulation.apply(&Fault::Kill { node: 3 });
    run_until_dead_to_all(&mut cluster, 3, DETECTION_MS);
    let longest = cluster.simulation.totals().max_datagram_bytes;
    assert!(
        longest <= gossip::MAX_DATAGRAM_BYTES && longest > 200,
        "longest datagram: {longest} bytes"
    );
}
