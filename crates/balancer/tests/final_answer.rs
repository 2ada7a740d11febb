//! Every request gets exactly one final answer.

mod common;
use common::*;

use balancer::*;

#[test]
fn request_without_servers_is_rejected_at_once() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey {
            scope: KeyScope::Cell,
            window_ms: 500.0,
        },
        Idempotency::NonIdempotent,
    ] {
        let mut node = Node::new(settings_with_one_class(idempotency), 1);
        assert!(
            is_rejected(&node.request(1, 0, 100.0)),
            "a request that never ran must be rejected, not failed"
        );
        node.set_servers(Vec::new());
        assert!(is_rejected(&node.request(2, 0, 100.0)));
    }
}

#[test]
fn request_of_unknown_class_fails() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..2));
    assert!(is_failed(&node.request(1, 7, 100.0)));
}

#[test]
fn time_out_at_the_deadline_fails_the_request_at_once() {
    let mut node = Node::new(settings_with_one_class(Idempotency::NonIdempotent), 1);
    node.set_servers(ready_servers(0..3));
    node.dispatch(1);
    node.now += 800.0;
    assert!(is_failed(&node.end_attempt(
        1,
        0,
        800.0,
        AttemptResult::TimedOut
    )));
    assert!(
        node.end_attempt(1, 0, 801.0, AttemptResult::Served)
            .is_empty(),
        "a second result of the attempt must be ignored"
    );
}

#[test]
fn request_of_disconnected_client_gets_no_further_action() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..3));
    node.dispatch(1);
    node.feed(Event::ClientGone(RequestId(1)));
    node.now += 5.0;
    assert!(sent_server(&node.end_attempt(1, 0, 5.0, AttemptResult::Error)).is_none());
    assert!(node.feed(Event::ClientGone(RequestId(1))).is_empty());
}

#[test]
fn events_with_unknown_ids_are_ignored() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..2));
    assert!(node
        .end_attempt(77, 0, 5.0, AttemptResult::Served)
        .is_empty());
    assert!(node.feed(Event::ClientGone(RequestId(77))).is_empty());
    assert!(node.feed(Event::Timer(0)).is_empty() && node.feed(Event::Timer(5)).is_empty());
    assert!(node
        .feed(Event::StreamStarted {
            request: RequestId(7),
            attempt: 0
        })
        .is_empty());
    let health_checked = Event::HealthChecked {
        server: ServerId(99),
        elapsed_ms: 1.0,
        result: AttemptResult::Served,
        report: Some(LoadReport::default()),
    };
    assert!(node.feed(health_checked).is_empty());
    node.dispatch(1);
    assert!(
        node.end_attempt(1, 9, 5.0, AttemptResult::Error).is_empty(),
        "the result of an attempt that was never made must be ignored"
    );
}

/// A client error is not the server's fault, and any other server would give the same answer.
#[test]
fn client_error_ends_the_request_and_ejects_no_server() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..2));
    let server = node.dispatch(1);
    let outcome = Outcome {
        request: RequestId(1),
        attempt: 0,
        elapsed_ms: 1.0,
        result: AttemptResult::ClientError,
        complete: true,
        report: None,
    };
    assert_eq!(node.feed(Event::Outcome(outcome)), []);
    let sent: Vec<_> = (2..4).map(|id| node.dispatch(id)).collect();
    assert!(
        sent.contains(&server),
        "server {server} must still be selected, got {sent:?}"
    );
}
