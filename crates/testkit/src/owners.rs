//! Owners, keepers and clocks in virtual time, and a judge that knows when who had leave to act and nothing else.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use lease::{
    Action, ConfigurationRequest, ConfigurationState, Event, FencingToken, InjectedFault,
    LeaseManager, LogEvent, NodeHealth, NodeId, OwnershipChange, ReconfigurationError,
    ReconfigurationOutcome, Settings, Shard,
};
use simulation::{draw, Bounds, Clock, Outbox, Process, Trouble, World};

/// How many shards there are.
pub const SHARDS: Shard = 4;
/// How long a lease is, in milliseconds.
pub const LEASE: f64 = 2_500.0;
/// Within this a shard has an owner again, where a majority of keepers hear each other.
pub const AGAIN: f64 = 5_000.0;

/// The number of a node.
#[must_use]
pub fn id(node: usize) -> NodeId {
    NodeId((node as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Takes an effect with a number that is as high as the highest, as a resource with fences does.
#[derive(Default)]
struct Register {
    highest: BTreeMap<Shard, (FencingToken, u64)>,
    taken: u64,
    refused: u64,
    wrong: Vec<String>,
}

impl Register {
    fn act(&mut self, shard: Shard, fence: FencingToken, process: u64) {
        let (highest, by) = self.highest.get(&shard).copied().unwrap_or_default();
        if fence < highest {
            self.refused += 1;
            return;
        }
        if fence == highest && by != process {
            self.wrong
                .push(format!("shard {shard}: two processes act as {fence}"));
        }
        self.taken += 1;
        self.highest.insert(shard, (fence, process));
    }
}

/// What all nodes write to.
#[derive(Default)]
struct Log {
    won: Vec<(Shard, FencingToken, u64)>,
    changes: u64,
    register: Register,
    /// What each process has taken of others' effects, by shard.
    heard: BTreeMap<(u64, Shard), FencingToken>,
    /// Whether nobody acts.
    is_quiet: bool,
    effects: u64,
    /// The configurations that were reported as settled.
    settled: Vec<u32>,
    /// Effects that are on their way.
    late: Vec<(f64, Shard, FencingToken, u64)>,
}

/// A node.
pub struct Node {
    leases: LeaseManager,
    process: u64,
    clock: Clock,
    shards: Shard,
    log: Rc<RefCell<Log>>,
    ids: Vec<NodeId>,
    candidates: Option<Vec<NodeId>>,
    disk: Rc<Cell<FencingToken>>,
    rng: fastrand::Rng,
}

/// What the operators' file of a node says of keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// The number of the set.
    pub set: u32,
    /// Who keeps.
    pub keepers: Vec<usize>,
    /// Who kept before, where that is named.
    pub before: Vec<usize>,
}

impl File {
    /// The next set, after this one.
    #[must_use]
    pub fn next(&self, keepers: &[usize]) -> Self {
        Self {
            set: self.set + 1,
            keepers: keepers.to_vec(),
            before: self.keepers.clone(),
        }
    }
}

fn ids(nodes: &[usize]) -> Vec<NodeId> {
    nodes.iter().copied().map(id).collect()
}

fn sum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(7, |all: u64, byte| {
        (all ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Node {
    /// Something happens to it.
    ///
    /// # Panics
    ///
    /// A word is too long, or for nobody.
    pub fn act(&mut self, own_ms: f64, event: Event<'_>, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.leases.handle(own_ms, event, &mut actions);
        let world_ms = (own_ms - self.clock.offset_ms) / (1.0 + self.clock.drift);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    assert!(
                        bytes.len() <= lease::MAX_MESSAGE_BYTES,
                        "a word is too long"
                    );
                    let mut sealed = self.process.to_le_bytes().to_vec();
                    sealed.extend_from_slice(&bytes);
                    sealed.extend_from_slice(&sum(&sealed).to_le_bytes());
                    let to = self.ids.iter().position(|id| *id == to).expect("a node");
                    out.send(to, sealed);
                }
                Action::WakeAt(at) => out.wake_at(at),
                Action::OwnershipChanged {
                    shard,
                    token,
                    change,
                } => {
                    let mut log = self.log.borrow_mut();
                    log.changes += 1;
                    if change == OwnershipChange::Acquired {
                        log.won.push((shard, token, self.process));
                    }
                }
                Action::Log(LogEvent::ConfigurationSettled(number)) => {
                    self.log.borrow_mut().settled.push(number);
                }
                Action::Log(_) => {}
                Action::ReserveTokens(token) => {
                    // The disk is written to at once, and the file outlives the process.
                    self.disk.set(self.disk.get().max(token));
                    self.act(own_ms, Event::TokensReserved(token), out);
                }
                Action::Effect { shard, token, .. } => {
                    let mut log = self.log.borrow_mut();
                    log.effects += 1;
                    let before = log.heard.insert((self.process, shard), token);
                    if before.is_some_and(|before| before > token) {
                        log.register.wrong.push(format!(
                            "shard {shard}: {token} is accepted after a later one"
                        ));
                    }
                }
            }
        }
        if !self.log.borrow().is_quiet {
            self.act_for_all(own_ms, world_ms, out);
        }
    }

    /// Does what it has leave to do.
    fn act_for_all(&mut self, own_ms: f64, world_ms: f64, out: &mut Outbox) {
        let mut tells = Vec::new();
        for shard in 0..self.shards {
            if let Some(permit) = self.leases.permit(own_ms, shard) {
                let mut log = self.log.borrow_mut();
                log.register.act(shard, permit.token(), self.process);
                let late = world_ms + self.rng.f64() * 5_000.0;
                if self.rng.u32(..20) == 0 {
                    log.late.push((late, shard, permit.token(), self.process));
                    tells.push(shard);
                }
            }
        }
        for shard in tells {
            self.act(
                own_ms,
                Event::PublishEffect {
                    shard,
                    payload: b"done",
                },
                out,
            );
        }
    }
}

impl Process for Node {
    fn wake(&mut self, own_ms: f64, out: &mut Outbox) {
        match self.candidates.take() {
            Some(candidates) => {
                self.act(
                    own_ms,
                    Event::Candidates(&candidates, NodeHealth::Healthy),
                    out,
                );
            }
            None => self.act(own_ms, Event::TimerExpired, out),
        }
    }

    fn receive(&mut self, own_ms: f64, from: usize, bytes: &[u8], out: &mut Outbox) {
        let Some((said, seal)) = bytes.split_last_chunk::<8>() else {
            return;
        };
        let Some((process, word)) = said.split_first_chunk::<8>() else {
            return;
        };
        if sum(said).to_le_bytes() != *seal {
            return; // What the seal of a datagram finds.
        }
        let process = u64::from_le_bytes(*process);
        let from = self.ids[from];
        self.act(
            own_ms,
            Event::Message {
                from,
                process_id: process,
                bytes: word,
            },
            out,
        );
    }
}

/// Nodes, and who of them has leave to act.
pub struct Fleet {
    /// Where they run.
    pub world: World<Node>,
    seed: u64,
    /// How many shards there are, before the first is started.
    pub shards: Shard,
    /// What the operators' file of each says now, read at its start or by [`Fleet::reload`].
    pub files: Vec<File>,
    /// Whether keepers have a disk, and what each has written there.
    pub with_disks: bool,
    disks: Vec<Rc<Cell<FencingToken>>>,
    /// How much the machines' wall clocks are set back from here on, in milliseconds.
    pub wall_back_ms: u64,
    /// Their clocks.
    pub clocks: Vec<Clock>,
    injected_fault: InjectedFault,
    log: Rc<RefCell<Log>>,
    lives: u64,
    /// By shard: its owner.
    pub owner: Vec<Option<usize>>,
    /// For how long nobody has owned it, in all.
    pub without_ms: f64,
    overlaps: Vec<String>,
    checked: usize,
}

impl Fleet {
    /// So many nodes, the first of which keep; none is started.
    #[must_use]
    pub fn new(seed: u64, nodes: usize, keepers: usize, injected_fault: InjectedFault) -> Self {
        // Both ends of what clocks may differ.
        let clock = |node: usize| Clock {
            offset_ms: 1e6 + node as f64 * 7e6,
            drift: [0.0, 0.0099, 0.003][(node + seed as usize) % 3],
        };
        Self {
            world: World::new(seed, nodes),
            seed,
            shards: SHARDS,
            files: vec![
                File {
                    set: 1,
                    keepers: (0..keepers).collect(),
                    before: Vec::new()
                };
                nodes
            ],
            with_disks: false,
            disks: (0..nodes).map(|_| Rc::default()).collect(),
            wall_back_ms: 0,
            clocks: (0..nodes).map(clock).collect(),
            injected_fault,
            log: Rc::default(),
            lives: 0,
            owner: vec![None; usize::from(SHARDS)],
            without_ms: 0.0,
            overlaps: Vec::new(),
            checked: 0,
        }
    }

    /// The same with so many shards.
    #[must_use]
    pub fn with_shards(mut self, shards: Shard) -> Self {
        self.shards = shards;
        self.owner = vec![None; usize::from(shards)];
        self
    }

    /// Nobody acts from here on, so that what is said is about leases alone.
    pub fn be_quiet(&mut self) {
        self.log.borrow_mut().is_quiet = true;
    }

    /// The same, started, and all owned.
    #[must_use]
    pub fn started(seed: u64, nodes: usize, keepers: usize, injected_fault: InjectedFault) -> Self {
        let mut fleet = Self::new(seed, nodes, keepers, injected_fault);
        (0..nodes).for_each(|node| fleet.start(node));
        fleet.run(LEASE + AGAIN);
        fleet
    }

    /// Starts a process, where none runs.
    pub fn start(&mut self, node: usize) {
        if self.world.process(node).is_some() {
            return;
        }
        self.lives += 1;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (self.lives << 20));
        self.world.set_clock(node, self.clocks[node]);
        let all: Vec<_> = (0..self.clocks.len()).map(id).collect();
        let process = rng.u64(1..);
        let File {
            set,
            keepers,
            before,
        } = &self.files[node];
        let unix_ms = (self.world.now_ms() as u64 + 1_000).saturating_sub(self.wall_back_ms);
        let disk = Rc::clone(&self.disks[node]);
        let settings = Settings {
            configuration: *set,
            previous_acceptors: ids(before),
            shards: self.shards,
            lease_ms: LEASE,
            injected_fault: self.injected_fault,
            token_floor: FencingToken::floor(unix_ms),
            reserved_token: self.with_disks.then_some(disk.get()),
            ..Settings::new(id(node), process, ids(keepers))
        };
        let leases = LeaseManager::new(self.world.own_ms(node), settings).expect("sound");
        let candidates = Some(all.clone());
        let (clock, log) = (self.clocks[node], Rc::clone(&self.log));
        let shards = self.shards;
        self.world.start(
            node,
            Node {
                shards,
                leases,
                process,
                clock,
                log,
                ids: all,
                candidates,
                disk,
                rng,
            },
        );
    }

    /// A node reads its file again, if it is up.
    ///
    /// # Errors
    ///
    /// It goes on with the keepers that it has.
    pub fn reload(&mut self, node: usize) -> Result<ReconfigurationOutcome, ReconfigurationError> {
        let File {
            set,
            keepers,
            before,
        } = self.files[node].clone();
        let mut outcome = Ok(ReconfigurationOutcome::Unchanged);
        self.world.with(node, |node, now, _| {
            outcome = node.leases.reconfigure(
                now,
                ConfigurationRequest {
                    number: set,
                    acceptors: &ids(&keepers),
                    previous_acceptors: &ids(&before),
                },
            );
        });
        outcome
    }

    /// The configuration of acceptors that a node has.
    #[must_use]
    pub fn configuration(&self, node: usize) -> Option<ConfigurationState> {
        self.world
            .process(node)
            .map(|node| node.leases.configuration())
    }

    /// Effects of owners that were dropped as a later owner's was heard.
    #[must_use]
    pub fn stale(&self) -> u64 {
        let stale = |node| {
            self.world
                .process(node)
                .map_or(0, |node| node.leases.metrics().stale_effects)
        };
        (0..self.clocks.len()).map(stale).sum()
    }

    /// The highest fence under which a shard was won.
    #[must_use]
    pub fn highest(&self) -> FencingToken {
        self.log
            .borrow()
            .won
            .iter()
            .map(|(_, fence, _)| *fence)
            .max()
            .unwrap_or_default()
    }

    /// Effects of owners that others were told of and took.
    #[must_use]
    pub fn effects(&self) -> u64 {
        self.log.borrow().effects
    }

    /// Kills one.
    pub fn kill(&mut self, node: usize) {
        self.world.kill(node);
    }

    fn owners(&self, shard: Shard) -> Vec<usize> {
        let owns = |node: &usize| {
            let process = self.world.process(*node);
            process.is_some_and(|process| {
                process
                    .leases
                    .permit(self.world.own_ms(*node), shard)
                    .is_some()
            })
        };
        (0..self.clocks.len()).filter(owns).collect()
    }

    /// Goes on, and looks every few milliseconds who may act: one that stands still, too, as it would when it wakes.
    pub fn run(&mut self, ms: f64) {
        let until = self.world.now_ms() + ms;
        while self.world.now_ms() < until {
            let before = self.world.now_ms();
            let now = (before + 7.0).min(until);
            self.world.run_until(now);
            for shard in 0..self.shards {
                let owners = self.owners(shard);
                if owners.len() > 1 {
                    self.overlaps.push(format!(
                        "seed {}: shard {shard} at {now:.0}: {owners:?}",
                        self.seed
                    ));
                }
                let at = usize::from(shard);
                self.owner[at] = owners.first().copied();
                self.without_ms += if owners.is_empty() { now - before } else { 0.0 };
            }
            let mut log = self.log.borrow_mut();
            let (due, late) = std::mem::take(&mut log.late)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            log.late = late;
            let due: Vec<_> = due;
            due.into_iter()
                .for_each(|(_, shard, fence, process)| log.register.act(shard, fence, process));
        }
    }

    /// Goes on until each shard has an owner; tells how long that took.
    ///
    /// # Errors
    ///
    /// It takes longer.
    pub fn owned_within(&mut self, ms: f64) -> Result<f64, String> {
        let start = self.world.now_ms();
        while self.owner.iter().any(Option::is_none) {
            self.run(10.0);
            if self.world.now_ms() - start > ms {
                return Err(format!(
                    "seed {}: owners {:?} after {ms} ms",
                    self.seed, self.owner
                ));
            }
        }
        Ok(self.world.now_ms() - start)
    }

    /// Whether it was never broken that there is one owner at a time, and that fences rise.
    ///
    /// # Errors
    ///
    /// How it was broken.
    pub fn judge(&mut self) -> Result<(), String> {
        if let Some(first) = self.overlaps.first() {
            return Err(format!("{first}, and {} more", self.overlaps.len() - 1));
        }
        let log = self.log.borrow();
        if let Some(wrong) = log.register.wrong.first() {
            return Err(format!("seed {}: {wrong}", self.seed));
        }
        let mut highest = BTreeMap::new();
        for (shard, fence, process) in &log.won {
            if highest
                .insert(*shard, *fence)
                .is_some_and(|before| before >= *fence)
            {
                return Err(format!(
                    "seed {}: shard {shard} won as {fence} by {process} again",
                    self.seed
                ));
            }
        }
        self.checked = log.won.len();
        Ok(())
    }

    /// Does what a trouble says.
    pub fn apply(&mut self, trouble: &Trouble) {
        match trouble {
            Trouble::Start { node } => self.start(*node),
            Trouble::Kill { node } => self.kill(*node),
            other => self.world.apply(other),
        }
    }
}

/// The troubles of a seed.
#[must_use]
pub fn bounds(seed: u64) -> Bounds {
    Bounds {
        // One in sixteen is large.
        nodes: if seed % 16 == 7 {
            15 + seed as usize / 16 % 16
        } else {
            5 + seed as usize % 4
        },
        from_ms: 0.0,
        until_ms: 40_000.0,
        troubles: 3 + seed as usize % 9,
        pause_ms: 12_000.0,
        loss: 0.4,
    }
}

/// The keepers with one of them replaced.
fn another(rng: &mut fastrand::Rng, keepers: &[usize], nodes: usize) -> Vec<usize> {
    let mut next = keepers.to_vec();
    let others: Vec<_> = (0..nodes).filter(|node| !keepers.contains(node)).collect();
    if let Some(other) = rng.choice(others) {
        let at = rng.usize(..next.len());
        next[at] = other;
    }
    next
}

/// Plays the troubles of a seed: how often a shard was won, and how many effects were refused.
///
/// # Errors
///
/// What was wrong.
pub fn trial(seed: u64, injected_fault: InjectedFault) -> Result<(usize, u64), String> {
    let bounds = bounds(seed);
    let keepers = if seed % 2 == 0 { 3 } else { 5 };
    let mut fleet = Fleet::started(seed, bounds.nodes, keepers, injected_fault);
    let start = fleet.world.now_ms();
    let mut rng = fastrand::Rng::with_seed(!seed);
    // In one of three the keepers are replaced in the midst, node after node in any order.
    let mut turns: Vec<usize> = if seed % 3 == 2 {
        (0..bounds.nodes).collect()
    } else {
        Vec::new()
    };
    rng.shuffle(&mut turns);
    let next = fleet.files[0].next(&another(&mut rng, &fleet.files[0].keepers, bounds.nodes));
    for (at, trouble) in &draw(seed, bounds).0 {
        fleet.run((start + at - fleet.world.now_ms()).max(0.0));
        fleet.apply(trouble);
        for _ in 0..rng.usize(..3) {
            let Some(node) = turns.pop() else { break };
            fleet.files[node] = next.clone();
            fleet
                .reload(node)
                .map_err(|error| format!("seed {seed}: n{node}: {error}"))?;
        }
    }
    // Those that stand still yet come back.
    fleet.run(bounds.pause_ms + LEASE);
    if seed % 3 == 2 {
        for node in 0..bounds.nodes {
            fleet.files[node] = next.clone();
            fleet
                .reload(node)
                .map_err(|error| format!("seed {seed}: n{node}: {error}"))?;
        }
        fleet.run(LEASE);
    }
    let owned = fleet.owned_within(AGAIN);
    fleet.judge()?;
    owned?;
    let refused = fleet.log.borrow().register.refused;
    Ok((fleet.checked, refused))
}
