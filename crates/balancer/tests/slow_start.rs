//! Slow start: the request budget of a warming server that all nodes share.

mod common;
use common::*;

use std::collections::BTreeMap;

use balancer::*;

/// A warming server reports no queue and would attract all requests. A node with most of the traffic must stay
/// within the budget that all nodes share.
#[test]
fn warming_server_gets_no_more_than_its_budget() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.nodes = 3;
    settings.slow_start_fraction = 0.3;
    settings.slow_start_ms = 9_000.0;
    settings.collapse_multiple = 2.5;
    settings.collapse_after_ms = 3_000.0;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready_servers(0..10));
    let mut selected_server = BTreeMap::new();
    let mut slow_start_sends = Vec::new();
    for id in 0..3_000 {
        if id == 1_500 {
            let mut entries = ready_servers(0..11);
            entries[10].started_at_ms = Some(node.now);
            node.set_servers(entries);
        }
        selected_server.insert(id, node.dispatch(id));
        if selected_server[&id] == 10 {
            slow_start_sends.push(node.now);
        }
        node.now += 4.0;
        if id >= 10 {
            // While it warms up, the server answers fast and reports hardly any load.
            let warming = selected_server[&(id - 10)] == 10;
            let in_flight = if warming {
                0.1 * (id % 2) as f64
            } else {
                (300 + id % 2) as f64
            };
            let elapsed = if warming { 10.0 } else { 40.0 };
            // Warm servers report their load occasionally, so that counts rise in between.
            let in_flight = (warming || id % 16 == 0).then_some(in_flight);
            node.end_attempt_with_report(id - 10, 0, elapsed, AttemptResult::Served, in_flight);
        }
    }
    // The node serves 250 requests per second on ten servers; a warming one starts with 0.3 of a tenth of that.
    let start = 1_000.0 + 1_500.0 * 4.0;
    for window in 0..6 {
        let from = start + f64::from(window) * 500.0;
        let sent = slow_start_sends
            .iter()
            .filter(|t| (from..from + 3_000.0).contains(*t))
            .count() as f64;
        let capacity = 25.0 * 3.0 * (0.3 + 0.7 * (from + 3_000.0 - start) / 9_000.0);
        assert!(
            sent < 2.5 * capacity,
            "{sent} requests in window {window}, expected under 2.5 times the capacity of {capacity}"
        );
    }
    assert!(
        !slow_start_sends.is_empty(),
        "the warming server must get some requests"
    );
}

/// A restarted node has served nothing yet, but its server list says which servers are warming up.
#[test]
fn restarted_node_sends_one_request_to_a_warming_server() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    (settings.slow_start_fraction, settings.slow_start_ms) = (0.3, 9_000.0);
    (settings.collapse_multiple, settings.collapse_after_ms) = (2.5, 3_000.0);
    let mut node = Node::new(settings, 1);
    let mut entries = ready_servers(0..2);
    entries[1].started_at_ms = Some(node.now - 100.0);
    node.feed(Event::ServerList(ServerListUpdate::Cached(entries)));
    let warming = (0..40)
        .filter(|id| sent_server(&node.request(*id, 0, 800.0)) == Some(1))
        .count();
    assert_eq!(warming, 1);
}

/// If a node's part of a warming server's budget is less than one request, most nodes must send none.
#[test]
fn many_nodes_share_the_budget_of_a_warming_server() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.nodes = 200;
    (settings.slow_start_fraction, settings.slow_start_ms) = (0.3, 9_000.0);
    (settings.collapse_multiple, settings.collapse_after_ms) = (2.5, 3_000.0);
    let (mut sending_nodes, mut sends) = (0, 0);
    for seed in 0..200 {
        let mut node = Node::new(settings.clone(), seed);
        let mut entries = ready_servers(0..60);
        node.set_servers(entries.clone());
        let mut warming = 0;
        for id in 0..60 {
            if id == 30 {
                // Half of the servers are removed, so that most nodes need servers that they have not contacted.
                entries[59].started_at_ms = Some(node.now);
                node.set_servers(entries.split_off(30));
            }
            let server = node.dispatch(id);
            warming += usize::from(id >= 30 && server == 59);
            node.now += 100.0;
            node.end_attempt(id, 0, 50.0, AttemptResult::Served);
        }
        sending_nodes += usize::from(warming > 0);
        sends += warming;
    }
    // 200 nodes send 10 requests per second each to the remaining 30 servers. A warm server gets 67 per second,
    // and the warming one may get 2.5 times 0.3 of that for 3 s.
    assert!(
        (1..=2 * sending_nodes).contains(&sends) && sends < 150,
        "{sends} sends by {sending_nodes} nodes, expected under 150 and 2 per node at most"
    );
}

/// During a rollout, new servers must not stay idle beside overloaded ones although nodes prefer the servers
/// that they have contacted.
#[test]
fn newly_started_servers_are_used_beside_contacted_ones() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.nodes = 200;
    (settings.slow_start_fraction, settings.slow_start_ms) = (1.0, 5_000.0);
    (settings.collapse_multiple, settings.collapse_after_ms) = (100.0, 1_000.0);
    let mut new = 0;
    for seed in 0..8 {
        let mut node = Node::new(settings.clone(), seed);
        let mut entries = ready_servers(0..60);
        node.set_servers(entries.clone());
        for id in 0..150 {
            if id == 100 {
                entries.extend(ready_servers(60..70));
                entries[60..]
                    .iter_mut()
                    .for_each(|e| e.started_at_ms = Some(node.now));
                node.set_servers(entries.clone());
            }
            new += usize::from(node.dispatch(id) >= 60);
            node.now += 100.0;
            node.end_attempt(id, 0, 50.0, AttemptResult::Served);
        }
    }
    assert!(
        new >= 8 * 5,
        "{new} of 400 requests to 10 new servers of 70, expected 40 or more"
    );
}

/// Replaces a third of the servers by newly started ones.
fn replace_a_third(node: &mut Node) {
    let mut entries = ready_servers(0..180);
    for entry in &mut entries[120..] {
        (entry.server, entry.started_at_ms) = (ServerId(entry.server.0 + 1_000), Some(node.now));
    }
    node.set_servers(entries);
}

/// Warming servers must not be idle beside overloaded warm ones, although each node has contacted few of them.
/// All nodes together must not overload them either.
#[test]
fn many_nodes_fill_warming_servers_up_to_their_share() {
    let mut sends = std::collections::BTreeMap::<usize, Vec<f64>>::new();
    let (mut warming, mut all) = (0.0, 0.0);
    for node_index in 0..300 {
        let mut node = node_of_large_cluster(node_index);
        serve_requests(&mut node, 0..120, [60.0; 3]);
        replace_a_third(&mut node);
        let (sent, _) = serve_requests(&mut node, 120..186, [60.0; 3]);
        for (nth, server) in sent
            .iter()
            .enumerate()
            .filter(|(_, server)| **server >= 1_000)
        {
            sends.entry(*server).or_default().push(nth as f64 * 61.0);
            warming += 1.0;
        }
        all += sent.len() as f64;
    }
    // Over 4 s the warming third has 0.35 to 0.67 of its capacity, a fifth of the total.
    assert!(
        (0.14..0.24).contains(&(warming / all)),
        "warming servers got {:.3} of the requests, expected 0.14 to 0.24",
        warming / all
    );
    // A warm server can carry at least its previous traffic, and a warming one 0.35 of that or more.
    let collapses_at = 3.0 * 0.35 * 300.0 * 1_500.0 / 61.0 / 180.0;
    let within = |times: &[f64], from: f64| {
        times
            .iter()
            .filter(|t| (from..from + 1_500.0).contains(*t))
            .count()
    };
    let most = sends
        .values()
        .flat_map(|times| times.iter().map(|from| within(times, *from)))
        .max();
    let most = most.expect("warming servers were sent requests");
    assert!(
        (most as f64) < collapses_at,
        "a warming server got {most} requests in 1.5 s, and collapses at {collapses_at:.0}"
    );
}

/// Queues must not grow before a node gets reports of them, so less is admitted while much of the capacity is
/// warming up. This ends when all servers are warm, also without a further list update.
#[test]
fn less_is_admitted_only_while_many_servers_warm_up() {
    // The answers become slower until every request is rejected.
    let rejected_with = |warming: bool, after: u64| {
        let slower = (100..300).step_by(10).map(|latency_ms| {
            let (mut node, latency_ms) = (node_of_large_cluster(7), [f64::from(latency_ms); 3]);
            serve_requests(&mut node, 0..200, latency_ms);
            if warming {
                replace_a_third(&mut node);
            }
            serve_requests(&mut node, 200..200 + after, latency_ms);
            serve_requests(&mut node, 500..560, latency_ms).1
        });
        slower.sum::<usize>()
    };
    let (warm, warming) = (rejected_with(false, 0), rejected_with(true, 0));
    assert!(
        warming > warm + 20,
        "{warming} requests rejected with warming servers, {warm} with warm ones"
    );
    let (warm, warmed) = (rejected_with(false, 200), rejected_with(true, 200));
    assert!(
        warmed <= warm + 20,
        "{warmed} requests rejected after the servers warmed up, {warm} with servers that were always warm"
    );
}

/// Requests per second that all nodes together send to each of [`SERVERS`] servers before some are replaced.
const REQUESTS_PER_S: f64 = 27.0;

const SERVERS: usize = 12;

/// Largest number of requests that all nodes together send in 1.5 s to one of four servers that start at the same
/// time. If `uneven`, the first node has three times the traffic of each other node; if `restarts`, half of the
/// nodes are restarted 1 s later.
fn max_sent_to_a_warming_server(nodes: usize, uneven: bool, restarts: bool, seed: u64) -> usize {
    let starts_at = 9_000.0;
    let listed = |now: f64| {
        let mut entries = ready_servers(0..SERVERS);
        for entry in entries[8..].iter_mut().filter(|_| now >= starts_at) {
            (entry.server, entry.started_at_ms) =
                (ServerId(entry.server.0 + 1_000), Some(starts_at));
        }
        entries
    };
    let start = |node_index: usize, now: f64, incarnation: u64| {
        let mut settings = settings_with_one_class(Idempotency::Idempotent);
        (settings.nodes, settings.node_index) = (nodes, node_index);
        (settings.slow_start_fraction, settings.slow_start_ms) = (0.35, 8_000.0);
        (settings.collapse_multiple, settings.collapse_after_ms) = (3.0, 1_500.0);
        let mut node = Node::new(
            settings,
            seed << 32 | (node_index as u64) << 8 | incarnation,
        );
        node.now = now;
        node.set_servers(listed(now));
        node
    };
    let mut sends = std::collections::BTreeMap::<usize, Vec<f64>>::new();
    let parts = nodes as f64 + if uneven { 2.0 } else { 0.0 };
    for node_index in 0..nodes {
        let part = if uneven && node_index == 0 { 3.0 } else { 1.0 } / parts;
        let mean_gap = 1e3 / (REQUESTS_PER_S * SERVERS as f64 * part);
        let mut random = fastrand::Rng::with_seed(seed ^ (node_index as u64) << 16);
        let (mut node, mut id, mut started, mut restarted) = (
            start(node_index, 1_000.0, 0),
            0,
            false,
            !restarts || node_index % 2 == 1,
        );
        loop {
            let now = node.now - mean_gap * (1.0 - random.f64()).ln();
            if now > starts_at + 6_000.0 {
                break;
            }
            node.now = now;
            if !std::mem::replace(&mut started, now >= starts_at) && started {
                node.set_servers(listed(now));
            }
            if !restarted && now > starts_at + 1_000.0 {
                (node, restarted) = (start(node_index, now, 1), true);
            }
            id += 1;
            if let Some(server) = sent_server(&node.request(id, 0, 700.0)) {
                sends.entry(server).or_default().push(now);
                // A server that has just started reports no load, unlike the others, and so attracts all nodes.
                // Only some answers of the others have a report, so that their counts rise above the initial count.
                let report = if server >= 1_000 {
                    Some(0.0)
                } else {
                    Some(10.0).filter(|_| random.u8(0..4) == 0)
                };
                node.end_attempt_with_report(id, 0, 60.0, AttemptResult::Served, report);
            }
        }
    }
    let mut warming: Vec<_> = sends.split_off(&1_000).into_values().collect();
    assert_eq!(
        warming.len(),
        4,
        "all four warming servers must get requests"
    );
    for times in &mut warming {
        times.sort_by(f64::total_cmp);
    }
    let within = |times: &[f64], from: f64| {
        times
            .iter()
            .filter(|t| (from..from + 1_500.0).contains(*t))
            .count()
    };
    warming
        .iter()
        .flat_map(|times| times.iter().map(|from| within(times, *from)))
        .max()
        .expect("warming servers were sent requests")
}

/// All nodes together must not overload a warming server, whether they are few or many, with even or uneven
/// traffic, and when restarted nodes lose the record of their sends. With a budget of N requests, up to
/// 2 sqrt(N) + 2 more are within random variation.
#[test]
fn warming_servers_are_not_overloaded_by_few_or_many_nodes() {
    let budget = 3.0 * 0.35 * REQUESTS_PER_S * 1.5;
    let max_allowed = budget + 2.0 * budget.sqrt() + 2.0;
    for nodes in [2, 5, 20, 30, 300] {
        for (uneven, restarts) in [(false, false), (true, false), (false, true), (true, true)] {
            let most = (0..3)
                .map(|seed| max_sent_to_a_warming_server(nodes, uneven, restarts, seed))
                .max()
                .expect("there are three seeds");
            println!(
                "{nodes} nodes, uneven {uneven}, restarts {restarts}: {most} of {max_allowed:.0}"
            );
            assert!(
                most as f64 <= max_allowed,
                "{nodes} nodes, uneven: {uneven}, restarts: {restarts}: {most} requests > {max_allowed:.0}"
            );
        }
    }
}
