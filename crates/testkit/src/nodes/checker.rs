//! Trials under drawn faults, and a checker that knows the fault schedule and the nodes' outputs, and nothing of how they
//! decide.

use std::collections::{BTreeMap, BTreeSet};

use gossip::{InjectedFault, State};
use simulation::{Fault, FaultSchedule, NodeId, ScheduleLimits, ScheduledFault};

use super::{Output, VirtualCluster};

/// For how long after a fault is over a node may be declared dead because of it, in milliseconds: a verdict takes some time,
/// and so does its dissemination.
pub const GRACE_MS: f64 = 8_000.0;
/// Within this time all nodes must agree after the last fault.
pub const CONVERGENCE_MS: f64 = 10_000.0;
/// A shorter pause must be tolerated.
pub const SUSPICION_TIMEOUT_MS: f64 = 2_500.0;

/// Links that take longer one way are outside the stated bounds: half of a probe interval, so that a refutation arrives
/// within the probe interval for which a death notice is pending.
pub const SLOW_LINK_MS: f64 = 250.0;

/// Pauses with a shorter interval count as one: hardly any datagram of the node was received in between.
const MIN_PAUSE_INTERVAL_MS: f64 = 1_000.0;

/// Periods, each with start and end in milliseconds.
type Spans = Vec<(f64, f64)>;

/// When which node may be declared dead by which other, by the fault schedule.
pub struct Excuses {
    /// By node: when it was down, paused for too long, or partitioned.
    faulty: Vec<Spans>,
    /// By node: when it was partitioned from a third of the others or more, or from half of them counting those that were
    /// down or paused. Then it may declare others dead, as the other side of a partition.
    partitioned: Vec<Spans>,
    /// By node: when it was paused, for however long.
    pauses: Vec<Spans>,
    /// When a quarter of all nodes were paused.
    many_paused: Spans,
    /// When links were slow beyond the bounds. Then the refutation of what one side of a partition declares, or of what a
    /// resumed node reads, may arrive too late, and a short pause lasts longer for others.
    slow_links: Spans,
}

impl Excuses {
    /// Whether a node may be declared dead by another at a time, until `after_ms` after the end of a fault.
    #[must_use]
    pub fn cover(&self, by: NodeId, node: NodeId, at: f64, after_ms: f64) -> bool {
        let within = |spans: &Spans| {
            spans
                .iter()
                .any(|(from, until)| *from <= at && at <= until + after_ms)
        };
        let was_paused =
            || within(&self.pauses[node]) || within(&self.pauses[by]) || within(&self.many_paused);
        let has_other_fault = || was_paused() || self.partitioned.iter().any(within);
        within(&self.faulty[node])
            || within(&self.partitioned[by])
            || (within(&self.slow_links) && has_other_fault())
    }
}

/// A condition that begins and ends.
#[derive(Clone, Default)]
struct Condition {
    since: Option<f64>,
    spans: Spans,
}

impl Condition {
    fn set(&mut self, at: f64, holds: bool) {
        match (holds, self.since) {
            (true, None) => self.since = Some(at),
            (false, Some(from)) => {
                self.spans.push((from, at));
                self.since = None;
            }
            _ => {}
        }
    }
}

/// When each node was paused. Pauses in quick succession are one, and a pause within another does not shorten it.
fn pauses(schedule: &FaultSchedule, nodes: usize) -> Vec<Spans> {
    let mut pauses: Vec<Spans> = vec![Vec::new(); nodes];
    for ScheduledFault { at_ms: at, fault } in &schedule.faults {
        let Fault::Pause { node, ms } = fault else {
            continue;
        };
        match pauses[*node]
            .last_mut()
            .filter(|(_, until)| *at <= until + MIN_PAUSE_INTERVAL_MS)
        {
            Some((_, until)) => *until = until.max(at + ms),
            None => pauses[*node].push((*at, at + ms)),
        }
    }
    pauses
}

/// The deaths that a fault schedule excuses.
#[must_use]
pub fn excuses(schedule: &FaultSchedule, nodes: usize) -> Excuses {
    let pauses = pauses(schedule, nodes);
    let long = |node: NodeId| {
        pauses[node]
            .iter()
            .filter(|(from, until)| until - from >= SUSPICION_TIMEOUT_MS)
    };
    let mut down = vec![Condition::default(); nodes];
    let mut apart = vec![Condition::default(); nodes];
    let (mut slow, mut crowd) = (Condition::default(), Condition::default());
    let mut cut = BTreeSet::new();
    let mut times: Vec<_> = schedule
        .faults
        .iter()
        .map(|scheduled| (scheduled.at_ms, Some(&scheduled.fault)))
        .collect();
    times.extend(pauses.iter().flatten().map(|(_, until)| (*until, None)));
    times.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    for (at, fault) in times {
        match fault {
            Some(Fault::Kill { node }) => down[*node].set(at, true),
            Some(Fault::Start { node }) => down[*node].set(at, false),
            Some(Fault::Cut { from, to }) => {
                cut.insert((*from, *to));
            }
            Some(Fault::Restore { from, to }) => {
                cut.remove(&(*from, *to));
            }
            Some(Fault::AllLinks { link }) => {
                cut.clear();
                slow.set(at, link.delay_ms + link.jitter_ms > SLOW_LINK_MS);
            }
            Some(Fault::HealAll) => {
                cut.clear();
                slow.set(at, false);
            }
            Some(Fault::Pause { .. } | Fault::Link { .. }) | None => {}
        }
        let is_still = |node: NodeId| {
            down[node].since.is_some() || long(node).any(|(from, until)| *from <= at && at < *until)
        };
        let still: Vec<_> = (0..nodes).map(is_still).collect();
        crowd.set(
            at,
            4 * still.iter().filter(|still| **still).count() >= nodes,
        );
        for (node, apart) in apart.iter_mut().enumerate() {
            let others = || (0..nodes).filter(|other| *other != node);
            let unheard = |other: &NodeId| cut.contains(&(node, *other));
            let deaf = |other: &NodeId| cut.contains(&(*other, node));
            let worse = |still: &dyn Fn(&NodeId) -> bool| {
                let ways = |cut: &dyn Fn(&NodeId) -> bool| {
                    others().filter(|at| cut(at) || still(at)).count()
                };
                ways(&unheard).max(ways(&deaf))
            };
            let is_apart =
                3 * worse(&|_| false) >= nodes - 1 || 2 * worse(&|at| still[*at]) >= nodes - 1;
            apart.set(at, is_apart);
        }
    }
    let own = |node: NodeId| {
        let spans = down[node]
            .spans
            .iter()
            .chain(&apart[node].spans)
            .chain(long(node));
        spans.copied().collect()
    };
    let faulty = (0..nodes).map(own).collect();
    let partitioned = apart.into_iter().map(|apart| apart.spans).collect();
    Excuses {
        faulty,
        partitioned,
        pauses,
        many_paused: crowd.spans,
        slow_links: slow.spans,
    }
}

/// Describes a dead node that was accepted as alive again without a later incarnation.
fn resurrection(cluster: &VirtualCluster) -> Option<String> {
    let mut dead = BTreeMap::new();
    for (by, at, output) in cluster.outputs() {
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
                        .is_some_and(|held| change.incarnation <= *held) =>
            {
                let (name, incarnation) = (change.name, change.incarnation);
                return Some(format!(
                    "{name} came back to n{by} at {at:.0} as incarnation {incarnation} again"
                ));
            }
            _ => {
                dead.remove(&key);
            }
        }
    }
    None
}

/// The result of a trial in which nothing was wrong.
pub struct Trial {
    /// How long after the last fault all nodes agreed, in milliseconds.
    pub agreed_ms: f64,
    /// Deaths that were declared, all of them excused.
    pub deaths: usize,
}

/// Runs a drawn fault schedule and checks the outputs.
///
/// # Errors
///
/// Describes what was wrong, with the schedule.
pub fn trial(seed: u64, limits: ScheduleLimits, fault: InjectedFault) -> Result<Trial, String> {
    let schedule = FaultSchedule::generate(seed, limits);
    let mut cluster = VirtualCluster::new(seed, limits.nodes);
    cluster.injected_fault = fault;
    cluster.start_all(1_000.0);
    cluster.run(12_000.0);
    let start = cluster.simulation.now_ms();
    cluster.play(&schedule);
    let describe =
        |what: String| format!("seed {seed}, {} nodes: {what}\n{schedule}", limits.nodes);
    let schedule_end_ms = cluster.simulation.now_ms();
    let agreed_ms = loop {
        let passed = cluster.simulation.now_ms() - schedule_end_ms;
        match cluster.disagreement() {
            None => break passed,
            Some(error) if passed >= CONVERGENCE_MS + limits.max_pause_ms => {
                return Err(describe(error))
            }
            Some(_) => cluster.run(100.0),
        }
    };
    cluster.run(5_000.0);
    let excuses = excuses(&schedule, limits.nodes);
    let deaths = cluster.deaths_since(start);
    for (by, at, name) in &deaths {
        let Some(node) = cluster.names.iter().position(|held| held == name) else {
            continue;
        };
        let at = at - start;
        if !excuses.cover(*by, node, at, GRACE_MS) {
            return Err(describe(format!(
                "{name} was declared dead by n{by} at {at:.0} without a fault"
            )));
        }
    }
    if let Some(what) = resurrection(&cluster) {
        return Err(describe(what));
    }
    if cluster.simulation.totals().max_datagram_bytes > gossip::MAX_DATAGRAM_BYTES {
        return Err(describe("a datagram is too long".into()));
    }
    Ok(Trial {
        agreed_ms,
        deaths: deaths.len(),
    })
}

/// The limits of a seed's fault schedule.
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
