//! A simulated cluster of gossip nodes, and a checker that relies on the fault schedule and the nodes' observable
//! outputs.

pub mod checker;

use std::collections::BTreeMap;

use gossip::{
    Action, Change, ClusterKey, Event, Gossip, Health, InjectedFault, LogEvent, Metrics, Settings,
    State,
};
use simulation::{Clock, Fault, FaultSchedule, Link, NodeId, Outbox, Process, Simulation};

/// An observable output of a node.
#[derive(Clone, Debug)]
pub enum Output {
    /// The state of another node has changed.
    Change(Change),
    /// The local health has changed.
    Health(Health),
    /// A log event.
    Log(LogEvent),
}

/// A node and its outputs.
pub struct Node {
    /// The state machine.
    pub gossip: Gossip,
    /// The node's outputs, each with its simulation time in milliseconds.
    pub outputs: Vec<(f64, Output)>,
    clock: Clock,
    peers: Vec<NodeId>,
    /// Whether the process has not been woken yet.
    is_new: bool,
}

impl Node {
    fn execute(&mut self, local_ms: f64, actions: Vec<Action>, outbox: &mut Outbox) {
        let at_ms = (local_ms - self.clock.offset_ms) / (1.0 + self.clock.drift);
        for action in actions {
            match action {
                Action::Send { to, bytes } => outbox.send(to, bytes),
                Action::WakeAt(wake_at_ms) => outbox.wake_at(wake_at_ms),
                Action::Changed(change) => self.outputs.push((at_ms, Output::Change(change))),
                Action::Health(health) => self.outputs.push((at_ms, Output::Health(health))),
                Action::Log(event) => self.outputs.push((at_ms, Output::Log(event))),
                Action::Payload { .. } => {}
            }
        }
    }

    /// Handles an event at a local time of the node's clock, in milliseconds.
    pub fn handle(&mut self, local_ms: f64, event: Event<'_>, outbox: &mut Outbox) {
        let mut actions = Vec::new();
        self.gossip.handle(local_ms, event, &mut actions);
        self.execute(local_ms, actions, outbox);
    }
}

impl Process for Node {
    fn wake(&mut self, local_ms: f64, outbox: &mut Outbox) {
        let peers = self.peers.clone();
        let event = if std::mem::take(&mut self.is_new) {
            Event::SetPeers(peers)
        } else {
            Event::Timer
        };
        self.handle(local_ms, event, outbox);
    }

    fn receive(&mut self, local_ms: f64, from: NodeId, bytes: &[u8], outbox: &mut Outbox) {
        self.handle(local_ms, Event::Datagram { from, bytes }, outbox);
    }
}

/// The shared key of the cluster.
pub const KEY: &[u8] = b"0123456789abcdef";

/// A cluster of gossip nodes in virtual time.
pub struct VirtualCluster {
    /// The simulation that runs the nodes.
    pub simulation: Simulation<Node>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The nodes' names.
    pub names: Vec<String>,
    /// The nodes' clocks. A change takes effect at the node's next start.
    pub clocks: Vec<Clock>,
    /// The fault injected into the nodes' protocol code. A change takes effect at a node's next start.
    pub injected_fault: InjectedFault,
    /// The nodes' cluster keys. A change takes effect at the node's next start.
    pub keys: Vec<ClusterKey>,
    /// Number of processes started so far.
    started_processes: u64,
    /// Outputs of processes that have ended.
    ended_outputs: Vec<(NodeId, f64, Output)>,
}

impl VirtualCluster {
    /// Creates a cluster of `nodes` nodes, none of which is started.
    #[must_use]
    pub fn new(seed: u64, nodes: usize) -> Self {
        Self {
            simulation: Simulation::new(seed, nodes),
            seed,
            names: (0..nodes).map(|node| format!("n{node}")).collect(),
            clocks: vec![Clock::default(); nodes],
            injected_fault: InjectedFault::None,
            keys: vec![ClusterKey::new("holds", KEY); nodes],
            started_processes: 0,
            ended_outputs: Vec::new(),
        }
    }

    /// Creates a cluster, starts its nodes within a second and then runs it for ten seconds.
    #[must_use]
    pub fn started(seed: u64, nodes: usize) -> Self {
        let mut cluster = Self::new(seed, nodes);
        cluster.start_all(1_000.0);
        cluster.run(10_000.0);
        cluster
    }

    /// Starts all nodes at equal intervals within this time.
    pub fn start_all(&mut self, within_ms: f64) {
        let nodes = self.names.len();
        for node in 0..nodes {
            self.run(within_ms / nodes as f64);
            self.start(node);
        }
    }

    /// Starts a process on a node. A process that already runs there is killed.
    pub fn start(&mut self, node: NodeId) {
        self.start_with_incarnation(node, self.simulation.now_ms() as u64 + 1_000_000);
    }

    /// Starts a process with this initial incarnation, for example one taken from a wrong wall clock.
    pub fn start_with_incarnation(&mut self, node: NodeId, incarnation: u64) {
        self.save_outputs(node);
        self.started_processes += 1;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (self.started_processes << 20));
        self.simulation.set_clock(node, self.clocks[node]);
        let process = rng.u64(1..);
        let mut settings = Settings::new(
            &self.names[node],
            process,
            incarnation,
            self.keys[node].clone(),
        );
        settings.injected_fault = self.injected_fault;
        let gossip = Gossip::new(self.simulation.local_ms(node), settings);
        let peers = (0..self.names.len()).collect();
        let clock = self.clocks[node];
        self.simulation.start(
            node,
            Node {
                gossip,
                outputs: Vec::new(),
                clock,
                peers,
                is_new: true,
            },
        );
    }

    /// Saves the outputs of a process that is about to end.
    fn save_outputs(&mut self, node: NodeId) {
        if let Some(process) = self.simulation.process(node) {
            self.ended_outputs.extend(
                process
                    .outputs
                    .iter()
                    .map(|(at_ms, output)| (node, *at_ms, output.clone())),
            );
        }
    }

    /// Kills a node's process.
    pub fn kill(&mut self, node: NodeId) {
        self.save_outputs(node);
        self.simulation.kill(node);
    }

    /// Runs the simulation for this time, in milliseconds.
    pub fn run(&mut self, ms: f64) {
        self.simulation.run_until(self.simulation.now_ms() + ms);
    }

    /// Runs a fault schedule, whose times are relative to now.
    pub fn apply_schedule(&mut self, schedule: &FaultSchedule) {
        let start_ms = self.simulation.now_ms();
        for scheduled in &schedule.faults {
            self.simulation.run_until(start_ms + scheduled.at_ms);
            match &scheduled.fault {
                Fault::Start { node } if self.simulation.process(*node).is_some() => {}
                Fault::Start { node } => self.start(*node),
                Fault::Kill { node } => self.kill(*node),
                other => self.simulation.apply(other),
            }
        }
    }

    /// Sets the properties of all links.
    pub fn set_all_links(&mut self, link: Link) {
        self.simulation.apply(&Fault::AllLinks { link });
    }

    /// Repairs all links.
    pub fn heal(&mut self) {
        self.simulation.apply(&Fault::HealAll);
    }

    /// Cuts the link from one node to another. The other direction is not affected.
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.simulation.apply(&Fault::Cut { from, to });
    }

    /// Partitions the cluster: repairs all links, then cuts those between nodes of different sides.
    pub fn partition(&mut self, side: impl Fn(NodeId) -> usize) {
        self.heal();
        for from in 0..self.names.len() {
            for to in (0..self.names.len()).filter(|to| side(from) != side(*to)) {
                self.cut(from, to);
            }
        }
    }

    /// A node's view of the cluster: the state and incarnation of each member, by name.
    ///
    /// # Panics
    ///
    /// Panics if the node is not running.
    #[must_use]
    pub fn view(&self, of: NodeId) -> BTreeMap<String, (State, u64)> {
        let process = self.simulation.process(of).expect("the node is running");
        process
            .gossip
            .members()
            .map(|member| (member.name, (member.state, member.incarnation)))
            .collect()
    }

    /// The state of another node in a node's view.
    #[must_use]
    pub fn state(&self, of: NodeId, node: NodeId) -> Option<State> {
        self.view(of)
            .get(&self.names[node])
            .map(|(state, _)| *state)
    }

    /// The local health of a node.
    ///
    /// # Panics
    ///
    /// Panics if the node is not running.
    #[must_use]
    pub fn health(&self, of: NodeId) -> Health {
        self.simulation
            .process(of)
            .expect("the node is running")
            .gossip
            .health()
    }

    /// The counters of a node.
    ///
    /// # Panics
    ///
    /// Panics if the node is not running.
    #[must_use]
    pub fn metrics(&self, of: NodeId) -> Metrics {
        self.simulation
            .process(of)
            .expect("the node is running")
            .gossip
            .metrics()
    }

    /// Describes a wrong entry in the view of a running node, or returns `None` if there is none. In each view, all
    /// running nodes must be alive in their own incarnation, and all other nodes must be dead, left or absent. A paused
    /// node does not count as running.
    #[must_use]
    pub fn disagreement(&self) -> Option<String> {
        let running: Vec<_> = (0..self.names.len())
            .filter(|node| self.simulation.is_up(*node))
            .collect();
        let views: BTreeMap<_, _> = running
            .iter()
            .map(|node| (*node, self.view(*node)))
            .collect();
        for (observer, view) in &views {
            for node in 0..self.names.len() {
                let entry = view.get(&self.names[node]);
                let own_incarnation = views
                    .get(&node)
                    .and_then(|own_view| own_view.get(&self.names[node]))
                    .map(|(_, incarnation)| *incarnation);
                let is_correct = match (own_incarnation, entry) {
                    (Some(own_incarnation), Some((state, incarnation))) => {
                        *state == State::Alive && *incarnation == own_incarnation
                    }
                    (Some(_), None) => false,
                    (None, entry) => {
                        entry.is_none_or(|(state, _)| matches!(state, State::Dead | State::Left))
                    }
                };
                if !is_correct {
                    let (observer, node) = (&self.names[*observer], &self.names[node]);
                    return Some(format!(
                        "{observer} has {node} as {entry:?}, actual incarnation {own_incarnation:?}"
                    ));
                }
            }
        }
        None
    }

    /// Runs until all views agree, and returns the time that this took, in milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if the views do not agree within `timeout_ms`.
    pub fn agree_within(&mut self, timeout_ms: f64) -> f64 {
        let start_ms = self.simulation.now_ms();
        loop {
            let elapsed_ms = self.simulation.now_ms() - start_ms;
            let Some(error) = self.disagreement() else {
                return elapsed_ms;
            };
            assert!(
                elapsed_ms < timeout_ms,
                "seed {}: no agreement after {elapsed_ms} ms: {error}",
                self.seed
            );
            self.run(50.0);
        }
    }

    /// All outputs in order of time, each with its node and its simulation time in milliseconds. Includes those of
    /// processes that have ended.
    #[must_use]
    pub fn outputs(&self) -> Vec<(NodeId, f64, Output)> {
        let running =
            (0..self.names.len()).filter_map(|node| Some((node, self.simulation.process(node)?)));
        let current_outputs = running.flat_map(|(node, process)| {
            process
                .outputs
                .iter()
                .map(move |(at_ms, output)| (node, *at_ms, output.clone()))
        });
        let mut all: Vec<_> = self
            .ended_outputs
            .iter()
            .cloned()
            .chain(current_outputs)
            .collect();
        all.sort_by(|(_, a, _), (_, b, _)| a.total_cmp(b));
        all
    }

    /// Declarations of death since a simulation time: the declaring node, the time in milliseconds and the name of the
    /// dead node.
    #[must_use]
    pub fn deaths_since(&self, since_ms: f64) -> Vec<(NodeId, f64, String)> {
        let death = |(by, at_ms, output): (NodeId, f64, Output)| match output {
            Output::Change(change) if change.to == State::Dead && at_ms >= since_ms => {
                Some((by, at_ms, change.name))
            }
            _ => None,
        };
        self.outputs().into_iter().filter_map(death).collect()
    }

    /// The log events of the process that runs on a node.
    ///
    /// # Panics
    ///
    /// Panics if the node is not running.
    #[must_use]
    pub fn log_events(&self, of: NodeId) -> Vec<LogEvent> {
        let log_event = |(_, output): &(f64, Output)| match output {
            Output::Log(event) => Some(event.clone()),
            _ => None,
        };
        self.simulation
            .process(of)
            .expect("the node is running")
            .outputs
            .iter()
            .filter_map(log_event)
            .collect()
    }
}
