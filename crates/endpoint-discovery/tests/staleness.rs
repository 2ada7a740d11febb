//! Sources that are lost, outdated, restored from an older state, or no longer followed.

mod common;
use common::*;

use endpoint_discovery::*;

#[test]
fn removal_by_a_lost_source_ends_when_the_source_expires() {
    let mut harness = ViewHarness::with_advisory_consul(4);
    harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Gone, 11)]);
    harness.handle(Event::SourceLost { source: CONSUL });
    harness.advance_ms(59_000.0);
    assert_eq!(
        harness.lifecycle("s-0"),
        Lifecycle::Gone,
        "the removal is retained"
    );
    harness.advance_ms(1_000.0);
    assert_eq!(
        harness.lifecycle("s-0"),
        Lifecycle::Ready,
        "the removal has expired"
    );
    harness.report(CONSUL, vec![]);
    assert_eq!(
        harness.lifecycle("s-0"),
        Lifecycle::Gone,
        "the source is live again, and its removal takes effect again"
    );
}

#[test]
fn outdated_report_only_drains_until_it_is_confirmed() {
    let mut harness = ViewHarness::with_advisory_consul(4);
    harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Draining, 11)]);
    let outdated = vec![
        assertion("s-0", Lifecycle::Ready, 12),
        assertion("s-1", Lifecycle::Gone, 12),
        assertion("s-2", Lifecycle::Draining, 12),
    ];
    harness.update(CONSUL, Freshness::Outdated, 0, outdated);
    harness.advance_ms(50_000.0);
    let lifecycles = [0, 1, 2].map(|id| harness.lifecycle(&format!("s-{id}")));
    assert_eq!(
        lifecycles,
        [Lifecycle::Draining, Lifecycle::Ready, Lifecycle::Draining]
    );
    harness.report(CONSUL, vec![]);
    let lifecycles = [0, 1, 2].map(|id| harness.lifecycle(&format!("s-{id}")));
    assert_eq!(
        lifecycles,
        [Lifecycle::Ready, Lifecycle::Gone, Lifecycle::Draining],
        "a current report confirms the outdated one"
    );
}

/// Guards against a Consul agent that was restored from a snapshot: its older state must not end a
/// drain, or remove an endpoint, at once.
#[test]
fn new_epoch_takes_effect_only_once_confirmed() {
    let mut harness = ViewHarness::with_advisory_consul(10);
    harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Draining, 50)]);
    harness.update(
        CONSUL,
        Freshness::Current,
        1,
        assertions(0..9, Lifecycle::Ready, 5),
    );
    let removals = vec![Removal {
        key: "s-9".to_owned(),
        version: 5,
    }];
    harness.handle(Event::SourceUpdated {
        source: CONSUL,
        update: SourceUpdate {
            freshness: Freshness::Current,
            epoch: 1,
            assertions: vec![],
            removals,
        },
    });
    harness.advance_ms(29_000.0);
    assert_eq!(
        (harness.lifecycle("s-0"), harness.lifecycle("s-9")),
        (Lifecycle::Draining, Lifecycle::Ready)
    );
    harness.advance_ms(1_000.0);
    assert_eq!(
        (harness.lifecycle("s-0"), harness.lifecycle("s-9")),
        (Lifecycle::Ready, Lifecycle::Gone)
    );
}

#[test]
fn removed_source_has_no_effect() {
    let mut harness = ViewHarness::with_advisory_consul(4);
    harness.report(
        CONSUL,
        vec![
            assertion("s-0", Lifecycle::Draining, 11),
            assertion("s-1", Lifecycle::Gone, 11),
        ],
    );
    assert_eq!(harness.ready_count(), 2);
    harness.handle(Event::SourceRemoved { source: CONSUL });
    assert_eq!(harness.ready_count(), 4);
}
