//! A `stateright` model of three acceptors and two claimants, which checks every order of events
//! within bounds. It runs the same lease code as the nodes.
//!
//! Time advances in steps. Within a step, messages arrive in the order in which they were sent,
//! unless the model spends one of a limited number of *deviations* on delaying a message for any
//! time, or on duplicating it and delaying the copy for any time. A claimant may or may not be
//! woken in a step, which covers pauses at any time and of any length; when it is woken, it
//! receives the table of one acceptor, which shows the free shards. Any process may restart, a
//! limited number of times. The clocks of acceptors are faster than those of claimants by the
//! maximum that `drift` allows.

use std::fmt;
use std::hash::{Hash, Hasher};

use lease::{
    Action as LeaseAction, Event, FencingToken, InjectedFault, LeaseManager, NodeHealth, Settings,
    Shard,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

use crate::lease_simulation::node_id;

/// Name of the property that must hold in every state.
const EXCLUSIVE_OWNERSHIP: &str = "one owner at a time, under increasing tokens";
/// Name of the property that shows that the search exercises changes of the owner.
const THREE_OWNERS: &str = "three successive owners";

const SHARD: Shard = 0;
const ACCEPTORS: usize = 3;
const NODES: usize = ACCEPTORS + 2;
const LEASE_MS: f64 = 1_000.0;
/// Clock drift, at the maximum that the settings allow.
const DRIFT: f64 = 0.1;
/// Duration of a step, in milliseconds: shorter than a first grant, so that an owner can renew.
const STEP_MS: f64 = LEASE_MS / 5.0;
/// Reading of all clocks in the first step, in milliseconds: after all quarantines.
const START_MS: f64 = 1e6;
/// Kinds of messages that are not sent through the model's network: table requests, tables, and
/// requests and responses for the highest token. Waking a claimant delivers a table directly.
const UNMODELED_KINDS: [u8; 4] = [6, TABLE_KIND, 8, 9];
/// Kind of the message that carries an acceptor's table.
const TABLE_KIND: u8 = 7;

/// The bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether the model begins with an owner that has just requested a renewal. Otherwise no
    /// claimant has been woken yet.
    pub is_owned: bool,
    /// Maximum number of steps, each a fifth of a lease long.
    pub steps: u32,
    /// Maximum number of messages that are held back or duplicated.
    pub deviations: u32,
    /// Maximum number of process restarts.
    pub restarts: u32,
    /// Maximum number of transfers of the shard.
    pub transfers: u32,
    /// Maximum number of messages held back at the same time.
    pub max_held_back: usize,
    /// Fault injected into the lease code.
    pub injected_fault: InjectedFault,
}

/// Depth of a search: maximum numbers of steps, of messages held back or duplicated, of restarts
/// and of transfers.
pub type SearchDepth = [u32; 4];

/// Bounds within which a search detects each injected fault: whether the model begins with an
/// owner, and the depth of the search.
pub const INJECTED_FAULTS: [(InjectedFault, bool, SearchDepth); 6] = [
    (InjectedFault::NoQuarantine, false, [4, 1, 1, 0]),
    (InjectedFault::LeaseFromResponse, true, [5, 2, 0, 0]),
    (InjectedFault::EqualToken, false, [3, 2, 0, 0]),
    (InjectedFault::ForgottenToken, false, [3, 2, 0, 0]),
    (InjectedFault::NoTokenFloor, true, [8, 0, 2, 0]),
    (InjectedFault::StaleRenewal, false, [3, 2, 0, 0]),
];

impl Bounds {
    /// Creates bounds of this depth, with at most two messages held back at the same time.
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

/// An event of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ModelEvent {
    /// The first message in flight arrives.
    Arrive,
    /// The first message in flight is held back.
    HoldBack,
    /// The first message in flight arrives, and a copy is held back.
    Duplicate,
    /// The held-back message at this index arrives.
    Release(usize),
    /// The claimant on this node receives the table of an acceptor, of the next one in each step,
    /// and is woken.
    Wake(usize),
    /// The process on this node ends, and a new one starts.
    Restart(usize),
    /// The owner on this node transfers the shard to the other claimant.
    Transfer(usize),
    /// Time advances.
    Step,
}

/// Numbers of deviations, restarts and transfers that may still happen.
#[derive(Clone, Copy, Debug, Hash)]
struct Budget {
    deviations: u32,
    restarts: u32,
    transfers: u32,
}

/// An effect that a process had as the owner.
#[derive(Clone, Copy, Debug, Hash)]
struct Effect {
    token: FencingToken,
    process_id: u64,
}

/// A violation of the lease guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ModelViolation {
    /// Two processes have a permit at the same time.
    TwoPermits,
    /// An owner's token is not greater than the previous owner's.
    TokenNotIncreasing,
}

impl fmt::Display for ModelViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoPermits => write!(f, "two processes have a permit at the same time"),
            Self::TokenNotIncreasing => write!(
                f,
                "an owner's token is not greater than the previous owner's"
            ),
        }
    }
}

/// The state of all processes and messages.
#[derive(Clone)]
pub struct State {
    step: u32,
    nodes: Vec<LeaseManager>,
    process_ids: Vec<u64>,
    /// Step in which each node's process started.
    started_at_step: Vec<u32>,
    /// Whether each claimant was woken in this step.
    woken: [bool; 2],
    in_flight: Vec<Datagram>,
    held_back: Vec<Datagram>,
    budget: Budget,
    started_processes: u64,
    /// The last effect, as seen by a register that checks tokens.
    last_effect: Effect,
    /// Number of effects that came from another process than the effect before, including the
    /// first.
    owner_changes: u32,
    /// The violation that was found, if any.
    violation: Option<ModelViolation>,
}

impl State {
    fn hash_key(&self, hasher: &mut impl Hasher) {
        (
            self.step,
            &self.process_ids,
            &self.started_at_step,
            self.woken,
            self.budget,
            self.owner_changes,
        )
            .hash(hasher);
        (
            &self.in_flight,
            &self.held_back,
            self.last_effect,
            self.violation,
        )
            .hash(hasher);
        self.nodes.iter().for_each(|node| node.hash_state(hasher));
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.hash_key(hasher);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        let key = |state: &Self| {
            let mut hasher = std::hash::DefaultHasher::new();
            state.hash_key(&mut hasher);
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

/// Local time of a node in a step, in milliseconds. The clocks of acceptors are fast.
fn local_ms(step: u32, node: usize) -> f64 {
    let rate = if node < ACCEPTORS { 1.0 + DRIFT } else { 1.0 };
    START_MS + f64::from(step) * STEP_MS * rate
}

/// Number of steps that lead to the initial state of a model that begins with an owner.
const STEPS_BEFORE_OWNED: u32 = 4;

impl LeaseModel {
    fn state_after(&self, state: State, event: ModelEvent) -> State {
        self.next_state(&state, event)
            .expect("every event has a next state")
    }

    fn deliver_all(&self, mut state: State) -> State {
        while !state.in_flight.is_empty() {
            state = self.state_after(state, ModelEvent::Arrive);
        }
        state
    }

    fn start_process(&self, step: u32, node: usize, process_id: u64) -> LeaseManager {
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
        // The initial processes have been running since long before the model begins.
        let start_ms = if process_id < NODES as u64 {
            0.0
        } else {
            local_ms(step, node)
        };
        LeaseManager::new(start_ms, settings).expect("the model's settings are valid")
    }

    fn handle(state: &mut State, node: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        state.nodes[node].handle(local_ms(state.step, node), event, &mut actions);
        for action in actions {
            let LeaseAction::Send { to, bytes } = action else {
                continue;
            };
            let to = (0..NODES)
                .find(|node| node_id(*node) == to)
                .expect("messages are addressed to nodes of the model");
            if !UNMODELED_KINDS.contains(&bytes[0]) {
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
        Self::handle(state, message.to, event);
    }

    fn wake(state: &mut State, node: usize) {
        state.woken[node - ACCEPTORS] = true;
        // The claimant is the only candidate in its own view: safety must not depend on the view.
        Self::handle(
            state,
            node,
            Event::Candidates(&[node_id(node)], NodeHealth::Healthy),
        );
        Self::handle(state, node, Event::TimerExpired);
    }

    /// Requests an acceptor's table on behalf of a node and delivers it immediately.
    fn deliver_table(state: &mut State, node: usize, acceptor: usize) {
        let now_ms = local_ms(state.step, acceptor);
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

    /// Records an effect of each process that has a permit, and any violation of the guarantees.
    fn record_effects(state: &mut State) {
        let effects: Vec<_> = (0..NODES)
            .filter_map(|node| {
                let permit = state.nodes[node].permit(local_ms(state.step, node), SHARD)?;
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
            let previous = state.last_effect;
            let is_same_process = effect.process_id == previous.process_id;
            if effect.token < previous.token || (effect.token == previous.token && !is_same_process)
            {
                state.violation = Some(ModelViolation::TokenNotIncreasing);
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
        let initial = State {
            step: 0,
            nodes: (0..NODES)
                .map(|node| self.start_process(0, node, node as u64))
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
            return vec![initial];
        }
        let first_events = [
            ModelEvent::Wake(ACCEPTORS),
            ModelEvent::Wake(ACCEPTORS + 1),
            ModelEvent::Step,
            ModelEvent::Wake(ACCEPTORS),
        ];
        let mut state = first_events
            .into_iter()
            .fold(initial, |state, event| self.state_after(state, event));
        for event in [
            ModelEvent::Step,
            ModelEvent::Wake(ACCEPTORS),
            ModelEvent::Step,
            ModelEvent::Step,
            ModelEvent::Wake(ACCEPTORS),
        ] {
            state = self.deliver_all(state);
            state = self.state_after(state, event);
        }
        vec![state]
    }

    fn actions(&self, state: &State, events: &mut Vec<ModelEvent>) {
        if state.violation.is_some() {
            return;
        }
        let Budget {
            deviations,
            restarts,
            transfers,
        } = state.budget;
        if !state.in_flight.is_empty() {
            events.push(ModelEvent::Arrive);
            if deviations > 0 && state.held_back.len() < self.0.max_held_back {
                events.extend([ModelEvent::HoldBack, ModelEvent::Duplicate]);
            }
            return;
        }
        events.extend((0..state.held_back.len()).map(ModelEvent::Release));
        // The claimants are interchangeable until one of them is woken, so in step 0 the first of
        // them is always woken before the other.
        let claimants = if !self.0.is_owned && state.step == 0 && !state.woken[0] {
            1
        } else {
            2
        };
        for node in (ACCEPTORS..NODES).take(claimants) {
            let is_owner = state.nodes[node]
                .permit(local_ms(state.step, node), SHARD)
                .is_some();
            if !state.woken[node - ACCEPTORS] {
                events.push(ModelEvent::Wake(node));
            }
            if is_owner && transfers > 0 {
                events.push(ModelEvent::Transfer(node));
            }
        }
        if restarts > 0 {
            (0..NODES)
                .filter(|node| state.started_at_step[*node] < state.step)
                .for_each(|node| events.push(ModelEvent::Restart(node)));
        }
        let steps_before_model = if self.0.is_owned {
            STEPS_BEFORE_OWNED
        } else {
            0
        };
        if state.step < self.0.steps + steps_before_model {
            events.push(ModelEvent::Step);
        }
    }

    fn next_state(&self, previous: &State, action: ModelEvent) -> Option<State> {
        let mut state = previous.clone();
        match action {
            ModelEvent::Arrive => {
                let message = state.in_flight.remove(0);
                Self::arrive(&mut state, &message);
            }
            ModelEvent::HoldBack | ModelEvent::Duplicate => {
                state.budget.deviations -= 1;
                let message = state.in_flight.remove(0);
                if action == ModelEvent::Duplicate {
                    Self::arrive(&mut state, &message);
                }
                state.held_back.push(message);
                state
                    .held_back
                    .sort_by(|a, b| (a.from, a.to, &a.bytes).cmp(&(b.from, b.to, &b.bytes)));
            }
            ModelEvent::Release(index) => {
                let message = state.held_back.remove(index);
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
                state.nodes[node] = self.start_process(state.step, node, state.started_processes);
            }
            ModelEvent::Transfer(node) => {
                state.budget.transfers -= 1;
                let to = if node == ACCEPTORS {
                    ACCEPTORS + 1
                } else {
                    ACCEPTORS
                };
                Self::handle(
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
                    .for_each(|acceptor| Self::handle(&mut state, acceptor, Event::TimerExpired));
            }
        }
        Self::record_effects(&mut state);
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

/// A violation, and the path of events by which the breadth-first search reached it.
#[derive(Debug)]
pub struct FoundViolation {
    /// The violation.
    pub violation: ModelViolation,
    /// The events that lead to it, in order.
    pub path: Vec<String>,
}

/// Result of a search.
#[derive(Debug)]
pub struct Search {
    /// Number of distinct states visited.
    pub states: usize,
    /// Maximum depth that was explored.
    pub depth: usize,
    /// Whether all states within the bounds were visited.
    pub is_exhaustive: bool,
    /// Whether on some path the shard had three successive owners, so that the guarantee was
    /// exercised.
    pub changed_owners: bool,
    /// The violation that was found, if any.
    pub violation: Option<FoundViolation>,
}

/// Searches the states within the bounds for a violation, breadth first. Stops when about
/// `max_states` states have been generated.
#[must_use]
pub fn search(bounds: Bounds, max_states: usize, threads: usize) -> Search {
    let stop_condition = HasDiscoveries::AnyOf([EXCLUSIVE_OWNERSHIP].into());
    let checker = LeaseModel(bounds)
        .checker()
        .threads(threads)
        .target_state_count(max_states)
        .finish_when(stop_condition)
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
