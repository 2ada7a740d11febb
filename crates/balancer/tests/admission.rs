//! Admission control: what is shed under overload, and when that ends.

mod common;
use common::*;

use balancer::*;

/// A node that sees few requests judges by few: it must refuse a part, and neither all nor none.
#[test]
fn node_with_few_requests_sheds_a_part_of_them() {
    let refusals_of = |elapsed: f64, gap: f64| {
        let mut settings = one_class(Idempotency::Idempotent);
        settings.max_attempts = 1;
        let mut node = Node::new(settings, 1);
        node.servers(ready(0..30));
        let mut refusals = 0;
        for id in 0..1_000 {
            let actions = node.request(id, 0, 800.0);
            refusals += usize::from(refused(&actions));
            node.now += gap;
            if send_of(&actions).is_some() {
                node.end(id, 0, elapsed, AttemptResult::Served);
            }
        }
        refusals
    };
    assert_eq!(refusals_of(100.0, 100.0), 0, "all in time");
    let refusals = refusals_of(400.0, 100.0);
    assert!(
        (300..995).contains(&refusals),
        "{refusals} of 1000 refused at twice the bound"
    );
}

/// With everything failing there is nobody better: traffic must go on, and recover by itself.
#[test]
fn shedding_ends_when_the_servers_recover() {
    let mut settings = one_class(Idempotency::Idempotent);
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..4));
    let mut last = (0, 0);
    for id in 0..3_000 {
        let broken = (500..1_000).contains(&id);
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 10.0;
        if sent {
            let (elapsed, ending) = if broken {
                (800.0, AttemptResult::TimedOut)
            } else {
                (30.0, AttemptResult::Served)
            };
            node.end(id, 0, elapsed, ending);
        }
        if id >= 2_000 {
            last = (last.0 + usize::from(sent), last.1 + 1);
        }
    }
    assert!(
        last.0 * 100 > last.1 * 95,
        "{last:?} sent long after the trouble"
    );
}

/// With everything late, nodes try idle servers to learn when that ends. Many nodes must not try so
/// often that the trials alone keep the servers crowded.
#[test]
fn trials_of_many_overloaded_nodes_stay_few() {
    let mut settings = one_class(Idempotency::Idempotent);
    (settings.nodes, settings.max_attempts) = (16, 1);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..10));
    let mut tried = 0;
    for id in 0..4_000 {
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 10.0;
        if sent {
            node.end(id, 0, 790.0, AttemptResult::Served);
            tried += u32::from(id >= 2_000);
        }
    }
    // Twenty seconds are fifty aims; sixteen nodes together may try each server some hundred times.
    assert!(
        (10..=10 * 2 * 50 / 16 * 3 / 2).contains(&tried),
        "{tried} trials"
    );
}

/// A node that sees little keeps few answers of each server: after a crowded start the slow ones must not be
/// believed for long, or the node refuses what idle servers would take.
#[test]
fn overload_at_start_is_soon_forgotten() {
    let mut settings = one_class(Idempotency::Idempotent);
    (settings.nodes, settings.max_attempts) = (12, 1);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..20));
    let mut out = std::collections::VecDeque::new();
    let (mut asked, mut refusals) = (0, 0);
    for id in 0..620_u64 {
        node.now += 10.0;
        let crowded = id < 120;
        while out.front().is_some_and(|(_, _, end)| *end <= node.now) {
            let (id, elapsed, _) = out.pop_front().expect("checked");
            node.end(id, 0, elapsed, AttemptResult::Served);
        }
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        if sent {
            let elapsed = if crowded { 600.0 } else { 50.0 };
            out.push_back((id, elapsed, node.now + elapsed));
        }
        // From three seconds after the crowd has gone, for two.
        if (420..620).contains(&id) {
            asked += 1;
            refusals += u32::from(!sent);
        }
    }
    assert!(
        refusals * 10 < asked,
        "{refusals} of {asked} refused by what was long past"
    );
}

/// A class of low worth with a distant aim could wait long; it must not fill the queues in which a worthier
/// class with a near aim would be late.
#[test]
fn low_priority_does_not_crowd_out_high_priority() {
    let mut near = Class::new(200.0, 2_000.0, Idempotency::Idempotent);
    near.priority_weight = 5.0;
    let mut settings = Settings::new(vec![
        near,
        Class::new(4_000.0, 8_000.0, Idempotency::Idempotent),
    ]);
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..2));
    let mut refusals = [0; 2];
    let mut out = std::collections::VecDeque::new();
    for id in 0..4_000_u64 {
        let class = (id % 2) as usize;
        let sent = send_of(&node.request(id, class, 2_000.0)).is_some();
        if sent {
            out.push_back((id, node.now));
        } else {
            refusals[class] += 1;
        }
        node.now += 10.0;
        // One answer in 20 ms is half of what is asked for; answers wait for all that is before them.
        if id % 2 == 0 {
            if let Some((id, since)) = out.pop_front() {
                node.end(id, 0, node.now - since, AttemptResult::Served);
            }
        }
    }
    assert!(refusals[1] > 2 * refusals[0], "{refusals:?}");
}

/// After a crowded start a node that sees few requests and refuses most of them hears little: what it knows of
/// all servers together must fade too, or it goes on refusing what idle servers would take (incident if6f780).
#[test]
fn overload_at_start_is_forgotten_by_a_node_with_few_requests() {
    let mut settings = one_class(Idempotency::IdempotencyKey {
        scope: KeyScope::Cell,
        window_ms: 500.0,
    });
    (settings.nodes, settings.max_attempts) = (42, 1);
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..16));
    let mut refusals = 0;
    for id in 0..450 {
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 100.0;
        if sent {
            node.end(
                id,
                0,
                if id < 50 { 790.0 } else { 60.0 },
                AttemptResult::Served,
            );
        }
        refusals += usize::from(!sent && id >= 150);
    }
    assert!(
        refusals < 30,
        "{refusals} of 300 refused ten seconds after the crowd and later"
    );
}

/// Guards against refusals beside servers that stand idle: where answers take long there, that is the way and the
/// work, and no queue. One that reports a queue is refused for, as before.
#[test]
fn server_that_reports_no_load_is_not_overloaded() {
    for (reported, none_refused) in [(0.0, true), (5.0, false)] {
        let mut settings = one_class(Idempotency::Idempotent);
        settings.nodes = 1_000; // Else an idle server would be tried all the same, now and then.
        let mut node = Node::new(settings, 1);
        node.servers(ready(0..2));
        let mut refusals = 0;
        for id in 0..60 {
            node.now += 10.0;
            let actions = node.request(id, 0, 800.0);
            refusals += usize::from(refused(&actions));
            if send_of(&actions).is_some() {
                node.report(id, 0, 390.0, AttemptResult::Served, Some(reported));
            }
        }
        assert_eq!(
            refusals == 0,
            none_refused,
            "{refusals} refusals where {reported} are reported"
        );
    }
}

/// Guards against a wait that is taken to double with the second request: a server serves some side by side, and the
/// way to it does not queue. From the fourth of its own on, or where others hold many there, a node refuses again.
#[test]
fn server_with_few_requests_has_capacity_for_one_more() {
    for (reported, taken) in [(0.0, 3), (2.0, 2), (5.0, 0)] {
        let mut settings = one_class(Idempotency::Idempotent);
        settings.nodes = 1_000; // Else an idle server would be tried all the same, now and then.
        let mut node = Node::new(settings, 1);
        node.servers(ready(0..1));
        for id in 0..60 {
            node.now += 10.0;
            let served = send_of(&node.request(id, 0, 800.0)).is_some();
            if served {
                node.report(id, 0, 390.0, AttemptResult::Served, Some(reported));
            }
        }
        let sent = (60..66)
            .filter(|id| send_of(&node.request(*id, 0, 800.0)).is_some())
            .count();
        assert_eq!(sent, taken, "where {reported} are reported");
    }
}

/// Guards against a class's share of the mean latency that a first quick answer sets: all that follow would count as many
/// times the ordinary, and a node that sees little refused nearly everything for seconds.
#[test]
fn fast_first_answer_does_not_make_its_class_look_slow() {
    let mut node = one_of_many(11);
    ordinary(&mut node, 0..1, [1.0; 3]);
    let (_, refusals) = ordinary(&mut node, 1..150, [90.0; 3]);
    assert!(
        refusals <= 3,
        "{refusals} of 150 refused with every answer far within its aim"
    );
}

/// Guards against a class of short aim and short answers that is refused until its answers are known.
#[test]
fn class_with_near_objective_is_admitted_by_a_new_node() {
    let (_, refusals) = ordinary(&mut one_of_many(3), 0..60, [90.0, 135.0, 215.0]);
    assert!(refusals <= 8, "{refusals} of 60 refused");
}

/// Guards against a class that is starved because it is worth little and takes long, by the near aim of another: what
/// takes 200 ms is far within an aim of 2.5 s, whatever becomes of a class whose aim is 80 ms.
#[test]
fn class_with_distant_objective_is_not_starved_by_an_unreachable_one() {
    let mut settings = one_class(Idempotency::Idempotent);
    settings.classes = vec![
        Class::new(80.0, 300.0, Idempotency::Idempotent),
        Class::new(400.0, 1_500.0, Idempotency::Idempotent),
        Class {
            priority_weight: 0.25,
            ..Class::new(2_500.0, 9_000.0, Idempotency::Idempotent)
        },
    ];
    settings.nodes = 300;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..180));
    let (mut asked, mut refusals) = ([0; 3], [0; 3]);
    for id in 0..900 {
        node.now += 60.0;
        let class = (id % 3) as usize;
        let actions = node.request(id, class, [300.0, 1_500.0, 9_000.0][class]);
        let sent = send_of(&actions).is_some();
        if sent {
            node.now += 1.0;
            node.end(id, 0, [180.0, 180.0, 400.0][class], AttemptResult::Served);
        }
        if id >= 300 {
            asked[class] += 1;
            refusals[class] += usize::from(!sent);
        }
    }
    assert!(
        refusals[0] * 2 > asked[0],
        "the near aim is out of reach: {refusals:?} of {asked:?}"
    );
    assert!(
        refusals[2] * 10 < asked[2] * 7,
        "the distant aim is not: {refusals:?} of {asked:?} refused"
    );
}

/// Guards against a node that turns all away for as long as it takes to forget what it saw: an estimate by which all is
/// refused is put to the test within 4 s, where fifteen have been refused by then, and not much more often.
#[test]
fn node_that_rejects_all_sends_one_request_now_and_then() {
    for gap_ms in [20.0, 100.0, 250.0, 1_000.0] {
        let mut settings = one_class(Idempotency::Idempotent);
        settings.nodes = 100_000; // Else an idle server would be tried all the same, now and then.
        let mut node = Node::new(settings, 1);
        node.servers(ready(0..4));
        // What it hears is that answers take many times their aim.
        let (mut row, mut since, mut sent) = (0, node.now, Vec::new());
        for id in 0..2_000 {
            node.now += gap_ms;
            if send_of(&node.request(id, 0, 800.0)).is_some() {
                sent.push(node.now);
                (row, since) = (0, node.now);
                node.report(id, 0, 30_000.0, AttemptResult::Served, Some(50.0));
            } else {
                row += 1;
            }
            assert!(
                row < 15 || node.now - since < 4_000.0,
                "{row} refused since {since} by {}",
                node.now
            );
        }
        let late: Vec<_> = sent
            .windows(2)
            .skip(sent.len() / 2)
            .map(|two| two[1] - two[0])
            .collect();
        // Where requests are few, some are sent by chance as ever.
        let are_few = late.iter().all(|gap| *gap >= 3_000.0) || gap_ms > 100.0;
        assert!(!late.is_empty() && are_few, "{gap_ms}: {late:?}");
        // With nobody to send to there is nothing to try.
        node.servers(Vec::new());
        for id in 5_000..5_040 {
            node.now += 100.0;
            assert!(refused(&node.request(id, 0, 800.0)), "request {id}");
        }
    }
}
