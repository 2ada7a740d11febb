//! Clients that violate the protocol or hold resources, over loopback sockets.

#![allow(
    clippy::needless_for_each,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use testkit::*;

/// A node with few places for clients, and a list of no servers.
fn small_node() -> (Node, Discovery) {
    let discovery = Discovery::start();
    let text = config(
        discovery.address,
        &endpoint_list(1, true, &[]),
        &settings(15_000),
    )
    .replace("1024", "16");
    (Node::start(&text), discovery)
}

/// Request smuggling: a request that hides in the body of another, where two parsers see different messages.
#[test]
fn request_with_ambiguous_length_is_rejected_and_nothing_after_it_is_read() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let hidden = read_request("hidden", "15000m");
    let with = |headers: &str| {
        let whole = post_request("a", "pay", "", "");
        format!(
            "{}{hidden}",
            whole.replace(
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
        client.send(&with(headers));
        assert_eq!(
            client.read_response().expect("an answer").status(),
            400,
            "{headers}"
        );
        assert!(client.is_closed(), "{headers}");
    }
    assert!(server.requests().is_empty());
    // Where only its end shows how long a body is, it is the last thing read.
    let mut client = node.connect();
    client.send(&with("Transfer-Encoding: chunked"));
    assert_eq!(client.read_response().expect("an answer").status(), 200);
    assert!(client.is_closed());
    assert_eq!(server.requests().len(), 1);
}

#[test]
fn request_with_repeated_or_invalid_headers_is_rejected() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let good = read_request("a", "480m");
    let twice = |header: &str| good.replace("Req-Id", &format!("{header}\r\nReq-Id"));
    let mut cases: Vec<_> = ["Req-Id: a", "Req-Kind: read", "Req-Deadline: 480m"]
        .into_iter()
        .map(twice)
        .collect();
    cases.push(twice("Req-Retry: 1\r\nReq-Retry: 1"));
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

/// A server would take a second request with the id of an open one for a retry of it.
#[test]
fn request_id_in_progress_is_rejected_until_answered() {
    let open = Arc::new(AtomicBool::new(false));
    let gate = Arc::clone(&open);
    let server = Server::start(move |_| {
        wait_until("the gate opens", || gate.load(Ordering::SeqCst));
        Reply::ok("yes")
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let mut first = node.connect();
    first.send(&read_request("a", "15000m"));
    wait_until("it was sent", || server.requests().len() == 1);
    assert_eq!(node.request(&read_request("a", "15000m")).status(), 409);
    open.store(true, Ordering::SeqCst);
    assert_eq!(first.read_response().expect("an answer").status(), 200);
    assert_eq!(
        node.request_until_accepted(&read_request("a", "15000m"))
            .status(),
        200
    );
}

/// Clients that send nothing, or a part of a request, may not hold a connection for long.
#[test]
fn client_with_incomplete_request_is_disconnected() {
    let (node, _discovery) = small_node();
    let whole = post_request("a", "pay", "", "xx");
    let (mut silent, mut half, mut body) = (node.connect(), node.connect(), node.connect());
    half.send(&whole[..whole.len() / 2]);
    body.send(&whole[..whole.len() - 1]);
    let start = Instant::now();
    assert_eq!(body.read_response().expect("an answer").status(), 408);
    assert!(silent.is_closed() && half.is_closed() && body.is_closed());
    assert!(
        start.elapsed() < Duration::from_secs(12),
        "it takes about 2 s, and a body has no longer"
    );
}

/// A crowd that sends heads without an end must not exclude clients with requests.
#[test]
fn connections_with_incomplete_heads_are_evicted_for_requests() {
    let (node, _discovery) = small_node();
    let mut crowd: Vec<_> = (0..40)
        .map(|_| {
            let mut client = node.connect();
            client.send("GET /up HTTP/1.1\r\nHost: a\r\nX-");
            client
        })
        .collect();
    let mut client = node.connect();
    client.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.read_response().expect("an answer").status(), 200);
    assert!(crowd.iter_mut().all(Client::is_closed));
}

/// Closing the connection over unread bytes would reset it, and the client would lose the response.
#[test]
fn oversized_request_receives_its_rejection() {
    let (node, _discovery) = small_node();
    let large = "x".repeat(1 << 20);
    let told =
        post_request("a", "pay", "", "").replace("Content-Length: 0", "Content-Length: 60000000");
    for request in [format!("{told}{large}"), format!("nonsense\r\n\r\n{large}")] {
        let mut client = node.connect();
        client.send(&request);
        let status = client.read_response().expect("an answer").status();
        assert!(status == 413 || status == 400, "{status}");
        assert!(
            client.is_closed_without_reset(),
            "no reset overtakes the answer"
        );
    }
}

const UP: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// Sends a request; returns whether the connection may be used again.
fn send_and_check_keep_alive(client: &mut Client) -> bool {
    client.send(UP);
    let answer = client.read_response().expect("it is open");
    assert_eq!(answer.status(), 200);
    answer.header("connection") != Some("close")
}

/// Clients that send one request and keep their connection would together hold all that clients may, and the next one
/// would find none free. Their responses close the connection; a reused connection stays.
#[test]
fn idle_single_use_connections_leave_slots_free() {
    let (node, _discovery) = small_node(); // 16 descriptors: clients have 5 for requests.
    let mut again = node.connect();
    assert!(send_and_check_keep_alive(&mut again) && send_and_check_keep_alive(&mut again));
    let mut once: Vec<_> = (0..12)
        .map(|_| {
            let mut client = node.connect();
            let stays = send_and_check_keep_alive(&mut client);
            (client, stays)
        })
        .collect();
    assert_eq!(
        once.iter().filter(|(_, stays)| *stays).count(),
        2,
        "three of five places are used"
    );
    assert!(once
        .iter_mut()
        .filter(|(_, stays)| !stays)
        .all(|(client, _)| client.is_closed()));
    once.iter_mut()
        .filter(|(_, stays)| *stays)
        .for_each(|(client, _)| assert!(send_and_check_keep_alive(client)));
    assert!(send_and_check_keep_alive(&mut again));
}

/// Makes the node expect that clients reuse their connections, as most have done recently.
fn record_reused_connections(node: &Node) {
    for _ in 0..16 {
        let mut client = node.connect();
        // One in many may be told to go before the node has seen enough.
        let _ = send_and_check_keep_alive(&mut client) && send_and_check_keep_alive(&mut client);
    }
}

/// The node must not close a connection that its client is about to use. Where clients reuse connections, only one that
/// has been idle for a second is closed without notice, the longest idle first, and only until enough are free.
#[test]
fn only_connections_idle_for_a_second_are_closed_without_notice() {
    let (node, _discovery) = small_node(); // 16 descriptors: clients have 5 for requests, and 8 places.
    record_reused_connections(&node);
    let mut clients: Vec<_> = (0..7).map(|_| node.connect()).collect();
    for _ in 0..5 {
        std::thread::sleep(Duration::from_millis(300));
        clients.iter_mut().for_each(|client| {
            assert!(
                send_and_check_keep_alive(client),
                "seven of five are there, and all in use"
            );
        });
    }
    // The first two have stood for longest.
    clients[2..]
        .iter_mut()
        .for_each(|client| assert!(send_and_check_keep_alive(client)));
    assert!(clients[0].is_closed() && clients[1].is_closed());
    assert!(
        clients[2..].iter_mut().all(send_and_check_keep_alive),
        "with five there is room enough"
    );
}

/// Where every connection is reused immediately, the next response closes its connection for a new one, and no request is
/// lost.
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
        let mut newcomer = node.connect();
        newcomer.send(UP);
        assert_eq!(newcomer.read_response().expect("a place").status(), 200);
    }
    let totals = load.finish();
    assert_eq!(totals.lost, 0, "of {} that were sent", totals.sent);
}

/// Clients that send again as soon as they are answered, on most of the slots: their next requests must not cross a
/// close.
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
    assert!(totals.sent > 600, "{} were sent", totals.sent);
    assert_eq!(totals.lost, 0, "of {} that were sent", totals.sent);
}

/// Clients that write slowly keep their connection, however many others connect and send nothing.
#[test]
fn slowly_written_request_is_not_evicted_by_silent_connections() {
    let (node, _discovery) = small_node();
    let mut slow = node.connect();
    let mut crowd = Vec::new();
    for piece in "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".as_bytes().chunks(6) {
        slow.send(std::str::from_utf8(piece).expect("text"));
        crowd.extend((0..20).map(|_| node.connect()));
        std::thread::sleep(Duration::from_millis(40)); // Far less than what makes it one that has stopped.
    }
    assert_eq!(slow.read_response().expect("an answer").status(), 200);
    let gone = crowd
        .iter_mut()
        .take(80)
        .filter_map(|client| client.is_closed().then_some(()))
        .count();
    assert_eq!(gone, 80, "they made room");
}
