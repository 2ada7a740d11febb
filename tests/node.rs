//! The node as its clients, its servers, discovery and the platform see it, over loopback sockets.

use std::fmt::Write as _;
use std::future::Future;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use silverthread::node::config::Config;
use silverthread::node::dispatcher::Dispatcher;
use silverthread::node::downstream::server::{serve, Phase, ServerOptions};
use testkit::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const KEY: &str = "Idempotency-Key: 5c0f\r\n";

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let server = Server::start(|_| {
        Reply::Send(response(
            "200 OK",
            "Srv-Load: TEXT inflight=1, queue=0\r\n",
            "rooms: 3\n",
        ))
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let served = node.request(&post_request("r1", "hold", KEY, "a guest"));
    assert_eq!(
        (served.status(), served.body.as_slice()),
        (200, b"rooms: 3\n".as_slice())
    );
    let requests = server.requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].start_line, "POST /api?key=inn-7 HTTP/1.1");
    assert_eq!(requests[0].body, b"a guest");
    assert_eq!(requests[0].header("req-id"), Some("r1"));
    assert_eq!(requests[0].header("idempotency-key"), Some("5c0f"));
    let left = requests[0]
        .header("req-deadline")
        .and_then(|d| d.strip_suffix('u'));
    let left: u64 = left.expect("microseconds").parse().expect("a number");
    assert!(
        left > 0 && left < 15_000_000,
        "the time that is left goes on: {left}"
    );
}

#[test]
fn absolute_form_request_is_forwarded_in_origin_form() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let absolute =
        read_request("a", "15000m").replace("GET /api", "GET http://service.internal/api");
    assert_eq!(node.request(&absolute).status(), 200);
    assert_eq!(
        server.requests()[0].start_line,
        "GET /api?key=inn-7 HTTP/1.1"
    );
}

#[test]
fn connections_to_client_and_server_are_reused() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let mut client = node.connect();
    let mut served = 0;
    wait_until("three requests are served", || {
        client.send(&read_request("a", "15000m"));
        served += usize::from(client.read_response().expect("an answer").status() == 200);
        served == 3
    });
    assert_eq!(
        (server.requests().len(), server.accepted_connections()),
        (3, 1)
    );
}

#[test]
fn invalid_request_is_rejected_and_not_forwarded() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let good = read_request("a", "480m");
    let cases = [
        (400, "nonsense\r\n\r\n".to_owned()),
        (400, good.replace("Req-Id: a\r\n", "")),
        (400, good.replace("Req-Kind: read", "Req-Kind: other")),
        (400, good.replace("Req-Kind: read\r\n", "")),
        (400, good.replace("480m", "480")),
        (400, good.replace("480m", "m")),
        (400, good.replace("480m", "-1m")),
        (400, good.replace("480m", "NaNm")),
        (400, good.replace("480m", "12é")),
        (400, good.replace("Req-Deadline: 480m\r\n", "")),
        (400, good.replace("GET", "POST")),
        (400, post_request("a", "hold", "", "no key")),
        (400, post_request("a", "pay", KEY, "a key")),
        (404, good.replace("/api", "/other")),
        (
            413,
            post_request("a", "pay", "", "")
                .replace("Content-Length: 0", "Content-Length: 60000000"),
        ),
        (
            405,
            "POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".to_owned(),
        ),
    ];
    for (status, request) in cases {
        assert_eq!(
            node.request(&request).status(),
            status,
            "{}",
            &request[..request.len().min(300)]
        );
    }
    assert!(server.requests().is_empty());
    assert_eq!(
        node.request(&read_request("b", "15000m")).status(),
        200,
        "it serves on"
    );
}

#[test]
fn body_of_64_kib_is_forwarded_whole() {
    let server = Server::start(|request| Reply::ok(&"y".repeat(request.body.len())));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let served = node.request(&post_request("a", "pay", "", &"x".repeat(64 * 1024)));
    assert_eq!((served.status(), served.body.len()), (200, 64 * 1024));
}

/// Guards against a request that is taken to have run where it has not: an unsafe one would be lost.
#[test]
fn declined_request_is_retried_even_if_not_idempotent() {
    let seen = AtomicUsize::new(0);
    let server = Server::start(move |_| match seen.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Send(response(
            "503 Service Unavailable",
            "Srv-Declined: 1\r\n",
            "",
        )),
        _ => Reply::ok("yes"),
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    assert_eq!(
        node.request(&post_request("a", "pay", "", "x")).status(),
        200
    );
    assert_eq!(server.requests().len(), 2);
}

#[test]
fn request_to_unreachable_server_is_retried_elsewhere() {
    let server = Server::start(|_| Reply::ok("yes"));
    let nobody = Unreachable::reserve();
    let discovery = Discovery::start();
    let entries = [
        endpoint_entry("s-dead", nobody.address, "ready"),
        server.endpoint_entry("s-live", "ready"),
    ];
    let node = Node::start(&config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(15_000),
    ));
    for id in 0..8 {
        assert_eq!(
            node.request_until_accepted(&post_request(&format!("r{id}"), "pay", "", "x"))
                .status(),
            200
        );
    }
    assert_eq!(server.requests().len(), 8);
}

/// Guards against a second effect: what broke after the last byte may have run, and an unsafe request is then
/// neither sent again nor called refused.
#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    for reply in [
        Reply::Close,
        Reply::Send(response("500 Oops", "", "")),
        Reply::Send(b"nonsense\r\n\r\n".to_vec()),
    ] {
        let server = Server::start(move |_| reply.clone());
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
        assert_eq!(
            node.request(&post_request("a", "pay", "", "x")).status(),
            502
        );
        assert_eq!(server.requests().len(), 1);
    }
}

#[test]
fn undeclined_503_counts_as_may_have_run_and_is_not_retried() {
    let server = Server::start(|_| Reply::Send(response("503 Service Unavailable", "", "")));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    assert_eq!(
        node.request(&post_request("a", "pay", "", "x")).status(),
        502
    );
    assert_eq!(server.requests().len(), 1);
}

#[test]
fn truncated_or_oversized_response_is_not_forwarded() {
    let mut cut = response("200 OK", "", "rooms: 3\n");
    cut.pop();
    let large = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nyyy".to_vec();
    for reply in [Reply::SendAndClose(cut), Reply::Send(large)] {
        let server = Server::start(move |_| reply.clone());
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
        assert_eq!(
            node.request(&post_request("a", "pay", "", "x")).status(),
            502
        );
    }
}

/// Guards against answers that are taken for spoilt because they are large, and asked for again from others in vain.
#[test]
fn large_response_is_forwarded_whole() {
    let body = (0..60_000).fold(String::new(), |mut body, n| {
        write!(body, "{n:06} ").expect("a string takes all");
        body
    });
    let reply = response("200 OK", "", &body);
    let server = Server::start(move |_| Reply::Send(reply.clone()));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    for n in 0..3 {
        let served = node.request_until_accepted(&read_request(&n.to_string(), "15000m"));
        assert_eq!(served.status(), 200);
        assert!(
            served.body == body.as_bytes(),
            "{} bytes, and not the same",
            served.body.len()
        );
    }
    assert_eq!(server.requests().len(), 3, "each is asked for once");
}

#[test]
fn malformed_load_reports_are_tolerated() {
    for load in [
        "TEXT inflight=x",
        "TEXT inflight",
        "JSON {}",
        "TEXT inflight=NaN, queue=-1",
        "",
    ] {
        let reply = response("200 OK", &format!("Srv-Load: {load}\r\n"), "yes");
        let server = Server::start(move |_| Reply::Send(reply.clone()));
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
        assert_eq!(node.request(&read_request("a", "15000m")).status(), 200);
        assert_eq!(
            node.request_until_accepted(&read_request("b", "15000m"))
                .status(),
            200
        );
    }
}

/// Guards against a request on a connection that its server has closed: it would end as a reset, which an
/// unsafe request does not survive.
#[test]
fn connection_closed_by_server_is_not_reused() {
    let server = Server::start(|_| Reply::SendAndClose(response("200 OK", "", "yes")));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    for n in 1..=5 {
        assert_eq!(
            node.request_until_accepted(&post_request(&format!("r{n}"), "pay", "", "x"))
                .status(),
            200
        );
        wait_until("the server has closed", || server.closed_connections() == n);
    }
    assert_eq!(server.requests().len(), 5);
}

/// Guards against a request that is held past its time by a server that took it and fell silent.
#[test]
fn request_to_silent_server_fails_at_its_deadline() {
    let server = Server::start(|_| Reply::NoResponse);
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let start = Instant::now();
    let status = node
        .request(&post_request("a", "pay", "", "x").replace("15000m", "700m"))
        .status();
    assert!(
        (500..600).contains(&status) && status != 503,
        "it may have run: {status}"
    );
    assert!(
        start.elapsed() >= Duration::from_millis(600),
        "it was given its time"
    );
    wait_until("its connection is closed", || {
        server.closed_connections() == 1
    });
}

#[test]
fn attempt_is_aborted_when_its_client_disconnects() {
    let server = Server::start(|_| Reply::NoResponse);
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let mut client = node.connect();
    client.send(&read_request("a", "15000m"));
    wait_until("it was sent", || server.requests().len() == 1);
    drop(client);
    wait_until("its connection is closed", || {
        server.closed_connections() == 1
    });
}

/// Guards against clients that wait in the system's queue while others keep connections they do not use.
#[test]
fn idle_client_connections_are_evicted_for_new_ones() {
    let discovery = Discovery::start();
    let small = config(
        discovery.address,
        &endpoint_list(1, true, &[]),
        &settings(15_000),
    )
    .replace("1024", "8");
    let node = Node::start(&small);
    let mut kept = Vec::new();
    for _ in 0..12 {
        let mut client = node.connect();
        client.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.read_response().expect("an answer").status(), 200);
        kept.push(client);
    }
}

#[test]
fn incomplete_body_times_out_with_408() {
    let (node, _discovery, _watch) = Node::start_with_servers(&[], 300);
    let whole = post_request("a", "pay", "", "xx");
    assert_eq!(node.request(&whole[..whole.len() - 1]).status(), 408);
}

/// Guards against clients that are sent away with no word of when there may be room.
#[test]
fn rejection_for_lack_of_capacity_has_retry_after() {
    let slow = Server::start(|_| {
        std::thread::sleep(Duration::from_secs(1));
        Reply::ok("slow")
    });
    let discovery = Discovery::start();
    let aims = settings(15_000).replace("\"promise_ms\":15000.0", "\"promise_ms\":300.0");
    let many_nodes = aims.replace("\"n_instances\":1", "\"n_instances\":600");
    let known = endpoint_list(1, true, &[slow.endpoint_entry("s-0", "ready")]);
    let node = Node::start(&config(discovery.address, &known, &many_nodes));
    let mut refused = None;
    wait_until("a request is refused", || {
        let answer = node.request(&read_request("a", "15000m"));
        refused = Some(answer).filter(|answer| answer.status() == 503);
        refused.is_some()
    });
    let wait = refused
        .as_ref()
        .and_then(|answer| answer.header("retry-after"));
    let wait: f64 = wait.expect("a time").parse().expect("seconds");
    assert!(wait > 0.0 && wait < 15.0, "{wait}");
}

/// Guards against refusals beside a far server: its answers take most of what a request may wait for, and it has
/// room for more than one all the same.
#[test]
fn server_with_high_latency_gets_concurrent_requests() {
    let seen = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&seen);
    let server = Server::start(move |_| {
        match counted.fetch_add(1, Ordering::SeqCst) {
            0 => std::thread::sleep(Duration::from_millis(2_600)),
            _ => wait_until("two are there at a time", || {
                counted.load(Ordering::SeqCst) == 3
            }),
        }
        Reply::Send(response(
            "200 OK",
            "Srv-Load: TEXT active=0, waiting=0\r\n",
            "yes",
        ))
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 10_000);
    assert_eq!(node.request(&read_request("a", "10000m")).status(), 200);
    let (mut one, mut other) = (node.connect(), node.connect());
    one.send(&read_request("b", "10000m"));
    wait_until("the first is there", || seen.load(Ordering::SeqCst) == 2);
    other.send(&read_request("c", "10000m"));
    assert_eq!(other.read_response().expect("an answer").status(), 200);
    assert_eq!(one.read_response().expect("an answer").status(), 200);
}

#[test]
fn request_without_any_server_is_rejected() {
    let (node, _discovery, _watch) = Node::start_with_servers(&[], 15_000);
    assert_eq!(node.request(&read_request("a", "15000m")).status(), 503);
}

#[test]
fn endpoint_change_received_in_pieces_is_applied() {
    let (old, new) = (
        Server::start(|_| Reply::ok("old")),
        Server::start(|_| Reply::ok("new")),
    );
    let (node, _discovery, mut watch) = Node::start_with_servers(&[&old], 15_000);
    assert!(
        watch.request_line.contains("watch=1") && watch.request_line.contains("from=1"),
        "{}",
        watch.request_line
    );
    let change = endpoint_list(
        2,
        false,
        &[
            old.endpoint_entry("s-0", "draining"),
            new.endpoint_entry("s-9", "ready"),
        ],
    );
    watch.send("\n");
    let (head, tail) = change.split_at(change.len() / 2);
    watch.send(head);
    watch.send(tail);
    watch.send("\n\n");
    let mut n = 0;
    wait_until("requests go to the new server", || {
        n += 1;
        node.request(&read_request(&format!("r{n}"), "15000m")).body == b"new"
    });
    for n in 0..10 {
        let served = node.request_until_accepted(&read_request(&format!("s{n}"), "15000m"));
        assert_eq!(
            (served.status(), served.body.as_slice()),
            (200, b"new".as_slice()),
            "nothing goes to one that drains"
        );
    }
}

/// Guards against a clock near zero: to the balancer a server that was never heard of was last heard of at zero,
/// and for the first seconds it refused requests that such a server could have taken.
#[test]
fn new_node_uses_servers_without_any_report_yet() {
    let slow = Server::start(|_| {
        std::thread::sleep(Duration::from_secs(2));
        Reply::ok("slow")
    });
    let idle = Server::start(|_| Reply::ok("idle"));
    let discovery = Discovery::start();
    let aims = settings(15_000).replace("\"promise_ms\":15000.0", "\"promise_ms\":1000.0");
    let many_nodes = aims.replace("\"n_instances\":1", "\"n_instances\":60");
    let known = endpoint_list(1, true, &[slow.endpoint_entry("s-0", "ready")]);
    let node = Node::start(&config(discovery.address, &known, &many_nodes));
    // Requests come often, and the one server that answers takes most of their aim.
    for n in 1..=60 {
        let mut client = node.connect();
        client.send(&read_request(&format!("gone-{n}"), "15000m"));
        wait_until("it was sent", || slow.requests().len() == n);
    }
    wait_until("their attempts are given up", || {
        slow.closed_connections() == 60
    });
    assert_eq!(node.request(&read_request("a", "15000m")).body, b"slow");
    let mut watch = discovery.watch();
    let both = [
        slow.endpoint_entry("s-0", "ready"),
        idle.endpoint_entry("s-1", "ready"),
    ];
    // Nothing is asked between, so that the change is what the node goes by.
    watch.send(&format!("{}\n", endpoint_list(2, true, &both)));
    watch.send("\n");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(node.request(&read_request("b", "15000m")).status(), 200);
}

#[test]
fn full_endpoint_list_replaces_all_and_skips_malformed_entries() {
    let (old, new) = (
        Server::start(|_| Reply::ok("old")),
        Server::start(|_| Reply::ok("new")),
    );
    let (node, _discovery, mut watch) = Node::start_with_servers(&[&old], 15_000);
    let bad = [
        "7".to_owned(),
        r#"{"instanceId":"s-7"}"#.to_owned(),
        new.endpoint_entry("s-8", "asleep"),
        new.endpoint_entry("s-6", "ready")
            .replace(&new.address.to_string(), "nowhere"),
        new.endpoint_entry("s-9", "ready"),
    ];
    watch.send(&format!("{}\n", endpoint_list(2, true, &bad)));
    let mut n = 0;
    wait_until("requests go to the new server", || {
        n += 1;
        node.request(&read_request(&format!("r{n}"), "15000m")).body == b"new"
    });
    assert_eq!(
        node.request_until_accepted(&read_request("s", "15000m"))
            .body,
        b"new"
    );
}

/// Guards against a server that gets what was meant for the one before it at its address: the list tells of the new
/// one before it tells that the old one is gone.
#[test]
fn new_server_at_a_reused_address_gets_new_connections() {
    let server = Server::start(|_| Reply::ok("yes"));
    if server.unix_endpoint.is_some() {
        return; // The operators name the path, and no list moves a server away from it.
    }
    let (node, _discovery, mut watch) = Node::start_with_servers(&[&server], 15_000);
    assert_eq!(node.request(&read_request("a", "15000m")).status(), 200);
    assert_eq!(
        (server.accepted_connections(), server.closed_connections()),
        (1, 0)
    );
    watch.send(&format!(
        "{}\n",
        endpoint_list(2, false, &[server.endpoint_entry("s-new", "ready")])
    ));
    wait_until("the old one's connection is closed", || {
        server.closed_connections() == 1
    });
    assert_eq!(
        node.request_until_accepted(&read_request("b", "15000m"))
            .status(),
        200
    );
    // What is said of the old one later is said of one that is not there.
    watch.send(&format!(
        "{}\n",
        endpoint_list(3, false, &[server.endpoint_entry("s-0", "draining")])
    ));
    watch.send(&format!(
        "{}\n",
        endpoint_list(4, false, &[server.endpoint_entry("s-0", "gone")])
    ));
    for n in 0..5 {
        assert_eq!(
            node.request_until_accepted(&read_request(&format!("c{n}"), "15000m"))
                .status(),
            200
        );
    }
    assert_eq!(server.accepted_connections(), 2);
}

#[test]
fn ended_watch_is_reopened_from_its_last_generation() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, discovery, mut watch) = Node::start_with_servers(&[&server], 15_000);
    watch.send(&format!("{}\n", endpoint_list(5, false, &[])));
    drop(watch);
    let mut watch = discovery.watch();
    // What was written may have been lost with the connection.
    assert!(
        watch.request_line.contains("from=5") || watch.request_line.contains("from=1"),
        "{}",
        watch.request_line
    );
    watch.send("{nonsense}\n");
    let watch = discovery.watch();
    assert!(
        !watch.request_line.contains("from="),
        "the whole list is asked for: {}",
        watch.request_line
    );
    assert_eq!(
        node.request(&read_request("a", "15000m")).status(),
        200,
        "the list held stands"
    );
}

#[test]
fn silent_watch_is_reopened() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (_node, discovery, mut watch) = Node::start_with_servers(&[&server], 15_000);
    watch.stop_keep_alive();
    assert!(discovery.watch().request_line.contains("from=1"));
}

/// A server that answers nothing until its gate is opened by storing one.
fn gated() -> (Arc<AtomicUsize>, Server) {
    let go = Arc::new(AtomicUsize::new(0));
    let gate = Arc::clone(&go);
    let server = Server::start(move |_| {
        wait_until("the gate opens", || gate.load(Ordering::SeqCst) == 1);
        Reply::ok("yes")
    });
    (go, server)
}

/// Guards against requests lost at a planned restart.
#[test]
fn sigterm_ends_the_process_once_all_requests_are_answered() {
    let (go, server) = gated();
    let (mut node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let (mut held, mut between) = (node.connect(), node.connect());
    between.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(between.read_response().expect("an answer").status(), 200);
    held.send(&read_request("a", "15000m"));
    wait_until("it waits", || server.accepted_connections() == 1);
    node.terminate();
    assert!(
        between.is_closed(),
        "a connection between requests is closed"
    );
    go.store(1, Ordering::SeqCst);
    let served = held.read_response().expect("what was held is answered");
    assert_eq!(
        (served.status(), served.header("connection")),
        (200, Some("close"))
    );
    assert!(held.is_closed());
    assert_eq!(node.wait().code(), Some(0));
}

/// Runs a test on one thread, as a node runs.
fn run_locally(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// A node in the test's own process, whose phases the test sets.
struct LocalNode {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    serving: JoinHandle<()>,
}

impl LocalNode {
    async fn start(config: &str, max_connections: usize) -> Self {
        let config = Config::parse(config).expect("a valid configuration");
        let dispatcher = Dispatcher::start(&config).expect("valid settings");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let (phase, phases) = watch::channel(Phase::Serving);
        let options = ServerOptions::for_unshared_listener(phases, max_connections);
        Self {
            address,
            phase,
            serving: tokio::task::spawn_local(serve(listener, dispatcher, options)),
        }
    }
}

/// Guards against requests lost between SIGTERM and the moment at which the front notices: new connections come
/// until then, and what they carry is taken and answered; and against clients that are sent away from the one node
/// that is there. The phases are set by hand, so that no clock decides.
#[test]
fn draining_node_accepts_and_keeps_connections_until_shutdown() {
    let nowhere = Unreachable::reserve();
    let text = config(
        nowhere.address,
        &endpoint_list(1, true, &[]),
        &settings(15_000),
    );
    run_locally(async {
        let LocalNode {
            address,
            phase,
            serving,
        } = LocalNode::start(&text, 16).await;
        let by = Instant::now() + WAIT_TIMEOUT;
        phase.send_replace(Phase::Draining(by));
        let mut client = tokio::net::TcpStream::connect(address)
            .await
            .expect("it still listens");
        // Whoever has a connection keeps it: there may be nobody else yet.
        for _ in 0..3 {
            let answer = ask(&mut client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").await;
            assert!(
                answer.starts_with("HTTP/1.1 200 OK") && !answer.contains("close"),
                "{answer}"
            );
        }
        phase.send_replace(Phase::ShuttingDown(by));
        assert!(
            client.read_u8().await.is_err(),
            "between requests it is closed in the end"
        );
        tokio::time::timeout(WAIT_TIMEOUT, serving)
            .await
            .expect("it ends")
            .expect("in order");
    });
}

/// Sends a request and reads the head of its answer.
async fn ask(client: &mut tokio::net::TcpStream, request: &str) -> String {
    client
        .write_all(request.as_bytes())
        .await
        .expect("an open connection");
    head(client).await
}

async fn head(client: &mut tokio::net::TcpStream) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let byte = tokio::time::timeout(WAIT_TIMEOUT, client.read_u8())
            .await
            .expect("an answer in time");
        head.push(char::from(byte.expect("an answer")));
    }
    head
}

/// Guards against clients that give up a node which hands over because each connection that they have to it is in use:
/// it gets no further ones. Some are kept free, by refusals at once, and those say when to come back.
#[test]
fn draining_node_rejects_requests_to_keep_connections_free() {
    let (go, server) = gated();
    let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
    let text = config(Unreachable::reserve().address, &known, &settings(60_000));
    run_locally(async {
        let LocalNode { address, phase, .. } = LocalNode::start(&text, 64).await;
        let mut clients = Vec::new();
        for _ in 0..12 {
            let mut client = tokio::net::TcpStream::connect(address)
                .await
                .expect("it listens");
            assert!(ask(&mut client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                .await
                .contains("200 OK"));
            clients.push(client);
        }
        phase.send_replace(Phase::Draining(Instant::now() + 3 * WAIT_TIMEOUT));
        let mut held = clients.split_off(2);
        for (at, client) in held.iter_mut().enumerate() {
            client
                .write_all(read_request(&at.to_string(), "60000m").as_bytes())
                .await
                .expect("an open connection");
            let start = Instant::now();
            while server.requests().len() <= at {
                assert!(start.elapsed() < WAIT_TIMEOUT, "request {at} was not taken");
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        let refused = ask(&mut clients[0], &read_request("more", "60000m"))
            .await
            .to_ascii_lowercase();
        assert!(
            refused.contains("503") && refused.contains("retry-after: 0."),
            "{refused}"
        );
        assert!(
            !refused.contains("connection: close"),
            "its client keeps the connection: {refused}"
        );
        go.store(1, Ordering::SeqCst);
        for client in &mut held {
            assert!(
                head(client).await.contains("200 OK"),
                "what was taken is served"
            );
        }
    });
}

/// Guards against clients that are sent away while a node hands over: they get no further connections to it.
#[test]
fn draining_node_closes_no_idle_connection() {
    let nowhere = Unreachable::reserve();
    let text = config(
        nowhere.address,
        &endpoint_list(1, true, &[]),
        &settings(15_000),
    );
    run_locally(async {
        let LocalNode { address, phase, .. } = LocalNode::start(&text, 8).await;
        tokio::task::yield_now().await; // It has begun to listen for phases.
        phase.send_replace(Phase::Draining(Instant::now() + 3 * WAIT_TIMEOUT));
        let mut clients = Vec::new();
        for _ in 0..2 {
            // As many as there are places, and more than may stand idle while a node serves.
            while clients.len() < 8 {
                clients.push(
                    tokio::net::TcpStream::connect(address)
                        .await
                        .expect("it listens"),
                );
            }
            for client in &mut clients {
                assert!(ask(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                    .await
                    .contains("200 OK"));
            }
        }
    });
}

/// Guards against SIGHUP ending the process, and against a node that stays with a discovery of the past.
#[test]
fn sighup_moves_the_watch_to_the_newly_configured_discovery() {
    let servers: Vec<_> = (0..3)
        .map(|n| Server::start(move |_| Reply::ok(&n.to_string())))
        .collect();
    let (node, old, mut watch) = Node::start_with_servers(&[&servers[0]], 15_000);
    watch.send(&format!("{}\n", endpoint_list(70, false, &[])));
    let mut left = vec![(old, watch)];
    for n in [1, 2, 0] {
        let discovery = Discovery::start();
        let text = config(
            discovery.address,
            &endpoint_list(1, true, &[]),
            &settings(15_000),
        );
        node.reload(&text);
        let mut watch = discovery.watch();
        assert!(
            !watch.request_line.contains("from="),
            "its versions are its own: {}",
            watch.request_line
        );
        let id = format!("s-{n}");
        watch.send(&format!(
            "{}\n",
            endpoint_list(3, true, &[servers[n].endpoint_entry(&id, "ready")])
        ));
        wait_until("requests go to the server that it names", || {
            node.request(&read_request("a", "15000m")).body == n.to_string().as_bytes()
        });
        let (_, before) = left.last_mut().expect("one");
        assert!(before.is_closed(), "the one before is left");
        left.push((discovery, watch));
        // A broken file changes nothing, whatever is wrong with it.
        for broken in [
            "{".to_owned(),
            text.replace("\"0f\"", "7"),
            text.replace("127.0.0.1:0", "here"),
        ] {
            node.reload(&broken);
            assert_eq!(
                node.request_until_accepted(&read_request("b", "15000m"))
                    .body,
                n.to_string().as_bytes()
            );
        }
        let (_, watch) = left.last_mut().expect("one");
        watch.send(&format!(
            "{}\n",
            endpoint_list(4, true, &[servers[n].endpoint_entry(&id, "ready")])
        ));
    }
}

/// Guards against changes that are taken as following on a list which they know nothing of.
#[test]
fn generation_that_goes_back_triggers_a_full_list_request() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (_node, discovery, mut watch) = Node::start_with_servers(&[&server], 15_000);
    watch.send(&format!("{}\n", endpoint_list(9, false, &[])));
    watch.send(&format!("{}\n", endpoint_list(8, false, &[])));
    assert!(!discovery.watch().request_line.contains("from="));
}

#[test]
fn invalid_configuration_ends_the_process_with_one_line() {
    let good = config(
        "127.0.0.1:1".parse().expect("an address"),
        &endpoint_list(1, true, &[]),
        &settings(1_000),
    );
    let broken = [
        "{".to_owned(),
        "[]".to_owned(),
        good.replace("\"127.0.0.1:0\"", "\"here\""),
        good.replace("\"0f\"", "\"seed\""),
        good.replace("1000.0", "-1.0"),
        good.replace("\"max_attempts\":3", "\"max_attempts\":0"),
        good.replace("60000.0}", "\"long\"}"),
    ];
    for text in broken {
        assert_ne!(text, good);
        let path = write_temp_file(&text);
        ends_with_one_line(program_command().env("ROUTER_CONFIG", &path));
        std::fs::remove_file(path).expect("a file");
    }
    ends_with_one_line(&mut program_command());
    ends_with_one_line(program_command().env("ROUTER_CONFIG", "/nowhere/at/all"));
}

fn ends_with_one_line(command: &mut std::process::Command) {
    let output = command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .output()
        .expect("it starts");
    let log = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(
        log.starts_with("silverthread: ") && log.lines().count() == 1,
        "{log}"
    );
}
