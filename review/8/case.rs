// Bad clients stop in the middle of their requests' bodies. See claim.txt.
#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::Write;
use std::thread;
use std::time::Duration;

const BAD_CLIENTS: usize = 200;
const SOCKETS: usize = 256;
const DEADLINE_MS: u64 = 450;
/// An answer later than half a second after its time counts as none.
const LATE_MS: u64 = 500;

fn good_request(node: &Node) -> Answer {
    let id = new_id();
    let bytes = request(&id, "avail-read", DEADLINE_MS, None, b"");
    // 50 ms of slack, as on the page on sockets.
    let wait = Duration::from_millis(DEADLINE_MS + LATE_MS + 50);
    let answer = Client::connect(node.address).and_then(|mut client| client.call(&bytes, wait));
    record(&format!("request {id}, sent on a new connection: {}", answer.text()));
    answer
}

fn main() {
    start(8);
    let server = || {
        serve(|stream| {
            serve_requests(stream, |received| {
                pause(20);
                ok_answer(format!("served {}", received.id).as_bytes())
            });
        })
    };
    let entries = [entry("s-1", server(), "ready"), entry("s-2", server(), "ready"), entry("s-3", server(), "ready")];
    let list = whole_list(41, &entries);
    let discovery = serve_discovery(list.clone());
    let node = Node::start("n1", discovery, &list, &settings(&classes(), 1, 0), 192, SOCKETS);
    for _ in 0..5 {
        if !matches!(good_request(&node), Answer::Whole { status: 200, .. }) {
            finish(COULD_NOT_RUN, "a request before the disruption was not served");
        }
    }
    if has_trouble() {
        for number in 0..BAD_CLIENTS {
            let address = node.address;
            thread::spawn(move || {
                let Some(mut stream) = Client::connect(address).ok() else {
                    return;
                };
                let bytes = request(&new_id(), "hold-place", 4_000, Some(&new_id()), &[b'x'; 2_000]);
                let _ = stream.write_all(&bytes[..bytes.len() - 1_000]);
                let answer = read_answer(&mut stream, std::time::Instant::now(), Duration::from_secs(8));
                record(&format!("bad client {number}, which stopped in the middle of its body: {}", answer.text()));
                pause(2_000);
            });
        }
        pause(100);
    }
    let judged: Vec<_> = (0..40)
        .map(|_| {
            pause(50);
            let node = node.handle();
            thread::spawn(move || good_request(&node))
        })
        .collect();
    let answers: Vec<_> = judged.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let lost = answers.iter().filter(|answer| matches!(answer, Answer::Nothing { .. } | Answer::Cut { .. })).count();
    let shut = answers.iter().filter(|answer| matches!(answer, Answer::Unread(_))).count();
    record(&format!("{} requests from new connections: {lost} lost, {shut} shut unread, which the page allows", answers.len()));
    node.record_log(20);
    if lost > 0 {
        finish(BROKEN, &format!("{lost} of {} requests got no answer up to half a second after their time", answers.len()));
    }
    finish(HELD, "every request got its answer");
}
