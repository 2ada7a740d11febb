//! Operation of a node: admin commands, metrics, drain, shutdown, and replacement of its process.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use testkit::*;

/// A readiness request of a client.
const UP: &str = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

/// Starts a node with an admin address and these servers.
fn node_with_admin_address(servers: &[&Server]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    (
        Node::start(&config_with_admin_address(&discovery, servers)),
        discovery,
    )
}

fn config_with_admin_address(discovery: &Discovery, servers: &[&Server]) -> String {
    let endpoints = ready_servers(servers.iter().map(|server| server.address));
    let text = config(discovery.address, &endpoints, &settings(60_000));
    text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"")
}

/// A server that holds its responses until the returned flag is set.
fn gated_server() -> (Arc<AtomicBool>, Server) {
    let gate = Arc::<AtomicBool>::default();
    let is_open = Arc::clone(&gate);
    let server = Server::start(move |_| {
        wait_until("the gate is open", || is_open.load(Ordering::SeqCst));
        Reply::ok("yes")
    });
    (gate, server)
}

#[test]
fn known_admin_commands_succeed_and_unknown_ones_get_400() {
    let (node, _discovery) = node_with_admin_address(&[]);
    assert!(node.admin_command("READY\n").starts_with("200"));
    assert!(node.admin_command("READY\r\n").starts_with("200"));
    for unknown in ["ready\n", "HELP\n", "\n", "\0\n", &"x".repeat(100_000)] {
        let mut stream =
            TcpStream::connect(node.admin_address()).expect("connect to the admin server");
        let _ = stream.write_all(unknown.as_bytes());
        let mut status = [0; 4];
        stream
            .read_exact(&mut status)
            .expect("read the status of the response");
        assert_eq!(&status, b"400 ", "{unknown:.20}");
    }
    assert!(node.admin_command("STATS\n").ends_with("\nEOF\n"));
}

/// Some admin clients send nothing, others only part of a command.
#[test]
fn unfinished_admin_connections_do_not_block_others() {
    let (node, _discovery) = node_with_admin_address(&[]);
    let address = node.admin_address();
    let idle: Vec<_> = (0..100)
        .map(|_| TcpStream::connect(address).expect("connect to the admin server"))
        .collect();
    for mut stream in idle.iter().take(10) {
        stream.write_all(b"REA").expect("the connection is open");
    }
    assert!(node.admin_command("READY\n").starts_with("200"));
    assert_eq!(node.request(UP).status(), 200);
}

#[test]
fn metrics_count_each_request_by_its_outcome() {
    let server = Server::start(|request| match request.header("req-id") {
        Some("bad") => Reply::Send(response("404 Not Found", "", "no")),
        _ => Reply::ok("yes"),
    });
    let (node, _discovery) = node_with_admin_address(&[&server]);
    for id in 0..20 {
        assert_eq!(
            node.request(&read_request(&id.to_string(), "15000m"))
                .status(),
            200
        );
    }
    assert_eq!(node.request(&read_request("bad", "15000m")).status(), 404);
    assert_eq!(node.request("nonsense\r\n\r\n").status(), 400);
    assert_eq!(
        (node.metric("served.read"), node.metric("failed.read")),
        (20, 1)
    );
    assert_eq!(
        (node.metric("refused.read"), node.metric("served.hold")),
        (0, 0)
    );
    assert_eq!(node.metric("attempts.read"), server.request_count() as u64);
    assert_eq!(
        (
            node.metric("servers_known"),
            node.metric("servers_excluded")
        ),
        (1, 0)
    );
}

/// One request ends when its client closes the connection, the other when its server responds.
#[test]
fn in_flight_metric_counts_requests_until_they_end() {
    let (gate, server) = gated_server();
    let (node, _discovery) = node_with_admin_address(&[&server]);
    let mut clients: Vec<_> = (0..2).map(|_| node.connect()).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&read_request(&id.to_string(), "60000m"));
    }
    wait_until("both requests are sent to the server", || {
        node.metric("attempts.read") == 2
    });
    assert_eq!(node.metric("in_flight"), 2);
    drop(clients.pop());
    wait_until("the request of the closed client ends", || {
        node.metric("in_flight") == 1
    });
    gate.store(true, Ordering::SeqCst);
    assert_eq!(
        clients[0]
            .read_response()
            .expect("read the response")
            .status(),
        200
    );
    wait_until("all requests have ended", || node.metric("in_flight") == 0);
    assert_eq!(node.metric("served.read"), 1);
}

/// From the DRAIN command on the node reports that it is not ready, closes idle connections, and serves requests that
/// still arrive; UNDRAIN makes it ready again.
#[test]
fn drain_closes_connections_until_undrain() {
    let (gate, server) = gated_server();
    let (node, _discovery) = node_with_admin_address(&[&server]);
    let mut busy = node.connect();
    busy.send(&read_request("busy", "60000m"));
    let mut idle = node.connect();
    idle.send(UP);
    assert_eq!(
        idle.read_response().expect("read the response").status(),
        200
    );
    let mut silent = node.connect();
    wait_until("the request is sent to the server", || {
        node.metric("attempts.read") == 1
    });
    assert!(node.admin_command("DRAIN\n").starts_with("200"));
    let drain_start = Instant::now();
    assert_ne!(node.request(UP).status(), 200);
    assert!(
        node.admin_command("READY\n").starts_with("200"),
        "READY stays 200: the process still serves requests"
    );
    assert!(
        idle.is_closed() && silent.is_closed(),
        "connections without a request in flight are closed"
    );
    assert!(
        drain_start.elapsed() < Duration::from_millis(1_900),
        "idle connections are closed within 1.9 s, took {:?}",
        drain_start.elapsed()
    );
    gate.store(true, Ordering::SeqCst);
    let served = busy.read_response().expect("read the response");
    assert_eq!(
        (served.status(), served.header("connection")),
        (200, Some("close"))
    );
    let late = node.request(&read_request("late", "60000m"));
    assert_eq!(
        (late.status(), late.header("connection")),
        (200, Some("close")),
        "a new client is served"
    );
    assert!(node.admin_command("UNDRAIN\n").starts_with("200"));
    assert_eq!(node.request(UP).status(), 200);
    let kept = node.request(&read_request("kept", "60000m"));
    assert_eq!((kept.status(), kept.header("connection")), (200, None));
}

/// While one process of a node replaces another, each request gets a response, on new and on kept connections, and the
/// replaced process exits by itself.
#[test]
fn process_replacement_rejects_no_client() {
    let server = Server::start(|_| Reply::ok("yes")).without_recording();
    let discovery = Discovery::start();
    let text = config_with_admin_address(&discovery, &[&server]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the bound address");
    let mut node = Node::start_on(&text, &listener);
    let stop = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                let (mut sent, mut kept) = (0, None);
                while !stop.load(Ordering::SeqCst) {
                    sent += 1;
                    let mut client = kept.take().unwrap_or_else(|| Client::connect(address));
                    client.send(&read_request(&format!("{number}-{sent}"), "15000m"));
                    let response = client.read_response().expect("read the response");
                    assert!(
                        [200, 503].contains(&response.status()),
                        "expected status 200 or 503, got `{}`",
                        response.start_line
                    );
                    let closes = response.header("connection") == Some("close");
                    kept = Some(client).filter(|_| !closes && number % 2 == 0);
                }
                sent
            })
        })
        .collect();
    for _ in 0..2 {
        let next = Node::start_on(&text, &listener);
        wait_until("the next process is ready", || {
            next.admin_command("READY\n").starts_with("200")
        });
        node.terminate();
        assert_eq!(node.wait().code(), Some(0));
        node = next;
    }
    stop.store(true, Ordering::SeqCst);
    let sent: usize = clients
        .into_iter()
        .map(|client| {
            client
                .join()
                .expect("the client got a response to each request")
        })
        .sum();
    assert!(
        sent > 100,
        "the clients sent more than 100 requests, got {sent}"
    );
}

#[test]
fn descriptor_other_than_a_listening_socket_exits_with_1() {
    let config_file = write_temp_file(&config_with_admin_address(&Discovery::start(), &[]));
    for invalid in ["99", "1", "three", "-1"] {
        let output = program_command()
            .env("ROUTER_CONFIG", &config_file)
            .env("ROUTER_LISTEN_FD", invalid)
            .output();
        let output = output.expect("run the program");
        let log = String::from_utf8(output.stderr).expect("the log is UTF-8");
        assert_eq!(
            (output.status.code(), log.lines().count()),
            (Some(1), 1),
            "{invalid}: {log}"
        );
    }
    std::fs::remove_file(config_file).expect("remove the configuration file");
}

/// A process that shuts down must report that it is not ready, or a front proxy keeps sending to it; draining servers must
/// appear in a metric.
#[test]
fn ready_and_metrics_reflect_shutdown_and_draining_servers() {
    let (gate, server) = gated_server();
    let discovery = Discovery::start();
    let drained = Server::start(|_| Reply::ok("no"));
    let entries = [
        server.endpoint_entry("s-0", "ready"),
        drained.endpoint_entry("s-1", "draining"),
    ];
    let text = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(60_000),
    );
    let mut node =
        Node::start(&text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\""));
    assert_eq!(
        (
            node.metric("servers_known"),
            node.metric("servers_excluded")
        ),
        (2, 1)
    );
    let mut client = node.connect();
    client.send(&read_request("a", "60000m"));
    wait_until("the request is sent to the server", || {
        node.metric("attempts.read") == 1
    });
    node.terminate();
    wait_until("READY answers 400 during the shutdown", || {
        node.admin_command("READY\n").starts_with("400")
    });
    gate.store(true, Ordering::SeqCst);
    assert_eq!(
        client.read_response().expect("read the response").status(),
        200
    );
    assert_eq!(node.wait().code(), Some(0));
}
