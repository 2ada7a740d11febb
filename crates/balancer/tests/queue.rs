//! Requests of one key, which run in order.

mod common;
use common::*;

use balancer::*;

fn in_order(quiet_ms: f64) -> Node {
    let mut settings = one_class(Idempotency::NonIdempotent);
    (settings.classes[0].ordered_by_key, settings.key_quiet_ms) = (true, quiet_ms);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..3));
    node
}

fn keyed(node: &mut Node, id: u64, key: &str, budget_ms: f64) -> Vec<Action> {
    let request = Request {
        key: Some(key.into()),
        ..Request::new(RequestId(id), 0, budget_ms)
    };
    node.feed(Event::Request(request))
}

/// Requests of one key run in turn; other keys, and requests without one, are not held up.
#[test]
fn requests_of_a_key_run_in_turn() {
    let mut node = in_order(0.0);
    assert!(send_of(&keyed(&mut node, 1, "a", 800.0)).is_some());
    let waits = keyed(&mut node, 2, "a", 800.0);
    assert!(send_of(&waits).is_none() && !refused(&waits));
    assert!(send_of(&keyed(&mut node, 3, "b", 800.0)).is_some());
    assert!(send_of(&node.request(4, 0, 800.0)).is_some());
    let next = node.end(1, 0, 40.0, AttemptResult::Served);
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

/// The turn is kept by a retry, and not given up while an attempt is without its outcome.
#[test]
fn turn_lasts_until_no_attempt_is_in_flight() {
    let mut node = in_order(100.0);
    keyed(&mut node, 1, "a", 800.0);
    keyed(&mut node, 2, "a", 800.0);
    let again = node.end(1, 0, 1.0, AttemptResult::Overloaded);
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
    assert!(send_of(&gone).is_none(), "its attempt is still out");
    let over = node.end(1, 1, 5.0, AttemptResult::Cancelled);
    assert!(send_of(&over).is_none(), "the key rests");
    assert!(
        send_of(&fire(&mut node, &over, 2)).is_some(),
        "and then the next one runs"
    );
}

/// A request whose turn does not come is refused within its time: it never ran.
#[test]
fn request_whose_turn_does_not_come_is_rejected_in_time() {
    let mut node = in_order(0.0);
    keyed(&mut node, 1, "a", 800.0);
    let waits = keyed(&mut node, 2, "a", 200.0);
    let since = node.now;
    assert!(refused(&fire(&mut node, &waits, 1)));
    assert!(node.now - since < 200.0);
    assert!(
        node.end(1, 0, 400.0, AttemptResult::Served).is_empty(),
        "nothing more is sent for it"
    );
}
