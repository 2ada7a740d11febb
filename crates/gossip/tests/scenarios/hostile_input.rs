//! Datagrams that a correct node of this cluster would not send now, and the length of those that it does.

use gossip::{ClusterKey, Event, RejectReason, State};
use simulation::{Link, Trouble};
use testkit::nodes::{Fleet, KEY};

use crate::{assert_none_declared_dead, run_until_dead_to_all, DETECTION_MS, REFUTATION_MS};

#[test]
fn replayed_datagrams_of_earlier_process_are_rejected() {
    let mut fleet = Fleet::started(1, 5);
    fleet.all_links(Link {
        replay: 0.5,
        ..Link::default()
    });
    for _ in 0..6 {
        fleet.run(3_000.0);
        fleet.kill(2);
        fleet.run(1_000.0);
        fleet.start(2);
        fleet.agree_within(REFUTATION_MS);
    }
    fleet.run(1_000.0);
    fleet.kill(2);
    run_until_dead_to_all(&mut fleet, 2, DETECTION_MS);
    fleet.run(60_000.0);
    assert!(
        [0, 1, 3, 4]
            .iter()
            .all(|of| fleet.state(*of, 2) == Some(State::Dead)),
        "it stays dead"
    );
    let rejected = |of: usize| {
        fleet
            .metrics(of)
            .rejected_for(RejectReason::StaleIncarnation)
    };
    assert!(
        [0, 1, 3, 4].iter().map(|of| rejected(*of)).sum::<u64>() > 20,
        "datagrams were replayed"
    );
}

#[test]
fn wrong_keys_other_clusters_and_garbage_are_rejected_and_counted() {
    let mut fleet = Fleet::new(8, 6);
    fleet.keys[4] = ClusterKey::new("holds", b"another key of its own");
    fleet.keys[5] = ClusterKey::new("other", KEY);
    fleet.start_all(1_000.0);
    fleet.run(10_000.0);
    for of in 0..4 {
        let view = fleet.view(of);
        assert_eq!(view.len(), 4, "{view:?}");
        let rejected = |reason| fleet.metrics(of).rejected_for(reason);
        assert!(rejected(RejectReason::BadSeal) > 0 && rejected(RejectReason::WrongCluster) > 0);
    }
    let mut rng = fastrand::Rng::with_seed(9);
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..rng.usize(..400)).map(|_| rng.u8(..)).collect();
        fleet.world.with(0, |node, now, out| {
            node.act(
                now,
                Event::Datagram {
                    from: 1,
                    bytes: &bytes,
                },
                out,
            );
        });
        fleet.world.with(0, |node, now, out| {
            node.act(
                now,
                Event::Datagram {
                    from: 99,
                    bytes: &bytes,
                },
                out,
            );
        });
    }
    assert_eq!(fleet.view(0).len(), 4);
    assert_none_declared_dead(&fleet, 0.0);
}

/// Guards the limit of the platform, whatever the names.
#[test]
fn datagrams_with_longest_names_stay_within_limit() {
    let mut fleet = Fleet::new(9, 12);
    for (node, name) in fleet.names.iter_mut().enumerate() {
        *name = format!("{node:0>64}");
    }
    fleet.start_all(1_000.0);
    fleet.agree_within(5_000.0);
    fleet.run(5_000.0);
    fleet.world.apply(&Trouble::Kill { node: 3 });
    run_until_dead_to_all(&mut fleet, 3, DETECTION_MS);
    let longest = fleet.world.totals().longest;
    assert!(
        longest <= gossip::MAX_DATAGRAM_BYTES && longest > 200,
        "{longest}"
    );
}
