//! Server selection by HSQ: each of its claims, and what guards its ordinary path.

mod common;
use common::*;

use balancer::*;

/// Each of the first sends goes to a server that has had none yet: every own send counts one.
#[test]
fn own_sends_raise_the_count() {
    let mut node = Node::new(settings_with_long_objective(), 1);
    node.set_servers(ready_servers(0..5));
    for round in 0..3 {
        let mut seen: Vec<usize> = (0..5).map(|i| node.dispatch(round * 5 + i)).collect();
        seen.sort_unstable();
        assert_eq!(seen, [0, 1, 2, 3, 4], "round {round}");
    }
}

#[test]
fn ties_are_broken_at_random() {
    let mut first = [0; 4];
    for seed in 0..400 {
        let mut node = Node::new(settings_with_long_objective(), seed);
        node.set_servers(ready_servers(0..4));
        first[node.dispatch(1)] += 1;
    }
    assert!(first.iter().all(|n| (60..140).contains(n)), "{first:?}");
}

/// Has every server answer alike, so that all are known to have the same capacity.
fn warmed_up_node(servers: usize, settings: Settings) -> Node {
    let mut node = Node::new(settings, 3);
    node.set_servers(ready_servers(0..servers));
    for id in 10_000..10_000 + 20 * servers as u64 {
        node.now += 10.0;
        node.dispatch(id);
        node.now += 40.0;
        node.end_attempt_with_report(id, 0, 40.0, AttemptResult::Served, Some(0.0));
    }
    node.now += 5_000.0;
    node
}

#[test]
fn report_overwrites_the_count_of_its_server_alone() {
    let mut node = warmed_up_node(3, settings_with_long_objective());
    // One attempt is put on each server; server by server its answer reports another load.
    let at: Vec<usize> = (0..3).map(|id| node.dispatch(id)).collect();
    for (id, held) in [(0, 9.0), (1, 2.0), (2, 9.0)] {
        node.now += 40.0;
        node.end_attempt_with_report(id, 0, 40.0, AttemptResult::Served, Some(held));
    }
    // The second now stands 7 under the others: it gets the next sends, until it is backed up.
    assert_eq!(node.dispatch(100), at[1]);
    assert_eq!(node.dispatch(101), at[1]);
}

#[test]
fn completion_does_not_lower_a_count() {
    let mut node = Node::new(settings_with_long_objective(), 1);
    node.set_servers(ready_servers(0..2));
    let first = node.dispatch(1);
    node.now += 40.0;
    // It takes what is expected of unknown servers, a quarter of the objective: their capacities stay equal.
    node.end_attempt(1, 0, 10_000.0, AttemptResult::Served);
    // Without a report the answered send still counts, so the other server is next.
    assert_ne!(node.dispatch(2), first);
}

#[test]
fn failure_does_not_lower_a_count() {
    for result in [
        AttemptResult::Error,
        AttemptResult::Overloaded,
        AttemptResult::Unreachable,
        AttemptResult::Reset,
    ] {
        let mut settings = settings_with_long_objective();
        settings.max_attempts = 1;
        let mut node = warmed_up_node(2, settings);
        let first = node.dispatch(1);
        node.now += 40.0;
        node.end_attempt(1, 0, 40.0, result);
        assert_ne!(node.dispatch(2), first, "{result:?} lowered the count");
    }
}

/// Sends requests whose reports change with every second answer of a server.
fn teach_interval(node: &mut Node) {
    let mut answers = [0; 2];
    for id in 500..560 {
        let at = node.dispatch(id);
        answers[at] += 1;
        node.now += 100.0;
        node.end_attempt_with_report(
            id,
            0,
            40.0,
            AttemptResult::Served,
            Some(f64::from(1 + answers[at] / 2 % 2)),
        );
    }
}

/// Several answers may carry one and the same report: a repeated one must not erase own sends.
#[test]
fn repeated_report_does_not_erase_own_sends() {
    let mut node = warmed_up_node(2, settings_with_long_objective());
    teach_interval(&mut node);
    // One answer from each, with the same report: the counts are equal and nothing is in flight.
    let mut out = [None; 2];
    for id in 1..100 {
        match &mut out[node.dispatch(id)] {
            first @ None => *first = Some(id),
            Some(_) => drop(node.end_attempt(id, 0, 80.0, AttemptResult::Served)),
        }
    }
    node.now += 10_000.0;
    for id in out {
        node.end_attempt_with_report(
            id.expect("both were sent to"),
            0,
            40.0,
            AttemptResult::Served,
            Some(5.0),
        );
    }
    let sends: Vec<usize> = (100..102).map(|id| node.dispatch(id)).collect();
    assert_ne!(sends[0], sends[1]);
    // One repeats its 5 at once; if that were taken as fresh, its own send would be forgotten and it
    // would get the next two.
    let repeating = sends[0];
    node.now += 1.0;
    node.end_attempt_with_report(100, 0, 40.0, AttemptResult::Served, Some(5.0));
    let next: Vec<usize> = (200..202).map(|id| node.dispatch(id)).collect();
    assert!(
        next != [repeating, repeating],
        "the repeat erased an own send"
    );
}

/// An idle server's report stays the same: one that repeats late is fresh all the same.
#[test]
fn report_repeated_late_is_fresh() {
    let mut node = warmed_up_node(2, settings_with_long_objective());
    teach_interval(&mut node);
    let mut out = [Vec::new(), Vec::new()];
    for id in 1..13 {
        out[node.dispatch(id)].push(id);
    }
    node.now += 10_000.0;
    // Every answer takes 40 ms for each request its server held, so that their capacities stay equal.
    for (ids, reading) in out.iter().zip([0.0, 6.0]) {
        for (id, held) in ids.iter().zip(1..) {
            let report = (held == ids.len()).then_some(reading);
            node.end_attempt_with_report(*id, 0, 40.0 * held as f64, AttemptResult::Served, report);
        }
    }
    for id in 20..24 {
        assert_eq!(node.dispatch(id), 0, "send {id}");
        node.end_attempt(id, 0, 40.0, AttemptResult::Served);
    }
    node.now += 10_000.0;
    node.dispatch(30);
    node.end_attempt_with_report(30, 0, 40.0, AttemptResult::Served, Some(0.0));
    for id in 40..44 {
        assert_eq!(node.dispatch(id), 0, "the second 0 was not fresh");
        node.end_attempt(id, 0, 40.0, AttemptResult::Served);
    }
}

#[test]
fn server_without_a_report_starts_at_the_mean_count() {
    let mut node = warmed_up_node(2, settings_with_long_objective());
    let at: Vec<usize> = (0..2).map(|id| node.dispatch(id)).collect();
    node.now += 40.0;
    node.end_attempt_with_report(0, 0, 40.0, AttemptResult::Served, Some(1.0));
    node.end_attempt_with_report(1, 0, 40.0, AttemptResult::Served, Some(9.0));
    node.set_servers(ready_servers(0..3));
    // Counts are 1, 9 and, new, their mean 5: the low one first, four times, as nothing backs up.
    for id in 100..104 {
        assert_eq!(
            node.dispatch(id),
            at[0],
            "the new server was taken to be idle"
        );
        node.end_attempt(id, 0, 40.0, AttemptResult::Served);
    }
}

#[test]
fn equal_servers_are_ranked_by_count_alone() {
    let mut node = warmed_up_node(4, settings_with_long_objective());
    let mut seen: Vec<usize> = (0..4).map(|id| node.dispatch(id)).collect();
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3]);
}

/// Unlike servers must not be sent alike: a slower one gets less.
#[test]
fn slower_server_is_sent_less() {
    let mut sent = [0; 2];
    for seed in 0..12 {
        let mut node = Node::new(settings_with_long_objective(), seed);
        node.set_servers(ready_servers(0..2));
        for id in 0..300 {
            let at = node.dispatch(id);
            sent[at] += 1;
            let elapsed = if at == 0 { 30.0 } else { 90.0 };
            node.now += elapsed;
            node.end_attempt_with_report(
                id,
                0,
                elapsed,
                AttemptResult::Served,
                (id < 2).then_some(1.0),
            );
        }
    }
    assert!(sent[0] > sent[1] * 3 / 2, "{sent:?}");
}

/// Servers of the same zone get the requests until the best of them is backed up; then others count, too.
#[test]
fn same_zone_is_preferred_while_not_backed_up() {
    let mut settings = settings_with_long_objective();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready_servers(0..4);
    entries[2].zone = 1;
    entries[3].zone = 1;
    node.set_servers(entries);
    let sent: Vec<usize> = (0..4).map(|id| node.dispatch(id)).collect();
    assert!(
        sent.iter().all(|at| *at >= 2),
        "no more than twice what a far one would take: {sent:?}"
    );
    let sent: Vec<usize> = (4..8).map(|id| node.dispatch(id)).collect();
    assert!(sent.iter().any(|at| *at < 2), "then the far ones: {sent:?}");
}

/// A zone without a healthy server is left, however near.
#[test]
fn failing_servers_of_the_same_zone_are_left_for_others() {
    let mut settings = settings_with_long_objective();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready_servers(0..3);
    entries[2].zone = 1;
    node.set_servers(entries);
    for id in 0..3 {
        assert!(id > 0 || node.dispatch(id) == 2);
        if id > 0 {
            assert!(node.dispatch(id) < 2, "it is ejected");
            continue;
        }
        node.now += 1.0;
        let retried = node.end_attempt(id, 0, 1.0, AttemptResult::Unreachable);
        assert!(
            sent_server(&retried).is_some_and(|at| at < 2),
            "{retried:?}"
        );
        node.end_attempt(id, 1, 20.0, AttemptResult::Served);
    }
    assert!(node.dispatch(3) < 2);
}
