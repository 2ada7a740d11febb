//! The event loop. Events are processed in order of time, which is reproducible from the seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use fastrand::Rng;

use crate::clock::Clock;
use crate::fault::Fault;
use crate::link::{Link, LinkFaultCounts, LinkState};
use crate::process::{Outbox, Process};
use crate::NodeId;

/// Maximum number of datagrams queued for a paused process. Further ones are dropped, as by the full receive buffer of
/// a socket.
const MAX_RECEIVE_QUEUE: usize = 256;

/// Number and total size of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total size, in bytes.
    pub bytes: u64,
}

impl Traffic {
    fn add_datagram(&mut self, length: usize) {
        self.datagrams += 1;
        self.bytes += length as u64;
    }
}

/// Traffic of all nodes since the start of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Datagrams that were sent.
    pub sent: Traffic,
    /// Number of datagrams received, including corrupted, duplicated and replayed ones.
    pub received: u64,
    /// Size of the longest datagram sent, in bytes.
    pub max_datagram_bytes: usize,
    /// Number of datagrams affected by each kind of link fault.
    pub faults: LinkFaultCounts,
}

/// An event at a node.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The timer of this generation expires.
    Wake {
        timer_generation: u64,
    },
    Arrive {
        from: NodeId,
        bytes: Vec<u8>,
    },
    Resume,
}

/// An event in the queue. Ordered by time, then by order of insertion.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedEvent {
    at_us: u64,
    serial: u64,
    node: NodeId,
    event: Event,
}

/// A datagram queued for a paused process.
struct ReceivedDatagram {
    from: NodeId,
    bytes: Vec<u8>,
}

struct Node<P> {
    process: Option<P>,
    clock: Clock,
    paused_until_us: Option<u64>,
    receive_queue: VecDeque<ReceivedDatagram>,
    /// Generation of the current timer. Timers of earlier generations are ignored when they expire.
    timer_generation: u64,
    /// Whether the timer expired during the pause.
    is_timer_overdue: bool,
    sent: Traffic,
}

impl<P> Node<P> {
    fn new() -> Self {
        Self {
            process: None,
            clock: Clock::default(),
            paused_until_us: None,
            receive_queue: VecDeque::new(),
            timer_generation: 0,
            is_timer_overdue: false,
            sent: Traffic::default(),
        }
    }

    fn is_paused(&self) -> bool {
        self.paused_until_us.is_some()
    }
}

/// A simulation of nodes, each of which runs at most one process.
pub struct Simulation<P> {
    seed: u64,
    now_us: u64,
    next_serial: u64,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    nodes: Vec<Node<P>>,
    default_link: Link,
    /// Links that differ from the default, by sender and receiver.
    links: BTreeMap<(NodeId, NodeId), Link>,
    link_states: BTreeMap<(NodeId, NodeId), LinkState>,
    totals: Totals,
}

impl<P: Process> Simulation<P> {
    /// Creates a simulation with this number of nodes, none of which runs a process yet.
    #[must_use]
    pub fn new(seed: u64, nodes: usize) -> Self {
        Self {
            seed,
            now_us: 0,
            next_serial: 0,
            queue: BinaryHeap::new(),
            nodes: (0..nodes).map(|_| Node::new()).collect(),
            default_link: Link::default(),
            links: BTreeMap::new(),
            link_states: BTreeMap::new(),
            totals: Totals::default(),
        }
    }

    /// Simulation time, in milliseconds since the start.
    #[must_use]
    pub fn now_ms(&self) -> f64 {
        self.now_us as f64 / 1e3
    }

    /// The time of a node's local clock, in milliseconds.
    #[must_use]
    pub fn local_ms(&self, node: NodeId) -> f64 {
        self.nodes[node].clock.local_ms(self.now_us)
    }

    /// Number of nodes, whether they run a process or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no nodes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The process that runs on a node.
    #[must_use]
    pub fn process(&self, node: NodeId) -> Option<&P> {
        self.nodes[node].process.as_ref()
    }

    /// Whether a node runs a process that is not paused.
    #[must_use]
    pub fn is_up(&self, node: NodeId) -> bool {
        self.nodes[node].process.is_some() && !self.nodes[node].is_paused()
    }

    /// Traffic of all nodes so far.
    #[must_use]
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Traffic that a node has sent so far.
    #[must_use]
    pub fn sent_by(&self, node: NodeId) -> Traffic {
        self.nodes[node].sent
    }

    /// Sets a node's clock. Call it before starting a process on the node.
    pub fn set_clock(&mut self, node: NodeId, clock: Clock) {
        self.nodes[node].clock = clock;
    }

    /// Sets the properties of all links that have not been changed individually.
    pub fn set_default_link(&mut self, link: Link) {
        self.default_link = link;
    }

    /// The link from one node to another.
    #[must_use]
    pub fn link(&self, from: NodeId, to: NodeId) -> &Link {
        self.links.get(&(from, to)).unwrap_or(&self.default_link)
    }

    /// The link from one node to another, for changing it individually.
    pub fn link_mut(&mut self, from: NodeId, to: NodeId) -> &mut Link {
        self.links
            .entry((from, to))
            .or_insert_with(|| self.default_link.clone())
    }

    /// Resets all links to the default properties.
    pub fn reset_links(&mut self) {
        self.links.clear();
    }

    /// Starts a process on a node. A process that already runs there is killed.
    pub fn start(&mut self, node: NodeId, process: P) {
        self.kill(node);
        self.nodes[node].process = Some(process);
        self.call(node, Process::wake);
    }

    /// Kills the process on a node without notice. Datagrams that arrive while no process runs are lost.
    pub fn kill(&mut self, node: NodeId) {
        let node = &mut self.nodes[node];
        node.process = None;
        node.timer_generation += 1; // The timer of this process must not wake the next one.
        node.paused_until_us = None;
        node.receive_queue.clear();
        node.is_timer_overdue = false;
    }

    /// Calls a function on a node's process, for example to issue an operator's command. Does nothing if the node is
    /// not [up](Self::is_up).
    pub fn with(&mut self, node: NodeId, function: impl FnOnce(&mut P, f64, &mut Outbox)) {
        if self.is_up(node) {
            self.call(node, function);
        }
    }

    /// Pauses a process. Its clock continues, as the boot-time clock of a suspended machine does. A pause during
    /// another one can only lengthen it.
    pub fn pause(&mut self, node: NodeId, ms: f64) {
        if self.nodes[node].process.is_none() {
            return;
        }
        let until_us = self.now_us + (ms * 1e3) as u64;
        let until_us = self.nodes[node]
            .paused_until_us
            .map_or(until_us, |earlier| earlier.max(until_us));
        self.nodes[node].paused_until_us = Some(until_us);
        self.push(until_us, node, Event::Resume);
    }

    /// Injects a fault. Ignores [`Fault::Start`]: the caller has to create the process and [`start`](Self::start) it.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Cut { from, to } => self.link_mut(*from, *to).cut = true,
            Fault::Restore { from, to } => self.link_mut(*from, *to).cut = false,
            Fault::Link { from, to, link } => *self.link_mut(*from, *to) = link.clone(),
            Fault::AllLinks { link } => {
                self.reset_links();
                self.default_link = link.clone();
            }
            Fault::HealAll => {
                self.reset_links();
                self.default_link = Link::default();
            }
            Fault::Pause { node, ms } => self.pause(*node, *ms),
            Fault::Kill { node } => self.kill(*node),
            Fault::Start { .. } => {}
        }
    }

    /// Runs until this simulation time, in milliseconds.
    pub fn run_until(&mut self, ms: f64) {
        let until_us = (ms * 1e3) as u64;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_us > until_us {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now_us = next.at_us;
            self.handle(next.node, next.event);
        }
        self.now_us = self.now_us.max(until_us);
    }

    fn push(&mut self, at_us: u64, node: NodeId, event: Event) {
        self.next_serial += 1;
        self.queue.push(Reverse(QueuedEvent {
            at_us,
            serial: self.next_serial,
            node,
            event,
        }));
    }

    fn handle(&mut self, id: NodeId, event: Event) {
        let node = &mut self.nodes[id];
        if node.process.is_none() {
            return;
        }
        match event {
            Event::Resume if node.paused_until_us == Some(self.now_us) => self.resume(id),
            Event::Resume => {}
            Event::Wake { timer_generation } if timer_generation != node.timer_generation => {}
            Event::Wake { .. } if node.is_paused() => node.is_timer_overdue = true,
            Event::Wake { .. } => self.call(id, Process::wake),
            Event::Arrive { from, bytes } if node.is_paused() => {
                if node.receive_queue.len() < MAX_RECEIVE_QUEUE {
                    node.receive_queue
                        .push_back(ReceivedDatagram { from, bytes });
                }
            }
            Event::Arrive { from, bytes } => self.receive(id, from, &bytes),
        }
    }

    /// Ends a pause. An operating system may deliver an overdue timer before the queued datagrams or after them. Both
    /// orders occur here: the timer comes first if the number of datagrams is even.
    fn resume(&mut self, id: NodeId) {
        let node = &mut self.nodes[id];
        node.paused_until_us = None;
        let received = std::mem::take(&mut node.receive_queue);
        let was_overdue = std::mem::take(&mut node.is_timer_overdue);
        if was_overdue && received.len() % 2 == 0 {
            self.call(id, Process::wake);
        }
        for ReceivedDatagram { from, bytes } in received {
            self.receive(id, from, &bytes);
        }
        self.call(id, Process::wake);
    }

    fn receive(&mut self, id: NodeId, from: NodeId, bytes: &[u8]) {
        self.totals.received += 1;
        self.call(id, |process, local_ms, outbox| {
            process.receive(local_ms, from, bytes, outbox);
        });
    }

    /// Calls a function on a node's process and executes the resulting actions.
    fn call(&mut self, id: NodeId, function: impl FnOnce(&mut P, f64, &mut Outbox)) {
        let node = &mut self.nodes[id];
        let local_ms = node.clock.local_ms(self.now_us);
        let Some(process) = &mut node.process else {
            return;
        };
        let mut outbox = Outbox::default();
        function(process, local_ms, &mut outbox);
        if let Some(wake_at_ms) = outbox.wake_at_ms {
            node.timer_generation += 1;
            let timer_generation = node.timer_generation;
            let at_us = node.clock.simulation_us(wake_at_ms).max(self.now_us);
            self.push(at_us, id, Event::Wake { timer_generation });
        }
        for datagram in outbox.datagrams {
            self.send(id, datagram.to, datagram.bytes);
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        self.totals.sent.add_datagram(bytes.len());
        self.totals.max_datagram_bytes = self.totals.max_datagram_bytes.max(bytes.len());
        self.nodes[from].sent.add_datagram(bytes.len());
        if to >= self.nodes.len() {
            return;
        }
        let seed = self.seed;
        let state = self
            .link_states
            .entry((from, to))
            .or_insert_with(|| LinkState::new(link_seed(seed, from, to)));
        let link = self.links.get(&(from, to)).unwrap_or(&self.default_link);
        let now_ms = self.now_us as f64 / 1e3;
        for delivery in state.transmit(now_ms, link, bytes, &mut self.totals.faults) {
            let at_us = self.now_us + (delivery.after_ms * 1e3) as u64;
            let bytes = delivery.bytes;
            self.push(at_us, to, Event::Arrive { from, bytes });
        }
    }
}

/// Derives the seed of a link's own random number generator.
fn link_seed(seed: u64, from: NodeId, to: NodeId) -> u64 {
    let mut rng = Rng::with_seed(seed ^ ((from as u64) << 40) ^ ((to as u64 + 1) << 16));
    rng.u64(..)
}
