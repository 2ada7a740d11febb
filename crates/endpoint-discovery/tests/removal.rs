//! Removals: of single endpoints, mass removals, the last resort, and flap damping.

mod common;
use common::*;

use endpoint_discovery::*;

#[test]
fn single_removal_takes_effect_at_once_and_mass_removal_later() {
    let mut harness = ViewHarness::with_advisory_consul(10);
    harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Gone, 11)]);
    assert_eq!(harness.ready_count(), 9);
    harness.report(CONSUL, assertions(0..9, Lifecycle::Gone, 12));
    assert_eq!(
        harness.ready_count(),
        9,
        "eight more removals at once are deferred"
    );
    assert!(harness.log.iter().any(|event| matches!(
        event,
        LogEvent::MassRemovalDeferred {
            removed: 9,
            total: 10,
            ..
        }
    )));
    harness.advance_ms(29_999.0);
    assert_eq!(harness.ready_count(), 9);
    harness.advance_ms(1.0);
    assert_eq!(
        harness.ready_count(),
        1,
        "the mass removal is confirmed after 30 s"
    );
}

/// Guards against a mass removal on a node that starts while all of Consul's health checks fail for
/// a reason unrelated to the servers. Consul has not reported the endpoints before, but the
/// endpoint list has.
#[test]
fn mass_removal_in_the_first_report_is_deferred() {
    for (freshness, gone_count, ready_count) in [
        (Freshness::Current, 1, 9),
        (Freshness::Current, 9, 10),
        (Freshness::Outdated, 10, 10),
    ] {
        let mut harness = ViewHarness::new(SourcePolicy::advisory("consul"));
        harness.report(ENDPOINT_LIST, assertions(0..10, Lifecycle::Ready, 1));
        let mut all = assertions(0..10, Lifecycle::Ready, 10);
        all[..gone_count]
            .iter_mut()
            .for_each(|assertion| assertion.lifecycle = Lifecycle::Gone);
        harness.update(CONSUL, freshness, 0, all);
        assert_eq!(
            harness.ready_count(),
            ready_count,
            "{gone_count} of 10 gone, {freshness:?}"
        );
        harness.advance_ms(29_000.0);
        assert_eq!(harness.ready_count(), ready_count);
        harness.advance_ms(1_000.0);
        assert_eq!(
            harness.ready_count(),
            if freshness == Freshness::Current {
                10 - gone_count
            } else {
                10
            }
        );
    }
}

#[test]
fn mass_removal_by_the_list_is_deferred_only_if_disputed() {
    let mut harness = ViewHarness::new(SourcePolicy::advisory("consul"));
    harness.report(ENDPOINT_LIST, assertions(0..10, Lifecycle::Ready, 1));
    harness.report(CONSUL, assertions(0..4, Lifecycle::Ready, 10));
    harness.remove(ENDPOINT_LIST, 2, (0..9).map(|id| format!("s-{id}")));
    assert_eq!(
        harness.ready_count(),
        5,
        "the four that Consul reports as ready, and the one that is still listed"
    );
    harness.advance_ms(30_000.0);
    assert_eq!(harness.ready_count(), 1);
}

#[test]
fn mass_removal_that_is_revoked_changes_nothing() {
    let mut harness = ViewHarness::with_advisory_consul(10);
    harness.remove(CONSUL, 11, (0..10).map(|id| format!("s-{id}")));
    harness.advance_ms(20_000.0);
    assert_eq!(harness.ready_count(), 10);
    harness.report(CONSUL, assertions(0..10, Lifecycle::Ready, 12));
    harness.advance_ms(3_600_000.0);
    assert_eq!(harness.ready_count(), 10);
    assert!(harness.log.contains(&LogEvent::MassRemovalResolved {
        source: "consul".into()
    }));
}

/// Guards against an empty view while one source still reports the endpoints as ready.
#[test]
fn removal_of_all_by_one_source_starts_the_last_resort() {
    for (source, version) in [(CONSUL, 11), (ENDPOINT_LIST, 2)] {
        let mut harness = ViewHarness::with_advisory_consul(6);
        harness.remove(source, version, (0..6).map(|id| format!("s-{id}")));
        harness.advance_ms(3_600_000.0);
        assert_eq!(harness.ready_count(), 6, "removed by source {source}");
        assert!(harness
            .log
            .contains(&LogEvent::LastResortStarted { endpoints: 6 }));
        harness.report(
            source,
            vec![assertion("s-3", Lifecycle::Ready, version + 1)],
        );
        harness.advance_ms(60_000.0);
        assert_eq!(
            (harness.ready_count(), harness.lifecycle("s-3")),
            (1, Lifecycle::Ready),
            "once an endpoint is ready again, the removals take effect again"
        );
        assert!(harness.log.contains(&LogEvent::LastResortEnded));
    }
}

#[test]
fn flapping_endpoint_is_damped_and_its_drain_is_not() {
    let mut harness = ViewHarness::with_advisory_consul(10);
    let (mut version, mut delays_ms) = (11, Vec::new());
    for _ in 0..6 {
        harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Gone, version)]);
        assert_eq!(
            harness.lifecycle("s-0"),
            Lifecycle::Gone,
            "the removal takes effect at once"
        );
        harness.report(
            CONSUL,
            vec![assertion("s-0", Lifecycle::Ready, version + 1)],
        );
        let returned_at_ms = harness.now_ms;
        while harness.lifecycle("s-0") != Lifecycle::Ready {
            harness.advance_ms(100.0);
            assert!(
                harness.now_ms - returned_at_ms < 61_000.0,
                "not ready 61 s after its return"
            );
        }
        delays_ms.push(harness.now_ms - returned_at_ms);
        version += 2;
    }
    assert_eq!(
        delays_ms[0], 0.0,
        "one removal and return is not flapping, and causes no delay"
    );
    assert!(
        delays_ms[5] > 4.0 * delays_ms[1] && delays_ms[1] > 1_000.0,
        "delays in ms after each return: {delays_ms:?}"
    );
    harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Gone, version)]);
    harness.report(
        CONSUL,
        vec![assertion("s-0", Lifecycle::Ready, version + 1)],
    );
    harness.report(
        CONSUL,
        vec![assertion("s-0", Lifecycle::Draining, version + 2)],
    );
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Draining);
}
