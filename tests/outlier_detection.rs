//! Outlier detection among several processes of the program.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use testkit::{program_command, response, Fault, Fleet, Load, Reply, Server};

const PROBE_SETTINGS: &str = "probe_ms = 200\nsuspect_ms = 1000\n";
const OUTLIER_DETECTION: &str = "[word]\nturn_ms = 300\nfloor = 0.0001\n";
const NODES: usize = 6;
const SERVERS: usize = 5;
/// How long a state is waited for: much longer than it takes on a busy machine. A node that found a server slow once
/// has forgotten it after some 15 s.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// The first responses of the failing server are slow, as on a busy machine: nodes avoid it, and have to try it again
/// before they can find it failing.
const SLOW_RESPONSES: usize = 12;
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(40);

/// A fleet with five servers, the first of which fails while the returned flag is set.
fn start_fleet(seed: u64, operators: &str) -> (Fleet, Arc<AtomicBool>) {
    let is_failing = Arc::new(AtomicBool::new(false));
    let mut fleet = Fleet::prepare(NODES, seed, operators);
    let (fails, requests) = (Arc::clone(&is_failing), AtomicUsize::new(0));
    let first = move |_: &_| {
        if requests.fetch_add(1, Ordering::Relaxed) < SLOW_RESPONSES {
            std::thread::sleep(SLOW_RESPONSE_DELAY);
        }
        if fails.load(Ordering::Relaxed) {
            Reply::Send(response("500 Internal Server Error", "", "no"))
        } else {
            Reply::ok("yes")
        }
    };
    fleet
        .extra_servers
        .push(Server::start(first).without_recording());
    fleet
        .extra_servers
        .extend((2..SERVERS).map(|_| Server::start(|_| Reply::ok("yes")).without_recording()));
    (0..NODES).for_each(|node| fleet.start_node(node));
    fleet.agree_within(WAIT_TIMEOUT);
    (fleet, is_failing)
}

fn loads(fleet: &Fleet, nodes: Range<usize>) -> Vec<Load> {
    nodes
        .map(|node| Load::start(fleet.node(node).address, 1, Duration::from_millis(25)))
        .collect()
}

fn stop(loads: Vec<Load>) {
    let totals: Vec<_> = loads.into_iter().map(Load::finish).collect();
    assert!(
        totals
            .iter()
            .all(|totals| totals.lost == 0 && totals.sent > 0),
        "requests go on"
    );
}

/// The weight that a node gives the failing server; 1 if it is not reported, or the node is paused.
fn weight(fleet: &Fleet, node: usize) -> f64 {
    if !fleet.is_up(node) {
        return 1.0;
    }
    let text = fleet.node(node).admin_command("HINTS\n");
    let row = text.lines().find(|line| line.starts_with("s-1 "));
    row.and_then(|row| row.split(' ').nth(4)?.parse().ok())
        .unwrap_or(1.0)
}

/// Waits until all of these nodes give the failing server such a weight.
fn wait_for_weight(
    fleet: &mut Fleet,
    what: &str,
    nodes: Range<usize>,
    is_reached: fn(f64) -> bool,
) {
    fleet.wait_for(what, WAIT_TIMEOUT, |fleet| {
        let weights: Vec<_> = nodes.clone().map(|node| weight(fleet, node)).collect();
        if weights.iter().all(|weight| is_reached(*weight)) {
            Ok(())
        } else {
            Err(format!("{weights:?}"))
        }
    });
}

/// Waits until the failing server has had this many requests in all.
fn wait_for_requests(fleet: &mut Fleet, what: &str, count: usize) {
    fleet.wait_for(what, WAIT_TIMEOUT, |fleet| {
        match fleet.extra_servers[0].request_count() {
            requests if requests < count => Err(format!("{requests} of {count}")),
            _ => Ok(()),
        }
    });
}

fn is_ejected(weight: f64) -> bool {
    weight < 0.1
}

fn has_whole_share(weight: f64) -> bool {
    weight >= 1.0
}

/// Three nodes find a server failing; then three others, which had no requests yet, get some. Returns how many requests of
/// these the failing server counts.
fn requests_of_newcomers(seed: u64, outlier_detection: &str) -> usize {
    let (mut fleet, is_failing) =
        start_fleet(seed, &format!("{PROBE_SETTINGS}{outlier_detection}"));
    let detecting = loads(&fleet, 0..3);
    is_failing.store(true, Ordering::Relaxed);
    if outlier_detection.is_empty() {
        fleet.wait(Duration::from_secs(2));
        wait_for_requests(&mut fleet, "the three try it", 3);
    } else {
        wait_for_weight(&mut fleet, "all eject it", 0..NODES, is_ejected);
    }
    stop(detecting);
    let found = fleet.extra_servers[0].request_count();
    assert!(found >= 3, "each of the three tried it: {found}");
    let newcomers = loads(&fleet, 3..NODES);
    fleet.wait(Duration::from_secs(2));
    if outlier_detection.is_empty() {
        // A newcomer to which other servers seem quicker by chance tries the failing one later.
        wait_for_requests(&mut fleet, "newcomers try it", found + 2);
    }
    stop(newcomers);
    fleet.extra_servers[0].request_count() - found
}

/// Judged by the server's own count. Without reports each node has to fail there itself.
#[test]
fn nodes_with_reports_send_a_failing_server_hardly_any_requests() {
    let alone = requests_of_newcomers(4, "");
    let with_reports = requests_of_newcomers(5, OUTLIER_DETECTION);
    assert!(
        alone >= 2 && with_reports <= 1,
        "alone {alone}, with reports {with_reports}"
    );
}

#[test]
fn recovered_server_gets_its_share_again_and_hints_show_it() {
    let (mut fleet, is_failing) = start_fleet(1, &format!("{PROBE_SETTINGS}{OUTLIER_DETECTION}"));
    let loads = loads(&fleet, 0..NODES);
    fleet.wait(Duration::from_secs(1));
    wait_for_weight(&mut fleet, "it is not reported", 0..NODES, has_whole_share);
    is_failing.store(true, Ordering::Relaxed);
    wait_for_weight(&mut fleet, "all eject it", 0..NODES, is_ejected);
    let at = fleet.node(2).admin_address().to_string();
    let table = program_command()
        .args(["hints", "--at", &at])
        .output()
        .expect("it starts");
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(table.contains("s-1") && table.contains("error"), "{table}");
    assert!(fleet.node(0).metric("word_heard") > 0 && fleet.node(0).metric("word_suspected") > 0);
    is_failing.store(false, Ordering::Relaxed);
    wait_for_weight(
        &mut fleet,
        "it has its share again",
        0..NODES,
        has_whole_share,
    );
    let before = fleet.extra_servers[0].request_count();
    wait_for_requests(&mut fleet, "it has requests again", before + 20);
    stop(loads);
    assert!(
        fleet
            .extra_servers
            .iter()
            .all(|server| server.request_count() > 0),
        "no server is without requests"
    );
}

/// Two nodes are partitioned and one is paused: all go on serving, and agree after the partition heals.
#[test]
fn outlier_detection_survives_a_partition_and_a_paused_node() {
    let (mut fleet, is_failing) = start_fleet(2, &format!("{PROBE_SETTINGS}{OUTLIER_DETECTION}"));
    let loads = loads(&fleet, 0..NODES);
    for node in 4..NODES {
        for other in (0..NODES).filter(|other| *other != node) {
            fleet.apply(&Fault::Cut {
                from: other,
                to: node,
            });
        }
    }
    fleet.apply(&Fault::Pause {
        node: 3,
        ms: 2_500.0,
    });
    is_failing.store(true, Ordering::Relaxed);
    wait_for_weight(&mut fleet, "the connected nodes eject it", 0..3, is_ejected);
    fleet.apply(&Fault::HealAll);
    wait_for_weight(&mut fleet, "all eject it", 0..NODES, is_ejected);
    stop(loads);
    let relayed = fleet.relay_totals();
    assert!(
        relayed.faults.cut > 0 && relayed.max_datagram_bytes <= 256,
        "{relayed:?}"
    );
    assert!(fleet.extra_servers[0].request_count() >= 3, "it was tried");
}

#[test]
fn outlier_detection_is_off_unless_configured_and_allowed() {
    let fleet = Fleet::start(1, 3, PROBE_SETTINGS);
    assert!(fleet
        .node(0)
        .admin_command("HINTS\n")
        .starts_with("400 this node takes no word of servers"));
    let forbidden = fleet.config(0).replace("\"peers\":true", "\"peers\":false");
    let node = testkit::Node::start_with_operators_file(
        &forbidden,
        Some(&format!("{}{OUTLIER_DETECTION}", fleet.operators_file(0))),
    );
    assert!(node
        .admin_command("HINTS\n")
        .starts_with("400 this node takes no word of servers"));
    let parse_error = |text: &str| {
        let path = std::path::Path::new("file");
        silverthread::node::admin::config_file::OperatorConfig::parse(path, text)
            .map(|_| ())
            .expect_err("an error")
    };
    let instances = "[instances]\nfleet = \"holds\"\nkey_file = \"key\"\n";
    for (text, message) in [
        ("[word]\n".to_owned(), "outlier detection needs [instances]"),
        (
            format!("{instances}[word]\nreporters = 1\n"),
            "`reporters` is out of range",
        ),
        (
            format!("{instances}[word]\npanic_share = 0.9\n"),
            "`panic_share` is out of range",
        ),
        (
            format!("{instances}[word]\nturns = 1\n"),
            "unknown field `turns`",
        ),
    ] {
        let error = parse_error(&text);
        assert!(
            error.to_string().contains(message) && error.line().is_some(),
            "{error}"
        );
    }
}
