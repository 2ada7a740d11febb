//! Keepers and two that ask, in every order of events within bounds: a model for `stateright` over the code that the node runs.
//!
//! Time goes on in steps. Within one, words arrive in the order in which they were said, unless the model spends one of a few
//! *deviations* on holding a word back, for as long as it likes, or on letting a copy of it arrive later. Whoever asks may be
//! woken in a step or not, so that each may stand still at any time and for any time; a keeper tells it then what is free. Any process may end and start anew, a few times. Keepers' clocks are as fast as may be against those that ask.

use std::fmt;
use std::hash::{Hash, Hasher};

use lease::{
    Action as Said, Event, FencingToken, InjectedFault, LeaseManager, NodeHealth, Settings, Shard,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

use crate::owners::id;

const SHARD: Shard = 0;
const KEEPERS: usize = 3;
const NODES: usize = KEEPERS + 2;
const LEASE_MS: f64 = 1_000.0;
/// Two clocks differ by as much as may be.
const DRIFT: f64 = 0.1;
/// By how much time goes on in a step: less than a first grant lasts, so that who owns can renew.
const STEP_MS: f64 = LEASE_MS / 5.0;
/// When it begins by the clocks, in milliseconds: after all quarantine.
const BEGIN_MS: f64 = 1e6;
/// Which kinds of words are told at once, and as one is woken: who has what, and what the highest number is.
const HINTS: [u8; 4] = [6, TABLE, 8, 9];
/// How things stand with a keeper.
const TABLE: u8 = 7;

/// How far it goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether one of the two owns, and has just asked for a renewal, as it begins; else nobody has been woken yet.
    pub is_owned: bool,
    /// Steps of a fifth of a lease.
    pub steps: u32,
    /// Words that are held back or doubled.
    pub deviations: u32,
    /// Processes that end and start anew.
    pub restarts: u32,
    /// Shards that are given away.
    pub gifts: u32,
    /// Words that may be held back at a time.
    pub most_held: usize,
    /// The mistake that is made.
    pub injected_fault: InjectedFault,
}

/// How far a search goes: steps, words held back or doubled, restarts, gifts.
pub type Reach = [u32; 4];

/// Bounds within which each mistake is found: whether it begins with an owner, and how far it goes.
pub const MISTAKES: [(InjectedFault, bool, Reach); 6] = [
    (InjectedFault::NoQuarantine, false, [4, 1, 1, 0]),
    (InjectedFault::LeaseFromResponse, true, [5, 2, 0, 0]),
    (InjectedFault::EqualToken, false, [3, 2, 0, 0]),
    (InjectedFault::ForgottenToken, false, [3, 2, 0, 0]),
    (InjectedFault::NoTokenFloor, true, [8, 0, 2, 0]),
    (InjectedFault::StaleRenewal, false, [3, 2, 0, 0]),
];

impl Bounds {
    /// So far, with two words held back at a time.
    #[must_use]
    pub fn of(
        injected_fault: InjectedFault,
        is_owned: bool,
        [steps, deviations, restarts, gifts]: Reach,
    ) -> Self {
        Self {
            is_owned,
            steps,
            deviations,
            restarts,
            gifts,
            most_held: 2,
            injected_fault,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Word {
    from: usize,
    process: u64,
    to: usize,
    bytes: Vec<u8>,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Do {
    /// The first word that is on its way arrives.
    Arrive,
    /// It is held back.
    Hold,
    /// It arrives, and a copy is held back.
    Copy,
    /// A word that was held back arrives.
    Release(usize),
    /// One that asks is told by a keeper how things stand, another one in each step, and woken.
    Wake(usize),
    /// A process ends, and another starts in its place.
    Restart(usize),
    /// One that owns gives it away.
    Give(usize),
    /// Time goes on.
    Step,
}

/// All that is there at a moment.
#[derive(Clone)]
pub struct State {
    step: u32,
    nodes: Vec<LeaseManager>,
    processes: Vec<u64>,
    began: Vec<u32>,
    /// Who has been woken in this step.
    woken: [bool; 2],
    queue: Vec<Word>,
    held: Vec<Word>,
    left: [u32; 3],
    lives: u64,
    /// Under which number somebody acted last, and which process: what a register with fences has seen.
    acted: (FencingToken, u64),
    /// How many have acted after another.
    owners: u32,
    /// What must not be.
    broken: Option<&'static str>,
}

impl State {
    fn key(&self, to: &mut impl Hasher) {
        (
            self.step,
            &self.processes,
            &self.began,
            self.woken,
            self.left,
            self.owners,
        )
            .hash(to);
        (&self.queue, &self.held, self.acted, self.broken).hash(to);
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
            "step {}, acted {:?}, {:?}",
            self.step, self.acted, self.broken
        )
    }
}

/// The model within its bounds.
#[derive(Clone, Copy, Debug)]
pub struct Keeping(pub Bounds);

/// By whose clock the time passes: keepers' are fast.
fn own_ms(step: u32, node: usize) -> f64 {
    let rate = if node < KEEPERS { 1.0 + DRIFT } else { 1.0 };
    BEGIN_MS + f64::from(step) * STEP_MS * rate
}

/// In which step it asks for that.
const OWNED_AT: u32 = 4;

impl Keeping {
    fn after(&self, state: State, act: Do) -> State {
        self.next_state(&state, act).expect("it may happen")
    }

    fn all_arrive(&self, mut state: State) -> State {
        while !state.queue.is_empty() {
            state = self.after(state, Do::Arrive);
        }
        state
    }

    fn process(&self, step: u32, node: usize, life: u64) -> LeaseManager {
        let settings = Settings {
            shards: 1,
            lease_ms: LEASE_MS,
            drift: DRIFT,
            token_floor: FencingToken(u64::from(step) * 1_000),
            injected_fault: self.0.injected_fault,
            ..Settings::new(id(node), life, (0..KEEPERS).map(id).collect())
        };
        // What runs at the beginning has waited for long.
        let start = if life < NODES as u64 {
            0.0
        } else {
            own_ms(step, node)
        };
        LeaseManager::new(start, settings).expect("sound")
    }

    fn act(state: &mut State, node: usize, event: Event<'_>) {
        let mut said = Vec::new();
        state.nodes[node].handle(own_ms(state.step, node), event, &mut said);
        for said in said {
            let Said::Send { to, bytes } = said else {
                continue;
            };
            let to = (0..NODES).find(|node| id(*node) == to).expect("a node");
            if !HINTS.contains(&bytes[0]) {
                state.queue.push(Word {
                    from: node,
                    process: state.processes[node],
                    to,
                    bytes,
                });
            }
        }
    }

    fn arrive(state: &mut State, word: &Word) {
        let event = Event::Message {
            from: id(word.from),
            process_id: word.process,
            bytes: &word.bytes,
        };
        Self::act(state, word.to, event);
    }

    fn wake(state: &mut State, node: usize) {
        state.woken[node - KEEPERS] = true;
        // It believes that it is alone: nothing may rest on that.
        Self::act(
            state,
            node,
            Event::Candidates(&[id(node)], NodeHealth::Healthy),
        );
        Self::act(state, node, Event::TimerExpired);
    }

    /// Asks a keeper how things stand, and has its answer at once.
    fn look(state: &mut State, node: usize, keeper: usize) {
        let now = own_ms(state.step, keeper);
        let ask = state.nodes[node].encode_table_request();
        let mut said = Vec::new();
        let asked = Event::Message {
            from: id(node),
            process_id: state.processes[node],
            bytes: &ask,
        };
        state.nodes[keeper].handle(now, asked, &mut said);
        for said in said {
            let Said::Send { bytes, .. } = said else {
                continue;
            };
            if bytes[0] == TABLE {
                let word = Word {
                    from: keeper,
                    process: state.processes[keeper],
                    to: node,
                    bytes,
                };
                Self::arrive(state, &word);
            }
        }
    }

    /// Whoever has leave acts; whatever must not be is noted.
    fn judge(state: &mut State) {
        let acts = (0..NODES).filter_map(|node| {
            let permit = state.nodes[node].permit(own_ms(state.step, node), SHARD)?;
            Some((permit.token(), state.processes[node]))
        });
        let acts: Vec<_> = acts.collect();
        if acts.len() > 1 {
            state.broken = Some("two have leave at one moment");
        }
        for (fence, process) in acts {
            let (highest, by) = state.acted;
            if fence < highest || (fence == highest && by != process) {
                state.broken = Some("an owner's number is not above the one before");
            }
            if by != process {
                state.owners += 1;
            }
            state.acted = (fence, process);
        }
    }
}

impl Model for Keeping {
    type State = State;
    type Action = Do;

    fn init_states(&self) -> Vec<State> {
        let processes: Vec<_> = (0..NODES as u64).collect();
        let first = State {
            step: 0,
            nodes: (0..NODES)
                .map(|node| self.process(0, node, node as u64))
                .collect(),
            processes,
            began: vec![0; NODES],
            woken: [false; 2],
            queue: Vec::new(),
            held: Vec::new(),
            left: [self.0.deviations, self.0.restarts, self.0.gifts],
            lives: NODES as u64,
            acted: (FencingToken(0), u64::MAX),
            owners: 0,
            broken: None,
        };
        if !self.0.is_owned {
            return vec![first];
        }
        let wakes = [
            Do::Wake(KEEPERS),
            Do::Wake(KEEPERS + 1),
            Do::Step,
            Do::Wake(KEEPERS),
        ];
        let mut state = wakes
            .into_iter()
            .fold(first, |state, act| self.after(state, act));
        for act in [
            Do::Step,
            Do::Wake(KEEPERS),
            Do::Step,
            Do::Step,
            Do::Wake(KEEPERS),
        ] {
            state = self.all_arrive(state);
            state = self.after(state, act);
        }
        vec![state]
    }

    fn actions(&self, state: &State, to: &mut Vec<Do>) {
        if state.broken.is_some() {
            return;
        }
        let [deviations, restarts, gifts] = state.left;
        if !state.queue.is_empty() {
            to.push(Do::Arrive);
            if deviations > 0 && state.held.len() < self.0.most_held {
                to.extend([Do::Hold, Do::Copy]);
            }
            return;
        }
        (0..state.held.len()).for_each(|at| to.push(Do::Release(at)));
        // Of the two the first that is ever woken is this one: otherwise they are alike.
        let asked = if !self.0.is_owned && state.step == 0 && !state.woken[0] {
            1
        } else {
            2
        };
        for node in (KEEPERS..NODES).take(asked) {
            let owns = state.nodes[node]
                .permit(own_ms(state.step, node), SHARD)
                .is_some();
            if !state.woken[node - KEEPERS] {
                to.push(Do::Wake(node));
            }
            if owns && gifts > 0 {
                to.push(Do::Give(node));
            }
        }
        if restarts > 0 {
            (0..NODES)
                .filter(|node| state.began[*node] < state.step)
                .for_each(|node| to.push(Do::Restart(node)));
        }
        if state.step < self.0.steps + if self.0.is_owned { OWNED_AT } else { 0 } {
            to.push(Do::Step);
        }
    }

    fn next_state(&self, last: &State, action: Do) -> Option<State> {
        let mut state = last.clone();
        match action {
            Do::Arrive => {
                let word = state.queue.remove(0);
                Self::arrive(&mut state, &word);
            }
            Do::Hold | Do::Copy => {
                state.left[0] -= 1;
                let word = state.queue.remove(0);
                if action == Do::Copy {
                    Self::arrive(&mut state, &word);
                }
                state.held.push(word);
                state
                    .held
                    .sort_by(|a, b| (a.from, a.to, &a.bytes).cmp(&(b.from, b.to, &b.bytes)));
            }
            Do::Release(at) => {
                let word = state.held.remove(at);
                Self::arrive(&mut state, &word);
            }
            Do::Wake(node) => {
                let keeper = state.step as usize % KEEPERS;
                Self::look(&mut state, node, keeper);
                Self::wake(&mut state, node);
            }
            Do::Restart(node) => {
                state.left[1] -= 1;
                state.lives += 1;
                state.processes[node] = state.lives;
                state.began[node] = state.step;
                state.nodes[node] = self.process(state.step, node, state.lives);
            }
            Do::Give(node) => {
                state.left[2] -= 1;
                let to = if node == KEEPERS {
                    KEEPERS + 1
                } else {
                    KEEPERS
                };
                Self::act(
                    &mut state,
                    node,
                    Event::TransferShard {
                        shard: SHARD,
                        to: id(to),
                    },
                );
            }
            Do::Step => {
                state.step += 1;
                state.woken = [false; 2];
                (0..KEEPERS).for_each(|keeper| Self::act(&mut state, keeper, Event::TimerExpired));
            }
        }
        Self::judge(&mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "one owner at a time, under rising numbers",
                |_, state: &State| state.broken.is_none(),
            ),
            Property::sometimes("three own one after the other", |_, state: &State| {
                state.owners >= 3
            }),
        ]
    }
}

/// What a search came to.
#[derive(Debug)]
pub struct Search {
    /// Different states.
    pub states: usize,
    /// The longest way that was gone.
    pub depth: usize,
    /// Whether all that the bounds allow was seen.
    pub is_whole: bool,
    /// Whether three owned one after the other, so that something was tried.
    pub changed_hands: bool,
    /// What was broken, and the shortest way there.
    pub broken: Option<(&'static str, Vec<String>)>,
}

/// Looks for what must not be, in so many states at most.
#[must_use]
pub fn search(bounds: Bounds, most_states: usize, threads: usize) -> Search {
    let until = HasDiscoveries::AnyOf(["one owner at a time, under rising numbers"].into());
    let checker = Keeping(bounds)
        .checker()
        .threads(threads)
        .target_state_count(most_states)
        .finish_when(until)
        .spawn_bfs()
        .join();
    let broken = checker
        .discovery("one owner at a time, under rising numbers")
        .map(|path| {
            let what = path.last_state().broken.unwrap_or_default();
            (
                what,
                path.into_actions()
                    .iter()
                    .map(|action| format!("{action:?}"))
                    .collect(),
            )
        });
    Search {
        states: checker.unique_state_count(),
        depth: checker.max_depth(),
        is_whole: checker.state_count() < most_states && broken.is_none(),
        changed_hands: checker.discovery("three own one after the other").is_some(),
        broken,
    }
}
