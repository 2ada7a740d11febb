//! Polling servers for their load by health checks.

mod common;
use common::*;

use balancer::*;

fn polled_servers(actions: &[Action]) -> Vec<usize> {
    let server = |a: &Action| {
        if let Action::HealthCheck { server } = a {
            Some(server.0)
        } else {
            None
        }
    };
    actions.iter().filter_map(server).collect()
}

fn respond_to_poll(node: &mut Node, server: usize, held: f64) -> Vec<Action> {
    let report = Some(LoadReport {
        in_flight: Some(held),
        queued: None,
    });
    let (server, result) = (ServerId(server), AttemptResult::Served);
    node.feed(Event::HealthChecked {
        server,
        elapsed_ms: 1.0,
        result,
        report,
    })
}

const LOAD_POLL: u64 = 3;

const ATTEMPT_OVERDUE: u64 = 4;

/// Where reports come by health checks only, the lowest of the polled counts decides.
#[test]
fn polled_server_with_the_lowest_count_is_selected() {
    for seed in 0..50 {
        let mut node = Node::new(settings_with_polling(Idempotency::Idempotent), seed);
        node.set_servers(ready_servers(0..20));
        let polled = polled_servers(&node.request(1, 0, 800.0));
        assert_eq!(polled.len(), 5);
        let mut last = Vec::new();
        for (held, server) in [3.0, 2.0, 1.0, 2.0, 3.0].iter().zip(&polled) {
            assert_eq!(sent_server(&last), None, "sent before all had responded");
            last = respond_to_poll(&mut node, *server, *held);
        }
        assert_eq!(sent_server(&last), Some(polled[2]));
    }
}

/// A server that hangs or is gone does not respond: a request must not wait for it beyond a fiftieth of an
/// objective.
#[test]
fn server_that_does_not_respond_to_a_poll_is_passed_over() {
    let mut node = Node::new(settings_with_polling(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..20));
    let actions = node.request(1, 0, 800.0);
    let polled = polled_servers(&actions);
    respond_to_poll(&mut node, polled[1], 4.0);
    let since = node.now;
    assert_eq!(
        sent_server(&expire_timer(&mut node, &actions, LOAD_POLL)),
        Some(polled[1])
    );
    assert!(node.now - since <= 8.0);
}

/// A server may be reported as draining while a request waits for its load report.
#[test]
fn server_that_drains_while_polled_gets_nothing() {
    for seed in 0..20 {
        let mut node = Node::new(settings_with_polling(Idempotency::Idempotent), seed);
        node.set_servers(ready_servers(0..5));
        let polled = polled_servers(&node.request(1, 0, 800.0));
        respond_to_poll(&mut node, polled[0], 0.0);
        let draining = ServerEntry::new(ServerId(polled[0]), Availability::Draining);
        node.feed(Event::ServerList(ServerListUpdate::Changes(vec![draining])));
        let last = polled[1..]
            .iter()
            .map(|server| respond_to_poll(&mut node, *server, 2.0))
            .last();
        assert!(sent_server(&last.expect("polled")).is_some_and(|at| at != polled[0]));
    }
}

/// Sends one request to the only server, which serves it; then another, which stays in flight.
fn one_in_flight(idempotency: Idempotency) -> (Node, Vec<Action>) {
    let mut node = Node::new(settings_with_polling(idempotency), 1);
    node.set_servers(ready_servers(0..1));
    node.request(1, 0, 800.0);
    assert_eq!(sent_server(&respond_to_poll(&mut node, 0, 0.0)), Some(0));
    node.now += 50.0;
    node.end_attempt(1, 0, 50.0, AttemptResult::Served);
    node.request(2, 0, 800.0);
    let sent = respond_to_poll(&mut node, 0, 0.0);
    (node, sent)
}

/// Lost answers and silently dropped connections would cost the whole deadline: a server that holds no request
/// will not answer any more.
#[test]
fn lost_answer_costs_an_attempt_and_not_the_request() {
    let (mut node, sent) = one_in_flight(Idempotency::Idempotent);
    let polled = expire_timer(&mut node, &sent, ATTEMPT_OVERDUE);
    assert_eq!(polled_servers(&polled), [0]);
    let busy = respond_to_poll(&mut node, 0, 1.0);
    assert!(
        !busy.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "it is still working"
    );
    expire_timer(&mut node, &busy, ATTEMPT_OVERDUE);
    let idle = respond_to_poll(&mut node, 0, 0.0);
    let (request, attempt) = (RequestId(2), 0);
    assert_eq!(
        idle,
        [
            Action::Cancel { request, attempt },
            Action::CloseIdle {
                server: ServerId(0)
            }
        ]
    );
    node.now += 1.0;
    node.end_attempt(2, 0, 80.0, AttemptResult::Cancelled);
    assert_eq!(
        sent_server(&respond_to_poll(&mut node, 0, 0.0)),
        Some(0),
        "sent again"
    );
}

/// A health check sent before the attempt may end after it: its report says nothing of the attempt.
#[test]
fn late_poll_response_cancels_nothing() {
    let mut node = Node::new(settings_with_polling(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..2));
    let actions = node.request(1, 0, 800.0);
    let (polled, mut sent) = (
        polled_servers(&actions),
        expire_timer(&mut node, &actions, LOAD_POLL),
    );
    let at = sent_server(&sent).expect("by the counts known before");
    for server in polled {
        sent.extend(respond_to_poll(&mut node, server, 0.0));
    }
    assert!(
        !sent.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "{at}: {sent:?}"
    );
}

/// An overdue non-idempotent request may have run: it could not be retried.
#[test]
fn overdue_non_idempotent_attempt_is_not_asked() {
    let (_, sent) = one_in_flight(Idempotency::NonIdempotent);
    assert!(!sent
        .iter()
        .any(|a| matches!(a, Action::SetTimer { timer, .. } if timer & 7 == ATTEMPT_OVERDUE)));
}

/// Each node keeps to few servers, and all nodes together are spread evenly over them.
#[test]
fn polled_subsets_are_small_and_even() {
    let (nodes, mut load_of) = (400, [0; 100]);
    for me in 0..nodes {
        let mut settings = settings_with_polling(Idempotency::Idempotent);
        (settings.node_index, settings.nodes) = (me, nodes);
        let mut node = Node::new(settings, me as u64);
        node.set_servers(ready_servers(0..100));
        let mut contacted = std::collections::BTreeSet::new();
        for id in 0..12 {
            node.now += 1_000.0;
            let actions = node.request(id, 0, 800.0);
            contacted.extend(polled_servers(&actions));
            expire_timer(&mut node, &actions, LOAD_POLL);
        }
        assert!(contacted.len() <= 5, "{} servers", contacted.len());
        for at in contacted {
            load_of[at] += 1;
        }
    }
    // 400 nodes of 5 servers each are 20 to a server.
    let (least, most) = (
        load_of.iter().min().expect("some"),
        load_of.iter().max().expect("some"),
    );
    assert!(
        *least >= 18 && *most <= 22,
        "{least} to {most} nodes to a server"
    );
}
