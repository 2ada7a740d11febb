//! Follows one service: which agent is asked when, what an answer counts for, and what to do when none comes.

use std::collections::HashMap;
use std::mem::Discriminant;
use std::rc::Rc;

use crate::elements::Elements;
use crate::head::Head;
use crate::mapping::{Mapping, Said};
use crate::query::Query;
use crate::world::World;

/// The largest answer: 20,000 instances of 2 KB, as Consul words one with two checks. Nothing of it is held but the
/// instance that is being read; the bound ends an answer that has no end.
pub const MOST_ANSWER: usize = 40 * 1024 * 1024;
/// What Consul's server may take beyond the wait, and the way.
const GRACE_MS: f64 = 5_000.0;
/// A body that stands still for so long is given up: a local agent sends an answer as one.
const STALL_MS: f64 = 5_000.0;
/// How long a whole body may take. Guards against one that trickles: the source would look fresh for ever.
const LONGEST_READ_MS: f64 = 30_000.0;
/// Answers that may follow one another without a pause, and the pause after them. Guards against a service that
/// changes without end, and against an agent that does not block: each answer is the whole world.
const BURST: f64 = 5.0;
/// The longest pause between answers that come at once and tell nothing new.
const LONGEST_PAUSE_MS: f64 = 2_000.0;
/// An answer is at once if it took no more than this.
const AT_ONCE_MS: f64 = 100.0;
/// The pause between queries where an agent tells no index to wait on.
const POLL_MS: f64 = 1_000.0;
/// Waits after failures once every agent has failed: the first, and the longest.
const BACKOFF_MS: [f64; 2] = [250.0, 30_000.0];
/// The first wait doubles no more often than this: it is beyond the longest then.
const MOST_DOUBLINGS: u32 = 10;
/// The wait before the next agent is tried.
const NEXT_AGENT_MS: f64 = 20.0;
/// Stale answers in a row after which another agent is asked.
const STALE_ROW: u32 = 3;
/// A kind of trouble with an agent is told again once it has not been seen for this long: more than the longest wait
/// between queries, so that an agent that fails for an hour is told of once.
const QUIET_MS: f64 = 60_000.0;

/// How a service is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// What is asked.
    pub query: Query,
    /// How instances are read.
    pub mapping: Mapping,
    /// How many agents there are to ask; at least one.
    pub agents: usize,
    /// The age beyond which an answer is stale, in milliseconds.
    pub most_age_ms: f64,
    /// The pause between answers while they follow one another, in milliseconds.
    pub pace_ms: f64,
}

impl WatchSettings {
    /// Settings with the ordinary figures.
    #[must_use]
    pub fn new(query: Query, mapping: Mapping, agents: usize) -> Self {
        Self {
            query,
            mapping,
            agents: agents.max(1),
            most_age_ms: 5_000.0,
            pace_ms: 100.0,
        }
    }
}

/// What happens to a watch.
#[derive(Debug)]
pub enum Event<'a> {
    /// The time that was asked for has come; also the first event.
    Due,
    /// An answer's head.
    Head {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: &'a [(&'a str, &'a str)],
    },
    /// A piece of the answer's body.
    Body(&'a [u8]),
    /// The answer has ended in order.
    End,
    /// No connection, or it broke.
    Broken(String),
}

/// What has gone wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// An agent could not be asked.
    Unreachable(String),
    /// It answered with this status.
    Status(u16),
    /// It refused the token, or wants one.
    Forbidden,
    /// It did not answer in its time.
    Silent,
    /// What it answered cannot be used.
    Answer(String),
    /// Instances of the answer cannot be read; the others count.
    Instances(String),
    /// So many instances name no server by what the operators' file says.
    Nameless(usize),
    /// Its index went back, stands while the content changes, or is missing: what it says is doubted for a while.
    Index,
}

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Whether it is of now.
    pub fresh: bool,
    /// The version of all that is told.
    pub index: u64,
    /// Raised when versions cannot be compared with those before.
    pub history: u64,
    /// What is said anew.
    pub words: Vec<Rc<Said>>,
    /// Keys of which nothing is said any more.
    pub left: Vec<String>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask an agent, on a connection that it may keep. The token is the caller's.
    Ask {
        /// Which.
        agent: usize,
        /// Path and query.
        path: String,
    },
    /// Give up the answer that is awaited or coming, with its connection.
    HangUp,
    /// An answer has come; where nothing changed, it confirms what was said before.
    Tell(News),
    /// No agent answers.
    Lost,
    /// Bring [`Event::Due`] at this time, instead of any named before.
    WakeAt(f64),
    /// Tell the operators: a kind of trouble with an agent begins.
    Trouble {
        /// The agent.
        agent: usize,
        /// What is wrong.
        trouble: Trouble,
    },
}

#[derive(Debug)]
enum Phase {
    /// Nothing is out until then.
    Resting,
    /// Asked, at this time; the head has not come.
    Asked(f64),
    /// The body comes.
    Reading(Reading),
}

#[derive(Debug)]
struct Reading {
    asked_at: f64,
    begun_at: f64,
    head: Head,
    elements: Elements,
    bytes: usize,
}

/// Follows one service. See the [crate] page.
pub struct Watch {
    settings: WatchSettings,
    random: fastrand::Rng,
    agent: usize,
    phase: Phase,
    world: World,
    /// What the next query waits on; 0: nothing.
    index: u64,
    /// The greatest index of this history.
    newest: u64,
    history: u64,
    has_answered: bool,
    failures: u32,
    is_lost: bool,
    stale_row: u32,
    allowance: f64,
    allowed_at: f64,
    pause_ms: f64,
    /// When each kind of trouble was last seen at each agent; there are as many as agents times kinds at the most.
    troubled: HashMap<(usize, Discriminant<Trouble>), f64>,
}

impl Watch {
    /// A watch that begins with its first [`Event::Due`].
    #[must_use]
    pub fn new(settings: WatchSettings, seed: u64) -> Self {
        let pause_ms = settings.pace_ms;
        Self {
            settings,
            random: fastrand::Rng::with_seed(seed),
            agent: 0,
            phase: Phase::Resting,
            world: World::default(),
            index: 0,
            newest: 0,
            history: 0,
            has_answered: false,
            failures: 0,
            is_lost: false,
            stale_row: 0,
            allowance: BURST,
            allowed_at: f64::NEG_INFINITY,
            pause_ms,
            troubled: HashMap::new(),
        }
    }

    /// How many instances the last whole answer had.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.world.instances()
    }

    /// Takes one event that happened at `now` and appends what is to be done, in that order. What comes for an
    /// answer that was given up is passed over.
    pub fn handle(&mut self, now: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        match (&mut self.phase, event) {
            (Phase::Resting, Event::Due) => self.ask(now, actions),
            (_, Event::Due) => {
                actions.push(Action::HangUp);
                self.fail(now, Trouble::Silent, actions);
            }
            (Phase::Asked(_) | Phase::Reading(_), Event::Broken(why)) => {
                self.fail(now, Trouble::Unreachable(why), actions);
            }
            (Phase::Asked(asked_at), Event::Head { status, headers }) => {
                let asked_at = *asked_at;
                self.head(now, asked_at, status, headers, actions);
            }
            (Phase::Reading(_), Event::Body(piece)) => self.body(now, piece, actions),
            (Phase::Reading(_), Event::End) => self.end(now, actions),
            _ => {}
        }
    }

    fn ask(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.phase = Phase::Asked(now);
        self.allowance -= 1.0;
        actions.push(Action::Ask {
            agent: self.agent,
            path: self.settings.query.path(self.index),
        });
        let wait = if self.index > 0 {
            self.settings.query.longest_wait_ms()
        } else {
            0.0
        };
        actions.push(Action::WakeAt(now + wait + GRACE_MS));
    }

    fn head(
        &mut self,
        now: f64,
        asked_at: f64,
        status: u16,
        headers: &[(&str, &str)],
        actions: &mut Vec<Action>,
    ) {
        if status != 200 {
            actions.push(Action::HangUp);
            let trouble = if status == 401 || status == 403 {
                Trouble::Forbidden
            } else {
                Trouble::Status(status)
            };
            return self.fail(now, trouble, actions);
        }
        self.world.begin();
        let (head, elements) = (Head::read(headers), Elements::default());
        self.phase = Phase::Reading(Reading {
            asked_at,
            begun_at: now,
            head,
            elements,
            bytes: 0,
        });
        actions.push(Action::WakeAt(now + STALL_MS));
    }

    fn body(&mut self, now: f64, piece: &[u8], actions: &mut Vec<Action>) {
        let Phase::Reading(reading) = &mut self.phase else {
            return;
        };
        let (world, settings, mut fits) = (&mut self.world, &self.settings, true);
        reading.bytes += piece.len();
        let until = (now + STALL_MS).min(reading.begun_at + LONGEST_READ_MS);
        let cut = reading.elements.push(piece, |element| {
            fits = fits && world.add(settings.query.api, &settings.mapping, element);
        });
        let refused = match cut {
            Err(error) => Some(error.to_string()),
            Ok(()) if !fits => Some("it has too many instances".to_owned()),
            Ok(()) if reading.bytes > MOST_ANSWER => Some("it is too large".to_owned()),
            Ok(()) => None,
        };
        match refused {
            Some(why) => {
                actions.push(Action::HangUp);
                self.fail(now, Trouble::Answer(why), actions);
            }
            None => actions.push(Action::WakeAt(until)),
        }
    }

    fn end(&mut self, now: f64, actions: &mut Vec<Action>) {
        let Phase::Reading(reading) = std::mem::replace(&mut self.phase, Phase::Resting) else {
            return;
        };
        if let Err(error) = reading.elements.end() {
            return self.fail(now, Trouble::Answer(error.to_string()), actions);
        }
        if let Some((count, error)) = self.world.malformed() {
            self.trouble(
                now,
                Trouble::Instances(format!("{error} ({count} of them)")),
                actions,
            );
        }
        if self.world.unusable() > 0 {
            self.trouble(now, Trouble::Nameless(self.world.unusable()), actions);
        }
        // What could not be read may be a server that is ready: nothing may be taken away for it.
        let whole = self.world.malformed().is_none();
        let stale = reading.head.is_stale(self.settings.most_age_ms);
        let change = self.world.commit();
        let index = reading.head.index.unwrap_or(0);
        if self.note_index(index, !change.is_empty()) {
            self.trouble(now, Trouble::Index, actions);
        }
        let idle = change.is_empty() && now - reading.asked_at <= AT_ONCE_MS;
        actions.push(Action::Tell(News {
            fresh: whole && !stale,
            index,
            history: self.history,
            words: change.said,
            left: change.left,
        }));
        (self.failures, self.is_lost, self.has_answered) = (0, false, true);
        self.stale_row = if stale { self.stale_row + 1 } else { 0 };
        if self.stale_row >= STALE_ROW && self.settings.agents > 1 {
            // It is asked for all that it has: what it has may be no newer, and is of now.
            (self.stale_row, self.agent, self.index) =
                (0, (self.agent + 1) % self.settings.agents, 0);
        }
        actions.push(Action::WakeAt(now + self.pause(now, idle || stale)));
    }

    /// Takes an answer's index, and tells whether it makes no sense. The published rules: an index that goes back
    /// begins anew at zero, and one that is not greater than zero is no index.
    fn note_index(&mut self, index: u64, changed: bool) -> bool {
        let goes_back = index < self.newest;
        let stands = index == self.newest && changed && self.has_answered;
        self.history += u64::from(goes_back || stands);
        self.newest = index;
        self.index = if goes_back { 0 } else { index };
        goes_back || stands || index == 0
    }

    /// How long to wait until the next query.
    fn pause(&mut self, now: f64, idle: bool) -> f64 {
        let pace = self.settings.pace_ms;
        self.pause_ms = if idle {
            (self.pause_ms * 2.0).min(LONGEST_PAUSE_MS)
        } else {
            pace
        };
        let regained = (now - self.allowed_at) / pace;
        self.allowance = (self.allowance + regained.max(0.0)).min(BURST);
        self.allowed_at = now;
        if idle {
            return self.pause_ms;
        }
        if self.index == 0 {
            // Asked anew at once where an index went back, so that the next one can be waited on.
            return if self.newest > 0 { pace } else { POLL_MS };
        }
        ((1.0 - self.allowance) * pace).max(0.0)
    }

    fn fail(&mut self, now: f64, trouble: Trouble, actions: &mut Vec<Action>) {
        self.phase = Phase::Resting;
        self.trouble(now, trouble, actions);
        self.failures = self.failures.saturating_add(1);
        let agents = self.settings.agents as u32;
        self.agent = (self.agent + 1) % self.settings.agents;
        // Another agent's index may count otherwise: it is asked for all that it has.
        self.index = 0;
        let wait = if self.failures < agents {
            NEXT_AGENT_MS
        } else {
            if !std::mem::replace(&mut self.is_lost, true) {
                actions.push(Action::Lost);
            }
            let doubled =
                BACKOFF_MS[0] * 2_f64.powi((self.failures - agents).min(MOST_DOUBLINGS) as i32);
            doubled.min(BACKOFF_MS[1]) * (0.5 + 0.5 * self.random.f64())
        };
        actions.push(Action::WakeAt(now + wait));
    }

    /// Tells the operators, unless the trouble goes on.
    fn trouble(&mut self, now: f64, trouble: Trouble, actions: &mut Vec<Action>) {
        let this = (self.agent, std::mem::discriminant(&trouble));
        let before = self.troubled.insert(this, now);
        if before.is_none_or(|before| now - before > QUIET_MS) {
            actions.push(Action::Trouble {
                agent: self.agent,
                trouble,
            });
        }
    }
}
