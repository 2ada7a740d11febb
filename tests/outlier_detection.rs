//! Outlier detection in a cluster of several node processes.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use testkit::{program_command, response, Fault, Fleet, Load, Reply, Server};

const MEMBERSHIP_SETTINGS: &str = "probe_ms = 200\nsuspect_ms = 1000\n";
const OUTLIER_DETECTION: &str = "[word]\nturn_ms = 300\nfloor = 0.0001\n";
const NODES: usize = 6;
const SERVERS: usize = 5;
/// Time limit for an expected state, much longer than it takes on a busy machine. The effect of one slow response on a
/// node's choice of servers ends after about 15 s.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Number of slow responses at the start of the failing server, as on a busy machine: nodes avoid the server, and have to
/// try it again before they can detect that it fails.
const SLOW_RESPONSES: usize = 12;
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(40);

/// Starts a cluster with five servers. The first extra server, `s-1`, fails while the returned flag is set.
fn start_cluster(seed: u64, operators_file: &str) -> (Fleet, Arc<AtomicBool>) {
    let is_failing = Arc::new(AtomicBool::new(false));
    let mut fleet = Fleet::prepare(NODES, seed, operators_file);
    let (handler_fails, requests) = (Arc::clone(&is_failing), AtomicUsize::new(0));
    let reply = move |_: &_| {
        if requests.fetch_add(1, Ordering::Relaxed) < SLOW_RESPONSES {
            std::thread::sleep(SLOW_RESPONSE_DELAY);
        }
        if handler_fails.load(Ordering::Relaxed) {
            Reply::Send(response("500 Internal Server Error", "", "no"))
        } else {
            Reply::ok("yes")
        }
    };
    fleet
        .extra_servers
        .push(Server::start(reply).without_recording());
    fleet
        .extra_servers
        .extend((2..SERVERS).map(|_| Server::start(|_| Reply::ok("yes")).without_recording()));
    (0..NODES).for_each(|node| fleet.start_node(node));
    fleet.agree_within(WAIT_TIMEOUT);
    (fleet, is_failing)
}

fn start_loads(fleet: &Fleet, nodes: Range<usize>) -> Vec<Load> {
    nodes
        .map(|node| Load::start(fleet.node(node).address, 1, Duration::from_millis(25)))
        .collect()
}

fn stop_loads(loads: Vec<Load>) {
    let totals: Vec<_> = loads.into_iter().map(Load::finish).collect();
    assert!(
        totals
            .iter()
            .all(|totals| totals.lost == 0 && totals.sent > 0),
        "every load sends requests and loses none"
    );
}

/// The weight that a node gives the failing server; 1 if the server is not reported or the node does not run.
fn weight(fleet: &Fleet, node: usize) -> f64 {
    if !fleet.is_up(node) {
        return 1.0;
    }
    let text = fleet.node(node).admin_command("HINTS\n");
    let row = text.lines().find(|line| line.starts_with("s-1 "));
    row.and_then(|row| row.split(' ').nth(4)?.parse().ok())
        .unwrap_or(1.0)
}

/// Waits until the weight that each of these nodes gives the failing server meets the condition.
fn wait_for_weight(
    fleet: &mut Fleet,
    condition: &str,
    nodes: Range<usize>,
    is_reached: fn(f64) -> bool,
) {
    fleet.wait_for(condition, WAIT_TIMEOUT, |fleet| {
        let weights: Vec<_> = nodes.clone().map(|node| weight(fleet, node)).collect();
        if weights.iter().all(|weight| is_reached(*weight)) {
            Ok(())
        } else {
            Err(format!("weights by node: {weights:?}"))
        }
    });
}

/// Waits until the failing server has received this many requests in total.
fn wait_for_requests(fleet: &mut Fleet, condition: &str, count: usize) {
    fleet.wait_for(condition, WAIT_TIMEOUT, |fleet| {
        match fleet.extra_servers[0].request_count() {
            requests if requests < count => Err(format!("{requests} of {count} requests")),
            _ => Ok(()),
        }
    });
}

fn is_ejected(weight: f64) -> bool {
    weight < 0.1
}

fn has_full_weight(weight: f64) -> bool {
    weight >= 1.0
}

/// Three nodes detect a failing server; then the other three nodes get their first client requests. Returns the number of
/// these requests that reach the failing server.
fn requests_of_late_nodes(seed: u64, outlier_detection: &str) -> usize {
    let (mut fleet, is_failing) =
        start_cluster(seed, &format!("{MEMBERSHIP_SETTINGS}{outlier_detection}"));
    let early_loads = start_loads(&fleet, 0..3);
    is_failing.store(true, Ordering::Relaxed);
    if outlier_detection.is_empty() {
        fleet.wait(Duration::from_secs(2));
        wait_for_requests(
            &mut fleet,
            "the first three nodes send 3 requests to the failing server",
            3,
        );
    } else {
        wait_for_weight(
            &mut fleet,
            "all nodes eject the failing server",
            0..NODES,
            is_ejected,
        );
    }
    stop_loads(early_loads);
    let early_requests = fleet.extra_servers[0].request_count();
    assert!(
        early_requests >= 3,
        "expected at least 3 requests at the failing server, got {early_requests}"
    );
    let late_loads = start_loads(&fleet, 3..NODES);
    fleet.wait(Duration::from_secs(2));
    if outlier_detection.is_empty() {
        // A late node that by chance measures the other servers as faster tries the failing one later.
        wait_for_requests(
            &mut fleet,
            "the late nodes send 2 requests to the failing server",
            early_requests + 2,
        );
    }
    stop_loads(late_loads);
    fleet.extra_servers[0].request_count() - early_requests
}

/// The failing server counts the requests. Without reports each node has to detect the failure by its own requests.
#[test]
fn nodes_with_reports_send_failing_server_at_most_one_request() {
    let without_reports = requests_of_late_nodes(4, "");
    let with_reports = requests_of_late_nodes(5, OUTLIER_DETECTION);
    assert!(
        without_reports >= 2 && with_reports <= 1,
        "requests to the failing server: {without_reports} without reports, {with_reports} with reports"
    );
}

/// Also checks that the `hints` command lists the server while it is ejected.
#[test]
fn recovered_server_gets_its_full_weight_and_requests_again() {
    let (mut fleet, is_failing) =
        start_cluster(1, &format!("{MEMBERSHIP_SETTINGS}{OUTLIER_DETECTION}"));
    let loads = start_loads(&fleet, 0..NODES);
    fleet.wait(Duration::from_secs(1));
    wait_for_weight(
        &mut fleet,
        "the server is not reported",
        0..NODES,
        has_full_weight,
    );
    is_failing.store(true, Ordering::Relaxed);
    wait_for_weight(
        &mut fleet,
        "all nodes eject the failing server",
        0..NODES,
        is_ejected,
    );
    let admin_address = fleet.node(2).admin_address().to_string();
    let table = program_command()
        .args(["hints", "--at", &admin_address])
        .output()
        .expect("run the program");
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(
        table.contains("s-1") && table.contains("error"),
        "the table lists s-1 with errors: {table}"
    );
    assert!(
        fleet.node(0).metric("word_heard") > 0 && fleet.node(0).metric("word_suspected") > 0,
        "n0 counts received reports and its own suspicions"
    );
    is_failing.store(false, Ordering::Relaxed);
    wait_for_weight(
        &mut fleet,
        "the recovered server has its full weight again",
        0..NODES,
        has_full_weight,
    );
    let requests_before = fleet.extra_servers[0].request_count();
    wait_for_requests(
        &mut fleet,
        "the recovered server gets 20 more requests",
        requests_before + 20,
    );
    stop_loads(loads);
    assert!(
        fleet
            .extra_servers
            .iter()
            .all(|server| server.request_count() > 0),
        "every extra server must get requests"
    );
}

/// Two nodes receive nothing from the others and one is paused: requests are served meanwhile, and all nodes agree after
/// the partition heals.
#[test]
fn outlier_detection_survives_a_partition_and_a_paused_node() {
    let (mut fleet, is_failing) =
        start_cluster(2, &format!("{MEMBERSHIP_SETTINGS}{OUTLIER_DETECTION}"));
    let loads = start_loads(&fleet, 0..NODES);
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
    wait_for_weight(
        &mut fleet,
        "the connected nodes eject the failing server",
        0..3,
        is_ejected,
    );
    fleet.apply(&Fault::HealAll);
    wait_for_weight(
        &mut fleet,
        "all nodes eject the failing server",
        0..NODES,
        is_ejected,
    );
    stop_loads(loads);
    let relayed = fleet.relay_totals();
    assert!(
        relayed.faults.cut > 0 && relayed.max_datagram_bytes <= 256,
        "datagrams are dropped, and none has more than 256 bytes: {relayed:?}"
    );
    assert!(
        fleet.extra_servers[0].request_count() >= 3,
        "the failing server got at least 3 requests"
    );
}

#[test]
fn outlier_detection_is_off_unless_configured_and_allowed() {
    let fleet = Fleet::start(1, 3, MEMBERSHIP_SETTINGS);
    assert!(
        fleet
            .node(0)
            .admin_command("HINTS\n")
            .starts_with("400 this node takes no word of servers"),
        "off without the [word] section"
    );
    let forbidden = fleet.config(0).replace("\"peers\":true", "\"peers\":false");
    let node = testkit::Node::start_with_operators_file(
        &forbidden,
        Some(&format!("{}{OUTLIER_DETECTION}", fleet.operators_file(0))),
    );
    assert!(
        node.admin_command("HINTS\n")
            .starts_with("400 this node takes no word of servers"),
        "off where the platform forbids peer traffic"
    );
    let parse_error = |text: &str| {
        let path = std::path::Path::new("file");
        silverthread::node::admin::config_file::OperatorConfig::parse(path, text)
            .map(|_| ())
            .expect_err("the section is invalid")
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
            "expected `{message}` with its line, got: {error}"
        );
    }
}
