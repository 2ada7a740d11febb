//! The instances of the last complete response, and what the next one changes.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::rc::Rc;

use crate::instance::{Instance, InstanceError};
use crate::mapping::{MappedEndpoint, Mapping};
use crate::query::Api;

/// The most instances in a response: as many endpoints as the merged view holds per source.
pub const MAX_INSTANCES: usize = 20_000;

/// What a response changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// New or changed endpoints, sorted by key.
    pub updated: Vec<Rc<MappedEndpoint>>,
    /// Keys of endpoints that no instance describes any more.
    pub removed: Vec<String>,
}

impl Change {
    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.updated.is_empty() && self.removed.is_empty()
    }
}

/// A response has more than [`MAX_INSTANCES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyInstances;

impl fmt::Display for TooManyInstances {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it has too many instances")
    }
}

impl std::error::Error for TooManyInstances {}

/// Instances of a response that could not be parsed.
#[derive(Debug)]
pub struct MalformedInstances {
    /// How many; at least one.
    pub count: usize,
    /// The error of the first.
    pub first_error: InstanceError,
}

struct CachedInstance {
    /// `None` if it identifies no endpoint.
    facts: Option<Rc<MappedEndpoint>>,
    /// The last response that contained it.
    response: u64,
}

/// A new instance of the response that is being received.
struct NewInstance {
    hash: u64,
    facts: Option<Rc<MappedEndpoint>>,
}

/// The instances of the last complete response.
///
/// Instances are recognized by a hash of their bytes: one that has not changed is not parsed again.
/// The hash is keyed anew in each process, so that nobody can construct two instances that collide.
#[derive(Default)]
pub struct Snapshot {
    hasher: RandomState,
    instances: HashMap<u64, CachedInstance>,
    /// The hashes of the instances that describe an endpoint, by its key.
    hashes_by_key: HashMap<String, Vec<u64>>,
    /// What was last reported, by key.
    reported: HashMap<String, Rc<MappedEndpoint>>,
    /// The number of the response that is being received.
    response: u64,
    /// The instances of that response that no earlier one had.
    new_instances: Vec<NewInstance>,
    received: usize,
    malformed: Option<MalformedInstances>,
    unidentified: usize,
}

impl Snapshot {
    /// Begins a response; discards what was received of one that was not completed.
    pub fn begin(&mut self) {
        self.response += 1;
        self.new_instances.clear();
        self.received = 0;
        self.unidentified = 0;
        self.malformed = None;
    }

    /// Adds an instance of the response.
    ///
    /// # Errors
    ///
    /// The response has too many instances. One that cannot be parsed is no error, but counted in
    /// [`malformed`](Self::malformed).
    pub fn add(
        &mut self,
        api: Api,
        mapping: &Mapping,
        element: &[u8],
    ) -> Result<(), TooManyInstances> {
        self.received += 1;
        if self.received > MAX_INSTANCES {
            return Err(TooManyInstances);
        }
        let hash = self.hash(element);
        if let Some(known) = self.instances.get_mut(&hash) {
            known.response = self.response;
            self.unidentified += usize::from(known.facts.is_none());
            return Ok(());
        }
        match Instance::parse(api, element) {
            Ok(instance) => {
                let facts = mapping.apply(&instance).ok().map(Rc::new);
                self.unidentified += usize::from(facts.is_none());
                self.new_instances.push(NewInstance { hash, facts });
            }
            Err(error) => self.count_malformed(error),
        }
        Ok(())
    }

    /// The instances of the response that could not be parsed.
    #[must_use]
    pub fn malformed(&self) -> Option<&MalformedInstances> {
        self.malformed.as_ref()
    }

    /// How many instances of the response identify no endpoint.
    #[must_use]
    pub fn unidentified(&self) -> usize {
        self.unidentified
    }

    /// How many instances the last complete response had.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// Completes the response: it replaces the last one. Returns what that changes.
    pub fn commit(&mut self) -> Change {
        let mut affected_keys = self.drop_missing_instances();
        affected_keys.extend(self.insert_new_instances());
        let mut change = Change::default();
        for key in affected_keys {
            self.update_endpoint(key, &mut change);
        }
        change
    }

    fn hash(&self, element: &[u8]) -> u64 {
        let mut hasher = self.hasher.build_hasher();
        hasher.write(element);
        hasher.finish()
    }

    fn count_malformed(&mut self, error: InstanceError) {
        match &mut self.malformed {
            Some(malformed) => malformed.count += 1,
            None => {
                self.malformed = Some(MalformedInstances {
                    count: 1,
                    first_error: error,
                });
            }
        }
    }

    /// Drops the instances that the response does not contain; returns the keys that they described.
    fn drop_missing_instances(&mut self) -> BTreeSet<String> {
        let mut affected_keys = BTreeSet::new();
        let (response, hashes_by_key) = (self.response, &mut self.hashes_by_key);
        self.instances.retain(|hash, instance| {
            if instance.response == response {
                return true;
            }
            if let Some(facts) = &instance.facts {
                if let Some(hashes) = hashes_by_key.get_mut(&facts.key) {
                    hashes.retain(|other| other != hash);
                }
                affected_keys.insert(facts.key.clone());
            }
            false
        });
        affected_keys
    }

    /// Inserts the new instances; returns the keys that they describe.
    fn insert_new_instances(&mut self) -> BTreeSet<String> {
        let mut affected_keys = BTreeSet::new();
        for NewInstance { hash, facts } in self.new_instances.drain(..) {
            // The same bytes twice in one response are one instance.
            if self.instances.contains_key(&hash) {
                continue;
            }
            if let Some(facts) = &facts {
                let hashes = self.hashes_by_key.entry(facts.key.clone()).or_default();
                hashes.push(hash);
                affected_keys.insert(facts.key.clone());
            }
            let response = self.response;
            let instance = CachedInstance { facts, response };
            self.instances.insert(hash, instance);
        }
        affected_keys
    }

    /// Of several instances of one endpoint the one that was registered last counts, and of those
    /// the most severe.
    fn update_endpoint(&mut self, key: String, change: &mut Change) {
        let hashes = self.hashes_by_key.get(&key).into_iter().flatten();
        let current = hashes
            .filter_map(|hash| self.instances.get(hash)?.facts.clone())
            .max_by_key(|facts| (facts.modify_index, facts.lifecycle, facts.address));
        if let Some(facts) = current {
            if self.reported.get(&key) != Some(&facts) {
                self.reported.insert(key, Rc::clone(&facts));
                change.updated.push(facts);
            }
        } else {
            self.hashes_by_key.remove(&key);
            if self.reported.remove(&key).is_some() {
                change.removed.push(key);
            }
        }
    }
}
