//! Server selection on a node that hears of each server once in many latency objectives.

mod common;
use common::*;

use balancer::*;

/// A node of many that hears of each server once in many aims keeps to those it knows, in turn.
#[test]
fn node_with_few_requests_keeps_to_contacted_servers() {
    let mut settings = one_class(Idempotency::Idempotent);
    settings.nodes = 200;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..60));
    let mut met = std::collections::BTreeSet::new();
    for id in 0..600 {
        met.insert(node.sent_to(id));
        node.now += 100.0;
        node.report(
            id,
            0,
            50.0,
            AttemptResult::Served,
            Some((1 + id % 3) as f64),
        );
    }
    assert!(
        (1..20).contains(&met.len()),
        "{} of 60 servers at four requests in an aim",
        met.len()
    );
}

/// Guards against servers that many nodes meet by chance, and others that few do.
#[test]
fn servers_are_contacted_by_equally_many_nodes() {
    let mut met = vec![0_u32; 180];
    for me in 0..300 {
        let mut node = one_of_many(me);
        for id in 0..4 {
            met[node.sent_to(id)] += 1; // Nothing is answered: each looks for another server.
            node.now += 60.0;
        }
    }
    let mean = f64::from(met.iter().sum::<u32>()) / 180.0;
    let variance = met
        .iter()
        .map(|n| (f64::from(*n) - mean).powi(2))
        .sum::<f64>()
        / 180.0;
    // A node's first request is drawn from all: it does not know yet how many it will see.
    assert!(
        variance < mean / 2.0,
        "variance {variance:.2} at a mean of {mean:.2}; by chance it is as large"
    );
}

/// Guards against a node that goes on trying the servers of its turn of the ring while none of them is in reach: one that
/// was just started passes over what has failed, and looks beyond.
#[test]
fn node_whose_part_of_the_ring_is_unreachable_finds_other_servers() {
    let (mut node, mut served) = (one_of_many(0), 0);
    for id in 0..200 {
        node.now += 60.0;
        let mut actions = node.request(id, 0, 700.0);
        for attempt in 0..3 {
            let Some(server) = send_of(&actions) else {
                break;
            };
            let ending = if server < 90 {
                AttemptResult::Unreachable
            } else {
                AttemptResult::Served
            };
            served += usize::from(ending == AttemptResult::Served);
            actions = node.end(id, attempt, 50.0, ending);
        }
    }
    assert!(
        served >= 120,
        "{served} of 200 served with half of the servers in reach"
    );
}
