//! Matching of assertions to endpoints, by id or by address, and precedence of descriptions.

mod common;
use common::*;

use endpoint_discovery::*;

#[test]
fn endpoint_listed_by_consul_alone_is_used_only_if_allowed() {
    let mut harness = ViewHarness::new(SourcePolicy::advisory("consul"));
    harness.report(CONSUL, assertions(0..2, Lifecycle::Ready, 10));
    assert!(harness.published.is_empty());
    let mut harness = ViewHarness::new(SourcePolicy {
        may_add_endpoints: true,
        ..SourcePolicy::advisory("consul")
    });
    harness.report(CONSUL, assertions(0..2, Lifecycle::Ready, 10));
    assert_eq!(harness.ready_count(), 2);
    harness.handle(Event::SourceLost { source: CONSUL });
    harness.advance_ms(24.0 * 3_600_000.0);
    assert_eq!(
        harness.ready_count(),
        2,
        "endpoints that Consul listed before it was lost for a day are still used"
    );
}

#[test]
fn restarted_endpoint_is_ready_again_under_its_id() {
    let mut harness = ViewHarness::with_advisory_consul(4);
    harness.remove(ENDPOINT_LIST, 2, ["s-0".to_owned()]);
    harness.remove(CONSUL, 11, ["s-0".to_owned()]);
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Gone);
    harness.advance_ms(10_000.0);
    // The endpoint list reports the restart first: Consul's last assertion is about the previous
    // process.
    let mut restarted = assertion("s-0", Lifecycle::Ready, 3);
    restarted.endpoint = Some(Endpoint {
        started_at_ms: harness.now_ms - 100.0,
        ..endpoint("s-0")
    });
    harness.report(ENDPOINT_LIST, vec![restarted]);
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Ready);
    harness.report(CONSUL, vec![assertion("s-0", Lifecycle::Ready, 12)]);
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Ready);
}

fn with_consul_by_address() -> ViewHarness {
    let mut harness = ViewHarness::new(SourcePolicy {
        match_by: MatchBy::Address,
        ..SourcePolicy::advisory("consul")
    });
    harness.report(ENDPOINT_LIST, assertions(0..3, Lifecycle::Ready, 1));
    harness
}

/// Consul's assertion about the address of the endpoint with this id.
fn by_address(id: &str, lifecycle: Lifecycle, version: u64) -> Assertion {
    Assertion {
        key: address(id).to_string(),
        lifecycle,
        version,
        endpoint: None,
    }
}

#[test]
fn assertions_by_address_apply_to_the_endpoint_that_moves_there() {
    let mut harness = with_consul_by_address();
    let other_assertions = [
        by_address("s-1", Lifecycle::Ready, 10),
        by_address("s-2", Lifecycle::Ready, 10),
    ];
    harness.report(
        CONSUL,
        [
            vec![
                by_address("s-0", Lifecycle::Draining, 10),
                by_address("s-7", Lifecycle::Gone, 10),
            ],
            other_assertions.into(),
        ]
        .concat(),
    );
    assert_eq!(harness.lifecycle("s-0"), Lifecycle::Draining);
    // The endpoint moves to an address that Consul reports as gone, then to one that it does not
    // list.
    for (to, expected) in [("s-7", Lifecycle::Gone), ("s-8", Lifecycle::Ready)] {
        let mut moved = assertion("s-0", Lifecycle::Ready, if to == "s-7" { 2 } else { 3 });
        moved.endpoint = Some(Endpoint {
            id: "s-0".into(),
            ..endpoint(to)
        });
        harness.report(ENDPOINT_LIST, vec![moved]);
        assert_eq!(
            harness.lifecycle("s-0"),
            expected,
            "moved to the address of {to}"
        );
    }
    // Another endpoint moves to the draining address.
    let mut other = assertion("s-1", Lifecycle::Ready, 4);
    other.endpoint = Some(Endpoint {
        id: "s-1".into(),
        ..endpoint("s-0")
    });
    harness.report(ENDPOINT_LIST, vec![other]);
    assert_eq!(harness.lifecycle("s-1"), Lifecycle::Draining);
}

#[test]
fn drain_by_address_applies_to_every_endpoint_at_it() {
    let mut harness = with_consul_by_address();
    let mut same_address = assertion("s-9", Lifecycle::Ready, 2);
    same_address.endpoint = Some(Endpoint {
        id: "s-9".into(),
        ..endpoint("s-0")
    });
    harness.report(ENDPOINT_LIST, vec![same_address]);
    harness.report(CONSUL, vec![by_address("s-0", Lifecycle::Draining, 10)]);
    assert_eq!(
        (harness.lifecycle("s-0"), harness.lifecycle("s-9")),
        (Lifecycle::Draining, Lifecycle::Draining)
    );
}

#[test]
fn attributes_come_from_the_source_with_the_latest_start() {
    let mut harness = ViewHarness::new(SourcePolicy {
        may_add_endpoints: true,
        ..SourcePolicy::advisory("consul")
    });
    harness.report(ENDPOINT_LIST, vec![assertion("s-0", Lifecycle::Ready, 1)]);
    let mut moved = assertion("s-0", Lifecycle::Ready, 10);
    moved.endpoint = Some(Endpoint {
        id: "s-0".into(),
        started_at_ms: 5.0,
        zone: "b".into(),
        ..endpoint("s-5")
    });
    harness.report(CONSUL, vec![moved]);
    assert_eq!(harness.published["s-0"].address, Some(address("s-5")));
    assert_eq!(harness.published["s-0"].zone, "b");
}
