//! One source: its latest words, and which of them are believed.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::host::{Host, State, MOST_SERVERS};
use crate::note::Note;
use crate::rules::Age;

/// The most servers of which it is remembered that a source no longer names them, so that an older word that comes
/// late is known for one. Beyond it the ones that left first are forgotten.
pub const MOST_TOMBSTONES: usize = 4_096;
/// Flaps that are remembered of a server at the most: more would only make the figure grow.
const MOST_FLAPS: f64 = 16.0;
/// A server is kept out from so many flaps of late on: one that comes and goes once is none.
const FORGIVEN_FLAPS: f64 = 1.5;

/// What a source's keys are matched with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MatchBy {
    /// The servers' ids.
    Id,
    /// The servers' addresses, as sources that match by id tell them.
    Address,
}

/// How long a server that comes and goes is kept out after it has come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// After the second time; it doubles with each further one.
    pub first_ms: f64,
    /// At the most.
    pub most_ms: f64,
    /// In this time half of the times are forgotten.
    pub half_life_ms: f64,
}

/// How far a source is believed.
#[derive(Clone, Debug, PartialEq)]
pub struct Trust {
    /// Its name in the log.
    pub name: String,
    /// Whether it may name servers that no other source names.
    pub names: bool,
    /// What its keys are matched with.
    pub match_by: MatchBy,
    /// It is not believed at once when it withdraws more than this share of its servers ...
    pub panic_share: f64,
    /// ... within this time.
    pub panic_window_ms: f64,
    /// Whether that holds although no other source calls the servers ready.
    pub panics_alone: bool,
    /// What is not believed at once is once it has been said for this long.
    pub confirm_ms: f64,
    /// Whether words of a new history (an index that went back) wait for that time, too.
    pub doubts_new_history: bool,
    /// How long what it removed stays removed once it is out of touch. Drains stay drained.
    pub hold_ms: f64,
    /// Whether servers that come and go are kept out for a while.
    pub damping: Option<Damping>,
}

impl Trust {
    /// The roster: it names the servers, is believed at once but for mass withdrawals against another source, and
    /// its word never ages.
    #[must_use]
    pub fn roster(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            names: true,
            match_by: MatchBy::Id,
            panic_share: 0.5,
            panic_window_ms: 10_000.0,
            panics_alone: false,
            confirm_ms: 30_000.0,
            doubts_new_history: false,
            hold_ms: f64::INFINITY,
            damping: None,
        }
    }

    /// A source beside the roster that names no servers of its own.
    #[must_use]
    pub fn advisor(name: impl Into<String>) -> Self {
        Self {
            names: false,
            panics_alone: true,
            doubts_new_history: true,
            hold_ms: 60_000.0,
            damping: Some(Damping {
                first_ms: 2_000.0,
                most_ms: 60_000.0,
                half_life_ms: 60_000.0,
            }),
            ..Self::roster(name)
        }
    }
}

/// Whether a list is of now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// It is.
    Fresh,
    /// It may be of long ago. Its drains are believed, and the servers that it names where nothing was known.
    Stale,
}

/// A source's word of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// What the source names the server by; see [`MatchBy`].
    pub key: String,
    /// The word.
    pub state: State,
    /// The word's version: within one history a greater one is newer.
    pub index: u64,
    /// What the source knows of the server.
    pub host: Option<Host>,
}

/// What has changed at a source, or all that it names.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Whether it is of now. A fresh one confirms all that the source said before and has not changed.
    pub authority: Authority,
    /// Raised by whoever reads the source when versions cannot be compared with those before.
    pub history: u64,
    /// The words that changed.
    pub words: Vec<Word>,
    /// Keys that the source no longer names, and in which version.
    pub left: Vec<(String, u64)>,
}

/// The latest word, believed or not.
#[derive(Clone, Copy)]
struct Latest {
    state: State,
    order: (u64, u64),
    since: f64,
    fresh: bool,
}

#[derive(Clone)]
struct Record {
    latest: Latest,
    effective: Option<State>,
    /// The version of the effective word, and when that version was first heard.
    order: (u64, u64),
    heard_at: f64,
    flaps: f64,
    flapped_at: f64,
    host: Option<Host>,
}

/// How a word was heard: when, in which version, and whether of now.
#[derive(Clone, Copy)]
struct Heard {
    now: f64,
    order: (u64, u64),
    fresh: bool,
}

/// When a latest word becomes the effective one.
#[derive(Clone, Copy, PartialEq)]
enum Belief {
    At(f64),
    /// Not before the source has said more.
    Waits,
}

/// One source.
pub(crate) struct Source {
    pub trust: Trust,
    records: HashMap<String, Record>,
    /// Keys whose latest word is not the effective one.
    pending: BTreeSet<String>,
    /// When which servers were withdrawn, within the panic window.
    withdrawn: VecDeque<(f64, String)>,
    ready: usize,
    pub in_panic: bool,
    tombstones: VecDeque<String>,
    fresh: bool,
    out_since: f64,
    aged: bool,
    overfull: bool,
}

/// Keys whose effective word, or what is known of the server, may have changed.
pub(crate) type Affected = BTreeSet<String>;

impl Source {
    pub fn new(trust: Trust) -> Self {
        Self {
            trust,
            records: HashMap::new(),
            pending: BTreeSet::new(),
            withdrawn: VecDeque::new(),
            ready: 0,
            in_panic: false,
            tombstones: VecDeque::new(),
            fresh: false,
            out_since: f64::NEG_INFINITY,
            aged: false,
            overfull: false,
        }
    }

    pub fn age(&self) -> Age {
        match (self.fresh, self.aged) {
            (true, _) => Age::Fresh,
            (false, false) => Age::Held,
            (false, true) => Age::Aged,
        }
    }

    /// The effective word of a key.
    pub fn state(&self, key: &str) -> Option<State> {
        self.records.get(key)?.effective
    }

    /// What the source knows of a server.
    pub fn host(&self, key: &str) -> Option<&Host> {
        self.records.get(key)?.host.as_ref()
    }

    /// When the version of the effective word was first heard.
    pub fn heard_at(&self, key: &str) -> f64 {
        self.records
            .get(key)
            .map_or(f64::NEG_INFINITY, |record| record.heard_at)
    }

    /// Keys whose latest word is not the effective one.
    pub fn pending(&self) -> &Affected {
        &self.pending
    }

    pub fn keys(&self) -> Affected {
        self.records.keys().cloned().collect()
    }

    /// Takes a list.
    pub fn list(&mut self, now: f64, list: List, affected: &mut Affected, notes: &mut Vec<Note>) {
        let fresh = list.authority == Authority::Fresh;
        if fresh {
            for key in &self.pending {
                if let Some(record) = self.records.get_mut(key) {
                    record.latest.fresh = true;
                }
            }
        }
        for mut word in list.words {
            // A weight of zero is a drain by another name: what is there ends, and nothing new begins.
            if word.state == State::Ready
                && word.host.as_ref().is_some_and(|host| host.weight <= 0.0)
            {
                word.state = State::Draining;
            }
            let heard = Heard {
                now,
                order: (list.history, word.index),
                fresh,
            };
            self.word(heard, word, affected, notes);
        }
        for (key, index) in list.left {
            let heard = Heard {
                now,
                order: (list.history, index),
                fresh,
            };
            self.word(
                heard,
                Word {
                    key,
                    state: State::Gone,
                    index,
                    host: None,
                },
                affected,
                notes,
            );
        }
        if fresh {
            if !std::mem::replace(&mut self.fresh, true) && self.out_since > f64::NEG_INFINITY {
                notes.push(Note::Fresh {
                    source: self.trust.name.clone(),
                });
            }
            // Fresh or held makes no difference to what a word amounts to; aged does, for every server.
            if std::mem::take(&mut self.aged) {
                affected.extend(self.keys());
            }
        } else {
            self.hold(now, notes);
        }
    }

    /// The source is out of touch, or answers from a stale copy.
    pub fn hold(&mut self, now: f64, notes: &mut Vec<Note>) {
        if std::mem::replace(&mut self.fresh, false) || self.out_since == f64::NEG_INFINITY {
            self.out_since = now;
            notes.push(Note::Held {
                source: self.trust.name.clone(),
            });
        }
    }

    fn word(&mut self, heard: Heard, word: Word, affected: &mut Affected, notes: &mut Vec<Note>) {
        let Heard { now, order, fresh } = heard;
        let Some(record) = self.records.get_mut(&word.key) else {
            return self.first_word(heard, word, affected, notes);
        };
        let latest = &mut record.latest;
        // Of one version the graver word holds, so that the order in which words come makes no difference.
        let stands = order > latest.order || (order == latest.order && word.state >= latest.state);
        if !stands {
            return;
        }
        if latest.state != word.state {
            latest.since = now;
            latest.fresh = fresh;
        }
        (latest.state, latest.order) = (word.state, order);
        latest.fresh |= fresh;
        if word.host.is_some() && record.host != word.host {
            record.host = word.host;
            affected.insert(word.key.clone());
        }
        if record.effective == Some(word.state) {
            if record.order != order {
                (record.order, record.heard_at) = (order, now);
                affected.insert(word.key.clone());
            }
            self.pending.remove(&word.key);
        } else {
            self.pending.insert(word.key);
        }
    }

    fn first_word(
        &mut self,
        heard: Heard,
        word: Word,
        affected: &mut Affected,
        notes: &mut Vec<Note>,
    ) {
        if self.records.len() >= MOST_SERVERS {
            if !std::mem::replace(&mut self.overfull, true) {
                notes.push(Note::TooMany {
                    source: self.trust.name.clone(),
                });
            }
            return;
        }
        let Heard { now, order, fresh } = heard;
        let latest = Latest {
            state: word.state,
            order,
            since: now,
            fresh,
        };
        // Where nothing was known nothing is lost by a word, however old, unless it takes away what others name.
        let effective = Some(word.state).filter(|state| *state != State::Gone);
        let (key, host) = (word.key, word.host);
        let record = Record {
            latest,
            effective,
            order,
            heard_at: now,
            flaps: 0.0,
            flapped_at: now,
            host,
        };
        self.ready += usize::from(word.state == State::Ready);
        if effective.is_none() {
            self.pending.insert(key.clone());
        }
        affected.insert(key.clone());
        self.records.insert(key, record);
    }

    /// Believes what may be believed by now. Tells when there is more to believe.
    ///
    /// `vouched` are the keys that another source calls ready; it matters where the source does not panic alone.
    pub fn settle(
        &mut self,
        now: f64,
        vouched: &Affected,
        affected: &mut Affected,
        notes: &mut Vec<Note>,
    ) -> Option<f64> {
        let window = now - self.trust.panic_window_ms;
        let records = &self.records;
        self.withdrawn.retain(|(at, key)| {
            *at > window
                && records
                    .get(key)
                    .is_some_and(|record| record.effective == Some(State::Gone))
        });
        let panic = self.panics();
        let mut next: Option<f64> = None;
        for key in std::mem::take(&mut self.pending) {
            let Some(record) = self.records.get(&key) else {
                continue;
            };
            let doubted = panic && (self.trust.panics_alone || vouched.contains(&key));
            match self.belief(record, doubted) {
                Belief::At(at) if at <= now => {
                    self.believe(now, &key);
                    affected.insert(key);
                }
                belief => {
                    if let Belief::At(at) = belief {
                        next = Some(next.map_or(at, |next| next.min(at)));
                    }
                    self.pending.insert(key);
                }
            }
        }
        // What is left to believe is what was not believed: without that there is no panic to tell of.
        let panic = panic && self.wanted_withdrawals() > 0;
        if panic != self.in_panic {
            self.in_panic = panic;
            let source = self.trust.name.clone();
            notes.push(if panic {
                Note::Withdrawal {
                    source,
                    of: self.withdrawals(),
                }
            } else {
                Note::WithdrawalOver { source }
            });
        }
        self.bury(affected);
        next.into_iter()
            .chain(self.ageing(now, affected, notes))
            .reduce(f64::min)
    }

    fn ageing(&mut self, now: f64, affected: &mut Affected, notes: &mut Vec<Note>) -> Option<f64> {
        if self.fresh || self.aged || self.out_since == f64::NEG_INFINITY {
            return None;
        }
        let at = self.out_since + self.trust.hold_ms;
        if at > now {
            return Some(at).filter(|at| at.is_finite());
        }
        self.aged = true;
        notes.push(Note::Aged {
            source: self.trust.name.clone(),
        });
        affected.extend(self.keys());
        None
    }

    /// Servers that the source's latest word takes away, and its effective one does not yet.
    fn wanted(&self) -> impl Iterator<Item = &Record> {
        let records = self.pending.iter().filter_map(|key| self.records.get(key));
        records.filter(|record| {
            record.latest.state == State::Gone
                && matches!(record.effective, None | Some(State::Ready))
        })
    }

    fn wanted_withdrawals(&self) -> usize {
        self.wanted().count()
    }

    /// Servers that are withdrawn within the window or would be, and how many there were.
    fn withdrawals(&self) -> (usize, usize) {
        let unknown = self
            .wanted()
            .filter(|record| record.effective.is_none())
            .count();
        let gone = self.withdrawn.len() + self.wanted_withdrawals();
        (gone, self.ready + self.withdrawn.len() + unknown)
    }

    /// Whether more servers are withdrawn within the window than is believed at once. Guards against a source that
    /// has lost its memory, or whose checks all fail for a reason of its own.
    fn panics(&self) -> bool {
        let (gone, all) = self.withdrawals();
        self.wanted_withdrawals() > 0 && gone as f64 > self.trust.panic_share * all as f64
    }

    fn belief(&self, record: &Record, doubted: bool) -> Belief {
        let Latest {
            state,
            order,
            since,
            fresh,
        } = record.latest;
        if state == State::Draining {
            return Belief::At(f64::NEG_INFINITY); // A drain never waits.
        }
        if !fresh {
            return Belief::Waits;
        }
        let is_new_history = order.0 != record.order.0 && self.trust.doubts_new_history;
        let confirmed = since
            + if is_new_history {
                self.trust.confirm_ms
            } else {
                0.0
            };
        Belief::At(match (record.effective, state) {
            (None | Some(State::Ready), State::Gone) if doubted => since + self.trust.confirm_ms,
            (_, State::Ready) => confirmed.max(since + self.kept_out(record, since)),
            _ => confirmed,
        })
    }

    /// How long a server that comes back at `since` is kept out.
    fn kept_out(&self, record: &Record, since: f64) -> f64 {
        let Some(damping) = self.trust.damping else {
            return 0.0;
        };
        let flaps = record.flaps_at(since, damping.half_life_ms);
        if flaps < FORGIVEN_FLAPS {
            return 0.0; // Once is no flap.
        }
        (damping.first_ms * (flaps - FORGIVEN_FLAPS).exp2()).min(damping.most_ms)
    }

    fn believe(&mut self, now: f64, key: &str) {
        let half_life = self
            .trust
            .damping
            .map_or(f64::INFINITY, |damping| damping.half_life_ms);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let before = record.effective;
        let latest = record.latest;
        if before == Some(State::Ready) {
            self.ready -= 1;
            record.flaps = (record.flaps_at(now, half_life) + 1.0).min(MOST_FLAPS);
            record.flapped_at = now;
        }
        record.effective = Some(latest.state);
        (record.order, record.heard_at) = (latest.order, now);
        match latest.state {
            State::Ready => self.ready += 1,
            State::Draining => {}
            State::Gone => {
                if before != Some(State::Draining) {
                    self.withdrawn.push_back((now, key.to_owned()));
                }
                self.tombstones.push_back(key.to_owned());
            }
        }
    }

    /// Forgets the servers that left first, beyond the bound.
    fn bury(&mut self, affected: &mut Affected) {
        while self.tombstones.len() > MOST_TOMBSTONES {
            let Some(key) = self.tombstones.pop_front() else {
                return;
            };
            let is_gone = |record: &Record| {
                record.effective == Some(State::Gone) && record.latest.state == State::Gone
            };
            if self.records.get(&key).is_some_and(is_gone) && !self.tombstones.contains(&key) {
                self.records.remove(&key);
                self.overfull = false;
                affected.insert(key);
            }
        }
    }

    /// Whether it says nothing.
    pub fn is_forgotten(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets all that the source said.
    pub fn forget(&mut self) -> Affected {
        let affected = self.keys();
        *self = Self::new(self.trust.clone());
        affected
    }
}

impl Record {
    fn flaps_at(&self, now: f64, half_life_ms: f64) -> f64 {
        self.flaps * (-((now - self.flapped_at).max(0.0)) / half_life_ms).exp2()
    }
}
