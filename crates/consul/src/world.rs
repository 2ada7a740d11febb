//! The instances of the last whole answer, and what the next one changes.

use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::rc::Rc;

use crate::instance::{Instance, Malformed};
use crate::mapping::{Mapping, Said};
use crate::query::Api;

/// The most instances of an answer: as many as the view of the servers holds.
pub const MOST_INSTANCES: usize = 20_000;

/// What an answer changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// What is said anew, in the order of the keys.
    pub said: Vec<Rc<Said>>,
    /// Keys of which nothing is said any more.
    pub left: Vec<String>,
}

impl Change {
    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.said.is_empty() && self.left.is_empty()
    }
}

struct Entry {
    /// `None`: it is no server, and known not to be.
    said: Option<Rc<Said>>,
    /// The answer that it was last in.
    round: u64,
}

/// The world as the last whole answer had it.
///
/// Instances are known by a hash of their bytes: one that has not changed is not read again. The hash is keyed anew in
/// each process, so that nobody can make two instances look alike.
pub struct World {
    hasher: RandomState,
    entries: HashMap<u64, Entry>,
    /// The instances that speak for a key.
    keys: HashMap<String, Vec<u64>>,
    told: HashMap<String, Rc<Said>>,
    round: u64,
    /// What the answer that is being read has that no earlier one had.
    fresh: Vec<(u64, Option<Rc<Said>>)>,
    seen: usize,
    /// Instances of it that could not be read, and the first error.
    malformed: Option<(usize, Malformed)>,
    unusable: usize,
}

impl Default for World {
    fn default() -> Self {
        Self {
            hasher: RandomState::new(),
            entries: HashMap::new(),
            keys: HashMap::new(),
            told: HashMap::new(),
            round: 0,
            fresh: Vec::new(),
            seen: 0,
            malformed: None,
            unusable: 0,
        }
    }
}

impl World {
    /// An answer begins; what was read of one that did not end is forgotten.
    pub fn begin(&mut self) {
        self.round += 1;
        self.fresh.clear();
        (self.seen, self.unusable, self.malformed) = (0, 0, None);
    }

    /// Takes an instance of the answer. `false`: there are too many.
    pub fn add(&mut self, api: Api, mapping: &Mapping, element: &[u8]) -> bool {
        self.seen += 1;
        if self.seen > MOST_INSTANCES {
            return false;
        }
        let mut hasher = self.hasher.build_hasher();
        hasher.write(element);
        let hash = hasher.finish();
        if let Some(entry) = self.entries.get_mut(&hash) {
            entry.round = self.round;
            self.unusable += usize::from(entry.said.is_none());
            return true;
        }
        match Instance::read(api, element) {
            Ok(instance) => {
                let said = mapping.read(&instance).ok().map(Rc::new);
                self.unusable += usize::from(said.is_none());
                self.fresh.push((hash, said));
            }
            Err(error) => match &mut self.malformed {
                Some((count, _)) => *count += 1,
                None => self.malformed = Some((1, error)),
            },
        }
        true
    }

    /// How many instances of the answer could not be read, with the first error.
    #[must_use]
    pub fn malformed(&self) -> Option<&(usize, Malformed)> {
        self.malformed.as_ref()
    }

    /// How many instances of the answer name no server.
    #[must_use]
    pub fn unusable(&self) -> usize {
        self.unusable
    }

    /// How many instances the last whole answer had.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.entries.len()
    }

    /// The answer is whole: it is the world now.
    pub fn commit(&mut self) -> Change {
        let round = self.round;
        let mut touched = BTreeSet::new();
        let keys = &mut self.keys;
        self.entries.retain(|hash, entry| {
            if entry.round == round {
                return true;
            }
            if let Some(said) = &entry.said {
                if let Some(speakers) = keys.get_mut(&said.key) {
                    speakers.retain(|speaker| speaker != hash);
                }
                touched.insert(said.key.clone());
            }
            false
        });
        for (hash, said) in self.fresh.drain(..) {
            // The same bytes twice in one answer are one instance.
            if self.entries.contains_key(&hash) {
                continue;
            }
            if let Some(said) = &said {
                keys.entry(said.key.clone()).or_default().push(hash);
                touched.insert(said.key.clone());
            }
            self.entries.insert(hash, Entry { said, round });
        }
        let mut change = Change::default();
        for key in touched {
            self.retell(key, &mut change);
        }
        change
    }

    /// Of several instances for one server the one that was registered last speaks, and of those the gravest.
    fn retell(&mut self, key: String, change: &mut Change) {
        let speakers = self.keys.get(&key).into_iter().flatten();
        let said = speakers.filter_map(|hash| self.entries.get(hash)?.said.clone());
        if let Some(said) =
            said.max_by_key(|said| (said.registered, said.state, said.facts.address))
        {
            if self.told.get(&key) != Some(&said) {
                self.told.insert(key, Rc::clone(&said));
                change.said.push(said);
            }
        } else {
            self.keys.remove(&key);
            if self.told.remove(&key).is_some() {
                change.left.push(key);
            }
        }
    }
}
