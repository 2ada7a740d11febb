//! Misbehaving servers, over loopback sockets.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use testkit::*;

/// A response whose body is the id of its request.
fn own(request: &Message) -> Vec<u8> {
    response("200 OK", "", request.header("req-id").expect("an id"))
}

/// Otherwise they would reach the client of the next request. The connection is closed, whether the bytes arrive with
/// the response or some time later.
#[test]
fn unsolicited_bytes_after_a_response_reach_no_client() {
    let copy: fn(&Message) -> Vec<u8> = own;
    let noise: fn(&Message) -> Vec<u8> = |_| b"\x00\xff noise \r\n\r\n".to_vec();
    let half: fn(&Message) -> Vec<u8> =
        |_| b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nroo".to_vec();
    std::thread::scope(|all| {
        for behind in [copy, noise, half] {
            for after in
                [None, Some(0), Some(1), Some(4), Some(50)].map(|ms| ms.map(Duration::from_millis))
            {
                all.spawn(move || check_unsolicited_bytes(behind, after));
            }
        }
    });
}

fn check_unsolicited_bytes(behind: fn(&Message) -> Vec<u8>, after: Option<Duration>) {
    let server = Server::start(move |request| match after {
        None => Reply::Send([own(request), behind(request)].concat()),
        Some(after) => Reply::SendInTwoParts(own(request), after, behind(request)),
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    for n in 0..4 {
        let id = format!("r{n}");
        let served = node.request_until_accepted(&post_request(&id, "pay", "", "x"));
        assert_eq!(
            (served.status(), served.body),
            (200, id.into_bytes()),
            "{after:?}"
        );
        wait_until("the node closes the connection", || {
            server.closed_connections() == server.accepted_connections()
        });
    }
}

/// Nothing on the wire distinguishes a complete response that arrives after the next request's first byte and before
/// its real response. It is taken for that once: the bytes left over end the connection.
#[test]
fn unsolicited_response_within_the_next_request_is_misattributed_only_once() {
    let last = std::sync::Mutex::new(None);
    let server = Server::start(move |request| {
        let before = last.lock().expect("sound").replace(own(request));
        let own = own(request);
        match before.filter(|_| request.header("req-id") == Some("r1")) {
            Some(before) => Reply::Send([before, own].concat()),
            None => Reply::Send(own),
        }
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    for (id, body) in [("r0", "r0"), ("r1", "r0"), ("r2", "r2"), ("r3", "r3")] {
        let served = node.request_until_accepted(&post_request(id, "pay", "", "x"));
        assert_eq!(
            (served.status(), served.body.as_slice()),
            (200, body.as_bytes()),
            "{id}"
        );
        if id == "r1" {
            wait_until("the node closes the connection", || {
                server.closed_connections() == 1
            });
        }
    }
    assert_eq!(
        server.accepted_connections(),
        2,
        "one connection before it, and one since"
    );
}

/// A response that can never be valid must not use up the request's time.
#[test]
fn malformed_response_is_abandoned_early_and_the_request_retried() {
    let large = format!("HTTP/1.1 200 OK\r\nX-Endless: {}", "x".repeat(64 * 1024));
    let flood = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".repeat(10_000);
    for malformed in [
        "HTTP/1.1 200 OK\r\nContent-Len",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 8\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nrooms: 3\n",
        "\x00\u{1}noise",
        &large,
        &flood,
    ] {
        let (seen, malformed) = (AtomicUsize::new(0), malformed.to_owned());
        let server = Server::start(move |_| match seen.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Send(malformed.clone().into_bytes()),
            _ => Reply::ok("yes"),
        });
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
        let start = Instant::now();
        let served = node.request(&post_request("a", "hold", "Idempotency-Key: 5c0f\r\n", "x"));
        assert_eq!(
            (served.status(), served.body.as_slice()),
            (200, b"yes".as_slice())
        );
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "it is not waited for until the deadline"
        );
        assert_eq!(server.requests().len(), 2);
    }
}

/// The server has received the request completely, so it may have run.
#[test]
fn non_idempotent_request_with_malformed_response_is_not_retried() {
    let server =
        Server::start(|_| Reply::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nroo".to_vec()));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    assert_eq!(
        node.request(&post_request("a", "pay", "", "x")).status(),
        502
    );
    assert_eq!(server.requests().len(), 1);
}

/// A server that reports progress early may take its time for the final response.
#[test]
fn interim_responses_are_skipped_and_the_final_one_is_awaited() {
    let server = Server::start(|request| {
        let early = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        Reply::SendInTwoParts(early.to_vec(), Duration::from_millis(700), own(request))
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let served = node.request(&post_request("a", "pay", "", "x"));
    assert_eq!(
        (served.status(), served.body.as_slice()),
        (200, b"a".as_slice())
    );
}

/// Retrying it would have every server reject it, and each be ejected for it.
#[test]
fn client_error_from_a_server_is_forwarded_without_retry() {
    let server =
        Server::start(|_| Reply::Send(response("400 Bad Request", "", "an id of nobody\n")));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let rejected = node.request(&read_request("a", "15000m"));
    assert_eq!(
        (rejected.status(), rejected.body.as_slice()),
        (400, b"an id of nobody\n".as_slice())
    );
    assert_eq!(server.requests().len(), 1);
}

/// One broken connection does not eject a server for good.
#[test]
fn server_gets_requests_again_after_one_broken_connection() {
    let first = std::sync::Arc::new(AtomicUsize::new(0));
    let servers: Vec<_> = (0..2)
        .map(|_| {
            let first = std::sync::Arc::clone(&first);
            Server::start(move |_| match first.fetch_add(1, Ordering::SeqCst) {
                0 => Reply::Close,
                _ => Reply::ok("yes"),
            })
        })
        .collect();
    let (node, _discovery, _watch) = Node::start_with_servers(&[&servers[0], &servers[1]], 15_000);
    for n in 0..10 {
        assert_eq!(
            node.request_until_accepted(&read_request(&n.to_string(), "15000m"))
                .status(),
            200
        );
    }
    let request_counts: Vec<_> = servers
        .iter()
        .map(|server| server.requests().len())
        .collect();
    assert!(request_counts.iter().all(|n| *n > 2), "{request_counts:?}");
}
