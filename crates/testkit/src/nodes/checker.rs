//! Trials under generated faults, and a checker that uses only the fault schedule and the nodes' outputs, independent
//! of the protocol code.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use gossip::{InjectedFault, State};
use simulation::{Fault, FaultSchedule, NodeId, ScheduleLimits, ScheduledFault};

use super::{Output, VirtualCluster};

/// Time after the end of a fault during which a node may still be declared dead because of it, in milliseconds: the
/// detection and the dissemination of a death take time.
pub const GRACE_MS: f64 = 8_000.0;
/// Maximum time until all views agree, in milliseconds, counted from the end of the fault schedule plus its maximum
/// pause.
pub const CONVERGENCE_MS: f64 = 10_000.0;
/// Minimum duration of a pause for which a node may be declared dead, in milliseconds.
pub const SUSPICION_TIMEOUT_MS: f64 = 2_500.0;

/// One-way delay above which links are outside the guaranteed bounds, in milliseconds: half of a probe interval, so
/// that a refutation arrives within the probe interval for which a death notice is pending.
pub const SLOW_LINK_MS: f64 = 250.0;

/// Minimum interval between separate pauses of a node, in milliseconds. Pauses at a shorter interval count as one,
/// because hardly any datagram of the node is received between them.
const MIN_PAUSE_INTERVAL_MS: f64 = 1_000.0;

/// A period, in milliseconds since the start of the schedule.
#[derive(Clone, Copy)]
struct Span {
    start_ms: f64,
    end_ms: f64,
}

impl Span {
    fn contains(self, at_ms: f64) -> bool {
        self.start_ms <= at_ms && at_ms < self.end_ms
    }

    /// Whether a node that is paused during this period may be declared dead.
    fn exceeds_suspicion_timeout(&self) -> bool {
        self.end_ms - self.start_ms >= SUSPICION_TIMEOUT_MS
    }
}

/// Deaths that a fault schedule excuses: which node may be declared dead by which other, and when.
pub struct ExcusedDeaths {
    /// By node: periods in which it was down, paused for at least the suspicion timeout, or partitioned.
    faulty: Vec<Vec<Span>>,
    /// By node: periods in which it was partitioned from at least a third of its peers, or from at least half of them
    /// if peers that were down or paused count. It may then declare other nodes dead, as those on the other side of a
    /// partition.
    partitioned: Vec<Vec<Span>>,
    /// By node: periods in which it was paused, of any duration.
    pauses: Vec<Vec<Span>>,
    /// Periods in which at least a quarter of all nodes were down or paused.
    many_unresponsive: Vec<Span>,
    /// Periods in which links were slower than [`SLOW_LINK_MS`]. A refutation of deaths that one side of a partition
    /// declares, or of death notices that a resumed node reads, may then arrive too late, and other nodes may observe a
    /// short pause as a longer one.
    slow_links: Vec<Span>,
}

impl ExcusedDeaths {
    /// Determines the deaths that a fault schedule excuses in a cluster of `nodes` nodes.
    #[must_use]
    pub fn new(schedule: &FaultSchedule, nodes: usize) -> Self {
        let mut history = FaultHistory::new(pauses(schedule, nodes));
        let mut events: Vec<_> = schedule
            .faults
            .iter()
            .map(|scheduled| (scheduled.at_ms, Some(&scheduled.fault)))
            .collect();
        let pause_ends = history.pauses.iter().flatten();
        events.extend(pause_ends.map(|pause| (pause.end_ms, None)));
        events.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        for (at_ms, fault) in events {
            if let Some(fault) = fault {
                history.apply(at_ms, fault);
            }
            history.update(at_ms);
        }
        history.finish()
    }

    /// Whether node `by` may declare `node` dead at a time in milliseconds since the start of the schedule. A fault
    /// excuses deaths until `grace_ms` after its end.
    #[must_use]
    pub fn contains(&self, by: NodeId, node: NodeId, at_ms: f64, grace_ms: f64) -> bool {
        let within = |spans: &Vec<Span>| {
            spans
                .iter()
                .any(|span| span.start_ms <= at_ms && at_ms <= span.end_ms + grace_ms)
        };
        let was_paused = || {
            within(&self.pauses[node])
                || within(&self.pauses[by])
                || within(&self.many_unresponsive)
        };
        let has_other_fault = || was_paused() || self.partitioned.iter().any(within);
        within(&self.faulty[node])
            || within(&self.partitioned[by])
            || (within(&self.slow_links) && has_other_fault())
    }
}

/// A condition: the start of the current period in which it holds, if it does, and its earlier periods.
#[derive(Clone, Default)]
struct Condition {
    since_ms: Option<f64>,
    spans: Vec<Span>,
}

impl Condition {
    fn set(&mut self, at_ms: f64, holds: bool) {
        match (holds, self.since_ms) {
            (true, None) => self.since_ms = Some(at_ms),
            (false, Some(start_ms)) => {
                self.spans.push(Span {
                    start_ms,
                    end_ms: at_ms,
                });
                self.since_ms = None;
            }
            _ => {}
        }
    }

    fn holds(&self) -> bool {
        self.since_ms.is_some()
    }
}

/// Periods in which each node was paused. Pauses in quick succession count as one, and a pause during another one does
/// not shorten it.
fn pauses(schedule: &FaultSchedule, nodes: usize) -> Vec<Vec<Span>> {
    let mut pauses: Vec<Vec<Span>> = vec![Vec::new(); nodes];
    for ScheduledFault { at_ms, fault } in &schedule.faults {
        let Fault::Pause { node, ms } = fault else {
            continue;
        };
        match pauses[*node]
            .last_mut()
            .filter(|pause| *at_ms <= pause.end_ms + MIN_PAUSE_INTERVAL_MS)
        {
            Some(pause) => pause.end_ms = pause.end_ms.max(at_ms + ms),
            None => pauses[*node].push(Span {
                start_ms: *at_ms,
                end_ms: at_ms + ms,
            }),
        }
    }
    pauses
}

/// The faults in effect at a time of a schedule, and the periods of earlier ones.
struct FaultHistory {
    pauses: Vec<Vec<Span>>,
    down: Vec<Condition>,
    partitioned: Vec<Condition>,
    many_unresponsive: Condition,
    slow_links: Condition,
    /// Sender and receiver of each link that is cut.
    cut_links: BTreeSet<(NodeId, NodeId)>,
}

impl FaultHistory {
    fn new(pauses: Vec<Vec<Span>>) -> Self {
        let nodes = pauses.len();
        Self {
            pauses,
            down: vec![Condition::default(); nodes],
            partitioned: vec![Condition::default(); nodes],
            many_unresponsive: Condition::default(),
            slow_links: Condition::default(),
            cut_links: BTreeSet::new(),
        }
    }

    fn apply(&mut self, at_ms: f64, fault: &Fault) {
        match fault {
            Fault::Kill { node } => self.down[*node].set(at_ms, true),
            Fault::Start { node } => self.down[*node].set(at_ms, false),
            Fault::Cut { from, to } => {
                self.cut_links.insert((*from, *to));
            }
            Fault::Restore { from, to } => {
                self.cut_links.remove(&(*from, *to));
            }
            Fault::AllLinks { link } => {
                self.cut_links.clear();
                let is_slow = link.delay_ms + link.jitter_ms > SLOW_LINK_MS;
                self.slow_links.set(at_ms, is_slow);
            }
            Fault::HealAll => {
                self.cut_links.clear();
                self.slow_links.set(at_ms, false);
            }
            Fault::Pause { .. } | Fault::Link { .. } => {}
        }
    }

    /// Updates the conditions that follow from several faults.
    fn update(&mut self, at_ms: f64) {
        let nodes = self.pauses.len();
        let unresponsive: Vec<_> = (0..nodes)
            .map(|node| self.is_unresponsive(node, at_ms))
            .collect();
        let count = unresponsive.iter().filter(|is| **is).count();
        self.many_unresponsive.set(at_ms, 4 * count >= nodes);
        let all_responsive = vec![false; nodes];
        for node in 0..nodes {
            let is_partitioned = 3 * self.unreachable_peers(node, &all_responsive) >= nodes - 1
                || 2 * self.unreachable_peers(node, &unresponsive) >= nodes - 1;
            self.partitioned[node].set(at_ms, is_partitioned);
        }
    }

    fn is_unresponsive(&self, node: NodeId, at_ms: f64) -> bool {
        self.down[node].holds() || self.long_pauses(node).any(|pause| pause.contains(at_ms))
    }

    fn long_pauses(&self, node: NodeId) -> impl Iterator<Item = &Span> {
        self.pauses[node]
            .iter()
            .filter(|pause| pause.exceeds_suspicion_timeout())
    }

    /// Number of peers that a node cannot reach, or number of those that cannot reach it, whichever is greater.
    /// Unresponsive peers count as unreachable in both directions.
    fn unreachable_peers(&self, node: NodeId, unresponsive: &[bool]) -> usize {
        let peers = || (0..self.pauses.len()).filter(|peer| *peer != node);
        let is_cut = |from, to| self.cut_links.contains(&(from, to));
        let outgoing = peers().filter(|peer| is_cut(node, *peer) || unresponsive[*peer]);
        let incoming = peers().filter(|peer| is_cut(*peer, node) || unresponsive[*peer]);
        outgoing.count().max(incoming.count())
    }

    fn finish(self) -> ExcusedDeaths {
        let faulty = (0..self.pauses.len())
            .map(|node| {
                let down = self.down[node].spans.iter();
                down.chain(&self.partitioned[node].spans)
                    .chain(self.long_pauses(node))
                    .copied()
                    .collect()
            })
            .collect();
        ExcusedDeaths {
            faulty,
            partitioned: self
                .partitioned
                .into_iter()
                .map(|partitioned| partitioned.spans)
                .collect(),
            pauses: self.pauses,
            many_unresponsive: self.many_unresponsive.spans,
            slow_links: self.slow_links.spans,
        }
    }
}

/// A violation of the membership guarantees that a trial detected.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// The views did not agree in time after the last fault. Describes a wrong entry of a view.
    Disagreement(String),
    /// A node was declared dead without a fault that excuses it.
    UnexcusedDeath {
        /// The name of the dead node.
        name: String,
        /// The node that declared it dead.
        by: NodeId,
        /// Time, in milliseconds since the start of the schedule.
        at_ms: f64,
    },
    /// A dead node was accepted as alive again without a later incarnation.
    Resurrection {
        /// The name of the dead node.
        name: String,
        /// The node that accepted it as alive.
        by: NodeId,
        /// Simulation time, in milliseconds.
        at_ms: f64,
        /// The accepted incarnation, which is not later than the dead one.
        incarnation: u64,
    },
    /// A datagram exceeded `gossip::MAX_DATAGRAM_BYTES`.
    OversizedDatagram,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disagreement(what) => f.write_str(what),
            Self::UnexcusedDeath { name, by, at_ms } => write!(
                f,
                "{name} was declared dead by n{by} at {at_ms:.0} ms without a fault"
            ),
            Self::Resurrection {
                name,
                by,
                at_ms,
                incarnation,
            } => write!(
                f,
                "{name} was accepted as alive again by n{by} at {at_ms:.0} ms in old incarnation {incarnation}"
            ),
            Self::OversizedDatagram => write!(f, "a datagram exceeds the maximum size"),
        }
    }
}

/// A trial that failed, with what is needed to reproduce it.
#[derive(Clone, Debug, PartialEq)]
pub struct TrialError {
    /// The seed of the cluster and of its schedule.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// The violation.
    pub violation: Violation,
    /// The fault schedule of the trial.
    pub schedule: FaultSchedule,
}

impl fmt::Display for TrialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            nodes,
            violation,
            schedule,
        } = self;
        write!(f, "seed {seed}, {nodes} nodes: {violation}\n{schedule}")
    }
}

impl std::error::Error for TrialError {}

/// Finds a dead node that was accepted as alive again without a later incarnation.
fn find_resurrection(cluster: &VirtualCluster) -> Option<Violation> {
    let mut dead = BTreeMap::new();
    for (by, output_ms, output) in cluster.outputs() {
        let Output::Change(change) = output else {
            continue;
        };
        let key = (by, change.name.clone());
        match change.to {
            State::Dead | State::Left => {
                dead.insert(key, change.incarnation);
            }
            State::Alive
                if change.from.is_some()
                    && dead
                        .get(&key)
                        .is_some_and(|known| change.incarnation <= *known) =>
            {
                return Some(Violation::Resurrection {
                    name: change.name,
                    by,
                    at_ms: output_ms,
                    incarnation: change.incarnation,
                });
            }
            _ => {
                dead.remove(&key);
            }
        }
    }
    None
}

/// Result of a trial without a violation.
pub struct TrialOutcome {
    /// Time from the end of the fault schedule until all views agreed, in milliseconds.
    pub convergence_ms: f64,
    /// Number of declarations of death, all of them excused.
    pub deaths: usize,
}

/// Runs a cluster under the fault schedule of a seed and checks the nodes' outputs.
///
/// # Errors
///
/// Returns the violation, with the schedule, if a guarantee was broken.
pub fn run_trial(
    seed: u64,
    limits: ScheduleLimits,
    injected_fault: InjectedFault,
) -> Result<TrialOutcome, TrialError> {
    let schedule = FaultSchedule::generate(seed, limits);
    let mut cluster = VirtualCluster::new(seed, limits.nodes);
    cluster.injected_fault = injected_fault;
    cluster.start_all(1_000.0);
    cluster.run(12_000.0);
    let schedule_start_ms = cluster.simulation.now_ms();
    cluster.apply_schedule(&schedule);
    let fail = |violation| {
        Err(TrialError {
            seed,
            nodes: limits.nodes,
            violation,
            schedule: schedule.clone(),
        })
    };
    let schedule_end_ms = cluster.simulation.now_ms();
    let convergence_ms = loop {
        let elapsed_ms = cluster.simulation.now_ms() - schedule_end_ms;
        match cluster.disagreement() {
            None => break elapsed_ms,
            Some(error) if elapsed_ms >= CONVERGENCE_MS + limits.max_pause_ms => {
                return fail(Violation::Disagreement(error))
            }
            Some(_) => cluster.run(100.0),
        }
    };
    cluster.run(5_000.0);
    let excused_deaths = ExcusedDeaths::new(&schedule, limits.nodes);
    let deaths = cluster.deaths_since(schedule_start_ms);
    for (by, death_ms, name) in &deaths {
        let Some(node) = cluster.names.iter().position(|known| known == name) else {
            continue;
        };
        let since_start_ms = death_ms - schedule_start_ms;
        if !excused_deaths.contains(*by, node, since_start_ms, GRACE_MS) {
            return fail(Violation::UnexcusedDeath {
                name: name.clone(),
                by: *by,
                at_ms: since_start_ms,
            });
        }
    }
    if let Some(violation) = find_resurrection(&cluster) {
        return fail(violation);
    }
    if cluster.simulation.totals().max_datagram_bytes > gossip::MAX_DATAGRAM_BYTES {
        return fail(Violation::OversizedDatagram);
    }
    Ok(TrialOutcome {
        convergence_ms,
        deaths: deaths.len(),
    })
}

/// Limits of the fault schedule that is generated from a seed.
#[must_use]
pub fn schedule_limits(seed: u64, max_nodes: usize) -> ScheduleLimits {
    let nodes = 5 + (seed as usize * 7) % (max_nodes - 4);
    ScheduleLimits {
        nodes,
        start_ms: 0.0,
        end_ms: 60_000.0,
        faults: 2 + seed as usize % 9,
        max_pause_ms: 12_000.0,
        max_loss: 0.3,
    }
}
