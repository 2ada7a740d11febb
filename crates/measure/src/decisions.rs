//! What a decision costs, by the number of servers: the module alone, fed one request after another.

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
/// Requests before the first that counts: by then it knows latencies and has the connections that it wants.
const BEFORE: usize = 1_000;
const CHANGES: usize = 50;
const GAP_MS: f64 = 60.0;

/// Prints the table.
pub fn measure() {
    println!(
        "\nthe module alone: one class, a request each {GAP_MS} ms of its clock, answers of 40 to 120 ms, of 300 nodes;"
    );
    println!("{ROUNDS} rounds of {REQUESTS} requests and their outcomes; medians");
    println!(
        "{:>8} {:>14} {:>14} {:>14} {:>16}",
        "servers", "us a request", "us a change", "bytes/request", "allocs/request"
    );
    for servers in SERVERS {
        let mut figures = [(); 4].map(|()| Vec::new());
        for seed in 0..count(ROUNDS, 1) {
            let one = round(servers, seed as u64);
            figures
                .iter_mut()
                .zip(one)
                .for_each(|(all, one)| all.push(one));
        }
        let [request, change, bytes, allocations] =
            figures.each_mut().map(|all| quantile(all, 0.5));
        println!("{servers:>8} {request:>14.2} {change:>14.2} {bytes:>14.0} {allocations:>16.2}");
    }
}

fn entry(server: usize) -> ServerEntry {
    let mut entry = ServerEntry::new(ServerId(server), Availability::Ready);
    // Spread as a hash of the name would be.
    entry.ring_position = (server as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    entry.machine_kind = server % 2;
    entry.zone = server % 4;
    entry
}

struct Subject {
    balancer: Balancer,
    now: f64,
    next: u64,
    actions: Vec<Action>,
}

impl Subject {
    fn request(&mut self) {
        let id = RequestId(self.next);
        self.next += 1;
        self.now += GAP_MS;
        self.balancer.handle(
            self.now,
            Event::Request(Request::new(id, 0, 750.0)),
            &mut self.actions,
        );
        let sent = self
            .actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        self.actions.clear();
        if sent {
            let elapsed_ms = 40.0 + (self.next % 80) as f64;
            let ending = AttemptResult::Served;
            let outcome = Outcome {
                request: id,
                attempt: 0,
                elapsed_ms,
                result: ending,
                complete: true,
                report: None,
            };
            self.balancer
                .handle(self.now, Event::Outcome(outcome), &mut self.actions);
            self.actions.clear();
        }
    }

    fn list(&mut self, listing: ServerListUpdate) {
        self.balancer
            .handle(self.now, Event::ServerList(listing), &mut self.actions);
        self.actions.clear();
    }
}

fn round(servers: usize, seed: u64) -> [f64; 4] {
    let mut settings = Settings::new(vec![Class::new(300.0, 750.0, Idempotency::Idempotent)]);
    (settings.nodes, settings.node_index, settings.machine_kinds) = (300, 7, 2);
    let balancer = Balancer::new(settings, seed).expect("sound settings");
    let mut subject = Subject {
        balancer,
        now: 1_000.0,
        next: 0,
        actions: Vec::with_capacity(8),
    };
    subject.list(ServerListUpdate::Full((0..servers).map(entry).collect()));
    let requests = count(REQUESTS, 20);
    (0..count(BEFORE, 20)).for_each(|_| subject.request());
    let (before, start) = (ALLOCATOR.stats(), Instant::now());
    (0..requests).for_each(|_| subject.request());
    let (took, stats) = (start.elapsed(), ALLOCATOR.stats() - before);
    let each = |all: f64| all / requests as f64;
    let start = Instant::now();
    for change in 0..CHANGES {
        let mut changed = entry(change % servers);
        let drains = change / servers % 2 == 0;
        changed.availability = if drains {
            Availability::Draining
        } else {
            Availability::Ready
        };
        subject.list(ServerListUpdate::Changes(vec![changed]));
    }
    let changes = start.elapsed().as_secs_f64() * 1e6 / CHANGES as f64;
    let bytes = stats.bytes_allocated as f64;
    [
        each(took.as_secs_f64() * 1e6),
        changes,
        each(bytes),
        each(stats.allocations as f64),
    ]
}
