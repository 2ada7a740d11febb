//! Outlier detection: which results eject a server, and which do not.

mod common;
use common::*;

use balancer::*;

/// A server that fails quickly reports a short queue and would attract more requests.
#[test]
fn server_that_fails_quickly_is_ejected_until_it_serves() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..4));
    let run = |node: &mut Node, from: u64, bad: bool| {
        let mut sent = 0;
        for id in from..from + 400 {
            let at = node.dispatch(id);
            node.now += 10.0;
            sent += usize::from(at == 0);
            if bad && at == 0 {
                let again =
                    node.end_attempt_with_report(id, 0, 2.0, AttemptResult::Error, Some(0.0));
                let attempt = usize::from(sent_server(&again).is_some());
                node.end_attempt(id, attempt, 30.0, AttemptResult::Served);
            } else {
                node.end_attempt(id, 0, 30.0, AttemptResult::Served);
            }
        }
        sent
    };
    assert!(run(&mut node, 0, false) > 50);
    assert!(
        run(&mut node, 1_000, true) < 25,
        "a failing server keeps its traffic"
    );
    run(&mut node, 2_000, false);
    node.now += 10_000.0;
    run(&mut node, 2_500, false);
    assert!(run(&mut node, 3_000, false) > 50, "it does not recover");
}

/// A server that accepts requests and answers none has an ordinary count.
#[test]
fn silent_server_is_passed_over() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..4));
    let mut hung = 0;
    for id in 0..600 {
        let at = sent_server(&node.request(id, 0, 800.0));
        node.now += 10.0;
        if id > 200 && at == Some(0) {
            hung += 1;
        } else if at.is_some() {
            node.end_attempt_with_report(
                id,
                0,
                30.0,
                AttemptResult::Served,
                Some((1 + id % 3) as f64),
            );
        }
    }
    assert!(hung < 12, "{hung} requests went to a silent server");
}

/// Where a node seldom hears of a server, three failures in a row take half a minute: one is enough.
#[test]
fn one_failure_ejects_where_little_is_heard() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.nodes = 200;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready_servers(0..40));
    let (mut failures, mut contacted) = (0, Vec::new());
    for id in 0..400 {
        let (mut at, mut attempt) = (node.dispatch(id), 0);
        if id < 50 && !contacted.contains(&at) {
            contacted.push(at);
        }
        node.now += 100.0;
        // From the fiftieth request on, half of the servers that it has contacted are unreachable.
        while id >= 50 && contacted.iter().step_by(2).any(|down| *down == at) {
            failures += 1;
            let Some(next) =
                sent_server(&node.end_attempt(id, attempt, 5.0, AttemptResult::Unreachable))
            else {
                break;
            };
            (at, attempt) = (next, attempt + 1);
        }
        node.end_attempt(id, attempt, 50.0, AttemptResult::Served);
    }
    // In turn they would be sent half of all requests; trials are a sixteenth at the most.
    let down = contacted.len().div_ceil(2);
    assert!(
        (1..=down + 350 / 16).contains(&failures),
        "{failures} attempts at {down} servers that are down"
    );
}

/// One malformed response may come from any server; a server that sends nothing else is ejected.
#[test]
fn only_repeated_malformed_responses_eject() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..2));
    let mut outs = 0;
    for id in 0..3 {
        let sent = node.request(id, 0, 800.0);
        let mut at = sent_server(&sent).expect("sent");
        let mut attempt = 0;
        while at != 0 {
            node.now += 1.0;
            let again = node.end_attempt(id, attempt, 1.0, AttemptResult::Error);
            attempt += 1;
            at = sent_server(&again).expect("sent again");
        }
        node.now += 1.0;
        let notes = node.end_attempt(id, attempt, 1.0, AttemptResult::Malformed);
        outs += notes
            .iter()
            .filter(|a| matches!(a, Action::Log(LogEvent::ServerEjected(ServerId(0)))))
            .count();
        assert_eq!(
            outs,
            usize::from(id == 2),
            "after {} malformed responses",
            id + 1
        );
        node.feed(Event::ClientGone(RequestId(id)));
        node.now += 10_000.0;
    }
}

/// Connections break now and then, and must not eject one server after another; the second reset in a row does.
#[test]
fn only_repeated_connection_resets_eject() {
    for (breaks, stays) in [(1, true), (2, false)] {
        let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
        node.set_servers(ready_servers(0..2));
        for id in 0..breaks {
            // The other server is not listed meanwhile, so that every request goes to the first.
            node.set_servers(ready_servers(0..1));
            node.dispatch(id);
            node.set_servers(ready_servers(0..2));
            node.end_attempt(id, 0, 1.0, AttemptResult::Reset);
        }
        node.now += 10.0;
        let contacted = (10..40).any(|id| node.dispatch(id) == 0);
        assert_eq!(contacted, stays, "after {breaks}");
    }
}

/// A server that has answered a later request does not hang: only the connection fell silent. Without such an
/// answer the time-out ejects it.
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
        let contacted = (10..30).any(|id| sent_server(&node.request(id, 0, 800.0)) == Some(0));
        assert_eq!(contacted, answers);
    }
}

/// A server that rejects one tenant must not be lost for the others.
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
        while let Some(at) = sent_server(&actions) {
            sent[tenant] += usize::from(at == 0);
            let full = at == 0 && tenant == 0;
            actions = node.end_attempt(
                id,
                attempt,
                50.0,
                if full {
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
        "the other tenant does not use the server any more: {sent:?}"
    );
    assert!(sent[0] < 15, "and the first keeps trying: {sent:?}");
}
