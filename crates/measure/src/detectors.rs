//! Comparison of failure detectors in simulations: SWIM with suspicion, SWIM with Lifeguard's local health, phi accrual over
//! heartbeats to all nodes, and the observers of `gossip`. The first three implement the published rules in their simplest
//! form, for comparison only: every node has the full list of nodes from the start.

use std::collections::BTreeMap;

use fastrand::Rng;
use simulation::{Link, NodeId, Outbox, Process, Simulation};
use testkit::nodes::VirtualCluster;

use crate::parts::run_in_processes;
use crate::system::{count, quantile};

const PERIOD_MS: f64 = 500.0;
/// Pause of a node that every detector has to tolerate.
const SUSPECT_MS: f64 = 2_500.0;
/// Size of a datagram without its updates, the same as that of a sealed datagram of `gossip`.
const HEADER_BYTES: usize = 48;
const MAX_UPDATES: usize = 8;
/// Number of nodes asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Detector {
    Swim,
    Lifeguard,
    Phi,
}

const ALIVE: u8 = 0;
const SUSPECT: u8 = 1;
const DEAD: u8 = 2;

#[derive(Clone, Debug)]
struct Peer {
    state: u8,
    incarnation: u32,
    /// Time of the last change of the state or incarnation.
    since: f64,
    /// Further suspicions of the same incarnation.
    confirmations: u32,
    /// Time of the last heartbeat; 0 before the first.
    last_heartbeat: f64,
    /// Mean and variance of the times between heartbeats.
    intervals: (f64, f64),
}

/// A node with one of the published detectors.
struct PublishedDetector {
    detector: Detector,
    me: NodeId,
    rng: Rng,
    peers: Vec<Peer>,
    /// Nodes left to probe in this cycle, the next one last.
    probe_order: Vec<NodeId>,
    next_period_ms: f64,
    /// The probed node, the time of the probe, and whether indirect probes were requested.
    probe: Option<(NodeId, f64, bool)>,
    is_acknowledged: bool,
    /// Indirect probes in progress: the probed node and the node that requested the probe.
    indirect_probes: Vec<(NodeId, NodeId)>,
    /// Nodes whose state is disseminated, with the number of transmissions so far.
    updates: BTreeMap<NodeId, u32>,
    /// Lifeguard's local health score: 0 is healthy.
    local_health: f64,
    /// Death verdicts: time and dead node.
    deaths: Vec<(f64, NodeId)>,
}

impl PublishedDetector {
    fn new(detector: Detector, me: NodeId, nodes: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed ^ (me as u64) << 24);
        let peer = Peer {
            state: ALIVE,
            incarnation: 0,
            since: 0.0,
            confirmations: 0,
            last_heartbeat: 0.0,
            intervals: (PERIOD_MS, 1e4),
        };
        let next_period_ms = 1e6 + rng.f64() * PERIOD_MS;
        Self {
            detector,
            me,
            rng,
            peers: vec![peer; nodes],
            probe_order: Vec::new(),
            next_period_ms,
            probe: None,
            is_acknowledged: true,
            indirect_probes: Vec::new(),
            updates: BTreeMap::new(),
            local_health: 0.0,
            deaths: Vec::new(),
        }
    }

    /// Sends a message about a node, with the updates that are disseminated. Kinds: 1 is a probe or heartbeat, 2 an
    /// acknowledgement, 3 a request for an indirect probe.
    fn send(&mut self, out: &mut Outbox, to: NodeId, kind: u8, about: NodeId) {
        let mut bytes = vec![0; HEADER_BYTES];
        bytes[0] = kind;
        bytes[1..5].copy_from_slice(&(about as u32).to_le_bytes());
        if self.detector != Detector::Phi {
            let mut updates: Vec<_> = self
                .updates
                .iter()
                .map(|(node, sent)| (*sent, *node))
                .collect();
            updates.sort_unstable();
            if self.detector == Detector::Lifeguard && self.peers[to].state == SUSPECT {
                updates.insert(0, (0, to)); // Lifeguard's buddy system: a suspect receives the suspicion first.
            }
            let max_transmissions =
                3 * usize::BITS.saturating_sub(self.peers.len().leading_zeros());
            for (sent, node) in updates.into_iter().take(MAX_UPDATES) {
                let peer = &self.peers[node];
                bytes.extend_from_slice(&(node as u32).to_le_bytes());
                bytes.extend_from_slice(&peer.incarnation.to_le_bytes());
                bytes.push(peer.state);
                // Padding to the size of a record in a sealed datagram.
                bytes.extend_from_slice(&[0; 9]);
                if sent + 1 >= max_transmissions {
                    self.updates.remove(&node);
                } else if let Some(sent) = self.updates.get_mut(&node) {
                    *sent += 1;
                }
            }
        }
        out.send(to, bytes);
    }

    fn apply_update(&mut self, now: f64, node: NodeId, incarnation: u32, state: u8) {
        if node == self.me {
            if state != ALIVE && incarnation >= self.peers[node].incarnation {
                self.peers[node].incarnation = incarnation + 1;
                self.local_health = (self.local_health + 1.0).min(8.0);
                self.updates.insert(node, 0);
            }
            return;
        }
        let peer = &mut self.peers[node];
        let is_newer = incarnation > peer.incarnation
            || (incarnation == peer.incarnation && state > peer.state);
        if is_newer {
            if state == DEAD && peer.state != DEAD {
                self.deaths.push((now, node));
            }
            (peer.state, peer.incarnation, peer.since, peer.confirmations) =
                (state, incarnation, now, 0);
            self.updates.insert(node, 0);
        } else if state == SUSPECT && incarnation == peer.incarnation && peer.state == SUSPECT {
            peer.confirmations += 1;
        }
    }

    fn start_period(&mut self, now: f64, out: &mut Outbox) {
        if let Some((node, _, _)) = self.probe.take() {
            if self.is_acknowledged {
                self.local_health = (self.local_health - 1.0).max(0.0);
            } else {
                self.local_health = (self.local_health + 1.0).min(8.0);
                let incarnation = self.peers[node].incarnation;
                if self.peers[node].state == ALIVE {
                    self.apply_update(now, node, incarnation, SUSPECT);
                }
            }
        }
        let live_nodes = self.peers.iter().filter(|peer| peer.state != DEAD).count() as f64;
        for node in 0..self.peers.len() {
            let peer = &self.peers[node];
            if peer.state != SUSPECT {
                continue;
            }
            // Lifeguard starts with a longer suspicion timeout and shortens it with each confirmation.
            let min_timeout_ms = SUSPECT_MS;
            let timeout_ms = match self.detector {
                Detector::Lifeguard => {
                    let max_timeout_ms = 6.0 * min_timeout_ms * live_nodes.log10().max(1.0);
                    let fraction = (f64::from(peer.confirmations) + 1.0).ln() / 4_f64.ln();
                    (max_timeout_ms - (max_timeout_ms - min_timeout_ms) * fraction)
                        .max(min_timeout_ms)
                }
                _ => min_timeout_ms,
            };
            if now - peer.since >= timeout_ms {
                let incarnation = peer.incarnation;
                self.apply_update(now, node, incarnation, DEAD);
            }
        }
        if self.probe_order.is_empty() {
            self.probe_order = (0..self.peers.len())
                .filter(|node| *node != self.me)
                .collect();
            self.rng.shuffle(&mut self.probe_order);
        }
        while let Some(node) = self.probe_order.pop() {
            if self.peers[node].state != DEAD {
                self.is_acknowledged = false;
                self.probe = Some((node, now, false));
                self.send(out, node, 1, node);
                break;
            }
        }
    }

    fn send_heartbeats(&mut self, now: f64, out: &mut Outbox) {
        for node in (0..self.peers.len())
            .filter(|node| *node != self.me)
            .collect::<Vec<_>>()
        {
            self.send(out, node, 1, node);
            let peer = &mut self.peers[node];
            if peer.last_heartbeat == 0.0 {
                peer.last_heartbeat = now;
            }
            // A phi of 8 corresponds to 5.6 standard deviations above the mean of a normal distribution.
            let limit_ms = peer.intervals.0 + 5.6 * peer.intervals.1.sqrt().max(100.0) + SUSPECT_MS;
            let is_silent = now - peer.last_heartbeat > limit_ms;
            if is_silent && peer.state != DEAD {
                peer.state = DEAD;
                self.deaths.push((now, node));
            }
        }
    }
}

impl Process for PublishedDetector {
    fn wake(&mut self, now: f64, out: &mut Outbox) {
        let scale = if self.detector == Detector::Lifeguard {
            1.0 + self.local_health
        } else {
            1.0
        };
        if let (Some((node, at, false)), true) = (self.probe, self.detector != Detector::Phi) {
            if !self.is_acknowledged && now - at >= 0.4 * PERIOD_MS * scale {
                self.probe = Some((node, at, true));
                for _ in 0..INDIRECT_PROBES {
                    let relay = self.rng.usize(..self.peers.len());
                    if relay != self.me && relay != node {
                        self.send(out, relay, 3, node);
                    }
                }
            }
        }
        if now >= self.next_period_ms {
            if self.detector == Detector::Phi {
                self.send_heartbeats(now, out);
            } else {
                self.start_period(now, out);
            }
            self.next_period_ms = now + PERIOD_MS * scale;
        }
        out.wake_at((now + 0.2 * PERIOD_MS).min(self.next_period_ms));
    }

    fn receive(&mut self, now: f64, from: NodeId, bytes: &[u8], out: &mut Outbox) {
        let number = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let (kind, about) = (bytes[0], number(1) as NodeId);
        for at in (HEADER_BYTES..bytes.len()).step_by(18) {
            self.apply_update(now, number(at) as NodeId, number(at + 4), bytes[at + 8]);
        }
        match (self.detector, kind) {
            (Detector::Phi, _) => {
                let peer = &mut self.peers[from];
                if peer.last_heartbeat > 0.0 {
                    let interval = now - peer.last_heartbeat;
                    peer.intervals.1 +=
                        0.02 * ((interval - peer.intervals.0).powi(2) - peer.intervals.1);
                    peer.intervals.0 += 0.02 * (interval - peer.intervals.0);
                }
                peer.last_heartbeat = now;
                peer.state = ALIVE;
            }
            (_, 1) => self.send(out, from, 2, self.me),
            (_, 2) => {
                if self.probe.is_some_and(|(node, ..)| node == about) {
                    self.is_acknowledged = true;
                }
                let (answered, pending) = std::mem::take(&mut self.indirect_probes)
                    .into_iter()
                    .partition(|(node, _)| *node == about);
                self.indirect_probes = pending;
                let answered: Vec<(NodeId, NodeId)> = answered;
                answered
                    .into_iter()
                    .for_each(|(_, requester)| self.send(out, requester, 2, about));
            }
            (_, 3) => {
                if self.indirect_probes.len() < 64 {
                    self.indirect_probes.push((about, from));
                }
                self.send(out, about, 1, about);
            }
            _ => {}
        }
    }
}

/// Measurements of one detector at one cluster size.
#[derive(Default)]
struct Row {
    /// Bytes sent per second and node.
    bytes: f64,
    /// Median and 99.9th percentile of the detection time, in seconds.
    detection_s: [f64; 2],
    /// False death verdicts per hour of the whole cluster, at 10 and 30 % loss.
    false_verdicts: [f64; 2],
    /// Number of other nodes that are declared dead while one node receives nothing.
    cut_node_deaths: usize,
    /// Number of death verdicts while two nodes receive nothing from each other.
    pair_deaths: usize,
}

/// Operations of a simulated cluster that a trial uses, whichever detector its nodes run.
trait Cluster {
    fn set_links(&mut self, link: Link);
    fn cut(&mut self, from: NodeId, to: NodeId);
    fn kill(&mut self, node: NodeId);
    fn run(&mut self, ms: f64);
    fn sent_bytes(&self) -> u64;
    fn now_ms(&self) -> f64;
    /// Death verdicts since a time: the judging node, the dead node and the time.
    fn deaths(&self, since: f64) -> Vec<(NodeId, NodeId, f64)>;
}

struct SimulatedDetectors(Simulation<PublishedDetector>);

impl Cluster for SimulatedDetectors {
    fn set_links(&mut self, link: Link) {
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
    fn sent_bytes(&self) -> u64 {
        self.0.totals().sent.bytes
    }
    fn now_ms(&self) -> f64 {
        self.0.now_ms()
    }
    fn deaths(&self, since: f64) -> Vec<(NodeId, NodeId, f64)> {
        let verdicts_of = |by: NodeId| {
            let deaths = self
                .0
                .process(by)
                .map(|process| process.deaths.clone())
                .unwrap_or_default();
            deaths
                .into_iter()
                .map(move |(at, node)| (by, node, at - 1e6))
        };
        (0..self.0.len())
            .flat_map(verdicts_of)
            .filter(|(.., at)| *at >= since)
            .collect()
    }
}

struct GossipObservers(VirtualCluster);

impl Cluster for GossipObservers {
    fn set_links(&mut self, link: Link) {
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
    fn sent_bytes(&self) -> u64 {
        self.0.simulation.totals().sent.bytes
    }
    fn now_ms(&self) -> f64 {
        self.0.simulation.now_ms()
    }
    fn deaths(&self, since: f64) -> Vec<(NodeId, NodeId, f64)> {
        let node = |name: &str| {
            self.0
                .names
                .iter()
                .position(|known_name| known_name == name)
        };
        self.0
            .deaths_since(since)
            .into_iter()
            .filter_map(|(by, at, name)| Some((by, node(&name)?, at)))
            .collect()
    }
}

fn start_cluster(detector: Option<Detector>, nodes: usize, seed: u64) -> Box<dyn Cluster> {
    let mut cluster: Box<dyn Cluster> = match detector {
        None => {
            let mut gossip = VirtualCluster::new(seed, nodes);
            gossip.start_all(1_000.0);
            Box::new(GossipObservers(gossip))
        }
        Some(detector) => {
            let mut simulation = Simulation::new(seed, nodes);
            (0..nodes).for_each(|node| {
                simulation.start(node, PublishedDetector::new(detector, node, nodes, seed));
            });
            Box::new(SimulatedDetectors(simulation))
        }
    };
    cluster.run(if nodes > 1_000 { 60_000.0 } else { 15_000.0 });
    cluster
}

fn measure_row(detector: Option<Detector>, nodes: usize) -> Row {
    let mut row = Row::default();
    let kills = count(if nodes > 1_000 { 1 } else { 8 }, 1);
    let mut detection_times = Vec::new();
    for kill in 0..kills {
        let mut cluster = start_cluster(detector, nodes, kill as u64);
        let (bytes, at) = (cluster.sent_bytes(), cluster.now_ms());
        cluster.run(10_000.0);
        row.bytes = (cluster.sent_bytes() - bytes) as f64 / 10.0 / nodes as f64;
        cluster.set_links(Link {
            loss: 0.1,
            ..Link::default()
        });
        let since = cluster.now_ms().max(at);
        cluster.kill(1);
        cluster.run(60_000.0);
        let mut first_verdicts = BTreeMap::new();
        for (by, node, at) in cluster.deaths(since) {
            if node == 1 {
                first_verdicts.entry(by).or_insert(at - since);
            }
        }
        detection_times.extend(first_verdicts.values().copied());
        detection_times.extend((first_verdicts.len()..nodes - 1).map(|_| f64::INFINITY));
    }
    row.detection_s = [0.5, 0.999].map(|fraction| quantile(&mut detection_times, fraction) / 1e3);
    let minutes = if nodes > 1_000 {
        1.0
    } else {
        count(60, 1) as f64 * if nodes > 100 { 0.1 } else { 1.0 }
    };
    for (index, loss) in [0.1, 0.3].into_iter().enumerate() {
        let mut cluster = start_cluster(detector, nodes, 77);
        cluster.set_links(Link {
            loss,
            ..Link::default()
        });
        let since = cluster.now_ms();
        cluster.run(minutes * 60_000.0);
        // Verdicts of several nodes about the same node within 30 s count once.
        let verdicts: std::collections::BTreeSet<_> = cluster
            .deaths(since)
            .into_iter()
            .map(|(_, node, at)| (node, (at / 30_000.0) as u64))
            .collect();
        row.false_verdicts[index] = verdicts.len() as f64 * 60.0 / minutes;
    }
    let mut cluster = start_cluster(detector, nodes, 5);
    let since = cluster.now_ms();
    (1..nodes).for_each(|from| cluster.cut(from, 0));
    cluster.run(30_000.0);
    let declared_dead: std::collections::BTreeSet<_> = cluster
        .deaths(since)
        .into_iter()
        .filter(|(by, node, _)| *by != 0 && *node != 0)
        .map(|(_, node, _)| node)
        .collect();
    row.cut_node_deaths = declared_dead.len();
    let mut cluster = start_cluster(detector, nodes, 6);
    let since = cluster.now_ms();
    cluster.cut(0, 1);
    cluster.cut(1, 0);
    cluster.run(60_000.0);
    row.pair_deaths = cluster.deaths(since).len();
    row
}

const DETECTORS: [(&str, Option<Detector>); 4] = [
    ("SWIM", Some(Detector::Swim)),
    ("Lifeguard", Some(Detector::Lifeguard)),
    ("phi accrual", Some(Detector::Phi)),
    ("gossip observers", None),
];

/// Prints the table for up to 300 nodes.
pub fn measure() {
    table("detectors");
}

/// Prints the table for 3,000 nodes, which takes many minutes.
pub fn measure_large() {
    table("detectors-large");
}

/// Parts of a subject: number of nodes and detector with its label.
fn parts_of(subject: &str) -> Vec<(usize, (&'static str, Option<Detector>))> {
    let sizes: &[usize] = if subject == "detectors" {
        &[4, 30, 300]
    } else {
        &[3_000]
    };
    let sizes = sizes.iter().filter(|nodes| **nodes <= count(3_000, 4));
    let all_parts = sizes.flat_map(|nodes| DETECTORS.map(|detector| (*nodes, detector)));
    // Phi accrual at 3,000 nodes would send 18 million heartbeats per second, too many to simulate.
    all_parts
        .filter(|(nodes, (_, detector))| *nodes < 3_000 || *detector != Some(Detector::Phi))
        .collect()
}

/// Measures one part of a subject and returns its row.
pub fn part_row(subject: &str, part: u64) -> String {
    let (nodes, (name, detector)) = parts_of(subject)[part as usize];
    let Row {
        bytes,
        detection_s: [p50, tail],
        false_verdicts: [false_10, false_30],
        cut_node_deaths,
        pair_deaths,
    } = measure_row(detector, nodes);
    format!(
        "{name:>18} {nodes:>6} {bytes:>9.0} {p50:>10.2} {tail:>11.2} {false_10:>14.1} {false_30:>14.1} {cut_node_deaths:>10} {pair_deaths:>10}"
    )
}

fn table(subject: &str) {
    println!(
        "\nfailure detectors that tolerate pauses of {SUSPECT_MS} ms; bytes sent per node; detection times at 10 % loss\nfalse: verdicts per hour; one cut: nodes declared dead while one node receives nothing for 30 s; pair cut: verdicts while two nodes are cut off from each other for 60 s"
    );
    println!(
        "{:>18} {:>6} {:>9} {:>10} {:>11} {:>14} {:>14} {:>10} {:>10}",
        "detector",
        "nodes",
        "bytes/s",
        "p50 s",
        "p99.9 s",
        "false/h 10 %",
        "false/h 30 %",
        "one cut",
        "pair cut"
    );
    let outputs = run_in_processes(subject, parts_of(subject).len() as u64, 1);
    outputs
        .iter()
        .filter_map(|output| output.lines().last())
        .for_each(|row| println!("{row}"));
}
