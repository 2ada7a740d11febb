//! A fleet of nodes in virtual time, and a judge that goes by the script and by what the nodes said.

pub mod judge;
use std::collections::BTreeMap;

use gossip::{
    Action, Change, ClusterKey, Event, Gossip, Health, InjectedFault, LogEvent, Metrics, Settings,
    State,
};
use simulation::{Clock, Link, NodeId, Outbox, Process, Script, Trouble, World};

/// What a node said, and when by the world's time.
#[derive(Clone, Debug)]
pub enum Said {
    /// Of another node.
    Change(Change),
    /// Of how it hears.
    Health(Health),
    /// For the operators.
    Log(LogEvent),
}

/// A node, and what it said.
pub struct Node {
    /// Its half without I/O.
    pub gossip: Gossip,
    /// When it said what, by the world's time.
    pub said: Vec<(f64, Said)>,
    clock: Clock,
    peers: Vec<NodeId>,
    is_new: bool,
}

impl Node {
    fn carry_out(&mut self, own_ms: f64, actions: Vec<Action>, out: &mut Outbox) {
        let at = (own_ms - self.clock.offset_ms) / (1.0 + self.clock.drift);
        for action in actions {
            match action {
                Action::Send { to, bytes } => out.send(to, bytes),
                Action::WakeAt(at) => out.wake_at(at),
                Action::Changed(change) => self.said.push((at, Said::Change(change))),
                Action::Health(health) => self.said.push((at, Said::Health(health))),
                Action::Log(event) => self.said.push((at, Said::Log(event))),
                Action::Payload { .. } => {}
            }
        }
    }

    /// Something happens to it.
    pub fn act(&mut self, own_ms: f64, event: Event<'_>, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.gossip.handle(own_ms, event, &mut actions);
        self.carry_out(own_ms, actions, out);
    }
}

impl Process for Node {
    fn wake(&mut self, own_ms: f64, out: &mut Outbox) {
        let peers = self.peers.clone();
        let event = if std::mem::take(&mut self.is_new) {
            Event::SetPeers(peers)
        } else {
            Event::Timer
        };
        self.act(own_ms, event, out);
    }

    fn receive(&mut self, own_ms: f64, from: NodeId, bytes: &[u8], out: &mut Outbox) {
        self.act(own_ms, Event::Datagram { from, bytes }, out);
    }
}

/// The key of its fleet.
pub const KEY: &[u8] = b"0123456789abcdef";

/// A fleet.
pub struct Fleet {
    /// Where it runs.
    pub world: World<Node>,
    /// What its chances are drawn from.
    pub seed: u64,
    /// Its nodes' names.
    pub names: Vec<String>,
    /// Their clocks, from the next start on.
    pub clocks: Vec<Clock>,
    /// The protocol fault that is injected into them.
    pub injected_fault: InjectedFault,
    /// Their cluster keys, from the next start on.
    pub keys: Vec<ClusterKey>,
    lives: u64,
    /// What processes that have ended said.
    past: Vec<(NodeId, f64, Said)>,
}

impl Fleet {
    /// So many nodes, none of them started.
    #[must_use]
    pub fn new(seed: u64, nodes: usize) -> Self {
        Self {
            world: World::new(seed, nodes),
            seed,
            names: (0..nodes).map(|node| format!("n{node}")).collect(),
            clocks: vec![Clock::default(); nodes],
            injected_fault: InjectedFault::None,
            keys: vec![ClusterKey::new("holds", KEY); nodes],
            lives: 0,
            past: Vec::new(),
        }
    }

    /// All nodes, started within a second, and ten seconds on.
    #[must_use]
    pub fn started(seed: u64, nodes: usize) -> Self {
        let mut fleet = Self::new(seed, nodes);
        fleet.start_all(1_000.0);
        fleet.run(10_000.0);
        fleet
    }

    /// Starts all within a time, one after the other.
    pub fn start_all(&mut self, within_ms: f64) {
        let nodes = self.names.len();
        for node in 0..nodes {
            self.run(within_ms / nodes as f64);
            self.start(node);
        }
    }

    /// Starts a process on a node.
    pub fn start(&mut self, node: NodeId) {
        self.start_born(node, self.world.now_ms() as u64 + 1_000_000);
    }

    /// The same, by a wall clock that may be wrong.
    pub fn start_born(&mut self, node: NodeId, born: u64) {
        self.end(node);
        self.lives += 1;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (self.lives << 20));
        self.world.set_clock(node, self.clocks[node]);
        let process = rng.u64(1..);
        let mut settings = Settings::new(&self.names[node], process, born, self.keys[node].clone());
        settings.injected_fault = self.injected_fault;
        let gossip = Gossip::new(self.world.own_ms(node), settings);
        let peers = (0..self.names.len()).collect();
        let clock = self.clocks[node];
        self.world.start(
            node,
            Node {
                gossip,
                said: Vec::new(),
                clock,
                peers,
                is_new: true,
            },
        );
    }

    fn end(&mut self, node: NodeId) {
        if let Some(process) = self.world.process(node) {
            self.past.extend(
                process
                    .said
                    .iter()
                    .map(|(at, said)| (node, *at, said.clone())),
            );
        }
    }

    /// Kills a node's process.
    pub fn kill(&mut self, node: NodeId) {
        self.end(node);
        self.world.kill(node);
    }

    /// Goes on for so long.
    pub fn run(&mut self, ms: f64) {
        self.world.run_until(self.world.now_ms() + ms);
    }

    /// Plays a script, its times counted from now.
    pub fn play(&mut self, script: &Script) {
        let start = self.world.now_ms();
        for (at, trouble) in &script.0 {
            self.world.run_until(start + at);
            match trouble {
                Trouble::Start { node } if self.world.process(*node).is_some() => {}
                Trouble::Start { node } => self.start(*node),
                Trouble::Kill { node } => self.kill(*node),
                other => self.world.apply(other),
            }
        }
    }

    /// What all links are from now on.
    pub fn all_links(&mut self, link: Link) {
        self.world.apply(&Trouble::All { link });
    }

    /// All links are good again.
    pub fn heal(&mut self) {
        self.world.apply(&Trouble::HealAll);
    }

    /// Cuts a link, one way.
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.world.apply(&Trouble::Cut { from, to });
    }

    /// Cuts all ways between nodes of different sides.
    pub fn split(&mut self, side: impl Fn(NodeId) -> usize) {
        self.heal();
        for from in 0..self.names.len() {
            for to in (0..self.names.len()).filter(|to| side(from) != side(*to)) {
                self.cut(from, to);
            }
        }
    }

    /// What a node believes: by name, state and incarnation.
    #[must_use]
    pub fn view(&self, of: NodeId) -> BTreeMap<String, (State, u64)> {
        let process = self.world.process(of).expect("it runs");
        process
            .gossip
            .members()
            .map(|member| (member.name, (member.state, member.incarnation)))
            .collect()
    }

    /// What a node believes of another.
    #[must_use]
    pub fn state(&self, of: NodeId, node: NodeId) -> Option<State> {
        self.view(of)
            .get(&self.names[node])
            .map(|(state, _)| *state)
    }

    /// How well a node hears.
    #[must_use]
    pub fn health(&self, of: NodeId) -> Health {
        self.world.process(of).expect("it runs").gossip.health()
    }

    /// The counters of a node.
    ///
    /// # Panics
    ///
    /// The node is not running.
    #[must_use]
    pub fn metrics(&self, of: NodeId) -> Metrics {
        self.world.process(of).expect("it runs").gossip.metrics()
    }

    /// Whether all that run agree that all that run are there and the rest are not; else who errs on whom.
    #[must_use]
    pub fn disagreement(&self) -> Option<String> {
        let up: Vec<_> = (0..self.names.len())
            .filter(|node| self.world.is_up(*node))
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
                        "{of} holds {node} for {held:?}, its own incarnation is {own:?}"
                    ));
                }
            }
        }
        None
    }

    /// Goes on until all agree, and tells how long it took.
    pub fn agree_within(&mut self, ms: f64) -> f64 {
        let start = self.world.now_ms();
        loop {
            let passed = self.world.now_ms() - start;
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

    /// All that was said: by whom, when, what; of processes that have ended, too.
    #[must_use]
    pub fn said(&self) -> Vec<(NodeId, f64, Said)> {
        let now = (0..self.names.len()).filter_map(|node| Some((node, self.world.process(node)?)));
        let now = now.flat_map(|(node, process)| {
            process
                .said
                .iter()
                .map(move |(at, said)| (node, *at, said.clone()))
        });
        let mut all: Vec<_> = self.past.iter().cloned().chain(now).collect();
        all.sort_by(|(_, a, _), (_, b, _)| a.total_cmp(b));
        all
    }

    /// Who called whom gone, and when, since a time.
    #[must_use]
    pub fn gone_since(&self, since_ms: f64) -> Vec<(NodeId, f64, String)> {
        let gone = |(by, at, said): (NodeId, f64, Said)| match said {
            Said::Change(change) if change.to == State::Dead && at >= since_ms => {
                Some((by, at, change.name))
            }
            _ => None,
        };
        self.said().into_iter().filter_map(gone).collect()
    }

    /// The log events of a node's process.
    #[must_use]
    pub fn log_events(&self, of: NodeId) -> Vec<LogEvent> {
        let log_event = |(_, said): &(f64, Said)| match said {
            Said::Log(event) => Some(event.clone()),
            _ => None,
        };
        self.world
            .process(of)
            .expect("it runs")
            .said
            .iter()
            .filter_map(log_event)
            .collect()
    }
}
