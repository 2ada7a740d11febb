//! What word of bad servers does to a fleet: the node's own module, many of it, in virtual time, with servers that are bad in
//! several ways; with word and without, from the same seeds.

use std::collections::HashMap;

use fastrand::Rng;
use outlier_detection::{Event as DetectorEvent, FailureKind, NodeKey, OutlierDetector, ServerKey};
use silverthread::{
    Action, AttemptResult, Availability, Balancer, Class, Event, Idempotency, LoadReport, Outcome,
    Request, RequestId, ServerEntry, ServerId, ServerListUpdate, Settings,
};

use crate::event_queue::EventQueue;
use crate::system::count;

const AIM_MS: f64 = 200.0;
const DEADLINE_MS: f64 = 1_000.0;
const SERVE_MS: f64 = 40.0;
const SERVERS: usize = 8;
/// Little traffic: requests a second of a node.
const EACH_PER_S: f64 = 1.0;
const BEGIN_MS: f64 = 20_000.0;
const END_MS: f64 = 80_000.0;
const LAST_MS: f64 = 110_000.0;
const SEEDS: usize = 5;

/// The fault that is injected from `BEGIN_MS` to `END_MS`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerFault {
    /// One server answers each request with an error.
    OneBad,
    /// One is silent.
    OneSilent,
    /// One is slow for a third of the nodes.
    Gray,
    /// Three of eight cannot be reached.
    ZoneLost,
    /// All are well; one node says of one server that it fails.
    Liar,
    /// Three nodes cannot reach half of the servers.
    CutOff,
}

const SERVER_FAULTS: [ServerFault; 6] = [
    ServerFault::OneBad,
    ServerFault::OneSilent,
    ServerFault::Gray,
    ServerFault::ZoneLost,
    ServerFault::Liar,
    ServerFault::CutOff,
];

impl ServerFault {
    /// Which servers are bad: attempts there are spent.
    fn bad(self) -> usize {
        match self {
            Self::OneBad | Self::OneSilent | Self::Gray | Self::Liar => 1,
            Self::ZoneLost => 3,
            Self::CutOff => 0,
        }
    }

    /// How an attempt ends, and after how long.
    fn end(self, now: f64, node: usize, server: usize, rng: &mut Rng) -> (AttemptResult, f64) {
        let served = (AttemptResult::Served, SERVE_MS * (0.5 + rng.f64()));
        if !(BEGIN_MS..END_MS).contains(&now) {
            return served;
        }
        match self {
            Self::OneBad if server == 0 => (AttemptResult::Error, 2.0),
            Self::OneSilent if server == 0 => (AttemptResult::TimedOut, DEADLINE_MS),
            Self::Gray if server == 0 && node % 3 == 0 => (AttemptResult::Served, SERVE_MS * 10.0),
            Self::ZoneLost if server < 3 => (AttemptResult::Unreachable, 5.0),
            Self::CutOff if node < 3 && server % 2 == 0 => (AttemptResult::Unreachable, 5.0),
            _ => served,
        }
    }
}

enum Due {
    Arrive(usize),
    End {
        node: usize,
        request: u64,
        attempt: usize,
        server: usize,
        sent: f64,
        ending: u8,
    },
    Timer(usize, u64),
    Turn(usize),
}

const ENDINGS: [AttemptResult; 4] = [
    AttemptResult::Served,
    AttemptResult::Error,
    AttemptResult::TimedOut,
    AttemptResult::Unreachable,
];

/// A request: when it came, its attempts so far, and the one that is out: its number and when it was sent.
type Open = (f64, usize, Option<(usize, f64)>);

struct Node {
    balancer: Balancer,
    detector: OutlierDetector,
    open: HashMap<u64, Open>,
}

struct FleetSimulation {
    server_fault: ServerFault,
    with_detection: bool,
    event_queue: EventQueue<Due>,
    nodes: Vec<Node>,
    rng: Rng,
    requests: u64,
    good: f64,
    taken: u64,
    spent: u64,
}

fn key(server: usize) -> ServerKey {
    ServerKey(server as u64 + 100)
}

impl FleetSimulation {
    fn new(server_fault: ServerFault, with_detection: bool, nodes: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let entries = || {
            (0..SERVERS)
                .map(|at| ServerEntry::new(ServerId(at), Availability::Ready))
                .collect()
        };
        let keys: Vec<_> = (0..SERVERS).map(key).collect();
        let node = |me| {
            let mut settings = Settings::new(vec![Class::new(
                AIM_MS,
                DEADLINE_MS,
                Idempotency::Idempotent,
            )]);
            (settings.nodes, settings.node_index) = (nodes, me);
            let mut balancer = Balancer::new(settings, seed * 1_000 + me as u64).expect("sound");
            balancer.handle(
                0.0,
                Event::ServerList(ServerListUpdate::Full(entries())),
                &mut Vec::new(),
            );
            let settings = outlier_detection::Settings::default();
            let mut detector =
                OutlierDetector::new(0.0, settings, rng.f64()).expect("valid settings");
            detector.handle(0.0, DetectorEvent::ServersChanged(&keys), &mut Vec::new());
            detector.handle(0.0, DetectorEvent::ClusterSize(nodes), &mut Vec::new());
            Node {
                balancer,
                detector,
                open: HashMap::new(),
            }
        };
        let all = (0..nodes).map(node).collect();
        let (event_queue, requests, good, taken, spent) = (EventQueue::default(), 0, 0.0, 0, 0);
        let mut world = Self {
            server_fault,
            with_detection,
            event_queue,
            nodes: all,
            rng,
            requests,
            good,
            taken,
            spent,
        };
        for node in 0..nodes {
            let first = world.rng.f64() * 1_000.0 / EACH_PER_S;
            world.event_queue.push(first, Due::Arrive(node));
            if with_detection {
                world.event_queue.push(first, Due::Turn(node));
            }
        }
        world
    }

    fn play(mut self) -> (f64, f64) {
        while let Some(due) = self.event_queue.next_before(LAST_MS) {
            match due {
                Due::Arrive(node) => {
                    let after = -self.rng.f64().max(1e-9).ln() * 1_000.0 / EACH_PER_S;
                    self.event_queue.push(after, Due::Arrive(node));
                    self.requests += 1;
                    let id = self.requests;
                    self.nodes[node]
                        .open
                        .insert(id, (self.event_queue.now_ms, 0, None));
                    self.taken += u64::from(self.counts());
                    self.feed(
                        node,
                        Event::Request(Request::new(RequestId(id), 0, DEADLINE_MS)),
                    );
                }
                Due::Timer(node, timer) => self.feed(node, Event::Timer(timer)),
                Due::End {
                    node,
                    request,
                    attempt,
                    server,
                    sent,
                    ending,
                } => {
                    self.end(
                        node,
                        request,
                        attempt,
                        server,
                        sent,
                        ENDINGS[usize::from(ending)],
                    );
                }
                Due::Turn(node) => {
                    self.event_queue.push(1_000.0, Due::Turn(node));
                    if self.server_fault == ServerFault::Liar
                        && node == 0
                        && (BEGIN_MS..END_MS).contains(&self.event_queue.now_ms)
                    {
                        self.attempt_ended(node, 0, Some(FailureKind::ErrorResponse));
                    }
                    self.detect(node, DetectorEvent::TimerFired);
                }
            }
        }
        (
            self.good / self.taken as f64,
            self.spent as f64 / self.taken as f64 * 1_000.0,
        )
    }

    /// Whether the current time is within the measured period: from the beginning of the fault until some time after its end.
    fn counts(&self) -> bool {
        (BEGIN_MS..LAST_MS - DEADLINE_MS).contains(&self.event_queue.now_ms)
    }

    fn attempt_ended(&mut self, node: usize, server: usize, failure: Option<FailureKind>) {
        let server = key(server);
        self.detect(node, DetectorEvent::AttemptEnded { server, failure });
    }

    fn detect(&mut self, node: usize, event: DetectorEvent<'_>) {
        let mut actions = Vec::new();
        self.nodes[node]
            .detector
            .handle(self.event_queue.now_ms, event, &mut actions);
        for action in actions {
            match action {
                outlier_detection::Action::Broadcast(bytes) => {
                    for other in (0..self.nodes.len()).filter(|other| *other != node) {
                        let from = NodeKey(node as u64);
                        let event = DetectorEvent::ReportReceived {
                            from,
                            bytes: &bytes,
                        };
                        self.detect(other, event);
                    }
                }
                outlier_detection::Action::SetWeight { server, weight } => {
                    let server = ServerId(server.0 as usize - 100);
                    self.feed(node, Event::Hint { server, weight });
                }
                outlier_detection::Action::WakeAt(_) => {}
            }
        }
    }

    fn end(
        &mut self,
        node: usize,
        request: u64,
        attempt: usize,
        server: usize,
        sent: f64,
        ending: AttemptResult,
    ) {
        let Some(open) = self.nodes[node].open.get_mut(&request) else {
            return;
        };
        if open.2.is_none_or(|(out, ..)| out != attempt) {
            return;
        }
        open.2 = None;
        let arrived = open.0;
        let is_served = ending == AttemptResult::Served;
        if is_served {
            self.nodes[node].open.remove(&request);
            let counts = (BEGIN_MS..LAST_MS - DEADLINE_MS).contains(&arrived);
            self.good += f64::from(u8::from(
                counts && self.event_queue.now_ms - arrived <= AIM_MS,
            ));
        }
        if self.with_detection {
            let failure = match ending {
                AttemptResult::Served => None,
                AttemptResult::TimedOut => Some(FailureKind::TimedOut),
                AttemptResult::Unreachable => Some(FailureKind::Unreachable),
                _ => Some(FailureKind::ErrorResponse),
            };
            self.attempt_ended(node, server, failure);
        }
        let report = is_served.then(|| LoadReport {
            in_flight: Some(1.0),
            ..LoadReport::default()
        });
        let outcome = Outcome {
            request: RequestId(request),
            attempt,
            elapsed_ms: self.event_queue.now_ms - sent,
            result: ending,
            complete: is_served,
            report,
        };
        self.feed(node, Event::Outcome(outcome));
    }

    fn feed(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node]
            .balancer
            .handle(self.event_queue.now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server } => {
                    let (now, at) = (self.event_queue.now_ms, server.0);
                    let Some(open) = self.nodes[node].open.get_mut(&request.0) else {
                        continue;
                    };
                    let attempt = open.1;
                    open.1 += 1;
                    open.2 = Some((attempt, now));
                    let left = open.0 + DEADLINE_MS - now;
                    let (ending, after) = self.server_fault.end(now, node, at, &mut self.rng);
                    let (ending, after) = if after > left {
                        (AttemptResult::TimedOut, left)
                    } else {
                        (ending, after)
                    };
                    self.spent += u64::from(
                        at < self.server_fault.bad() && (BEGIN_MS..END_MS).contains(&now),
                    );
                    let ending = ENDINGS.iter().position(|held| *held == ending).unwrap_or(0) as u8;
                    self.event_queue.push(
                        after,
                        Due::End {
                            node,
                            request: request.0,
                            attempt,
                            server: at,
                            sent: now,
                            ending,
                        },
                    );
                }
                Action::Cancel { request, attempt } => {
                    let out = self.nodes[node]
                        .open
                        .get(&request.0)
                        .and_then(|open| open.2);
                    if let Some((_, sent)) = out.filter(|(number, ..)| *number == attempt) {
                        self.cancelled(node, request.0, attempt, sent);
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.nodes[node].open.remove(&request.0);
                }
                Action::SetTimer { timer, after_ms } => {
                    self.event_queue.push(after_ms, Due::Timer(node, timer));
                }
                _ => {}
            }
        }
    }

    fn cancelled(&mut self, node: usize, request: u64, attempt: usize, sent: f64) {
        if let Some(open) = self.nodes[node].open.get_mut(&request) {
            open.2 = None;
        }
        let elapsed_ms = self.event_queue.now_ms - sent;
        let (request, ending) = (RequestId(request), AttemptResult::Cancelled);
        self.feed(
            node,
            Event::Outcome(Outcome {
                request,
                attempt,
                elapsed_ms,
                result: ending,
                complete: false,
                report: None,
            }),
        );
    }
}

/// Prints the table.
pub fn measure() {
    println!(
        "\nthe module of each node, {SERVERS} servers, {EACH_PER_S} request a second of a node, a minute of trouble and half a minute after it; {SEEDS} seeds"
    );
    println!(
        "{:>10} {:>6} {:>14} {:>14} {:>16} {:>16} {:>7}",
        "trouble",
        "nodes",
        "in aim alone",
        "in aim, word",
        "bad/1000 alone",
        "bad/1000, word",
        "ratio"
    );
    for nodes in [30, 300] {
        let nodes = count(nodes, 5);
        for server_fault in SERVER_FAULTS {
            let seeds = count(SEEDS, 1) as u64;
            let mean = |with_detection| {
                let all = (0..seeds).map(|seed| {
                    FleetSimulation::new(server_fault, with_detection, nodes, seed).play()
                });
                let (good, spent) = all.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
                (good / seeds as f64, spent / seeds as f64)
            };
            let ((alone, spent), (word, less)) = (mean(false), mean(true));
            println!(
                "{:>10} {nodes:>6} {alone:>14.4} {word:>14.4} {spent:>16.1} {less:>16.1} {:>7.2}",
                format!("{server_fault:?}"),
                less / spent.max(1e-9),
            );
        }
    }
}
