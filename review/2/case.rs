//! Bad clients send bodies of 60 MB, two hundred at once, while usual clients send short requests. The stand-in
//! for the platform kills the node if its memory exceeds `memory_mb`, as the page on deployment says. Judged: the node is
//! not killed, and does not end by itself. What the usual requests meet is recorded.

#[path = "../common.rs"]
mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const SERVERS: usize = 12;
const MEMORY_MB: usize = 32;
/// The limit on the node's descriptors, which leaves clients 213 for requests, a third.
const DESCRIPTORS: usize = 640;
const BAD_CLIENTS: usize = 200;
const BAD_BODY: usize = 60_000_000;
const CHUNK: usize = 64 * 1024;
/// Usual clients, each with one request at a time.
const USUAL_CLIENTS: usize = 8;
const DEADLINE: Duration = Duration::from_millis(2_400);
const WORK: Duration = Duration::from_millis(120);
const DURATION: Duration = Duration::from_secs(8);

/// A sound server: it reads requests at full speed, works and answers.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
    let address = listener.local_addr().expect("a server has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut writer = stream.try_clone().ok()?;
                let mut reader = BufReader::with_capacity(CHUNK, stream);
                while let Some(head) = read_head(&mut reader) {
                    skip_body(&mut reader, &head)?;
                    thread::sleep(WORK);
                    let id = head.header("req-id");
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

/// A bad client: a chunked body of 60 MB at full speed. It reads what it is sent meanwhile.
fn bad_client(node: SocketAddr, number: usize, written: &AtomicUsize) -> Option<()> {
    let mut stream = TcpStream::connect(node).ok()?;
    stream.set_write_timeout(Some(DURATION)).ok()?;
    let mut reader = stream.try_clone().ok()?;
    thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
    let head = format!(
        "POST /api?key=bad{number} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: bad-{number:03}\r\n\
         Req-Kind: hold-place\r\nReq-Deadline: {}m\r\nIdempotency-Key: bad-{number:03}\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        DEADLINE.as_millis()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut left = BAD_BODY;
    while left > 0 {
        let length = left.min(CHUNK);
        let mut chunk = format!("{length:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + length, b'x');
        chunk.extend_from_slice(b"\r\n");
        stream.write_all(&chunk).ok()?;
        written.fetch_add(length, Ordering::Relaxed);
        left -= length;
    }
    stream.write_all(b"0\r\n\r\n").ok()
}

fn usual_request(client: &mut Client, id: &str) -> Result<u16, &'static str> {
    let body = "{\"room\":7}";
    let request = format!(
        "POST /api?key=k{id} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: hold-place\r\n\
         Req-Deadline: {}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    Ok(client.send(request.as_bytes())?.status)
}

fn main() {
    let record = Record::new();
    let entries: Vec<String> = (0..SERVERS)
        .map(|number| entry(&format!("s-{number}"), start_server(), "ready"))
        .collect();
    let discovery = Discovery::start(entries.clone());
    let settings = settings(&hold_place("dedup"));
    let mut node = Node::start(discovery.address, &entries, &settings, MEMORY_MB, DESCRIPTORS);
    let address = node.address;
    record.line(format!("the node is ready, memory {:?} KiB, limit {} KiB", node.memory_kib(), MEMORY_MB * 1024));
    let stop = Arc::new(AtomicBool::new(false));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|client| {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            thread::spawn(move || {
                let (mut served, mut other) = (0, 0);
                let mut connection = Client::new(address, DEADLINE + Duration::from_millis(550));
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("usual-{client}-{number:03}");
                    match usual_request(&mut connection, &id) {
                        Ok(200) => served += 1,
                        answer => {
                            other += 1;
                            if other <= 3 {
                                record.line(format!("client: {id} answered {answer:?}"));
                            }
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                }
                (served, other)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let written = Arc::new(AtomicUsize::new(0));
    if has_trouble() {
        record.line(format!("{BAD_CLIENTS} bad clients begin to send {BAD_BODY} bytes each"));
        for number in 0..BAD_CLIENTS {
            let written = Arc::clone(&written);
            thread::spawn(move || bad_client(address, number, &written));
        }
    }
    let end = Instant::now() + DURATION;
    let (mut killed, mut ended) = (false, false);
    let mut peak = 0;
    while Instant::now() < end && !killed && !ended {
        if let Ok(Some(status)) = node.process.0.try_wait() {
            ended = true;
            record.line(format!("the node ended by itself: {status}"));
        } else if let Some(resident) = node.memory_kib() {
            peak = peak.max(resident);
            if resident > MEMORY_MB * 1024 {
                killed = true;
                record.line(format!(
                    "the node has {resident} KiB, over the limit of {} KiB: the platform kills it",
                    MEMORY_MB * 1024
                ));
                signal("KILL", node.process.0.id());
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    if killed {
        thread::sleep(Duration::from_millis(500));
    }
    stop.store(true, Ordering::Relaxed);
    let (mut served, mut other) = (0, 0);
    for client in usual {
        let (client_served, client_other) = client.join().expect("a client ends");
        served += client_served;
        other += client_other;
    }
    record.line(format!(
        "peak memory {peak} KiB; usual requests served {served}, otherwise {other}; bytes written by bad clients {}",
        written.load(Ordering::Relaxed)
    ));
    record.line(format!("the node crashed: {}", killed || ended));
    record.print();
    if served == 0 {
        cannot_run("no usual request was served");
    }
    drop(node);
    std::process::exit(i32::from(killed || ended));
}
