//! Outlier detection: which results eject a server, and which do not.

mod common;
use common::*;

use balancer::*;

/// A server that fails quickly reports a short queue and would attract more requests.
#[test]
fn server_that_fails_quickly_is_ejected_until_it_serves() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..4));
    let run = |node: &mut Node, from: u64, failing: bool| {
        let mut sent = 0;
        for id in from..from + 400 {
            let server = node.dispatch(id);
            node.now += 10.0;
            sent += usize::from(server == 0);
            if failing && server == 0 {
                let retried =
                    node.end_attempt_with_report(id, 0, 2.0, AttemptResult::Error, Some(0.0));
                let attempt = usize::from(sent_server(&retried).is_some());
                node.end_attempt(id, attempt, 30.0, AttemptResult::Served);
            } else {
                node.end_attempt(id, 0, 30.0, AttemptResult::Served);
            }
        }
        sent
    };
    assert!(
        run(&mut node, 0, false) > 50,
        "a healthy server must get its share of the traffic"
    );
    assert!(
        run(&mut node, 1_000, true) < 25,
        "a failing server must lose its traffic"
    );
    run(&mut node, 2_000, false);
    node.now += 10_000.0;
    run(&mut node, 2_500, false);
    assert!(
        run(&mut node, 3_000, false) > 50,
        "a recovered server must get its share of the traffic again"
    );
}

/// A server that accepts requests and answers none has an inconspicuous count.
#[test]
fn silent_server_gets_few_requests() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..4));
    let mut sent_to_silent = 0;
    for id in 0..600 {
        let server = sent_server(&node.request(id, 0, 800.0));
        node.now += 10.0;
        if id > 200 && server == Some(0) {
            sent_to_silent += 1;
        } else if server.is_some() {
            node.end_attempt_with_report(
                id,
                0,
                30.0,
                AttemptResult::Served,
                Some((1 + id % 3) as f64),
            );
        }
    }
    assert!(
        sent_to_silent < 12,
        "{sent_to_silent} requests went to a silent server, expected under 12"
    );
}

/// On a node that uses each server rarely, three consecutive failures would take half a minute. One failure
/// must eject the server.
#[test]
fn one_failure_ejects_on_a_node_with_few_requests() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.nodes = 200;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready_servers(0..40));
    let (mut failures, mut contacted) = (0, Vec::new());
    for id in 0..400 {
        let (mut server, mut attempt) = (node.dispatch(id), 0);
        if id < 50 && !contacted.contains(&server) {
            contacted.push(server);
        }
        node.now += 100.0;
        // From the 50th request on, half of the contacted servers are unreachable.
        while id >= 50 && contacted.iter().step_by(2).any(|down| *down == server) {
            failures += 1;
            let Some(next) =
                sent_server(&node.end_attempt(id, attempt, 5.0, AttemptResult::Unreachable))
            else {
                break;
            };
            (server, attempt) = (next, attempt + 1);
        }
        node.end_attempt(id, attempt, 50.0, AttemptResult::Served);
    }
    // Without ejections they would get half of all requests; trials are a sixteenth at most.
    let down = contacted.len().div_ceil(2);
    assert!(
        (1..=down + 350 / 16).contains(&failures),
        "{failures} attempts at {down} unreachable servers, expected 1 to {}",
        down + 350 / 16
    );
}

/// Any server may send one malformed response; a server that sends only malformed responses is ejected.
#[test]
fn only_repeated_malformed_responses_eject() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..2));
    let mut ejections = 0;
    for id in 0..3 {
        let sent = node.request(id, 0, 800.0);
        let mut server = sent_server(&sent).expect("the request is sent");
        let mut attempt = 0;
        while server != 0 {
            node.now += 1.0;
            let retried = node.end_attempt(id, attempt, 1.0, AttemptResult::Error);
            attempt += 1;
            server = sent_server(&retried).expect("the request is retried");
        }
        node.now += 1.0;
        let actions = node.end_attempt(id, attempt, 1.0, AttemptResult::Malformed);
        ejections += actions
            .iter()
            .filter(|a| matches!(a, Action::Log(LogEvent::ServerEjected(ServerId(0)))))
            .count();
        assert_eq!(
            ejections,
            usize::from(id == 2),
            "ejections after {} malformed responses",
            id + 1
        );
        node.feed(Event::ClientGone(RequestId(id)));
        node.now += 10_000.0;
    }
}

/// Connections break occasionally, which must not eject one server after another. The second consecutive reset
/// ejects the server.
#[test]
fn only_repeated_connection_resets_eject() {
    for (resets, stays_in_use) in [(1, true), (2, false)] {
        let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
        node.set_servers(ready_servers(0..2));
        for id in 0..resets {
            // The second server is unlisted while the request is sent, so that it goes to the first.
            node.set_servers(ready_servers(0..1));
            node.dispatch(id);
            node.set_servers(ready_servers(0..2));
            node.end_attempt(id, 0, 1.0, AttemptResult::Reset);
        }
        node.now += 10.0;
        let is_selected = (10..40).any(|id| node.dispatch(id) == 0);
        assert_eq!(
            is_selected, stays_in_use,
            "whether the server is still selected after {resets} consecutive resets"
        );
    }
}

/// A server that has answered a later request does not hang; the connection of the earlier one is dead. Without
/// such an answer the time-out ejects the server.
#[test]
fn time_out_overtaken_by_a_later_answer_does_not_eject() {
    for answers in [true, false] {
        let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
        node.set_servers(ready_servers(0..1));
        node.dispatch(0);
        node.now += 10.0;
        node.dispatch(1);
        node.now += 20.0;
        if answers {
            node.end_attempt(1, 0, 20.0, AttemptResult::Served);
        }
        node.set_servers(ready_servers(0..2));
        node.now += 770.0;
        node.end_attempt(0, 0, 800.0, AttemptResult::TimedOut);
        let is_selected = (10..30).any(|id| sent_server(&node.request(id, 0, 800.0)) == Some(0));
        assert_eq!(
            is_selected, answers,
            "the server must be selected only if it answered a later request: {answers}"
        );
    }
}

/// A server that rejects the requests of one tenant must stay in use for the others.
#[test]
fn server_overloaded_for_one_tenant_serves_the_others() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    (settings.tenant_quotas_per_s, settings.nodes) = (vec![1_000.0; 2], 2);
    let mut node = Node::new(settings, 1);
    node.set_servers(ready_servers(0..2));
    let mut sent = [0; 2];
    for id in 0..200 {
        node.now += 20.0;
        let tenant = (id % 2) as usize;
        let mut actions = node.feed(Event::Request(Request {
            tenant,
            ..Request::new(RequestId(id), 0, 800.0)
        }));
        let mut attempt = 0;
        while let Some(server) = sent_server(&actions) {
            sent[tenant] += usize::from(server == 0);
            let overloaded = server == 0 && tenant == 0;
            actions = node.end_attempt(
                id,
                attempt,
                50.0,
                if overloaded {
                    AttemptResult::Overloaded
                } else {
                    AttemptResult::Served
                },
            );
            attempt += 1;
        }
    }
    assert!(
        sent[1] > 20,
        "the second tenant must still use the server, requests sent to it by tenant: {sent:?}"
    );
    assert!(
        sent[0] < 15,
        "the first tenant must stop using the server, requests sent to it by tenant: {sent:?}"
    );
}
