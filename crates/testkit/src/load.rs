//! Clients that go on asking until they are told to stop, and what they were answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::message::{post_request, read_request};
use crate::node::Client;

/// Maximum number of latencies that are kept, the latest ones: a load, such as the demo's, may run for days.
const MAX_LATENCIES: usize = 200_000;

/// What was answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Requests that were sent.
    pub sent: u64,
    /// Answers by status.
    pub responses: BTreeMap<u16, u64>,
    /// Requests that were sent whole and whose connection ended with no whole answer.
    pub lost: u64,
    /// How long each answer took, the latest 200,000 of them, in no order.
    pub latencies: Vec<Duration>,
}

impl Totals {
    /// Answers of a status.
    #[must_use]
    pub fn with_status(&self, status: u16) -> u64 {
        self.responses.get(&status).copied().unwrap_or(0)
    }

    /// The part of the requests that was served.
    #[must_use]
    pub fn served_fraction(&self) -> f64 {
        self.with_status(200) as f64 / (self.sent.max(1)) as f64
    }

    /// The time within which this part of the answers came.
    #[must_use]
    pub fn latency_quantile(&self, part: f64) -> Duration {
        let mut times = self.latencies.clone();
        times.sort_unstable();
        let at = (times.len().saturating_sub(1)) as f64 * part;
        times.get(at as usize).copied().unwrap_or_default()
    }
}

/// Clients at work.
pub struct Load {
    stop: Arc<AtomicBool>,
    totals: Arc<Mutex<Totals>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// So many clients, each with one connection and a pause after each answer. Of ten requests of each, eight are
    /// safe, one is keyed and one is unsafe.
    #[must_use]
    pub fn start(node: SocketAddr, clients: usize, pause: Duration) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let (stop, totals) = (
            Arc::<AtomicBool>::default(),
            Arc::<Mutex<Totals>>::default(),
        );
        let client = |_| {
            let (stop, totals) = (Arc::clone(&stop), Arc::clone(&totals));
            thread::spawn(move || {
                let mut client: Option<Client> = None;
                while !stop.load(Ordering::Relaxed) {
                    // A node that takes no connections is asked nothing.
                    if let Some(mut at) = client.take().or_else(|| Client::try_connect(node)) {
                        let number = NEXT.fetch_add(1, Ordering::Relaxed);
                        client = ask(&mut at, number, &totals).then_some(at);
                    }
                    thread::sleep(pause);
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Self {
            stop,
            totals,
            clients,
        }
    }

    /// What has been answered so far.
    #[must_use]
    pub fn totals(&self) -> Totals {
        self.totals.lock().expect("sound").clone()
    }

    /// Ends it, once every request is answered.
    #[must_use]
    pub fn finish(self) -> Totals {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().expect("a client does not panic");
        }
        let totals = self.totals.lock().expect("sound").clone();
        totals
    }
}

/// One request. `false`: the connection is of no more use.
fn ask(client: &mut Client, number: u64, totals: &Mutex<Totals>) -> bool {
    let id = format!("{number:016x}");
    let request = match number % 10 {
        8 => post_request(
            &id,
            "hold",
            &format!("Idempotency-Key: key-{id}\r\n"),
            "a guest",
        ),
        9 => post_request(&id, "pay", "", "a guest"),
        _ => read_request(&id, "15000m"),
    };
    let start = Instant::now();
    let answer = client
        .try_send(&request)
        .then(|| client.read_response())
        .flatten();
    let mut totals = totals.lock().expect("sound");
    totals.sent += 1;
    match &answer {
        Some(answer) => {
            *totals.responses.entry(answer.status()).or_default() += 1;
            let (took, at) = (start.elapsed(), totals.sent as usize % MAX_LATENCIES);
            if totals.latencies.len() < MAX_LATENCIES {
                totals.latencies.push(took);
            } else {
                totals.latencies[at] = took;
            }
        }
        None => totals.lost += 1,
    }
    answer.is_some_and(|answer| answer.header("connection") != Some("close"))
}
