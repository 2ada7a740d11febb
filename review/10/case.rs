// Servers answer with no length and end the connection behind the whole answer. See claim.txt.
#[path = "../common-2.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REQUESTS: usize = 40;
const DEADLINE_MS: u64 = 1_200;

fn main() {
    start(10);
    let written = Arc::new(AtomicUsize::new(0));
    let server = || {
        let written = Arc::clone(&written);
        serve(move |mut stream| {
            let Some(received) = read_request(&mut stream) else {
                return;
            };
            let asks_to_close = header(&received.head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            pause(10);
            let body = format!("served {}", received.id);
            // The node has said `Connection: close`; if it has not, or without the disruption, the answer has a length.
            let answer = if has_trouble() && asks_to_close {
                format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n{body}").into_bytes()
            } else {
                ok_answer(body.as_bytes())
            };
            let is_whole = stream.write_all(&answer).is_ok() && stream.shutdown(Shutdown::Write).is_ok();
            written.fetch_add(usize::from(is_whole), Ordering::SeqCst);
            record(&format!(
                "a server ran {}, was asked to close: {asks_to_close}, wrote its answer {}",
                received.id,
                if is_whole { "whole and ended it in order" } else { "in part" }
            ));
            // Ends in order: reads until the node has closed, so that nothing is reset.
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let _ = stream.read(&mut [0; 64]);
        })
    };
    let entries = [entry("s-1", server(), "ready"), entry("s-2", server(), "ready"), entry("s-3", server(), "ready")];
    let list = whole_list(41, &entries);
    let discovery = serve_discovery(list.clone());
    let node = Node::start("n1", discovery, &list, &settings(&classes(), 1, 0), 192, 1024);
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            pause(50);
            let address = node.address;
            thread::spawn(move || {
                let id = new_id();
                let class = ["rate-set", "note-add"][number % 2];
                let bytes = request(&id, class, DEADLINE_MS, None, if class == "note-add" { b"a note" } else { b"" });
                let answer = call_and_keep(address, &bytes, Duration::from_millis(DEADLINE_MS + 550));
                record(&format!("request {id} ({class}): {}", answer.text()));
                matches!(&answer, Answer::Whole { status: 200, body, .. } if *body == format!("served {id}").as_bytes())
            })
        })
        .collect();
    let forwarded = requests.into_iter().filter_map(|thread| thread.join().ok()).filter(|served| *served).count();
    let written = written.load(Ordering::SeqCst);
    record(&format!("{written} answers were written whole, {forwarded} forwarded"));
    node.record_log(12);
    if written == 0 {
        finish(COULD_NOT_RUN, "no answer was written");
    }
    let verdict = format!("{forwarded} of {written} answers that came whole were forwarded");
    finish(if forwarded * 2 < written { BROKEN } else { HELD }, &verdict);
}
