//! The world: what happens when, in an order that its seed alone decides.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use fastrand::Rng;

use crate::link::{Done, Line, Link};
use crate::script::Trouble;
use crate::NodeId;

/// Datagrams that wait at a process that has stopped; the system drops those beyond, as its socket's buffer is full.
const MOST_WAITING: usize = 256;

/// What a process wants done.
#[derive(Debug, Default)]
pub struct Outbox {
    sends: Vec<(NodeId, Vec<u8>)>,
    wake_at_ms: Option<f64>,
}

impl Outbox {
    /// A datagram goes to a node.
    pub fn send(&mut self, to: NodeId, bytes: Vec<u8>) {
        self.sends.push((to, bytes));
    }

    /// The process is to be woken at this time by its own clock, and at no other.
    pub fn wake_at(&mut self, own_ms: f64) {
        self.wake_at_ms = Some(own_ms);
    }
}

/// What runs on a node.
pub trait Process {
    /// It starts, or its time has come. Times are its own clock's, in milliseconds.
    fn wake(&mut self, own_ms: f64, out: &mut Outbox);
    /// A datagram has come.
    fn receive(&mut self, own_ms: f64, from: NodeId, bytes: &[u8], out: &mut Outbox);
}

/// A node's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clock {
    /// What it shows when the world begins, in milliseconds.
    pub offset_ms: f64,
    /// By how much it is too fast: 0.01 for one part in a hundred.
    pub drift: f64,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            offset_ms: 1e6,
            drift: 0.0,
        }
    }
}

impl Clock {
    fn own_ms(self, world_us: u64) -> f64 {
        self.offset_ms + world_us as f64 / 1e3 * (1.0 + self.drift)
    }

    fn world_us(self, own_ms: f64) -> u64 {
        // Rounded up, so that it is never woken ahead of its time.
        (((own_ms - self.offset_ms) / (1.0 + self.drift)).max(0.0) * 1e3).ceil() as u64
    }
}

/// What has passed between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Datagrams that were sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams that arrived, changed ones and doubles among them.
    pub arrived: u64,
    /// The longest that was sent.
    pub longest: usize,
    /// What was done to them on their way.
    pub done: Done,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake(u64),
    Arrive { from: NodeId, bytes: Vec<u8> },
    Resume,
}

struct Node<P> {
    process: Option<P>,
    clock: Clock,
    stopped_until_us: Option<u64>,
    waiting: VecDeque<(NodeId, Vec<u8>)>,
    wake: u64,
    is_overdue: bool,
}

/// A world of nodes.
pub struct World<P> {
    seed: u64,
    now_us: u64,
    serial: u64,
    due: BinaryHeap<Reverse<(u64, u64, NodeId, Due)>>,
    nodes: Vec<Node<P>>,
    ordinary: Link,
    links: BTreeMap<(NodeId, NodeId), Link>,
    lines: BTreeMap<(NodeId, NodeId), Line>,
    totals: Totals,
    of_node: Vec<(u64, u64)>,
}

impl<P: Process> World<P> {
    /// So many nodes, none of which runs yet.
    #[must_use]
    pub fn new(seed: u64, nodes: usize) -> Self {
        let node = || Node {
            process: None,
            clock: Clock::default(),
            stopped_until_us: None,
            waiting: VecDeque::new(),
            wake: 0,
            is_overdue: false,
        };
        Self {
            seed,
            now_us: 0,
            serial: 0,
            due: BinaryHeap::new(),
            nodes: (0..nodes).map(|_| node()).collect(),
            ordinary: Link::default(),
            links: BTreeMap::new(),
            lines: BTreeMap::new(),
            totals: Totals::default(),
            of_node: vec![(0, 0); nodes],
        }
    }

    /// The world's time, in milliseconds since it began.
    #[must_use]
    pub fn now_ms(&self) -> f64 {
        self.now_us as f64 / 1e3
    }

    /// A node's own time.
    #[must_use]
    pub fn own_ms(&self, node: NodeId) -> f64 {
        self.nodes[node].clock.own_ms(self.now_us)
    }

    /// How many nodes there are, running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// What runs on a node.
    #[must_use]
    pub fn process(&self, node: NodeId) -> Option<&P> {
        self.nodes[node].process.as_ref()
    }

    /// Whether a node's process runs and is not stopped.
    #[must_use]
    pub fn is_up(&self, node: NodeId) -> bool {
        self.nodes[node].process.is_some() && self.nodes[node].stopped_until_us.is_none()
    }

    /// What has passed so far.
    #[must_use]
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Datagrams and bytes that a node has sent.
    #[must_use]
    pub fn sent_by(&self, node: NodeId) -> (u64, u64) {
        self.of_node[node]
    }

    /// Gives a node a clock, before it is started.
    pub fn set_clock(&mut self, node: NodeId, clock: Clock) {
        self.nodes[node].clock = clock;
    }

    /// What links are that nothing else is said of.
    pub fn set_ordinary(&mut self, link: Link) {
        self.ordinary = link;
    }

    /// What the link from one node to another is.
    #[must_use]
    pub fn link(&self, from: NodeId, to: NodeId) -> &Link {
        self.links.get(&(from, to)).unwrap_or(&self.ordinary)
    }

    /// To change a link.
    pub fn link_mut(&mut self, from: NodeId, to: NodeId) -> &mut Link {
        self.links
            .entry((from, to))
            .or_insert_with(|| self.ordinary.clone())
    }

    /// All links are ordinary again.
    pub fn mend_links(&mut self) {
        self.links.clear();
    }

    /// Starts a process on a node; one that runs there is killed.
    pub fn start(&mut self, node: NodeId, process: P) {
        self.kill(node);
        self.nodes[node].process = Some(process);
        self.call(node, Process::wake);
    }

    /// A process ends with no word; what arrives while none runs is lost.
    pub fn kill(&mut self, node: NodeId) {
        let node = &mut self.nodes[node];
        node.process = None;
        node.wake += 1; // What the process before wanted to be woken for is not this one's.
        node.stopped_until_us = None;
        node.waiting.clear();
        node.is_overdue = false;
    }

    /// Lets a process act as at the orders of whoever runs it.
    pub fn with(&mut self, node: NodeId, act: impl FnOnce(&mut P, f64, &mut Outbox)) {
        if self.is_up(node) {
            self.call(node, act);
        }
    }

    /// Stops a process for a while. Its clock goes on: a suspended machine's does, by the time since boot.
    pub fn pause(&mut self, node: NodeId, ms: f64) {
        if self.nodes[node].process.is_none() {
            return;
        }
        let until = self.now_us + (ms * 1e3) as u64;
        let until = self.nodes[node]
            .stopped_until_us
            .map_or(until, |held| held.max(until));
        self.nodes[node].stopped_until_us = Some(until);
        self.push(until, node, Due::Resume);
    }

    /// Does what a script says.
    pub fn apply(&mut self, trouble: &Trouble) {
        match trouble {
            Trouble::Cut { from, to } => self.link_mut(*from, *to).cut = true,
            Trouble::Mend { from, to } => self.link_mut(*from, *to).cut = false,
            Trouble::Link { from, to, link } => *self.link_mut(*from, *to) = link.clone(),
            Trouble::All { link } => {
                self.links.clear();
                self.ordinary = link.clone();
            }
            Trouble::HealAll => {
                self.links.clear();
                self.ordinary = Link::default();
            }
            Trouble::Pause { node, ms } => self.pause(*node, *ms),
            Trouble::Kill { node } => self.kill(*node),
            Trouble::Start { .. } => {} // Whoever plays the script knows what to start.
        }
    }

    /// Goes on until a time of the world.
    pub fn run_until(&mut self, ms: f64) {
        let until = (ms * 1e3) as u64;
        while let Some(Reverse((at, ..))) = self.due.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, node, due))) = self.due.pop() else {
                break;
            };
            self.now_us = at;
            self.happen(node, due);
        }
        self.now_us = self.now_us.max(until);
    }

    fn push(&mut self, at: u64, node: NodeId, due: Due) {
        self.serial += 1;
        self.due.push(Reverse((at, self.serial, node, due)));
    }

    fn happen(&mut self, at: NodeId, due: Due) {
        let now = self.now_us;
        let node = &mut self.nodes[at];
        if node.process.is_none() {
            return;
        }
        match due {
            Due::Resume if node.stopped_until_us == Some(now) => {
                node.stopped_until_us = None;
                // The system hands over what has come, and the alarm that is overdue, in whatever order it likes.
                let waiting = std::mem::take(&mut node.waiting);
                if std::mem::take(&mut node.is_overdue) && waiting.len() % 2 == 0 {
                    self.call(at, Process::wake);
                }
                for (from, bytes) in waiting {
                    self.arrive(at, from, &bytes);
                }
                self.call(at, Process::wake);
            }
            Due::Resume => {}
            Due::Wake(wake) if wake != node.wake => {}
            Due::Wake(_) if node.stopped_until_us.is_some() => node.is_overdue = true,
            Due::Wake(_) => self.call(at, Process::wake),
            Due::Arrive { from, bytes } if node.stopped_until_us.is_some() => {
                if node.waiting.len() < MOST_WAITING {
                    node.waiting.push_back((from, bytes));
                }
            }
            Due::Arrive { from, bytes } => self.arrive(at, from, &bytes),
        }
    }

    fn arrive(&mut self, at: NodeId, from: NodeId, bytes: &[u8]) {
        self.totals.arrived += 1;
        self.call(at, |process, now, out| {
            process.receive(now, from, bytes, out);
        });
    }

    fn call(&mut self, at: NodeId, act: impl FnOnce(&mut P, f64, &mut Outbox)) {
        let node = &mut self.nodes[at];
        let now = node.clock.own_ms(self.now_us);
        let Some(process) = &mut node.process else {
            return;
        };
        let mut out = Outbox::default();
        act(process, now, &mut out);
        if let Some(wake) = out.wake_at_ms {
            node.wake += 1;
            let (wake, due) = (node.wake, node.clock.world_us(wake).max(self.now_us));
            self.push(due, at, Due::Wake(wake));
        }
        for (to, bytes) in out.sends {
            self.send(at, to, bytes);
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        self.totals.sent.0 += 1;
        self.totals.sent.1 += bytes.len() as u64;
        self.totals.longest = self.totals.longest.max(bytes.len());
        self.of_node[from].0 += 1;
        self.of_node[from].1 += bytes.len() as u64;
        if to >= self.nodes.len() {
            return;
        }
        let seed = self.seed;
        let line = self
            .lines
            .entry((from, to))
            .or_insert_with(|| Line::new(stream(seed, from, to)));
        let link = self.links.get(&(from, to)).unwrap_or(&self.ordinary);
        for (after, bytes) in
            line.pass(self.now_us as f64 / 1e3, link, bytes, &mut self.totals.done)
        {
            let at = self.now_us + (after * 1e3) as u64;
            self.push(at, to, Due::Arrive { from, bytes });
        }
    }
}

/// The seed of a link's own stream.
fn stream(seed: u64, from: NodeId, to: NodeId) -> u64 {
    let mut rng = Rng::with_seed(seed ^ ((from as u64) << 40) ^ ((to as u64 + 1) << 16));
    rng.u64(..)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Notes when it is woken and what it hears; is woken once a second, and speaks to a node then.
    struct Notes {
        to: NodeId,
        woken: Vec<f64>,
        heard: Vec<(f64, NodeId)>,
    }

    impl Process for Notes {
        fn wake(&mut self, own_ms: f64, out: &mut Outbox) {
            self.woken.push(own_ms);
            out.send(self.to, vec![0; 9]);
            out.wake_at(own_ms + 1_000.0);
        }
        fn receive(&mut self, own_ms: f64, from: NodeId, _: &[u8], _: &mut Outbox) {
            self.heard.push((own_ms, from));
        }
    }

    fn world(seed: u64, drift: f64) -> World<Notes> {
        let mut world = World::new(seed, 2);
        for node in 0..2 {
            world.set_clock(
                node,
                Clock {
                    offset_ms: 5e6,
                    drift: if node == 0 { drift } else { 0.0 },
                },
            );
            world.start(
                node,
                Notes {
                    to: 1 - node,
                    woken: Vec::new(),
                    heard: Vec::new(),
                },
            );
        }
        world
    }

    fn notes(world: &World<Notes>, node: NodeId) -> &Notes {
        world.process(node).expect("it runs")
    }

    #[test]
    fn a_clock_that_runs_fast_wakes_its_process_more_often() {
        let mut world = world(1, 0.01);
        world.run_until(100_500.0);
        assert_eq!(
            (notes(&world, 0).woken.len(), notes(&world, 1).woken.len()),
            (102, 101)
        );
        let own = world.own_ms(0) - 5e6;
        assert!((own - 101_505.0).abs() < 1e-6, "{own}");
    }

    /// Guards what a pause is: nothing happens in it, what came waits, and timers do not ring in a heap after it.
    #[test]
    fn a_process_that_is_paused_does_nothing_and_hears_late() {
        let mut world = world(2, 0.0);
        world.run_until(10_500.0);
        world.pause(0, 5_000.0);
        world.run_until(15_400.0);
        assert_eq!(
            (notes(&world, 0).woken.len(), notes(&world, 0).heard.len()),
            (11, 11)
        );
        assert!(!world.is_up(0));
        world.run_until(15_600.0);
        assert_eq!(notes(&world, 0).heard.len(), 16, "all five came as it woke");
        assert_eq!(notes(&world, 0).woken.len(), 12, "and one alarm");
        assert!(world.is_up(0));
    }

    #[test]
    fn what_a_killed_process_wanted_is_not_its_successors() {
        let mut world = world(3, 0.0);
        world.run_until(10_500.0);
        world.kill(0);
        assert!(world.process(0).is_none());
        world.run_until(10_700.0);
        world.start(
            0,
            Notes {
                to: 1,
                woken: Vec::new(),
                heard: Vec::new(),
            },
        );
        world.run_until(12_500.0);
        assert_eq!(
            notes(&world, 0).woken.len(),
            2,
            "at its start and a second later"
        );
    }

    #[test]
    fn each_fault_is_done_and_counted_each_way_by_itself() {
        let good = Link::default();
        type Count = fn(&Done) -> u64;
        let cases: [(Link, Count); 6] = [
            (
                Link {
                    cut: true,
                    ..good.clone()
                },
                |done| done.cut,
            ),
            (
                Link {
                    loss: 0.5,
                    ..good.clone()
                },
                |done| done.lost,
            ),
            (
                Link {
                    burst: (0.1, 3_000.0),
                    ..good.clone()
                },
                |done| done.lost,
            ),
            (
                Link {
                    twice: 0.5,
                    ..good.clone()
                },
                |done| done.doubled,
            ),
            (
                Link {
                    corrupt: 0.5,
                    ..good.clone()
                },
                |done| done.corrupted,
            ),
            (
                Link {
                    replay: 0.5,
                    ..good.clone()
                },
                |done| done.replayed,
            ),
        ];
        for (link, count) in cases {
            let mut world = world(4, 0.0);
            world.apply(&Trouble::Link {
                from: 0,
                to: 1,
                link: link.clone(),
            });
            world.run_until(200_500.0);
            let done = world.totals().done;
            assert!(count(&done) > 30, "{link:?}: {done:?}");
            assert_eq!(
                notes(&world, 0).heard.len(),
                201,
                "the other way is as it was"
            );
            let heard = 200 + done.doubled + done.replayed - done.lost - done.cut;
            assert!(
                notes(&world, 1).heard.len().abs_diff(heard as usize) <= 1,
                "{link:?}: {done:?}"
            );
        }
    }
}
