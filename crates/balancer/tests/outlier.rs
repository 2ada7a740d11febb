//! Outlier detection: which results eject a server, and which do not.

mod common;
use common::*;

use balancer::*;

/// A server that fails quickly reports a short queue and would draw more.
#[test]
fn server_that_fails_quickly_is_ejected_until_it_serves() {
    let mut node = Node::new(one_class(Idempotency::Idempotent), 1);
    node.servers(ready(0..4));
    let run = |node: &mut Node, from: u64, bad: bool| {
        let mut sent = 0;
        for id in from..from + 400 {
            let at = node.sent_to(id);
            node.now += 10.0;
            sent += usize::from(at == 0);
            if bad && at == 0 {
                let again = node.report(id, 0, 2.0, AttemptResult::Error, Some(0.0));
                let attempt = usize::from(send_of(&again).is_some());
                node.end(id, attempt, 30.0, AttemptResult::Served);
            } else {
                node.end(id, 0, 30.0, AttemptResult::Served);
            }
        }
        sent
    };
    assert!(run(&mut node, 0, false) > 50);
    assert!(
        run(&mut node, 1_000, true) < 25,
        "a failing server kept its traffic"
    );
    run(&mut node, 2_000, false);
    node.now += 10_000.0;
    run(&mut node, 2_500, false);
    assert!(run(&mut node, 3_000, false) > 50, "it never came back");
}

/// A server that takes requests and answers none has an ordinary count.
#[test]
fn silent_server_is_passed_over() {
    let mut node = Node::new(one_class(Idempotency::Idempotent), 1);
    node.servers(ready(0..4));
    let mut hung = 0;
    for id in 0..600 {
        let at = send_of(&node.request(id, 0, 800.0));
        node.now += 10.0;
        if id > 200 && at == Some(0) {
            hung += 1;
        } else if at.is_some() {
            node.report(
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

/// Where a node seldom hears of a server, three failures in a row take half a minute; one is enough.
#[test]
fn one_failure_ejects_where_little_is_heard() {
    let mut settings = one_class(Idempotency::Idempotent);
    settings.nodes = 200;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..40));
    let (mut failures, mut met) = (0, Vec::new());
    for id in 0..400 {
        let (mut at, mut attempt) = (node.sent_to(id), 0);
        if id < 50 && !met.contains(&at) {
            met.push(at);
        }
        node.now += 100.0;
        // From the fiftieth request on, half of the servers it has met are down.
        while id >= 50 && met.iter().step_by(2).any(|down| *down == at) {
            failures += 1;
            let Some(next) = send_of(&node.end(id, attempt, 5.0, AttemptResult::Unreachable))
            else {
                break;
            };
            (at, attempt) = (next, attempt + 1);
        }
        node.end(id, attempt, 50.0, AttemptResult::Served);
    }
    // By turns they would be sent half of all; trials are a sixteenth at the most.
    let down = met.len().div_ceil(2);
    assert!(
        (1..=down + 350 / 16).contains(&failures),
        "{failures} attempts at {down} servers that are down"
    );
}

/// Guards against taking out good servers for an answer that any of them spoils at times; one that does nothing else
/// is taken out.
#[test]
fn only_repeated_malformed_responses_eject() {
    let mut node = Node::new(one_class(Idempotency::Idempotent), 1);
    node.servers(ready(0..2));
    let mut outs = 0;
    for id in 0..3 {
        let sent = node.request(id, 0, 800.0);
        let mut at = send_of(&sent).expect("sent");
        let mut attempt = 0;
        while at != 0 {
            node.now += 1.0;
            let again = node.end(id, attempt, 1.0, AttemptResult::Error);
            attempt += 1;
            at = send_of(&again).expect("sent again");
        }
        node.now += 1.0;
        let notes = node.end(id, attempt, 1.0, AttemptResult::Malformed);
        outs += notes
            .iter()
            .filter(|a| matches!(a, Action::Log(LogEvent::ServerEjected(ServerId(0)))))
            .count();
        assert_eq!(
            outs,
            usize::from(id == 2),
            "after {} spoilt answers",
            id + 1
        );
        node.feed(Event::ClientGone(RequestId(id)));
        node.now += 10_000.0;
    }
}

/// Guards against taking out one server after another for connections that break now and then; the second in a row is
/// no accident.
#[test]
fn only_repeated_connection_resets_eject() {
    for (breaks, stays) in [(1, true), (2, false)] {
        let mut node = Node::new(one_class(Idempotency::Idempotent), 1);
        node.servers(ready(0..2));
        for id in 0..breaks {
            // The other server is not listed meanwhile, so that all go to the first.
            node.servers(ready(0..1));
            node.sent_to(id);
            node.servers(ready(0..2));
            node.end(id, 0, 1.0, AttemptResult::Reset);
        }
        node.now += 10.0;
        let met = (10..40).any(|id| node.sent_to(id) == 0);
        assert_eq!(met, stays, "after {breaks}");
    }
}

/// Guards against taking a connection that fell silent for a server that hangs: it has answered what was sent later.
/// One that has not is taken out.
#[test]
fn time_out_overtaken_by_a_later_answer_does_not_eject() {
    for answers in [true, false] {
        let mut node = Node::new(one_class(Idempotency::Idempotent), 1);
        node.servers(ready(0..1));
        node.sent_to(0);
        node.now += 10.0;
        node.sent_to(1);
        node.now += 20.0;
        if answers {
            node.end(1, 0, 20.0, AttemptResult::Served);
        }
        node.servers(ready(0..2));
        node.now += 770.0;
        node.end(0, 0, 800.0, AttemptResult::TimedOut);
        let met = (10..30).any(|id| send_of(&node.request(id, 0, 800.0)) == Some(0));
        assert_eq!(met, answers);
    }
}

/// Servers that turned one tenant away were taken out for all, and the rest choked.
#[test]
fn server_overloaded_for_one_tenant_serves_the_others() {
    let mut settings = one_class(Idempotency::Idempotent);
    (settings.tenant_quotas_per_s, settings.nodes) = (vec![1_000.0; 2], 2);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..2));
    let mut sent = [0; 2];
    for id in 0..200 {
        node.now += 20.0;
        let tenant = (id % 2) as usize;
        let mut actions = node.feed(Event::Request(Request {
            tenant,
            ..Request::new(RequestId(id), 0, 800.0)
        }));
        let mut attempt = 0;
        while let Some(at) = send_of(&actions) {
            sent[tenant] += usize::from(at == 0);
            let full = at == 0 && tenant == 0;
            actions = node.end(
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
    assert!(sent[1] > 20, "the other tenant lost the server: {sent:?}");
    assert!(sent[0] < 15, "and the first kept trying: {sent:?}");
}
