//! Effect of the nodes' reports about faulty servers: the balancers of many nodes in virtual time, with several kinds of
//! server faults; with and without outlier detection, from the same seeds.

use std::collections::HashMap;

use fastrand::Rng;
use outlier_detection::{Event as DetectorEvent, FailureKind, NodeKey, OutlierDetector, ServerKey};
use silverthread::{
    Action, AttemptResult, Availability, Balancer, Class, Event, Idempotency, LoadReport, Outcome,
    Request, RequestId, ServerEntry, ServerId, ServerListUpdate, Settings,
};

use crate::event_queue::EventQueue;
use crate::system::count;

const LATENCY_OBJECTIVE_MS: f64 = 200.0;
const DEADLINE_MS: f64 = 1_000.0;
/// Mean latency of a healthy server.
const LATENCY_MS: f64 = 40.0;
const SERVERS: usize = 8;
/// Requests per second of a node. Low, so that a single node sees few attempts at each server.
const REQUESTS_PER_S: f64 = 1.0;
const FAULT_START_MS: f64 = 20_000.0;
const FAULT_END_MS: f64 = 80_000.0;
/// End of the simulation.
const SIMULATION_END_MS: f64 = 110_000.0;
const SEEDS: usize = 5;

/// The fault that is injected from `FAULT_START_MS` to `FAULT_END_MS`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServerFault {
    /// One server responds to each request with an error.
    OneFailing,
    /// One server does not respond.
    OneSilent,
    /// One server is slow for a third of the nodes.
    Gray,
    /// Three of eight servers are unreachable.
    ZoneLost,
    /// All servers are healthy; one node reports failures of one server.
    FalseReports,
    /// Three nodes cannot reach half of the servers.
    Partition,
}

const SERVER_FAULTS: [ServerFault; 6] = [
    ServerFault::OneFailing,
    ServerFault::OneSilent,
    ServerFault::Gray,
    ServerFault::ZoneLost,
    ServerFault::FalseReports,
    ServerFault::Partition,
];

impl ServerFault {
    /// Number of servers, from the first, that are faulty or falsely reported as faulty. Attempts at them are counted.
    fn affected_servers(self) -> usize {
        match self {
            Self::OneFailing | Self::OneSilent | Self::Gray | Self::FalseReports => 1,
            Self::ZoneLost => 3,
            Self::Partition => 0,
        }
    }

    /// Result of an attempt and the time that it takes in milliseconds.
    fn attempt_result(
        self,
        now: f64,
        node: usize,
        server: usize,
        rng: &mut Rng,
    ) -> (AttemptResult, f64) {
        let served = (AttemptResult::Served, LATENCY_MS * (0.5 + rng.f64()));
        if !(FAULT_START_MS..FAULT_END_MS).contains(&now) {
            return served;
        }
        match self {
            Self::OneFailing if server == 0 => (AttemptResult::Error, 2.0),
            Self::OneSilent if server == 0 => (AttemptResult::TimedOut, DEADLINE_MS),
            Self::Gray if server == 0 && node % 3 == 0 => {
                (AttemptResult::Served, LATENCY_MS * 10.0)
            }
            Self::ZoneLost if server < 3 => (AttemptResult::Unreachable, 5.0),
            Self::Partition if node < 3 && server % 2 == 0 => (AttemptResult::Unreachable, 5.0),
            _ => served,
        }
    }
}

enum Scheduled {
    /// A request arrives at a node.
    Arrive(usize),
    AttemptEnd {
        node: usize,
        request: u64,
        attempt: usize,
        server: usize,
        sent_at_ms: f64,
        /// Index into `RESULTS`.
        result: u8,
    },
    /// A timer of a balancer expires: its node and identifier.
    Timer(usize, u64),
    /// The timer of a node's outlier detector fires.
    DetectorTimer(usize),
}

const RESULTS: [AttemptResult; 4] = [
    AttemptResult::Served,
    AttemptResult::Error,
    AttemptResult::TimedOut,
    AttemptResult::Unreachable,
];

/// An open request: its arrival time, its number of attempts so far, and the attempt in flight with its number and the time
/// at which it was sent.
type OpenRequest = (f64, usize, Option<(usize, f64)>);

struct Node {
    balancer: Balancer,
    detector: OutlierDetector,
    open: HashMap<u64, OpenRequest>,
}

struct ClusterSimulation {
    server_fault: ServerFault,
    with_detection: bool,
    event_queue: EventQueue<Scheduled>,
    nodes: Vec<Node>,
    rng: Rng,
    requests: u64,
    /// Requests served within the latency objective.
    within_objective: f64,
    /// Requests that arrived during the measured period.
    arrived: u64,
    /// Attempts at affected servers during the fault.
    affected_attempts: u64,
}

fn server_key(server: usize) -> ServerKey {
    ServerKey(server as u64 + 100)
}

impl ClusterSimulation {
    fn new(server_fault: ServerFault, with_detection: bool, nodes: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let entries = || {
            (0..SERVERS)
                .map(|at| ServerEntry::new(ServerId(at), Availability::Ready))
                .collect()
        };
        let keys: Vec<_> = (0..SERVERS).map(server_key).collect();
        let node = |me| {
            let mut settings = Settings::new(vec![Class::new(
                LATENCY_OBJECTIVE_MS,
                DEADLINE_MS,
                Idempotency::Idempotent,
            )]);
            (settings.nodes, settings.node_index) = (nodes, me);
            let mut balancer =
                Balancer::new(settings, seed * 1_000 + me as u64).expect("the settings are valid");
            balancer.handle(
                0.0,
                Event::ServerList(ServerListUpdate::Full(entries())),
                &mut Vec::new(),
            );
            let settings = outlier_detection::Settings::default();
            let mut detector =
                OutlierDetector::new(0.0, settings, rng.f64()).expect("the settings are valid");
            detector.handle(0.0, DetectorEvent::ServersChanged(&keys), &mut Vec::new());
            detector.handle(0.0, DetectorEvent::ClusterSize(nodes), &mut Vec::new());
            Node {
                balancer,
                detector,
                open: HashMap::new(),
            }
        };
        let all_nodes = (0..nodes).map(node).collect();
        let (event_queue, requests, within_objective, arrived, affected_attempts) =
            (EventQueue::default(), 0, 0.0, 0, 0);
        let mut simulation = Self {
            server_fault,
            with_detection,
            event_queue,
            nodes: all_nodes,
            rng,
            requests,
            within_objective,
            arrived,
            affected_attempts,
        };
        for node in 0..nodes {
            let first = simulation.rng.f64() * 1_000.0 / REQUESTS_PER_S;
            simulation.event_queue.push(first, Scheduled::Arrive(node));
            if with_detection {
                simulation
                    .event_queue
                    .push(first, Scheduled::DetectorTimer(node));
            }
        }
        simulation
    }

    /// Runs to the end. Returns the fraction of the requests served within the latency objective, and the attempts at affected
    /// servers per 1,000 requests.
    fn run(mut self) -> (f64, f64) {
        while let Some(scheduled) = self.event_queue.next_until(SIMULATION_END_MS) {
            match scheduled {
                Scheduled::Arrive(node) => {
                    let interval_ms = -self.rng.f64().max(1e-9).ln() * 1_000.0 / REQUESTS_PER_S;
                    self.event_queue.push(interval_ms, Scheduled::Arrive(node));
                    self.requests += 1;
                    let id = self.requests;
                    self.nodes[node]
                        .open
                        .insert(id, (self.event_queue.now_ms, 0, None));
                    self.arrived += u64::from(self.is_measured());
                    self.handle_event(
                        node,
                        Event::Request(Request::new(RequestId(id), 0, DEADLINE_MS)),
                    );
                }
                Scheduled::Timer(node, timer) => self.handle_event(node, Event::Timer(timer)),
                Scheduled::AttemptEnd {
                    node,
                    request,
                    attempt,
                    server,
                    sent_at_ms,
                    result,
                } => {
                    self.end_attempt(
                        node,
                        request,
                        attempt,
                        server,
                        sent_at_ms,
                        RESULTS[usize::from(result)],
                    );
                }
                Scheduled::DetectorTimer(node) => {
                    self.event_queue
                        .push(1_000.0, Scheduled::DetectorTimer(node));
                    if self.server_fault == ServerFault::FalseReports
                        && node == 0
                        && (FAULT_START_MS..FAULT_END_MS).contains(&self.event_queue.now_ms)
                    {
                        self.attempt_ended(node, 0, Some(FailureKind::ErrorResponse));
                    }
                    self.detect(node, DetectorEvent::TimerFired);
                }
            }
        }
        (
            self.within_objective / self.arrived as f64,
            self.affected_attempts as f64 / self.arrived as f64 * 1_000.0,
        )
    }

    /// Whether the current time is within the measured period: from the beginning of the fault until some time after its end.
    fn is_measured(&self) -> bool {
        (FAULT_START_MS..SIMULATION_END_MS - DEADLINE_MS).contains(&self.event_queue.now_ms)
    }

    fn attempt_ended(&mut self, node: usize, server: usize, failure: Option<FailureKind>) {
        let server = server_key(server);
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
                    self.handle_event(node, Event::Hint { server, weight });
                }
                outlier_detection::Action::WakeAt(_) => {}
            }
        }
    }

    fn end_attempt(
        &mut self,
        node: usize,
        request: u64,
        attempt: usize,
        server: usize,
        sent_at_ms: f64,
        result: AttemptResult,
    ) {
        let Some(open) = self.nodes[node].open.get_mut(&request) else {
            return;
        };
        if open.2.is_none_or(|(in_flight, ..)| in_flight != attempt) {
            return;
        }
        open.2 = None;
        let arrived_at_ms = open.0;
        let is_served = result == AttemptResult::Served;
        if is_served {
            self.nodes[node].open.remove(&request);
            let is_measured =
                (FAULT_START_MS..SIMULATION_END_MS - DEADLINE_MS).contains(&arrived_at_ms);
            self.within_objective += f64::from(u8::from(
                is_measured && self.event_queue.now_ms - arrived_at_ms <= LATENCY_OBJECTIVE_MS,
            ));
        }
        if self.with_detection {
            let failure = match result {
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
            elapsed_ms: self.event_queue.now_ms - sent_at_ms,
            result,
            complete: is_served,
            report,
        };
        self.handle_event(node, Event::Outcome(outcome));
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node]
            .balancer
            .handle(self.event_queue.now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server } => {
                    let (now, server) = (self.event_queue.now_ms, server.0);
                    let Some(open) = self.nodes[node].open.get_mut(&request.0) else {
                        continue;
                    };
                    let attempt = open.1;
                    open.1 += 1;
                    open.2 = Some((attempt, now));
                    let remaining_ms = open.0 + DEADLINE_MS - now;
                    let (result, elapsed_ms) =
                        self.server_fault
                            .attempt_result(now, node, server, &mut self.rng);
                    let (result, elapsed_ms) = if elapsed_ms > remaining_ms {
                        (AttemptResult::TimedOut, remaining_ms)
                    } else {
                        (result, elapsed_ms)
                    };
                    self.affected_attempts += u64::from(
                        server < self.server_fault.affected_servers()
                            && (FAULT_START_MS..FAULT_END_MS).contains(&now),
                    );
                    let result = RESULTS
                        .iter()
                        .position(|known| *known == result)
                        .unwrap_or(0) as u8;
                    self.event_queue.push(
                        elapsed_ms,
                        Scheduled::AttemptEnd {
                            node,
                            request: request.0,
                            attempt,
                            server,
                            sent_at_ms: now,
                            result,
                        },
                    );
                }
                Action::Cancel { request, attempt } => {
                    let in_flight = self.nodes[node]
                        .open
                        .get(&request.0)
                        .and_then(|open| open.2);
                    if let Some((_, sent_at_ms)) =
                        in_flight.filter(|(number, ..)| *number == attempt)
                    {
                        self.confirm_cancellation(node, request.0, attempt, sent_at_ms);
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.nodes[node].open.remove(&request.0);
                }
                Action::SetTimer { timer, after_ms } => {
                    self.event_queue
                        .push(after_ms, Scheduled::Timer(node, timer));
                }
                _ => {}
            }
        }
    }

    fn confirm_cancellation(&mut self, node: usize, request: u64, attempt: usize, sent_at_ms: f64) {
        if let Some(open) = self.nodes[node].open.get_mut(&request) {
            open.2 = None;
        }
        let elapsed_ms = self.event_queue.now_ms - sent_at_ms;
        let (request, result) = (RequestId(request), AttemptResult::Cancelled);
        self.handle_event(
            node,
            Event::Outcome(Outcome {
                request,
                attempt,
                elapsed_ms,
                result,
                complete: false,
                report: None,
            }),
        );
    }
}

/// Prints the table by number of nodes and kind of fault.
pub fn measure() {
    println!(
        "\nbalancers in virtual time, {SERVERS} servers, {REQUESTS_PER_S} request/s of each node, a minute with the fault and half a minute after it; affected: attempts at affected servers per 1,000 requests; {SEEDS} seeds"
    );
    println!(
        "{:>12} {:>6} {:>14} {:>14} {:>16} {:>16} {:>7}",
        "fault", "nodes", "SLO, without", "SLO, with", "affected w/out", "affected with", "ratio"
    );
    for nodes in [30, 300] {
        let nodes = count(nodes, 5);
        for server_fault in SERVER_FAULTS {
            let seeds = count(SEEDS, 1) as u64;
            let mean = |with_detection| {
                let runs = (0..seeds).map(|seed| {
                    ClusterSimulation::new(server_fault, with_detection, nodes, seed).run()
                });
                let (timely, affected) =
                    runs.fold((0.0, 0.0), |sum, run| (sum.0 + run.0, sum.1 + run.1));
                (timely / seeds as f64, affected / seeds as f64)
            };
            let ((without, affected_without), (with, affected_with)) = (mean(false), mean(true));
            println!(
                "{:>12} {nodes:>6} {without:>14.4} {with:>14.4} {affected_without:>16.1} {affected_with:>16.1} {:>7.2}",
                format!("{server_fault:?}"),
                affected_with / affected_without.max(1e-9),
            );
        }
    }
}
