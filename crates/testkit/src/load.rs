//! Clients that send requests continuously until they are stopped, and totals of the responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::message::{post_request, read_request};
use crate::node::Client;

/// Maximum number of latencies that are kept; later ones replace earlier ones. A load may run for days, as in the demo.
const MAX_LATENCIES: usize = 200_000;

/// Totals of the requests and their responses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Number of requests, including those that could not be sent.
    pub sent: u64,
    /// Number of responses by status.
    pub responses: BTreeMap<u16, u64>,
    /// Number of requests without a complete response: the connection ended, or the time limit for the response
    /// expired.
    pub lost: u64,
    /// Latencies of the last 200,000 responses, in no particular order.
    pub latencies: Vec<Duration>,
}

impl Totals {
    /// Number of responses of this status.
    #[must_use]
    pub fn with_status(&self, status: u16) -> u64 {
        self.responses.get(&status).copied().unwrap_or(0)
    }

    /// Fraction of the requests that had a response of status 200.
    #[must_use]
    pub fn served_fraction(&self) -> f64 {
        self.with_status(200) as f64 / (self.sent.max(1)) as f64
    }

    /// Latency that this fraction of the responses did not exceed.
    #[must_use]
    pub fn latency_quantile(&self, fraction: f64) -> Duration {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        let index = (latencies.len().saturating_sub(1)) as f64 * fraction;
        latencies.get(index as usize).copied().unwrap_or_default()
    }
}

/// Clients that send requests, each from its own thread.
pub struct Load {
    stop: Arc<AtomicBool>,
    totals: Arc<Mutex<Totals>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients, each with one connection and a pause after each response. Of ten consecutive requests, eight
    /// are of the class `read`, one is of the class `hold` with an idempotency key, and one of the class `pay`.
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
                    // No request is sent or counted while the node accepts no connection.
                    if let Some(mut connection) =
                        client.take().or_else(|| Client::try_connect(node))
                    {
                        let number = NEXT.fetch_add(1, Ordering::Relaxed);
                        client =
                            send_request(&mut connection, number, &totals).then_some(connection);
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

    /// Totals so far.
    #[must_use]
    pub fn totals(&self) -> Totals {
        self.totals
            .lock()
            .expect("no thread panics while it holds the lock")
            .clone()
    }

    /// Stops the clients after their current requests and returns the totals.
    #[must_use]
    pub fn finish(self) -> Totals {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().expect("the client thread does not panic");
        }
        let totals = self
            .totals
            .lock()
            .expect("no thread panics while it holds the lock")
            .clone();
        totals
    }
}

/// Sends one request and records its response; returns whether the connection can be used again.
fn send_request(client: &mut Client, number: u64, totals: &Mutex<Totals>) -> bool {
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
    let response = client
        .try_send(&request)
        .then(|| client.read_response())
        .flatten();
    let mut totals = totals
        .lock()
        .expect("no thread panics while it holds the lock");
    totals.sent += 1;
    match &response {
        Some(response) => {
            *totals.responses.entry(response.status()).or_default() += 1;
            let (latency, index) = (start.elapsed(), totals.sent as usize % MAX_LATENCIES);
            if totals.latencies.len() < MAX_LATENCIES {
                totals.latencies.push(latency);
            } else {
                totals.latencies[index] = latency;
            }
        }
        None => totals.lost += 1,
    }
    response.is_some_and(|response| response.header("connection") != Some("close"))
}
