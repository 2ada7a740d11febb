//! End-to-end tests of a node: its clients, servers, discovery and configuration, over loopback sockets.

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

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key: 5c0f\r\n";

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
    let response = node.request(&post_request(
        "r1",
        "hold",
        IDEMPOTENCY_KEY_HEADER,
        "a guest",
    ));
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"rooms: 3\n".as_slice())
    );
    let requests = server.requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].start_line, "POST /api?key=inn-7 HTTP/1.1");
    assert_eq!(requests[0].body, b"a guest");
    assert_eq!(requests[0].header("req-id"), Some("r1"));
    assert_eq!(requests[0].header("idempotency-key"), Some("5c0f"));
    let remaining = requests[0]
        .header("req-deadline")
        .and_then(|d| d.strip_suffix('u'));
    let remaining: u64 = remaining
        .expect("the forwarded deadline is in microseconds")
        .parse()
        .expect("parse the number");
    assert!(
        remaining > 0 && remaining < 15_000_000,
        "forwarded deadline is not the remaining time: {remaining} us"
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
fn client_connection_is_reused_and_each_request_has_its_own_server_connection() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let mut client = node.connect();
    let mut served = 0;
    wait_until("three requests are served", || {
        client.send(&read_request("a", "15000m"));
        served += usize::from(client.read_response().expect("read the response").status() == 200);
        served == 3
    });
    assert_eq!(
        (server.requests().len(), server.accepted_connections()),
        (3, 3)
    );
    assert!(
        server
            .requests()
            .iter()
            .all(|request| request.header("connection") == Some("close")),
        "the server is told that no other request follows"
    );
    wait_until("the node closes each connection", || {
        server.closed_connections() == 3
    });
}

#[test]
fn invalid_request_is_rejected_and_not_forwarded() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let valid = read_request("a", "480m");
    let cases = [
        (400, "nonsense\r\n\r\n".to_owned()),
        (400, valid.replace("Req-Id: a\r\n", "")),
        (400, valid.replace("Req-Kind: read", "Req-Kind: other")),
        (400, valid.replace("Req-Kind: read\r\n", "")),
        (400, valid.replace("480m", "480")),
        (400, valid.replace("480m", "m")),
        (400, valid.replace("480m", "-1m")),
        (400, valid.replace("480m", "NaNm")),
        (400, valid.replace("480m", "12é")),
        (400, valid.replace("Req-Deadline: 480m\r\n", "")),
        (400, valid.replace("GET", "POST")),
        (400, post_request("a", "hold", "", "no key")),
        (
            400,
            post_request("a", "pay", IDEMPOTENCY_KEY_HEADER, "a key"),
        ),
        (404, valid.replace("/api", "/other")),
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
        "a valid request is served after the invalid ones"
    );
}

#[test]
fn body_of_64_kib_is_forwarded_whole() {
    let server = Server::start(|request| Reply::ok(&"y".repeat(request.body.len())));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let response = node.request(&post_request("a", "pay", "", &"x".repeat(64 * 1024)));
    assert_eq!((response.status(), response.body.len()), (200, 64 * 1024));
}

/// Guards against treating a declined request as one that may have run: a non-idempotent one would fail without a
/// retry.
#[test]
fn declined_request_is_retried_even_if_not_idempotent() {
    let request_count = AtomicUsize::new(0);
    let server = Server::start(
        move |_| match request_count.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Send(response(
                "503 Service Unavailable",
                "Srv-Declined: 1\r\n",
                "",
            )),
            _ => Reply::ok("yes"),
        },
    );
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
    let unreachable = Unreachable::reserve();
    let discovery = Discovery::start();
    let entries = [
        endpoint_entry("s-dead", unreachable.address, "ready"),
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

/// Guards against executing a request twice: one whose attempt failed after its last byte was sent may have run, so a
/// non-idempotent one is neither retried nor reported as rejected.
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
fn non_idempotent_request_with_undeclined_503_is_not_retried() {
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
    let mut truncated = response("200 OK", "", "rooms: 3\n");
    truncated.pop();
    let large = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nyyy".to_vec();
    for reply in [Reply::SendAndClose(truncated), Reply::Send(large)] {
        let server = Server::start(move |_| reply.clone());
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
        assert_eq!(
            node.request(&post_request("a", "pay", "", "x")).status(),
            502
        );
    }
}

/// Guards against treating a large response as malformed and retrying its request on other servers in vain.
#[test]
fn large_response_is_forwarded_whole() {
    let body = (0..60_000).fold(String::new(), |mut body, n| {
        write!(body, "{n:06} ").expect("write to a string");
        body
    });
    let reply = response("200 OK", "", &body);
    let server = Server::start(move |_| Reply::Send(reply.clone()));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    for n in 0..3 {
        let response = node.request_until_accepted(&read_request(&n.to_string(), "15000m"));
        assert_eq!(response.status(), 200);
        assert!(
            response.body == body.as_bytes(),
            "the body differs from the one sent; got {} bytes",
            response.body.len()
        );
    }
    assert_eq!(server.requests().len(), 3, "each request is sent once");
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

/// Guards against sending a request on a connection that its server has closed: the attempt would end in a reset, after
/// which a non-idempotent request cannot be retried.
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
        wait_until("the server closes the connection", || {
            server.closed_connections() == n
        });
    }
    assert_eq!(server.requests().len(), 5);
}

/// Guards against a request that stays open past its deadline because its server accepted it and does not respond.
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
        "expected a 5xx status other than 503, since the request may have run; got {status}"
    );
    assert!(
        start.elapsed() >= Duration::from_millis(600),
        "the request failed before its deadline"
    );
    wait_until("the connection to the server is closed", || {
        server.closed_connections() == 1
    });
}

#[test]
fn attempt_is_aborted_when_its_client_disconnects() {
    let server = Server::start(|_| Reply::NoResponse);
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let mut client = node.connect();
    client.send(&read_request("a", "15000m"));
    wait_until("the request is sent", || server.requests().len() == 1);
    drop(client);
    wait_until("the connection to the server is closed", || {
        server.closed_connections() == 1
    });
}

/// Guards against clients that wait in the kernel's backlog while others hold idle connections.
#[test]
fn idle_client_connections_are_evicted_for_new_ones() {
    let discovery = Discovery::start();
    let few_sockets = config(
        discovery.address,
        &endpoint_list(1, true, &[]),
        &settings(15_000),
    )
    .replace("1024", "8");
    let node = Node::start(&few_sockets);
    let mut clients = Vec::new();
    for _ in 0..12 {
        let mut client = node.connect();
        client.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(
            client.read_response().expect("read the response").status(),
            200
        );
        clients.push(client);
    }
}

#[test]
fn incomplete_body_times_out_with_408() {
    let (node, _discovery, _watch) = Node::start_with_servers(&[], 300);
    let request = post_request("a", "pay", "", "xx");
    assert_eq!(node.request(&request[..request.len() - 1]).status(), 408);
}

/// Guards against rejections without the time after which the client may retry.
#[test]
fn rejection_for_lack_of_capacity_has_retry_after() {
    let slow = Server::start(|_| {
        std::thread::sleep(Duration::from_secs(1));
        Reply::ok("slow")
    });
    let discovery = Discovery::start();
    let settings = settings(15_000).replace("\"promise_ms\":15000.0", "\"promise_ms\":300.0");
    let many_nodes = settings.replace("\"n_instances\":1", "\"n_instances\":600");
    let known = endpoint_list(1, true, &[slow.endpoint_entry("s-0", "ready")]);
    let node = Node::start(&config(discovery.address, &known, &many_nodes));
    let mut rejection = None;
    wait_until("a request is rejected", || {
        let response = node.request(&read_request("a", "15000m"));
        rejection = Some(response).filter(|response| response.status() == 503);
        rejection.is_some()
    });
    let retry_after = rejection
        .as_ref()
        .and_then(|response| response.header("retry-after"));
    let retry_after: f64 = retry_after
        .expect("the rejection has a Retry-After header")
        .parse()
        .expect("parse the number of seconds");
    assert!(
        retry_after > 0.0 && retry_after < 15.0,
        "Retry-After: {retry_after} s"
    );
}

/// Guards against rejections where only a server with a high latency is available: its responses take most of the
/// latency objective, but it can serve more than one request at a time.
#[test]
fn server_with_high_latency_gets_concurrent_requests() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let server_request_count = Arc::clone(&request_count);
    let server = Server::start(move |_| {
        match server_request_count.fetch_add(1, Ordering::SeqCst) {
            0 => std::thread::sleep(Duration::from_millis(2_600)),
            _ => wait_until("two requests are at the server at once", || {
                server_request_count.load(Ordering::SeqCst) == 3
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
    let (mut first, mut second) = (node.connect(), node.connect());
    first.send(&read_request("b", "10000m"));
    wait_until("the first request reaches the server", || {
        request_count.load(Ordering::SeqCst) == 2
    });
    second.send(&read_request("c", "10000m"));
    assert_eq!(
        second.read_response().expect("read the response").status(),
        200
    );
    assert_eq!(
        first.read_response().expect("read the response").status(),
        200
    );
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
        let response = node.request_until_accepted(&read_request(&format!("s{n}"), "15000m"));
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"new".as_slice()),
            "no request goes to the draining server"
        );
    }
}

/// Guards against a clock that starts near zero: a server without any report counted as last reported at time zero, and
/// in its first seconds the node rejected requests that such a server could have served.
#[test]
fn new_node_uses_servers_without_any_report_yet() {
    let slow = Server::start(|_| {
        std::thread::sleep(Duration::from_secs(2));
        Reply::ok("slow")
    });
    let idle = Server::start(|_| Reply::ok("idle"));
    let discovery = Discovery::start();
    let settings = settings(15_000).replace("\"promise_ms\":15000.0", "\"promise_ms\":1000.0");
    let many_nodes = settings.replace("\"n_instances\":1", "\"n_instances\":60");
    let known = endpoint_list(1, true, &[slow.endpoint_entry("s-0", "ready")]);
    let node = Node::start(&config(discovery.address, &known, &many_nodes));
    // Requests are frequent, and the only server's latency exceeds the objective.
    for n in 1..=60 {
        let mut client = node.connect();
        client.send(&read_request(&format!("gone-{n}"), "15000m"));
        wait_until("the request is sent", || slow.requests().len() == n);
    }
    wait_until("their attempts are cancelled", || {
        slow.closed_connections() == 60
    });
    assert_eq!(node.request(&read_request("a", "15000m")).body, b"slow");
    let mut watch = discovery.watch();
    let both = [
        slow.endpoint_entry("s-0", "ready"),
        idle.endpoint_entry("s-1", "ready"),
    ];
    // No request is sent in between, so that only the change of the list makes the node use the new server.
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
    let entries = [
        "7".to_owned(),
        r#"{"instanceId":"s-7"}"#.to_owned(),
        new.endpoint_entry("s-8", "asleep"),
        new.endpoint_entry("s-6", "ready")
            .replace(&new.address.to_string(), "nowhere"),
        new.endpoint_entry("s-9", "ready"),
    ];
    watch.send(&format!("{}\n", endpoint_list(2, true, &entries)));
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

/// Guards against sending a request to a new server over a connection to the previous server at its address: the list
/// names the new server before it removes the old one.
#[test]
fn new_server_at_a_reused_address_gets_new_connections() {
    let server = Server::start(|_| Reply::ok("yes"));
    if server.unix_endpoint.is_some() {
        return; // The operators' file sets the socket path, and the endpoint list cannot reassign it.
    }
    let (node, _discovery, mut watch) = Node::start_with_servers(&[&server], 15_000);
    assert_eq!(node.request(&read_request("a", "15000m")).status(), 200);
    assert_eq!(server.accepted_connections(), 1);
    watch.send(&format!(
        "{}\n",
        endpoint_list(2, false, &[server.endpoint_entry("s-new", "ready")])
    ));
    wait_until("the connection to the old server is closed", || {
        server.closed_connections() == 1
    });
    assert_eq!(
        node.request_until_accepted(&read_request("b", "15000m"))
            .status(),
        200
    );
    // Later changes to the old server concern a server that no longer exists.
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
    assert_eq!(server.request_count(), 7);
    assert_eq!(
        server.accepted_connections(),
        7,
        "no request is sent on a connection that was made for another"
    );
}

#[test]
fn ended_watch_is_reopened_from_its_last_generation() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, discovery, mut watch) = Node::start_with_servers(&[&server], 15_000);
    watch.send(&format!("{}\n", endpoint_list(5, false, &[])));
    drop(watch);
    let mut watch = discovery.watch();
    // The node may not have received the last line before the connection closed.
    assert!(
        watch.request_line.contains("from=5") || watch.request_line.contains("from=1"),
        "{}",
        watch.request_line
    );
    watch.send("{nonsense}\n");
    let watch = discovery.watch();
    assert!(
        !watch.request_line.contains("from="),
        "expected a request for the whole list; got {}",
        watch.request_line
    );
    assert_eq!(
        node.request(&read_request("a", "15000m")).status(),
        200,
        "the previous list stays in use"
    );
}

#[test]
fn silent_watch_is_reopened() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (_node, discovery, mut watch) = Node::start_with_servers(&[&server], 15_000);
    watch.stop_keep_alive();
    assert!(discovery.watch().request_line.contains("from=1"));
}

/// A server that responds to no request until 1 is stored in the returned gate.
fn gated_server() -> (Arc<AtomicUsize>, Server) {
    let gate = Arc::new(AtomicUsize::new(0));
    let server_gate = Arc::clone(&gate);
    let server = Server::start(move |_| {
        wait_until("the gate opens", || server_gate.load(Ordering::SeqCst) == 1);
        Reply::ok("yes")
    });
    (gate, server)
}

/// Guards against requests that are lost in a planned restart.
#[test]
fn sigterm_ends_the_process_once_all_requests_are_answered() {
    let (gate, server) = gated_server();
    let (mut node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let (mut pending, mut idle) = (node.connect(), node.connect());
    idle.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(
        idle.read_response().expect("read the response").status(),
        200
    );
    pending.send(&read_request("a", "15000m"));
    wait_until("the request reaches the server", || {
        server.accepted_connections() == 1
    });
    node.terminate();
    assert!(idle.is_closed(), "the idle connection is closed");
    gate.store(1, Ordering::SeqCst);
    let response = pending.read_response().expect("read the pending response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(pending.is_closed());
    assert_eq!(node.wait().code(), Some(0));
}

/// Runs a test on a single-threaded runtime, like the one of a node.
fn run_locally(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build the runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// A node within the test process; the test sets its phase.
struct LocalNode {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    serving: JoinHandle<()>,
}

impl LocalNode {
    async fn start(config: &str, max_connections: usize) -> Self {
        let config = Config::parse(config).expect("parse the configuration");
        let dispatcher = Dispatcher::start(&config).expect("start the dispatcher");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind a loopback socket");
        let address = listener.local_addr().expect("read the local address");
        let (phase, phases) = watch::channel(Phase::Serving);
        let options = ServerOptions::for_unshared_listener(phases, max_connections);
        Self {
            address,
            phase,
            serving: tokio::task::spawn_local(serve(listener, dispatcher, options)),
        }
    }
}

/// Guards against requests that are lost between SIGTERM and the moment from which no new connections arrive at the
/// node: until then it accepts new connections and answers their requests. Guards also against disconnecting clients
/// that have no other node to use. The test sets the phases itself, so that it does not depend on a clock.
#[test]
fn draining_node_accepts_and_keeps_connections_until_shutdown() {
    let unreachable = Unreachable::reserve();
    let config_text = config(
        unreachable.address,
        &endpoint_list(1, true, &[]),
        &settings(15_000),
    );
    run_locally(async {
        let LocalNode {
            address,
            phase,
            serving,
        } = LocalNode::start(&config_text, 16).await;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        phase.send_replace(Phase::Draining(deadline));
        let mut client = tokio::net::TcpStream::connect(address)
            .await
            .expect("connect to the draining node");
        // Connections stay open: there may be no other node yet.
        for _ in 0..3 {
            let response =
                send_and_read_head(&mut client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").await;
            assert!(
                response.starts_with("HTTP/1.1 200 OK") && !response.contains("close"),
                "expected 200 without Connection: close; got {response}"
            );
        }
        phase.send_replace(Phase::ShuttingDown(deadline));
        assert!(
            client.read_u8().await.is_err(),
            "the idle connection is closed at shutdown"
        );
        tokio::time::timeout(WAIT_TIMEOUT, serving)
            .await
            .expect("the node ends in time")
            .expect("join the task of the node");
    });
}

/// Sends a request and reads the head of its response.
async fn send_and_read_head(client: &mut tokio::net::TcpStream, request: &str) -> String {
    client
        .write_all(request.as_bytes())
        .await
        .expect("write to the connection");
    read_head(client).await
}

async fn read_head(client: &mut tokio::net::TcpStream) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let byte = tokio::time::timeout(WAIT_TIMEOUT, client.read_u8())
            .await
            .expect("the head arrives in time");
        head.push(char::from(byte.expect("read a byte of the head")));
    }
    head
}

/// Guards against clients that cannot reach a draining node because all their connections to it are in use and it gets
/// no new ones. The node keeps some connections free by rejecting requests immediately, with Retry-After.
#[test]
fn draining_node_rejects_requests_to_keep_connections_free() {
    let (gate, server) = gated_server();
    let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
    let config_text = config(Unreachable::reserve().address, &known, &settings(60_000));
    run_locally(async {
        let LocalNode { address, phase, .. } = LocalNode::start(&config_text, 64).await;
        let mut clients = Vec::new();
        for _ in 0..12 {
            let mut client = tokio::net::TcpStream::connect(address)
                .await
                .expect("connect to the node");
            assert!(
                send_and_read_head(&mut client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                    .await
                    .contains("200 OK")
            );
            clients.push(client);
        }
        phase.send_replace(Phase::Draining(Instant::now() + 3 * WAIT_TIMEOUT));
        let mut pending = clients.split_off(2);
        for (index, client) in pending.iter_mut().enumerate() {
            client
                .write_all(read_request(&index.to_string(), "60000m").as_bytes())
                .await
                .expect("write to the connection");
            let start = Instant::now();
            while server.requests().len() <= index {
                assert!(
                    start.elapsed() < WAIT_TIMEOUT,
                    "request {index} did not reach the server"
                );
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        let rejection = send_and_read_head(&mut clients[0], &read_request("more", "60000m"))
            .await
            .to_ascii_lowercase();
        assert!(
            rejection.contains("503") && rejection.contains("retry-after: 0."),
            "expected 503 with Retry-After below 1 s; got {rejection}"
        );
        assert!(
            !rejection.contains("connection: close"),
            "the client must be able to keep the connection: {rejection}"
        );
        gate.store(1, Ordering::SeqCst);
        for client in &mut pending {
            assert!(
                read_head(client).await.contains("200 OK"),
                "an accepted request is served"
            );
        }
    });
}

/// Guards against closing idle connections of a draining node: their clients get no new connections to it.
#[test]
fn draining_node_closes_no_idle_connection() {
    let unreachable = Unreachable::reserve();
    let config_text = config(
        unreachable.address,
        &endpoint_list(1, true, &[]),
        &settings(15_000),
    );
    run_locally(async {
        let LocalNode { address, phase, .. } = LocalNode::start(&config_text, 8).await;
        tokio::task::yield_now().await; // Lets the node subscribe to its phases.
        phase.send_replace(Phase::Draining(Instant::now() + 3 * WAIT_TIMEOUT));
        let mut clients = Vec::new();
        for _ in 0..2 {
            // All connection slots, which is more than may be idle in the serving phase.
            while clients.len() < 8 {
                clients.push(
                    tokio::net::TcpStream::connect(address)
                        .await
                        .expect("connect to the node"),
                );
            }
            for client in &mut clients {
                assert!(
                    send_and_read_head(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                        .await
                        .contains("200 OK")
                );
            }
        }
    });
}

/// Guards against a SIGHUP that ends the process, and against a node that continues to watch the previous
/// discovery endpoint.
#[test]
fn sighup_moves_the_watch_to_the_newly_configured_discovery() {
    let servers: Vec<_> = (0..3)
        .map(|n| Server::start(move |_| Reply::ok(&n.to_string())))
        .collect();
    let (node, old, mut watch) = Node::start_with_servers(&[&servers[0]], 15_000);
    watch.send(&format!("{}\n", endpoint_list(70, false, &[])));
    let mut watches = vec![(old, watch)];
    for n in [1, 2, 0] {
        let discovery = Discovery::start();
        let new_config = config(
            discovery.address,
            &endpoint_list(1, true, &[]),
            &settings(15_000),
        );
        node.reload(&new_config);
        let mut watch = discovery.watch();
        assert!(
            !watch.request_line.contains("from="),
            "a generation of another discovery was sent: {}",
            watch.request_line
        );
        let id = format!("s-{n}");
        watch.send(&format!(
            "{}\n",
            endpoint_list(3, true, &[servers[n].endpoint_entry(&id, "ready")])
        ));
        wait_until("requests go to the server of the new list", || {
            node.request(&read_request("a", "15000m")).body == n.to_string().as_bytes()
        });
        let (_, previous) = watches.last_mut().expect("the list has at least one watch");
        assert!(previous.is_closed(), "the previous watch is closed");
        watches.push((discovery, watch));
        // An invalid file changes nothing, whatever is wrong with it.
        for invalid in [
            "{".to_owned(),
            new_config.replace("\"0f\"", "7"),
            new_config.replace("127.0.0.1:0", "here"),
        ] {
            node.reload(&invalid);
            assert_eq!(
                node.request_until_accepted(&read_request("b", "15000m"))
                    .body,
                n.to_string().as_bytes()
            );
        }
        let (_, watch) = watches.last_mut().expect("the list has at least one watch");
        watch.send(&format!(
            "{}\n",
            endpoint_list(4, true, &[servers[n].endpoint_entry(&id, "ready")])
        ));
    }
}

/// Guards against applying changes to a list of another generation than the one they are based on.
#[test]
fn decreasing_generation_triggers_a_full_list_request() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (_node, discovery, mut watch) = Node::start_with_servers(&[&server], 15_000);
    watch.send(&format!("{}\n", endpoint_list(9, false, &[])));
    watch.send(&format!("{}\n", endpoint_list(8, false, &[])));
    assert!(!discovery.watch().request_line.contains("from="));
}

#[test]
fn invalid_configuration_ends_the_process_with_one_line() {
    let valid = config(
        "127.0.0.1:1".parse().expect("parse the address"),
        &endpoint_list(1, true, &[]),
        &settings(1_000),
    );
    let invalid = [
        "{".to_owned(),
        "[]".to_owned(),
        valid.replace("\"127.0.0.1:0\"", "\"here\""),
        valid.replace("\"0f\"", "\"seed\""),
        valid.replace("1000.0", "-1.0"),
        valid.replace("\"max_attempts\":3", "\"max_attempts\":0"),
        valid.replace("60000.0}", "\"long\"}"),
    ];
    for invalid_config in invalid {
        assert_ne!(invalid_config, valid);
        let path = write_temp_file(&invalid_config);
        assert_fails_with_one_line(program_command().env("ROUTER_CONFIG", &path));
        std::fs::remove_file(path).expect("remove the file");
    }
    assert_fails_with_one_line(&mut program_command());
    assert_fails_with_one_line(program_command().env("ROUTER_CONFIG", "/nowhere/at/all"));
}

fn assert_fails_with_one_line(command: &mut std::process::Command) {
    let output = command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .output()
        .expect("run the program");
    let log = String::from_utf8(output.stderr).expect("decode the log as UTF-8");
    assert_eq!(output.status.code(), Some(1), "log: {log}");
    assert!(
        log.starts_with("silverthread: ") && log.lines().count() == 1,
        "expected one line from the program; got {log}"
    );
}
