//! Properties that hold for every sequence of assertions.

mod common;
use common::*;

use endpoint_discovery::*;
use proptest::prelude::*;

const ENDPOINTS: usize = 5;

fn lifecycle() -> impl Strategy<Value = Lifecycle> {
    prop_oneof![
        3 => Just(Lifecycle::Ready),
        1 => Just(Lifecycle::Draining),
        1 => Just(Lifecycle::Gone),
    ]
}

fn any_source() -> impl Strategy<Value = SourceId> {
    prop_oneof![Just(ENDPOINT_LIST), Just(CONSUL)]
}

/// A source's assertions about some endpoints, each with a version of its own.
fn versioned_assertions(source: SourceId) -> impl Strategy<Value = Vec<(SourceId, Assertion)>> {
    proptest::collection::vec((0..ENDPOINTS, lifecycle()), 0..20).prop_map(move |all| {
        all.into_iter()
            .enumerate()
            .map(|(index, (id, lifecycle))| {
                let version = index as u64 + 1;
                (source, assertion(&format!("s-{id}"), lifecycle, version))
            })
            .collect()
    })
}

/// A step of a test: an event of a source, or the passage of time.
#[derive(Clone, Debug)]
enum Step {
    Report(Freshness, u64, Vec<(usize, Lifecycle)>),
    Remove(Vec<usize>),
    Lose,
    AdvanceMs(f64),
}

fn step() -> impl Strategy<Value = Step> {
    let endpoints = proptest::collection::vec((0..ENDPOINTS, lifecycle()), 1..8);
    let freshness = prop_oneof![
        4 => Just(Freshness::Current),
        1 => Just(Freshness::Outdated),
    ];
    prop_oneof![
        4 => (freshness, 0..3u64, endpoints)
            .prop_map(|(freshness, epoch, endpoints)| Step::Report(freshness, epoch, endpoints)),
        2 => proptest::collection::vec(0..ENDPOINTS, 1..ENDPOINTS).prop_map(Step::Remove),
        1 => Just(Step::Lose),
        3 => (0.0..100_000.0).prop_map(Step::AdvanceMs),
    ]
}

fn perform(harness: &mut ViewHarness, source: SourceId, version: u64, step: Step) {
    match step {
        Step::Report(freshness, epoch, endpoints) => {
            let assertions = endpoints
                .into_iter()
                .map(|(id, lifecycle)| assertion(&format!("s-{id}"), lifecycle, version))
                .collect();
            harness.update(source, freshness, epoch, assertions);
        }
        Step::Remove(ids) => {
            harness.remove(source, version, ids.into_iter().map(|id| format!("s-{id}")));
        }
        Step::Lose => drop(harness.handle(Event::SourceLost { source })),
        Step::AdvanceMs(ms) => harness.advance_ms(ms),
    }
}

/// A view in which both sources have reported every endpoint as ready.
fn view_with_all_ready(consul: SourcePolicy) -> ViewHarness {
    let mut harness = ViewHarness::new(consul);
    for source in [ENDPOINT_LIST, CONSUL] {
        harness.report(source, assertions(0..ENDPOINTS, Lifecycle::Ready, 1));
    }
    harness
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn view_is_the_same_for_any_order_and_duplication_of_assertions(
        assertions in (versioned_assertions(ENDPOINT_LIST), versioned_assertions(CONSUL))
            .prop_map(|(a, b)| [a, b].concat()),
        seed: u64,
        may_add_endpoints: bool,
    ) {
        let published = |assertions: &[(SourceId, Assertion)]| {
            let policy = SourcePolicy { may_add_endpoints, ..SourcePolicy::advisory("consul") };
            let mut harness = ViewHarness::new(policy);
            for (source, assertion) in assertions {
                harness.report(*source, vec![assertion.clone()]);
                harness.advance_ms(10.0);
            }
            harness.advance_ms(600_000.0);
            harness.published
        };
        let mut random = fastrand::Rng::with_seed(seed);
        let mut shuffled: Vec<_> = assertions
            .iter()
            .flat_map(|assertion| vec![assertion.clone(); random.usize(1..3)])
            .collect();
        random.shuffle(&mut shuffled);
        prop_assert_eq!(published(&assertions), published(&shuffled));
    }

    /// This excludes drains: a source may drain every endpoint.
    #[test]
    fn faulty_source_cannot_empty_the_view_despite_a_live_one(
        steps in proptest::collection::vec(step(), 1..40),
        faulty in any_source(),
    ) {
        // The other source reports all endpoints as ready throughout; the faulty one did so once.
        let mut harness = view_with_all_ready(SourcePolicy::advisory("consul"));
        for (index, step) in steps.into_iter().enumerate() {
            let step = match step {
                Step::Report(freshness, epoch, endpoints) => {
                    let endpoints = endpoints.into_iter().map(|(id, lifecycle)| match lifecycle {
                        Lifecycle::Draining => (id, Lifecycle::Gone),
                        lifecycle => (id, lifecycle),
                    });
                    Step::Report(freshness, epoch, endpoints.collect())
                }
                step => step,
            };
            perform(&mut harness, faulty, index as u64 + 2, step);
            prop_assert!(harness.ready_count() > 0, "no endpoint is ready after step {index}");
        }
    }

    #[test]
    fn drain_is_ended_only_by_a_newer_assertion_of_its_source(
        steps in proptest::collection::vec((any_source(), step()), 1..40),
        draining in any_source(),
    ) {
        let policy = SourcePolicy { may_add_endpoints: true, ..SourcePolicy::advisory("consul") };
        let mut harness = view_with_all_ready(policy);
        harness.report(draining, vec![assertion("s-0", Lifecycle::Draining, 1_000)]);
        for (index, (source, step)) in steps.into_iter().enumerate() {
            // The draining source asserts only older versions, or asserts about other endpoints.
            let step = match step {
                Step::Report(freshness, _, endpoints) if source == draining => {
                    Step::Report(freshness, 0, endpoints)
                }
                step => step,
            };
            perform(&mut harness, source, index as u64 + 2, step);
            prop_assert!(harness.lifecycle("s-0") != Lifecycle::Ready, "drain ended in step {index}");
        }
    }

    #[test]
    fn published_changes_result_in_the_view(
        steps in proptest::collection::vec((any_source(), step()), 1..40),
        may_add_endpoints: bool,
    ) {
        let policy = SourcePolicy { may_add_endpoints, ..SourcePolicy::advisory("consul") };
        let mut harness = ViewHarness::new(policy);
        for (index, (source, step)) in steps.into_iter().enumerate() {
            perform(&mut harness, source, index as u64 + 1, step);
            let mut endpoints: Vec<_> = harness.view.endpoints().cloned().collect();
            endpoints.sort_by(|a, b| a.id.cmp(&b.id));
            let published: Vec<_> = harness.published.values().cloned().collect();
            prop_assert_eq!(&endpoints, &published);
        }
    }
}
