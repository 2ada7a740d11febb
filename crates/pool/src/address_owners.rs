//! Ownership of addresses that several servers claim.
//!
//! Stores the claims of all servers and the owner of each address. Invariant: an address has at most one
//! owner, and has one if any ready server claims it. This keeps requests for a server that is gone from
//! reaching its successor at the same address.

use std::collections::{BTreeSet, HashMap};

use crate::action::ServerKey;
use crate::address::{Address, Route};

/// Routes that a server claims, as last reported.
#[derive(Clone, Debug)]
struct Claim {
    routes: Vec<Route>,
    started_at_ms: f64,
    is_ready: bool,
}

/// Effect of changed claims on the servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipChange {
    /// Servers whose routes may have changed, without the displaced ones.
    pub rerouted: BTreeSet<ServerKey>,
    /// Servers that claim addresses but own none, because other servers own them all: they count as gone.
    pub displaced: BTreeSet<ServerKey>,
}

/// The owner of each address.
///
/// Of several servers that claim an address, the one that started last owns it; of two that started at the
/// same time, the one that was reported last. A server that is not ready takes no address from another
/// server.
#[derive(Clone, Debug, Default)]
pub struct AddressOwners {
    claims: HashMap<ServerKey, Claim>,
    owners: HashMap<Address, ServerKey>,
}

impl AddressOwners {
    /// Creates a table without claims.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a server claims `routes`, and adds servers whose routes may have changed to
    /// `rerouted`.
    ///
    /// Servers may exchange addresses within one endpoint list, so call [`AddressOwners::resolve`] only after
    /// the claims of the complete list have been recorded.
    pub fn claim(
        &mut self,
        server: ServerKey,
        routes: Vec<Route>,
        started_at_ms: f64,
        is_ready: bool,
        rerouted: &mut BTreeSet<ServerKey>,
    ) {
        let is_unchanged = self.claims.get(&server).is_some_and(|claim| {
            claim.routes == routes
                && claim.started_at_ms.to_bits() == started_at_ms.to_bits()
                && claim.is_ready == is_ready
        });
        if is_unchanged && self.routes(server).len() == routes.len() {
            return;
        }
        rerouted.insert(server);
        self.release_except(server, &routes, rerouted);
        for route in &routes {
            let owner = self
                .owners
                .get(&route.address)
                .copied()
                .filter(|owner| *owner != server);
            if let Some(owner) = owner {
                let owner_is_newer = self
                    .claims
                    .get(&owner)
                    .is_some_and(|claim| claim.started_at_ms > started_at_ms);
                if owner_is_newer || !is_ready {
                    continue;
                }
                rerouted.insert(owner);
            }
            self.owners.insert(route.address.clone(), server);
        }
        let claim = Claim {
            routes,
            started_at_ms,
            is_ready,
        };
        self.claims.insert(server, claim);
    }

    /// Separates the displaced servers from the others whose routes may have changed.
    #[must_use]
    pub fn resolve(&self, rerouted: BTreeSet<ServerKey>) -> OwnershipChange {
        let is_displaced = |server: &ServerKey| {
            let claims_any = self
                .claims
                .get(server)
                .is_some_and(|claim| !claim.routes.is_empty());
            claims_any && self.routes(*server).is_empty()
        };
        let (displaced, rerouted) = rerouted.into_iter().partition(is_displaced);
        OwnershipChange {
            rerouted,
            displaced,
        }
    }

    /// Removes a server's claims, passes its addresses on to other servers that claim them, and returns those
    /// servers.
    pub fn remove(&mut self, server: ServerKey) -> BTreeSet<ServerKey> {
        let mut rerouted = BTreeSet::new();
        self.release_except(server, &[], &mut rerouted);
        self.claims.remove(&server);
        rerouted
    }

    /// Returns the routes that a server claims and owns.
    #[must_use]
    pub fn routes(&self, server: ServerKey) -> Vec<Route> {
        let Some(claim) = self.claims.get(&server) else {
            return Vec::new();
        };
        let is_owned = |route: &&Route| self.owners.get(&route.address) == Some(&server);
        claim.routes.iter().filter(is_owned).cloned().collect()
    }

    /// Releases the addresses that a server owns and that are not in `kept`, and passes them on to other
    /// servers that claim them.
    fn release_except(
        &mut self,
        server: ServerKey,
        kept: &[Route],
        rerouted: &mut BTreeSet<ServerKey>,
    ) {
        let Some(claim) = self.claims.get(&server) else {
            return;
        };
        let released: Vec<Address> = claim
            .routes
            .iter()
            .map(|route| &route.address)
            .filter(|address| kept.iter().all(|route| route.address != **address))
            .cloned()
            .collect();
        for address in released {
            if self.owners.get(&address) != Some(&server) {
                continue;
            }
            self.owners.remove(&address);
            if let Some(successor) = self.successor(&address, server) {
                self.owners.insert(address, successor);
                rerouted.insert(successor);
            }
        }
    }

    /// Returns the ready server other than `released_by` that claims `address` and started last; of several
    /// that started at the same time, the one with the lowest key, so that every node chooses the same.
    fn successor(&self, address: &Address, released_by: ServerKey) -> Option<ServerKey> {
        self.claims
            .iter()
            .filter(|(server, claim)| {
                **server != released_by
                    && claim.is_ready
                    && claim.routes.iter().any(|route| route.address == *address)
            })
            .max_by(|(server_a, a), (server_b, b)| {
                a.started_at_ms
                    .total_cmp(&b.started_at_ms)
                    .then(server_b.cmp(server_a))
            })
            .map(|(server, _)| *server)
    }
}

#[cfg(test)]
mod tests;
