//! Polling servers for their load by health checks.

mod common;
use common::*;

use balancer::*;

fn probed(actions: &[Action]) -> Vec<usize> {
    let server = |a: &Action| {
        if let Action::HealthCheck { server } = a {
            Some(server.0)
        } else {
            None
        }
    };
    actions.iter().filter_map(server).collect()
}

fn load(node: &mut Node, server: usize, held: f64) -> Vec<Action> {
    let report = Some(LoadReport {
        in_flight: Some(held),
        queued: None,
    });
    let (server, ending) = (ServerId(server), AttemptResult::Served);
    node.feed(Event::HealthChecked {
        server,
        elapsed_ms: 1.0,
        result: ending,
        report,
    })
}

const ASKED: u64 = 3;

const OVERDUE: u64 = 4;

/// Where reports come with probes only there were no counts at all: the freshly lowest count must decide.
#[test]
fn polled_server_with_the_lowest_count_is_selected() {
    for seed in 0..50 {
        let mut node = Node::new(asking(Idempotency::Idempotent), seed);
        node.servers(ready(0..20));
        let asked = probed(&node.request(1, 0, 800.0));
        assert_eq!(asked.len(), 5);
        let mut last = Vec::new();
        for (held, server) in [3.0, 2.0, 1.0, 2.0, 3.0].iter().zip(&asked) {
            assert_eq!(send_of(&last), None, "sent before all had answered");
            last = load(&mut node, *server, *held);
        }
        assert_eq!(send_of(&last), Some(asked[2]));
    }
}

/// A server that hangs or is gone answers no probe: a request must not wait for it beyond a fiftieth of an aim.
#[test]
fn server_that_does_not_respond_to_a_poll_is_passed_over() {
    let mut node = Node::new(asking(Idempotency::Idempotent), 1);
    node.servers(ready(0..20));
    let actions = node.request(1, 0, 800.0);
    let asked = probed(&actions);
    load(&mut node, asked[1], 4.0);
    let since = node.now;
    assert_eq!(send_of(&fire(&mut node, &actions, ASKED)), Some(asked[1]));
    assert!(node.now - since <= 8.0);
}

/// A server asked for its load may be told draining while the request waits for the answers.
#[test]
fn server_that_drains_while_polled_gets_nothing() {
    for seed in 0..20 {
        let mut node = Node::new(asking(Idempotency::Idempotent), seed);
        node.servers(ready(0..5));
        let asked = probed(&node.request(1, 0, 800.0));
        load(&mut node, asked[0], 0.0);
        let draining = ServerEntry::new(ServerId(asked[0]), Availability::Draining);
        node.feed(Event::ServerList(ServerListUpdate::Changes(vec![draining])));
        let last = asked[1..]
            .iter()
            .map(|server| load(&mut node, *server, 2.0))
            .last();
        assert!(send_of(&last.expect("asked")).is_some_and(|at| at != asked[0]));
    }
}

/// Sends one request to the only server and has it answered; then another, which stays out.
fn one_out(effect: Idempotency) -> (Node, Vec<Action>) {
    let mut node = Node::new(asking(effect), 1);
    node.servers(ready(0..1));
    node.request(1, 0, 800.0);
    assert_eq!(send_of(&load(&mut node, 0, 0.0)), Some(0));
    node.now += 50.0;
    node.end(1, 0, 50.0, AttemptResult::Served);
    node.request(2, 0, 800.0);
    let sent = load(&mut node, 0, 0.0);
    (node, sent)
}

/// Lost answers and connections dropped unseen cost the whole deadline: a server that holds nothing will not
/// answer any more.
#[test]
fn lost_answer_costs_an_attempt_and_not_the_request() {
    let (mut node, sent) = one_out(Idempotency::Idempotent);
    let asked = fire(&mut node, &sent, OVERDUE);
    assert_eq!(probed(&asked), [0]);
    let busy = load(&mut node, 0, 1.0);
    assert!(
        !busy.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "it is still at it"
    );
    fire(&mut node, &busy, OVERDUE);
    let idle = load(&mut node, 0, 0.0);
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
    node.end(2, 0, 80.0, AttemptResult::Cancelled);
    assert_eq!(send_of(&load(&mut node, 0, 0.0)), Some(0), "sent again");
}

/// The answer to a probe sent before the attempt may come after it: it says nothing of the attempt.
#[test]
fn late_poll_response_cancels_nothing() {
    let mut node = Node::new(asking(Idempotency::Idempotent), 1);
    node.servers(ready(0..2));
    let actions = node.request(1, 0, 800.0);
    let (asked, mut sent) = (probed(&actions), fire(&mut node, &actions, ASKED));
    let at = send_of(&sent).expect("by what is known");
    for server in asked {
        sent.extend(load(&mut node, server, 0.0));
    }
    assert!(
        !sent.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "{at}: {sent:?}"
    );
}

/// An unsafe request that is overdue may have run: nothing may be tried for it.
#[test]
fn overdue_non_idempotent_attempt_is_not_polled() {
    let (_, sent) = one_out(Idempotency::NonIdempotent);
    assert!(!sent
        .iter()
        .any(|a| matches!(a, Action::SetTimer { timer, .. } if timer & 7 == OVERDUE)));
}

/// Each node keeps to few servers, and all nodes together are spread evenly over them.
#[test]
fn polled_subsets_are_small_and_even() {
    let (nodes, mut load_of) = (400, [0; 100]);
    for me in 0..nodes {
        let mut settings = asking(Idempotency::Idempotent);
        (settings.node_index, settings.nodes) = (me, nodes);
        let mut node = Node::new(settings, me as u64);
        node.servers(ready(0..100));
        let mut met = std::collections::BTreeSet::new();
        for id in 0..12 {
            node.now += 1_000.0;
            let actions = node.request(id, 0, 800.0);
            met.extend(probed(&actions));
            fire(&mut node, &actions, ASKED);
        }
        assert!(met.len() <= 5, "{} servers", met.len());
        for at in met {
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
