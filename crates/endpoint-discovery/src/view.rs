//! The one view: what all sources' effective words make of each server, and what has changed of it.

use std::collections::{BTreeSet, HashMap};

use crate::host::{Host, State};
use crate::note::Note;
use crate::rules::{merge, Age, Said, Verdict};
use crate::source::{Affected, List, MatchBy, Source, Trust};

/// A source, by its place in the list that [`Membership::new`] was given.
pub type SourceId = usize;

/// Disagreements that are told one by one at a time; of the others the count is told.
const MOST_NOTES: usize = 8;

/// What happens to the sources.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A source told what changed, or all.
    Listed {
        /// Which.
        source: SourceId,
        /// What.
        list: List,
    },
    /// A source is out of touch.
    Lost {
        /// Which.
        source: SourceId,
    },
    /// A source is followed no more: its words count for nothing.
    Forgotten {
        /// Which.
        source: SourceId,
    },
    /// The time that [`Action::WakeAt`] asked for has come.
    Due,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// These servers changed; one that is gone is no longer in the view.
    Changed(Vec<Host>),
    /// Bring [`Event::Due`] at this time (milliseconds of Unix time), unless a later action names another.
    WakeAt(f64),
    /// Tell the operators.
    Note(Note),
}

#[derive(Default)]
struct Server {
    /// As the view last told it; `None`: not in it.
    told: Option<Host>,
    verdict: Option<Verdict>,
    said: Vec<Option<State>>,
}

/// The merged view. See the [crate] page.
///
/// Bounds: each source names at most [`MOST_SERVERS`](crate::MOST_SERVERS) servers.
pub struct Membership {
    sources: Vec<Source>,
    servers: HashMap<String, Server>,
    /// Which servers are at an address, by the sources that match by id.
    at: HashMap<String, BTreeSet<String>>,
    addresses: HashMap<String, String>,
    ready: usize,
    /// Servers that a source removed and another calls ready.
    standing: BTreeSet<String>,
    last_standing: bool,
    waking: Option<f64>,
}

impl Membership {
    /// A view of what these sources will say. Where they name a server alike, the first knows best where it is.
    #[must_use]
    pub fn new(sources: Vec<Trust>) -> Self {
        Self {
            sources: sources.into_iter().map(Source::new).collect(),
            servers: HashMap::new(),
            at: HashMap::new(),
            addresses: HashMap::new(),
            ready: 0,
            standing: BTreeSet::new(),
            last_standing: false,
            waking: None,
        }
    }

    /// One more source, of which nothing is known yet. A source of the same name that was forgotten is followed again
    /// in its place, so that sources that come and go do not grow the view.
    pub fn add(&mut self, trust: Trust) -> SourceId {
        let same = self
            .sources
            .iter()
            .position(|held| held.trust.name == trust.name && held.is_forgotten());
        if let Some(at) = same {
            self.sources[at] = Source::new(trust);
            at
        } else {
            self.sources.push(Source::new(trust));
            self.sources.len() - 1
        }
    }

    /// Takes one event that happened at `now` (milliseconds of Unix time, never backwards) and appends what is to be
    /// done. An event of a source that is not there is passed over.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        let (mut affected, mut notes) = (Affected::new(), Vec::new());
        let source = match event {
            Event::Listed { source, list } => {
                if let Some(held) = self.sources.get_mut(source) {
                    held.list(now, list, &mut affected, &mut notes);
                }
                Some(source)
            }
            Event::Lost { source } => {
                if let Some(held) = self.sources.get_mut(source) {
                    held.hold(now, &mut notes);
                }
                Some(source)
            }
            Event::Forgotten { source } => {
                if let Some(held) = self.sources.get_mut(source) {
                    affected = held.forget();
                }
                Some(source)
            }
            Event::Due => {
                self.waking = None;
                None
            }
        };
        let mut ids = source
            .map(|source| self.ids_of(source, affected))
            .unwrap_or_default();
        let mut next: Option<f64> = None;
        for source in 0..self.sources.len() {
            let mut affected = Affected::new();
            let vouched = self.vouched(source);
            let due = self.sources[source].settle(now, &vouched, &mut affected, &mut notes);
            ids.extend(self.ids_of(source, affected));
            next = next.into_iter().chain(due).reduce(f64::min);
        }
        let changed = self.update(ids, &mut notes);
        if !changed.is_empty() {
            actions.push(Action::Changed(changed));
        }
        actions.extend(notes.into_iter().map(Action::Note));
        if let Some(next) = next.filter(|_| next != self.waking) {
            actions.push(Action::WakeAt(next));
        }
        self.waking = next;
    }

    /// Of what a source that does not panic alone has not been believed in yet, the servers that another calls ready.
    fn vouched(&self, source: SourceId) -> Affected {
        let held = &self.sources[source];
        if held.trust.panics_alone || held.trust.match_by == MatchBy::Address {
            return Affected::new();
        }
        let others = || {
            self.sources
                .iter()
                .enumerate()
                .filter(|(at, other)| *at != source && other.age() != Age::Aged)
        };
        let is_vouched = |id: &&String| {
            others().any(|(_, other)| {
                self.key_at(other, id).and_then(|key| other.state(key)) == Some(State::Ready)
            })
        };
        held.pending().iter().filter(is_vouched).cloned().collect()
    }

    /// All servers of the view.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.servers
            .values()
            .filter_map(|server| server.told.as_ref())
    }

    /// How old a source's word is; `None`: there is no such source.
    #[must_use]
    pub fn age(&self, source: SourceId) -> Option<Age> {
        self.sources.get(source).map(Source::age)
    }

    /// The ids of the servers that a source's keys stand for; keeps in mind where they are.
    fn ids_of(&mut self, source: SourceId, keys: Affected) -> BTreeSet<String> {
        let Some(held) = self.sources.get(source) else {
            return BTreeSet::new();
        };
        if held.trust.match_by == MatchBy::Address {
            return keys
                .iter()
                .filter_map(|key| self.at.get(key))
                .flatten()
                .cloned()
                .collect();
        }
        for id in &keys {
            let address = self
                .facts(id)
                .and_then(|host| host.address)
                .map(|address| address.to_string());
            if self.addresses.get(id) == address.as_ref() {
                continue;
            }
            if let Some(before) = self.addresses.remove(id) {
                if let Some(ids) = self.at.get_mut(&before) {
                    ids.remove(id);
                    if ids.is_empty() {
                        self.at.remove(&before);
                    }
                }
            }
            if let Some(address) = address {
                self.at
                    .entry(address.clone())
                    .or_default()
                    .insert(id.clone());
                self.addresses.insert(id.clone(), address);
            }
        }
        keys
    }

    /// What is known of a server: by the naming source that tells its latest start, or else the first; what that
    /// one does not say, by the others.
    fn facts(&self, id: &str) -> Option<Host> {
        let by_id = self
            .sources
            .iter()
            .filter(|source| source.trust.match_by == MatchBy::Id);
        let accounts = by_id.filter_map(|source| {
            let host = source.host(id)?;
            let is_present = source.state(id).is_some_and(|state| state != State::Gone);
            Some((source.trust.names, is_present, host))
        });
        let mut accounts: Vec<_> = accounts.collect();
        // The sort is stable: among equals the first source knows best.
        accounts.sort_by(
            |(names, present, host), (other_names, other_present, other)| {
                let starts = other.started_at_ms.total_cmp(&host.started_at_ms);
                other_names
                    .cmp(names)
                    .then(other_present.cmp(present))
                    .then(starts)
            },
        );
        let mut accounts = accounts.into_iter().map(|(_, _, host)| host);
        let mut facts = accounts.next()?.clone();
        accounts.for_each(|other| facts.fill_from(other));
        Some(facts)
    }

    fn key_at<'a>(&'a self, source: &Source, id: &'a str) -> Option<&'a str> {
        match source.trust.match_by {
            MatchBy::Id => Some(id),
            MatchBy::Address => self.addresses.get(id).map(String::as_str),
        }
    }

    fn said(&self, source: &Source, id: &str, started_at_ms: f64) -> Said {
        let key = self.key_at(source, id);
        Said {
            state: key.and_then(|key| source.state(key)),
            age: source.age(),
            names: source.trust.names,
            outlived: key.is_some_and(|key| started_at_ms > source.heard_at(key)),
        }
    }

    /// When a server last started, as far as any source knows.
    fn started_at_ms(&self, id: &str, facts: Option<&Host>) -> f64 {
        let others = self
            .sources
            .iter()
            .filter_map(|source| source.host(self.key_at(source, id)?));
        others
            .chain(facts)
            .map(|host| host.started_at_ms)
            .fold(0.0, f64::max)
    }

    fn update(&mut self, ids: BTreeSet<String>, notes: &mut Vec<Note>) -> Vec<Host> {
        let (mut changed, mut disagreements) = (Vec::new(), Vec::new());
        for id in ids {
            self.judge(&id, &mut changed, &mut disagreements);
        }
        // Guards against a source that empties the view by itself.
        let last_standing = self.ready == 0 && !self.standing.is_empty();
        if last_standing != self.last_standing {
            self.last_standing = last_standing;
            notes.push(if last_standing {
                Note::LastStanding {
                    servers: self.standing.len(),
                }
            } else {
                Note::LastStandingOver
            });
            for id in self.standing.clone() {
                self.tell(&id, &mut changed);
            }
        }
        let more = disagreements.len().saturating_sub(MOST_NOTES);
        notes.extend(disagreements.into_iter().take(MOST_NOTES));
        if more > 0 {
            notes.push(Note::MoreDisagreements(more));
        }
        // One server changes at most once in one step, so that the driver never sees a state that did not hold.
        let mut at = HashMap::new();
        for host in changed {
            at.insert(host.id.clone(), host);
        }
        let mut changed: Vec<_> = at.into_values().collect();
        changed.sort_by(|a, b| a.id.cmp(&b.id));
        changed
    }

    /// Goes by the table anew for one server.
    fn judge(&mut self, id: &str, changed: &mut Vec<Host>, disagreements: &mut Vec<Note>) {
        let facts = self.facts(id);
        let started_at_ms = self.started_at_ms(id, facts.as_ref());
        let said: Vec<_> = self
            .sources
            .iter()
            .map(|source| self.said(source, id, started_at_ms))
            .collect();
        let verdict = merge(&said);
        let words: Vec<_> = said.iter().map(|said| said.state).collect();
        let server = self.servers.entry(id.to_owned()).or_default();
        let before = server.verdict.replace(verdict);
        if (before, &server.said) != (Some(verdict), &words) {
            let mut stated = words.iter().flatten();
            let first = stated.next();
            if stated.any(|state| Some(state) != first) {
                let names = self.sources.iter().map(|source| source.trust.name.clone());
                let said = names.zip(words.iter().copied()).collect();
                disagreements.push(Note::Disagreement {
                    id: id.to_owned(),
                    said,
                    verdict,
                });
            }
            server.said.clone_from(&words);
        }
        self.ready -= usize::from(before == Some(Verdict::Ready));
        self.ready += usize::from(verdict == Verdict::Ready);
        if verdict == (Verdict::Removed { vouched: true }) {
            self.standing.insert(id.to_owned());
        } else {
            self.standing.remove(id);
        }
        self.tell(id, changed);
        let is_over = words
            .iter()
            .all(|state| state.is_none_or(|state| state == State::Gone));
        if is_over
            && self
                .servers
                .get(id)
                .is_some_and(|server| server.told.is_none())
        {
            self.servers.remove(id);
        }
    }

    /// Tells what has changed of a server since it was last told.
    fn tell(&mut self, id: &str, changed: &mut Vec<Host>) {
        let facts = self.facts(id);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let state = match server.verdict {
            Some(Verdict::Ready) => State::Ready,
            Some(Verdict::Removed { vouched: true }) if self.last_standing => State::Ready,
            Some(Verdict::Draining) => State::Draining,
            _ => State::Gone,
        };
        // Nothing can be sent to a server of which nobody says where it is.
        let is_there = |facts: &Host| facts.address.is_some() || state == State::Draining;
        let told = facts
            .filter(|facts| state != State::Gone && is_there(facts))
            .map(|facts| Host { state, ..facts });
        if told == server.told {
            return;
        }
        let gone = server.told.take().map(|host| Host {
            state: State::Gone,
            ..host
        });
        server.told.clone_from(&told);
        changed.extend(told.or(gone));
    }
}
