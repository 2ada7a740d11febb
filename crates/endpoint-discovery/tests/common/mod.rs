//! Short ways to play sources against a view in virtual time.
#![allow(dead_code)]

use std::collections::BTreeMap;

use endpoint_discovery::*;

pub const ROSTER: SourceId = 0;
pub const CONSUL: SourceId = 1;

pub struct Play {
    pub membership: Membership,
    pub now: f64,
    /// As the driver has it: what was told and not taken back.
    pub driver: BTreeMap<String, Host>,
    pub notes: Vec<Note>,
    pub wake_at: Option<f64>,
}

impl Play {
    pub fn new(consul: Trust) -> Self {
        let sources = vec![Trust::roster("roster"), consul];
        Self {
            membership: Membership::new(sources),
            now: 1_000_000.0,
            driver: BTreeMap::new(),
            notes: Vec::new(),
            wake_at: None,
        }
    }

    pub fn feed(&mut self, event: Event) -> Vec<Host> {
        let (mut actions, mut all) = (Vec::new(), Vec::new());
        self.membership.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Changed(hosts) => {
                    for host in &hosts {
                        match host.state {
                            State::Gone => drop(self.driver.remove(&host.id)),
                            _ => drop(self.driver.insert(host.id.clone(), host.clone())),
                        }
                    }
                    all.extend(hosts);
                }
                Action::WakeAt(at) => {
                    assert!(at > self.now, "a time to come");
                    self.wake_at = Some(at);
                }
                Action::Note(note) => self.notes.push(note),
            }
        }
        all
    }

    /// Lets time pass, with every wake-up that was asked for.
    pub fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(at) = self.wake_at.filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.wake_at = None;
            self.feed(Event::Due);
        }
        self.now = end;
    }

    pub fn list(
        &mut self,
        source: SourceId,
        authority: Authority,
        history: u64,
        words: Vec<Word>,
    ) -> Vec<Host> {
        self.feed(Event::Listed {
            source,
            list: List {
                authority,
                history,
                words,
                left: vec![],
            },
        })
    }

    pub fn say(&mut self, source: SourceId, words: Vec<Word>) -> Vec<Host> {
        self.list(source, Authority::Fresh, 0, words)
    }

    pub fn leave(
        &mut self,
        source: SourceId,
        index: u64,
        keys: impl IntoIterator<Item = String>,
    ) -> Vec<Host> {
        let left = keys.into_iter().map(|key| (key, index)).collect();
        let list = List {
            authority: Authority::Fresh,
            history: 0,
            words: vec![],
            left,
        };
        self.feed(Event::Listed { source, list })
    }

    /// What the driver has of a server: `Gone` where it has nothing.
    pub fn state(&self, id: &str) -> State {
        self.driver.get(id).map_or(State::Gone, |host| host.state)
    }

    pub fn ready(&self) -> usize {
        self.driver
            .values()
            .filter(|host| host.state == State::Ready)
            .count()
    }
}

pub fn host(id: &str) -> Host {
    Host {
        address: Some(address(id)),
        ..Host::named(id)
    }
}

/// An address made of the number in an id.
pub fn address(id: &str) -> std::net::SocketAddr {
    let number: u16 = id
        .trim_start_matches(|c: char| !c.is_ascii_digit())
        .parse()
        .expect("a number");
    ([10, 0, 0, 1], 1_000 + number).into()
}

pub fn word(id: &str, state: State, index: u64) -> Word {
    Word {
        key: id.into(),
        state,
        index,
        host: Some(host(id)),
    }
}

pub fn words(ids: std::ops::Range<usize>, state: State, index: u64) -> Vec<Word> {
    ids.map(|id| word(&format!("s-{id}"), state, index))
        .collect()
}
