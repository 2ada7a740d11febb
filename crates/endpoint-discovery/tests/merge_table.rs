//! The merge table of `docs/endpoint-discovery/design.md`, cell by cell.

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

/// Rows: what the endpoint list asserts. Columns: what the other source asserts (nothing, ready,
/// draining, gone), live or stale. R ready, D draining, U unlisted, X removed, V removed and
/// disputed.
const ADVISORY: [&str; 4] = ["UUUU", "RRDV", "DDDD", "XVXX"];
/// The same for an expired other source.
const ADVISORY_EXPIRED: [&str; 4] = ["UUUU", "RRDR", "DDDD", "XXXX"];
/// The other source may add endpoints.
const ADDING: [&str; 4] = ["URDX", "RRDV", "DDDX", "XVXX"];
const ADDING_EXPIRED: [&str; 4] = ["URDU", "RRDR", "DDDD", "XXXX"];
/// The server has restarted since the other source's assertion.
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

/// What the endpoint list asserts.
fn listed(lifecycle: Option<Lifecycle>, source_status: SourceStatus) -> EffectiveAssertion {
    EffectiveAssertion {
        lifecycle,
        source_status,
        may_add_endpoints: true,
        superseded_by_restart: false,
    }
}

fn check(
    table: &[&str; 4],
    other: impl Fn(Option<Lifecycle>) -> EffectiveAssertion,
    list_status: SourceStatus,
) {
    for (row, list_lifecycle) in table.iter().zip(LIFECYCLES) {
        let listed = listed(list_lifecycle, list_status);
        for (expected, lifecycle) in row.chars().zip(LIFECYCLES) {
            let other = other(lifecycle);
            assert_eq!(
                letter(merge(&[listed, other])),
                expected,
                "{listed:?} beside {other:?}"
            );
            assert_eq!(
                letter(merge(&[other, listed])),
                expected,
                "the order of sources makes no difference"
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
            check(
                if is_expired {
                    &ADVISORY_EXPIRED
                } else {
                    &ADVISORY
                },
                other(false, false),
                list_status,
            );
            check(
                if is_expired { &ADDING_EXPIRED } else { &ADDING },
                other(true, false),
                list_status,
            );
            if !is_expired {
                check(&ADVISORY_SUPERSEDED, other(false, true), list_status);
            }
        }
    }
}

/// `source` relies on it: a source that becomes stale and live again changes no outcome.
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
                    listed(a, SourceStatus::Live),
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
                "{a:?}, {b:?}"
            );
        }
    }
}

/// No ready assertion of a third source cancels a drain, and only sources that may add endpoints
/// list one.
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
            let all = [
                assertion(Lifecycle::Ready, true),
                assertion(Lifecycle::Draining, false),
                assertion(lifecycle, may_add_endpoints),
            ];
            assert_ne!(merge(&all), MergeOutcome::Ready, "{lifecycle:?}");
            let all = [
                assertion(Lifecycle::Ready, false),
                assertion(lifecycle, false),
            ];
            assert_eq!(merge(&all), MergeOutcome::Unlisted);
        }
    }
    assert_eq!(merge(&[]), MergeOutcome::Unlisted);
}
