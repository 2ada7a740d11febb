//! Ways to find out that a node is gone, side by side in one simulation: SWIM with suspicion, the same with Lifeguard's local
//! health, phi-accrual over heartbeats to all, and the observers of `gossip`. The first three are the published rules in
//! their plainest form, for comparison alone: all nodes know each other from the start.

use std::collections::BTreeMap;

use fastrand::Rng;
use simulation::{Link, NodeId, Outbox, Process, Simulation};
use testkit::nodes::VirtualCluster;

use crate::parts::run_in_processes;
use crate::system::{count, quantile};

const PERIOD_MS: f64 = 500.0;
/// All of them are to bear pauses of this.
const SUSPECT_MS: f64 = 2_500.0;
/// What a datagram has beside its news, as sealed ones of `gossip` do.
const HEAD: usize = 48;
const MAX_UPDATES: usize = 8;
const HELPERS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Swim,
    Lifeguard,
    Phi,
}

const ALIVE: u8 = 0;
const SUSPECT: u8 = 1;
const GONE: u8 = 2;

#[derive(Clone, Debug)]
struct Known {
    state: u8,
    incarnation: u32,
    since: f64,
    accusers: u32,
    heard: f64,
    /// Mean and variance of the times between heartbeats.
    gaps: (f64, f64),
}

/// A node that goes by one of the published ways.
struct Plain {
    way: Way,
    me: NodeId,
    rng: Rng,
    known: Vec<Known>,
    order: Vec<NodeId>,
    next_ms: f64,
    probing: Option<(NodeId, f64, bool)>,
    acked: bool,
    /// For whom it asks, and who wants to know.
    relays: Vec<(NodeId, NodeId)>,
    news: BTreeMap<NodeId, u32>,
    /// Lifeguard's local health: 0 is well.
    sick: f64,
    gone: Vec<(f64, NodeId)>,
}

impl Plain {
    fn new(way: Way, me: NodeId, nodes: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed ^ (me as u64) << 24);
        let known = Known {
            state: ALIVE,
            incarnation: 0,
            since: 0.0,
            accusers: 0,
            heard: 0.0,
            gaps: (PERIOD_MS, 1e4),
        };
        let next_ms = 1e6 + rng.f64() * PERIOD_MS;
        Self {
            way,
            me,
            rng,
            known: vec![known; nodes],
            order: Vec::new(),
            next_ms,
            probing: None,
            acked: true,
            relays: Vec::new(),
            news: BTreeMap::new(),
            sick: 0.0,
            gone: Vec::new(),
        }
    }

    fn send(&mut self, out: &mut Outbox, to: NodeId, kind: u8, about: NodeId) {
        let mut bytes = vec![0; HEAD];
        bytes[0] = kind;
        bytes[1..5].copy_from_slice(&(about as u32).to_le_bytes());
        if self.way != Way::Phi {
            let mut news: Vec<_> = self.news.iter().map(|(of, sent)| (*sent, *of)).collect();
            news.sort_unstable();
            if self.way == Way::Lifeguard && self.known[to].state == SUSPECT {
                news.insert(0, (0, to)); // The buddy system: who is suspected is told first.
            }
            let often = 3 * usize::BITS.saturating_sub(self.known.len().leading_zeros());
            for (sent, of) in news.into_iter().take(MAX_UPDATES) {
                let known = &self.known[of];
                bytes.extend_from_slice(&(of as u32).to_le_bytes());
                bytes.extend_from_slice(&known.incarnation.to_le_bytes());
                bytes.push(known.state);
                // What else the record of a sealed datagram has.
                bytes.extend_from_slice(&[0; 9]);
                if sent + 1 >= often {
                    self.news.remove(&of);
                } else if let Some(sent) = self.news.get_mut(&of) {
                    *sent += 1;
                }
            }
        }
        out.send(to, bytes);
    }

    fn hear(&mut self, now: f64, of: NodeId, incarnation: u32, state: u8) {
        if of == self.me {
            if state != ALIVE && incarnation >= self.known[of].incarnation {
                self.known[of].incarnation = incarnation + 1;
                self.sick = (self.sick + 1.0).min(8.0);
                self.news.insert(of, 0);
            }
            return;
        }
        let known = &mut self.known[of];
        let is_later = incarnation > known.incarnation
            || (incarnation == known.incarnation && state > known.state);
        if is_later {
            if state == GONE && known.state != GONE {
                self.gone.push((now, of));
            }
            (known.state, known.incarnation, known.since, known.accusers) =
                (state, incarnation, now, 0);
            self.news.insert(of, 0);
        } else if state == SUSPECT && incarnation == known.incarnation && known.state == SUSPECT {
            known.accusers += 1;
        }
    }

    fn period(&mut self, now: f64, out: &mut Outbox) {
        if let Some((of, _, _)) = self.probing.take() {
            if self.acked {
                self.sick = (self.sick - 1.0).max(0.0);
            } else {
                self.sick = (self.sick + 1.0).min(8.0);
                let incarnation = self.known[of].incarnation;
                if self.known[of].state == ALIVE {
                    self.hear(now, of, incarnation, SUSPECT);
                }
            }
        }
        let others = self
            .known
            .iter()
            .filter(|known| known.state != GONE)
            .count() as f64;
        for of in 0..self.known.len() {
            let known = &self.known[of];
            if known.state != SUSPECT {
                continue;
            }
            // Lifeguard begins with a longer time that shrinks as others agree.
            let least = SUSPECT_MS;
            let wait = match self.way {
                Way::Lifeguard => {
                    let most = 6.0 * least * others.log10().max(1.0);
                    let part = (f64::from(known.accusers) + 1.0).ln() / 4_f64.ln();
                    (most - (most - least) * part).max(least)
                }
                _ => least,
            };
            if now - known.since >= wait {
                let incarnation = known.incarnation;
                self.hear(now, of, incarnation, GONE);
            }
        }
        if self.order.is_empty() {
            self.order = (0..self.known.len()).filter(|of| *of != self.me).collect();
            self.rng.shuffle(&mut self.order);
        }
        while let Some(of) = self.order.pop() {
            if self.known[of].state != GONE {
                self.acked = false;
                self.probing = Some((of, now, false));
                self.send(out, of, 1, of);
                break;
            }
        }
    }

    fn beat(&mut self, now: f64, out: &mut Outbox) {
        for of in (0..self.known.len())
            .filter(|of| *of != self.me)
            .collect::<Vec<_>>()
        {
            self.send(out, of, 1, of);
            let known = &mut self.known[of];
            if known.heard == 0.0 {
                known.heard = now;
            }
            // Phi 8 of a normal distribution lies 5.6 deviations above the mean.
            let limit = known.gaps.0 + 5.6 * known.gaps.1.sqrt().max(100.0) + SUSPECT_MS;
            let silent = now - known.heard > limit;
            if silent && known.state != GONE {
                known.state = GONE;
                self.gone.push((now, of));
            }
        }
    }
}

impl Process for Plain {
    fn wake(&mut self, now: f64, out: &mut Outbox) {
        let scale = if self.way == Way::Lifeguard {
            1.0 + self.sick
        } else {
            1.0
        };
        if let (Some((of, at, false)), true) = (self.probing, self.way != Way::Phi) {
            if !self.acked && now - at >= 0.4 * PERIOD_MS * scale {
                self.probing = Some((of, at, true));
                for _ in 0..HELPERS {
                    let helper = self.rng.usize(..self.known.len());
                    if helper != self.me && helper != of {
                        self.send(out, helper, 3, of);
                    }
                }
            }
        }
        if now >= self.next_ms {
            if self.way == Way::Phi {
                self.beat(now, out);
            } else {
                self.period(now, out);
            }
            self.next_ms = now + PERIOD_MS * scale;
        }
        out.wake_at((now + 0.2 * PERIOD_MS).min(self.next_ms));
    }

    fn receive(&mut self, now: f64, from: NodeId, bytes: &[u8], out: &mut Outbox) {
        let number = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let (kind, about) = (bytes[0], number(1) as NodeId);
        for at in (HEAD..bytes.len()).step_by(18) {
            self.hear(now, number(at) as NodeId, number(at + 4), bytes[at + 8]);
        }
        match (self.way, kind) {
            (Way::Phi, _) => {
                let known = &mut self.known[from];
                if known.heard > 0.0 {
                    let gap = now - known.heard;
                    known.gaps.1 += 0.02 * ((gap - known.gaps.0).powi(2) - known.gaps.1);
                    known.gaps.0 += 0.02 * (gap - known.gaps.0);
                }
                known.heard = now;
                known.state = ALIVE;
            }
            (_, 1) => self.send(out, from, 2, self.me),
            (_, 2) => {
                if self.probing.is_some_and(|(of, ..)| of == about) {
                    self.acked = true;
                }
                let (asked, rest) = std::mem::take(&mut self.relays)
                    .into_iter()
                    .partition(|(of, _)| *of == about);
                self.relays = rest;
                let asked: Vec<(NodeId, NodeId)> = asked;
                asked
                    .into_iter()
                    .for_each(|(_, asker)| self.send(out, asker, 2, about));
            }
            (_, 3) => {
                if self.relays.len() < 64 {
                    self.relays.push((about, from));
                }
                self.send(out, about, 1, about);
            }
            _ => {}
        }
    }
}

/// What one way came to in one size.
#[derive(Default)]
struct Row {
    bytes: f64,
    detect: [f64; 2],
    /// An hour of the whole fleet, at 10 and 30 % loss.
    wrong: [f64; 2],
    /// Nodes that a deaf one had gone to others.
    deaf: usize,
    /// Of two that are deaf to each other: whether either is gone to a third.
    pair: usize,
}

/// The operations that a trial needs of either kind of simulation.
trait Play {
    fn links(&mut self, link: Link);
    fn cut(&mut self, from: NodeId, to: NodeId);
    fn kill(&mut self, node: NodeId);
    fn run(&mut self, ms: f64);
    fn bytes(&self) -> u64;
    fn now(&self) -> f64;
    /// By whom, whom, when.
    fn gone(&self, since: f64) -> Vec<(NodeId, NodeId, f64)>;
}

struct SimulatedDetectors(Simulation<Plain>);

impl Play for SimulatedDetectors {
    fn links(&mut self, link: Link) {
        self.0.set_default_link(link);
    }
    fn cut(&mut self, from: NodeId, to: NodeId) {
        self.0.link_mut(from, to).cut = true;
    }
    fn kill(&mut self, node: NodeId) {
        self.0.kill(node);
    }
    fn run(&mut self, ms: f64) {
        self.0.run_until(self.0.now_ms() + ms);
    }
    fn bytes(&self) -> u64 {
        self.0.totals().sent.bytes
    }
    fn now(&self) -> f64 {
        self.0.now_ms()
    }
    fn gone(&self, since: f64) -> Vec<(NodeId, NodeId, f64)> {
        let of = |by: NodeId| {
            let gone = self
                .0
                .process(by)
                .map(|process| process.gone.clone())
                .unwrap_or_default();
            gone.into_iter().map(move |(at, node)| (by, node, at - 1e6))
        };
        (0..self.0.len())
            .flat_map(of)
            .filter(|(.., at)| *at >= since)
            .collect()
    }
}

struct Observers(VirtualCluster);

impl Play for Observers {
    fn links(&mut self, link: Link) {
        self.0.set_all_links(link);
    }
    fn cut(&mut self, from: NodeId, to: NodeId) {
        self.0.cut(from, to);
    }
    fn kill(&mut self, node: NodeId) {
        self.0.kill(node);
    }
    fn run(&mut self, ms: f64) {
        self.0.run(ms);
    }
    fn bytes(&self) -> u64 {
        self.0.simulation.totals().sent.bytes
    }
    fn now(&self) -> f64 {
        self.0.simulation.now_ms()
    }
    fn gone(&self, since: f64) -> Vec<(NodeId, NodeId, f64)> {
        let node = |name: &str| self.0.names.iter().position(|held| held == name);
        self.0
            .deaths_since(since)
            .into_iter()
            .filter_map(|(by, at, name)| Some((by, node(&name)?, at)))
            .collect()
    }
}

fn started(way: Option<Way>, nodes: usize, seed: u64) -> Box<dyn Play> {
    let mut play: Box<dyn Play> = match way {
        None => {
            let mut fleet = VirtualCluster::new(seed, nodes);
            fleet.start_all(1_000.0);
            Box::new(Observers(fleet))
        }
        Some(way) => {
            let mut simulation = Simulation::new(seed, nodes);
            (0..nodes).for_each(|node| simulation.start(node, Plain::new(way, node, nodes, seed)));
            Box::new(SimulatedDetectors(simulation))
        }
    };
    play.run(if nodes > 1_000 { 60_000.0 } else { 15_000.0 });
    play
}

fn row(way: Option<Way>, nodes: usize) -> Row {
    let mut row = Row::default();
    let kills = count(if nodes > 1_000 { 1 } else { 8 }, 1);
    let mut times = Vec::new();
    for kill in 0..kills {
        let mut play = started(way, nodes, kill as u64);
        let (bytes, at) = (play.bytes(), play.now());
        play.run(10_000.0);
        row.bytes = (play.bytes() - bytes) as f64 / 10.0 / nodes as f64;
        play.links(Link {
            loss: 0.1,
            ..Link::default()
        });
        let since = play.now().max(at);
        play.kill(1);
        play.run(60_000.0);
        let mut first = BTreeMap::new();
        for (by, node, at) in play.gone(since) {
            if node == 1 {
                first.entry(by).or_insert(at - since);
            }
        }
        times.extend(first.values().copied());
        times.extend((first.len()..nodes - 1).map(|_| f64::INFINITY));
    }
    row.detect = [0.5, 0.999].map(|part| quantile(&mut times, part) / 1e3);
    let minutes = if nodes > 1_000 {
        1.0
    } else {
        count(60, 1) as f64 * if nodes > 100 { 0.1 } else { 1.0 }
    };
    for (at, loss) in [0.1, 0.3].into_iter().enumerate() {
        let mut play = started(way, nodes, 77);
        play.links(Link {
            loss,
            ..Link::default()
        });
        let since = play.now();
        play.run(minutes * 60_000.0);
        // A node that is gone to many is one verdict.
        let verdicts: std::collections::BTreeSet<_> = play
            .gone(since)
            .into_iter()
            .map(|(_, node, at)| (node, (at / 30_000.0) as u64))
            .collect();
        row.wrong[at] = verdicts.len() as f64 * 60.0 / minutes;
    }
    let mut play = started(way, nodes, 5);
    let since = play.now();
    (1..nodes).for_each(|from| play.cut(from, 0));
    play.run(30_000.0);
    let deaf: std::collections::BTreeSet<_> = play
        .gone(since)
        .into_iter()
        .filter(|(by, node, _)| *by != 0 && *node != 0)
        .map(|(_, node, _)| node)
        .collect();
    row.deaf = deaf.len();
    let mut play = started(way, nodes, 6);
    let since = play.now();
    play.cut(0, 1);
    play.cut(1, 0);
    play.run(60_000.0);
    row.pair = play.gone(since).len();
    row
}

const WAYS: [(&str, Option<Way>); 4] = [
    ("SWIM", Some(Way::Swim)),
    ("Lifeguard", Some(Way::Lifeguard)),
    ("phi to all", Some(Way::Phi)),
    ("observers", None),
];

/// Prints the table, up to 300 nodes.
pub fn measure() {
    table("detectors");
}

/// The same at 3,000 nodes: takes many minutes.
pub fn large() {
    table("detectors-large");
}

/// What a part of a table plays.
fn plays(subject: &str) -> Vec<(usize, (&'static str, Option<Way>))> {
    let sizes: &[usize] = if subject == "detectors" {
        &[4, 30, 300]
    } else {
        &[3_000]
    };
    let sizes = sizes.iter().filter(|nodes| **nodes <= count(3_000, 4));
    let all = sizes.flat_map(|nodes| WAYS.map(|way| (*nodes, way)));
    // 18 million heartbeats a second are not played.
    all.filter(|(nodes, (_, way))| *nodes < 3_000 || *way != Some(Way::Phi))
        .collect()
}

/// One row of a table.
pub fn row_of(subject: &str, part: u64) -> String {
    let (nodes, (name, way)) = plays(subject)[part as usize];
    let Row {
        bytes,
        detect: [p50, tail],
        wrong: [ten, thirty],
        deaf,
        pair,
    } = row(way, nodes);
    format!(
        "{name:>18} {nodes:>6} {bytes:>9.0} {p50:>10.2} {tail:>11.2} {ten:>14.1} {thirty:>14.1} {deaf:>10} {pair:>10}"
    )
}

fn table(subject: &str) {
    println!("\nways to find that a node is gone; detection and verdicts at 10 % loss, pauses of {SUSPECT_MS} ms to be borne");
    println!(
        "{:>18} {:>6} {:>9} {:>10} {:>11} {:>14} {:>14} {:>10} {:>10}",
        "way",
        "nodes",
        "bytes/s",
        "p50 s",
        "p99.9 s",
        "false/h 10 %",
        "false/h 30 %",
        "deaf: gone",
        "pair: gone"
    );
    let said = run_in_processes(subject, plays(subject).len() as u64, 1);
    said.iter()
        .filter_map(|said| said.lines().last())
        .for_each(|row| println!("{row}"));
}
