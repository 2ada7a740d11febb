//! Where two events cross: a word of the end, a client that leaves, a connection that closes, each at the worst moment.
//! What crosses is forced by peers that wait for one event before they bring about the other.

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
use silverthread::node::downstream::clients::{serve, FrontOptions, Phase};
use testkit::*;
use tokio::sync::watch;

/// The longest that a node may take from SIGTERM to its last answer, where a class's deadline is 3 s or more: SIGKILL
/// may come then.
const KILLED: Duration = Duration::from_millis(3_700);

/// Guards against a node that ends with requests unanswered which came before it was told to stop, and whose clients
/// would wait for longer than it may live.
#[test]
fn what_was_taken_before_sigterm_is_answered_before_the_end() {
    let server = Server::start(|_| Reply::Silence);
    let (mut node, _discovery, _watch) = Node::with(&[&server], 15_000);
    let requests = [
        read("safe", "15000m"),
        post("keyed", "hold", "Idempotency-Key: 5c0f\r\n", "x"),
        post("unsafe", "pay", "", "x"),
    ];
    let mut clients: Vec<_> = requests.iter().map(|_| node.connect()).collect();
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(request);
    }
    until("all are out", || server.requests().len() == 3);
    let told = Instant::now();
    node.terminate();
    let answers: Vec<_> = clients
        .iter_mut()
        .map(|client| client.answer().expect("a whole answer"))
        .collect();
    assert!(told.elapsed() < KILLED, "{:?}", told.elapsed());
    assert_eq!(
        answers[2].status(),
        502,
        "an unsafe request that may have run has failed"
    );
    assert!(clients.iter_mut().all(Client::ends_in_order));
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(server.requests().len(), 3, "nothing was sent again so late");
}

/// More than is read of a connection whose request is being served, and less than the system takes for it.
const FLOOD: usize = 100 * 1024;

/// Guards against attempts for clients that have left: one that sent more than its request must be seen to leave while
/// that is served, though nobody reads what it sent. Its attempt is given up, which the server sees.
#[test]
fn a_client_that_sent_more_than_its_request_is_seen_to_leave() {
    let next = read("next", "15000m");
    let more = [
        String::new(),
        next.clone(),
        next[..next.len() / 2].to_owned(),
        next.repeat(FLOOD / next.len()),
    ];
    for (more, half_closes) in more.iter().flat_map(|more| [(more, false), (more, true)]) {
        let server = Server::start(|_| Reply::Silence);
        // Its time is longer than anything here is waited for.
        let (node, _discovery, _watch) = Node::with(&[&server], 600_000);
        let mut client = node.connect();
        client.send(&format!("{}{more}", read("first", "600000m")));
        until("its attempt is out", || server.requests().len() == 1);
        assert_eq!(server.closed(), 0);
        // One that ends its sending has gone, too: the page knows no other way to leave.
        let held = half_closes.then(|| client.end_sending());
        let held = held.map(|()| client);
        until("its attempt is given up", || server.closed() == 1);
        drop(held);
        assert_eq!(
            server.requests().len(),
            1,
            "nothing else was sent on for it"
        );
    }
}

/// Guards the requests behind one that is served: what was read ahead of its answer is taken after it, whole and once,
/// wherever the pieces of it end.
#[test]
fn what_came_ahead_of_an_answer_is_taken_after_it() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::with(&[&server], 15_000);
    let second = post("second", "hold", "Idempotency-Key: 5c0f\r\n", "a body");
    for cut in [
        0,
        1,
        second.len() / 2,
        second.len() - 6,
        second.len() - 1,
        second.len(),
    ] {
        let mut client = node.connect();
        client.send(&format!("{}{}", read("first", "15000m"), &second[..cut]));
        assert_eq!(
            client.answer().expect("an answer").status(),
            200,
            "cut at {cut}"
        );
        client.send(&format!("{}{}", &second[cut..], read("third", "15000m")));
        for _ in 0..2 {
            assert_eq!(
                client.answer().expect("an answer").status(),
                200,
                "cut at {cut}"
            );
        }
    }
    assert_eq!(server.requests().len(), 18);
}

/// The front of a node in this thread: its event loop runs only in [`turn_until`], so that what a client writes and a word
/// of the end can meet in one turn of it, in either order.
struct Front {
    runtime: tokio::runtime::Runtime,
    local: tokio::task::LocalSet,
    address: std::net::SocketAddr,
    phase: watch::Sender<Phase>,
    server: Server,
    serving: tokio::task::JoinHandle<()>,
}

impl Front {
    fn start() -> Self {
        Self::with(Server::start(|_| Reply::ok("yes")))
    }

    fn with(server: Server) -> Self {
        let known = list(1, true, &[server.entry("s-0", "ready")]);
        let text = config(Unreachable::start().address, &known, &settings(60_000));
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
                tokio::task::spawn_local(serve(listener, driver, FrontOptions::own(phases, 64))),
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

    /// Lets the event loop run for a few milliseconds.
    fn turn(&self, ms: u64) {
        self.local.block_on(&self.runtime, async {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        });
    }

    /// Lets the event loop run until something is so.
    fn turn_until(&self, what: &str, mut so: impl FnMut() -> bool) {
        let since = Instant::now();
        while !so() {
            assert!(since.elapsed() < PATIENCE, "{what}");
            self.turn(1);
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        stream
    }

    /// What a client reads up to the end of the connection, and whether that end is in order.
    fn read_to_end(&self, client: &mut TcpStream) -> (String, bool) {
        let (mut read, mut ended) = (Vec::new(), None);
        self.turn_until("the connection ends", || {
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

    /// Asks whether the node is up, and reads the answer: the connection rests then.
    fn rest(&self, client: &mut TcpStream) {
        client
            .write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            .expect("an open connection");
        let mut read = Vec::new();
        self.turn_until("it is up", || {
            let mut piece = [0; 4096];
            let came = client.read(&mut piece).unwrap_or(0);
            read.extend_from_slice(&piece[..came]);
            read.ends_with(b"\r\n\r\n")
        });
    }

    fn shut_down(&self) {
        self.phase
            .send_replace(Phase::ShuttingDown(Instant::now() + 3 * PATIENCE));
    }
}

/// Guards a request that comes in the very turn in which the node shuts connections down: it has been taken, so it is
/// answered whole, on a connection that rested and on one that had said nothing, wherever the event loop was with it.
#[test]
fn a_request_in_the_turn_of_the_shutdown_is_answered() {
    let request = read("crossing", "15000m");
    for rested in [true, false] {
        for ahead in [0, 1, request.len() / 2, request.len() - 1, request.len()] {
            let front = Front::start();
            let mut client = front.connect();
            if rested {
                front.rest(&mut client);
            } else {
                front.turn(5);
            }
            // The part ahead has been read by the event loop, if there is one; the rest lies in the socket.
            client
                .write_all(&request.as_bytes()[..ahead])
                .expect("an open connection");
            if (1..request.len()).contains(&ahead) {
                front.turn(5);
            }
            client
                .write_all(&request.as_bytes()[ahead..])
                .expect("an open connection");
            front.shut_down();
            let (answer, in_order) = front.read_to_end(&mut client);
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
            assert_eq!(front.server.requests().len(), 1, "{case}");
            drop(client);
            front.turn_until("the node ends", || front.serving.is_finished());
        }
    }
}

/// Guards what had come before the end and nobody had looked at: a connection that waits in the system's queue with its
/// request, and a body of which a part is yet to come.
#[test]
fn what_waits_in_the_queue_and_a_slow_body_are_answered_at_the_end() {
    let front = Front::start();
    let whole = post("slow", "hold", "Idempotency-Key: 5c0f\r\n", "five rooms");
    let mut slow = front.connect();
    slow.write_all(&whole.as_bytes()[..whole.len() - 5])
        .expect("an open connection");
    front.turn(5);
    let mut queued = front.connect();
    queued
        .write_all(read("queued", "15000m").as_bytes())
        .expect("an open connection");
    front.shut_down();
    let (answer, in_order) = front.read_to_end(&mut queued);
    assert!(
        answer.starts_with("HTTP/1.1 200 OK") && in_order,
        "{answer:?}"
    );
    slow.write_all(&whole.as_bytes()[whole.len() - 5..])
        .expect("an open connection");
    let (answer, in_order) = front.read_to_end(&mut slow);
    assert!(
        answer.starts_with("HTTP/1.1 200 OK") && in_order,
        "{answer:?}"
    );
    let ids: Vec<_> = front
        .server
        .requests()
        .iter()
        .filter_map(|r| r.header("req-id").map(str::to_owned))
        .collect();
    assert_eq!(ids, ["queued", "slow"]);
}

/// Guards against requests that are taken just before the end and not answered by it, on a connection that was there and on
/// one that is new, whatever time their clients gave: the server says nothing.
#[test]
fn what_is_taken_just_before_the_end_is_answered_by_it() {
    const LEFT: Duration = Duration::from_millis(300);
    let front = Front::with(Server::start(|_| Reply::Silence));
    let mut clients = [front.connect(), front.connect(), front.connect()];
    front.rest(&mut clients[0]);
    let by = Instant::now() + LEFT;
    front.phase.send_replace(Phase::Draining(by));
    clients[0]
        .write_all(post("kept", "pay", "", "x").as_bytes())
        .expect("an open connection");
    front.turn(5);
    clients[1]
        .write_all(post("new", "pay", "", "x").as_bytes())
        .expect("an open connection");
    front.phase.send_replace(Phase::ShuttingDown(by));
    // And one that comes in the last tenth of what is left.
    clients[2]
        .write_all(read("last", "15000m").split_at(20).0.as_bytes())
        .expect("an open connection");
    front.turn_until("the end is near", || Instant::now() + LEFT / 10 > by);
    clients[2]
        .write_all(read("last", "15000m").split_at(20).1.as_bytes())
        .expect("an open connection");
    let answers = clients.each_mut().map(|client| front.read_to_end(client));
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
    front.turn_until("the node ends", || front.serving.is_finished());
}

/// Longer than a client may take over a head, or rest.
const LONG: Duration = Duration::from_secs(11);
/// Longer than from one look at the times of connections to the next.
const ONE_LOOK: Duration = Duration::from_millis(150);
/// So many turns of the event loop are tried as the one in which the bytes come: the time is over in the first or second.
const TURNS: usize = 12;

/// Guards a client whose bytes come in the very turn in which its time is over, before or after the event loop has looked
/// for bytes: whoever wrote on a connection that was open has taken part, and is answered. Time stands still but for two
/// steps, so that each turn in which the bytes can come is tried.
#[test]
fn bytes_that_come_as_the_time_of_a_connection_is_over_are_answered() {
    let request = read("crossing", "15000m");
    for (rested, ahead) in [(false, 0), (false, request.len() / 2), (true, 0)] {
        let (mut open, mut ended) = (0, 0);
        for turns in 0..TURNS {
            let front = Front::start();
            let mut client = front.connect();
            if rested {
                front.rest(&mut client);
            }
            client
                .write_all(&request.as_bytes()[..ahead])
                .expect("an open connection");
            front.turn(5);
            let was_open = front.local.block_on(&front.runtime, async {
                tokio::time::pause();
                // The look that is due by now is of the time before; the one after it finds the time over.
                tokio::time::advance(LONG).await;
                for _ in 0..TURNS {
                    tokio::task::yield_now().await;
                }
                tokio::time::advance(ONE_LOOK).await;
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
            let (answer, in_order) = front.read_to_end(&mut client);
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

/// Guards a request of which a part had come when the node shut its connections down.
#[test]
fn a_head_that_is_half_there_at_the_shutdown_may_end_and_is_answered() {
    let request = read("half", "15000m");
    for cut in [1, 20, request.len() / 2, request.len() - 1] {
        let front = Front::start();
        let mut client = front.connect();
        front.rest(&mut client);
        client
            .write_all(&request.as_bytes()[..cut])
            .expect("an open connection");
        front.turn(5);
        front.shut_down();
        front.turn(20);
        client
            .write_all(&request.as_bytes()[cut..])
            .expect("an open connection");
        let (answer, in_order) = front.read_to_end(&mut client);
        assert!(
            answer.starts_with("HTTP/1.1 200 OK") && in_order,
            "cut at {cut}: {answer:?}"
        );
    }
}

/// Guards against a request that is read after the shutdown and sent on, and against a reset for a client whose bytes
/// cross the end: the node reads on for a while, and passes over what comes.
#[test]
fn what_comes_behind_the_end_is_passed_over_and_the_end_is_in_order() {
    let front = Front::start();
    let mut clients: Vec<_> = (0..4).map(|_| front.connect()).collect();
    clients[..2]
        .iter_mut()
        .for_each(|client| front.rest(client));
    front.turn(5);
    front.shut_down();
    for (at, client) in clients.iter_mut().enumerate() {
        let (read, in_order) = front.read_to_end(client);
        assert!(
            read.is_empty() && in_order,
            "client {at} is told of the end: {read:?}"
        );
        // The end has come, and the client has asked before it saw that; a second time it gets a reset where the node is
        // not there any more.
        for _ in 0..2 {
            let request = post("behind", "pay", "", "x");
            client
                .write_all(request.as_bytes())
                .expect("it still reads");
            front.turn(5);
        }
        assert!(front.read_to_end(client).1, "client {at}");
    }
    clients.clear();
    front.turn_until("the node ends", || front.serving.is_finished());
    assert!(front.server.requests().is_empty(), "none was sent on");
}

/// A server whose connections come up late: its queue is full, so that the system drops the first word of a dial, which
/// is said again a second later.
struct Late {
    listener: socket2::Socket,
    address: std::net::SocketAddr,
    _first: TcpStream,
}

impl Late {
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

    /// Makes room, and tells what comes on the connection that comes up then; `None`: none does.
    fn comes_up(self) -> Option<Vec<u8>> {
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

/// Long enough for a node to see what has come, on a machine that is not busy; where it is, a crossing is tried again.
const A_WHILE: Duration = Duration::from_millis(200);

/// Guards against an attempt that begins for a client which left while the connection to its server was coming up, where
/// settings allow no attempt to be cancelled.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_a_connection_came_up() {
    let crossed = (0..5).find_map(|_| {
        let late = Late::start();
        let known = list(1, true, &[entry("s-0", late.address, "ready")]);
        let text = settings(600_000).replace("\"cancel\":true", "\"cancel\":false");
        let node = Node::start(&config(Unreachable::start().address, &known, &text));
        let mut client = node.connect();
        client.send(&read("left", "600000m"));
        std::thread::sleep(A_WHILE);
        drop(client);
        std::thread::sleep(A_WHILE);
        late.comes_up()
    });
    assert_eq!(
        crossed.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
        Some(String::new())
    );
}

/// Guards against an effect that happens twice: a repeat is within the window when it is decided on, and its connection
/// comes up after the window's end.
#[test]
fn no_repeat_goes_out_once_its_window_is_over() {
    let crossed = (0..5).find_map(|_| {
        let closes = Server::start(|_| {
            std::thread::sleep(A_WHILE);
            Reply::Close
        });
        let late = Late::start();
        let discovery = Discovery::start();
        let known = list(1, true, &[closes.entry("s-0", "ready")]);
        let text =
            settings(15_000).replace("\"dedup_window_ms\":60000.0", "\"dedup_window_ms\":900.0");
        let node = Node::start(&config(discovery.address, &known, &text));
        let mut watch = discovery.watch();
        let mut client = node.connect();
        client.send(&post("once", "hold", "Idempotency-Key: 5c0f\r\n", "x"));
        until("the first attempt is out", || closes.requests().len() == 1);
        watch.say(&(list(2, false, &[entry("s-1", late.address, "ready")]) + "\n"));
        std::thread::sleep(2 * A_WHILE);
        late.comes_up()
            .map(|bytes| (bytes, client.answer().expect("an answer").status()))
    });
    let (bytes, status) = crossed.expect("the repeat was on its way");
    assert_eq!(
        (String::from_utf8_lossy(&bytes).into_owned(), status),
        (String::new(), 503)
    );
}

/// A server that answers each request with so many bytes of an answer, and resets the connection; `cuts` says how many,
/// one connection after the other.
fn cutting(answer: &'static [u8], cuts: std::ops::RangeInclusive<usize>) -> std::net::SocketAddr {
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

/// Guards against an answer that is passed on as whole though its connection was reset: where it tells no length, a reset
/// is no end, at whichever byte; and against an answer that was whole by its length and is thrown away for a reset behind
/// it. Each request is unsafe to repeat, so each is asked of the server once.
#[test]
fn a_reset_is_no_end_of_an_answer_wherever_it_comes() {
    const ENDLESS: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfive rooms";
    const TOLD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive rooms";
    const CHUNKED: &[u8] =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nfive rooms\r\n0\r\n\r\n";
    for (answer, ends) in [(ENDLESS, false), (TOLD, true), (CHUNKED, true)] {
        let address = cutting(answer, 0..=answer.len());
        let known = list(1, true, &[entry("s-0", address, "ready")]);
        let node = Node::start(&config(
            Unreachable::start().address,
            &known,
            &settings(15_000),
        ));
        for cut in 0..=answer.len() {
            let got = node.ask(&post(&format!("cut-{cut}"), "pay", "", "x"));
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

/// Guards against a node that does not end: silent clients come on and on, far more than have a place, and somebody nearly
/// always waits to be taken when the end of the hand-over is to be looked at.
#[test]
fn a_crowd_that_comes_on_and_on_does_not_hold_up_the_end() {
    let front = Front::start();
    let (address, ends) = (front.address, Arc::new(AtomicBool::new(false)));
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
    front.turn(500);
    let told = Instant::now();
    front
        .phase
        .send_replace(Phase::ShuttingDown(told + Duration::from_millis(500)));
    front.turn_until("the node ends", || front.serving.is_finished());
    let took = told.elapsed();
    ends.store(true, Ordering::SeqCst);
    crowd
        .into_iter()
        .for_each(|thread| thread.join().expect("it ends"));
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Guards against a request that is sent on though its client sent only a part of it, wherever that ends and however: in
/// order, or by a reset.
#[test]
fn a_request_that_is_cut_anywhere_is_sent_nowhere() {
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::with(&[&server], 15_000);
    let whole = post("cut", "pay", "", "five rooms");
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
    assert_eq!(node.ask(&post("last", "pay", "", "x")).status(), 200);
    let seen: Vec<_> = server
        .requests()
        .iter()
        .map(|request| request.first.clone())
        .collect();
    assert_eq!(seen.len(), 1, "{seen:?}");
}

/// The id in what a server has of a request, if it has so much.
fn id_in(came: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(came);
    let (_, rest) = text.split_once("req-id: ")?;
    rest.split_once("\r\n").map(|(id, _)| id.to_owned())
}

/// Guards against an effect that happens twice: a server reads a request up to any of its bytes and resets, and beside it
/// there is another that is well. What the first one had whole the other must never get; the servers' own records judge.
#[test]
fn what_was_written_whole_goes_nowhere_else_wherever_its_server_stops_reading() {
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
            until("it has come whole", || {
                stream
                    .peek(&mut came)
                    .is_ok_and(|bytes| came[..bytes].ends_with(BODY.as_bytes()))
            });
            let whole = stream.peek(&mut came).expect("an open connection");
            let id = id_in(&came[..whole]).expect("an id");
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
    let known = list(
        1,
        true,
        &[entry("s-0", address, "ready"), other.entry("s-1", "ready")],
    );
    // A server that resets twice in a row is left alone for two aims.
    let node = Node::start(&config(
        Unreachable::start().address,
        &known,
        &settings_with_aim(20, 15_000),
    ));
    let (mut had, mut all_cut, mut asked, since) = (Vec::new(), false, 0, Instant::now());
    while !all_cut {
        assert!(
            since.elapsed() < 3 * PATIENCE,
            "{} of its bytes were tried",
            had.len()
        );
        let answer = node.ask(&post(&format!("once-{asked}"), "pay", "", BODY));
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
const PASSED_ON: usize = 4 << 20;

/// A server that answers one request with half of a long answer, and with the rest once it is told to.
fn halting() -> (std::net::SocketAddr, std::sync::mpsc::Sender<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (go_on, goes_on) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        Message::read(&mut std::io::BufReader::new(&stream)).expect("a request");
        let body = vec![b'x'; PASSED_ON];
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {PASSED_ON}\r\n\r\n");
        let half = [head.as_bytes(), &body[..PASSED_ON / 2]].concat();
        // A node that ends while this waits is what is provoked.
        let _ = stream.write_all(&half);
        if goes_on.recv().is_ok() {
            let _ = stream.write_all(&body[PASSED_ON / 2..]);
        }
        let _ = stream.read(&mut [0; 1]);
    });
    (address, go_on)
}

/// What a client has of an answer at the end of its connection, and whether that end is in order.
fn rest_of(client: &mut TcpStream) -> (Vec<u8>, bool) {
    client.set_read_timeout(Some(PATIENCE)).expect("a socket");
    let mut read = Vec::new();
    let in_order = client.read_to_end(&mut read).is_ok();
    (read, in_order)
}

/// Guards an answer of which a part has gone to its client when the node is told to stop: its rest is passed on as long as there
/// is time; where it does not come, the client can tell, and the node does not wait for it beyond its end.
#[test]
fn an_answer_that_is_being_passed_on_at_the_end_is_whole_or_seen_to_be_cut() {
    let played = [true, false].map(|comes| {
        std::thread::spawn(move || {
            let (address, go_on) = halting();
            let known = list(1, true, &[entry("s-0", address, "ready")]);
            let mut node = Node::start(&config(
                Unreachable::start().address,
                &known,
                &settings(15_000),
            ));
            let mut client = TcpStream::connect(node.address).expect("it listens");
            client
                .write_all(read("passed", "15000m").as_bytes())
                .expect("an open connection");
            // A part of it has come: the answer has begun.
            let mut first = vec![0; PASSED_ON / 4];
            client.read_exact(&mut first).expect("a part of the answer");
            let told = Instant::now();
            node.terminate();
            if comes {
                go_on.send(()).expect("it waits");
            }
            let (rest, in_order) = rest_of(&mut client);
            let took = told.elapsed();
            assert_eq!(node.wait().code(), Some(0));
            let end = first
                .windows(4)
                .position(|four| four == b"\r\n\r\n")
                .expect("a head")
                + 4;
            let body = first.len() - end + rest.len();
            assert!(took < KILLED, "{took:?}");
            assert_eq!(
                (body == PASSED_ON, in_order || !comes),
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
const UNREAD: usize = 8 << 20;

/// Guards against a client that holds up the end of a node by not reading its answer, and others whose answers wait for that.
#[test]
fn a_client_that_does_not_read_holds_up_neither_the_end_nor_others() {
    let long = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {UNREAD}\r\n\r\n{}",
        "x".repeat(UNREAD)
    );
    let server = Server::start(move |request| match request.header("req-id") {
        Some("unread") => Reply::Say(long.clone().into_bytes()),
        _ => Reply::Silence,
    });
    let (mut node, _discovery, _watch) = Node::with(&[&server], 15_000);
    let (mut unread, mut other) = (node.connect(), node.connect());
    unread.send(&read("unread", "15000m"));
    other.send(&post("other", "pay", "", "x"));
    until("both are out", || server.requests().len() == 2);
    let told = Instant::now();
    node.terminate();
    assert_eq!(other.answer().expect("a whole answer").status(), 502);
    assert_eq!(node.wait().code(), Some(0));
    assert!(told.elapsed() < KILLED, "{:?}", told.elapsed());
}
