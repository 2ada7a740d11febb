//! Requests of one key, which run in order.

mod common;
use common::*;

use balancer::*;

fn ordered_node(quiet_ms: f64) -> Node {
    let mut settings = settings_with_one_class(Idempotency::NonIdempotent);
    (settings.classes[0].ordered_by_key, settings.key_cooldown_ms) = (true, quiet_ms);
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

/// Requests with one key run in turn; other keys, and requests without a key, are not delayed.
#[test]
fn requests_of_a_key_run_in_turn() {
    let mut node = ordered_node(0.0);
    assert!(sent_server(&request_with_key(&mut node, 1, "a", 800.0)).is_some());
    let waits = request_with_key(&mut node, 2, "a", 800.0);
    assert!(sent_server(&waits).is_none() && !is_rejected(&waits));
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
        "{next:?}"
    );
}

/// A retry keeps the turn, and the turn does not end while an attempt has no result.
#[test]
fn turn_lasts_until_no_attempt_is_in_flight() {
    let mut node = ordered_node(100.0);
    request_with_key(&mut node, 1, "a", 800.0);
    request_with_key(&mut node, 2, "a", 800.0);
    let again = node.end_attempt(1, 0, 1.0, AttemptResult::Overloaded);
    assert!(
        again.iter().any(|a| matches!(
            a,
            Action::Send {
                request: RequestId(1),
                ..
            }
        )),
        "{again:?}"
    );
    let gone = node.feed(Event::ClientGone(RequestId(1)));
    assert!(
        sent_server(&gone).is_none(),
        "its attempt is still in flight"
    );
    let over = node.end_attempt(1, 1, 5.0, AttemptResult::Cancelled);
    assert!(
        sent_server(&over).is_none(),
        "the key is in its quiet period"
    );
    assert!(
        sent_server(&expire_timer(&mut node, &over, 2)).is_some(),
        "and then the next one runs"
    );
}

/// A request whose turn does not come is rejected within its time: it never ran.
#[test]
fn request_whose_turn_does_not_come_is_rejected_in_time() {
    let mut node = ordered_node(0.0);
    request_with_key(&mut node, 1, "a", 800.0);
    let waits = request_with_key(&mut node, 2, "a", 200.0);
    let since = node.now;
    assert!(is_rejected(&expire_timer(&mut node, &waits, 1)));
    assert!(node.now - since < 200.0);
    assert!(
        node.end_attempt(1, 0, 400.0, AttemptResult::Served)
            .is_empty(),
        "nothing more happens to it"
    );
}
