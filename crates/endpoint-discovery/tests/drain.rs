//! Draining endpoints: at once, by any source, and ended only by that source or a restart.

mod common;
use common::*;

use endpoint_discovery::*;

#[test]
fn drain_takes_effect_at_once_and_is_ended_by_its_source_alone() {
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
    assert_eq!(harness.ready_count(), 3, "no other endpoint is lost");
}

/// Guards against a process that is kept out because its predecessor drained, and against a drain that
/// ends because an earlier start is learnt late.
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
    // The same version again is not newer than the start; another version is.
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

/// Guards against two Consul agents with different data that are queried in turn.
#[test]
fn drain_is_kept_by_epochs_that_alternate() {
    let mut harness = ViewHarness::with_advisory_consul(4);
    for turn in 0..100 {
        let lifecycle = [Lifecycle::Draining, Lifecycle::Ready][turn % 2];
        harness.update(
            CONSUL,
            Freshness::Current,
            turn as u64 + 1,
            vec![assertion("s-0", lifecycle, 20 - (turn % 2) as u64)],
        );
        harness.advance_ms(5_000.0);
        assert_eq!(harness.lifecycle("s-0"), Lifecycle::Draining, "turn {turn}");
    }
}

#[test]
fn endpoint_of_weight_zero_drains() {
    let mut harness = ViewHarness::with_advisory_consul(2);
    let mut weightless = assertion("s-0", Lifecycle::Ready, 11);
    weightless.endpoint = Some(Endpoint {
        weight: 0.0,
        ..endpoint("s-0")
    });
    harness.report(CONSUL, vec![weightless]);
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Draining);
    harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Ready, 12)]);
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Ready);
}
