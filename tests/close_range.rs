//! Races between two events: a shutdown, a client that leaves, a connection that closes, each at the worst moment. The order
//! is forced by peers that wait for one event before they cause the other.

#![allow(
    clippy::needless_for_each,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
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

/// The longest that a node may take from SIGTERM to its last answer, where a class's deadline is 3 s or more: SIGKILL
/// may come then.
const MAX_EXIT_TIME: Duration = Duration::from_millis(3_700);

/// A node may not exit with unanswered requests that arrived before SIGTERM, even if their clients would wait for longer
/// than the node may live.
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
    wait_until("all are out", || server.requests().len() == 3);
    let told = Instant::now();
    node.terminate();
    let answers: Vec<_> = clients
        .iter_mut()
        .map(|client| client.read_response().expect("a whole answer"))
        .collect();
    assert!(told.elapsed() < MAX_EXIT_TIME, "{:?}", told.elapsed());
    assert_eq!(
        answers[2].status(),
        502,
        "an unsafe request that may have run has failed"
    );
    assert!(clients.iter_mut().all(Client::is_closed_without_reset));
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(server.requests().len(), 3, "nothing was sent again so late");
}

/// More than is read ahead on a connection with a request in progress, and less than the kernel buffers.
const FLOOD_BYTES: usize = 100 * 1024;

/// No attempt may go on for a client that has left. One that sent more than its request must be detected while that is
/// served, though nobody reads what it sent. Its attempt is cancelled, which the server sees.
#[test]
fn client_with_pipelined_bytes_is_detected_as_gone() {
    let next = read_request("next", "15000m");
    let more = [
        String::new(),
        next.clone(),
        next[..next.len() / 2].to_owned(),
        next.repeat(FLOOD_BYTES / next.len()),
    ];
    for (more, half_closes) in more.iter().flat_map(|more| [(more, false), (more, true)]) {
        let server = Server::start(|_| Reply::NoResponse);
        // Its time is longer than anything here is waited for.
        let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 600_000);
        let mut client = node.connect();
        client.send(&format!("{}{more}", read_request("first", "600000m")));
        wait_until("its attempt is out", || server.requests().len() == 1);
        assert_eq!(server.closed_connections(), 0);
        // One that ends its sending has gone, too: the page knows no other way to leave.
        let held = half_closes.then(|| client.shutdown_write());
        let held = held.map(|()| client);
        wait_until("its attempt is given up", || {
            server.closed_connections() == 1
        });
        drop(held);
        assert_eq!(
            server.requests().len(),
            1,
            "nothing else was sent on for it"
        );
    }
}

/// What was read ahead of a response is served after it, completely and once, wherever its segments end.
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
            client.read_response().expect("an answer").status(),
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
                client.read_response().expect("an answer").status(),
                200,
                "cut at {cut}"
            );
        }
    }
    assert_eq!(server.requests().len(), 18);
}

/// A node in this thread. Its event loop runs only in [`Self::run_event_loop`], so that bytes of a client and a shutdown can
/// arrive in the same turn of it, in either order.
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
        Self::with(Server::start(|_| Reply::ok("yes")))
    }

    fn with(server: Server) -> Self {
        let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
        let text = config(Unreachable::reserve().address, &known, &settings(60_000));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let local = tokio::task::LocalSet::new();
        let (phase, phases) = watch::channel(Phase::Serving);
        let (address, serving) = local.block_on(&runtime, async {
            let driver = Dispatcher::start(&Config::parse(&text).expect("sound")).expect("sound");
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port");
            let address = listener.local_addr().expect("an address");
            (
                address,
                tokio::task::spawn_local(serve(
                    listener,
                    driver,
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
    fn run_until(&self, what: &str, mut so: impl FnMut() -> bool) {
        let since = Instant::now();
        while !so() {
            assert!(since.elapsed() < WAIT_TIMEOUT, "{what}");
            self.run_event_loop(1);
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        stream
    }

    /// What a client reads up to the end of the connection, and whether that end is graceful.
    fn read_to_end(&self, client: &mut TcpStream) -> (String, bool) {
        let (mut read, mut ended) = (Vec::new(), None);
        self.run_until("the connection ends", || {
            let mut piece = [0; 4096];
            match client.read(&mut piece) {
                Ok(0) => ended = Some(true),
                Ok(n) => read.extend_from_slice(&piece[..n]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => ended = Some(false),
            }
            ended.is_some()
        });
        (
            String::from_utf8(read).expect("text"),
            ended.expect("ended"),
        )
    }

    /// Polls the readiness endpoint and reads the response: the connection is idle then.
    fn make_idle(&self, client: &mut TcpStream) {
        client
            .write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            .expect("an open connection");
        let mut read = Vec::new();
        self.run_until("it is up", || {
            let mut piece = [0; 4096];
            let came = client.read(&mut piece).unwrap_or(0);
            read.extend_from_slice(&piece[..came]);
            read.ends_with(b"\r\n\r\n")
        });
    }

    fn shut_down(&self) {
        self.phase
            .send_replace(Phase::ShuttingDown(Instant::now() + 3 * WAIT_TIMEOUT));
    }
}

/// A request that arrives in the same turn of the event loop as the shutdown has been accepted: it is answered
/// completely, on an idle connection and on a silent one, whichever the event loop handles first.
#[test]
fn request_in_turn_of_shutdown_is_answered() {
    let request = read_request("crossing", "15000m");
    for rested in [true, false] {
        for ahead in [0, 1, request.len() / 2, request.len() - 1, request.len()] {
            let node = InProcessNode::start();
            let mut client = node.connect();
            if rested {
                node.make_idle(&mut client);
            } else {
                node.run_event_loop(5);
            }
            // The part ahead has been read by the event loop, if there is one; the rest lies in the socket.
            client
                .write_all(&request.as_bytes()[..ahead])
                .expect("an open connection");
            if (1..request.len()).contains(&ahead) {
                node.run_event_loop(5);
            }
            client
                .write_all(&request.as_bytes()[ahead..])
                .expect("an open connection");
            node.shut_down();
            let (answer, in_order) = node.read_to_end(&mut client);
            let case = format!("rested: {rested}, {ahead} bytes ahead");
            assert!(
                answer.starts_with("HTTP/1.1 200 OK") && answer.ends_with("yes"),
                "{case}: {answer:?}"
            );
            assert!(
                answer.to_ascii_lowercase().contains("connection: close"),
                "{case}"
            );
            assert!(in_order, "{case}");
            assert_eq!(node.server.requests().len(), 1, "{case}");
            drop(client);
            node.run_until("the node ends", || node.serving.is_finished());
        }
    }
}

/// A connection that waits in the kernel's backlog with its request, and a body of which a part is yet to arrive.
#[test]
fn backlogged_connection_and_slow_upload_are_answered_at_shutdown() {
    let node = InProcessNode::start();
    let whole = post_request("slow", "hold", "Idempotency-Key: 5c0f\r\n", "five rooms");
    let mut slow = node.connect();
    slow.write_all(&whole.as_bytes()[..whole.len() - 5])
        .expect("an open connection");
    node.run_event_loop(5);
    let mut queued = node.connect();
    queued
        .write_all(read_request("queued", "15000m").as_bytes())
        .expect("an open connection");
    node.shut_down();
    let (answer, in_order) = node.read_to_end(&mut queued);
    assert!(
        answer.starts_with("HTTP/1.1 200 OK") && in_order,
        "{answer:?}"
    );
    slow.write_all(&whole.as_bytes()[whole.len() - 5..])
        .expect("an open connection");
    let (answer, in_order) = node.read_to_end(&mut slow);
    assert!(
        answer.starts_with("HTTP/1.1 200 OK") && in_order,
        "{answer:?}"
    );
    let ids: Vec<_> = node
        .server
        .requests()
        .iter()
        .filter_map(|r| r.header("req-id").map(str::to_owned))
        .collect();
    assert_eq!(ids, ["queued", "slow"]);
}

/// Requests that are accepted just before the shutdown are answered by its deadline, on an old and on a new connection,
/// whatever deadlines their clients set. The server does not respond.
#[test]
fn request_accepted_just_before_shutdown_deadline_is_answered_by_it() {
    const LEFT: Duration = Duration::from_millis(300);
    let node = InProcessNode::with(Server::start(|_| Reply::NoResponse));
    let mut clients = [node.connect(), node.connect(), node.connect()];
    node.make_idle(&mut clients[0]);
    let by = Instant::now() + LEFT;
    node.phase.send_replace(Phase::Draining(by));
    clients[0]
        .write_all(post_request("kept", "pay", "", "x").as_bytes())
        .expect("an open connection");
    node.run_event_loop(5);
    clients[1]
        .write_all(post_request("new", "pay", "", "x").as_bytes())
        .expect("an open connection");
    node.phase.send_replace(Phase::ShuttingDown(by));
    // And one that comes in the last tenth of what is left.
    clients[2]
        .write_all(read_request("last", "15000m").split_at(20).0.as_bytes())
        .expect("an open connection");
    node.run_until("the end is near", || Instant::now() + LEFT / 10 > by);
    clients[2]
        .write_all(read_request("last", "15000m").split_at(20).1.as_bytes())
        .expect("an open connection");
    let answers = clients.each_mut().map(|client| node.read_to_end(client));
    assert!(
        Instant::now() < by + LEFT,
        "they come by the end, on a machine that is busy too"
    );
    for ((answer, in_order), status) in answers.iter().zip(["502", "502", "503"]) {
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")) && *in_order,
            "{answer:?}"
        );
    }
    node.run_until("the node ends", || node.serving.is_finished());
}

/// Longer than a client may take over a head, or be idle.
const LONGER_THAN_ANY_TIMEOUT: Duration = Duration::from_secs(11);
/// Longer than the interval between two checks of the timeouts.
const ONE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Turns of the event loop that are tried as the one in which the bytes arrive; the timeout is in the first or second.
const MAX_TURNS: usize = 12;

/// A client whose bytes arrive in the same turn as the timeout of its connection, before or after the event loop has
/// polled the socket: whoever wrote on an open connection is answered. Time is paused but for two steps, so that every
/// turn in which the bytes can arrive is tried.
#[test]
fn request_in_turn_of_connection_timeout_is_answered() {
    let request = read_request("crossing", "15000m");
    for (rested, ahead) in [(false, 0), (false, request.len() / 2), (true, 0)] {
        let (mut open, mut ended) = (0, 0);
        for turns in 0..MAX_TURNS {
            // The client has to see at once whether the node has closed the connection.
            let _no_process_starts = pause_process_starts();
            let node = InProcessNode::start();
            let mut client = node.connect();
            if rested {
                node.make_idle(&mut client);
            }
            client
                .write_all(&request.as_bytes()[..ahead])
                .expect("an open connection");
            node.run_event_loop(5);
            let was_open = node.local.block_on(&node.runtime, async {
                tokio::time::pause();
                // The look that is due by now is of the time before; the one after it finds the time over.
                tokio::time::advance(LONGER_THAN_ANY_TIMEOUT).await;
                for _ in 0..MAX_TURNS {
                    tokio::task::yield_now().await;
                }
                tokio::time::advance(ONE_CHECK_INTERVAL).await;
                for _ in 0..turns {
                    tokio::task::yield_now().await;
                }
                // One thread: what the node has ended by now is seen here, and nothing happens until the bytes are there.
                let was_open =
                    matches!(client.peek(&mut [0; 1]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
                let _ = client.write_all(&request.as_bytes()[ahead..]);
                tokio::time::resume();
                was_open
            });
            let (answer, in_order) = node.read_to_end(&mut client);
            let case = format!("rested: {rested}, {ahead} bytes ahead, {turns} turns");
            if was_open {
                open += 1;
                assert!(
                    answer.starts_with("HTTP/1.1 200 OK") && answer.ends_with("yes"),
                    "{case}: {answer:?}"
                );
            } else {
                ended += 1;
                assert!(answer.is_empty() || !in_order, "{case}: {answer:?}");
            }
        }
        assert!(
            open > 0 && ended > 0,
            "both orders were met: {open}, {ended}"
        );
    }
}

/// A request of which a part had arrived when the node shut down.
#[test]
fn partial_head_at_shutdown_may_complete_and_is_answered() {
    let request = read_request("half", "15000m");
    for cut in [1, 20, request.len() / 2, request.len() - 1] {
        let node = InProcessNode::start();
        let mut client = node.connect();
        node.make_idle(&mut client);
        client
            .write_all(&request.as_bytes()[..cut])
            .expect("an open connection");
        node.run_event_loop(5);
        node.shut_down();
        node.run_event_loop(20);
        client
            .write_all(&request.as_bytes()[cut..])
            .expect("an open connection");
        let (answer, in_order) = node.read_to_end(&mut client);
        assert!(
            answer.starts_with("HTTP/1.1 200 OK") && in_order,
            "cut at {cut}: {answer:?}"
        );
    }
}

/// A request that arrives after the shutdown is not forwarded, and a client whose bytes cross the close gets no reset:
/// the node reads on for a while, and discards what arrives.
#[test]
fn bytes_after_last_response_are_discarded_and_close_is_graceful() {
    let node = InProcessNode::start();
    let mut clients: Vec<_> = (0..4).map(|_| node.connect()).collect();
    clients[..2]
        .iter_mut()
        .for_each(|client| node.make_idle(client));
    node.run_event_loop(5);
    node.shut_down();
    for (at, client) in clients.iter_mut().enumerate() {
        let (read, in_order) = node.read_to_end(client);
        assert!(
            read.is_empty() && in_order,
            "client {at} is told of the end: {read:?}"
        );
        // The end has come, and the client has asked before it saw that; a second time it gets a reset where the node is
        // not there any more.
        for _ in 0..2 {
            let request = post_request("behind", "pay", "", "x");
            client
                .write_all(request.as_bytes())
                .expect("it still reads");
            node.run_event_loop(5);
        }
        assert!(node.read_to_end(client).1, "client {at}");
    }
    clients.clear();
    node.run_until("the node ends", || node.serving.is_finished());
    assert!(node.server.requests().is_empty(), "none was sent on");
}

/// A server to which connecting takes long: its backlog is full, so that the kernel drops the first SYN, which is
/// retransmitted a second later.
struct SlowToConnectServer {
    listener: socket2::Socket,
    address: std::net::SocketAddr,
    _first: TcpStream,
}

impl SlowToConnectServer {
    fn start() -> Self {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket");
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        listener.bind(&any.into()).expect("a port");
        listener.listen(0).expect("it listens");
        let address = listener
            .local_addr()
            .expect("an address")
            .as_socket()
            .expect("of IPv4");
        Self {
            _first: TcpStream::connect(address).expect("there is room for one"),
            listener,
            address,
        }
    }

    /// Frees the backlog, and returns what is received on the connection that is established then; `None` without one.
    fn accept_and_read(self) -> Option<Vec<u8>> {
        self.listener.set_nonblocking(true).expect("a socket");
        let mut came = Vec::new();
        let since = Instant::now();
        while came.len() < 2 && since.elapsed() < Duration::from_secs(4) {
            came.extend(self.listener.accept().ok());
            std::thread::sleep(Duration::from_millis(1));
        }
        let (connection, _) = came.into_iter().nth(1)?;
        connection.set_nonblocking(false).expect("a socket");
        connection
            .set_read_timeout(Some(Duration::from_millis(500)))
            .expect("a socket");
        let (mut stream, mut read) = (TcpStream::from(connection), [0; 4096]);
        let bytes = stream.read(&mut read).unwrap_or(0);
        Some(read[..bytes].to_vec())
    }
}

/// Long enough for a node to react, on a machine that is not busy; where it is, the race is tried again.
const REACTION_TIME: Duration = Duration::from_millis(200);

/// The client leaves while the connection to the server is being established, with settings that allow no cancellation.
#[test]
fn attempt_for_client_that_left_during_connect_is_not_sent() {
    let crossed = (0..5).find_map(|_| {
        let late = SlowToConnectServer::start();
        let known = endpoint_list(1, true, &[endpoint_entry("s-0", late.address, "ready")]);
        let text = settings(600_000).replace("\"cancel\":true", "\"cancel\":false");
        let node = Node::start(&config(Unreachable::reserve().address, &known, &text));
        let mut client = node.connect();
        client.send(&read_request("left", "600000m"));
        std::thread::sleep(REACTION_TIME);
        drop(client);
        std::thread::sleep(REACTION_TIME);
        late.accept_and_read()
    });
    assert_eq!(
        crossed.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
        Some(String::new())
    );
}

/// A request must not be executed twice: a retry is within the window when it is decided on, and its connection is
/// established after the window's end.
#[test]
fn retry_after_deduplication_window_is_not_sent() {
    let crossed = (0..5).find_map(|_| {
        let closes = Server::start(|_| {
            std::thread::sleep(REACTION_TIME);
            Reply::Close
        });
        let late = SlowToConnectServer::start();
        let discovery = Discovery::start();
        let known = endpoint_list(1, true, &[closes.endpoint_entry("s-0", "ready")]);
        let text =
            settings(15_000).replace("\"dedup_window_ms\":60000.0", "\"dedup_window_ms\":900.0");
        let node = Node::start(&config(discovery.address, &known, &text));
        let mut watch = discovery.watch();
        let mut client = node.connect();
        client.send(&post_request(
            "once",
            "hold",
            "Idempotency-Key: 5c0f\r\n",
            "x",
        ));
        wait_until("the first attempt is out", || closes.requests().len() == 1);
        watch.send(
            &(endpoint_list(2, false, &[endpoint_entry("s-1", late.address, "ready")]) + "\n"),
        );
        std::thread::sleep(2 * REACTION_TIME);
        late.accept_and_read()
            .map(|bytes| (bytes, client.read_response().expect("an answer").status()))
    });
    let (bytes, status) = crossed.expect("the repeat was on its way");
    assert_eq!(
        (String::from_utf8_lossy(&bytes).into_owned(), status),
        (String::new(), 503)
    );
}

/// A server that answers each request with a prefix of a response, and resets the connection; `cuts` is the range of
/// lengths, one connection after the other.
fn server_that_resets_within_response(
    answer: &'static [u8],
    cuts: std::ops::RangeInclusive<usize>,
) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for cut in cuts {
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let request = Message::read(&mut std::io::BufReader::new(&stream)).expect("a request");
            stream
                .write_all(&answer[..cut])
                .expect("an open connection");
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            assert_eq!(
                request.header("req-id"),
                Some(format!("cut-{cut}").as_str()),
                "one attempt each"
            );
        }
    });
    address
}

/// A response of unknown length whose connection is reset is not complete, at whichever byte; one that is complete by its
/// length is not discarded for a reset after it. Each request is non-idempotent, so the server receives each once.
#[test]
fn response_reset_at_any_byte_is_not_complete() {
    const WITHOUT_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfive rooms";
    const WITH_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive rooms";
    const CHUNKED: &[u8] =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nfive rooms\r\n0\r\n\r\n";
    for (answer, ends) in [
        (WITHOUT_LENGTH, false),
        (WITH_LENGTH, true),
        (CHUNKED, true),
    ] {
        let address = server_that_resets_within_response(answer, 0..=answer.len());
        let known = endpoint_list(1, true, &[endpoint_entry("s-0", address, "ready")]);
        let node = Node::start(&config(
            Unreachable::reserve().address,
            &known,
            &settings(15_000),
        ));
        for cut in 0..=answer.len() {
            let got = node.request(&post_request(&format!("cut-{cut}"), "pay", "", "x"));
            let is_whole = ends && cut == answer.len();
            assert_eq!(
                got.status() == 200,
                is_whole,
                "cut at {cut} of {:?}",
                String::from_utf8_lossy(answer)
            );
            assert!(!is_whole || got.body == b"five rooms");
        }
    }
}

/// Crowds of silent clients that connect as fast as they can, how many connections each holds (many times the places that
/// there are), and for how long it tries one.
const CROWDS: usize = 4;
const HELD: usize = 400;
const CONNECTS_WITHIN: Duration = Duration::from_millis(100);

/// Silent clients connect continuously, far more than there are slots, and some nearly always wait to be accepted when
/// the node is to stop accepting.
#[test]
fn continuous_new_connections_do_not_delay_shutdown() {
    let node = InProcessNode::start();
    let (address, ends) = (node.address, Arc::new(AtomicBool::new(false)));
    let crowd: Vec<_> = (0..CROWDS)
        .map(|_| {
            let ends = Arc::clone(&ends);
            std::thread::spawn(move || {
                let mut held = std::collections::VecDeque::new();
                while !ends.load(Ordering::SeqCst) {
                    held.extend(TcpStream::connect_timeout(&address, CONNECTS_WITHIN));
                    if held.len() > HELD {
                        held.pop_front();
                    }
                }
            })
        })
        .collect();
    // The places are all taken, and the queue of the system is never empty from here on.
    node.run_event_loop(500);
    let told = Instant::now();
    node.phase
        .send_replace(Phase::ShuttingDown(told + Duration::from_millis(500)));
    node.run_until("the node ends", || node.serving.is_finished());
    let took = told.elapsed();
    ends.store(true, Ordering::SeqCst);
    crowd
        .into_iter()
        .for_each(|thread| thread.join().expect("it ends"));
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// A client sends only a part of a request, wherever that ends, and closes gracefully or with a reset.
#[test]
fn request_truncated_at_any_byte_is_not_forwarded() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let whole = post_request("cut", "pay", "", "five rooms");
    for is_reset in [false, true] {
        for cut in 0..whole.len() {
            let mut stream = TcpStream::connect(node.address).expect("it listens");
            stream
                .write_all(&whole.as_bytes()[..cut])
                .expect("an open connection");
            if is_reset {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("a socket");
            }
        }
    }
    // Whatever was taken of these has been dealt with once one that came later has been served.
    assert_eq!(
        node.request(&post_request("last", "pay", "", "x")).status(),
        200
    );
    let seen: Vec<_> = server
        .requests()
        .iter()
        .map(|request| request.start_line.clone())
        .collect();
    assert_eq!(seen.len(), 1, "{seen:?}");
}

/// The id in what a server has received of a request, if it is complete.
fn request_id_in(came: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(came);
    let (_, rest) = text.split_once("req-id: ")?;
    rest.split_once("\r\n").map(|(id, _)| id.to_owned())
}

/// A request must not be executed twice: a server reads a request up to any of its bytes and resets, beside a healthy
/// server. What the first received completely the other must never receive; the servers' own records decide.
#[test]
fn completely_written_request_is_not_sent_to_another_server() {
    const BODY: &str = "five rooms";
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for cut in 0.. {
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let mut came = [0; 4096];
            // All of it lies there before any of it is read.
            wait_until("it has come whole", || {
                stream
                    .peek(&mut came)
                    .is_ok_and(|bytes| came[..bytes].ends_with(BODY.as_bytes()))
            });
            let whole = stream.peek(&mut came).expect("an open connection");
            let id = request_id_in(&came[..whole]).expect("an id");
            stream
                .read_exact(&mut came[..cut % (whole + 1)])
                .expect("it is there");
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            if tell.send((id, cut >= whole)).is_err() {
                return;
            }
        }
    });
    let other = Server::start(|_| Reply::ok("yes"));
    let known = endpoint_list(
        1,
        true,
        &[
            endpoint_entry("s-0", address, "ready"),
            other.endpoint_entry("s-1", "ready"),
        ],
    );
    // A server that resets twice in a row is left alone for two aims.
    let node = Node::start(&config(
        Unreachable::reserve().address,
        &known,
        &settings_with_latency_objective(20, 15_000),
    ));
    let (mut had, mut all_cut, mut asked, since) = (Vec::new(), false, 0, Instant::now());
    while !all_cut {
        assert!(
            since.elapsed() < 3 * WAIT_TIMEOUT,
            "{} of its bytes were tried",
            had.len()
        );
        let answer = node.request(&post_request(&format!("once-{asked}"), "pay", "", BODY));
        asked += 1;
        for (id, is_last) in told.try_iter() {
            assert_ne!(answer.status(), 200, "{id} had run");
            all_cut |= is_last;
            had.push(id);
        }
    }
    let twice: Vec<_> = other
        .requests()
        .iter()
        .filter_map(|request| request.header("req-id").map(str::to_owned))
        .filter(|id| had.contains(id))
        .collect();
    assert!(twice.is_empty(), "{twice:?}");
    let mut once = had.clone();
    once.sort_unstable();
    once.dedup();
    assert_eq!(
        once.len(),
        had.len(),
        "nor does the first one get any again"
    );
    assert!(
        !other.requests().is_empty(),
        "the other one was there to be sent to"
    );
}

/// More than a node holds of an answer: it is passed on as it comes.
const STREAMED_BYTES: usize = 4 << 20;

/// A server that sends half of a long response, and the rest once it is told to.
fn server_that_pauses_within_response() -> (std::net::SocketAddr, std::sync::mpsc::Sender<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (go_on, goes_on) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        Message::read(&mut std::io::BufReader::new(&stream)).expect("a request");
        let body = vec![b'x'; STREAMED_BYTES];
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {STREAMED_BYTES}\r\n\r\n");
        let half = [head.as_bytes(), &body[..STREAMED_BYTES / 2]].concat();
        // A node that ends while this waits is what is provoked.
        let _ = stream.write_all(&half);
        if goes_on.recv().is_ok() {
            let _ = stream.write_all(&body[STREAMED_BYTES / 2..]);
        }
        let _ = stream.read(&mut [0; 1]);
    });
    (address, go_on)
}

/// What a client has received of a response when its connection ends, and whether the end is graceful.
fn read_until_closed(client: &mut TcpStream) -> (Vec<u8>, bool) {
    client
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a socket");
    let mut read = Vec::new();
    let in_order = client.read_to_end(&mut read).is_ok();
    (read, in_order)
}

/// A response of which a part has been forwarded when the node is told to stop: the rest is streamed while there is time.
/// Where it does not arrive, the client can tell, and the node does not wait beyond its deadline.
#[test]
fn response_streaming_at_shutdown_is_complete_or_visibly_truncated() {
    let played = [true, false].map(|comes| {
        std::thread::spawn(move || {
            let (address, go_on) = server_that_pauses_within_response();
            let known = endpoint_list(1, true, &[endpoint_entry("s-0", address, "ready")]);
            let mut node = Node::start(&config(
                Unreachable::reserve().address,
                &known,
                &settings(15_000),
            ));
            let mut client = TcpStream::connect(node.address).expect("it listens");
            client
                .write_all(read_request("passed", "15000m").as_bytes())
                .expect("an open connection");
            // A part of it has come: the answer has begun.
            let mut first = vec![0; STREAMED_BYTES / 4];
            client.read_exact(&mut first).expect("a part of the answer");
            let told = Instant::now();
            node.terminate();
            if comes {
                go_on.send(()).expect("it waits");
            }
            let (rest, in_order) = read_until_closed(&mut client);
            let took = told.elapsed();
            assert_eq!(node.wait().code(), Some(0));
            let end = first
                .windows(4)
                .position(|four| four == b"\r\n\r\n")
                .expect("a head")
                + 4;
            let body = first.len() - end + rest.len();
            assert!(took < MAX_EXIT_TIME, "{took:?}");
            assert_eq!(
                (body == STREAMED_BYTES, in_order || !comes),
                (comes, true),
                "{body} bytes"
            );
        })
    });
    played
        .into_iter()
        .for_each(|played| played.join().expect("as it should be"));
}

/// More than the system takes of an answer that nobody reads.
const UNREAD_BYTES: usize = 8 << 20;

/// A client that does not read its response must delay neither the shutdown nor the responses of others.
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
    wait_until("both are out", || server.requests().len() == 2);
    let told = Instant::now();
    node.terminate();
    assert_eq!(other.read_response().expect("a whole answer").status(), 502);
    assert_eq!(node.wait().code(), Some(0));
    assert!(told.elapsed() < MAX_EXIT_TIME, "{:?}", told.elapsed());
}
