//! The node as operators run it: their calls, a drain, and one process that replaces another.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use testkit::*;

const UP: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// A node with an address for operators.
fn operated(servers: &[&Server]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    (Node::start(&with_control(&discovery, servers)), discovery)
}

fn with_control(discovery: &Discovery, servers: &[&Server]) -> String {
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(i, server)| server.entry(&format!("s-{i}"), "ready"))
        .collect();
    let text = config(
        discovery.address,
        &list(1, true, &entries),
        &settings(60_000),
    );
    text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"")
}

/// A server that answers once it may.
fn gated() -> (Arc<AtomicBool>, Server) {
    let go = Arc::<AtomicBool>::default();
    let gate = Arc::clone(&go);
    let server = Server::start(move |_| {
        until("it may answer", || gate.load(Ordering::SeqCst));
        Reply::ok("yes")
    });
    (go, server)
}

#[test]
fn each_call_has_one_answer_and_nonsense_is_told_so() {
    let (node, _discovery) = operated(&[]);
    assert!(node.call("READY\n").starts_with("200"));
    assert!(node.call("READY\r\n").starts_with("200"));
    for wrong in ["ready\n", "HELP\n", "\n", "\0\n", &"x".repeat(100_000)] {
        let mut stream = TcpStream::connect(node.control()).expect("it listens");
        let _ = stream.write_all(wrong.as_bytes());
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).expect("an answer");
        assert_eq!(&answer, b"400 ", "{wrong:.20}");
    }
    assert!(node.call("STATS\n").ends_with("\nEOF\n"));
}

/// Guards against callers that hold up others: some say nothing, some take no answer.
#[test]
fn callers_that_finish_nothing_hold_up_nobody() {
    let (node, _discovery) = operated(&[]);
    let address = node.control();
    let idle: Vec<_> = (0..100)
        .map(|_| TcpStream::connect(address).expect("it listens"))
        .collect();
    for mut stream in idle.iter().take(10) {
        stream.write_all(b"REA").expect("an open connection");
    }
    assert!(node.call("READY\n").starts_with("200"));
    assert_eq!(node.ask(UP).status(), 200);
}

#[test]
fn the_figures_say_what_became_of_each_request() {
    let server = Server::start(|request| match request.header("req-id") {
        Some("bad") => Reply::Say(answer("404 Not Found", "", "no")),
        _ => Reply::ok("yes"),
    });
    let (node, _discovery) = operated(&[&server]);
    for at in 0..20 {
        assert_eq!(node.ask(&read(&at.to_string(), "15000m")).status(), 200);
    }
    assert_eq!(node.ask(&read("bad", "15000m")).status(), 404);
    assert_eq!(node.ask("nonsense\r\n\r\n").status(), 400);
    assert_eq!(
        (node.figure("served.read"), node.figure("failed.read")),
        (20, 1)
    );
    assert_eq!(
        (node.figure("refused.read"), node.figure("served.hold")),
        (0, 0)
    );
    assert_eq!(node.figure("attempts.read"), server.count() as u64);
    assert_eq!(
        (
            node.figure("servers_known"),
            node.figure("servers_excluded")
        ),
        (1, 0)
    );
}

/// Guards against figures that lose sight of a request whose client has left, or whose server is silent.
#[test]
fn what_is_open_is_told_until_it_ends() {
    let (go, server) = gated();
    let (node, _discovery) = operated(&[&server]);
    let mut clients: Vec<_> = (0..2).map(|_| node.connect()).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        client.send(&read(&at.to_string(), "60000m"));
    }
    until("both are out", || node.figure("attempts.read") == 2);
    assert_eq!(node.figure("in_flight"), 2);
    drop(clients.pop());
    until("a client's end is seen", || node.figure("in_flight") == 1);
    go.store(true, Ordering::SeqCst);
    assert_eq!(clients[0].answer().expect("an answer").status(), 200);
    until("all have ended", || node.figure("in_flight") == 0);
    assert_eq!(node.figure("served.read"), 1);
}

/// Guards the course of a drain: a no at once, service for those who still come, an end to every connection that waits
/// for nothing, and a yes again.
#[test]
fn a_drain_sends_clients_away_and_takes_them_back() {
    let (go, server) = gated();
    let (node, _discovery) = operated(&[&server]);
    let mut busy = node.connect();
    busy.send(&read("busy", "60000m"));
    let mut idle = node.connect();
    idle.send(UP);
    assert_eq!(idle.answer().expect("an answer").status(), 200);
    let mut silent = node.connect();
    until("its request is out", || node.figure("attempts.read") == 1);
    assert!(node.call("DRAIN\n").starts_with("200"));
    let start = Instant::now();
    assert_ne!(node.ask(UP).status(), 200);
    assert!(
        node.call("READY\n").starts_with("200"),
        "the process serves"
    );
    assert!(
        idle.is_closed() && silent.is_closed(),
        "they wait for nothing"
    );
    assert!(
        start.elapsed() < Duration::from_millis(1_900),
        "{:?}",
        start.elapsed()
    );
    go.store(true, Ordering::SeqCst);
    let served = busy.answer().expect("an answer");
    assert_eq!(
        (served.status(), served.header("connection")),
        (200, Some("close"))
    );
    let late = node.ask(&read("late", "60000m"));
    assert_eq!(
        (late.status(), late.header("connection")),
        (200, Some("close")),
        "whoever comes is served"
    );
    assert!(node.call("UNDRAIN\n").starts_with("200"));
    assert_eq!(node.ask(UP).status(), 200);
    let kept = node.ask(&read("kept", "60000m"));
    assert_eq!((kept.status(), kept.header("connection")), (200, None));
}

/// Guards against clients that find nobody while one process of a node replaces another: each request has its answer, on
/// connections that are new or kept, and the first process ends by itself.
#[test]
fn a_process_is_replaced_with_nobody_turned_away() {
    let server = Server::start(|_| Reply::ok("yes")).quiet();
    let discovery = Discovery::start();
    let text = with_control(&discovery, &[&server]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut node = Node::start_on(&text, &listener);
    let stop = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                let (mut asked, mut kept) = (0, None);
                while !stop.load(Ordering::SeqCst) {
                    asked += 1;
                    let mut client = kept.take().unwrap_or_else(|| Client::connect(address));
                    client.send(&read(&format!("{number}-{asked}"), "15000m"));
                    let answer = client.answer().expect("an answer");
                    assert!([200, 503].contains(&answer.status()), "{}", answer.first);
                    let ends = answer.header("connection") == Some("close");
                    kept = Some(client).filter(|_| !ends && number % 2 == 0);
                }
                asked
            })
        })
        .collect();
    for _ in 0..2 {
        let next = Node::start_on(&text, &listener);
        until("it is ready", || next.call("READY\n").starts_with("200"));
        node.terminate();
        assert_eq!(node.wait().code(), Some(0));
        node = next;
    }
    stop.store(true, Ordering::SeqCst);
    let asked: usize = clients
        .into_iter()
        .map(|client| client.join().expect("all were answered"))
        .sum();
    assert!(asked > 100, "{asked}");
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_an_error() {
    let path = write_config(&with_control(&Discovery::start(), &[]));
    for wrong in ["99", "1", "three", "-1"] {
        let output = program()
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_LISTEN_FD", wrong)
            .output();
        let output = output.expect("it starts");
        let log = String::from_utf8(output.stderr).expect("text");
        assert_eq!(
            (output.status.code(), log.lines().count()),
            (Some(1), 1),
            "{wrong}: {log}"
        );
    }
    std::fs::remove_file(path).expect("a file");
}

/// Guards against a front that is told of a process which is on its way out, and against servers that drain unseen.
#[test]
fn readiness_and_drained_servers_are_told_as_they_are() {
    let (go, server) = gated();
    let discovery = Discovery::start();
    let drained = Server::start(|_| Reply::ok("no"));
    let entries = [
        server.entry("s-0", "ready"),
        drained.entry("s-1", "draining"),
    ];
    let text = config(
        discovery.address,
        &list(1, true, &entries),
        &settings(60_000),
    );
    let mut node =
        Node::start(&text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\""));
    assert_eq!(
        (
            node.figure("servers_known"),
            node.figure("servers_excluded")
        ),
        (2, 1)
    );
    let mut client = node.connect();
    client.send(&read("a", "60000m"));
    until("it is out", || node.figure("attempts.read") == 1);
    node.terminate();
    until("it is on its way out", || {
        node.call("READY\n").starts_with("400")
    });
    go.store(true, Ordering::SeqCst);
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(node.wait().code(), Some(0));
}
