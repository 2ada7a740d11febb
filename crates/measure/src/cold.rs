//! What the budget of cold servers costs and spares: the node's own module, many of it, in virtual time, with servers that
//! queue and warm up; with the budget and told of none, from the same seeds.

use std::collections::HashMap;

use fastrand::Rng;
use silverthread::{
    Action, AttemptResult, Availability, Balancer, Class, Event, Idempotency, LoadReport, Outcome,
    Request, RequestId, ServerEntry, ServerId, ServerListUpdate, Settings,
};

use crate::event_queue::EventQueue;
use crate::system::count;

const AIM_MS: f64 = 400.0;
const DEADLINE_MS: f64 = 700.0;
const SERVERS: usize = 12;
/// Of them so many start at once, cold.
const COLD: usize = 4;
/// Mean work of a request at a warm server, which does one at a time, and how busy they are before: while four are cold they
/// can do 0.78 and more of it all.
const WORK_MS: f64 = 22.0;
const BUSY: [f64; 3] = [0.6, 0.75, 0.9];
const WAY_MS: f64 = 1.0;
const STARTS_MS: f64 = 20_000.0;
const COLD_FROM: f64 = 0.35;
const COLD_MS: f64 = 8_000.0;
const TIP_MULTIPLE: f64 = 3.0;
const TIP_AFTER_MS: f64 = 1_500.0;
const SEEDS: usize = 5;

enum Due {
    Arrive(usize),
    /// An attempt's answer is at its node.
    Answer {
        node: usize,
        request: u64,
        attempt: usize,
        server: usize,
        sent: f64,
    },
    /// A request is out of time.
    Over(usize, u64),
    Timer(usize, u64),
    /// Servers start anew.
    Start,
}

struct Open {
    arrived: f64,
    attempts: usize,
    /// The attempt that is out, and when it was sent.
    out: Option<(usize, f64)>,
}

struct Node {
    balancer: Balancer,
    open: HashMap<u64, Open>,
}

#[derive(Default)]
struct Server {
    started: Option<f64>,
    /// When it is through with what it has, and how much that is.
    free_at: f64,
    held: Vec<f64>,
    sends: Vec<f64>,
}

impl Server {
    fn speed(&self, now: f64) -> f64 {
        let warmth =
            |started: f64| COLD_FROM + (1.0 - COLD_FROM) * ((now - started) / COLD_MS).min(1.0);
        self.started.map_or(1.0, warmth)
    }

    /// Takes a request; tells when its answer goes out.
    fn take(&mut self, now: f64, work_ms: f64) -> f64 {
        self.sends.push(now);
        self.free_at = self.free_at.max(now) + work_ms / self.speed(now);
        self.held.push(self.free_at);
        self.free_at
    }

    fn in_flight(&mut self, now: f64) -> f64 {
        self.held.retain(|until| *until > now);
        self.held.len() as f64
    }

    /// The most that it got in the time in which it may fall.
    fn most(&self) -> usize {
        let within = |from: &f64| {
            self.sends
                .iter()
                .filter(|at| (*from..*from + TIP_AFTER_MS).contains(*at))
                .count()
        };
        self.sends.iter().map(within).max().unwrap_or(0)
    }
}

/// What a play came to, of the requests that came while servers were cold.
#[derive(Clone, Copy, Default)]
struct Played {
    asked: f64,
    refused: f64,
    in_aim: f64,
    /// The most that a cold server got in the time in which it may fall.
    most: usize,
}

struct World {
    event_queue: EventQueue<Due>,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    rng: Rng,
    mean_gap_ms: f64,
    requests: u64,
    played: Played,
}

impl World {
    fn new(nodes: usize, busy: f64, with_budget: bool, seed: u64) -> Self {
        let node = |me| {
            let mut settings = Settings::new(vec![Class::new(
                AIM_MS,
                DEADLINE_MS,
                Idempotency::Idempotent,
            )]);
            (
                settings.nodes,
                settings.node_index,
                settings.slow_start_fraction,
            ) = (nodes, me, COLD_FROM);
            settings.slow_start_ms = if with_budget { COLD_MS } else { 0.0 };
            (settings.collapse_multiple, settings.collapse_after_ms) = (TIP_MULTIPLE, TIP_AFTER_MS);
            let balancer = Balancer::new(settings, seed * 1_000 + me as u64).expect("sound");
            Node {
                balancer,
                open: HashMap::new(),
            }
        };
        let mut world = Self {
            event_queue: EventQueue::default(),
            nodes: (0..nodes).map(node).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            rng: Rng::with_seed(seed),
            mean_gap_ms: WORK_MS / busy / SERVERS as f64 * nodes as f64,
            requests: 0,
            played: Played::default(),
        };
        world.list();
        for node in 0..nodes {
            let first = world.gap();
            world.event_queue.push(first, Due::Arrive(node));
        }
        world.event_queue.push(STARTS_MS, Due::Start);
        world
    }

    fn gap(&mut self) -> f64 {
        -self.mean_gap_ms * self.rng.f64().max(1e-9).ln()
    }

    /// All nodes hear of all servers. One that started anew is another.
    fn list(&mut self) {
        let entry = |(at, server): (usize, &Server)| ServerEntry {
            started_at_ms: server.started,
            ..ServerEntry::new(
                ServerId(at + usize::from(server.started.is_some()) * SERVERS),
                Availability::Ready,
            )
        };
        let entries: Vec<_> = self.servers.iter().enumerate().map(entry).collect();
        for node in 0..self.nodes.len() {
            self.feed(
                node,
                Event::ServerList(ServerListUpdate::Full(entries.clone())),
            );
        }
    }

    /// Whether a request that came then counts.
    fn counts(at: f64) -> bool {
        (STARTS_MS..STARTS_MS + COLD_MS).contains(&at)
    }

    fn play(mut self) -> Played {
        while let Some(due) = self
            .event_queue
            .next_before(STARTS_MS + COLD_MS + DEADLINE_MS)
        {
            let now = self.event_queue.now_ms;
            match due {
                Due::Arrive(node) => {
                    let after = self.gap();
                    self.event_queue.push(after, Due::Arrive(node));
                    self.requests += 1;
                    let id = self.requests;
                    self.played.asked += f64::from(u8::from(Self::counts(now)));
                    self.nodes[node].open.insert(
                        id,
                        Open {
                            arrived: now,
                            attempts: 0,
                            out: None,
                        },
                    );
                    self.event_queue.push(DEADLINE_MS, Due::Over(node, id));
                    self.feed(
                        node,
                        Event::Request(Request::new(RequestId(id), 0, DEADLINE_MS)),
                    );
                }
                Due::Timer(node, timer) => self.feed(node, Event::Timer(timer)),
                Due::Start => {
                    let cold = SERVERS - COLD;
                    self.servers[cold..].iter_mut().for_each(|server| {
                        *server = Server {
                            started: Some(now),
                            ..Server::default()
                        };
                    });
                    self.list();
                }
                Due::Answer {
                    node,
                    request,
                    attempt,
                    server,
                    sent,
                } => {
                    let report = Some(self.servers[server].in_flight(now)).map(|held| LoadReport {
                        in_flight: Some(held),
                        ..LoadReport::default()
                    });
                    self.ended(node, request, attempt, sent, AttemptResult::Served, report);
                }
                Due::Over(node, request) => {
                    let out = self.nodes[node]
                        .open
                        .get(&request)
                        .and_then(|open| open.out);
                    if let Some((attempt, sent)) = out {
                        self.ended(node, request, attempt, sent, AttemptResult::TimedOut, None);
                    }
                    self.nodes[node].open.remove(&request);
                }
            }
        }
        let most = self.servers[SERVERS - COLD..]
            .iter()
            .map(Server::most)
            .max()
            .unwrap_or(0);
        Played {
            most,
            ..self.played
        }
    }

    fn ended(
        &mut self,
        node: usize,
        request: u64,
        attempt: usize,
        sent: f64,
        ending: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let now = self.event_queue.now_ms;
        let Some(open) = self.nodes[node].open.get_mut(&request) else {
            return;
        };
        if open.out.take_if(|(out, _)| *out == attempt).is_none() {
            return;
        }
        let complete = ending == AttemptResult::Served;
        if complete {
            let is_good = Self::counts(open.arrived) && now - open.arrived <= AIM_MS;
            self.played.in_aim += f64::from(u8::from(is_good));
            self.nodes[node].open.remove(&request);
        }
        let request = RequestId(request);
        let elapsed_ms = now - sent;
        self.feed(
            node,
            Event::Outcome(Outcome {
                request,
                attempt,
                elapsed_ms,
                result: ending,
                complete,
                report,
            }),
        );
    }

    fn feed(&mut self, node: usize, event: Event) {
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
                    open.out = Some((attempt, now));
                    let server = server.0 % SERVERS;
                    let work = -WORK_MS * self.rng.f64().max(1e-9).ln();
                    let through = self.servers[server].take(now, work);
                    let answer = Due::Answer {
                        node,
                        request: request.0,
                        attempt,
                        server,
                        sent: now,
                    };
                    self.event_queue.push(through - now + WAY_MS, answer);
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    if let Some(open) = self.nodes[node].open.remove(&request.0) {
                        let counts = Self::counts(open.arrived) && open.attempts == 0;
                        self.played.refused += f64::from(u8::from(counts));
                    }
                }
                Action::SetTimer { timer, after_ms } => {
                    self.event_queue.push(after_ms, Due::Timer(node, timer));
                }
                _ => {}
            }
        }
    }
}

/// Prints the table.
pub fn measure() {
    let bears = TIP_MULTIPLE * COLD_FROM * TIP_AFTER_MS / WORK_MS;
    println!(
        "\nthe module of each node, {SERVERS} servers of which {COLD} start cold at once; {SEEDS} seeds, the {:.0} s after the start; a cold one falls beyond {:.0} in {:.1} s",
        COLD_MS / 1e3,
        bears + 2.0 * bears.sqrt() + 2.0,
        TIP_AFTER_MS / 1e3,
    );
    println!(
        "{:>6} {:>6} {:>12} {:>12} {:>12} {:>12} {:>8} {:>10}",
        "busy %", "nodes", "refused %", "no budget", "in aim %", "no budget", "most", "no budget"
    );
    let cases = BUSY
        .into_iter()
        .flat_map(|busy| [2, 5, 20, 30, 300].map(|nodes| (busy, count(nodes, 2))));
    cases.for_each(|(busy, nodes)| row(busy, nodes));
}

fn row(busy: f64, nodes: usize) {
    let seeds = count(SEEDS, 1) as u64;
    let all = |with_budget| {
        let plays = (0..seeds).map(|seed| World::new(nodes, busy, with_budget, seed).play());
        plays.fold(Played::default(), |sum, one| Played {
            asked: sum.asked + one.asked,
            refused: sum.refused + one.refused,
            in_aim: sum.in_aim + one.in_aim,
            most: sum.most.max(one.most),
        })
    };
    let (with, without) = (all(true), all(false));
    let part = |of: f64, played: &Played| of / played.asked.max(1.0) * 100.0;
    println!(
        "{:>6.0} {nodes:>6} {:>12.2} {:>12.2} {:>12.2} {:>12.2} {:>8} {:>10}",
        busy * 100.0,
        part(with.refused, &with),
        part(without.refused, &without),
        part(with.in_aim, &with),
        part(without.in_aim, &without),
        with.most,
        without.most,
    );
}
