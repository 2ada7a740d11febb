//! A cluster of gossip nodes in virtual time, and a checker that goes by the fault schedule and the nodes' observable output.

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
    /// Its outputs, with the simulation's time in milliseconds.
    pub outputs: Vec<(f64, Output)>,
    clock: Clock,
    peers: Vec<NodeId>,
    is_new: bool,
}

impl Node {
    fn execute(&mut self, local_ms: f64, actions: Vec<Action>, outbox: &mut Outbox) {
        let at = (local_ms - self.clock.offset_ms) / (1.0 + self.clock.drift);
        for action in actions {
            match action {
                Action::Send { to, bytes } => outbox.send(to, bytes),
                Action::WakeAt(at) => outbox.wake_at(at),
                Action::Changed(change) => self.outputs.push((at, Output::Change(change))),
                Action::Health(health) => self.outputs.push((at, Output::Health(health))),
                Action::Log(event) => self.outputs.push((at, Output::Log(event))),
                Action::Payload { .. } => {}
            }
        }
    }

    /// Handles an event at the local time of its clock.
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

/// A cluster in virtual time.
pub struct VirtualCluster {
    /// The simulation that runs the nodes.
    pub simulation: Simulation<Node>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The nodes' names.
    pub names: Vec<String>,
    /// The nodes' clocks, from their next start on.
    pub clocks: Vec<Clock>,
    /// The protocol fault that is injected into them.
    pub injected_fault: InjectedFault,
    /// Their cluster keys, from the next start on.
    pub keys: Vec<ClusterKey>,
    /// Processes started so far.
    starts: u64,
    /// Outputs of processes that have ended.
    ended_outputs: Vec<(NodeId, f64, Output)>,
}

impl VirtualCluster {
    /// A cluster of `nodes` nodes, none of them started.
    #[must_use]
    pub fn new(seed: u64, nodes: usize) -> Self {
        Self {
            simulation: Simulation::new(seed, nodes),
            seed,
            names: (0..nodes).map(|node| format!("n{node}")).collect(),
            clocks: vec![Clock::default(); nodes],
            injected_fault: InjectedFault::None,
            keys: vec![ClusterKey::new("holds", KEY); nodes],
            starts: 0,
            ended_outputs: Vec::new(),
        }
    }

    /// A cluster whose nodes were started within a second, ten seconds later.
    #[must_use]
    pub fn started(seed: u64, nodes: usize) -> Self {
        let mut cluster = Self::new(seed, nodes);
        cluster.start_all(1_000.0);
        cluster.run(10_000.0);
        cluster
    }

    /// Starts all nodes at equal intervals within a time.
    pub fn start_all(&mut self, within_ms: f64) {
        let nodes = self.names.len();
        for node in 0..nodes {
            self.run(within_ms / nodes as f64);
            self.start(node);
        }
    }

    /// Starts a process on a node, which ends the one that runs there.
    pub fn start(&mut self, node: NodeId) {
        self.start_with_incarnation(node, self.simulation.now_ms() as u64 + 1_000_000);
    }

    /// Starts a process with this first incarnation, as from a wall clock that may be wrong.
    pub fn start_with_incarnation(&mut self, node: NodeId, incarnation: u64) {
        self.keep_outputs(node);
        self.starts += 1;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (self.starts << 20));
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

    fn keep_outputs(&mut self, node: NodeId) {
        if let Some(process) = self.simulation.process(node) {
            self.ended_outputs.extend(
                process
                    .outputs
                    .iter()
                    .map(|(at, output)| (node, *at, output.clone())),
            );
        }
    }

    /// Kills a node's process.
    pub fn kill(&mut self, node: NodeId) {
        self.keep_outputs(node);
        self.simulation.kill(node);
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, ms: f64) {
        self.simulation.run_until(self.simulation.now_ms() + ms);
    }

    /// Applies a fault schedule, whose times count from now.
    pub fn apply_schedule(&mut self, schedule: &FaultSchedule) {
        let start = self.simulation.now_ms();
        for scheduled in &schedule.faults {
            self.simulation.run_until(start + scheduled.at_ms);
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

    /// Cuts a link one way.
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.simulation.apply(&Fault::Cut { from, to });
    }

    /// Partitions the cluster: cuts all links between nodes of different sides.
    pub fn partition(&mut self, side: impl Fn(NodeId) -> usize) {
        self.heal();
        for from in 0..self.names.len() {
            for to in (0..self.names.len()).filter(|to| side(from) != side(*to)) {
                self.cut(from, to);
            }
        }
    }

    /// A node's view: state and incarnation by name.
    ///
    /// # Panics
    ///
    /// The node is not running.
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
    /// The node is not running.
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
    /// The node is not running.
    #[must_use]
    pub fn metrics(&self, of: NodeId) -> Metrics {
        self.simulation
            .process(of)
            .expect("the node is running")
            .gossip
            .metrics()
    }

    /// A node whose view is wrong, and about which other: all running nodes must be alive, in their incarnation, and all
    /// others dead or left. `None` if there is none.
    #[must_use]
    pub fn disagreement(&self) -> Option<String> {
        let up: Vec<_> = (0..self.names.len())
            .filter(|node| self.simulation.is_up(*node))
            .collect();
        let views: BTreeMap<_, _> = up.iter().map(|node| (*node, self.view(*node))).collect();
        for (of, view) in &views {
            for node in 0..self.names.len() {
                let held = view.get(&self.names[node]);
                let own = views
                    .get(&node)
                    .and_then(|own| own.get(&self.names[node]))
                    .map(|(_, at)| *at);
                let is_right = match (own, held) {
                    (Some(own), Some((state, at))) => *state == State::Alive && *at == own,
                    (Some(_), None) => false,
                    (None, held) => {
                        held.is_none_or(|(state, _)| matches!(state, State::Dead | State::Left))
                    }
                };
                if !is_right {
                    let (of, node) = (&self.names[*of], &self.names[node]);
                    return Some(format!(
                        "{of} has {node} as {held:?}, whose own incarnation is {own:?}"
                    ));
                }
            }
        }
        None
    }

    /// Runs until all views agree, and returns how long it took.
    ///
    /// # Panics
    ///
    /// They do not within `ms`.
    pub fn agree_within(&mut self, ms: f64) -> f64 {
        let start = self.simulation.now_ms();
        loop {
            let passed = self.simulation.now_ms() - start;
            let Some(error) = self.disagreement() else {
                return passed;
            };
            assert!(
                passed < ms,
                "seed {}: no agreement after {passed} ms: {error}",
                self.seed
            );
            self.run(50.0);
        }
    }

    /// All outputs in order of time, with node and time; also those of processes that have ended.
    #[must_use]
    pub fn outputs(&self) -> Vec<(NodeId, f64, Output)> {
        let now =
            (0..self.names.len()).filter_map(|node| Some((node, self.simulation.process(node)?)));
        let now = now.flat_map(|(node, process)| {
            process
                .outputs
                .iter()
                .map(move |(at, output)| (node, *at, output.clone()))
        });
        let mut all: Vec<_> = self.ended_outputs.iter().cloned().chain(now).collect();
        all.sort_by(|(_, a, _), (_, b, _)| a.total_cmp(b));
        all
    }

    /// Which nodes were declared dead since a time: by which node, when, and the name.
    #[must_use]
    pub fn deaths_since(&self, since_ms: f64) -> Vec<(NodeId, f64, String)> {
        let death = |(by, at, output): (NodeId, f64, Output)| match output {
            Output::Change(change) if change.to == State::Dead && at >= since_ms => {
                Some((by, at, change.name))
            }
            _ => None,
        };
        self.outputs().into_iter().filter_map(death).collect()
    }

    /// The log events of a node's process.
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
