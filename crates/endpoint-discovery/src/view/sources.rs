//! The set of all sources: maps their keys to endpoint ids, and combines their assertions about an
//! endpoint and their descriptions of it.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use crate::endpoint::{Endpoint, Lifecycle};
use crate::merge::{EffectiveAssertion, SourceStatus};
use crate::source::{KeySet, MatchBy, Source, SourcePolicy};
use crate::view::address_index::AddressIndex;
use crate::view::SourceId;

/// The sources in their order of precedence, and the index for those that match by address.
pub(super) struct Sources {
    sources: Vec<Source>,
    addresses: AddressIndex,
}

/// One source's description of an endpoint, with the properties that determine its precedence.
struct Description<'a> {
    may_add_endpoints: bool,
    /// Whether the source still lists the endpoint.
    is_present: bool,
    endpoint: &'a Endpoint,
}

impl Description<'_> {
    /// Descriptions from sources that may add endpoints come first, then those from sources that
    /// still list this one, then those with the latest start time.
    fn precedence(&self, other: &Self) -> Ordering {
        let by_start = other
            .endpoint
            .started_at_ms
            .total_cmp(&self.endpoint.started_at_ms);
        other
            .may_add_endpoints
            .cmp(&self.may_add_endpoints)
            .then(other.is_present.cmp(&self.is_present))
            .then(by_start)
    }
}

impl Sources {
    pub fn new(policies: Vec<SourcePolicy>) -> Self {
        Self {
            sources: policies.into_iter().map(Source::new).collect(),
            addresses: AddressIndex::default(),
        }
    }

    /// Adds a source. It replaces an empty source of the same name, so that repeatedly removing and
    /// adding a source does not grow the list.
    pub fn add(&mut self, policy: SourcePolicy) -> SourceId {
        let reusable = self
            .sources
            .iter()
            .position(|source| source.policy.name == policy.name && source.is_empty());
        if let Some(id) = reusable {
            self.sources[id] = Source::new(policy);
            id
        } else {
            self.sources.push(Source::new(policy));
            self.sources.len() - 1
        }
    }

    pub fn len(&self) -> usize {
        self.sources.len()
    }

    pub fn get(&self, id: SourceId) -> Option<&Source> {
        self.sources.get(id)
    }

    pub fn get_mut(&mut self, id: SourceId) -> Option<&mut Source> {
        self.sources.get_mut(id)
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.sources
            .iter()
            .map(|source| source.policy.name.as_str())
    }

    /// The ids of the endpoints that a source's keys identify. If the source matches by id, this
    /// also updates the address index.
    pub fn endpoint_ids(&mut self, id: SourceId, keys: KeySet) -> BTreeSet<String> {
        let Some(source) = self.sources.get(id) else {
            return BTreeSet::new();
        };
        if source.policy.match_by == MatchBy::Address {
            let ids = keys
                .iter()
                .flat_map(|address| self.addresses.ids_at(address));
            return ids.cloned().collect();
        }
        for endpoint_id in &keys {
            let address = self
                .attributes(endpoint_id)
                .and_then(|endpoint| endpoint.address);
            self.addresses
                .set(endpoint_id, address.map(|address| address.to_string()));
        }
        keys
    }

    /// The pending keys of a source that another source, which has not expired, reports as ready.
    /// Empty if the source matches by address, or if its policy does not need them.
    pub fn ready_elsewhere(&self, id: SourceId) -> KeySet {
        let source = &self.sources[id];
        if source.policy.defers_undisputed_removals || source.policy.match_by == MatchBy::Address {
            return KeySet::new();
        }
        let is_ready_elsewhere = |endpoint_id: &&String| {
            self.sources.iter().enumerate().any(|(other_id, other)| {
                other_id != id
                    && other.status() != SourceStatus::Expired
                    && self.lifecycle(other, endpoint_id) == Some(Lifecycle::Ready)
            })
        };
        source
            .pending()
            .iter()
            .filter(is_ready_elsewhere)
            .cloned()
            .collect()
    }

    /// The attributes of an endpoint: the description that takes precedence, with unknown
    /// attributes filled from the others. `None` if no source describes it.
    pub fn attributes(&self, id: &str) -> Option<Endpoint> {
        let mut descriptions: Vec<_> = self
            .sources
            .iter()
            .filter(|source| source.policy.match_by == MatchBy::Id)
            .filter_map(|source| {
                let is_present = source
                    .lifecycle(id)
                    .is_some_and(|lifecycle| lifecycle != Lifecycle::Gone);
                Some(Description {
                    may_add_endpoints: source.policy.may_add_endpoints,
                    is_present,
                    endpoint: source.endpoint(id)?,
                })
            })
            .collect();
        // The sort is stable: among equals the first source takes precedence.
        descriptions.sort_by(Description::precedence);
        let mut descriptions = descriptions.into_iter();
        let mut attributes = descriptions.next()?.endpoint.clone();
        for other in descriptions {
            attributes.fill_missing_from(other.endpoint);
        }
        Some(attributes)
    }

    /// The effective assertion of each source about an endpoint.
    pub fn assertions(&self, id: &str) -> Vec<EffectiveAssertion> {
        let started_at_ms = self.started_at_ms(id);
        self.sources
            .iter()
            .map(|source| EffectiveAssertion {
                lifecycle: self.lifecycle(source, id),
                source_status: source.status(),
                may_add_endpoints: source.policy.may_add_endpoints,
                superseded_by_restart: self
                    .key(source, id)
                    .is_some_and(|key| started_at_ms > source.effective_since_ms(key)),
            })
            .collect()
    }

    /// The latest start time of an endpoint that any source reports; 0 if none does.
    fn started_at_ms(&self, id: &str) -> f64 {
        let attributes = self.attributes(id);
        self.sources
            .iter()
            .filter_map(|source| source.endpoint(self.key(source, id)?))
            .chain(attributes.as_ref())
            .map(|endpoint| endpoint.started_at_ms)
            .fold(0.0, f64::max)
    }

    /// A source's key for an endpoint; `None` if the source matches by address and the endpoint's
    /// address is unknown.
    fn key<'a>(&'a self, source: &Source, id: &'a str) -> Option<&'a str> {
        match source.policy.match_by {
            MatchBy::Id => Some(id),
            MatchBy::Address => self.addresses.address_of(id),
        }
    }

    fn lifecycle(&self, source: &Source, id: &str) -> Option<Lifecycle> {
        source.lifecycle(self.key(source, id)?)
    }
}
