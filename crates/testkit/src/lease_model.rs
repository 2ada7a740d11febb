//! Three acceptors and two claimants, in every order of events within bounds: a model for
//! `stateright` over the code that nodes run.
//!
//! Time advances in steps. Within one, messages arrive in the order in which they were sent, unless
//! the model spends one of a few *deviations* on holding a message back, for as long as it likes,
//! or on duplicating it and holding the copy back. A claimant may be woken in a step or not, so
//! that it may be stopped at any time and for any time; when it is woken, an acceptor tells it what
//! is free. Any process may end and restart, a few times. The clocks of acceptors are as much
//! faster than those of claimants as `drift` allows.

use std::fmt;
use std::hash::{Hash, Hasher};

use lease::{
    Action as LeaseAction, Event, FencingToken, InjectedFault, LeaseManager, NodeHealth, Settings,
    Shard,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

use crate::lease_simulation::node_id;

/// The property that must always hold.
const EXCLUSIVE_OWNERSHIP: &str = "one owner at a time, under rising tokens";
/// The property that shows that ownership is exercised.
const THREE_OWNERS: &str = "three own one after the other";

const SHARD: Shard = 0;
const ACCEPTORS: usize = 3;
const NODES: usize = ACCEPTORS + 2;
const LEASE_MS: f64 = 1_000.0;
/// The largest drift that the settings allow.
const DRIFT: f64 = 0.1;
/// How far time advances in a step: less than a first grant lasts, so that an owner can renew.
const STEP_MS: f64 = LEASE_MS / 5.0;
/// The time by the clocks when the model begins, in milliseconds: after all quarantines.
const START_MS: f64 = 1e6;
/// Kinds of messages that are delivered only when a claimant is woken, without delay: table
/// requests, tables, and queries and answers of the highest token.
const HINT_KINDS: [u8; 4] = [6, TABLE_KIND, 8, 9];
/// The kind of an acceptor's table.
const TABLE_KIND: u8 = 7;

/// The bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether the model begins with an owner that has just requested a renewal; else no claimant
    /// has been woken.
    pub is_owned: bool,
    /// Steps of a fifth of a lease.
    pub steps: u32,
    /// Messages that are held back or duplicated.
    pub deviations: u32,
    /// Processes that end and restart.
    pub restarts: u32,
    /// Transfers of the shard.
    pub transfers: u32,
    /// Messages that may be held back at a time.
    pub max_held_back: usize,
    /// The injected fault.
    pub injected_fault: InjectedFault,
}

/// How deep a search goes: steps, messages held back or duplicated, restarts, transfers.
pub type SearchDepth = [u32; 4];

/// Bounds within which each injected fault is found: whether the model begins with an owner, and
/// how deep the search goes.
pub const INJECTED_FAULTS: [(InjectedFault, bool, SearchDepth); 6] = [
    (InjectedFault::NoQuarantine, false, [4, 1, 1, 0]),
    (InjectedFault::LeaseFromResponse, true, [5, 2, 0, 0]),
    (InjectedFault::EqualToken, false, [3, 2, 0, 0]),
    (InjectedFault::ForgottenToken, false, [3, 2, 0, 0]),
    (InjectedFault::NoTokenFloor, true, [8, 0, 2, 0]),
    (InjectedFault::StaleRenewal, false, [3, 2, 0, 0]),
];

impl Bounds {
    /// Bounds of this depth, with two messages held back at a time.
    #[must_use]
    pub fn of(
        injected_fault: InjectedFault,
        is_owned: bool,
        [steps, deviations, restarts, transfers]: SearchDepth,
    ) -> Self {
        Self {
            is_owned,
            steps,
            deviations,
            restarts,
            transfers,
            max_held_back: 2,
            injected_fault,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Datagram {
    from: usize,
    process_id: u64,
    to: usize,
    bytes: Vec<u8>,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ModelEvent {
    /// The first message in flight arrives.
    Arrive,
    /// It is held back.
    Hold,
    /// It arrives, and a copy is held back.
    Copy,
    /// A message that was held back arrives.
    Release(usize),
    /// A claimant is sent the table of an acceptor, another one in each step, and woken.
    Wake(usize),
    /// A process ends, and its node restarts.
    Restart(usize),
    /// An owner transfers the shard.
    Transfer(usize),
    /// Time advances.
    Step,
}

/// What the model may still spend.
#[derive(Clone, Copy, Debug, Hash)]
struct Budget {
    deviations: u32,
    restarts: u32,
    transfers: u32,
}

/// What a process did as the owner.
#[derive(Clone, Copy, Debug, Hash)]
struct Effect {
    token: FencingToken,
    process_id: u64,
}

/// A guarantee that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ModelViolation {
    /// Two processes have a permit at one moment.
    TwoPermits,
    /// The token of an owner is not above the one before.
    TokenNotRising,
}

impl fmt::Display for ModelViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoPermits => write!(f, "two processes have a permit at one moment"),
            Self::TokenNotRising => write!(f, "an owner's token is not above the one before"),
        }
    }
}

/// The state of all processes and messages.
#[derive(Clone)]
pub struct State {
    step: u32,
    nodes: Vec<LeaseManager>,
    process_ids: Vec<u64>,
    /// In which step each process started.
    started_at_step: Vec<u32>,
    /// Which claimants were woken in this step.
    woken: [bool; 2],
    in_flight: Vec<Datagram>,
    held_back: Vec<Datagram>,
    budget: Budget,
    started_processes: u64,
    /// The last effect, as a register that checks tokens has seen it.
    last_effect: Effect,
    /// How often the acting process has changed.
    owner_changes: u32,
    /// The guarantee that was broken.
    violation: Option<ModelViolation>,
}

impl State {
    fn key(&self, to: &mut impl Hasher) {
        (
            self.step,
            &self.process_ids,
            &self.started_at_step,
            self.woken,
            self.budget,
            self.owner_changes,
        )
            .hash(to);
        (
            &self.in_flight,
            &self.held_back,
            self.last_effect,
            self.violation,
        )
            .hash(to);
        self.nodes.iter().for_each(|node| node.hash_state(to));
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.key(to);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        let key = |state: &Self| {
            let mut hasher = std::hash::DefaultHasher::new();
            state.key(&mut hasher);
            hasher.finish()
        };
        key(self) == key(other)
    }
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "step {}, {:?}, {:?}",
            self.step, self.last_effect, self.violation
        )
    }
}

/// The model within its bounds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel(pub Bounds);

/// The time by a node's clock: acceptors have fast ones.
fn own_ms(step: u32, node: usize) -> f64 {
    let rate = if node < ACCEPTORS { 1.0 + DRIFT } else { 1.0 };
    START_MS + f64::from(step) * STEP_MS * rate
}

/// After how many steps a model that begins with an owner begins.
const OWNED_AFTER_STEPS: u32 = 4;

impl LeaseModel {
    fn after(&self, state: State, act: ModelEvent) -> State {
        self.next_state(&state, act)
            .expect("every event has a next state")
    }

    fn deliver_all(&self, mut state: State) -> State {
        while !state.in_flight.is_empty() {
            state = self.after(state, ModelEvent::Arrive);
        }
        state
    }

    fn process(&self, step: u32, node: usize, process_id: u64) -> LeaseManager {
        let settings = Settings {
            shards: 1,
            lease_ms: LEASE_MS,
            drift: DRIFT,
            token_floor: FencingToken(u64::from(step) * 1_000),
            injected_fault: self.0.injected_fault,
            ..Settings::new(
                node_id(node),
                process_id,
                (0..ACCEPTORS).map(node_id).collect(),
            )
        };
        // The first processes have been running for long.
        let start = if process_id < NODES as u64 {
            0.0
        } else {
            own_ms(step, node)
        };
        LeaseManager::new(start, settings).expect("valid settings")
    }

    fn act(state: &mut State, node: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        state.nodes[node].handle(own_ms(state.step, node), event, &mut actions);
        for action in actions {
            let LeaseAction::Send { to, bytes } = action else {
                continue;
            };
            let to = (0..NODES)
                .find(|node| node_id(*node) == to)
                .expect("a node");
            if !HINT_KINDS.contains(&bytes[0]) {
                state.in_flight.push(Datagram {
                    from: node,
                    process_id: state.process_ids[node],
                    to,
                    bytes,
                });
            }
        }
    }

    fn arrive(state: &mut State, message: &Datagram) {
        let event = Event::Message {
            from: node_id(message.from),
            process_id: message.process_id,
            bytes: &message.bytes,
        };
        Self::act(state, message.to, event);
    }

    fn wake(state: &mut State, node: usize) {
        state.woken[node - ACCEPTORS] = true;
        // It believes that it is alone: safety may not rest on that.
        Self::act(
            state,
            node,
            Event::Candidates(&[node_id(node)], NodeHealth::Healthy),
        );
        Self::act(state, node, Event::TimerExpired);
    }

    /// Requests an acceptor's table, and delivers it at once.
    fn deliver_table(state: &mut State, node: usize, acceptor: usize) {
        let now_ms = own_ms(state.step, acceptor);
        let request = state.nodes[node].encode_table_request();
        let mut actions = Vec::new();
        let event = Event::Message {
            from: node_id(node),
            process_id: state.process_ids[node],
            bytes: &request,
        };
        state.nodes[acceptor].handle(now_ms, event, &mut actions);
        for action in actions {
            let LeaseAction::Send { bytes, .. } = action else {
                continue;
            };
            if bytes[0] == TABLE_KIND {
                let message = Datagram {
                    from: acceptor,
                    process_id: state.process_ids[acceptor],
                    to: node,
                    bytes,
                };
                Self::arrive(state, &message);
            }
        }
    }

    /// Lets each process with a permit act, and records what must not happen.
    fn check(state: &mut State) {
        let effects: Vec<_> = (0..NODES)
            .filter_map(|node| {
                let permit = state.nodes[node].permit(own_ms(state.step, node), SHARD)?;
                Some(Effect {
                    token: permit.token(),
                    process_id: state.process_ids[node],
                })
            })
            .collect();
        if effects.len() > 1 {
            state.violation = Some(ModelViolation::TwoPermits);
        }
        for effect in effects {
            let last = state.last_effect;
            let is_same_process = effect.process_id == last.process_id;
            if effect.token < last.token || (effect.token == last.token && !is_same_process) {
                state.violation = Some(ModelViolation::TokenNotRising);
            }
            if !is_same_process {
                state.owner_changes += 1;
            }
            state.last_effect = effect;
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = ModelEvent;

    fn init_states(&self) -> Vec<State> {
        let process_ids: Vec<_> = (0..NODES as u64).collect();
        let first = State {
            step: 0,
            nodes: (0..NODES)
                .map(|node| self.process(0, node, node as u64))
                .collect(),
            process_ids,
            started_at_step: vec![0; NODES],
            woken: [false; 2],
            in_flight: Vec::new(),
            held_back: Vec::new(),
            budget: Budget {
                deviations: self.0.deviations,
                restarts: self.0.restarts,
                transfers: self.0.transfers,
            },
            started_processes: NODES as u64,
            last_effect: Effect {
                token: FencingToken(0),
                process_id: u64::MAX,
            },
            owner_changes: 0,
            violation: None,
        };
        if !self.0.is_owned {
            return vec![first];
        }
        let wakes = [
            ModelEvent::Wake(ACCEPTORS),
            ModelEvent::Wake(ACCEPTORS + 1),
            ModelEvent::Step,
            ModelEvent::Wake(ACCEPTORS),
        ];
        let mut state = wakes
            .into_iter()
            .fold(first, |state, act| self.after(state, act));
        for act in [
            ModelEvent::Step,
            ModelEvent::Wake(ACCEPTORS),
            ModelEvent::Step,
            ModelEvent::Step,
            ModelEvent::Wake(ACCEPTORS),
        ] {
            state = self.deliver_all(state);
            state = self.after(state, act);
        }
        vec![state]
    }

    fn actions(&self, state: &State, to: &mut Vec<ModelEvent>) {
        if state.violation.is_some() {
            return;
        }
        let Budget {
            deviations,
            restarts,
            transfers,
        } = state.budget;
        if !state.in_flight.is_empty() {
            to.push(ModelEvent::Arrive);
            if deviations > 0 && state.held_back.len() < self.0.max_held_back {
                to.extend([ModelEvent::Hold, ModelEvent::Copy]);
            }
            return;
        }
        to.extend((0..state.held_back.len()).map(ModelEvent::Release));
        // The claimants are alike, so the first one that is ever woken may be the first of them.
        let claimants = if !self.0.is_owned && state.step == 0 && !state.woken[0] {
            1
        } else {
            2
        };
        for node in (ACCEPTORS..NODES).take(claimants) {
            let is_owner = state.nodes[node]
                .permit(own_ms(state.step, node), SHARD)
                .is_some();
            if !state.woken[node - ACCEPTORS] {
                to.push(ModelEvent::Wake(node));
            }
            if is_owner && transfers > 0 {
                to.push(ModelEvent::Transfer(node));
            }
        }
        if restarts > 0 {
            (0..NODES)
                .filter(|node| state.started_at_step[*node] < state.step)
                .for_each(|node| to.push(ModelEvent::Restart(node)));
        }
        let steps_before = if self.0.is_owned {
            OWNED_AFTER_STEPS
        } else {
            0
        };
        if state.step < self.0.steps + steps_before {
            to.push(ModelEvent::Step);
        }
    }

    fn next_state(&self, last: &State, action: ModelEvent) -> Option<State> {
        let mut state = last.clone();
        match action {
            ModelEvent::Arrive => {
                let message = state.in_flight.remove(0);
                Self::arrive(&mut state, &message);
            }
            ModelEvent::Hold | ModelEvent::Copy => {
                state.budget.deviations -= 1;
                let message = state.in_flight.remove(0);
                if action == ModelEvent::Copy {
                    Self::arrive(&mut state, &message);
                }
                state.held_back.push(message);
                state
                    .held_back
                    .sort_by(|a, b| (a.from, a.to, &a.bytes).cmp(&(b.from, b.to, &b.bytes)));
            }
            ModelEvent::Release(at) => {
                let message = state.held_back.remove(at);
                Self::arrive(&mut state, &message);
            }
            ModelEvent::Wake(node) => {
                let acceptor = state.step as usize % ACCEPTORS;
                Self::deliver_table(&mut state, node, acceptor);
                Self::wake(&mut state, node);
            }
            ModelEvent::Restart(node) => {
                state.budget.restarts -= 1;
                state.started_processes += 1;
                state.process_ids[node] = state.started_processes;
                state.started_at_step[node] = state.step;
                state.nodes[node] = self.process(state.step, node, state.started_processes);
            }
            ModelEvent::Transfer(node) => {
                state.budget.transfers -= 1;
                let to = if node == ACCEPTORS {
                    ACCEPTORS + 1
                } else {
                    ACCEPTORS
                };
                Self::act(
                    &mut state,
                    node,
                    Event::TransferShard {
                        shard: SHARD,
                        to: node_id(to),
                    },
                );
            }
            ModelEvent::Step => {
                state.step += 1;
                state.woken = [false; 2];
                (0..ACCEPTORS)
                    .for_each(|acceptor| Self::act(&mut state, acceptor, Event::TimerExpired));
            }
        }
        Self::check(&mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(EXCLUSIVE_OWNERSHIP, |_, state: &State| {
                state.violation.is_none()
            }),
            Property::sometimes(THREE_OWNERS, |_, state: &State| state.owner_changes >= 3),
        ]
    }
}

/// A broken guarantee, and the shortest path to it.
#[derive(Debug)]
pub struct FoundViolation {
    /// What was broken.
    pub violation: ModelViolation,
    /// The events that lead there.
    pub path: Vec<String>,
}

/// What a search came to.
#[derive(Debug)]
pub struct Search {
    /// Different states.
    pub states: usize,
    /// The longest path.
    pub depth: usize,
    /// Whether all states within the bounds were visited.
    pub is_exhaustive: bool,
    /// Whether three processes owned the shard one after another, so that the guarantee was
    /// exercised.
    pub changed_owners: bool,
    /// The guarantee that was broken.
    pub violation: Option<FoundViolation>,
}

/// Searches for a broken guarantee, in so many states at most.
#[must_use]
pub fn search(bounds: Bounds, max_states: usize, threads: usize) -> Search {
    let until = HasDiscoveries::AnyOf([EXCLUSIVE_OWNERSHIP].into());
    let checker = LeaseModel(bounds)
        .checker()
        .threads(threads)
        .target_state_count(max_states)
        .finish_when(until)
        .spawn_bfs()
        .join();
    let violation = checker.discovery(EXCLUSIVE_OWNERSHIP).and_then(|path| {
        Some(FoundViolation {
            violation: path.last_state().violation?,
            path: path
                .into_actions()
                .iter()
                .map(|event| format!("{event:?}"))
                .collect(),
        })
    });
    Search {
        states: checker.unique_state_count(),
        depth: checker.max_depth(),
        is_exhaustive: checker.state_count() < max_states && violation.is_none(),
        changed_owners: checker.discovery(THREE_OWNERS).is_some(),
        violation,
    }
}
