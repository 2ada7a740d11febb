//! Server selection by HSQ: the rules of the method, and the safeguards around it.

mod common;
use common::*;

use balancer::*;

/// Every send increments the count of its server, so each round of sends reaches every server once.
#[test]
fn own_sends_raise_the_count() {
    let mut node = Node::new(settings_with_long_objective(), 1);
    node.set_servers(ready_servers(0..5));
    for round in 0..3 {
        let mut seen: Vec<usize> = (0..5).map(|i| node.dispatch(round * 5 + i)).collect();
        seen.sort_unstable();
        assert_eq!(seen, [0, 1, 2, 3, 4], "servers selected in round {round}");
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
    assert!(
        first.iter().all(|n| (60..140).contains(n)),
        "first requests by server, expected about 100 each: {first:?}"
    );
}

/// A node to which all servers have answered equally fast, so that it estimates equal capacities.
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
    // Each server gets one request, and each answer reports a different load.
    let servers: Vec<usize> = (0..3).map(|id| node.dispatch(id)).collect();
    for (id, in_flight) in [(0, 9.0), (1, 2.0), (2, 9.0)] {
        node.now += 40.0;
        node.end_attempt_with_report(id, 0, 40.0, AttemptResult::Served, Some(in_flight));
    }
    // The second count is now 7 lower than the others, so that server gets the next sends.
    assert_eq!(node.dispatch(100), servers[1]);
    assert_eq!(node.dispatch(101), servers[1]);
}

#[test]
fn completion_does_not_lower_a_count() {
    let mut node = Node::new(settings_with_long_objective(), 1);
    node.set_servers(ready_servers(0..2));
    let first = node.dispatch(1);
    node.now += 40.0;
    // The latency is that expected of unknown servers, a quarter of the objective, so capacities stay equal.
    node.end_attempt(1, 0, 10_000.0, AttemptResult::Served);
    // Without a report the completed send still counts, so the other server is next.
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

/// Sends requests; the load that each server reports changes with every second answer.
fn establish_report_interval(node: &mut Node) {
    let mut answers = [0; 2];
    for id in 500..560 {
        let server = node.dispatch(id);
        answers[server] += 1;
        node.now += 100.0;
        node.end_attempt_with_report(
            id,
            0,
            40.0,
            AttemptResult::Served,
            Some(f64::from(1 + answers[server] / 2 % 2)),
        );
    }
}

/// Several answers may carry the same report. A server must not get all of the next requests because its report
/// is repeated.
#[test]
fn repeated_report_does_not_attract_every_request() {
    let mut node = warmed_up_node(2, settings_with_long_objective());
    establish_report_interval(&mut node);
    // One answer of each server with the same report: the counts are equal and nothing is in flight.
    let mut unanswered = [None; 2];
    for id in 1..100 {
        match &mut unanswered[node.dispatch(id)] {
            first @ None => *first = Some(id),
            Some(_) => drop(node.end_attempt(id, 0, 80.0, AttemptResult::Served)),
        }
    }
    node.now += 10_000.0;
    for id in unanswered {
        node.end_attempt_with_report(
            id.expect("both servers were sent a request"),
            0,
            40.0,
            AttemptResult::Served,
            Some(5.0),
        );
    }
    let sends: Vec<usize> = (100..102).map(|id| node.dispatch(id)).collect();
    assert_ne!(sends[0], sends[1]);
    // One server repeats its report of 5 immediately, which overwrites its count of 6. Its next request raises
    // the count to 6 again, which is also the count of the other server.
    let repeating = sends[0];
    node.now += 1.0;
    node.end_attempt_with_report(100, 0, 40.0, AttemptResult::Served, Some(5.0));
    let next: Vec<usize> = (200..202).map(|id| node.dispatch(id)).collect();
    assert!(
        next != [repeating, repeating],
        "server {repeating} must not get both requests after it repeated its report: {next:?}"
    );
}

/// An idle server always reports the same load. A report that is repeated after a long time must also overwrite
/// the count.
#[test]
fn report_repeated_late_overwrites_the_count() {
    let mut node = warmed_up_node(2, settings_with_long_objective());
    establish_report_interval(&mut node);
    let mut unanswered = [Vec::new(), Vec::new()];
    for id in 1..13 {
        unanswered[node.dispatch(id)].push(id);
    }
    node.now += 10_000.0;
    // Each answer takes 40 ms per request in flight at its server, so that the capacities stay equal.
    for (ids, reading) in unanswered.iter().zip([0.0, 6.0]) {
        for (id, in_flight) in ids.iter().zip(1..) {
            let report = (in_flight == ids.len()).then_some(reading);
            node.end_attempt_with_report(
                *id,
                0,
                40.0 * in_flight as f64,
                AttemptResult::Served,
                report,
            );
        }
    }
    for id in 20..24 {
        assert_eq!(
            node.dispatch(id),
            0,
            "request {id} must go to the server with the lowest report"
        );
        node.end_attempt(id, 0, 40.0, AttemptResult::Served);
    }
    node.now += 10_000.0;
    node.dispatch(30);
    node.end_attempt_with_report(30, 0, 40.0, AttemptResult::Served, Some(0.0));
    for id in 40..44 {
        assert_eq!(
            node.dispatch(id),
            0,
            "the repeated report of 0 must overwrite the count"
        );
        node.end_attempt(id, 0, 40.0, AttemptResult::Served);
    }
}

#[test]
fn server_without_a_report_starts_at_the_mean_count() {
    let mut node = warmed_up_node(2, settings_with_long_objective());
    let servers: Vec<usize> = (0..2).map(|id| node.dispatch(id)).collect();
    node.now += 40.0;
    node.end_attempt_with_report(0, 0, 40.0, AttemptResult::Served, Some(1.0));
    node.end_attempt_with_report(1, 0, 40.0, AttemptResult::Served, Some(9.0));
    node.set_servers(ready_servers(0..3));
    // The counts are 1 and 9, and the new server starts at their mean of 5. The server with 1 gets the
    // next four requests, as it is not backed up.
    for id in 100..104 {
        assert_eq!(
            node.dispatch(id),
            servers[0],
            "the new server must not be selected as idle"
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

/// Servers of different speed must not get equal traffic; a slower one gets less.
#[test]
fn slower_server_is_sent_less() {
    let mut sent = [0; 2];
    for seed in 0..12 {
        let mut node = Node::new(settings_with_long_objective(), seed);
        node.set_servers(ready_servers(0..2));
        for id in 0..300 {
            let server = node.dispatch(id);
            sent[server] += 1;
            let elapsed = if server == 0 { 30.0 } else { 90.0 };
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
    assert!(
        sent[0] > sent[1] * 3 / 2,
        "requests sent to the fast and the slow server: {sent:?}"
    );
}

/// Servers of the same zone get the requests until the best of them is backed up; then other zones are used, too.
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
        sent.iter().all(|server| *server >= 2),
        "the first requests must stay in the zone: {sent:?}"
    );
    let sent: Vec<usize> = (4..8).map(|id| node.dispatch(id)).collect();
    assert!(
        sent.iter().any(|server| *server < 2),
        "further requests must also leave the zone: {sent:?}"
    );
}

/// If no server of the node's own zone is healthy, requests go to other zones.
#[test]
fn requests_leave_the_zone_if_its_servers_fail() {
    let mut settings = settings_with_long_objective();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready_servers(0..3);
    entries[2].zone = 1;
    node.set_servers(entries);
    for id in 0..3 {
        assert!(
            id > 0 || node.dispatch(id) == 2,
            "the first request must go to the server in the node's own zone"
        );
        if id > 0 {
            assert!(
                node.dispatch(id) < 2,
                "request {id} must not go to the ejected server"
            );
            continue;
        }
        node.now += 1.0;
        let retried = node.end_attempt(id, 0, 1.0, AttemptResult::Unreachable);
        assert!(
            sent_server(&retried).is_some_and(|server| server < 2),
            "the retry must go to another zone: {retried:?}"
        );
        node.end_attempt(id, 1, 20.0, AttemptResult::Served);
    }
    assert!(node.dispatch(3) < 2);
}
