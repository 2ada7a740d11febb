//! Messages longer than the buffers of a node, and slow peers, over loopback sockets.

#![allow(
    clippy::large_stack_arrays,
    reason = "test bodies of 400 kB fit on the stack of a test thread"
)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use testkit::*;

/// Length of a message far above what a node may buffer of one, in bytes.
const LONG_BODY_BYTES: usize = 24 << 20;
/// Limit on the growth of a node's peak memory while it streams such a message, in KiB: several times its buffers on
/// both sides.
const MAX_GROWTH_KIB: usize = 8 << 10;

/// A node with an admin interface and these servers.
fn start_node(servers: &[&Server]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let endpoints = ready_servers(servers.iter().map(|server| server.address));
    let text = config(discovery.address, &endpoints, &settings(60_000));
    (
        Node::start(&text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"")),
        discovery,
    )
}

fn long_body() -> Vec<u8> {
    (0..LONG_BODY_BYTES)
        .map(|index| (index / 7 % 251) as u8)
        .collect()
}

fn chunked(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in body.chunks(chunk_bytes) {
        encoded.extend(format!("{:x}\r\n", chunk.len()).bytes());
        encoded.extend(chunk);
        encoded.extend(b"\r\n");
    }
    encoded.extend(b"0\r\n\r\n");
    encoded
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

/// Guards against buffering a long response and against losing a part of it, both with a content length and chunked.
#[test]
fn long_response_is_streamed_completely_without_buffering() {
    let body = long_body();
    let responses = [
        with_content_length(&body),
        [
            &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..],
            &chunked(&body, 9_999),
        ]
        .concat(),
    ];
    for response in responses {
        let server = Server::start(move |_| Reply::Send(response.clone())).without_recording();
        let (node, _discovery) = start_node(&[&server]);
        let peak_before_kib = node.memory_kib(MemoryKind::PeakResident);
        let mut client = node.connect();
        for id in ["a", "b"] {
            client.send(&read_request(id, "60000m"));
            let response = client.read_response().expect("read the whole response");
            assert_eq!(
                (response.status(), response.body.len()),
                (200, LONG_BODY_BYTES)
            );
            assert!(response.body == body, "the body differs from the one sent");
        }
        assert!(
            node.memory_kib(MemoryKind::PeakResident) - peak_before_kib < MAX_GROWTH_KIB,
            "peak memory grew from {} to {} KiB",
            peak_before_kib,
            node.memory_kib(MemoryKind::PeakResident)
        );
        assert_eq!(
            (server.request_count(), server.accepted_connections()),
            (2, 2),
            "a connection to the server carries one request"
        );
        wait_until("both requests are counted", || {
            node.metric("served.read") == 2
        });
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
        let (node, _discovery) = start_node(&[&server]);
        let peak_before_kib = node.memory_kib(MemoryKind::PeakResident);
        let head = upload_head("a", LONG_BODY_BYTES);
        let request = if is_chunked {
            let head = head.replace(
                &format!("Content-Length: {LONG_BODY_BYTES}"),
                "Transfer-Encoding: chunked",
            );
            with_body(&head, &chunked(&body, 50_000))
        } else {
            with_body(&head, &body)
        };
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        stream.write_all(&request).expect("write the request");
        let response =
            Message::read(&mut std::io::BufReader::new(stream)).expect("read the response");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"true"[..])
        );
        assert!(
            node.memory_kib(MemoryKind::PeakResident) - peak_before_kib < MAX_GROWTH_KIB,
            "peak memory grew from {} to {} KiB",
            peak_before_kib,
            node.memory_kib(MemoryKind::PeakResident)
        );
        assert_eq!(node.metric("attempts.pay"), 1);
    }
}

/// Guards against a node that waits for the complete response before it forwards the first bytes.
#[test]
fn first_chunk_of_long_response_is_forwarded_immediately() {
    let (first, rest) = (vec![b'a'; 100_000], vec![b'b'; 100_000]);
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
    let first_part = [&head[..], &first].concat();
    let delay = Duration::from_secs(2);
    let server =
        Server::start(move |_| Reply::SendInTwoParts(first_part.clone(), delay, rest.clone()));
    let (node, _discovery) = start_node(&[&server]);
    let mut stream = TcpStream::connect(node.address).expect("connect to the node");
    let start = Instant::now();
    stream
        .write_all(read_request("a", "60000m").as_bytes())
        .expect("write to the connection");
    stream
        .read_exact(&mut vec![0; 60_000])
        .expect("read the first bytes");
    assert!(
        start.elapsed() < delay,
        "first bytes took {:?}",
        start.elapsed()
    );
    assert_eq!(
        node.metric("in_flight"),
        1,
        "the request is still in flight"
    );
    let mut rest = vec![0; 140_000];
    stream
        .read_exact(&mut rest)
        .expect("read the remaining bytes");
    assert!(rest.ends_with(&[b'b'; 90_000]));
}

/// Guards against presenting a truncated response as complete, and against retrying a request that may have run.
#[test]
fn truncated_long_response_fails_visibly_to_client() {
    let part = vec![b'a'; 200_000];
    let with_length = [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"[..],
        &part,
    ]
    .concat();
    let head = &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n"[..];
    let without_last_chunk = [head, &part, b"\r\n"].concat();
    for truncated in [with_length, without_last_chunk] {
        let server = Server::start(move |_| Reply::SendAndClose(truncated.clone()));
        let (node, _discovery) = start_node(&[&server]);
        let mut client = node.connect();
        client.send(&read_request("a", "60000m"));
        assert!(
            client.read_response().is_none(),
            "a truncated response was read as complete"
        );
        wait_until("the failure is counted", || node.metric("failed.read") == 1);
        assert_eq!((server.request_count(), node.metric("in_flight")), (1, 0));
        assert_eq!(node.request(UP_REQUEST).status(), 200);
    }
}

const UP_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// Guards against disconnecting slow peers: both write in pieces, with pauses longer than the stall timeout of
/// responses that can be retried, and the client starts to read late.
#[test]
fn slow_peers_are_not_disconnected() {
    let server = Server::start(|request| {
        let body = "y".repeat(request.body.len());
        let message = response("200 OK", "", &body);
        let (first, rest) = message.split_at(20);
        Reply::SendInTwoParts(first.to_vec(), Duration::from_millis(600), rest.to_vec())
    });
    let (node, _discovery) = start_node(&[&server]);
    let node = &node;
    thread::scope(|scope| {
        for length in [10, 60_000, 500_000] {
            scope.spawn(move || {
                let id = length.to_string();
                let mut stream = TcpStream::connect(node.address).expect("connect to the node");
                let request = with_body(&upload_head(&id, length), &vec![b'x'; length]);
                for piece in request.chunks(request.len() / 3 + 1) {
                    thread::sleep(Duration::from_millis(800));
                    stream
                        .write_all(piece)
                        .expect("write a piece of the request");
                }
                thread::sleep(Duration::from_millis(1_500));
                let response =
                    Message::read(&mut std::io::BufReader::new(stream)).expect("read the response");
                assert_eq!((response.status(), response.body.len()), (200, length));
            });
        }
    });
}

/// Guards against a client that occupies its connection and one to a server with a body that does not arrive.
#[test]
fn stalled_long_request_times_out_and_is_not_executed() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery) = start_node(&[&server]);
    let mut stalled = TcpStream::connect(node.address).expect("connect to the node");
    let mut disconnected = TcpStream::connect(node.address).expect("connect to the node");
    for (id, stream) in [
        ("stalled", &mut stalled),
        ("disconnected", &mut disconnected),
    ] {
        stream
            .write_all(&with_body(
                &upload_head(id, LONG_BODY_BYTES),
                &[b'x'; 400_000],
            ))
            .expect("write to the connection");
    }
    wait_until("both requests reach the server", || {
        server.accepted_connections() == 2
    });
    drop(disconnected);
    let rejection =
        Message::read(&mut std::io::BufReader::new(&stalled)).expect("read the response");
    assert_eq!(rejection.status(), 408);
    wait_until(
        "both connections to the server are closed and no request is in flight",
        || server.closed_connections() == 2 && node.metric("in_flight") == 0,
    );
    assert_eq!(
        (server.request_count(), node.metric("attempts.pay")),
        (0, 0)
    );
    assert_eq!(node.request(&read_request("a", "15000m")).status(), 200);
}

/// Guards against retrying a request without the part of its body that a server has already read, and against treating
/// a request that was never executed as one that may have run.
#[test]
fn long_request_is_retried_only_while_completely_buffered() {
    // The first server is unreachable and has read nothing, so every class of request is retried on the other.
    let server = Server::start(|request| Reply::ok(&request.body.len().to_string()));
    let unreachable = Unreachable::reserve();
    let discovery = Discovery::start();
    let entries = [
        endpoint_entry("s-dead", unreachable.address, "ready"),
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
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        stream
            .write_all(&with_body(&head, &[b'x'; 400_000]))
            .expect("write the request");
        let response =
            Message::read(&mut std::io::BufReader::new(stream)).expect("read the response");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"400000"[..])
        );
    }
    assert_eq!(server.request_count(), 6);
    // A server declines the request after its body has left the buffers: the request is rejected and not retried.
    let request_count = Arc::<AtomicUsize>::default();
    let start_declining_server = |request_count: &Arc<AtomicUsize>| {
        let request_count = Arc::clone(request_count);
        Server::start(move |_| {
            request_count.fetch_add(1, Ordering::SeqCst);
            Reply::Send(response(
                "503 Service Unavailable",
                "Srv-Declined: 1\r\n",
                "",
            ))
        })
    };
    let servers = [
        start_declining_server(&request_count),
        start_declining_server(&request_count),
    ];
    let (node, _discovery) = start_node(&[&servers[0], &servers[1]]);
    let mut stream = TcpStream::connect(node.address).expect("connect to the node");
    stream
        .write_all(&with_body(&upload_head("a", 400_000), &[b'x'; 400_000]))
        .expect("write the request");
    let rejection = Message::read(&mut std::io::BufReader::new(stream)).expect("read the response");
    assert_eq!(
        (rejection.status(), request_count.load(Ordering::SeqCst)),
        (503, 1)
    );
}

/// Guards against leaks of descriptors, connection slots and in-flight counts when a client disconnects at any stage of
/// a response.
#[test]
fn client_disconnect_in_long_response_releases_all_resources() {
    let response = with_content_length(&vec![b'z'; 4 << 20]);
    let server = Server::start(move |_| Reply::Send(response.clone())).without_recording();
    let (node, _discovery) = start_node(&[&server]);
    for (index, bytes) in [0, 1, 100, 65_536, 65_700, 1 << 20, 3 << 20]
        .into_iter()
        .cycle()
        .take(35)
        .enumerate()
    {
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        stream
            .write_all(read_request(&index.to_string(), "60000m").as_bytes())
            .expect("write to the connection");
        stream
            .read_exact(&mut vec![0; bytes])
            .expect("read a part of the response");
    }
    wait_until("no request is in flight", || node.metric("in_flight") == 0);
    wait_until("at most one connection to the server stays open", || {
        server.accepted_connections() - server.closed_connections() <= 1
    });
    let mut client = node.connect();
    client.send(&read_request("last", "60000m"));
    assert_eq!(
        client
            .read_response()
            .expect("read the response")
            .body
            .len(),
        4 << 20
    );
}

/// Guards against treating the framing overhead of many small chunks as a response that does not end.
#[test]
fn response_in_one_byte_chunks_is_complete() {
    for length in [64 * 1024, 100_000] {
        let body = long_body()[..length].to_vec();
        let head = &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..];
        let response = [head, &chunked(&body, 1)].concat();
        let server = Server::start(move |_| Reply::Send(response.clone()));
        let (node, _discovery) = start_node(&[&server]);
        let mut client = node.connect();
        client.send(&read_request("a", "60000m"));
        assert!(
            client
                .read_response()
                .expect("read the whole response")
                .body
                == body,
            "body of {length} bytes differs from the one sent"
        );
    }
}

/// A server that reads this many bytes of each connection, sends `reply`, and reads no more.
fn server_that_reads_a_prefix(bytes: usize, reply: &'static [u8]) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        let mut connections = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.read_exact(&mut vec![0; bytes]);
            let _ = stream.write_all(reply);
            connections.push(stream);
        }
    });
    address
}

/// Guards against retrying a request without the part that a server has read, whether that server declined it before
/// its last byte or stopped reading. The request is not executed, and its client receives 503 before its read
/// times out.
#[test]
fn partially_read_long_request_is_rejected_without_execution() {
    let declining_response =
        &b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"[..];
    for reply in [declining_response, b""] {
        let discovery = Discovery::start();
        let entries = [endpoint_entry(
            "s-part",
            server_that_reads_a_prefix(10_000, reply),
            "ready",
        )];
        let text = config(
            discovery.address,
            &endpoint_list(1, true, &entries),
            &settings(60_000),
        );
        let node =
            Node::start(&text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\""));
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        let mut upload_stream = stream.try_clone().expect("clone the socket");
        let upload = thread::spawn(move || {
            let _ = upload_stream.write_all(&with_body(
                &upload_head("a", LONG_BODY_BYTES),
                &vec![b'x'; LONG_BODY_BYTES],
            ));
        });
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("configure the socket");
        let rejection =
            Message::read(&mut std::io::BufReader::new(&mut stream)).expect("read the response");
        assert_eq!(rejection.status(), 503);
        drop(stream);
        upload.join().expect("join the uploading thread");
        assert_eq!(
            node.metric("attempts.pay"),
            0,
            "an attempt was counted, but its last byte was never sent"
        );
    }
}

/// Guards against a close without a byte: the server's response breaks off before its head has been written to the client,
/// which could not tell it from a lost request.
#[test]
fn client_of_long_response_that_breaks_off_at_once_gets_its_head() {
    const REQUESTS: usize = 40;
    let truncated = [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"[..],
        &[b'a'; 8_000],
    ]
    .concat();
    let server = Server::start(move |_| Reply::SendAndClose(truncated.clone()));
    let (node, _discovery) = start_node(&[&server]);
    for number in 0..REQUESTS {
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        let request = post_request(&number.to_string(), "pay", "", "");
        stream
            .write_all(request.as_bytes())
            .expect("write the request");
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received); // A truncated response may end with a reset.
        assert!(
            received.starts_with(b"HTTP/1.1 "),
            "request {number}: closed after {} bytes",
            received.len()
        );
    }
}

/// Guards against a long request that gets no response in time because a server stops reading it: the rest of it is in the
/// kernel, so the client's timeout has begun.
#[test]
fn long_request_to_server_that_stops_reading_is_answered_in_time() {
    const TIMEOUT: Duration = Duration::from_secs(2);
    /// Time after its timeout within which a client must have a response.
    const MAX_LATENESS: Duration = Duration::from_millis(500);
    let discovery = Discovery::start();
    let address = server_that_reads_a_prefix(10_000, b"");
    let entries = [endpoint_entry("s-part", address, "ready")];
    let node = Node::start(&config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(TIMEOUT.as_millis() as u64),
    ));
    let address = node.address;
    // Returns whether the request was written, and checks its response then. The rest of one that was not written does not
    // fit into the buffers, and the node still waits for the client.
    let send = move |megabytes: usize| {
        let length = megabytes << 20;
        let head = upload_head(&megabytes.to_string(), length);
        let mut stream = TcpStream::connect(address).expect("connect to the node");
        stream
            .set_write_timeout(Some(TIMEOUT))
            .expect("set the write timeout");
        let request = with_body(&head, &vec![b'x'; length]);
        if stream.write_all(&request).is_err() {
            return false;
        }
        let written_at = Instant::now();
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("set the read timeout");
        let response = Message::read(&mut std::io::BufReader::new(&stream));
        let status = response.expect("the node answers the request").status();
        let elapsed = written_at.elapsed();
        // 502 if the last byte was written to the kernel of the server, which may have run the request.
        assert!([502, 503].contains(&status), "{length} bytes: {status}");
        assert!(
            elapsed < TIMEOUT + MAX_LATENESS,
            "{length} bytes: answered after {elapsed:?}"
        );
        true
    };
    let clients: Vec<_> = [1, 2, 4, 5, 6, 8]
        .into_iter()
        .map(|megabytes| thread::spawn(move || send(megabytes)))
        .collect();
    let written = clients
        .into_iter()
        .filter_map(|client| {
            client
                .join()
                .expect("the client does not panic")
                .then_some(())
        })
        .count();
    assert!(written > 0, "no request fit into the buffers");
}
