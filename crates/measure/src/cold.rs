//! Cost and benefit of the request budget for servers in slow start: the balancers of many nodes in virtual time, with
//! servers that queue requests and warm up; with and without the budget, from the same seeds.

use std::collections::HashMap;

use fastrand::Rng;
use silverthread::{
    Action, AttemptResult, Availability, Balancer, Class, Event, Idempotency, LoadReport, Outcome,
    Request, RequestId, ServerEntry, ServerId, ServerListUpdate, Settings,
};

use crate::event_queue::EventQueue;
use crate::system::count;

const LATENCY_OBJECTIVE_MS: f64 = 400.0;
const DEADLINE_MS: f64 = 700.0;
const SERVERS: usize = 12;
/// Number of servers that restart at the same time and are cold afterwards.
const COLD_SERVERS: usize = 4;
/// Mean processing time of a request at a warm server, which processes one request at a time.
const WORK_MS: f64 = 22.0;
/// Utilization of the servers before the restart. While four are cold, the capacity is at least 0.78 of the full one.
const UTILIZATIONS: [f64; 3] = [0.6, 0.75, 0.9];
/// Network delay of a response.
const RESPONSE_DELAY_MS: f64 = 1.0;
const RESTART_MS: f64 = 20_000.0;
/// Speed of a server that has just started, as a fraction of its full speed.
const INITIAL_SPEED: f64 = 0.35;
/// Time until a started server has its full speed.
const WARM_UP_MS: f64 = 8_000.0;
const COLLAPSE_MULTIPLE: f64 = 3.0;
const COLLAPSE_AFTER_MS: f64 = 1_500.0;
const SEEDS: usize = 5;

enum Scheduled {
    /// A request arrives at a node.
    Arrive(usize),
    /// The response to an attempt reaches its node.
    Response {
        node: usize,
        request: u64,
        attempt: usize,
        server: usize,
        sent_at_ms: f64,
    },
    /// The deadline of a request is reached: its node and identifier.
    DeadlineReached(usize, u64),
    /// A timer of a balancer expires: its node and identifier.
    Timer(usize, u64),
    /// The cold servers restart.
    Restart,
}

struct OpenRequest {
    arrived_at_ms: f64,
    attempts: usize,
    /// Number of the attempt in flight and the time at which it was sent.
    in_flight: Option<(usize, f64)>,
}

struct Node {
    balancer: Balancer,
    open: HashMap<u64, OpenRequest>,
}

#[derive(Default)]
struct Server {
    /// Time of the restart in milliseconds, if the server has restarted.
    restarted_at_ms: Option<f64>,
    /// Time at which all queued requests are completed, in milliseconds.
    free_at_ms: f64,
    /// Completion times of the requests in flight.
    completions: Vec<f64>,
    /// Arrival times of all requests.
    arrivals: Vec<f64>,
}

impl Server {
    fn speed(&self, now: f64) -> f64 {
        let warming_speed = |restarted_at_ms: f64| {
            INITIAL_SPEED + (1.0 - INITIAL_SPEED) * ((now - restarted_at_ms) / WARM_UP_MS).min(1.0)
        };
        self.restarted_at_ms.map_or(1.0, warming_speed)
    }

    /// Adds a request to the queue and returns the time at which its response is sent.
    fn enqueue(&mut self, now: f64, work_ms: f64) -> f64 {
        self.arrivals.push(now);
        self.free_at_ms = self.free_at_ms.max(now) + work_ms / self.speed(now);
        self.completions.push(self.free_at_ms);
        self.free_at_ms
    }

    fn in_flight(&mut self, now: f64) -> f64 {
        self.completions.retain(|completed_at| *completed_at > now);
        self.completions.len() as f64
    }

    /// Maximum number of requests received in any period of `COLLAPSE_AFTER_MS`.
    fn peak_requests(&self) -> usize {
        let requests_within = |from: &f64| {
            self.arrivals
                .iter()
                .filter(|at| (*from..*from + COLLAPSE_AFTER_MS).contains(*at))
                .count()
        };
        self.arrivals.iter().map(requests_within).max().unwrap_or(0)
    }
}

/// Totals of a run, of the requests that arrived while servers were cold.
#[derive(Clone, Copy, Default)]
struct Totals {
    requests: f64,
    rejected: f64,
    /// Requests served within the latency objective.
    within_objective: f64,
    /// Maximum number of requests that a cold server received in any period of `COLLAPSE_AFTER_MS`.
    peak_requests: usize,
}

struct ClusterSimulation {
    event_queue: EventQueue<Scheduled>,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    rng: Rng,
    mean_interval_ms: f64,
    requests: u64,
    totals: Totals,
}

impl ClusterSimulation {
    fn new(nodes: usize, utilization: f64, with_budget: bool, seed: u64) -> Self {
        let node = |me| {
            let mut settings = Settings::new(vec![Class::new(
                LATENCY_OBJECTIVE_MS,
                DEADLINE_MS,
                Idempotency::Idempotent,
            )]);
            (
                settings.nodes,
                settings.node_index,
                settings.slow_start_fraction,
            ) = (nodes, me, INITIAL_SPEED);
            settings.slow_start_ms = if with_budget { WARM_UP_MS } else { 0.0 };
            (settings.collapse_multiple, settings.collapse_after_ms) =
                (COLLAPSE_MULTIPLE, COLLAPSE_AFTER_MS);
            let balancer =
                Balancer::new(settings, seed * 1_000 + me as u64).expect("the settings are valid");
            Node {
                balancer,
                open: HashMap::new(),
            }
        };
        let mut simulation = Self {
            event_queue: EventQueue::default(),
            nodes: (0..nodes).map(node).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            rng: Rng::with_seed(seed),
            mean_interval_ms: WORK_MS / utilization / SERVERS as f64 * nodes as f64,
            requests: 0,
            totals: Totals::default(),
        };
        simulation.update_server_lists();
        for node in 0..nodes {
            let first = simulation.next_interval_ms();
            simulation.event_queue.push(first, Scheduled::Arrive(node));
        }
        simulation.event_queue.push(RESTART_MS, Scheduled::Restart);
        simulation
    }

    /// Draws an exponentially distributed time between two arrivals at a node.
    fn next_interval_ms(&mut self) -> f64 {
        -self.mean_interval_ms * self.rng.f64().max(1e-9).ln()
    }

    /// Sends the list of all servers to all nodes. A restarted server has a new identity.
    fn update_server_lists(&mut self) {
        let entry = |(at, server): (usize, &Server)| ServerEntry {
            started_at_ms: server.restarted_at_ms,
            ..ServerEntry::new(
                ServerId(at + usize::from(server.restarted_at_ms.is_some()) * SERVERS),
                Availability::Ready,
            )
        };
        let entries: Vec<_> = self.servers.iter().enumerate().map(entry).collect();
        for node in 0..self.nodes.len() {
            self.handle_event(
                node,
                Event::ServerList(ServerListUpdate::Full(entries.clone())),
            );
        }
    }

    /// Whether a request that arrived at this time is measured.
    fn is_measured(arrived_at_ms: f64) -> bool {
        (RESTART_MS..RESTART_MS + WARM_UP_MS).contains(&arrived_at_ms)
    }

    fn run(mut self) -> Totals {
        while let Some(scheduled) = self
            .event_queue
            .next_until(RESTART_MS + WARM_UP_MS + DEADLINE_MS)
        {
            let now = self.event_queue.now_ms;
            match scheduled {
                Scheduled::Arrive(node) => {
                    let interval_ms = self.next_interval_ms();
                    self.event_queue.push(interval_ms, Scheduled::Arrive(node));
                    self.requests += 1;
                    let id = self.requests;
                    self.totals.requests += f64::from(u8::from(Self::is_measured(now)));
                    self.nodes[node].open.insert(
                        id,
                        OpenRequest {
                            arrived_at_ms: now,
                            attempts: 0,
                            in_flight: None,
                        },
                    );
                    self.event_queue
                        .push(DEADLINE_MS, Scheduled::DeadlineReached(node, id));
                    self.handle_event(
                        node,
                        Event::Request(Request::new(RequestId(id), 0, DEADLINE_MS)),
                    );
                }
                Scheduled::Timer(node, timer) => self.handle_event(node, Event::Timer(timer)),
                Scheduled::Restart => {
                    let cold = SERVERS - COLD_SERVERS;
                    self.servers[cold..].iter_mut().for_each(|server| {
                        *server = Server {
                            restarted_at_ms: Some(now),
                            ..Server::default()
                        };
                    });
                    self.update_server_lists();
                }
                Scheduled::Response {
                    node,
                    request,
                    attempt,
                    server,
                    sent_at_ms,
                } => {
                    let report =
                        Some(self.servers[server].in_flight(now)).map(|in_flight| LoadReport {
                            in_flight: Some(in_flight),
                            ..LoadReport::default()
                        });
                    self.attempt_ended(
                        node,
                        request,
                        attempt,
                        sent_at_ms,
                        AttemptResult::Served,
                        report,
                    );
                }
                Scheduled::DeadlineReached(node, request) => {
                    let in_flight = self.nodes[node]
                        .open
                        .get(&request)
                        .and_then(|open| open.in_flight);
                    if let Some((attempt, sent_at_ms)) = in_flight {
                        self.attempt_ended(
                            node,
                            request,
                            attempt,
                            sent_at_ms,
                            AttemptResult::TimedOut,
                            None,
                        );
                    }
                    self.nodes[node].open.remove(&request);
                }
            }
        }
        let peak_requests = self.servers[SERVERS - COLD_SERVERS..]
            .iter()
            .map(Server::peak_requests)
            .max()
            .unwrap_or(0);
        Totals {
            peak_requests,
            ..self.totals
        }
    }

    fn attempt_ended(
        &mut self,
        node: usize,
        request: u64,
        attempt: usize,
        sent_at_ms: f64,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let now = self.event_queue.now_ms;
        let Some(open) = self.nodes[node].open.get_mut(&request) else {
            return;
        };
        if open
            .in_flight
            .take_if(|(in_flight, _)| *in_flight == attempt)
            .is_none()
        {
            return;
        }
        let complete = result == AttemptResult::Served;
        if complete {
            let is_timely = Self::is_measured(open.arrived_at_ms)
                && now - open.arrived_at_ms <= LATENCY_OBJECTIVE_MS;
            self.totals.within_objective += f64::from(u8::from(is_timely));
            self.nodes[node].open.remove(&request);
        }
        let request = RequestId(request);
        let elapsed_ms = now - sent_at_ms;
        self.handle_event(
            node,
            Event::Outcome(Outcome {
                request,
                attempt,
                elapsed_ms,
                result,
                complete,
                report,
            }),
        );
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        let (mut actions, now) = (Vec::new(), self.event_queue.now_ms);
        self.nodes[node].balancer.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server } => {
                    let Some(open) = self.nodes[node].open.get_mut(&request.0) else {
                        continue;
                    };
                    let attempt = open.attempts;
                    open.attempts += 1;
                    open.in_flight = Some((attempt, now));
                    let server = server.0 % SERVERS;
                    let work = -WORK_MS * self.rng.f64().max(1e-9).ln();
                    let completed_at = self.servers[server].enqueue(now, work);
                    let response = Scheduled::Response {
                        node,
                        request: request.0,
                        attempt,
                        server,
                        sent_at_ms: now,
                    };
                    self.event_queue
                        .push(completed_at - now + RESPONSE_DELAY_MS, response);
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    if let Some(open) = self.nodes[node].open.remove(&request.0) {
                        let is_measured =
                            Self::is_measured(open.arrived_at_ms) && open.attempts == 0;
                        self.totals.rejected += f64::from(u8::from(is_measured));
                    }
                }
                Action::SetTimer { timer, after_ms } => {
                    self.event_queue
                        .push(after_ms, Scheduled::Timer(node, timer));
                }
                _ => {}
            }
        }
    }
}

/// Prints the table by utilization and number of nodes.
pub fn measure() {
    let sustained_requests = COLLAPSE_MULTIPLE * INITIAL_SPEED * COLLAPSE_AFTER_MS / WORK_MS;
    println!(
        "\nbalancers in virtual time, {SERVERS} servers of which {COLD_SERVERS} restart cold at once; {SEEDS} seeds, the {:.0} s after the restart; a cold server collapses beyond {:.0} requests in {:.1} s; peak: most requests of a cold server in that time",
        WARM_UP_MS / 1e3,
        sustained_requests + 2.0 * sustained_requests.sqrt() + 2.0,
        COLLAPSE_AFTER_MS / 1e3,
    );
    println!(
        "{:>6} {:>6} {:>12} {:>12} {:>12} {:>12} {:>8} {:>10}",
        "util %", "nodes", "rejected %", "no budget", "in SLO %", "no budget", "peak", "no budget"
    );
    let cases = UTILIZATIONS
        .into_iter()
        .flat_map(|utilization| [2, 5, 20, 30, 300].map(|nodes| (utilization, count(nodes, 2))));
    cases.for_each(|(utilization, nodes)| print_row(utilization, nodes));
}

fn print_row(utilization: f64, nodes: usize) {
    let seeds = count(SEEDS, 1) as u64;
    let run_all = |with_budget| {
        let runs = (0..seeds)
            .map(|seed| ClusterSimulation::new(nodes, utilization, with_budget, seed).run());
        runs.fold(Totals::default(), |sum, run| Totals {
            requests: sum.requests + run.requests,
            rejected: sum.rejected + run.rejected,
            within_objective: sum.within_objective + run.within_objective,
            peak_requests: sum.peak_requests.max(run.peak_requests),
        })
    };
    let (with, without) = (run_all(true), run_all(false));
    let percentage = |count: f64, totals: &Totals| count / totals.requests.max(1.0) * 100.0;
    println!(
        "{:>6.0} {nodes:>6} {:>12.2} {:>12.2} {:>12.2} {:>12.2} {:>8} {:>10}",
        utilization * 100.0,
        percentage(with.rejected, &with),
        percentage(without.rejected, &without),
        percentage(with.within_objective, &with),
        percentage(without.within_objective, &without),
        with.peak_requests,
        without.peak_requests,
    );
}
