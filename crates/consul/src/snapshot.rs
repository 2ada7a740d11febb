//! The instances of the last complete response, and the changes that the next one makes.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::rc::Rc;

use crate::instance::{Instance, InstanceError};
use crate::mapping::{MappedEndpoint, Mapping};
use crate::query::Api;

/// Maximum number of instances in a response, equal to the merged view's limit of endpoints per
/// source.
pub const MAX_INSTANCES: usize = 20_000;

/// Difference between a response and the previous one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// New or changed endpoints, sorted by key.
    pub updated: Vec<Rc<MappedEndpoint>>,
    /// Keys of endpoints that no instance describes any longer.
    pub removed: Vec<String>,
}

impl Change {
    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.updated.is_empty() && self.removed.is_empty()
    }
}

/// Error for a response that has more than [`MAX_INSTANCES`] instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyInstances;

impl fmt::Display for TooManyInstances {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many instances")
    }
}

impl std::error::Error for TooManyInstances {}

/// Instances of a response that could not be parsed.
#[derive(Debug)]
pub struct MalformedInstances {
    /// The number of these instances; at least one.
    pub count: usize,
    /// The error of the first one.
    pub first_error: InstanceError,
}

/// An instance of the last complete response.
struct CachedInstance {
    /// `None` if the instance does not identify an endpoint.
    endpoint: Option<Rc<MappedEndpoint>>,
    /// The number of the last response that contained the instance.
    last_response: u64,
}

/// An instance of the current response that the last complete one did not contain.
struct NewInstance {
    hash: u64,
    /// `None` if the instance does not identify an endpoint.
    endpoint: Option<Rc<MappedEndpoint>>,
}

/// The instances of the last complete response.
///
/// Instances are recognized by a hash of their bytes: an unchanged instance is not parsed again.
/// The hash function has a random key in each process, so that nobody can construct two instances
/// that collide.
#[derive(Default)]
pub struct Snapshot {
    hasher: RandomState,
    instances: HashMap<u64, CachedInstance>,
    /// The hashes of the instances that describe an endpoint, by its key.
    hashes_by_key: HashMap<String, Vec<u64>>,
    /// The endpoints as last reported, by key.
    reported_endpoints: HashMap<String, Rc<MappedEndpoint>>,
    /// The number of the current response, which increases by one with each response.
    current_response: u64,
    /// Instances of the current response that the last complete one did not contain.
    new_instances: Vec<NewInstance>,
    /// Number of instances of the current response that have been received.
    received_count: usize,
    malformed: Option<MalformedInstances>,
    /// Number of instances of the current response that do not identify an endpoint.
    unidentified_count: usize,
}

impl Snapshot {
    /// Begins a response, and discards an incomplete one.
    pub fn begin(&mut self) {
        self.current_response += 1;
        self.new_instances.clear();
        self.received_count = 0;
        self.unidentified_count = 0;
        self.malformed = None;
    }

    /// Adds an instance of the current response.
    ///
    /// # Errors
    ///
    /// The response has more than [`MAX_INSTANCES`] instances. An instance that cannot be parsed is
    /// not an error; it is counted in [`malformed`](Self::malformed).
    pub fn add(
        &mut self,
        api: Api,
        mapping: &Mapping,
        element: &[u8],
    ) -> Result<(), TooManyInstances> {
        self.received_count += 1;
        if self.received_count > MAX_INSTANCES {
            return Err(TooManyInstances);
        }
        let hash = self.hash(element);
        if let Some(cached) = self.instances.get_mut(&hash) {
            cached.last_response = self.current_response;
            self.unidentified_count += usize::from(cached.endpoint.is_none());
            return Ok(());
        }
        match Instance::parse(api, element) {
            Ok(instance) => {
                let endpoint = mapping.apply(&instance).ok().map(Rc::new);
                self.unidentified_count += usize::from(endpoint.is_none());
                self.new_instances.push(NewInstance { hash, endpoint });
            }
            Err(error) => self.count_malformed(error),
        }
        Ok(())
    }

    /// The instances of the current response that could not be parsed.
    #[must_use]
    pub fn malformed(&self) -> Option<&MalformedInstances> {
        self.malformed.as_ref()
    }

    /// Number of instances of the current response that do not identify an endpoint.
    #[must_use]
    pub fn unidentified_count(&self) -> usize {
        self.unidentified_count
    }

    /// Number of distinct instances in the last complete response.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// Completes the current response, which replaces the previous one; returns the difference.
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

    /// Drops the instances that the current response does not contain; returns the keys of their
    /// endpoints.
    fn drop_missing_instances(&mut self) -> BTreeSet<String> {
        let mut affected_keys = BTreeSet::new();
        let (current_response, hashes_by_key) = (self.current_response, &mut self.hashes_by_key);
        self.instances.retain(|hash, instance| {
            if instance.last_response == current_response {
                return true;
            }
            if let Some(endpoint) = &instance.endpoint {
                if let Some(hashes) = hashes_by_key.get_mut(&endpoint.key) {
                    hashes.retain(|other| other != hash);
                }
                affected_keys.insert(endpoint.key.clone());
            }
            false
        });
        affected_keys
    }

    /// Inserts the new instances; returns the keys of their endpoints.
    fn insert_new_instances(&mut self) -> BTreeSet<String> {
        let mut affected_keys = BTreeSet::new();
        for NewInstance { hash, endpoint } in self.new_instances.drain(..) {
            // Identical elements of one response count as one instance.
            if self.instances.contains_key(&hash) {
                continue;
            }
            if let Some(endpoint) = &endpoint {
                let hashes = self.hashes_by_key.entry(endpoint.key.clone()).or_default();
                hashes.push(hash);
                affected_keys.insert(endpoint.key.clone());
            }
            let last_response = self.current_response;
            let instance = CachedInstance {
                endpoint,
                last_response,
            };
            self.instances.insert(hash, instance);
        }
        affected_keys
    }

    /// Adds an endpoint to `change` if it differs from what was last reported. Of several instances
    /// of one endpoint, the most recently registered is used, and of those the most severe.
    fn update_endpoint(&mut self, key: String, change: &mut Change) {
        let hashes = self.hashes_by_key.get(&key).into_iter().flatten();
        let current = hashes
            .filter_map(|hash| self.instances.get(hash)?.endpoint.clone())
            .max_by_key(|endpoint| (endpoint.modify_index, endpoint.lifecycle, endpoint.address));
        if let Some(endpoint) = current {
            if self.reported_endpoints.get(&key) != Some(&endpoint) {
                self.reported_endpoints.insert(key, Rc::clone(&endpoint));
                change.updated.push(endpoint);
            }
        } else {
            self.hashes_by_key.remove(&key);
            if self.reported_endpoints.remove(&key).is_some() {
                change.removed.push(key);
            }
        }
    }
}
