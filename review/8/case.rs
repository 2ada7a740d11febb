// A bad client sends the id of another client's open request while the process of the node is replaced. See claim.txt.
#[path = "../common-2.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REQUESTS: usize = 6;
/// The work of a request at its server; a page names 100 to 190 ms in the mean, with a long tail.
const WORK_MS: u64 = 1_300;
const DEADLINE_MS: u64 = 2_400;

/// The class is unsafe to repeat; its deadline is under the 3 s for which the platform waits at the most.
fn classes_of_the_day() -> Vec<Class> {
    vec![
        Class { name: "avail-read", deadline_ms: 750.0, effect: "retryable", window_ms: 5000.0 },
        Class { name: "note-add", deadline_ms: 3000.0, effect: "fragile", window_ms: 5000.0 },
    ]
}

/// What servers saw of an id: when it came, and when its connection ended or its answer was written.
type Runs = Arc<Mutex<HashMap<String, Vec<(f64, Option<f64>)>>>>;

fn main() {
    start(8);
    let runs = Runs::default();
    let server = |name: &'static str| {
        let runs = Arc::clone(&runs);
        serve(move |stream| {
            serve_requests(stream, |received| {
                let began = now_ms();
                record(&format!("{name} runs {}", received.id));
                if let Ok(mut runs) = runs.lock() {
                    runs.entry(received.id.clone()).or_default().push((began, None));
                }
                pause(if received.head.starts_with("POST") { WORK_MS } else { 10 });
                if let Ok(mut runs) = runs.lock() {
                    if let Some(run) = runs.get_mut(&received.id).and_then(|runs| runs.iter_mut().find(|run| run.0 == began)) {
                        run.1 = Some(now_ms());
                    }
                }
                ok_answer(format!("served {}", received.id).as_bytes())
            });
        })
    };
    let entries = [entry("s-1", server("s-1"), "ready"), entry("s-2", server("s-2"), "ready"), entry("s-3", server("s-3"), "ready")];
    let list = whole_list(41, &entries);
    let discovery = serve_discovery(list.clone());
    let settings = settings(&classes_of_the_day(), 1, 0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("the node's listening socket");
    let old = Node::spawn("n1-old", Some(&listener), discovery, &list, &settings, 192, 1024);
    old.wait_until_up();
    let address = old.address;
    let send = move |who: &'static str, id: String| {
        thread::spawn(move || {
            let bytes = request(&id, "note-add", DEADLINE_MS, None, b"a note");
            let answer = call_and_keep(address, &bytes, Duration::from_millis(DEADLINE_MS + 550));
            record(&format!("{who} with {id}: {}", answer.text()));
            answer
        })
    };
    let ids: Vec<String> = (0..REQUESTS).map(|_| new_id()).collect();
    let usual: Vec<_> = ids.iter().map(|id| send("usual client", id.clone())).collect();
    let sent_at = Instant::now();
    pause(100);
    if has_trouble() {
        let new = Node::spawn("n1-new", Some(&listener), discovery, &list, &settings, 192, 1024);
        while !new.has_logged("serves on") && sent_at.elapsed() < Duration::from_millis(WORK_MS) {
            pause(10);
        }
        record(&format!("the process {} of the node is told to end (SIGTERM); {} takes over", old.pid, new.pid));
        old.signal(SIGTERM);
        // The old process goes on accepting for 0.3 s.
        pause(450);
    } else {
        pause(450);
    }
    // The requests have to be open when their ids come again.
    if sent_at.elapsed() > Duration::from_millis(WORK_MS - 200) {
        finish(COULD_NOT_RUN, "the second process was not ready in time");
    }
    let bad: Vec<_> = ids.iter().map(|id| send("bad client", id.clone())).collect();
    let usual: Vec<_> = usual.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let bad: Vec<_> = bad.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let is_served = |answer: &&Answer| matches!(answer, Answer::Whole { status: 200, .. });
    let (usual_served, bad_served) = (usual.iter().filter(is_served).count(), bad.iter().filter(is_served).count());
    let runs = runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
    let twice = ids.iter().filter(|id| runs.get(*id).is_some_and(|runs| runs.len() > 1)).count();
    let at_once = ids
        .iter()
        .filter(|id| runs.get(*id).is_some_and(|runs| runs.len() > 1 && runs[0].1.is_none_or(|ended| runs[1].0 < ended)))
        .count();
    record(&format!("{REQUESTS} requests: {usual_served} usual clients served, {bad_served} bad clients served; {twice} ran twice, {at_once} of them at once"));
    old.record_log(20);
    if usual_served < REQUESTS {
        finish(COULD_NOT_RUN, "a usual client was not served");
    }
    if twice > 0 || bad_served > 0 {
        finish(BROKEN, &format!("{twice} of {REQUESTS} unsafe requests ran twice, {bad_served} bad clients were served"));
    }
    finish(HELD, "each request ran once, and the bad clients got an error");
}
