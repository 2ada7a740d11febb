//! A node whose system calls fail for a moment or do less than asked, as a real process: every request is answered in
//! time and runs at most once.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use testkit::{
    config, endpoint_list, post_request, read_request, settings, wait_until, Client, Discovery,
    Node, Reply, Server,
};

const SERVERS: usize = 3;
const CLIENTS: usize = 6;
const REQUESTS_PER_CLIENT: usize = 40;
const REQUESTS_PER_CONNECTION: usize = 4;
const PROCESSING_MS: std::ops::Range<u64> = 5..30;
/// Deadline of the classes in the settings.
const DEADLINE_MS: u64 = 3_000;
/// Time after its deadline within which a request must be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Path of the preloaded library, which cargo builds beside the tests.
fn shim_path() -> PathBuf {
    let executable = std::env::current_exe().expect("find the running executable");
    let found = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join("libfault_shim.so"))
        .find(|path| path.is_file());
    found.expect("the library is built with its tests")
}

fn start_servers() -> Vec<Server> {
    (0..SERVERS)
        .map(|_| {
            Server::start(|request| {
                thread::sleep(Duration::from_millis(fastrand::u64(PROCESSING_MS)));
                Reply::ok(request.header("req-id").expect("each request has an id"))
            })
        })
        .collect()
}

/// Starts a node that meets the faults of this plan.
fn start_node(discovery: &Discovery, servers: &[Server], plan: &str) -> Node {
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.endpoint_entry(&format!("s-{index}"), "ready"))
        .collect();
    let config = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(DEADLINE_MS),
    );
    let shim = shim_path();
    let shim = shim.to_str().expect("the path is UTF-8");
    Node::start_with_environment(&config, &[("LD_PRELOAD", shim), ("FAULT_SHIM_PLAN", plan)])
}

/// What happened to the requests of one client.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    served: usize,
    rejected: usize,
    failed: usize,
    /// Not answered until some time after the deadline.
    unanswered: usize,
}

impl std::ops::AddAssign for Totals {
    fn add_assign(&mut self, other: Self) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
    }
}

/// Sends a request, once more if its connection was closed before the node had accepted it.
fn send_request(client: &mut Client, node: &Node, id: &str, number: usize) -> Totals {
    let deadline = format!("{DEADLINE_MS}m");
    let request = match number % 3 {
        0 => read_request(id, &deadline),
        1 => post_request(id, "hold", &format!("Idempotency-Key: {id}\r\n"), "x"),
        _ => post_request(id, "pay", "", "x"),
    };
    let request = request.replace("15000m", &deadline);
    let start = Instant::now();
    let is_sent = client.try_send(&request);
    assert!(is_sent, "the node keeps the connection open");
    let answer = client.read_response();
    let is_late = start.elapsed() > Duration::from_millis(DEADLINE_MS) + ANSWER_SLACK;
    let mut totals = Totals::default();
    match answer {
        Some(answer) if !is_late => {
            match answer.status() {
                200 => {
                    assert_eq!(answer.body, id.as_bytes(), "the response is the request's");
                    totals.served += 1;
                }
                429 | 503 => totals.rejected += 1,
                _ => totals.failed += 1,
            }
            if answer.header("connection") == Some("close") {
                *client = node.connect();
            }
        }
        _ => {
            totals.unanswered += 1;
            *client = node.connect();
        }
    }
    totals
}

/// Number of injected faults of a kind, from the line that the library prints at the end of the process.
fn injected(node: &Node, kind: &str) -> usize {
    let mut count = None;
    wait_until("the library reports what it injected", || {
        let lines = node.log();
        let line = lines
            .iter()
            .find_map(|line| line.strip_prefix("fault-shim: "));
        let pair = line.and_then(|line| line.split(' ').find(|pair| pair.starts_with(kind)));
        count = pair.and_then(|pair| pair.split_once('=')?.1.parse().ok());
        count.is_some()
    });
    count.expect("wait_until returns once there is a count")
}

/// Sends requests through a node that meets these faults, each kind in its share of the calls; returns what happened to
/// them.
fn run(faults: &[(&str, f64)], seed: u64) -> Totals {
    let servers = start_servers();
    let discovery = Discovery::start();
    let shares: Vec<_> = faults
        .iter()
        .map(|(kind, share)| format!("{kind}={share}"))
        .collect();
    let plan = format!("seed={seed},{}", shares.join(","));
    let mut node = start_node(&discovery, &servers, &plan);
    let mut totals = Totals::default();
    let refused = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|index| {
                let (node, refused) = (&node, &refused);
                scope.spawn(move || {
                    let mut client = node.connect();
                    let mut totals = Totals::default();
                    for number in 0..REQUESTS_PER_CLIENT {
                        let id = format!("c{index}-{number}");
                        if number % REQUESTS_PER_CONNECTION == 0 {
                            client = node.connect();
                        }
                        let result = send_request(&mut client, node, &id, number);
                        totals += result;
                        if result.rejected > 0 {
                            refused
                                .lock()
                                .expect("no thread panics with the lock held")
                                .push(id);
                        }
                    }
                    totals
                })
            })
            .collect();
        for client in clients {
            totals += client.join().expect("the client thread does not panic");
        }
    });
    let mut arrivals: HashMap<String, usize> = HashMap::new();
    let requests = servers.iter().flat_map(Server::requests);
    for request in requests.filter(|request| request.header("req-kind") == Some("pay")) {
        let id = request.header("req-id").expect("each request has an id");
        *arrivals.entry(id.to_owned()).or_default() += 1;
    }
    let repeated: Vec<_> = arrivals.iter().filter(|(_, count)| **count > 1).collect();
    assert!(
        repeated.is_empty(),
        "{plan}: run more than once: {repeated:?}"
    );
    node.terminate();
    assert!(node.wait().success(), "{plan}: the node ends in order");
    let refused = refused.lock().expect("no thread panics with the lock held");
    let wrongly_refused: Vec<_> = refused
        .iter()
        .filter(|id| arrivals.contains_key(*id))
        .collect();
    assert!(
        wrongly_refused.is_empty(),
        "{plan}: refused after they may have run: {wrongly_refused:?}"
    );
    for (kind, _) in faults {
        let injected = injected(&node, kind);
        assert!(injected >= 10, "{plan}: only {injected} faults of {kind}");
    }
    eprintln!("{plan}: {totals:?}");
    totals
}

/// Asserts that all requests are answered, none fails, and nine tenths are served.
fn check_all_served(faults: &[(&str, f64)]) {
    for seed in [1, 2] {
        let totals = run(faults, seed);
        assert_eq!(
            totals.unanswered + totals.failed,
            0,
            "{faults:?}, seed {seed}: {totals:?}"
        );
        let wanted = CLIENTS * REQUESTS_PER_CLIENT * 9 / 10;
        assert!(
            totals.served >= wanted,
            "{faults:?}, seed {seed}: {totals:?}"
        );
    }
}

/// A request on a broken connection may fail, but is answered, and does not run again.
#[test]
fn request_runs_at_most_once_if_connections_to_servers_break() {
    for kind in ["broken_receive", "broken_send"] {
        for seed in [1, 2] {
            let totals = run(&[(kind, 0.1)], seed);
            assert_eq!(totals.unanswered, 0, "{kind}, seed {seed}: {totals:?}");
            let wanted = CLIENTS * REQUESTS_PER_CLIENT / 2;
            assert!(totals.served >= wanted, "{kind}, seed {seed}: {totals:?}");
        }
    }
}

#[test]
fn request_is_answered_if_all_kinds_of_calls_fail_at_once() {
    check_all_served(&[
        ("short_receive", 0.1),
        ("interrupted_receive", 0.1),
        ("short_send", 0.1),
        ("interrupted_send", 0.1),
        ("accept", 0.3),
        ("connect", 0.1),
        ("socket", 0.1),
        ("wait", 0.1),
    ]);
}

/// Guards against bytes that stay in a socket after a read that returned only some of them.
#[test]
fn request_is_answered_if_reads_return_less_than_there_is() {
    check_all_served(&[("short_receive", 0.3)]);
}

#[test]
fn request_is_answered_if_reads_are_interrupted() {
    check_all_served(&[("interrupted_receive", 0.3)]);
}

#[test]
fn request_is_answered_if_writes_take_less_than_asked() {
    check_all_served(&[("short_send", 0.3)]);
}

#[test]
fn request_is_answered_if_writes_are_interrupted() {
    check_all_served(&[("interrupted_send", 0.3)]);
}

#[test]
fn request_is_answered_if_accepts_fail() {
    check_all_served(&[("accept", 0.5)]);
}

#[test]
fn request_is_answered_if_connects_fail() {
    check_all_served(&[("connect", 0.3)]);
}

#[test]
fn request_is_answered_if_sockets_cannot_be_created() {
    check_all_served(&[("socket", 0.3)]);
}

#[test]
fn request_is_answered_if_waits_are_interrupted() {
    check_all_served(&[("wait", 0.3)]);
}
