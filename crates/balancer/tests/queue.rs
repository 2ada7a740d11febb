//! Requests of one key run one at a time, in the order of acceptance.

mod common;
use common::*;

use balancer::*;

fn ordered_node(cooldown_ms: f64) -> Node {
    let mut settings = settings_with_one_class(Idempotency::NonIdempotent);
    (settings.classes[0].ordered_by_key, settings.key_cooldown_ms) = (true, cooldown_ms);
    let mut node = Node::new(settings, 1);
    node.set_servers(ready_servers(0..3));
    node
}

fn request_with_key(node: &mut Node, id: u64, key: &str, timeout_ms: f64) -> Vec<Action> {
    let request = Request {
        key: Some(key.into()),
        ..Request::new(RequestId(id), 0, timeout_ms)
    };
    node.feed(Event::Request(request))
}

/// Requests with the same key run in order; other keys and requests without a key are not delayed.
#[test]
fn requests_of_a_key_run_one_at_a_time() {
    let mut node = ordered_node(0.0);
    assert!(sent_server(&request_with_key(&mut node, 1, "a", 800.0)).is_some());
    let queued = request_with_key(&mut node, 2, "a", 800.0);
    assert!(sent_server(&queued).is_none() && !is_rejected(&queued));
    assert!(sent_server(&request_with_key(&mut node, 3, "b", 800.0)).is_some());
    assert!(sent_server(&node.request(4, 0, 800.0)).is_some());
    let next = node.end_attempt(1, 0, 40.0, AttemptResult::Served);
    assert!(
        matches!(
            next[..],
            [Action::Send {
                request: RequestId(2),
                ..
            }]
        ),
        "the next request of the key must be sent: {next:?}"
    );
}

/// A request stays at the head of its key's queue while it is retried, and while an attempt has no result.
#[test]
fn next_request_of_a_key_waits_while_an_attempt_is_in_flight() {
    let mut node = ordered_node(100.0);
    request_with_key(&mut node, 1, "a", 800.0);
    request_with_key(&mut node, 2, "a", 800.0);
    let retried = node.end_attempt(1, 0, 1.0, AttemptResult::Overloaded);
    assert!(
        retried.iter().any(|a| matches!(
            a,
            Action::Send {
                request: RequestId(1),
                ..
            }
        )),
        "the first request must be retried: {retried:?}"
    );
    let gone = node.feed(Event::ClientGone(RequestId(1)));
    assert!(
        sent_server(&gone).is_none(),
        "the next request must wait while an attempt is in flight"
    );
    let ended = node.end_attempt(1, 1, 5.0, AttemptResult::Cancelled);
    assert!(
        sent_server(&ended).is_none(),
        "the next request must wait for the end of the cooldown"
    );
    assert!(
        sent_server(&expire_timer(&mut node, &ended, 2)).is_some(),
        "the next request must be sent when the cooldown ends"
    );
}

/// A request that stays queued never ran, so it is rejected before its deadline.
#[test]
fn request_queued_too_long_is_rejected_before_its_deadline() {
    let mut node = ordered_node(0.0);
    request_with_key(&mut node, 1, "a", 800.0);
    let queued = request_with_key(&mut node, 2, "a", 200.0);
    let since = node.now;
    assert!(is_rejected(&expire_timer(&mut node, &queued, 1)));
    assert!(node.now - since < 200.0);
    assert!(
        node.end_attempt(1, 0, 400.0, AttemptResult::Served)
            .is_empty(),
        "a rejected request must not be sent"
    );
}
