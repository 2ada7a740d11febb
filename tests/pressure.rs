//! Clients that exhaust a node's descriptors or memory, and many processes that start at once: limits hold, and others are
//! served.

#![allow(
    clippy::needless_for_each,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use testkit::*;

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.process_id()))
        .expect("it runs")
        .count()
}

fn resident_kb(node: &Node) -> usize {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", node.process_id())).expect("it runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("a figure");
    line.trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number")
}

/// Idle clients must not take the descriptors that a node needs for discovery, and the node may not exceed its limit
/// meanwhile: discovery is unreachable, comes back, and is heard.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_servers() {
    const LIMIT: usize = 64;
    let server = Server::start(|_| Reply::ok("yes"));
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = discovery.local_addr().expect("an address");
    let text = config(address, &endpoint_list(1, true, &[]), &settings(15_000))
        .replace("1024", &LIMIT.to_string());
    let node = Node::start(&text);
    // Nobody takes the node's calls; four times as many clients come as it may have descriptors, and say nothing.
    let mut idle: Vec<_> = (0..4 * LIMIT)
        .filter_map(|_| TcpStream::connect(node.address).ok())
        .collect();
    let mut most = 0;
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(1) {
        most = most.max(descriptors(&node));
        std::thread::sleep(Duration::from_millis(5));
    }
    let said = endpoint_list(2, true, &[server.endpoint_entry("s-0", "ready")]) + "\n";
    let taking = std::thread::spawn(move || {
        let mut held = Vec::new();
        while let Ok((mut stream, _)) = discovery.accept() {
            let Some(_call) = Message::read(&mut BufReader::new(&stream)) else {
                continue;
            };
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            // Calls that were given up meanwhile lie before the one that the node waits for.
            let _ = stream.write_all(format!("{head}{:x}\r\n{said}\r\n", said.len()).as_bytes());
            held.push(stream);
        }
    });
    wait_until("a request is served", || {
        most = most.max(descriptors(&node));
        let mut client = node.connect();
        client.try_send(&read_request(
            &format!("{}", since.elapsed().as_micros()),
            "15000m",
        )) && client
            .read_response()
            .is_some_and(|answer| answer.status() == 200)
    });
    assert!(most <= LIMIT, "{most} of {LIMIT} descriptors");
    idle.clear();
    drop(taking); // It ends with the process.
}

/// A node may not exit, spin or stop accepting once the system provides no more descriptors, fewer than it was configured
/// for: clients take them all, then leave, and the next one is served.
#[test]
fn node_out_of_descriptors_serves_again_once_some_are_free() {
    const GIVEN: usize = 48;
    let server = Server::start(|_| Reply::ok("yes"));
    let discovery = Discovery::start();
    let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
    let node = Node::start_with_descriptor_limit(
        &config(discovery.address, &known, &settings(15_000)),
        GIVEN,
    );
    let mut idle: Vec<_> = (0..3 * GIVEN)
        .map(|_| TcpStream::connect(node.address).expect("a queue"))
        .collect();
    wait_until("it finds none", || {
        node.log()
            .iter()
            .any(|line| line.contains("cannot accept a connection"))
    });
    // It waits between two tries: a node that spins would be at it all the time.
    let spent =
        || std::fs::read_to_string(format!("/proc/{}/stat", node.process_id())).expect("it runs");
    let ticks = |stat: &str| -> u64 {
        let fields: Vec<_> = stat
            .rsplit_once(')')
            .expect("a name")
            .1
            .split_whitespace()
            .collect();
        fields[11].parse::<u64>().expect("ticks") + fields[12].parse::<u64>().expect("ticks")
    };
    let before = ticks(&spent());
    std::thread::sleep(Duration::from_millis(500));
    assert!(
        ticks(&spent()) - before < 25,
        "{} of 50 ticks",
        ticks(&spent()) - before
    );
    idle.clear();
    wait_until("it serves again", || {
        let mut client = node.connect();
        client.try_send(&read_request("again", "15000m"))
            && client
                .read_response()
                .is_some_and(|answer| answer.status() == 200)
    });
}

/// Readiness must not wait for discovery: many processes start at once, while it answers none.
#[test]
fn processes_are_ready_at_once_without_discovery() {
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a port");
    let server = Server::start(|_| Reply::ok("yes"));
    let known = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
    let text = config(
        nobody.local_addr().expect("an address"),
        &known,
        &settings(15_000),
    );
    let since = Instant::now();
    let started: Vec<_> = (0..20)
        .map(|_| {
            let text = text.clone();
            std::thread::spawn(move || {
                let node = Node::start(&text);
                (
                    node.request("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status(),
                    node,
                )
            })
        })
        .collect();
    let up = started
        .into_iter()
        .map(|node| node.join().expect("it starts"))
        .filter(|up| up.0 == 200)
        .count();
    assert_eq!(up, 20);
    assert!(
        since.elapsed() < Duration::from_secs(10),
        "{:?}",
        since.elapsed()
    );
}

/// Memory must not grow with what clients send and do not read, their requests must not be sent once they have left, and
/// other clients are served meanwhile.
#[test]
fn floods_and_slow_clients_use_bounded_memory() {
    const MOST_KB: usize = 64 * 1024;
    let server = Server::start(|_| Reply::ok("yes"));
    let (node, _discovery, _watch) = Node::start_with_servers(&[&server], 15_000);
    let ends = Arc::new(AtomicBool::new(false));
    let mut peers = Vec::new();
    let flood = read_request("flood", "15000m").repeat(50);
    for at in 0..24 {
        let (address, ends) = (node.address, Arc::clone(&ends));
        // A third writes requests and reads nothing, a third what is no request, a third one byte at a time.
        let piece = match at % 3 {
            0 => flood.clone().into_bytes(),
            1 => vec![b'x'; 64 * 1024],
            _ => b"G".to_vec(),
        };
        peers.push(std::thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                let Ok(mut stream) = TcpStream::connect(address) else {
                    continue;
                };
                let _ = stream.set_write_timeout(Some(Duration::from_millis(100)));
                while !ends.load(Ordering::SeqCst) && stream.write_all(&piece).is_ok() {
                    if piece.len() == 1 {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                }
            }
        }));
    }
    let mut most = 0;
    for n in 0..100 {
        let answer = node.request_until_accepted(&post_request(
            &format!("fair-{n}"),
            "hold",
            "Idempotency-Key: 5c0f\r\n",
            "x",
        ));
        assert_eq!(answer.status(), 200, "request {n}");
        most = most.max(resident_kb(&node));
    }
    ends.store(true, Ordering::SeqCst);
    peers
        .into_iter()
        .for_each(|peer| peer.join().expect("it ends"));
    assert!(most < MOST_KB, "{most} kB");
}
