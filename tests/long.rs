//! Messages that are longer than a node buffers, and slow peers, over loopback sockets.

#![allow(
    clippy::large_stack_arrays,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use testkit::*;

/// Far more than a node may keep of one message.
const LONG: usize = 24 << 20;
/// What a node's memory may grow by while one passes: its own buffers on both sides, several times over.
const MOST_GROWTH_KB: u64 = 8 << 10;

/// A node with an address for operators and these servers.
fn node(servers: &[&Server]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(i, server)| server.endpoint_entry(&format!("s-{i}"), "ready"))
        .collect();
    let text = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(60_000),
    );
    (
        Node::start(&text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"")),
        discovery,
    )
}

/// The most memory that a process has had, in KiB.
fn peak_kb(node: &Node) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", node.process_id())).expect("a process");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("its peak");
    line.trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number")
}

fn long_body() -> Vec<u8> {
    (0..LONG).map(|at| (at / 7 % 251) as u8).collect()
}

fn chunked(body: &[u8], piece: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for chunk in body.chunks(piece) {
        text.extend(format!("{:x}\r\n", chunk.len()).bytes());
        text.extend(chunk);
        text.extend(b"\r\n");
    }
    text.extend(b"0\r\n\r\n");
    text
}

fn with_content_length(body: &[u8]) -> Vec<u8> {
    [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(),
        body,
    ]
    .concat()
}

fn with_body(head: &str, body: &[u8]) -> Vec<u8> {
    [head.as_bytes(), body].concat()
}

fn upload_head(id: &str, length: usize) -> String {
    post_request(id, "pay", "", "")
        .replace("Content-Length: 0", &format!("Content-Length: {length}"))
}

/// The limit on memory holds, and the body arrives completely, with a content length and chunked.
#[test]
fn long_response_is_streamed_completely_without_buffering() {
    let body = long_body();
    let answers = [
        with_content_length(&body),
        [
            &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
            &chunked(&body, 9_999),
        ]
        .concat(),
    ];
    for answer in answers {
        let server = Server::start(move |_| Reply::Send(answer.clone())).without_recording();
        let (node, _discovery) = node(&[&server]);
        let before = peak_kb(&node);
        let mut client = node.connect();
        for id in ["a", "b"] {
            client.send(&read_request(id, "60000m"));
            let served = client.read_response().expect("all of it");
            assert_eq!((served.status(), served.body.len()), (200, LONG));
            assert!(served.body == body, "it is the same");
        }
        assert!(
            peak_kb(&node) - before < MOST_GROWTH_KB,
            "{} to {} KiB",
            before,
            peak_kb(&node)
        );
        assert_eq!(
            (server.request_count(), server.accepted_connections()),
            (2, 1),
            "the connection is used again"
        );
        wait_until("both are counted", || node.metric("served.read") == 2);
    }
}

#[test]
fn long_request_is_streamed_completely_without_buffering() {
    let body = long_body();
    for is_chunked in [false, true] {
        let expected = body.clone();
        let server =
            Server::start(move |request| Reply::ok(&(request.body == expected).to_string()))
                .without_recording();
        let (node, _discovery) = node(&[&server]);
        let before = peak_kb(&node);
        let head = upload_head("a", LONG);
        let request = if is_chunked {
            let head = head.replace(
                &format!("Content-Length: {LONG}"),
                "Transfer-Encoding: chunked",
            );
            with_body(&head, &chunked(&body, 50_000))
        } else {
            with_body(&head, &body)
        };
        let mut stream = TcpStream::connect(node.address).expect("it listens");
        stream.write_all(&request).expect("it is taken");
        let served = Message::read(&mut std::io::BufReader::new(stream)).expect("an answer");
        assert_eq!(
            (served.status(), served.body.as_slice()),
            (200, &b"true"[..])
        );
        assert!(
            peak_kb(&node) - before < MOST_GROWTH_KB,
            "{} to {} KiB",
            before,
            peak_kb(&node)
        );
        assert_eq!(node.metric("attempts.pay"), 1);
    }
}

/// The node must not wait for the complete response.
#[test]
fn first_chunk_of_long_response_is_forwarded_immediately() {
    let (first, rest) = (vec![b'a'; 100_000], vec![b'b'; 100_000]);
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
    let now = [&head[..], &first].concat();
    let wait = Duration::from_secs(2);
    let server = Server::start(move |_| Reply::SendInTwoParts(now.clone(), wait, rest.clone()));
    let (node, _discovery) = node(&[&server]);
    let mut stream = TcpStream::connect(node.address).expect("it listens");
    let start = Instant::now();
    stream
        .write_all(read_request("a", "60000m").as_bytes())
        .expect("an open connection");
    stream
        .read_exact(&mut vec![0; 60_000])
        .expect("the first bytes");
    assert!(start.elapsed() < wait, "{:?}", start.elapsed());
    assert_eq!(node.metric("in_flight"), 1, "it has not ended");
    let mut rest = vec![0; 140_000];
    stream.read_exact(&mut rest).expect("and the others");
    assert!(rest.ends_with(&[b'b'; 90_000]));
}

/// A part must not be taken for the whole, and what may have been executed must not be sent again.
#[test]
fn truncated_long_response_fails_visibly_to_client() {
    let part = vec![b'a'; 200_000];
    let told = [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"[..],
        &part,
    ]
    .concat();
    let head = &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n"[..];
    let unended = [head, &part, b"\r\n"].concat();
    for cut in [told, unended] {
        let server = Server::start(move |_| Reply::SendAndClose(cut.clone()));
        let (node, _discovery) = node(&[&server]);
        let mut client = node.connect();
        client.send(&read_request("a", "60000m"));
        assert!(client.read_response().is_none(), "its end does not come");
        wait_until("it is counted", || node.metric("failed.read") == 1);
        assert_eq!((server.request_count(), node.metric("in_flight")), (1, 0));
        assert_eq!(node.request(UP).status(), 200);
    }
}

const UP: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// Both peers write in chunks, with pauses that exceed the stall timeout of responses that can be retried, and the client
/// reads after a while.
#[test]
fn slow_peers_are_not_disconnected() {
    let server = Server::start(|request| {
        let body = "y".repeat(request.body.len());
        let whole = response("200 OK", "", &body);
        let (now, then) = whole.split_at(20);
        Reply::SendInTwoParts(now.to_vec(), Duration::from_millis(600), then.to_vec())
    });
    let (node, _discovery) = node(&[&server]);
    let node = &node;
    thread::scope(|all| {
        for length in [10, 60_000, 500_000] {
            all.spawn(move || {
                let id = length.to_string();
                let mut stream = TcpStream::connect(node.address).expect("it listens");
                let request = with_body(&upload_head(&id, length), &vec![b'x'; length]);
                for piece in request.chunks(request.len() / 3 + 1) {
                    thread::sleep(Duration::from_millis(800));
                    stream.write_all(piece).expect("it is waited for");
                }
                thread::sleep(Duration::from_millis(1_500));
                let served =
                    Message::read(&mut std::io::BufReader::new(stream)).expect("an answer");
                assert_eq!((served.status(), served.body.len()), (200, length));
            });
        }
    });
}

/// A client may not hold a connection, and one to a server, with a body that does not arrive.
#[test]
fn stalled_long_request_times_out_and_is_not_executed() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery) = node(&[&server]);
    let mut stops = TcpStream::connect(node.address).expect("it listens");
    let mut leaves = TcpStream::connect(node.address).expect("it listens");
    for (id, stream) in [("stops", &mut stops), ("leaves", &mut leaves)] {
        stream
            .write_all(&with_body(&upload_head(id, LONG), &[b'x'; 400_000]))
            .expect("an open connection");
    }
    wait_until("both are passed on", || server.accepted_connections() == 2);
    drop(leaves);
    let told = Message::read(&mut std::io::BufReader::new(&stops)).expect("an answer");
    assert_eq!(told.status(), 408);
    wait_until("nothing is held", || {
        server.closed_connections() == 2 && node.metric("in_flight") == 0
    });
    assert_eq!(
        (server.request_count(), node.metric("attempts.pay")),
        (0, 0)
    );
    assert_eq!(node.request(&read_request("a", "15000m")).status(), 200);
}

/// A body of which a server took a part must not be sent to another without that part, and what was never executed must
/// not be taken for what may have been.
#[test]
fn long_request_is_retried_only_while_completely_buffered() {
    // Nobody is there: none of it was taken, so it goes on elsewhere, whatever its class.
    let server = Server::start(|request| Reply::ok(&request.body.len().to_string()));
    let nobody = Unreachable::reserve();
    let discovery = Discovery::start();
    let entries = [
        endpoint_entry("s-dead", nobody.address, "ready"),
        server.endpoint_entry("s-live", "ready"),
    ];
    let text = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(60_000),
    );
    let node = Node::start(&text);
    for id in 0..6 {
        let head = upload_head(&id.to_string(), 400_000);
        let mut stream = TcpStream::connect(node.address).expect("it listens");
        stream
            .write_all(&with_body(&head, &[b'x'; 400_000]))
            .expect("it is taken");
        let served = Message::read(&mut std::io::BufReader::new(stream)).expect("an answer");
        assert_eq!(
            (served.status(), served.body.as_slice()),
            (200, &b"400000"[..])
        );
    }
    assert_eq!(server.request_count(), 6);
    // It was turned away unseen, and has gone: it is refused, which is true, and goes nowhere else.
    let seen = Arc::<AtomicUsize>::default();
    let declining = |seen: &Arc<AtomicUsize>| {
        let seen = Arc::clone(seen);
        Server::start(move |_| {
            seen.fetch_add(1, Ordering::SeqCst);
            Reply::Send(response(
                "503 Service Unavailable",
                "Srv-Declined: 1\r\n",
                "",
            ))
        })
    };
    let servers = [declining(&seen), declining(&seen)];
    let (node, _discovery) = self::node(&[&servers[0], &servers[1]]);
    let mut stream = TcpStream::connect(node.address).expect("it listens");
    stream
        .write_all(&with_body(&upload_head("a", 400_000), &[b'x'; 400_000]))
        .expect("it is taken");
    let told = Message::read(&mut std::io::BufReader::new(stream)).expect("an answer");
    assert_eq!((told.status(), seen.load(Ordering::SeqCst)), (503, 1));
}

/// Descriptors, slots and counts are released, whichever peer leaves at whichever stage.
#[test]
fn peer_leaving_during_long_response_releases_all_resources() {
    let answer = with_content_length(&vec![b'z'; 4 << 20]);
    let server = Server::start(move |_| Reply::Send(answer.clone())).without_recording();
    let (node, _discovery) = node(&[&server]);
    for (at, bytes) in [0, 1, 100, 65_536, 65_700, 1 << 20, 3 << 20]
        .into_iter()
        .cycle()
        .take(35)
        .enumerate()
    {
        let mut stream = TcpStream::connect(node.address).expect("it listens");
        stream
            .write_all(read_request(&at.to_string(), "60000m").as_bytes())
            .expect("an open connection");
        stream
            .read_exact(&mut vec![0; bytes])
            .expect("so much of it");
    }
    wait_until("nothing is open", || node.metric("in_flight") == 0);
    wait_until("no connection is held for them", || {
        server.accepted_connections() - server.closed_connections() <= 1
    });
    let mut client = node.connect();
    client.send(&read_request("last", "60000m"));
    assert_eq!(
        client.read_response().expect("an answer").body.len(),
        4 << 20
    );
}

/// The overhead of many small chunks must not be taken for a response without an end.
#[test]
fn response_in_one_byte_chunks_is_complete() {
    for length in [64 * 1024, 100_000] {
        let body = long_body()[..length].to_vec();
        let head = &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..];
        let answer = [head, &chunked(&body, 1)].concat();
        let server = Server::start(move |_| Reply::Send(answer.clone()));
        let (node, _discovery) = node(&[&server]);
        let mut client = node.connect();
        client.send(&read_request("a", "60000m"));
        assert!(
            client.read_response().expect("all of it").body == body,
            "{length}"
        );
    }
}

/// A server that reads this many bytes of what arrives, sends `says`, and reads no more.
fn server_that_reads_a_prefix(bytes: usize, says: &'static [u8]) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut held = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.read_exact(&mut vec![0; bytes]);
            let _ = stream.write_all(says);
            held.push(stream);
        }
    });
    address
}

/// A request must not be forwarded without the part that a server has read, whether that server rejected it before its
/// last byte or stopped reading: it was never executed, and its client is told so, once and in time.
#[test]
fn long_request_partially_read_by_server_is_rejected_and_not_executed() {
    let declines =
        &b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"[..];
    for says in [declines, b""] {
        let discovery = Discovery::start();
        let entries = [endpoint_entry(
            "s-part",
            server_that_reads_a_prefix(10_000, says),
            "ready",
        )];
        let text = config(
            discovery.address,
            &endpoint_list(1, true, &entries),
            &settings(60_000),
        );
        let node =
            Node::start(&text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\""));
        let mut stream = TcpStream::connect(node.address).expect("it listens");
        let mut sending = stream.try_clone().expect("a socket");
        let sends = thread::spawn(move || {
            let _ = sending.write_all(&with_body(&upload_head("a", LONG), &vec![b'x'; LONG]));
        });
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a socket");
        let told = Message::read(&mut std::io::BufReader::new(&mut stream)).expect("an answer");
        assert_eq!(told.status(), 503);
        drop(stream);
        sends.join().expect("it ends");
        assert_eq!(
            node.metric("attempts.pay"),
            0,
            "its last byte never went out"
        );
    }
}
