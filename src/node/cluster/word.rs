//! Word of bad servers among the nodes: [`duties`] decides what is said and what is believed; reports go in datagrams of
//! [`gossip`], and what is believed goes to the module as hints.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::{Rc, Weak};

use gossip::{Event as Gossiped, MemberId, State};
use outlier_detection::{Action, Event, Hint, Kind, NodeKey, ServerKey, Settings, Word};

use super::{boot_ms, metric_lines, Cluster};
use crate::node::admin::log;
use crate::node::clock::Alarm;
use crate::node::driver::Driver;
use balancer::{Ending, ServerId};

/// A node's part in it.
pub struct Part {
    word: RefCell<Word>,
    driver: Rc<Driver>,
    alarm: Alarm,
    /// Which list of the driver's the servers are of, and what they are to it.
    listed: Cell<Option<u64>>,
    numbers: RefCell<HashMap<ServerKey, ServerId>>,
    /// The most that a server that is spared still has.
    floor: f64,
}

/// How an attempt failed; none: it did not, or that says nothing of the server.
fn failed(ending: Ending) -> Option<Option<Kind>> {
    match ending {
        Ending::Served | Ending::Rejected => Some(None),
        Ending::Error => Some(Some(Kind::Error)),
        Ending::Unreachable => Some(Some(Kind::Unreachable)),
        Ending::Reset | Ending::Spoilt => Some(Some(Kind::Broken)),
        Ending::TimedOut => Some(Some(Kind::Silent)),
        Ending::Full | Ending::Cancelled | Ending::NotSent => None,
    }
}

impl Part {
    /// Of a node that starts now.
    pub fn new(now: f64, settings: Settings, driver: Rc<Driver>) -> Result<Self, String> {
        let word = Word::new(now, settings, fastrand::f64()).map_err(|error| error.to_string())?;
        let (word, numbers, floor) = (RefCell::new(word), RefCell::default(), settings.floor);
        Ok(Self {
            word,
            driver,
            alarm: Alarm::new(),
            listed: Cell::new(None),
            numbers,
            floor,
        })
    }

    /// Takes the driver's list, if it has another one now.
    fn relist(&self, actions: &mut Vec<Action>) {
        let list = self.driver.list_number();
        if self.listed.replace(Some(list)) == Some(list) {
            return;
        }
        let servers = self.driver.server_keys();
        let keys: Vec<_> = servers.iter().map(|(_, key)| ServerKey(*key)).collect();
        *self.numbers.borrow_mut() = servers
            .iter()
            .map(|(number, key)| (ServerKey(*key), *number))
            .collect();
        self.word
            .borrow_mut()
            .handle(boot_ms(), Event::Servers(&keys), actions);
    }
}

impl Cluster {
    /// Something happens to what is said of servers.
    pub(super) fn word_event(self: &Rc<Self>, event: Event<'_>) {
        let Some(part) = &self.word else { return };
        let mut actions = Vec::new();
        part.relist(&mut actions);
        part.word
            .borrow_mut()
            .handle(boot_ms(), event, &mut actions);
        for action in actions {
            match action {
                Action::Tell(bytes) => self.tell_all(&bytes),
                Action::WakeAt(at) => part.alarm.set(at),
                Action::Hint(key, weight) => {
                    let number = part.numbers.borrow().get(&key).copied();
                    if let Some(number) = number {
                        let name = part.driver.server_name(number).unwrap_or_default();
                        if weight >= 1.0 {
                            log::line(format_args!("word: {name} has its whole share again"));
                        } else if weight <= part.floor {
                            log::line(format_args!(
                                "word: other nodes complain of {name}: it is spared"
                            ));
                        }
                        part.driver.hint(number, weight);
                    }
                }
            }
        }
    }

    /// Says something to all nodes that are believed to be there.
    fn tell_all(self: &Rc<Self>, bytes: &[u8]) {
        let others: Vec<_> = {
            let gossip = self.gossip.borrow();
            let there = |state| matches!(state, State::Alive | State::Suspect);
            let others = gossip
                .members()
                .filter(|member| !member.is_self && there(member.state));
            others.map(|member| MemberId::of(&member.name)).collect()
        };
        others
            .into_iter()
            .for_each(|to| self.handle_gossip_event(Gossiped::SendPayload { to, bytes }));
    }

    pub(super) fn say_how_many(self: &Rc<Self>) {
        let nodes = {
            let gossip = self.gossip.borrow();
            gossip
                .members()
                .filter(|member| matches!(member.state, State::Alive | State::Suspect))
                .count()
        };
        self.word_event(Event::Nodes(nodes));
    }

    pub(super) fn heard_word(self: &Rc<Self>, from: MemberId, bytes: &[u8]) {
        self.word_event(Event::Said(NodeKey(from.0), bytes));
    }

    /// Hears how each attempt ends from here on, and speaks in its turns.
    pub(super) async fn wake_word(self: Rc<Self>) {
        let Some(part) = &self.word else { return };
        let fleet: Weak<Self> = Rc::downgrade(&self);
        part.driver.watch(move |key, ending| {
            if let (Some(fleet), Some(failed)) = (fleet.upgrade(), failed(ending)) {
                fleet.word_event(Event::Ended(ServerKey(key), failed));
            }
        });
        part.alarm.set(0.0);
        loop {
            part.alarm.rings(boot_ms).await;
            self.word_event(Event::Due);
        }
    }

    /// What `HINTS` answers, but for its last line.
    #[must_use]
    pub fn hints(&self) -> Option<String> {
        let part = self.word.as_ref()?;
        let word = part.word.borrow();
        let hints: Vec<_> = word.hints().collect();
        let mut text = format!("self {} {}\n", self.name, hints.len());
        let numbers = part.numbers.borrow();
        for Hint {
            server,
            kind,
            reporters,
            age_ms,
            weight,
        } in hints
        {
            let name = numbers
                .get(&server)
                .and_then(|number| part.driver.server_name(*number));
            let (name, kind) = (name.unwrap_or_else(|| "-".into()), kind.name());
            let _ = writeln!(text, "{name} {kind} {reporters} {age_ms:.0} {weight:.2}");
            // Text grows without fail.
        }
        Some(text)
    }

    pub(super) fn word_figures(&self) -> String {
        let Some(part) = &self.word else {
            return String::new();
        };
        let word = part.word.borrow();
        let figures = word.figures();
        let spared = word.hints().filter(|hint| hint.weight < 1.0).count() as u64;
        let lines = [
            ("spared", spared, 'g'),
            ("told", figures.told, 'c'),
            ("heard", figures.heard, 'c'),
            ("unknown", figures.unknown, 'c'),
            ("void", figures.void, 'c'),
            ("suspected", figures.suspected, 'c'),
            ("panics", figures.panics, 'c'),
        ];
        metric_lines("word", &lines)
    }
}
