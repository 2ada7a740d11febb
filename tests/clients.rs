//! Clients that violate the protocol or occupy connections, over loopback sockets.

#![allow(
    clippy::needless_for_each,
    reason = "short loop bodies stand at the end of their iterator chain"
)]

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use testkit::*;

/// A node with few connection slots for clients, and an empty endpoint list.
fn small_node() -> (Node, Discovery) {
    let discovery = Discovery::start();
    let small_config = config(
        discovery.address,
        &endpoint_list(1, true, &[]),
        &settings(15_000),
    )
    .replace("1024", "16");
    (Node::start(&small_config), discovery)
}

/// Guards against request smuggling: a request hidden in the body of another is seen by one parser and not by the next.
#[test]
fn ambiguous_length_is_rejected_and_closes_the_connection() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let hidden = read_request("hidden", "15000m");
    let with_headers = |headers: &str| {
        let request = post_request("a", "pay", "", "");
        format!(
            "{}{hidden}",
            request.replace(
                "Content-Length: 0\r\n\r\n",
                &format!("{headers}\r\n\r\n0\r\n\r\n")
            )
        )
    };
    for headers in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5, 5",
        "Content-Length: +5",
        "Content-Length: -5",
        "Content-Length: 99999999999999999999999999",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked, identity",
    ] {
        let mut client = node.connect();
        client.send(&with_headers(headers));
        assert_eq!(
            client.read_response().expect("read the response").status(),
            400,
            "{headers}"
        );
        assert!(client.is_closed(), "{headers}");
    }
    assert!(server.requests().is_empty());
    // The length of a chunked body is known only from its last chunk; the node closes the connection after it and does
    // not read the hidden request.
    let mut client = node.connect();
    client.send(&with_headers("Transfer-Encoding: chunked"));
    assert_eq!(
        client.read_response().expect("read the response").status(),
        200
    );
    assert!(client.is_closed());
    assert_eq!(server.requests().len(), 1);
}

#[test]
fn request_with_repeated_or_invalid_headers_is_rejected() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let good = read_request("a", "480m");
    let with_extra_header = |header: &str| good.replace("Req-Id", &format!("{header}\r\nReq-Id"));
    let mut cases: Vec<_> = ["Req-Id: a", "Req-Kind: read", "Req-Deadline: 480m"]
        .into_iter()
        .map(with_extra_header)
        .collect();
    cases.push(with_extra_header("Req-Retry: 1\r\nReq-Retry: 1"));
    cases.push(good.replace("Req-Id: a", "Req-Id: "));
    cases.push(good.replace("Req-Id: a", "Req-Id: \u{e9}"));
    cases.push(post_request("a", "hold", "Idempotency-Key: \r\n", "x"));
    cases.push(post_request(
        "a",
        "hold",
        "Idempotency-Key: 5\r\nIdempotency-Key: 5\r\n",
        "x",
    ));
    for deadline in [
        "infm",
        "1e9m",
        "+480m",
        "1e400m",
        "99999999999999m",
        "0m",
        "",
        "m",
        "4 80m",
        "0x1fm",
    ] {
        cases.push(good.replace("480m", deadline));
    }
    for request in cases {
        assert_eq!(node.request(&request).status(), 400, "{request}");
    }
    assert!(server.requests().is_empty());
}

/// Guards against a second request with the id of an open one, which a server would treat as a retry.
#[test]
fn request_id_in_progress_is_rejected_until_answered() {
    let gate = Arc::new(AtomicBool::new(false));
    let server_gate = Arc::clone(&gate);
    let server = Server::start(move |_| {
        wait_until("the gate opens", || server_gate.load(Ordering::SeqCst));
        Reply::ok("yes")
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let mut first = node.connect();
    first.send(&read_request("a", "15000m"));
    wait_until("the request is sent", || server.requests().len() == 1);
    assert_eq!(node.request(&read_request("a", "15000m")).status(), 409);
    gate.store(true, Ordering::SeqCst);
    assert_eq!(
        first.read_response().expect("read the response").status(),
        200
    );
    assert_eq!(
        node.request_until_accepted(&read_request("a", "15000m"))
            .status(),
        200
    );
}

/// Guards against clients that keep a connection slot occupied while they send nothing or only a part of a request.
#[test]
fn client_with_incomplete_request_is_disconnected() {
    let (node, _discovery) = small_node();
    let request = post_request("a", "pay", "", "xx");
    let (mut silent, mut partial_head, mut partial_body) =
        (node.connect(), node.connect(), node.connect());
    partial_head.send(&request[..request.len() / 2]);
    partial_body.send(&request[..request.len() - 1]);
    let start = Instant::now();
    assert_eq!(
        partial_body
            .read_response()
            .expect("read the response")
            .status(),
        408
    );
    assert!(silent.is_closed() && partial_head.is_closed() && partial_body.is_closed());
    assert!(
        start.elapsed() < Duration::from_secs(12),
        "expected about 2 s, the time limit for a body; took {:?}",
        start.elapsed()
    );
}

/// Guards against many clients that send incomplete heads and occupy the connection slots that clients with requests
/// need.
#[test]
fn connections_with_incomplete_heads_are_evicted_for_requests() {
    let (node, _discovery) = small_node();
    let mut incomplete_clients: Vec<_> = (0..40)
        .map(|_| {
            let mut client = node.connect();
            client.send("GET /up HTTP/1.1\r\nHost: a\r\nX-");
            client
        })
        .collect();
    let mut client = node.connect();
    client.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(
        client.read_response().expect("read the response").status(),
        200
    );
    assert!(incomplete_clients.iter_mut().all(Client::is_closed));
}

/// Guards against closing a connection with unread bytes: the kernel would reset it, and the client would lose the
/// response.
#[test]
fn rejection_is_received_despite_unread_bytes() {
    let (node, _discovery) = small_node();
    let large = "x".repeat(1 << 20);
    let oversized =
        post_request("a", "pay", "", "").replace("Content-Length: 0", "Content-Length: 60000000");
    for request in [
        format!("{oversized}{large}"),
        format!("nonsense\r\n\r\n{large}"),
    ] {
        let mut client = node.connect();
        client.send(&request);
        let status = client.read_response().expect("read the response").status();
        assert!(
            status == 413 || status == 400,
            "expected 413 or 400, got {status}"
        );
        assert!(
            client.is_closed_without_reset(),
            "the connection was reset after the response"
        );
    }
}

const UP_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// Sends a request; returns whether the connection may be reused.
fn send_and_check_keep_alive(client: &mut Client) -> bool {
    client.send(UP_REQUEST);
    let response = client
        .read_response()
        .expect("read the response on an open connection");
    assert_eq!(response.status(), 200);
    response.header("connection") != Some("close")
}

/// Guards against clients that send one request each and keep their connections, which would together occupy all slots
/// for clients. The response to such a request closes the connection; a reused connection stays open.
#[test]
fn idle_single_use_connections_leave_slots_free() {
    let (node, _discovery) = small_node(); // Of 16 descriptors, clients get 5 for requests.
    let mut reused = node.connect();
    assert!(send_and_check_keep_alive(&mut reused) && send_and_check_keep_alive(&mut reused));
    let mut single_use: Vec<_> = (0..12)
        .map(|_| {
            let mut client = node.connect();
            let stays_open = send_and_check_keep_alive(&mut client);
            (client, stays_open)
        })
        .collect();
    assert_eq!(
        single_use
            .iter()
            .filter(|(_, stays_open)| *stays_open)
            .count(),
        2,
        "with the reused connection, 3 of 5 slots stay in use"
    );
    assert!(single_use
        .iter_mut()
        .filter(|(_, stays_open)| !stays_open)
        .all(|(client, _)| client.is_closed()));
    single_use
        .iter_mut()
        .filter(|(_, stays_open)| *stays_open)
        .for_each(|(client, _)| assert!(send_and_check_keep_alive(client)));
    assert!(send_and_check_keep_alive(&mut reused));
}

/// Sends two requests on each of several connections, so that the node expects clients to reuse their connections.
fn record_reused_connections(node: &Node) {
    for _ in 0..16 {
        let mut client = node.connect();
        // A response may close the connection until the node has recorded enough reuse.
        let _ = send_and_check_keep_alive(&mut client) && send_and_check_keep_alive(&mut client);
    }
}

/// Guards against closing a connection that its client is about to use. If clients reuse connections, only connections
/// idle for a second are closed without notice, the longest idle first, and only until enough slots are free.
#[test]
fn only_connections_idle_for_a_second_are_closed_without_notice() {
    let (node, _discovery) = small_node(); // Of 16 descriptors, clients get 5 for requests and 8 in all.
    record_reused_connections(&node);
    let mut clients: Vec<_> = (0..7).map(|_| node.connect()).collect();
    for _ in 0..5 {
        std::thread::sleep(Duration::from_millis(300));
        clients.iter_mut().for_each(|client| {
            assert!(
                send_and_check_keep_alive(client),
                "a connection in use was closed, with 7 connections for 5 slots"
            );
        });
    }
    // The first two connections have been idle for longest.
    clients[2..]
        .iter_mut()
        .for_each(|client| assert!(send_and_check_keep_alive(client)));
    assert!(clients[0].is_closed() && clients[1].is_closed());
    assert!(
        clients[2..].iter_mut().all(send_and_check_keep_alive),
        "a connection was closed with 5 connections for 5 slots"
    );
}

/// If every connection is reused immediately, the next response closes its connection to free a slot for a new one, and
/// no request is lost.
#[test]
fn new_connection_gets_slot_from_next_response() {
    let server = Server::start(|_| Reply::ok("yes")).without_recording();
    let discovery = Discovery::start();
    let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
    let node =
        Node::start(&config(discovery.address, &known, &settings(15_000)).replace("1024", "16"));
    record_reused_connections(&node);
    let load = Load::start(node.address, 8, Duration::from_millis(100));
    for _ in 0..10 {
        let mut new_client = node.connect();
        new_client.send(UP_REQUEST);
        assert_eq!(
            new_client
                .read_response()
                .expect("read the response on a new connection")
                .status(),
            200
        );
    }
    let totals = load.finish();
    assert_eq!(totals.lost, 0, "requests lost, of {} sent", totals.sent);
}

/// Guards against closing a connection while its client sends the next request. The clients use most of the slots and
/// send again as soon as they get a response.
#[test]
fn busy_connections_near_limit_lose_no_request() {
    let servers: Vec<_> = (0..4)
        .map(|_| Server::start(|_| Reply::ok("yes")).without_recording())
        .collect();
    let (node, _discovery, _watch) =
        Node::start_with_servers(&servers.iter().collect::<Vec<_>>(), 15_000);
    let load = Load::start(node.address, 300, Duration::from_millis(200));
    std::thread::sleep(Duration::from_secs(3));
    let totals = load.finish();
    assert!(
        totals.sent > 600,
        "expected more than 600 requests, sent {}",
        totals.sent
    );
    assert_eq!(totals.lost, 0, "requests lost, of {} sent", totals.sent);
}

/// Pause between the chunks of a slow client that the node does not take for a stall: below the time after which it does,
/// 500 ms, by a margin.
const MAX_CHUNK_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of times that a slow client starts again because the machine held it up for longer than that.
const MAX_SLOW_CLIENTS: usize = 10;

/// Guards against evicting a client that writes its request slowly, while many others connect and send nothing.
#[test]
fn slowly_written_request_is_not_evicted_by_silent_connections() {
    let is_checked = (0..MAX_SLOW_CLIENTS).any(|_| check_slow_client());
    assert!(
        is_checked,
        "the machine held up each of {MAX_SLOW_CLIENTS} slow clients"
    );
}

/// Writes a request slowly while others connect and send nothing, and checks that it is served and the others are evicted.
/// Returns `false` if a chunk was so late that the node may take the client for stalled; then only what does not depend on
/// that is checked.
fn check_slow_client() -> bool {
    let (node, _discovery) = small_node();
    let mut slow = node.connect();
    let mut silent_clients = Vec::new();
    let mut last_chunk_at = Instant::now();
    for chunk in "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".as_bytes().chunks(6) {
        let is_sent = slow.try_send(std::str::from_utf8(chunk).expect("the request is ASCII"));
        if last_chunk_at.elapsed() > MAX_CHUNK_PAUSE {
            return false;
        }
        assert!(is_sent, "the connection is open");
        last_chunk_at = Instant::now();
        silent_clients.extend((0..20).map(|_| node.connect()));
        std::thread::sleep(Duration::from_millis(40)); // Far below the pause after which a client counts as stalled.
    }
    assert_eq!(
        slow.read_response().expect("read the response").status(),
        200
    );
    let evicted = silent_clients
        .iter_mut()
        .take(80)
        .filter_map(|client| client.is_closed().then_some(()))
        .count();
    assert_eq!(evicted, 80, "number of evicted silent connections");
    true
}

/// Guards against a client that stops in the middle of a request, and stays, for longer than the 3 s within which it is owed an
/// error or a close.
#[test]
fn client_that_stops_within_a_request_gets_an_error_in_time() {
    const LIMIT: Duration = Duration::from_secs(3);
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let address = node.address;
    let lengths = [1, 4_000, 60_000, 70_000, 300_000, 2_000_000];
    let cases = lengths
        .iter()
        .flat_map(|length| [(*length, false), (*length, true)]);
    let clients: Vec<_> = cases
        .map(|(length, is_chunked)| {
            thread::spawn(move || {
                let started = Instant::now();
                let mut stream = TcpStream::connect(address).expect("connect to the node");
                let head = post_request(&format!("{length}-{is_chunked}"), "pay", "", "");
                let message = if is_chunked {
                    let head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
                    format!("{head}{length:x}\r\n{}\r\n", "x".repeat(length))
                } else {
                    let head = head.replace(
                        "Content-Length: 0",
                        &format!("Content-Length: {}", 2 * length),
                    );
                    format!("{head}{}", "x".repeat(length))
                };
                let _ = stream.write_all(message.as_bytes()); // The node may have closed the connection.
                stream
                    .set_read_timeout(Some(WAIT_TIMEOUT))
                    .expect("set the read timeout");
                let response = Message::read(&mut BufReader::new(stream));
                let status = response.map(|response| response.status());
                (length, is_chunked, status, started.elapsed())
            })
        })
        .collect();
    for client in clients {
        let result = client.join().expect("the client does not panic");
        let (_, _, status, elapsed) = result;
        assert!(elapsed < LIMIT, "{result:?}");
        assert!(status.is_none_or(|status| status >= 400), "{result:?}");
    }
    assert_eq!(server.requests().len(), 0, "no request was complete");
}
