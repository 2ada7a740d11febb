//! The merge table of `docs/endpoint-discovery/design.md`, entry by entry.

use endpoint_discovery::{merge, EffectiveAssertion, Lifecycle, MergeOutcome, SourceStatus};

const LIFECYCLES: [Option<Lifecycle>; 4] = [
    None,
    Some(Lifecycle::Ready),
    Some(Lifecycle::Draining),
    Some(Lifecycle::Gone),
];
const STATUSES: [SourceStatus; 3] = [
    SourceStatus::Live,
    SourceStatus::Stale,
    SourceStatus::Expired,
];

/// Outcomes for a live or stale other source that may not add endpoints. Rows: the assertion of the
/// endpoint list; columns: that of the other source; both in the order nothing, ready, draining,
/// gone. R ready, D draining, U unlisted, X removed, V removed and disputed.
const ADVISORY: [&str; 4] = ["UUUU", "RRDV", "DDDD", "XVXX"];
/// Outcomes for an expired other source that may not add endpoints.
const ADVISORY_EXPIRED: [&str; 4] = ["UUUU", "RRDR", "DDDD", "XXXX"];
/// Outcomes for a live or stale other source that may add endpoints.
const ADDING: [&str; 4] = ["URDX", "RRDV", "DDDX", "XVXX"];
/// Outcomes for an expired other source that may add endpoints.
const ADDING_EXPIRED: [&str; 4] = ["URDU", "RRDR", "DDDD", "XXXX"];
/// Outcomes if the server has restarted since the assertion of the other source, which is live or
/// stale and may not add endpoints.
const ADVISORY_SUPERSEDED: [&str; 4] = ["UUUU", "RRRR", "DDDD", "XVVX"];

fn letter(outcome: MergeOutcome) -> char {
    match outcome {
        MergeOutcome::Ready => 'R',
        MergeOutcome::Draining => 'D',
        MergeOutcome::Unlisted => 'U',
        MergeOutcome::Removed { disputed: false } => 'X',
        MergeOutcome::Removed { disputed: true } => 'V',
    }
}

/// The assertion of the endpoint list.
fn list_assertion(lifecycle: Option<Lifecycle>, source_status: SourceStatus) -> EffectiveAssertion {
    EffectiveAssertion {
        lifecycle,
        source_status,
        may_add_endpoints: true,
        superseded_by_restart: false,
    }
}

fn check_table(
    table: &[&str; 4],
    other: impl Fn(Option<Lifecycle>) -> EffectiveAssertion,
    list_status: SourceStatus,
) {
    for (row, list_lifecycle) in table.iter().zip(LIFECYCLES) {
        let list = list_assertion(list_lifecycle, list_status);
        for (expected, lifecycle) in row.chars().zip(LIFECYCLES) {
            let other = other(lifecycle);
            assert_eq!(
                letter(merge(&[list, other])),
                expected,
                "endpoint list {list:?}, other source {other:?}"
            );
            assert_eq!(
                letter(merge(&[other, list])),
                expected,
                "outcome depends on the order: other source {other:?}, endpoint list {list:?}"
            );
        }
    }
}

#[test]
fn merge_of_two_sources_matches_every_cell_of_the_table() {
    for list_status in [SourceStatus::Live, SourceStatus::Stale] {
        for source_status in STATUSES {
            let other = |may_add_endpoints: bool, superseded_by_restart: bool| {
                move |lifecycle: Option<Lifecycle>| EffectiveAssertion {
                    lifecycle,
                    source_status,
                    may_add_endpoints,
                    superseded_by_restart,
                }
            };
            let is_expired = source_status == SourceStatus::Expired;
            check_table(
                if is_expired {
                    &ADVISORY_EXPIRED
                } else {
                    &ADVISORY
                },
                other(false, false),
                list_status,
            );
            check_table(
                if is_expired { &ADDING_EXPIRED } else { &ADDING },
                other(true, false),
                list_status,
            );
            if !is_expired {
                check_table(&ADVISORY_SUPERSEDED, other(false, true), list_status);
            }
        }
    }
}

/// The `source` module relies on this: it merges no endpoint again when a source becomes stale, or
/// live again.
#[test]
fn merge_outcome_is_the_same_for_live_and_stale_sources() {
    for (a, b) in LIFECYCLES
        .into_iter()
        .flat_map(|a| LIFECYCLES.map(|b| (a, b)))
    {
        for (may_add_endpoints, superseded_by_restart) in
            [(false, false), (false, true), (true, false), (true, true)]
        {
            let outcome = |source_status| {
                merge(&[
                    list_assertion(a, SourceStatus::Live),
                    EffectiveAssertion {
                        lifecycle: b,
                        source_status,
                        may_add_endpoints,
                        superseded_by_restart,
                    },
                ])
            };
            assert_eq!(
                outcome(SourceStatus::Live),
                outcome(SourceStatus::Stale),
                "live endpoint list asserts {a:?}, other source asserts {b:?}"
            );
        }
    }
}

/// A third source cannot end a drain, and a source that may not add endpoints cannot list one,
/// whatever it asserts.
#[test]
fn third_source_cannot_end_a_drain_or_list_an_endpoint() {
    let assertion = |lifecycle, may_add_endpoints| EffectiveAssertion {
        lifecycle: Some(lifecycle),
        source_status: SourceStatus::Live,
        may_add_endpoints,
        superseded_by_restart: false,
    };
    for lifecycle in LIFECYCLES.into_iter().flatten() {
        for may_add_endpoints in [false, true] {
            let assertions = [
                assertion(Lifecycle::Ready, true),
                assertion(Lifecycle::Draining, false),
                assertion(lifecycle, may_add_endpoints),
            ];
            assert_ne!(
                merge(&assertions),
                MergeOutcome::Ready,
                "third source asserts {lifecycle:?}"
            );
            let assertions = [
                assertion(Lifecycle::Ready, false),
                assertion(lifecycle, false),
            ];
            assert_eq!(merge(&assertions), MergeOutcome::Unlisted);
        }
    }
    assert_eq!(merge(&[]), MergeOutcome::Unlisted);
}
