//! Clients send requests that may not be repeated, some of them long. Judged: no request runs more than once, and none
//! that has run is refused (503 or 429 tells its client that trying again is harmless).
//!
//! Part one sends requests of three lengths, one after the other. Part two sends many long requests at a time, and
//! meanwhile others that are little longer than 64 KiB.

#[path = "../common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

const SERVERS: usize = 12;
const MEMORY_MB: usize = 32;
const KIB: usize = 1024;
/// Bodies without the disruption: within the 64 KiB of the protocol page.
const SHORT: usize = 40 * KIB;
/// Bodies of part one, and how many requests have each.
const LENGTHS: [usize; 3] = [200 * KIB, 256 * KIB, 300 * KIB];
const PER_LENGTH: usize = 10;
/// Part two: requests that are in work at a time, and their bodies.
const CROWD: usize = 50;
const CROWD_LENGTH: usize = 250 * KIB;
/// Part two: requests that come meanwhile, and their bodies.
const OTHERS: usize = 20;
const OTHER_LENGTH: usize = 70_000;
const DEADLINE: Duration = Duration::from_millis(4_800);
/// How long a client waits: its deadline, and the half second after which a request is lost.
const PATIENCE: Duration = Duration::from_millis(5_350);
/// Work of a request, and of one of the crowd.
const WORK: Duration = Duration::from_millis(60);
const CROWD_WORK: Duration = Duration::from_millis(1_200);

/// The runs of each request: the servers that had its whole body.
type Runs = Arc<Mutex<BTreeMap<String, Vec<usize>>>>;

/// A sound server: it runs a request when its last byte has come, and answers it.
fn start_server(number: usize, runs: &Runs, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
    let address = listener.local_addr().expect("a server has an address");
    let (runs, record) = (Arc::clone(runs), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, record) = (Arc::clone(&runs), record.clone());
            thread::spawn(move || {
                let mut writer = stream.try_clone().ok()?;
                let mut reader = BufReader::new(stream);
                while let Some(head) = read_head(&mut reader) {
                    let body = read_body(&mut reader, &head)?;
                    let id = head.header("req-id").to_owned();
                    record.line(format!("server s-{number}: ran {id} ({} bytes)", body.len()));
                    runs.lock().unwrap().entry(id.clone()).or_default().push(number);
                    thread::sleep(if id.starts_with("crowd") { CROWD_WORK } else { WORK });
                    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()).ok()?;
                    if head.closes() {
                        break;
                    }
                }
                Some(())
            });
        }
    });
    address
}

fn send(client: &mut Client, id: &str, length: usize) -> Result<u16, &'static str> {
    let head = format!(
        "POST /api?key=k{id} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: hold-place\r\n\
         Req-Deadline: {}m\r\nContent-Length: {length}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let mut message = head.into_bytes();
    message.resize(message.len() + length, b'x');
    Ok(client.send(&message)?.status)
}

/// Judges one request; returns whether it broke the rule.
fn judge(record: &Record, runs: &Runs, id: &str, length: usize, answer: Result<u16, &str>) -> bool {
    let ran = runs.lock().unwrap().get(id).map_or(0, Vec::len);
    let is_refused = matches!(answer, Ok(429 | 503));
    let is_broken = ran > 1 || (is_refused && ran > 0);
    record.line(format!(
        "client: {id} ({length} bytes) answered {answer:?}, run {ran} times{}",
        if is_broken { ": BROKEN" } else { "" }
    ));
    is_broken
}

fn main() {
    let record = Record::new();
    let runs = Runs::default();
    let entries: Vec<String> = (0..SERVERS)
        .map(|number| {
            let address = start_server(number, &runs, &record);
            entry(&format!("s-{number}"), address, "ready")
        })
        .collect();
    let discovery = Discovery::start(entries.clone());
    let settings = settings(&hold_place("fragile"));
    let trouble = has_trouble();
    let length_of = |length: usize| if trouble { length } else { SHORT };
    let mut broken = [0, 0];

    let node = Node::start(discovery.address, &entries, &settings, MEMORY_MB, 1024);
    let address = node.address;
    let mut client = Client::new(address, PATIENCE);
    for length in LENGTHS {
        for number in 0..PER_LENGTH {
            let id = format!("kib{}-{number:02}", length / KIB);
            let answer = send(&mut client, &id, length_of(length));
            broken[0] += usize::from(judge(&record, &runs, &id, length_of(length), answer));
        }
    }
    record.line(format!("part one: requests that broke the rule: {}", broken[0]));

    record.line(format!("memory of the first node, KiB: {:?}", node.memory_kib()));
    drop(node);
    let node = Node::start(discovery.address, &entries, &settings, MEMORY_MB, 1024);
    let address = node.address;
    let peak = Arc::new(AtomicUsize::new(0));
    let sampler = {
        let (peak, pid) = (Arc::clone(&peak), node.process.0.id());
        thread::spawn(move || while let Some(now) = memory_of(pid) {
            peak.fetch_max(now, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(5));
        })
    };
    let start_client = |id: String, length: usize| {
        thread::spawn(move || {
            let answer = send(&mut Client::new(address, PATIENCE), &id, length);
            (id, length, answer)
        })
    };
    let mut clients = Vec::new();
    for number in 0..CROWD {
        clients.push(start_client(format!("crowd-{number:02}"), length_of(CROWD_LENGTH)));
    }
    thread::sleep(Duration::from_millis(400));
    for number in 0..OTHERS {
        clients.push(start_client(format!("other-{number:02}"), length_of(OTHER_LENGTH)));
        thread::sleep(Duration::from_millis(10));
    }
    for client in clients {
        let (id, length, answer) = client.join().expect("a client ends");
        broken[1] += usize::from(judge(&record, &runs, &id, length, answer));
    }
    record.line(format!("part two: requests that broke the rule: {}", broken[1]));
    drop(node);
    sampler.join().expect("the sampler ends");
    let peak = peak.load(Ordering::Relaxed);
    record.line(format!("peak memory of the second node: {peak} KiB of {}", MEMORY_MB * 1024));
    record.print();
    if peak > MEMORY_MB * 1024 {
        cannot_run("the platform would have killed the node for memory");
    }
    if runs.lock().unwrap().is_empty() {
        cannot_run("no request ran");
    }
    std::process::exit(i32::from(broken != [0, 0]));
}
