//! One small test for each failure found on the way.

#![allow(
    clippy::items_after_statements,
    clippy::needless_for_each,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod common;
use common::*;

use silverthread::*;

/// Settings under which servers are asked for their load before each send.
fn asking(effect: Effect) -> Settings {
    let mut settings = one_class(effect);
    (settings.probes, settings.reports) = (true, Reports::OnProbe);
    settings
}

fn probed(actions: &[Action]) -> Vec<usize> {
    let server = |a: &Action| {
        if let Action::Probe { server } = a {
            Some(server.0)
        } else {
            None
        }
    };
    actions.iter().filter_map(server).collect()
}

fn load(node: &mut Node, server: usize, held: f64) -> Vec<Action> {
    let report = Some(Report {
        in_flight: Some(held),
        queued: None,
    });
    let (server, ending) = (ServerId(server), Ending::Served);
    node.feed(Event::Probed {
        server,
        elapsed_ms: 1.0,
        ending,
        report,
    })
}

/// Fires the timer of one kind that was set for a request, as long after as it asked for.
fn fire(node: &mut Node, actions: &[Action], kind: u64) -> Vec<Action> {
    let due = actions.iter().find_map(|a| match a {
        Action::SetTimer { timer, after_ms } if timer & 7 == kind => Some((*timer, *after_ms)),
        _ => None,
    });
    let (timer, after_ms) = due.expect("a timer of that kind");
    node.now += after_ms;
    node.feed(Event::Timer(timer))
}

const ASKED: u64 = 3;
const OVERDUE: u64 = 4;

/// Where reports come with probes only there were no counts at all: the freshly lowest count must decide.
#[test]
fn servers_are_asked_and_the_lowest_count_decides() {
    for seed in 0..50 {
        let mut node = Node::new(asking(Effect::Safe), seed);
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
fn a_server_that_does_not_answer_the_probe_is_passed_over() {
    let mut node = Node::new(asking(Effect::Safe), 1);
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
fn a_server_that_drains_while_it_is_asked_gets_nothing() {
    for seed in 0..20 {
        let mut node = Node::new(asking(Effect::Safe), seed);
        node.servers(ready(0..5));
        let asked = probed(&node.request(1, 0, 800.0));
        load(&mut node, asked[0], 0.0);
        let draining = ServerEntry::new(ServerId(asked[0]), Availability::Draining);
        node.feed(Event::Servers(Listing::Changes(vec![draining])));
        let last = asked[1..]
            .iter()
            .map(|server| load(&mut node, *server, 2.0))
            .last();
        assert!(send_of(&last.expect("asked")).is_some_and(|at| at != asked[0]));
    }
}

/// Sends one request to the only server and has it answered; then another, which stays out.
fn one_out(effect: Effect) -> (Node, Vec<Action>) {
    let mut node = Node::new(asking(effect), 1);
    node.servers(ready(0..1));
    node.request(1, 0, 800.0);
    assert_eq!(send_of(&load(&mut node, 0, 0.0)), Some(0));
    node.now += 50.0;
    node.end(1, 0, 50.0, Ending::Served);
    node.request(2, 0, 800.0);
    let sent = load(&mut node, 0, 0.0);
    (node, sent)
}

/// Lost answers and connections dropped unseen cost the whole deadline: a server that holds nothing will not
/// answer any more.
#[test]
fn an_answer_that_is_lost_costs_an_attempt_and_not_the_request() {
    let (mut node, sent) = one_out(Effect::Safe);
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
            Action::Close {
                server: ServerId(0)
            }
        ]
    );
    node.now += 1.0;
    node.end(2, 0, 80.0, Ending::Cancelled);
    assert_eq!(send_of(&load(&mut node, 0, 0.0)), Some(0), "sent again");
}

/// The answer to a probe sent before the attempt may come after it: it says nothing of the attempt.
#[test]
fn a_late_answer_to_a_probe_cancels_nothing() {
    let mut node = Node::new(asking(Effect::Safe), 1);
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
fn an_unsafe_request_is_not_asked_after() {
    let (_, sent) = one_out(Effect::Unsafe);
    assert!(!sent
        .iter()
        .any(|a| matches!(a, Action::SetTimer { timer, .. } if timer & 7 == OVERDUE)));
}

/// A request resent at the very end of its client's time was answered too late.
#[test]
fn nothing_is_sent_at_the_very_end_of_a_clients_time() {
    let mut node = Node::new(asking(Effect::Safe), 1);
    node.servers(ready(0..3));
    assert!(refused(&node.request(1, 0, 20.0)));
}

/// Each node keeps to few servers, and all nodes together are spread evenly over them.
#[test]
fn subsets_are_small_and_even() {
    let (nodes, mut load_of) = (400, [0; 100]);
    for me in 0..nodes {
        let mut settings = asking(Effect::Safe);
        (settings.me, settings.nodes) = (me, nodes);
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
        met.iter().for_each(|at| load_of[*at] += 1);
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

/// Servers that turned one tenant away were taken out for all, and the rest choked.
#[test]
fn a_server_full_for_one_tenant_serves_the_others() {
    let mut settings = one_class(Effect::Safe);
    (settings.quotas_per_s, settings.nodes) = (vec![1_000.0; 2], 2);
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
                if full { Ending::Full } else { Ending::Served },
            );
            attempt += 1;
        }
    }
    assert!(sent[1] > 20, "the other tenant lost the server: {sent:?}");
    assert!(sent[0] < 15, "and the first kept trying: {sent:?}");
}

fn in_order(quiet_ms: f64) -> Node {
    let mut settings = one_class(Effect::Unsafe);
    (settings.classes[0].in_order, settings.key_quiet_ms) = (true, quiet_ms);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..3));
    node
}

fn keyed(node: &mut Node, id: u64, key: &str, budget_ms: f64) -> Vec<Action> {
    let request = Request {
        item: Some(key.into()),
        ..Request::new(RequestId(id), 0, budget_ms)
    };
    node.feed(Event::Request(request))
}

/// Requests of one key run in turn; other keys, and requests without one, are not held up.
#[test]
fn requests_of_a_key_take_turns() {
    let mut node = in_order(0.0);
    assert!(send_of(&keyed(&mut node, 1, "a", 800.0)).is_some());
    let waits = keyed(&mut node, 2, "a", 800.0);
    assert!(send_of(&waits).is_none() && !refused(&waits));
    assert!(send_of(&keyed(&mut node, 3, "b", 800.0)).is_some());
    assert!(send_of(&node.request(4, 0, 800.0)).is_some());
    let next = node.end(1, 0, 40.0, Ending::Served);
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
fn a_turn_lasts_until_all_is_over() {
    let mut node = in_order(100.0);
    keyed(&mut node, 1, "a", 800.0);
    keyed(&mut node, 2, "a", 800.0);
    let again = node.end(1, 0, 1.0, Ending::Full);
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
    let over = node.end(1, 1, 5.0, Ending::Cancelled);
    assert!(send_of(&over).is_none(), "the key rests");
    assert!(
        send_of(&fire(&mut node, &over, 2)).is_some(),
        "and then the next one runs"
    );
}

/// A request whose turn does not come is refused within its time: it never ran.
#[test]
fn a_turn_that_does_not_come_is_answered_in_time() {
    let mut node = in_order(0.0);
    keyed(&mut node, 1, "a", 800.0);
    let waits = keyed(&mut node, 2, "a", 200.0);
    let since = node.now;
    assert!(refused(&fire(&mut node, &waits, 1)));
    assert!(node.now - since < 200.0);
    assert!(
        node.end(1, 0, 400.0, Ending::Served).is_empty(),
        "nothing more is sent for it"
    );
}

/// Further attempts stay within the budget just after a start, and when traffic falls away.
#[test]
fn the_budget_is_never_exceeded() {
    let mut settings = one_class(Effect::Safe);
    settings.resends = Some(ResendBudget {
        free: 2.0,
        per_request: 0.1,
        span_ms: 1_000.0,
    });
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..4));
    let again = |node: &mut Node, id: u64| {
        node.request(id, 0, 800.0);
        usize::from(send_of(&node.end(id, 0, 1.0, Ending::Unreachable)).is_some())
    };
    assert_eq!(
        (0..9).map(|id| again(&mut node, id)).sum::<usize>(),
        2,
        "just after the start"
    );
    node.now += 2_000.0;
    for id in 20..50 {
        node.request(id, 0, 800.0);
        node.end(id, 0, 1.0, Ending::Served);
    }
    assert_eq!(
        (50..59).map(|id| again(&mut node, id)).sum::<usize>(),
        5,
        "a tenth of 30, and then some"
    );
    node.now += 990.0;
    assert_eq!(
        (60..69).map(|id| again(&mut node, id)).sum::<usize>(),
        1,
        "those before still count"
    );
    node.now += 2_000.0;
    assert_eq!(
        (80..89).map(|id| again(&mut node, id)).sum::<usize>(),
        2,
        "traffic fell away"
    );
}

#[test]
fn a_setting_that_makes_no_sense_is_named() {
    let budget = ResendBudget {
        free: 2.0,
        per_request: 0.1,
        span_ms: 0.0,
    };
    type Spoil = fn(&mut Settings);
    let cases: [(&str, Spoil); 6] = [
        ("nodes", |s| s.nodes = 0),
        ("me", |s| s.me = 1),
        ("key_quiet_ms", |s| s.key_quiet_ms = -1.0),
        ("probe_price", |s| s.probe_price = f64::NAN),
        ("classes[].aim_ms", |s| s.classes[0].aim_ms = 0.0),
        ("classes", |s| s.classes.clear()),
    ];
    for (key, spoil) in cases {
        let mut settings = one_class(Effect::Safe);
        spoil(&mut settings);
        let error = Balancer::new(settings, 1).err().expect("no sense");
        assert_eq!(error.key(), key);
    }
    let mut settings = one_class(Effect::Safe);
    settings.resends = Some(budget);
    assert_eq!(
        Balancer::new(settings, 1).err().expect("no sense").key(),
        "resends.span_ms"
    );
}
