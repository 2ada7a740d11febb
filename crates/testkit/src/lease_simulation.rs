//! Simulation of leases in virtual time: nodes with drifting clocks, faults, and checkers of which
//! node may act on a shard.

mod checker;
mod node;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

pub use checker::{EffectViolation, Overlap, OwnershipError, Violation};
use lease::{
    ConfigurationRequest, ConfigurationState, FencingToken, InjectedFault, LeaseManager, NodeId,
    ReconfigurationError, ReconfigurationOutcome, Settings, Shard,
};
pub use node::Node;
use node::{DelayedEffect, History};
use simulation::{Clock, Fault, FaultSchedule, ScheduleLimits, Simulation};

/// Default number of shards.
pub const SHARDS: Shard = 4;
/// Duration of a lease, in milliseconds.
pub const LEASE_MS: f64 = 2_500.0;
/// Maximum time until each shard has an owner again once a majority of acceptors reach each other,
/// in milliseconds.
pub const RECOVERY_MS: f64 = 5_000.0;
/// Interval between observations of the permits of all nodes, in milliseconds.
const OBSERVATION_INTERVAL_MS: f64 = 7.0;

/// Derives the lease protocol's id of a simulated node.
#[must_use]
pub fn node_id(node: usize) -> NodeId {
    NodeId((node as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn node_ids(nodes: &[usize]) -> Vec<NodeId> {
    nodes.iter().copied().map(node_id).collect()
}

/// The acceptor configuration in a node's operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptorFile {
    /// Number of the configuration.
    pub number: u32,
    /// The acceptors.
    pub acceptors: Vec<usize>,
    /// The previous acceptors; empty if the file does not name them.
    pub previous_acceptors: Vec<usize>,
}

impl AcceptorFile {
    /// Returns the file of the next configuration, with these acceptors.
    #[must_use]
    pub fn next(&self, acceptors: &[usize]) -> Self {
        Self {
            number: self.number + 1,
            acceptors: acceptors.to_vec(),
            previous_acceptors: self.acceptors.clone(),
        }
    }
}

/// A fleet of simulated nodes, and the observed owners of its shards.
pub struct SimulatedFleet {
    /// The simulation that runs the nodes.
    pub simulation: Simulation<Node>,
    seed: u64,
    shards: Shard,
    /// The operators' file of each node, which is read at its start and by
    /// [`SimulatedFleet::reload`].
    pub files: Vec<AcceptorFile>,
    /// Whether acceptors have fence files.
    pub has_fence_files: bool,
    fence_files: Vec<Rc<Cell<FencingToken>>>,
    /// Time by which the machines' wall clocks are set back, in milliseconds.
    pub wall_clock_setback_ms: u64,
    /// The nodes' local clocks.
    pub clocks: Vec<Clock>,
    injected_fault: InjectedFault,
    history: Rc<RefCell<History>>,
    started_processes: u64,
    /// The owner of each shard at the last observation.
    pub owner: Vec<Option<usize>>,
    /// Total time without an owner, summed over the shards, in milliseconds.
    pub unowned_ms: f64,
    overlaps: Vec<Overlap>,
}

impl SimulatedFleet {
    /// Creates a fleet of `nodes` nodes, none of which is started. The first `acceptors` of them
    /// are acceptors.
    #[must_use]
    pub fn new(seed: u64, nodes: usize, acceptors: usize, injected_fault: InjectedFault) -> Self {
        // Covers both extremes of the allowed drift.
        let clock = |node: usize| Clock {
            offset_ms: 1e6 + node as f64 * 7e6,
            drift: [0.0, 0.0099, 0.003][(node + seed as usize) % 3],
        };
        let file = AcceptorFile {
            number: 1,
            acceptors: (0..acceptors).collect(),
            previous_acceptors: Vec::new(),
        };
        Self {
            simulation: Simulation::new(seed, nodes),
            seed,
            shards: SHARDS,
            files: vec![file; nodes],
            has_fence_files: false,
            fence_files: (0..nodes).map(|_| Rc::default()).collect(),
            wall_clock_setback_ms: 0,
            clocks: (0..nodes).map(clock).collect(),
            injected_fault,
            history: Rc::default(),
            started_processes: 0,
            owner: vec![None; usize::from(SHARDS)],
            unowned_ms: 0.0,
            overlaps: Vec::new(),
        }
    }

    /// Sets the number of shards. Call it before the first node is started.
    #[must_use]
    pub fn with_shards(mut self, shards: Shard) -> Self {
        self.shards = shards;
        self.owner = vec![None; usize::from(shards)];
        self
    }

    /// Stops the effects of all nodes, so that only lease messages are sent from now on.
    pub fn stop_effects(&mut self) {
        self.history.borrow_mut().effects_disabled = true;
    }

    /// Creates a fleet, starts all nodes and runs them for the time in which they acquire all
    /// shards.
    #[must_use]
    pub fn started(
        seed: u64,
        nodes: usize,
        acceptors: usize,
        injected_fault: InjectedFault,
    ) -> Self {
        let mut fleet = Self::new(seed, nodes, acceptors, injected_fault);
        for node in 0..nodes {
            fleet.start(node);
        }
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet
    }

    /// Starts a node, unless it is running.
    ///
    /// # Panics
    ///
    /// Panics if the node's operators' file is invalid.
    pub fn start(&mut self, node: usize) {
        if self.simulation.process(node).is_some() {
            return;
        }
        self.started_processes += 1;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (self.started_processes << 20));
        self.simulation.set_clock(node, self.clocks[node]);
        let process_id = rng.u64(1..);
        let settings = self.settings_at_start(node, process_id);
        let leases = LeaseManager::new(self.simulation.local_ms(node), settings)
            .expect("the operators' file is valid");
        let peers: Vec<_> = (0..self.clocks.len()).map(node_id).collect();
        let process = Node {
            leases,
            process_id,
            clock: self.clocks[node],
            shards: self.shards,
            history: Rc::clone(&self.history),
            candidates: Some(peers.clone()),
            peers,
            fence_file: Rc::clone(&self.fence_files[node]),
            rng,
        };
        self.simulation.start(node, process);
    }

    fn settings_at_start(&self, node: usize, process_id: u64) -> Settings {
        let file = &self.files[node];
        let unix_ms =
            (self.simulation.now_ms() as u64 + 1_000).saturating_sub(self.wall_clock_setback_ms);
        let reserved_token = self.fence_files[node].get();
        Settings {
            configuration: file.number,
            previous_acceptors: node_ids(&file.previous_acceptors),
            shards: self.shards,
            lease_ms: LEASE_MS,
            injected_fault: self.injected_fault,
            token_floor: FencingToken::floor(unix_ms),
            reserved_token: self.has_fence_files.then_some(reserved_token),
            ..Settings::new(node_id(node), process_id, node_ids(&file.acceptors))
        }
    }

    /// Makes a node reload its operators' file, unless it is down or paused.
    ///
    /// # Errors
    ///
    /// Returns the reason if the node rejects the file and keeps its current acceptors.
    pub fn reload(&mut self, node: usize) -> Result<ReconfigurationOutcome, ReconfigurationError> {
        let file = self.files[node].clone();
        let request = ConfigurationRequest {
            number: file.number,
            acceptors: &node_ids(&file.acceptors),
            previous_acceptors: &node_ids(&file.previous_acceptors),
        };
        let mut outcome = Ok(ReconfigurationOutcome::Unchanged);
        self.simulation.with(node, |node, now_ms, _| {
            outcome = node.leases.reconfigure(now_ms, request);
        });
        outcome
    }

    /// The acceptor configuration of a node, or `None` if it is not running.
    #[must_use]
    pub fn configuration(&self, node: usize) -> Option<ConfigurationState> {
        self.simulation
            .process(node)
            .map(|node| node.leases.configuration())
    }

    /// Number of published effects that running nodes dropped because a later owner had published
    /// one.
    #[must_use]
    pub fn stale_effects(&self) -> u64 {
        (0..self.clocks.len())
            .filter_map(|node| self.simulation.process(node))
            .map(|node| node.leases.metrics().stale_effects)
            .sum()
    }

    /// Number of published effects that nodes accepted.
    #[must_use]
    pub fn accepted_effects(&self) -> u64 {
        self.history.borrow().accepted_effects
    }

    /// The highest token under which any shard was acquired.
    #[must_use]
    pub fn highest_token(&self) -> FencingToken {
        self.history
            .borrow()
            .acquisitions
            .iter()
            .map(|acquisition| acquisition.token)
            .max()
            .unwrap_or_default()
    }

    /// Kills a node's process without notice.
    pub fn kill(&mut self, node: usize) {
        self.simulation.kill(node);
    }

    /// Nodes that have a permit for a shard, including paused ones.
    fn permitted_nodes(&self, shard: Shard) -> Vec<usize> {
        let is_permitted = |node: &usize| {
            self.simulation.process(*node).is_some_and(|process| {
                process
                    .leases
                    .permit(self.simulation.local_ms(*node), shard)
                    .is_some()
            })
        };
        (0..self.clocks.len()).filter(is_permitted).collect()
    }

    /// Runs the simulation for this time, and observes every few milliseconds which nodes may act.
    /// A paused node counts as if it resumed at that moment.
    pub fn run(&mut self, ms: f64) {
        let until_ms = self.simulation.now_ms() + ms;
        while self.simulation.now_ms() < until_ms {
            let before_ms = self.simulation.now_ms();
            let now_ms = (before_ms + OBSERVATION_INTERVAL_MS).min(until_ms);
            self.simulation.run_until(now_ms);
            for shard in 0..self.shards {
                self.observe_owner(shard, now_ms, now_ms - before_ms);
            }
            self.deliver_delayed_effects(now_ms);
        }
    }

    fn observe_owner(&mut self, shard: Shard, now_ms: f64, elapsed_ms: f64) {
        let nodes = self.permitted_nodes(shard);
        self.owner[usize::from(shard)] = nodes.first().copied();
        if nodes.is_empty() {
            self.unowned_ms += elapsed_ms;
        }
        if nodes.len() > 1 {
            self.overlaps.push(Overlap {
                shard,
                at_ms: now_ms,
                nodes,
            });
        }
    }

    fn deliver_delayed_effects(&mut self, now_ms: f64) {
        let mut history = self.history.borrow_mut();
        let (due, delayed): (Vec<DelayedEffect>, _) = std::mem::take(&mut history.delayed)
            .into_iter()
            .partition(|effect| effect.arrives_ms <= now_ms);
        history.delayed = delayed;
        for effect in due {
            history
                .register
                .apply(effect.shard, effect.token, effect.process_id);
        }
    }

    /// Runs until each shard has an owner, and returns the time that this took, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if it takes longer than `timeout_ms`.
    pub fn wait_until_owned(&mut self, timeout_ms: f64) -> Result<f64, OwnershipError> {
        let start_ms = self.simulation.now_ms();
        while self.owner.iter().any(Option::is_none) {
            self.run(10.0);
            if self.simulation.now_ms() - start_ms > timeout_ms {
                return Err(self.error(Violation::Unowned {
                    owners: self.owner.clone(),
                    timeout_ms,
                }));
            }
        }
        Ok(self.simulation.now_ms() - start_ms)
    }

    /// Checks that each shard had at most one owner at a time, and was acquired under increasing
    /// tokens.
    ///
    /// # Errors
    ///
    /// Returns the first overlap of owners; without one, the first invalid effect; without either,
    /// the first acquisition whose token is not greater than the one before.
    pub fn check(&self) -> Result<(), OwnershipError> {
        if let Some(first) = self.overlaps.first() {
            return Err(self.error(Violation::TwoOwners {
                first: first.clone(),
                more: self.overlaps.len() - 1,
            }));
        }
        let history = self.history.borrow();
        if let Some(violation) = history.register.violations.first() {
            return Err(self.error(Violation::Effect(*violation)));
        }
        let mut highest = BTreeMap::new();
        for acquisition in &history.acquisitions {
            let previous = highest.insert(acquisition.shard, acquisition.token);
            if previous.is_some_and(|previous| previous >= acquisition.token) {
                return Err(self.error(Violation::TokenNotIncreasing {
                    shard: acquisition.shard,
                    token: acquisition.token,
                    process_id: acquisition.process_id,
                }));
            }
        }
        Ok(())
    }

    /// Creates an error that states this fleet's seed.
    #[must_use]
    pub fn error(&self, violation: Violation) -> OwnershipError {
        OwnershipError {
            seed: self.seed,
            violation,
        }
    }

    /// Injects a fault.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Start { node } => self.start(*node),
            Fault::Kill { node } => self.kill(*node),
            other => self.simulation.apply(other),
        }
    }

    /// Replaces a node's operators' file and makes the node reload it.
    fn replace_file(&mut self, node: usize, file: &AcceptorFile) -> Result<(), OwnershipError> {
        self.files[node] = file.clone();
        match self.reload(node) {
            Ok(_) => Ok(()),
            Err(error) => Err(self.error(Violation::Reconfiguration { node, error })),
        }
    }
}

/// Limits of the fault schedule that is generated from a seed.
#[must_use]
pub fn schedule_limits(seed: u64) -> ScheduleLimits {
    ScheduleLimits {
        // One fleet in 16 is large.
        nodes: if seed % 16 == 7 {
            15 + seed as usize / 16 % 16
        } else {
            5 + seed as usize % 4
        },
        start_ms: 0.0,
        end_ms: 40_000.0,
        faults: 3 + seed as usize % 9,
        max_pause_ms: 12_000.0,
        max_loss: 0.4,
    }
}

/// Returns the acceptors with a random one replaced by a random other node, if there is one.
fn replace_one(rng: &mut fastrand::Rng, acceptors: &[usize], nodes: usize) -> Vec<usize> {
    let mut next = acceptors.to_vec();
    let others: Vec<_> = (0..nodes)
        .filter(|node| !acceptors.contains(node))
        .collect();
    if let Some(other) = rng.choice(others) {
        let index = rng.usize(..next.len());
        next[index] = other;
    }
    next
}

/// Result of a trial without a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialOutcome {
    /// Number of times that a shard was acquired.
    pub acquired: usize,
    /// Number of effects of former owners that the register rejected.
    pub rejected_effects: u64,
}

/// Runs a fleet under the fault schedule of a seed. With one seed in three, an acceptor is replaced
/// during the faults, and the nodes reload their files in random order.
///
/// # Errors
///
/// Returns the violation if a guarantee was broken.
pub fn run_trial(seed: u64, injected_fault: InjectedFault) -> Result<TrialOutcome, OwnershipError> {
    let limits = schedule_limits(seed);
    let acceptors = if seed % 2 == 0 { 3 } else { 5 };
    let mut fleet = SimulatedFleet::started(seed, limits.nodes, acceptors, injected_fault);
    let start_ms = fleet.simulation.now_ms();
    let mut rng = fastrand::Rng::with_seed(!seed);
    let reconfigures = seed % 3 == 2;
    let mut to_reload: Vec<usize> = if reconfigures {
        (0..limits.nodes).collect()
    } else {
        Vec::new()
    };
    rng.shuffle(&mut to_reload);
    let acceptors = replace_one(&mut rng, &fleet.files[0].acceptors, limits.nodes);
    let next_file = fleet.files[0].next(&acceptors);
    for scheduled in &FaultSchedule::generate(seed, limits).faults {
        fleet.run((start_ms + scheduled.at_ms - fleet.simulation.now_ms()).max(0.0));
        fleet.apply(&scheduled.fault);
        for _ in 0..rng.usize(..3) {
            let Some(node) = to_reload.pop() else { break };
            fleet.replace_file(node, &next_file)?;
        }
    }
    // Long enough for all paused nodes to resume.
    fleet.run(limits.max_pause_ms + LEASE_MS);
    if reconfigures {
        for node in 0..limits.nodes {
            fleet.replace_file(node, &next_file)?;
        }
        fleet.run(LEASE_MS);
    }
    let owned = fleet.wait_until_owned(RECOVERY_MS);
    fleet.check()?;
    owned?;
    let history = fleet.history.borrow();
    Ok(TrialOutcome {
        acquired: history.acquisitions.len(),
        rejected_effects: history.register.rejected,
    })
}
