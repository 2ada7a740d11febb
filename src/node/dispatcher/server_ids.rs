//! The ids and keys of servers, and the updates of the endpoint list.
//!
//! [`ServerIds`] owns the mapping from endpoint names to the balancer's ids. An id is never reused: an endpoint that
//! is removed and returns gets a new id, so that an attempt still in flight to the old server is not counted for the
//! new one.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use admin::ServerGauges;
use endpoint_discovery::{Endpoint, Lifecycle};

use super::Dispatcher;
use crate::node::upstream::addresses::ConfiguredAddresses;
use balancer::{Availability, Event, ServerEntry, ServerId, ServerListUpdate};

/// The ids and keys of the endpoints in the current list.
#[derive(Default)]
pub(super) struct ServerIds {
    /// Ids by endpoint name.
    ids: HashMap<String, ServerId>,
    next_id: usize,
    /// The cluster-wide key of each server, the same on all nodes.
    keys: HashMap<ServerId, u64>,
    /// Number of updates of the list so far.
    list_version: u64,
}

impl ServerIds {
    /// The cluster-wide key of a server in the list.
    pub(super) fn key(&self, server: ServerId) -> Option<u64> {
        self.keys.get(&server).copied()
    }

    /// Returns the id of an endpoint, and assigns a new one if it has none.
    fn assign(&mut self, endpoint: &Endpoint) -> ServerId {
        let next_id = &mut self.next_id;
        *self.ids.entry(endpoint.id.clone()).or_insert_with(|| {
            let id = ServerId(*next_id);
            *next_id += 1;
            id
        })
    }

    /// Removes an endpoint by its name and returns its former id.
    fn remove(&mut self, name: &str) -> Option<ServerId> {
        let id = self.ids.remove(name)?;
        self.keys.remove(&id);
        Some(id)
    }

    /// Removes the endpoints with these ids.
    fn remove_ids(&mut self, removed: &[ServerId]) {
        self.ids.retain(|_, id| !removed.contains(id));
        for id in removed {
            self.keys.remove(id);
        }
    }

    /// Removes the endpoints that are missing from a full list, and returns their former ids.
    fn remove_unlisted(&mut self, listed: &HashSet<&str>) -> Vec<ServerId> {
        let mut removed = Vec::new();
        self.ids.retain(|name, id| {
            let is_listed = listed.contains(name.as_str());
            if !is_listed {
                removed.push(*id);
            }
            is_listed
        });
        for id in &removed {
            self.keys.remove(id);
        }
        removed
    }
}

/// The cluster-wide key of this incarnation of a server. A server that restarts under the same name gets another key.
fn incarnation_key(endpoint: &Endpoint) -> u64 {
    stable_hash::hash_name(&endpoint.id) ^ stable_hash::mix(endpoint.started_at_ms.to_bits())
}

fn availability(lifecycle: Lifecycle) -> Availability {
    match lifecycle {
        Lifecycle::Ready => Availability::Ready,
        Lifecycle::Draining => Availability::Draining,
        Lifecycle::Gone => Availability::Gone,
    }
}

impl Dispatcher {
    /// Replaces the whole endpoint list.
    pub fn replace_endpoints(self: &Rc<Self>, endpoints: &[Endpoint]) {
        self.remove_unlisted(endpoints);
        let entries = self.apply_endpoints(endpoints);
        self.handle_event(Event::ServerList(ServerListUpdate::Full(entries)));
    }

    /// Applies the endpoints that changed.
    pub fn update_endpoints(self: &Rc<Self>, endpoints: &[Endpoint]) {
        let entries = self.apply_endpoints(endpoints);
        self.handle_event(Event::ServerList(ServerListUpdate::Changes(entries)));
    }

    /// Applies the endpoint list that the configuration holds from an earlier run.
    pub(super) fn use_cached_endpoints(self: &Rc<Self>, endpoints: &[Endpoint]) {
        self.remove_unlisted(endpoints);
        let entries = self.apply_endpoints(endpoints);
        self.handle_event(Event::ServerList(ServerListUpdate::Cached(entries)));
    }

    /// Reports that the endpoint list is unavailable or that its watch has ended.
    pub fn endpoint_list_failed(self: &Rc<Self>) {
        self.handle_event(Event::ServerList(ServerListUpdate::Failed));
    }

    /// Replaces the servers' configured addresses.
    pub fn set_configured_addresses(self: &Rc<Self>, configured: ConfiguredAddresses) {
        let endpoints = self.servers.set_configured_addresses(configured);
        if !endpoints.is_empty() {
            self.update_endpoints(&endpoints);
        }
    }

    /// The version of the endpoint list; every update changes it.
    #[must_use]
    pub fn endpoint_list_version(&self) -> u64 {
        self.server_ids.borrow().list_version
    }

    /// All servers in the list with their cluster-wide keys.
    #[must_use]
    pub fn server_keys(&self) -> Vec<(ServerId, u64)> {
        let server_ids = self.server_ids.borrow();
        server_ids
            .keys
            .iter()
            .map(|(id, key)| (*id, *key))
            .collect()
    }

    /// The name of a server in the list.
    #[must_use]
    pub fn server_name(&self, server: ServerId) -> Option<String> {
        let server_ids = self.server_ids.borrow();
        server_ids
            .ids
            .iter()
            .find(|(_, id)| **id == server)
            .map(|(name, _)| name.clone())
    }

    /// The number of servers in the list, and how many of them the balancer excludes.
    #[must_use]
    pub fn server_gauges(&self) -> ServerGauges {
        ServerGauges {
            known: self.server_ids.borrow().ids.len(),
            excluded: self.balancer.borrow().servers_excluded(self.now_ms()),
        }
    }

    /// Removes the servers that are missing from a full list.
    fn remove_unlisted(&self, endpoints: &[Endpoint]) {
        let listed = endpoints.iter().map(|endpoint| endpoint.id.as_str());
        let removed = self
            .server_ids
            .borrow_mut()
            .remove_unlisted(&listed.collect());
        self.remove_servers(&removed);
    }

    fn remove_servers(&self, removed: &[ServerId]) {
        for id in removed {
            self.servers.remove(*id);
        }
    }

    /// Applies endpoints to the ids and the connection pool, and returns the entries for the balancer: first the
    /// servers that are gone or displaced from their addresses, then the others.
    fn apply_endpoints(&self, endpoints: &[Endpoint]) -> Vec<ServerEntry> {
        let mut server_ids = self.server_ids.borrow_mut();
        let (gone, present): (Vec<_>, Vec<_>) = endpoints
            .iter()
            .partition(|endpoint| endpoint.lifecycle == Lifecycle::Gone);
        let mut removed: Vec<ServerId> = gone
            .into_iter()
            .filter_map(|endpoint| server_ids.remove(&endpoint.id))
            .collect();
        self.remove_servers(&removed);
        let mut present: Vec<(ServerId, &Endpoint)> = present
            .into_iter()
            .map(|endpoint| (server_ids.assign(endpoint), endpoint))
            .collect();
        let displaced = self.servers.update(&present);
        server_ids.remove_ids(&displaced);
        self.remove_servers(&displaced);
        present.retain(|(id, _)| !displaced.contains(id));
        removed.extend(displaced);
        for (id, endpoint) in &present {
            server_ids.keys.insert(*id, incarnation_key(endpoint));
        }
        server_ids.list_version += 1;
        let removed = removed
            .into_iter()
            .map(|id| ServerEntry::new(id, Availability::Gone));
        let present = present
            .into_iter()
            .map(|(id, endpoint)| self.server_entry(id, endpoint));
        removed.chain(present).collect()
    }

    fn server_entry(&self, server: ServerId, endpoint: &Endpoint) -> ServerEntry {
        ServerEntry {
            server,
            ring_position: stable_hash::hash_name(&endpoint.id),
            availability: availability(endpoint.lifecycle),
            started_at_ms: self.servers.started_at_ms(endpoint),
            cell: endpoint.cell.unwrap_or(0),
            zone: self.names.zones.get(&endpoint.zone).unwrap_or(0),
            machine_kind: self
                .names
                .machine_kinds
                .get(&endpoint.machine_type)
                .unwrap_or(0),
        }
    }
}
