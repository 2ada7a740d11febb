//! Drains: any source starts one at once, and only the same source or a restart ends it.

mod common;
use common::*;

use endpoint_discovery::*;

#[test]
fn drain_takes_effect_at_once_and_only_its_source_ends_it() {
    for (source, other) in [(ENDPOINT_LIST, CONSUL), (CONSUL, ENDPOINT_LIST)] {
        let mut harness = ViewHarness::with_advisory_consul(4);
        let changed = harness.report(source, vec![assertion("s-2", Lifecycle::Draining, 11)]);
        assert_eq!(changed.len(), 1);
        assert_eq!(
            changed[0],
            Endpoint {
                lifecycle: Lifecycle::Draining,
                ..endpoint("s-2")
            }
        );
        harness.report(other, vec![assertion("s-2", Lifecycle::Ready, 99)]);
        harness.advance_ms(3_600_000.0);
        assert_eq!(harness.lifecycle("s-2"), Lifecycle::Draining);
        harness.report(source, vec![assertion("s-2", Lifecycle::Ready, 12)]);
        assert_eq!(harness.lifecycle("s-2"), Lifecycle::Ready);
    }
}

#[test]
fn drain_by_a_lost_source_stays_in_effect() {
    let mut harness = ViewHarness::with_advisory_consul(4);
    harness.report(CONSUL, vec![assertion("s-1", Lifecycle::Draining, 11)]);
    harness.handle(Event::SourceLost { source: CONSUL });
    harness.advance_ms(24.0 * 3_600_000.0);
    assert_eq!(
        harness.view.source_status(CONSUL),
        Some(SourceStatus::Expired)
    );
    assert_eq!(harness.lifecycle("s-1"), Lifecycle::Draining);
    assert_eq!(harness.ready_count(), 3, "the other endpoints stay ready");
}

/// Guards against a restarted server that gets no requests because its previous process drained,
/// and against a drain that ends because an earlier start is reported late.
#[test]
fn drain_ends_with_a_later_start_and_not_with_an_earlier_one() {
    let mut harness = ViewHarness::with_advisory_consul(4);
    harness.advance_ms(5_000.0);
    let drained_at_ms = harness.now_ms;
    harness.report(CONSUL, vec![assertion("s-1", Lifecycle::Draining, 11)]);
    harness.advance_ms(1_000.0);
    for (started_at_ms, expected) in [
        (drained_at_ms - 10.0, Lifecycle::Draining),
        (drained_at_ms + 10.0, Lifecycle::Ready),
    ] {
        let mut restarted = assertion("s-1", Lifecycle::Ready, 2);
        restarted.version = 2 + started_at_ms as u64;
        restarted.endpoint = Some(Endpoint {
            started_at_ms,
            ..endpoint("s-1")
        });
        harness.report(ENDPOINT_LIST, vec![restarted]);
        assert_eq!(
            harness.lifecycle("s-1"),
            expected,
            "started at {started_at_ms}, drained at {drained_at_ms}"
        );
    }
    // Repeating the version from before the restart has no effect; a new version has.
    harness.report(CONSUL, vec![assertion("s-1", Lifecycle::Draining, 11)]);
    assert_eq!(harness.lifecycle("s-1"), Lifecycle::Ready);
    harness.report(CONSUL, vec![assertion("s-1", Lifecycle::Draining, 12)]);
    assert_eq!(harness.lifecycle("s-1"), Lifecycle::Draining);
}

#[test]
fn drain_of_all_endpoints_takes_effect() {
    let mut harness = ViewHarness::with_advisory_consul(6);
    harness.report(CONSUL, assertions(0..6, Lifecycle::Draining, 11));
    assert_eq!((harness.ready_count(), harness.published.len()), (0, 6));
}

/// Guards against a drain that ends when two Consul agents with different data are queried
/// alternately, so that each response begins a new epoch.
#[test]
fn drain_is_kept_while_epochs_alternate() {
    let mut harness = ViewHarness::with_advisory_consul(4);
    for round in 0..100 {
        let lifecycle = [Lifecycle::Draining, Lifecycle::Ready][round % 2];
        harness.update(
            CONSUL,
            Freshness::Current,
            round as u64 + 1,
            vec![assertion("s-0", lifecycle, 20 - (round % 2) as u64)],
        );
        harness.advance_ms(5_000.0);
        assert_eq!(
            harness.lifecycle("s-0"),
            Lifecycle::Draining,
            "round {round}"
        );
    }
}

#[test]
fn endpoint_with_a_weight_of_zero_drains() {
    let mut harness = ViewHarness::with_advisory_consul(2);
    let mut zero_weight = assertion("s-0", Lifecycle::Ready, 11);
    zero_weight.endpoint = Some(Endpoint {
        weight: 0.0,
        ..endpoint("s-0")
    });
    harness.report(CONSUL, vec![zero_weight]);
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Draining);
    harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Ready, 12)]);
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Ready);
}
