//! Limits on endpoints per source, removed endpoints and log lines.

mod common;
use common::*;

use endpoint_discovery::*;

#[test]
fn endpoints_beyond_the_limit_are_ignored_and_logged_once() {
    let mut harness = ViewHarness::new(SourcePolicy {
        may_add_endpoints: true,
        ..SourcePolicy::advisory("consul")
    });
    harness.report(
        CONSUL,
        assertions(0..MAX_ENDPOINTS + 100, Lifecycle::Ready, 1),
    );
    harness.report(
        CONSUL,
        assertions(0..MAX_ENDPOINTS + 100, Lifecycle::Ready, 2),
    );
    assert_eq!(harness.ready_count(), MAX_ENDPOINTS);
    assert_eq!(
        harness
            .log
            .iter()
            .filter(|event| matches!(event, LogEvent::TooManyEndpoints { .. }))
            .count(),
        1
    );
}

/// Guards against unlimited memory use by a source whose endpoints come and go under new ids: the
/// records of removed endpoints are evicted.
#[test]
fn endpoints_that_never_return_do_not_grow_the_view() {
    let mut harness = ViewHarness::new(SourcePolicy {
        may_add_endpoints: true,
        panic_share: 1.0,
        ..SourcePolicy::advisory("consul")
    });
    for round in 0..200 {
        let ids = round * 100..(round + 1) * 100;
        harness.report(
            CONSUL,
            assertions(ids.clone(), Lifecycle::Ready, round as u64 * 2 + 1),
        );
        harness.remove(
            CONSUL,
            round as u64 * 2 + 2,
            ids.map(|id| format!("s-{id}")),
        );
        assert!(harness.published.is_empty());
    }
    // The remaining tombstones count toward the limit; the rest of it is available to new
    // endpoints.
    let new_ids = 30_000..30_000 + MAX_ENDPOINTS - MAX_TOMBSTONES;
    harness.report(CONSUL, assertions(new_ids.clone(), Lifecycle::Ready, 9_999));
    assert_eq!(harness.ready_count(), new_ids.len());
    assert!(!harness
        .log
        .iter()
        .any(|event| matches!(event, LogEvent::TooManyEndpoints { .. })));
}

#[test]
fn disagreements_are_logged_once_and_up_to_the_limit() {
    let mut harness = ViewHarness::with_advisory_consul(40);
    harness.report(CONSUL, assertions(0..19, Lifecycle::Draining, 11));
    let logged_count = |harness: &ViewHarness| {
        harness
            .log
            .iter()
            .filter(|event| matches!(event, LogEvent::Disagreement { .. }))
            .count()
    };
    assert_eq!(logged_count(&harness), 8);
    assert!(harness.log.contains(&LogEvent::MoreDisagreements(11)));
    harness.report(CONSUL, assertions(0..19, Lifecycle::Draining, 12));
    assert_eq!(
        logged_count(&harness),
        8,
        "a repeated disagreement is not logged again"
    );
    let line = harness
        .log
        .iter()
        .find(|event| matches!(event, LogEvent::Disagreement { .. }))
        .expect("a disagreement is logged");
    assert_eq!(
        line.to_string(),
        "view: \"s-0\" is draining; sources disagree: list reports ready, consul reports draining"
    );
}
