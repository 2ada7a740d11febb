//! Server selection on a node that gets a load report of each server once in many latency objectives.

mod common;
use common::*;

use balancer::*;

/// A node that gets reports of each server rarely uses only those that it has contacted.
#[test]
fn node_with_few_requests_keeps_to_contacted_servers() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.nodes = 200;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready_servers(0..60));
    let mut contacted = std::collections::BTreeSet::new();
    for id in 0..600 {
        contacted.insert(node.dispatch(id));
        node.now += 100.0;
        node.end_attempt_with_report(
            id,
            0,
            50.0,
            AttemptResult::Served,
            Some((1 + id % 3) as f64),
        );
    }
    assert!(
        (1..20).contains(&contacted.len()),
        "{} of 60 servers contacted at four requests per objective, expected under 20",
        contacted.len()
    );
}

/// With random choices some servers would be contacted by many nodes, and others by few.
#[test]
fn servers_are_contacted_by_equally_many_nodes() {
    let mut contacted = vec![0_u32; 180];
    for node_index in 0..300 {
        let mut node = node_of_large_cluster(node_index);
        for id in 0..4 {
            contacted[node.dispatch(id)] += 1; // Without answers each request goes to another server.
            node.now += 60.0;
        }
    }
    let mean = f64::from(contacted.iter().sum::<u32>()) / 180.0;
    let variance = contacted
        .iter()
        .map(|n| (f64::from(*n) - mean).powi(2))
        .sum::<f64>()
        / 180.0;
    // A node's first server is drawn from all servers, as its request rate is still unknown.
    assert!(
        variance < mean / 2.0,
        "variance {variance:.2} at a mean of {mean:.2}, expected under half the mean; random choices give a variance equal to the mean"
    );
}

/// A new node must not keep trying the servers of its part of the ring if none of them is reachable. It skips
/// servers that have failed and tries those beyond.
#[test]
fn node_with_unreachable_part_of_the_ring_finds_other_servers() {
    let (mut node, mut served) = (node_of_large_cluster(0), 0);
    for id in 0..200 {
        node.now += 60.0;
        let mut actions = node.request(id, 0, 700.0);
        for attempt in 0..3 {
            let Some(server) = sent_server(&actions) else {
                break;
            };
            let result = if server < 90 {
                AttemptResult::Unreachable
            } else {
                AttemptResult::Served
            };
            served += usize::from(result == AttemptResult::Served);
            actions = node.end_attempt(id, attempt, 50.0, result);
        }
    }
    assert!(
        served >= 120,
        "{served} of 200 requests served with half of the servers reachable, expected 120 or more"
    );
}
