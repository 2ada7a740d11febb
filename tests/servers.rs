//! Misbehaving servers, over loopback sockets.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use testkit::*;

/// A response whose body is the id of its request.
fn response_with_request_id(request: &Message) -> Vec<u8> {
    response(
        "200 OK",
        "",
        request.header("req-id").expect("the request has an id"),
    )
}

/// Guards against unsolicited bytes that reach the client of the next request. The node closes the connection, whether
/// the bytes arrive with the response or later.
#[test]
fn unsolicited_bytes_after_a_response_reach_no_client() {
    let duplicate: fn(&Message) -> Vec<u8> = response_with_request_id;
    let noise: fn(&Message) -> Vec<u8> = |_| b"\x00\xff noise \r\n\r\n".to_vec();
    let partial: fn(&Message) -> Vec<u8> =
        |_| b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nroo".to_vec();
    std::thread::scope(|scope| {
        for trailing in [duplicate, noise, partial] {
            for delay in
                [None, Some(0), Some(1), Some(4), Some(50)].map(|ms| ms.map(Duration::from_millis))
            {
                scope.spawn(move || check_unsolicited_bytes(trailing, delay));
            }
        }
    });
}

fn check_unsolicited_bytes(trailing: fn(&Message) -> Vec<u8>, delay: Option<Duration>) {
    let server = Server::start(move |request| match delay {
        None => Reply::Send([response_with_request_id(request), trailing(request)].concat()),
        Some(delay) => {
            Reply::SendInTwoParts(response_with_request_id(request), delay, trailing(request))
        }
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    for n in 0..4 {
        let id = format!("r{n}");
        let response = node.request_until_accepted(&post_request(&id, "pay", "", "x"));
        assert_eq!(
            (response.status(), response.body),
            (200, id.into_bytes()),
            "delay: {delay:?}"
        );
        wait_until("the node closes the connection", || {
            server.closed_connections() == server.accepted_connections()
        });
    }
}

/// Guards against a second response that arrives while the server processes the next request and decides that request.
#[test]
fn second_response_within_next_request_does_not_decide_that_request() {
    let declined: fn(&Message) -> Vec<u8> =
        |_| response("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
    let error: fn(&Message) -> Vec<u8> = |_| response("500 Internal Server Error", "", "");
    for second in [response_with_request_id, declined, error] {
        let server = Server::start(move |request| {
            std::thread::sleep(Duration::from_millis(60));
            Reply::SendWithUnsolicited {
                response: response_with_request_id(request),
                delay: Duration::from_millis(20),
                unsolicited: second(request),
            }
        });
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
        let mut client = node.connect();
        for id in ["r0", "r1", "r2", "r3"] {
            client.send(&post_request(id, "pay", "", "x"));
            let response = client.read_response().expect("the request is answered");
            assert_eq!(
                (response.status(), response.body.as_slice()),
                (200, id.as_bytes())
            );
        }
        assert_eq!(server.requests().len(), 4, "no request runs twice");
        assert!(server.unsolicited_writes() >= 3);
    }
}

/// Guards against waiting until the deadline for the rest of a response that cannot become valid.
#[test]
fn malformed_response_is_abandoned_early_and_retried() {
    let large = format!("HTTP/1.1 200 OK\r\nX-Endless: {}", "x".repeat(64 * 1024));
    let flood = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".repeat(10_000);
    for malformed in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 8\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nrooms: 3\n",
        "\x00\u{1}noise",
        &large,
        &flood,
    ] {
        let (request_count, malformed) = (AtomicUsize::new(0), malformed.to_owned());
        let server = Server::start(
            move |_| match request_count.fetch_add(1, Ordering::SeqCst) {
                0 => Reply::Send(malformed.clone().into_bytes()),
                _ => Reply::ok("yes"),
            },
        );
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
        let start = Instant::now();
        let response = node.request(&post_request("a", "hold", "Idempotency-Key: 5c0f\r\n", "x"));
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"yes".as_slice())
        );
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "expected a retry well before the deadline; took {:?}",
            start.elapsed()
        );
        assert_eq!(server.requests().len(), 2);
    }
}

/// Guards against a response that never ends: the beginning of one that a sound server might still finish is awaited until
/// the deadline, no second attempt is out meanwhile, and the client is answered in time.
#[test]
fn response_that_stalls_is_awaited_until_the_deadline_and_answered_in_time() {
    const TIMEOUT: Duration = Duration::from_millis(1_200);
    const MAX_LATENESS: Duration = Duration::from_millis(500);
    for beginning in [
        "HTTP/1.1 200 OK\r\nContent-Len",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nrooms: 3\n",
        "HTTP/1.1 200 OK\r\n\r\nrooms: 3\n",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 12\r\n\r\nno su",
    ] {
        let server = Server::start(|_| Reply::Send(beginning.to_owned().into_bytes()));
        let (node, _discovery, _watch) =
            Node::start_with_servers(&[&server], TIMEOUT.as_millis() as u64);
        let start = Instant::now();
        let response = node.request(&post_request("a", "hold", "Idempotency-Key: 5c0f\r\n", "x"));
        let elapsed = start.elapsed();
        assert!(
            [502, 503].contains(&response.status()),
            "{beginning:?}: {}",
            response.status()
        );
        assert!(
            elapsed < TIMEOUT + MAX_LATENESS,
            "{beginning:?}: answered after {elapsed:?}"
        );
        assert_eq!(server.requests().len(), 1, "{beginning:?}");
        wait_until("the connection to the server is closed", || {
            server.closed_connections() == 1
        });
    }
}

/// Guards against executing a request twice: the server has received it completely, so it may have run.
#[test]
fn non_idempotent_request_after_bad_response_is_not_retried() {
    let server =
        Server::start(|_| Reply::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nroo".to_vec()));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    assert_eq!(
        node.request(&post_request("a", "pay", "", "x")).status(),
        502
    );
    assert_eq!(server.requests().len(), 1);
}

/// Guards against a second execution after a response that contradicts itself about whether the request has run.
#[test]
fn contradictory_rejection_does_not_prove_that_a_request_never_ran() {
    for headers in [
        "Srv-Declined: 1\r\nSrv-Declined: 0\r\n",
        "Srv-Declined: 0\r\nSrv-Declined: 1\r\n",
        "Srv-Declined: 1, 0\r\n",
        "Srv-Declined: 11\r\n",
        "Srv-Declined:\r\n",
    ] {
        let server =
            Server::start(move |_| Reply::Send(response("503 Service Unavailable", headers, "")));
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
        let status = node.request(&post_request("a", "pay", "", "x")).status();
        assert_eq!((status, server.requests().len()), (502, 1), "{headers:?}");
    }
}

/// Guards against a shorter time limit for the final response after interim responses.
#[test]
fn interim_responses_are_skipped_and_the_final_one_is_awaited() {
    let server = Server::start(|request| {
        let early = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        Reply::SendInTwoParts(
            early.to_vec(),
            Duration::from_millis(700),
            response_with_request_id(request),
        )
    });
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let response = node.request(&post_request("a", "pay", "", "x"));
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"a".as_slice())
    );
}

/// Guards against ejecting every server for rejecting the same invalid request, one retry after the other.
#[test]
fn client_error_from_a_server_is_forwarded_without_retry() {
    let server = Server::start(|_| Reply::Send(response("400 Bad Request", "", "unknown id\n")));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let rejected = node.request(&read_request("a", "15000m"));
    assert_eq!(
        (rejected.status(), rejected.body.as_slice()),
        (400, b"unknown id\n".as_slice())
    );
    assert_eq!(server.requests().len(), 1);
}

/// Guards against a permanent ejection of a server after one broken connection.
#[test]
fn server_gets_requests_again_after_one_broken_connection() {
    let request_count = std::sync::Arc::new(AtomicUsize::new(0));
    let servers: Vec<_> = (0..2)
        .map(|_| {
            let request_count = std::sync::Arc::clone(&request_count);
            Server::start(
                move |_| match request_count.fetch_add(1, Ordering::SeqCst) {
                    0 => Reply::Close,
                    _ => Reply::ok("yes"),
                },
            )
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
