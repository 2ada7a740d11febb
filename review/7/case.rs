// A list comes indented, over several lines. See claim.txt.
#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When the server begins to drain.
const DRAIN_AFTER_MS: u64 = 3_000;
/// The latest time at which a change counts as told.
const TOLD_AFTER_MS: f64 = 6_000.0;
/// `rules.drain_grace_ms`, and the slack on sockets.
const GRACE_MS: f64 = 2_000.0 + 50.0;
/// How long requests are sent after the change.
const JUDGED_MS: u64 = 14_000;

/// The list with one line for each value, as JSON is printed with an indent.
fn indented(list: &str) -> String {
    let (mut text, mut depth, mut in_string) = (String::new(), 0usize, false);
    for character in list.chars() {
        if character == '"' {
            in_string = !in_string;
        }
        match character {
            '{' | '[' if !in_string => {
                depth += 1;
                text.push(character);
                text += &format!("\n{}", "  ".repeat(depth));
            }
            '}' | ']' if !in_string => {
                depth -= 1;
                text += &format!("\n{}", "  ".repeat(depth));
                text.push(character);
            }
            ',' if !in_string => text += &format!(",\n{}", "  ".repeat(depth)),
            ':' if !in_string => text += ": ",
            _ => text.push(character),
        }
    }
    text
}

/// One watch: the whole list at its beginning and after each change, and an empty line every 2 s.
fn watch(mut stream: TcpStream, addresses: &[SocketAddr], generation: &AtomicU64, told_at: &Mutex<Option<f64>>) {
    let Some(asked) = read_discovery_request(&mut stream) else {
        return;
    };
    if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
        return;
    }
    let (mut told, mut quiet_ms) = (0, 0);
    loop {
        let current = generation.load(Ordering::SeqCst);
        let mut text = String::new();
        if current != told {
            let lifecycle = |number: usize| if number == 0 && current > 41 { "draining" } else { "ready" };
            let entries: Vec<String> = addresses
                .iter()
                .enumerate()
                .map(|(number, address)| entry(&format!("s-{}", number + 1), *address, lifecycle(number)))
                .collect();
            let list = whole_list(current, &entries);
            text = if has_trouble() && current > 41 { indented(&list) } else { list } + "\n";
        } else if quiet_ms >= 2_000 {
            text = "\n".to_owned();
        }
        if !text.is_empty() {
            if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                return;
            }
            if current != told {
                let mut first = told_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                if current > 41 && first.is_none() {
                    *first = Some(now_ms());
                }
                record(&format!("discovery ({asked}) wrote version {current}, {} lines", text.lines().count()));
            }
            told = current;
            quiet_ms = 0;
        }
        pause(20);
        quiet_ms += 20;
    }
}

fn main() {
    start(7);
    let drains_from = Arc::new(Mutex::new(None::<f64>));
    let late = Arc::new(AtomicU64::new(0));
    let all = Arc::new(AtomicU64::new(0));
    let addresses: Vec<SocketAddr> = (0..3)
        .map(|number| {
            let (drains_from, late, all) = (Arc::clone(&drains_from), Arc::clone(&late), Arc::clone(&all));
            serve(move |stream| {
                // The first byte of a request counts.
                if !matches!(stream.peek(&mut [0]), Ok(1)) {
                    return;
                }
                let at = now_ms();
                all.fetch_add(1, Ordering::SeqCst);
                let limit = drains_from.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).map(|from| from + TOLD_AFTER_MS + GRACE_MS);
                if number == 0 && limit.is_some_and(|limit| at > limit) {
                    late.fetch_add(1, Ordering::SeqCst);
                    record(&format!("s-1 got a request {:.0} ms after its drain could be read", at - limit.unwrap_or(at) + TOLD_AFTER_MS + GRACE_MS));
                }
                serve_requests(stream, |received| {
                    pause(10);
                    ok_answer(format!("served {}", received.id).as_bytes())
                });
            })
        })
        .collect();
    let generation = Arc::new(AtomicU64::new(41));
    let told_at = Arc::new(Mutex::new(None));
    let discovery = {
        let (addresses, generation, told_at) = (addresses.clone(), Arc::clone(&generation), Arc::clone(&told_at));
        serve(move |stream| watch(stream, &addresses, &generation, &told_at))
    };
    let entries: Vec<String> = addresses.iter().enumerate().map(|(number, address)| entry(&format!("s-{}", number + 1), *address, "ready")).collect();
    let node = Node::start("n1", discovery, &whole_list(41, &entries), &settings(&classes(), 1, 0), 192, 1024);
    let node_address = node.address;
    let client = thread::spawn(move || {
        let (mut served, mut kept) = (0, None::<TcpStream>);
        for number in 0..(DRAIN_AFTER_MS + JUDGED_MS) / 50 {
            if number == DRAIN_AFTER_MS / 50 {
                generation.store(42, Ordering::SeqCst);
                // Discovery has the change from now on, and can be reached.
                *drains_from.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(now_ms());
                record("s-1 drains: discovery has version 42");
            }
            let bytes = request(&new_id(), "avail-read", 600, None, b"");
            // The client keeps its connection, and opens another when it has ended.
            let mut stream = match kept.take().or_else(|| Client::connect(node_address).ok()) {
                Some(stream) => stream,
                None => continue,
            };
            let _ = stream.write_all(&bytes);
            let answer = read_answer(&mut stream, Instant::now(), Duration::from_millis(1_150));
            let is_kept = matches!(&answer, Answer::Whole { head, .. } if header(head, "connection").is_none());
            kept = Some(stream).filter(|_| is_kept);
            served += u32::from(matches!(answer, Answer::Whole { status: 200, .. }));
            pause(40);
        }
        served
    });
    let served = client.join().unwrap_or(0);
    let late = late.load(Ordering::SeqCst);
    let first_told = *told_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    record(&format!("{} requests at the servers, {served} served; the change was first written at {first_told:?} ms; {late} requests at s-1 later than allowed", all.load(Ordering::SeqCst)));
    node.record_log(8);
    if served == 0 || first_told.is_none() {
        finish(COULD_NOT_RUN, "no request was served, or the change was not written");
    }
    if late > 0 {
        finish(BROKEN, &format!("{late} requests went to a draining server after its grace"));
    }
    finish(HELD, "the draining server got nothing after its grace");
}
