//! Cost of a balancing decision by the number of servers: the balancer alone, with one request after another.

use std::time::Instant;

use silverthread::{
    Action, AttemptResult, Availability, Balancer, Class, Event, Idempotency, Outcome, Request,
    RequestId, ServerEntry, ServerId, ServerListUpdate, Settings,
};

use crate::system::{count, quantile};
use crate::ALLOCATOR;

const SERVERS: [usize; 6] = [5, 12, 50, 200, 1_000, 5_000];
const ROUNDS: usize = 7;
const REQUESTS: usize = 2_000;
/// Requests before the first measured one: after them the balancer has latency estimates and its set of connections.
const WARM_UP_REQUESTS: usize = 1_000;
const SERVER_CHANGES: usize = 50;
const REQUEST_INTERVAL_MS: f64 = 60.0;

/// Prints the table by number of servers.
pub fn measure() {
    println!(
        "\nthe balancer alone, one of 300 nodes: one class, a request every {REQUEST_INTERVAL_MS} ms of virtual time, latencies of 40 to 120 ms;"
    );
    println!("{ROUNDS} rounds of {REQUESTS} requests with their outcomes; medians");
    println!(
        "{:>8} {:>14} {:>14} {:>14} {:>16}",
        "servers", "us/request", "us/change", "bytes/request", "allocs/request"
    );
    for servers in SERVERS {
        let mut figures = [(); 4].map(|()| Vec::new());
        for seed in 0..count(ROUNDS, 1) {
            let row = measure_round(servers, seed as u64);
            figures
                .iter_mut()
                .zip(row)
                .for_each(|(values, value)| values.push(value));
        }
        let [request, change, bytes, allocations] =
            figures.each_mut().map(|values| quantile(values, 0.5));
        println!("{servers:>8} {request:>14.2} {change:>14.2} {bytes:>14.0} {allocations:>16.2}");
    }
}

fn entry(server: usize) -> ServerEntry {
    let mut entry = ServerEntry::new(ServerId(server), Availability::Ready);
    // Evenly distributed, like a hash of the name.
    entry.ring_position = (server as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    entry.machine_kind = server % 2;
    entry.zone = server % 4;
    entry
}

struct MeasuredBalancer {
    balancer: Balancer,
    now_ms: f64,
    next_request: u64,
    actions: Vec<Action>,
}

impl MeasuredBalancer {
    fn request(&mut self) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.now_ms += REQUEST_INTERVAL_MS;
        self.balancer.handle(
            self.now_ms,
            Event::Request(Request::new(id, 0, 750.0)),
            &mut self.actions,
        );
        let is_sent = self
            .actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        self.actions.clear();
        if is_sent {
            let elapsed_ms = 40.0 + (self.next_request % 80) as f64;
            let result = AttemptResult::Served;
            let outcome = Outcome {
                request: id,
                attempt: 0,
                elapsed_ms,
                result,
                complete: true,
                report: None,
            };
            self.balancer
                .handle(self.now_ms, Event::Outcome(outcome), &mut self.actions);
            self.actions.clear();
        }
    }

    fn update_servers(&mut self, update: ServerListUpdate) {
        self.balancer
            .handle(self.now_ms, Event::ServerList(update), &mut self.actions);
        self.actions.clear();
    }
}

fn measure_round(servers: usize, seed: u64) -> [f64; 4] {
    let mut settings = Settings::new(vec![Class::new(300.0, 750.0, Idempotency::Idempotent)]);
    (settings.nodes, settings.node_index, settings.machine_kinds) = (300, 7, 2);
    let balancer = Balancer::new(settings, seed).expect("the settings are valid");
    let mut measured = MeasuredBalancer {
        balancer,
        now_ms: 1_000.0,
        next_request: 0,
        actions: Vec::with_capacity(8),
    };
    measured.update_servers(ServerListUpdate::Full((0..servers).map(entry).collect()));
    let requests = count(REQUESTS, 20);
    (0..count(WARM_UP_REQUESTS, 20)).for_each(|_| measured.request());
    let (before, start) = (ALLOCATOR.stats(), Instant::now());
    (0..requests).for_each(|_| measured.request());
    let (elapsed, stats) = (start.elapsed(), ALLOCATOR.stats() - before);
    let per_request = |total: f64| total / requests as f64;
    let start = Instant::now();
    for change in 0..SERVER_CHANGES {
        let mut changed = entry(change % servers);
        let is_draining = change / servers % 2 == 0;
        changed.availability = if is_draining {
            Availability::Draining
        } else {
            Availability::Ready
        };
        measured.update_servers(ServerListUpdate::Changes(vec![changed]));
    }
    let us_per_change = start.elapsed().as_secs_f64() * 1e6 / SERVER_CHANGES as f64;
    let bytes = stats.bytes_allocated as f64;
    [
        per_request(elapsed.as_secs_f64() * 1e6),
        us_per_change,
        per_request(bytes),
        per_request(stats.allocations as f64),
    ]
}
