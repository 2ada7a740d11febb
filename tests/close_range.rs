//! Races of a request with a shutdown, a client that disconnects or a connection that closes. The tests force the order
//! of the two events: a peer waits for one before it causes the other.

#![allow(
    clippy::needless_for_each,
    reason = "short loop bodies stand at the end of their iterator chain"
)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use silverthread::node::config::Config;
use silverthread::node::dispatcher::Dispatcher;
use silverthread::node::downstream::server::{serve, Phase, ServerOptions};
use testkit::*;
use tokio::sync::watch;

/// Maximum time from SIGTERM to the last response, for classes with a deadline of 3 s or more. SIGKILL may follow
/// when it has passed.
const MAX_EXIT_TIME: Duration = Duration::from_millis(3_700);

/// Guards against a node that exits before it has answered the requests that arrived before SIGTERM, even if their
/// deadlines are later than its exit.
#[test]
fn requests_accepted_before_sigterm_are_answered_before_exit() {
    let server = Server::start(|_| Reply::NoResponse);
    let (mut node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let requests = [
        read_request("safe", "15000m"),
        post_request("keyed", "hold", "Idempotency-Key: 5c0f\r\n", "x"),
        post_request("unsafe", "pay", "", "x"),
    ];
    let mut clients: Vec<_> = requests.iter().map(|_| node.connect()).collect();
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(request);
    }
    wait_until("all requests are sent", || server.requests().len() == 3);
    let terminated_at = Instant::now();
    node.terminate();
    let responses: Vec<_> = clients
        .iter_mut()
        .map(|client| client.read_response().expect("read the whole response"))
        .collect();
    assert!(
        terminated_at.elapsed() < MAX_EXIT_TIME,
        "the responses took {:?}",
        terminated_at.elapsed()
    );
    assert_eq!(
        responses[2].status(),
        502,
        "a non-idempotent request that may have run fails"
    );
    assert!(clients.iter_mut().all(Client::is_closed_without_reset));
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(
        server.requests().len(),
        3,
        "no request is retried during shutdown"
    );
}

/// Length of pipelined data, in bytes: more than the node reads ahead on a connection with a request in progress, and
/// less than the kernel buffers.
const PIPELINED_BYTES: usize = 100 * 1024;

/// Guards against an attempt that continues after its client has disconnected. The node must detect this while the
/// request is served, even if the client has sent more than its request and the node does not read it. The attempt is
/// cancelled, and the server sees its connection close.
#[test]
fn client_with_pipelined_bytes_is_detected_as_gone() {
    let next = read_request("next", "15000m");
    let pipelined = [
        String::new(),
        next.clone(),
        next[..next.len() / 2].to_owned(),
        next.repeat(PIPELINED_BYTES / next.len()),
    ];
    for (extra, half_closes) in pipelined
        .iter()
        .flat_map(|extra| [(extra, false), (extra, true)])
    {
        let server = Server::start(|_| Reply::NoResponse);
        // The deadline is longer than any wait of this test.
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 600_000);
        let mut client = node.connect();
        client.send(&format!("{}{extra}", read_request("first", "600000m")));
        wait_until("the attempt is sent", || server.requests().len() == 1);
        assert_eq!(server.closed_connections(), 0);
        // A half-close also counts as a disconnection: the protocol defines no other way for a client to abandon a
        // request.
        let half_closed = half_closes.then(|| client.shutdown_write());
        let half_closed = half_closed.map(|()| client);
        wait_until("the attempt is cancelled", || {
            server.closed_connections() == 1
        });
        drop(half_closed);
        assert_eq!(
            server.requests().len(),
            1,
            "no pipelined request is forwarded"
        );
    }
}

/// Requests read before the previous response is sent are served after it, completely and once, wherever their segments
/// end.
#[test]
fn pipelined_requests_are_served_after_the_response() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let second = post_request("second", "hold", "Idempotency-Key: 5c0f\r\n", "a body");
    for cut in [
        0,
        1,
        second.len() / 2,
        second.len() - 6,
        second.len() - 1,
        second.len(),
    ] {
        let mut client = node.connect();
        client.send(&format!(
            "{}{}",
            read_request("first", "15000m"),
            &second[..cut]
        ));
        assert_eq!(
            client.read_response().expect("read the response").status(),
            200,
            "cut at {cut}"
        );
        client.send(&format!(
            "{}{}",
            &second[cut..],
            read_request("third", "15000m")
        ));
        for _ in 0..2 {
            assert_eq!(
                client.read_response().expect("read the response").status(),
                200,
                "cut at {cut}"
            );
        }
    }
    assert_eq!(server.requests().len(), 18);
}

/// A node in the thread of the test. Its event loop runs only in [`Self::run_event_loop`], so that bytes of a client
/// and a shutdown can arrive in the same iteration of the loop, in either order.
struct InProcessNode {
    runtime: tokio::runtime::Runtime,
    local: tokio::task::LocalSet,
    address: std::net::SocketAddr,
    phase: watch::Sender<Phase>,
    server: Server,
    serving: tokio::task::JoinHandle<()>,
}

impl InProcessNode {
    fn start() -> Self {
        Self::with_server(Server::start(|_| Reply::ok("yes")))
    }

    fn with_server(server: Server) -> Self {
        let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
        let config_text = config(Unreachable::reserve().address, &known, &settings(60_000));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("build the runtime");
        let local = tokio::task::LocalSet::new();
        let (phase, phases) = watch::channel(Phase::Serving);
        let (address, serving) = local.block_on(&runtime, async {
            let dispatcher =
                Dispatcher::start(&Config::parse(&config_text).expect("parse the configuration"))
                    .expect("start the dispatcher");
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("bind a loopback socket");
            let address = listener.local_addr().expect("read the local address");
            (
                address,
                tokio::task::spawn_local(serve(
                    listener,
                    dispatcher,
                    ServerOptions::for_unshared_listener(phases, 64),
                )),
            )
        });
        Self {
            runtime,
            local,
            address,
            phase,
            server,
            serving,
        }
    }

    /// Runs the event loop for this many milliseconds.
    fn run_event_loop(&self, ms: u64) {
        self.local.block_on(&self.runtime, async {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        });
    }

    /// Runs the event loop until the condition holds.
    fn run_until(&self, condition_name: &str, mut condition: impl FnMut() -> bool) {
        let since = Instant::now();
        while !condition() {
            assert!(
                since.elapsed() < WAIT_TIMEOUT,
                "timed out waiting: {condition_name}"
            );
            self.run_event_loop(1);
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connect to the node");
        stream.set_nonblocking(true).expect("configure the socket");
        stream.set_nodelay(true).expect("configure the socket");
        stream
    }

    /// Reads from a client until its connection ends; returns the text and whether the connection was closed
    /// gracefully.
    fn read_to_end(&self, client: &mut TcpStream) -> (String, bool) {
        let (mut received, mut graceful_end) = (Vec::new(), None);
        self.run_until("the connection ends", || {
            let mut buffer = [0; 4096];
            match client.read(&mut buffer) {
                Ok(0) => graceful_end = Some(true),
                Ok(n) => received.extend_from_slice(&buffer[..n]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => graceful_end = Some(false),
            }
            graceful_end.is_some()
        });
        (
            String::from_utf8(received).expect("UTF-8 text"),
            graceful_end.expect("the loop above has set it"),
        )
    }

    /// Requests the readiness endpoint and reads the response, after which the connection is idle.
    fn make_idle(&self, client: &mut TcpStream) {
        client
            .write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            .expect("write to the connection");
        let mut received = Vec::new();
        self.run_until("the readiness endpoint responds", || {
            let mut buffer = [0; 4096];
            let length = client.read(&mut buffer).unwrap_or(0);
            received.extend_from_slice(&buffer[..length]);
            received.ends_with(b"\r\n\r\n")
        });
    }

    fn shut_down(&self) {
        self.phase
            .send_replace(Phase::ShuttingDown(Instant::now() + 3 * WAIT_TIMEOUT));
    }
}

/// Guards against dropping a request that arrives in the same iteration of the event loop as the shutdown: it is
/// answered completely, on an idle connection and on a new one, whichever event the loop handles first.
#[test]
fn request_in_same_loop_iteration_as_shutdown_is_answered() {
    let request = read_request("concurrent", "15000m");
    for is_idle in [true, false] {
        for bytes_ahead in [0, 1, request.len() / 2, request.len() - 1, request.len()] {
            let node = InProcessNode::start();
            let mut client = node.connect();
            if is_idle {
                node.make_idle(&mut client);
            } else {
                node.run_event_loop(5);
            }
            // The event loop reads the first part, if there is one; the rest stays in the socket buffer.
            client
                .write_all(&request.as_bytes()[..bytes_ahead])
                .expect("write to the connection");
            if (1..request.len()).contains(&bytes_ahead) {
                node.run_event_loop(5);
            }
            client
                .write_all(&request.as_bytes()[bytes_ahead..])
                .expect("write to the connection");
            node.shut_down();
            let (response, is_graceful) = node.read_to_end(&mut client);
            let case = format!("idle: {is_idle}, {bytes_ahead} bytes sent ahead");
            assert!(
                response.starts_with("HTTP/1.1 200 OK") && response.ends_with("yes"),
                "{case}: {response:?}"
            );
            assert!(
                response.to_ascii_lowercase().contains("connection: close"),
                "{case}: expected Connection: close; got {response:?}"
            );
            assert!(is_graceful, "{case}: the connection was reset");
            assert_eq!(
                node.server.requests().len(),
                1,
                "{case}: number of forwarded requests"
            );
            drop(client);
            node.run_until("the node shuts down", || node.serving.is_finished());
        }
    }
}

/// Guards against dropping, at shutdown, a request on a connection in the kernel's backlog or one whose body has not
/// arrived completely.
#[test]
fn backlogged_and_slow_requests_are_answered_at_shutdown() {
    let node = InProcessNode::start();
    let request = post_request("slow", "hold", "Idempotency-Key: 5c0f\r\n", "five rooms");
    let mut slow = node.connect();
    slow.write_all(&request.as_bytes()[..request.len() - 5])
        .expect("write to the connection");
    node.run_event_loop(5);
    let mut queued = node.connect();
    queued
        .write_all(read_request("queued", "15000m").as_bytes())
        .expect("write to the connection");
    node.shut_down();
    let (response, is_graceful) = node.read_to_end(&mut queued);
    assert!(
        response.starts_with("HTTP/1.1 200 OK") && is_graceful,
        "expected 200 and a graceful close; got {response:?}"
    );
    slow.write_all(&request.as_bytes()[request.len() - 5..])
        .expect("write to the connection");
    let (response, is_graceful) = node.read_to_end(&mut slow);
    assert!(
        response.starts_with("HTTP/1.1 200 OK") && is_graceful,
        "expected 200 and a graceful close; got {response:?}"
    );
    let ids: Vec<_> = node
        .server
        .requests()
        .iter()
        .filter_map(|r| r.header("req-id").map(str::to_owned))
        .collect();
    assert_eq!(ids, ["queued", "slow"]);
}

/// Requests accepted just before the shutdown are answered by the shutdown deadline, on an existing and on a new
/// connection, whatever their own deadlines. The server does not respond.
#[test]
fn request_before_shutdown_deadline_is_answered_by_it() {
    const TIME_TO_DEADLINE: Duration = Duration::from_millis(300);
    let node = InProcessNode::with_server(Server::start(|_| Reply::NoResponse));
    let mut clients = [node.connect(), node.connect(), node.connect()];
    node.make_idle(&mut clients[0]);
    let deadline = Instant::now() + TIME_TO_DEADLINE;
    node.phase.send_replace(Phase::Draining(deadline));
    clients[0]
        .write_all(post_request("kept", "pay", "", "x").as_bytes())
        .expect("write to the connection");
    node.run_event_loop(5);
    clients[1]
        .write_all(post_request("new", "pay", "", "x").as_bytes())
        .expect("write to the connection");
    node.phase.send_replace(Phase::ShuttingDown(deadline));
    // The third request completes in the last tenth of the time before the deadline.
    clients[2]
        .write_all(read_request("last", "15000m").split_at(20).0.as_bytes())
        .expect("write to the connection");
    node.run_until("a tenth of the time before the deadline remains", || {
        Instant::now() + TIME_TO_DEADLINE / 10 > deadline
    });
    clients[2]
        .write_all(read_request("last", "15000m").split_at(20).1.as_bytes())
        .expect("write to the connection");
    let responses = clients.each_mut().map(|client| node.read_to_end(client));
    assert!(
        Instant::now() < deadline + TIME_TO_DEADLINE,
        "responses arrived long after the deadline"
    );
    for ((response, is_graceful), status) in responses.iter().zip(["502", "502", "503"]) {
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")) && *is_graceful,
            "expected {status} and a graceful close; got {response:?}"
        );
    }
    node.run_until("the node shuts down", || node.serving.is_finished());
}

/// Time longer than the timeouts for a request head and for an idle connection.
const LONGER_THAN_ANY_TIMEOUT: Duration = Duration::from_secs(11);
/// Time longer than the interval between two checks of the timeouts.
const ONE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Number of event loop iterations tried as the one in which the bytes arrive; the timeout is handled in the first or
/// second.
const MAX_ITERATIONS: usize = 12;

/// Guards against closing a connection at its timeout when its client's bytes arrive in the same iteration, before or
/// after the event loop has polled the socket: a request written on an open connection is answered. Time is paused
/// except for two steps, so that every iteration in which the bytes can arrive is tried.
#[test]
fn request_in_same_loop_iteration_as_timeout_is_answered() {
    let request = read_request("concurrent", "15000m");
    for (is_idle, bytes_ahead) in [(false, 0), (false, request.len() / 2), (true, 0)] {
        let (mut open_cases, mut closed_cases) = (0, 0);
        for iterations in 0..MAX_ITERATIONS {
            // A process started meanwhile would hold copies of the sockets, and a closed connection would look open to
            // the client.
            let _process_starts_paused = pause_process_starts();
            let node = InProcessNode::start();
            let mut client = node.connect();
            if is_idle {
                node.make_idle(&mut client);
            }
            client
                .write_all(&request.as_bytes()[..bytes_ahead])
                .expect("write to the connection");
            node.run_event_loop(5);
            let was_open = node.local.block_on(&node.runtime, async {
                tokio::time::pause();
                // The check that is due now still uses the time before the step; the next one finds the timeout
                // expired.
                tokio::time::advance(LONGER_THAN_ANY_TIMEOUT).await;
                for _ in 0..MAX_ITERATIONS {
                    tokio::task::yield_now().await;
                }
                tokio::time::advance(ONE_CHECK_INTERVAL).await;
                for _ in 0..iterations {
                    tokio::task::yield_now().await;
                }
                // The node runs in this thread, so its state does not change between this check and the write below.
                let was_open =
                    matches!(client.peek(&mut [0; 1]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
                let _ = client.write_all(&request.as_bytes()[bytes_ahead..]);
                tokio::time::resume();
                was_open
            });
            let (response, is_graceful) = node.read_to_end(&mut client);
            let case =
                format!("idle: {is_idle}, {bytes_ahead} bytes sent ahead, {iterations} iterations");
            if was_open {
                open_cases += 1;
                assert!(
                    response.starts_with("HTTP/1.1 200 OK") && response.ends_with("yes"),
                    "{case}: {response:?}"
                );
            } else {
                closed_cases += 1;
                assert!(response.is_empty() || !is_graceful, "{case}: {response:?}");
            }
        }
        assert!(
            open_cases > 0 && closed_cases > 0,
            "both orders must occur: {open_cases} open, {closed_cases} closed"
        );
    }
}

/// Guards against dropping a request of which only a part has arrived when the node shuts down.
#[test]
fn partial_head_at_shutdown_may_complete_and_is_answered() {
    let request = read_request("half", "15000m");
    for cut in [1, 20, request.len() / 2, request.len() - 1] {
        let node = InProcessNode::start();
        let mut client = node.connect();
        node.make_idle(&mut client);
        client
            .write_all(&request.as_bytes()[..cut])
            .expect("write to the connection");
        node.run_event_loop(5);
        node.shut_down();
        node.run_event_loop(20);
        client
            .write_all(&request.as_bytes()[cut..])
            .expect("write to the connection");
        let (response, is_graceful) = node.read_to_end(&mut client);
        assert!(
            response.starts_with("HTTP/1.1 200 OK") && is_graceful,
            "cut at {cut}: expected 200 and a graceful close; got {response:?}"
        );
    }
}

/// Guards against forwarding a request that arrives after the shutdown, and against resetting a connection whose client
/// sends while the node closes it: the node continues to read for a while and discards the bytes.
#[test]
fn bytes_after_shutdown_are_discarded_and_close_is_graceful() {
    let node = InProcessNode::start();
    let mut clients: Vec<_> = (0..4).map(|_| node.connect()).collect();
    clients[..2]
        .iter_mut()
        .for_each(|client| node.make_idle(client));
    node.run_event_loop(5);
    node.shut_down();
    for (index, client) in clients.iter_mut().enumerate() {
        let (received, is_graceful) = node.read_to_end(client);
        assert!(
            received.is_empty() && is_graceful,
            "client {index}: expected a graceful close and no bytes; received {received:?}"
        );
        // The client sends a request before it notices the close. If the node no longer reads, the first write causes a
        // reset and the second one fails.
        for _ in 0..2 {
            let request = post_request("late", "pay", "", "x");
            client
                .write_all(request.as_bytes())
                .expect("the node still reads");
            node.run_event_loop(5);
        }
        assert!(
            node.read_to_end(client).1,
            "connection of client {index} was reset"
        );
    }
    clients.clear();
    node.run_until("the node shuts down", || node.serving.is_finished());
    assert!(
        node.server.requests().is_empty(),
        "no request is forwarded after the shutdown"
    );
}

/// A server to which connecting is slow: its backlog is full, so the kernel drops the first SYN, which is retransmitted
/// a second later.
struct SlowToConnectServer {
    listener: socket2::Socket,
    address: std::net::SocketAddr,
    _backlog_filler: TcpStream,
}

impl SlowToConnectServer {
    fn start() -> Self {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("create a socket");
        let bind_address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        listener
            .bind(&bind_address.into())
            .expect("bind a loopback socket");
        listener.listen(0).expect("listen on the socket");
        let address = listener
            .local_addr()
            .expect("read the local address")
            .as_socket()
            .expect("the listener has an IPv4 address");
        Self {
            _backlog_filler: TcpStream::connect(address).expect("the backlog holds one connection"),
            listener,
            address,
        }
    }

    /// Frees the backlog and returns the bytes received on the next connection; `None` if none is established.
    fn accept_and_read(self) -> Option<Vec<u8>> {
        self.listener
            .set_nonblocking(true)
            .expect("configure the socket");
        let mut connections = Vec::new();
        let since = Instant::now();
        while connections.len() < 2 && since.elapsed() < Duration::from_secs(4) {
            connections.extend(self.listener.accept().ok());
            std::thread::sleep(Duration::from_millis(1));
        }
        let (connection, _) = connections.into_iter().nth(1)?;
        connection
            .set_nonblocking(false)
            .expect("configure the socket");
        connection
            .set_read_timeout(Some(Duration::from_millis(500)))
            .expect("configure the socket");
        let (mut stream, mut buffer) = (TcpStream::from(connection), [0; 4096]);
        let length = stream.read(&mut buffer).unwrap_or(0);
        Some(buffer[..length].to_vec())
    }
}

/// Time within which a node reacts on an idle machine; on a busy one the tests repeat the race.
const REACTION_TIME: Duration = Duration::from_millis(200);

/// Guards against sending an attempt whose client disconnected while the connection to the server was being
/// established, with cancellation disabled in the settings.
#[test]
fn attempt_for_client_that_left_during_connect_is_not_sent() {
    let outcome = (0..5).find_map(|_| {
        let slow_server = SlowToConnectServer::start();
        let known = endpoint_list(
            1,
            true,
            &[endpoint_entry("s-0", slow_server.address, "ready")],
        );
        let settings = settings(600_000).replace("\"cancel\":true", "\"cancel\":false");
        let node = Node::start(&config(Unreachable::reserve().address, &known, &settings));
        let mut client = node.connect();
        client.send(&read_request("disconnected", "600000m"));
        std::thread::sleep(REACTION_TIME);
        drop(client);
        std::thread::sleep(REACTION_TIME);
        slow_server.accept_and_read()
    });
    assert_eq!(
        outcome.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
        Some(String::new())
    );
}

/// Guards against executing a request twice: its retry is decided within the deduplication window, but the connection
/// for it is established after the window has ended.
#[test]
fn retry_after_deduplication_window_is_not_sent() {
    let outcome = (0..5).find_map(|_| {
        let closing_server = Server::start(|_| {
            std::thread::sleep(REACTION_TIME);
            Reply::Close
        });
        let slow_server = SlowToConnectServer::start();
        let discovery = Discovery::start();
        let known = endpoint_list(1, true, &[closing_server.endpoint_entry("s-0", "ready")]);
        let settings =
            settings(15_000).replace("\"dedup_window_ms\":60000.0", "\"dedup_window_ms\":900.0");
        let node = Node::start(&config(discovery.address, &known, &settings));
        let mut watch = discovery.watch();
        let mut client = node.connect();
        client.send(&post_request(
            "once",
            "hold",
            "Idempotency-Key: 5c0f\r\n",
            "x",
        ));
        wait_until("the first attempt is sent", || {
            closing_server.requests().len() == 1
        });
        watch.send(
            &(endpoint_list(
                2,
                false,
                &[endpoint_entry("s-1", slow_server.address, "ready")],
            ) + "\n"),
        );
        std::thread::sleep(2 * REACTION_TIME);
        slow_server.accept_and_read().map(|bytes| {
            (
                bytes,
                client.read_response().expect("read the response").status(),
            )
        })
    });
    let (bytes, status) = outcome.expect("the retry connects in one of the runs");
    assert_eq!(
        (String::from_utf8_lossy(&bytes).into_owned(), status),
        (String::new(), 503)
    );
}

/// A server that answers each request with a prefix of a response and resets the connection; `cuts` is the range of
/// prefix lengths, one for each connection.
fn server_that_resets_within_response(
    response: &'static [u8],
    cuts: std::ops::RangeInclusive<usize>,
) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    std::thread::spawn(move || {
        for cut in cuts {
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let request =
                Message::read(&mut std::io::BufReader::new(&stream)).expect("read the request");
            stream
                .write_all(&response[..cut])
                .expect("write to the connection");
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            assert_eq!(
                request.header("req-id"),
                Some(format!("cut-{cut}").as_str()),
                "expected one attempt for each request"
            );
        }
    });
    address
}

/// Guards against treating a response of unknown length as complete when its connection is reset at any byte, and
/// against discarding one that is complete by its length because of a reset after it. Each request is non-idempotent,
/// so the server receives it once.
#[test]
fn response_reset_at_any_byte_is_not_complete() {
    const WITHOUT_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfive rooms";
    const WITH_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive rooms";
    const CHUNKED: &[u8] =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nfive rooms\r\n0\r\n\r\n";
    for (response, declares_its_end) in [
        (WITHOUT_LENGTH, false),
        (WITH_LENGTH, true),
        (CHUNKED, true),
    ] {
        let address = server_that_resets_within_response(response, 0..=response.len());
        let known = endpoint_list(1, true, &[endpoint_entry("s-0", address, "ready")]);
        let node = Node::start(&config(
            Unreachable::reserve().address,
            &known,
            &settings(15_000),
        ));
        for cut in 0..=response.len() {
            let forwarded = node.request(&post_request(&format!("cut-{cut}"), "pay", "", "x"));
            let is_complete = declares_its_end && cut == response.len();
            assert_eq!(
                forwarded.status() == 200,
                is_complete,
                "cut at {cut} of {:?}",
                String::from_utf8_lossy(response)
            );
            assert!(!is_complete || forwarded.body == b"five rooms");
        }
    }
}

/// Number of threads that open connections without a pause.
const CONNECTING_THREADS: usize = 4;
/// Number of connections that each thread keeps open: many times the number of slots.
const CONNECTIONS_PER_THREAD: usize = 400;
/// Timeout of one connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Guards against a shutdown that waits for an empty backlog: far more silent clients than slots connect continuously,
/// so that some nearly always wait to be accepted.
#[test]
fn continuous_new_connections_do_not_delay_shutdown() {
    let node = InProcessNode::start();
    let (address, stop) = (node.address, Arc::new(AtomicBool::new(false)));
    let threads: Vec<_> = (0..CONNECTING_THREADS)
        .map(|_| {
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                let mut connections = std::collections::VecDeque::new();
                while !stop.load(Ordering::SeqCst) {
                    connections.extend(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT));
                    if connections.len() > CONNECTIONS_PER_THREAD {
                        connections.pop_front();
                    }
                }
            })
        })
        .collect();
    // From here on all slots are in use, and the kernel's backlog is never empty.
    node.run_event_loop(500);
    let terminated_at = Instant::now();
    node.phase.send_replace(Phase::ShuttingDown(
        terminated_at + Duration::from_millis(500),
    ));
    node.run_until("the node shuts down", || node.serving.is_finished());
    let elapsed = terminated_at.elapsed();
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("join the connecting thread"));
    assert!(
        elapsed < Duration::from_secs(3),
        "shutdown took {elapsed:?}"
    );
}

/// Guards against forwarding a request whose client sends only a part of it and closes gracefully or with a reset.
#[test]
fn request_truncated_at_any_byte_is_not_forwarded() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let request = post_request("cut", "pay", "", "five rooms");
    for is_reset in [false, true] {
        for cut in 0..request.len() {
            let mut stream = TcpStream::connect(node.address).expect("connect to the node");
            stream
                .write_all(&request.as_bytes()[..cut])
                .expect("write to the connection");
            if is_reset {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("configure the socket");
            }
        }
    }
    // All truncated requests have been handled once a later request has been served.
    assert_eq!(
        node.request(&post_request("last", "pay", "", "x")).status(),
        200
    );
    let start_lines: Vec<_> = server
        .requests()
        .iter()
        .map(|request| request.start_line.clone())
        .collect();
    assert_eq!(
        start_lines.len(),
        1,
        "expected only the last request; got {start_lines:?}"
    );
}

/// The request id in the bytes that a server has received, if they contain all of it.
fn request_id_in(received: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(received);
    let (_, rest) = text.split_once("req-id: ")?;
    rest.split_once("\r\n").map(|(id, _)| id.to_owned())
}

/// Guards against executing a request twice. One server reads a request up to any of its bytes and resets the
/// connection; a healthy server must not receive a request that the first received completely. The servers' own records
/// decide.
#[test]
fn completely_written_request_is_not_sent_to_another_server() {
    const BODY: &str = "five rooms";
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    let (report_sender, reports) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for cut in 0.. {
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let mut received = [0; 4096];
            // The whole request is in the socket buffer before any of it is read.
            wait_until("the whole request arrives", || {
                stream
                    .peek(&mut received)
                    .is_ok_and(|length| received[..length].ends_with(BODY.as_bytes()))
            });
            let length = stream.peek(&mut received).expect("peek at the request");
            let id = request_id_in(&received[..length]).expect("the request has an id");
            stream
                .read_exact(&mut received[..cut % (length + 1)])
                .expect("read the bytes in the socket buffer");
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            if report_sender.send((id, cut >= length)).is_err() {
                return;
            }
        }
    });
    let healthy_server = Server::start(|_| Reply::ok("yes"));
    let known = endpoint_list(
        1,
        true,
        &[
            endpoint_entry("s-0", address, "ready"),
            healthy_server.endpoint_entry("s-1", "ready"),
        ],
    );
    // A server that resets twice in a row gets no requests for twice the latency objective.
    let node = Node::start(&config(
        Unreachable::reserve().address,
        &known,
        &settings_with_latency_objective(20, 15_000),
    ));
    let (mut received_ids, mut all_cuts_tested, mut request_count, since) =
        (Vec::new(), false, 0, Instant::now());
    while !all_cuts_tested {
        assert!(
            since.elapsed() < 3 * WAIT_TIMEOUT,
            "timed out after {} requests to the resetting server",
            received_ids.len()
        );
        let response = node.request(&post_request(
            &format!("once-{request_count}"),
            "pay",
            "",
            BODY,
        ));
        request_count += 1;
        for (id, is_last_cut) in reports.try_iter() {
            assert_ne!(
                response.status(),
                200,
                "request {id} was executed by the first server, which sent no response"
            );
            all_cuts_tested |= is_last_cut;
            received_ids.push(id);
        }
    }
    let duplicated_ids: Vec<_> = healthy_server
        .requests()
        .iter()
        .filter_map(|request| request.header("req-id").map(str::to_owned))
        .filter(|id| received_ids.contains(id))
        .collect();
    assert!(
        duplicated_ids.is_empty(),
        "both servers received {duplicated_ids:?}"
    );
    let mut distinct_ids = received_ids.clone();
    distinct_ids.sort_unstable();
    distinct_ids.dedup();
    assert_eq!(
        distinct_ids.len(),
        received_ids.len(),
        "the first server received a request twice"
    );
    assert!(
        !healthy_server.requests().is_empty(),
        "the healthy server received no request"
    );
}

/// Length of a response that a node streams because it exceeds its buffers, in bytes.
const STREAMED_BYTES: usize = 4 << 20;

/// A server that sends half of a long response, and the rest once the returned channel gets a message.
fn server_that_pauses_within_response() -> (std::net::SocketAddr, std::sync::mpsc::Sender<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    let (resume_sender, resume_receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept a connection");
        Message::read(&mut std::io::BufReader::new(&stream)).expect("read the request");
        let body = vec![b'x'; STREAMED_BYTES];
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {STREAMED_BYTES}\r\n\r\n");
        let half = [head.as_bytes(), &body[..STREAMED_BYTES / 2]].concat();
        // The test shuts the node down while this server waits, so a write may fail.
        let _ = stream.write_all(&half);
        if resume_receiver.recv().is_ok() {
            let _ = stream.write_all(&body[STREAMED_BYTES / 2..]);
        }
        let _ = stream.read(&mut [0; 1]);
    });
    (address, resume_sender)
}

/// Reads a response until the connection ends; returns the bytes and whether the connection was closed gracefully.
fn read_until_closed(client: &mut TcpStream) -> (Vec<u8>, bool) {
    client
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("configure the socket");
    let mut received = Vec::new();
    let is_graceful = client.read_to_end(&mut received).is_ok();
    (received, is_graceful)
}

/// Guards against a shutdown that cuts off a partly forwarded response: the rest is streamed until the deadline. If the
/// rest does not arrive, the client can detect it, and the node does not wait beyond its deadline.
#[test]
fn response_at_shutdown_is_complete_or_visibly_truncated() {
    let runs = [true, false].map(|rest_arrives| {
        std::thread::spawn(move || {
            let (address, resume_sender) = server_that_pauses_within_response();
            let known = endpoint_list(1, true, &[endpoint_entry("s-0", address, "ready")]);
            let mut node = Node::start(&config(
                Unreachable::reserve().address,
                &known,
                &settings(15_000),
            ));
            let mut client = TcpStream::connect(node.address).expect("connect to the node");
            client
                .write_all(read_request("streamed", "15000m").as_bytes())
                .expect("write to the connection");
            // The client has received a part of the response.
            let mut first = vec![0; STREAMED_BYTES / 4];
            client
                .read_exact(&mut first)
                .expect("read a part of the response");
            let terminated_at = Instant::now();
            node.terminate();
            if rest_arrives {
                resume_sender
                    .send(())
                    .expect("the server waits for the message");
            }
            let (rest, is_graceful) = read_until_closed(&mut client);
            let elapsed = terminated_at.elapsed();
            assert_eq!(node.wait().code(), Some(0));
            let head_length = first
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
                .expect("the first part contains the whole head")
                + 4;
            let body_length = first.len() - head_length + rest.len();
            assert!(
                elapsed < MAX_EXIT_TIME,
                "the rest of the response took {elapsed:?}"
            );
            assert_eq!(
                (body_length == STREAMED_BYTES, is_graceful || !rest_arrives),
                (rest_arrives, true),
                "received {body_length} of {STREAMED_BYTES} bytes"
            );
        })
    });
    runs.into_iter()
        .for_each(|run| run.join().expect("join the thread of the run"));
}

/// Length of a response that exceeds the socket buffers of the kernel, in bytes.
const UNREAD_BYTES: usize = 8 << 20;

/// Guards against a client that does not read its response and thereby delays the shutdown or other responses.
#[test]
fn client_that_does_not_read_delays_neither_shutdown_nor_others() {
    let long = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {UNREAD_BYTES}\r\n\r\n{}",
        "x".repeat(UNREAD_BYTES)
    );
    let server = Server::start(move |request| match request.header("req-id") {
        Some("unread") => Reply::Send(long.clone().into_bytes()),
        _ => Reply::NoResponse,
    });
    let (mut node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let (mut unread, mut other) = (node.connect(), node.connect());
    unread.send(&read_request("unread", "15000m"));
    other.send(&post_request("other", "pay", "", "x"));
    wait_until("both requests are sent", || server.requests().len() == 2);
    let terminated_at = Instant::now();
    node.terminate();
    assert_eq!(
        other
            .read_response()
            .expect("read the whole response")
            .status(),
        502
    );
    assert_eq!(node.wait().code(), Some(0));
    assert!(
        terminated_at.elapsed() < MAX_EXIT_TIME,
        "shutdown took {:?}",
        terminated_at.elapsed()
    );
}
