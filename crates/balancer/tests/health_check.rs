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

fn respond_to_poll(node: &mut Node, server: usize, in_flight: f64) -> Vec<Action> {
    let report = Some(LoadReport {
        in_flight: Some(in_flight),
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

/// Code of the timer that ends a poll.
const LOAD_POLL: u64 = 3;

/// Code of the timer of an overdue attempt.
const ATTEMPT_OVERDUE: u64 = 4;

/// Where servers report their load in health checks only, the lowest of the polled counts decides.
#[test]
fn polled_server_with_the_lowest_count_is_selected() {
    for seed in 0..50 {
        let mut node = Node::new(settings_with_polling(Idempotency::Idempotent), seed);
        node.set_servers(ready_servers(0..20));
        let polled = polled_servers(&node.request(1, 0, 800.0));
        assert_eq!(polled.len(), 5);
        let mut last = Vec::new();
        for (in_flight, server) in [3.0, 2.0, 1.0, 2.0, 3.0].iter().zip(&polled) {
            assert_eq!(
                sent_server(&last),
                None,
                "the request was sent before all polled servers had responded"
            );
            last = respond_to_poll(&mut node, *server, *in_flight);
        }
        assert_eq!(sent_server(&last), Some(polled[2]));
    }
}

/// A server that hangs or is gone does not respond to a poll. A request must not wait for it longer than a
/// fiftieth of its objective.
#[test]
fn server_that_does_not_respond_to_a_poll_is_skipped() {
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
fn server_that_drains_while_polled_gets_no_request() {
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
        assert!(sent_server(&last.expect("several servers were polled"))
            .is_some_and(|server| server != polled[0]));
    }
}

/// A node with one server that has served a request and has a second one in flight, and the actions by which
/// that one was sent.
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

/// After a lost answer or a silently dropped connection a request would wait until its deadline. A server that
/// reports no request in flight will not answer, so the attempt is cancelled and the request is sent again.
#[test]
fn lost_answer_costs_only_the_attempt() {
    let (mut node, sent) = one_in_flight(Idempotency::Idempotent);
    let polled = expire_timer(&mut node, &sent, ATTEMPT_OVERDUE);
    assert_eq!(polled_servers(&polled), [0]);
    let busy = respond_to_poll(&mut node, 0, 1.0);
    assert!(
        !busy.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "the attempt must not be cancelled while the server has a request in flight"
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
        "the request must be sent again"
    );
}

/// A health check that was sent before an attempt may end after the attempt was sent. Its report does not
/// include the attempt.
#[test]
fn late_poll_response_cancels_nothing() {
    let mut node = Node::new(settings_with_polling(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..2));
    let actions = node.request(1, 0, 800.0);
    let (polled, mut sent) = (
        polled_servers(&actions),
        expire_timer(&mut node, &actions, LOAD_POLL),
    );
    let selected = sent_server(&sent).expect("the request is sent when the poll times out");
    for server in polled {
        sent.extend(respond_to_poll(&mut node, server, 0.0));
    }
    assert!(
        !sent.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "the attempt at server {selected} must not be cancelled: {sent:?}"
    );
}

/// An overdue non-idempotent request may have run and could not be retried, so no poll is scheduled.
#[test]
fn overdue_non_idempotent_attempt_causes_no_poll() {
    let (_, sent) = one_in_flight(Idempotency::NonIdempotent);
    assert!(!sent
        .iter()
        .any(|a| matches!(a, Action::SetTimer { timer, .. } if timer & 7 == ATTEMPT_OVERDUE)));
}

/// Each node uses few servers, and the nodes are spread evenly over all servers.
#[test]
fn polled_subsets_are_small_and_even() {
    let (nodes, mut nodes_by_server) = (400, [0; 100]);
    for node_index in 0..nodes {
        let mut settings = settings_with_polling(Idempotency::Idempotent);
        (settings.node_index, settings.nodes) = (node_index, nodes);
        let mut node = Node::new(settings, node_index as u64);
        node.set_servers(ready_servers(0..100));
        let mut contacted = std::collections::BTreeSet::new();
        for id in 0..12 {
            node.now += 1_000.0;
            let actions = node.request(id, 0, 800.0);
            contacted.extend(polled_servers(&actions));
            expire_timer(&mut node, &actions, LOAD_POLL);
        }
        assert!(
            contacted.len() <= 5,
            "node {node_index} polled {} servers, expected 5 at most",
            contacted.len()
        );
        for server in contacted {
            nodes_by_server[server] += 1;
        }
    }
    // 400 nodes with 5 servers each, over 100 servers, give 20 nodes per server.
    let (min, max) = (
        nodes_by_server.iter().min().expect("there are servers"),
        nodes_by_server.iter().max().expect("there are servers"),
    );
    assert!(
        *min >= 18 && *max <= 22,
        "{min} to {max} nodes per server, expected 18 to 22"
    );
}
