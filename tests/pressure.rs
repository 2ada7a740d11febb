//! Clients that use up a node's descriptors or memory, and many processes that start at once: limits hold, and other
//! clients are served.

#![allow(
    clippy::needless_for_each,
    reason = "short loop bodies stand at the end of their iterator chain"
)]

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use testkit::*;

fn open_descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.process_id()))
        .expect("list the open descriptors in /proc")
        .count()
}

/// Guards against idle clients that occupy the descriptors that a node needs for discovery, and against exceeding the
/// limit of descriptors. Discovery does not respond at first; once it does, the node uses its list.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_servers() {
    const LIMIT: usize = 64;
    let server = Server::start(|_| Reply::ok("yes"));
    let discovery = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = discovery.local_addr().expect("read the local address");
    let config_text = config(address, &endpoint_list(1, true, &[]), &settings(15_000))
        .replace("1024", &LIMIT.to_string());
    let node = Node::start(&config_text);
    // Discovery accepts no connection yet. Four times as many clients as descriptors connect and send nothing.
    let mut idle: Vec<_> = (0..4 * LIMIT)
        .filter_map(|_| TcpStream::connect(node.address).ok())
        .collect();
    let mut max_descriptors = 0;
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(1) {
        max_descriptors = max_descriptors.max(open_descriptors(&node));
        std::thread::sleep(Duration::from_millis(5));
    }
    let line = endpoint_list(2, true, &[server.endpoint_entry("s-0", "ready")]) + "\n";
    let accept_loop = std::thread::spawn(move || {
        let mut watches = Vec::new();
        while let Ok((mut stream, _)) = discovery.accept() {
            let Some(_request) = Message::read(&mut BufReader::new(&stream)) else {
                continue;
            };
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            // The write may fail: connections that the node has abandoned precede its current one in the backlog.
            let _ = stream.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes());
            watches.push(stream);
        }
    });
    wait_until("a request is served", || {
        max_descriptors = max_descriptors.max(open_descriptors(&node));
        let mut client = node.connect();
        client.try_send(&read_request(
            &format!("{}", since.elapsed().as_micros()),
            "15000m",
        )) && client
            .read_response()
            .is_some_and(|response| response.status() == 200)
    });
    assert!(
        max_descriptors <= LIMIT,
        "{max_descriptors} open descriptors, limit {LIMIT}"
    );
    idle.clear();
    drop(accept_loop); // The thread ends with the process.
}

/// Guards against a node that exits, spins or stops accepting when the system provides fewer descriptors than
/// configured. Clients use up all descriptors and then disconnect; after that, the next client is served.
#[test]
fn node_out_of_descriptors_serves_again_once_some_are_free() {
    const DESCRIPTOR_LIMIT: usize = 48;
    let server = Server::start(|_| Reply::ok("yes"));
    let discovery = Discovery::start();
    let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
    let node = Node::start_with_descriptor_limit(
        &config(discovery.address, &known, &settings(15_000)),
        DESCRIPTOR_LIMIT,
    );
    let mut idle: Vec<_> = (0..3 * DESCRIPTOR_LIMIT)
        .map(|_| TcpStream::connect(node.address).expect("connect to the node or its backlog"))
        .collect();
    wait_until("the node fails to accept a connection", || {
        node.log()
            .iter()
            .any(|line| line.contains("cannot accept a connection"))
    });
    // The node waits between two attempts to accept; a node that spins would use all of the CPU time.
    let read_stat = || {
        std::fs::read_to_string(format!("/proc/{}/stat", node.process_id()))
            .expect("read the stat file in /proc")
    };
    let cpu_ticks = |stat: &str| -> u64 {
        let fields: Vec<_> = stat
            .rsplit_once(')')
            .expect("the process name in the stat file ends with a parenthesis")
            .1
            .split_whitespace()
            .collect();
        fields[11]
            .parse::<u64>()
            .expect("parse the CPU time in ticks")
            + fields[12]
                .parse::<u64>()
                .expect("parse the CPU time in ticks")
    };
    let ticks_before = cpu_ticks(&read_stat());
    std::thread::sleep(Duration::from_millis(500));
    assert!(
        cpu_ticks(&read_stat()) - ticks_before < 25,
        "expected less than 25 of 50 CPU ticks, used {}",
        cpu_ticks(&read_stat()) - ticks_before
    );
    idle.clear();
    wait_until("the node serves again", || {
        let mut client = node.connect();
        client.try_send(&read_request("again", "15000m"))
            && client
                .read_response()
                .is_some_and(|response| response.status() == 200)
    });
}

/// Guards against readiness that waits for discovery: many processes start at once while discovery does not respond.
#[test]
fn processes_are_ready_at_once_without_discovery() {
    let silent_discovery = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let server = Server::start(|_| Reply::ok("yes"));
    let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
    let config_text = config(
        silent_discovery
            .local_addr()
            .expect("read the local address"),
        &known,
        &settings(15_000),
    );
    let since = Instant::now();
    let starts: Vec<_> = (0..20)
        .map(|_| {
            let config_text = config_text.clone();
            std::thread::spawn(move || {
                let node = Node::start(&config_text);
                (
                    node.request("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status(),
                    node,
                )
            })
        })
        .collect();
    let ready_count = starts
        .into_iter()
        .map(|start| start.join().expect("join the starting thread"))
        .filter(|start| start.0 == 200)
        .count();
    assert_eq!(ready_count, 20, "number of ready processes");
    assert!(
        since.elapsed() < Duration::from_secs(10),
        "starts took {:?}",
        since.elapsed()
    );
}

/// Guards against memory that grows with requests or with responses that clients do not read, and against failing to
/// serve other clients meanwhile, for example because the node still sends the requests of disconnected clients.
#[test]
fn floods_and_slow_clients_use_bounded_memory() {
    const MAX_RESIDENT_KIB: usize = 64 * 1024;
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let flood = read_request("flood", "15000m").repeat(50);
    for index in 0..24 {
        let (address, stop) = (node.address, Arc::clone(&stop));
        // No client reads. One third send requests, one third send invalid bytes, and one third send one byte at a
        // time.
        let bytes = match index % 3 {
            0 => flood.clone().into_bytes(),
            1 => vec![b'x'; 64 * 1024],
            _ => b"G".to_vec(),
        };
        clients.push(std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok(mut stream) = TcpStream::connect(address) else {
                    continue;
                };
                let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
                while !stop.load(Ordering::SeqCst) && stream.write_all(&bytes).is_ok() {
                    if bytes.len() == 1 {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
            }
        }));
    }
    let mut max_resident_kib = 0;
    for n in 0..100 {
        let response = node.request_until_accepted(&post_request(
            &format!("fair-{n}"),
            "hold",
            "Idempotency-Key: 5c0f\r\n",
            "x",
        ));
        assert_eq!(response.status(), 200, "request {n}");
        max_resident_kib = max_resident_kib.max(node.memory_kib(MemoryKind::Resident));
    }
    stop.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("join the client thread"));
    assert!(
        max_resident_kib < MAX_RESIDENT_KIB,
        "resident memory reached {max_resident_kib} KiB"
    );
}
