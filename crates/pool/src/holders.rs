//! Who is at which address, where two servers are said to be at one.

use std::collections::{BTreeSet, HashMap};

use crate::address::{Address, Route};
use crate::pool::ServerKey;

/// A server as it was named last.
#[derive(Clone, Debug)]
struct Named {
    routes: Vec<Route>,
    started_at_ms: f64,
    is_ready: bool,
}

/// What a word has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// Servers that are reached in another way than before.
    pub moved: BTreeSet<ServerKey>,
    /// Servers that others have taken all addresses from: they cannot be there any more.
    pub gone: BTreeSet<ServerKey>,
}

/// Who holds each address. There is one server at an address: the one that started last, and of two that started at
/// once the one that was named last; one that does not take requests takes no address from another. What is meant for
/// a server that is gone must not reach its successor.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    named: HashMap<ServerKey, Named>,
    by_address: HashMap<Address, ServerKey>,
}

impl Holders {
    /// Nobody yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A server is named at these addresses. Once all of a list has been named, [`Holders::settle`] tells what follows:
    /// servers may trade addresses in it.
    pub fn name(
        &mut self,
        server: ServerKey,
        routes: Vec<Route>,
        started_at_ms: f64,
        is_ready: bool,
        moved: &mut BTreeSet<ServerKey>,
    ) {
        let same = self.named.get(&server).is_some_and(|named| {
            named.routes == routes
                && named.started_at_ms.to_bits() == started_at_ms.to_bits()
                && named.is_ready == is_ready
        });
        if same && self.routes(server).len() == routes.len() {
            return;
        }
        moved.insert(server);
        self.release(server, &routes, moved);
        for route in &routes {
            let holder = self
                .by_address
                .get(&route.address)
                .copied()
                .filter(|holder| *holder != server);
            if let Some(holder) = holder {
                let is_later = self
                    .named
                    .get(&holder)
                    .is_some_and(|h| h.started_at_ms > started_at_ms);
                if is_later || !is_ready {
                    continue;
                }
                moved.insert(holder);
            }
            self.by_address.insert(route.address.clone(), server);
        }
        self.named.insert(
            server,
            Named {
                routes,
                started_at_ms,
                is_ready,
            },
        );
    }

    /// Of those that have moved, which others have taken all addresses from.
    #[must_use]
    pub fn settle(&self, moved: BTreeSet<ServerKey>) -> Changed {
        let has_lost_all = |server: &ServerKey| {
            let is_named_somewhere = self
                .named
                .get(server)
                .is_some_and(|named| !named.routes.is_empty());
            is_named_somewhere && self.routes(*server).is_empty()
        };
        let (gone, moved) = moved.into_iter().partition(has_lost_all);
        Changed { moved, gone }
    }

    /// A server is gone. Its addresses go to others that are named there.
    pub fn forget(&mut self, server: ServerKey) -> BTreeSet<ServerKey> {
        let mut moved = BTreeSet::new();
        self.release(server, &[], &mut moved);
        self.named.remove(&server);
        moved
    }

    /// Where a server is reached: the addresses it is named at, without those that another holds.
    #[must_use]
    pub fn routes(&self, server: ServerKey) -> Vec<Route> {
        let Some(named) = self.named.get(&server) else {
            return Vec::new();
        };
        let holds = |route: &&Route| self.by_address.get(&route.address) == Some(&server);
        named.routes.iter().filter(holds).cloned().collect()
    }

    /// Gives up what a server holds beyond `keeps`, for others that are named there.
    fn release(&mut self, server: ServerKey, keeps: &[Route], moved: &mut BTreeSet<ServerKey>) {
        let Some(before) = self.named.get(&server) else {
            return;
        };
        let left = before.routes.iter().map(|route| &route.address);
        let left: Vec<_> = left
            .filter(|address| keeps.iter().all(|k| k.address != **address))
            .cloned()
            .collect();
        for address in left {
            if self.by_address.get(&address) != Some(&server) {
                continue;
            }
            self.by_address.remove(&address);
            let claims = self.named.iter().filter(|(other, named)| {
                **other != server
                    && named.is_ready
                    && named.routes.iter().any(|r| r.address == address)
            });
            // The one that started last; of several the same at every node.
            let heir = claims.max_by(|a, b| {
                a.1.started_at_ms
                    .total_cmp(&b.1.started_at_ms)
                    .then(b.0.cmp(a.0))
            });
            if let Some(heir) = heir.map(|(heir, _)| *heir) {
                self.by_address.insert(address, heir);
                moved.insert(heir);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: ServerKey = ServerKey(0);
    const B: ServerKey = ServerKey(1);

    fn at(ports: &[u16]) -> Vec<Route> {
        let route = |port: &u16| Route::new(Address::Ip(([127, 0, 0, 1], *port).into()));
        ports.iter().map(route).collect()
    }

    impl Holders {
        fn say(
            &mut self,
            server: ServerKey,
            ports: &[u16],
            started_at_ms: f64,
            is_ready: bool,
        ) -> Changed {
            let mut moved = BTreeSet::new();
            self.name(server, at(ports), started_at_ms, is_ready, &mut moved);
            self.settle(moved)
        }
    }

    fn set(servers: &[ServerKey]) -> BTreeSet<ServerKey> {
        servers.iter().copied().collect()
    }

    #[test]
    fn the_one_that_started_last_is_at_an_address() {
        let mut holders = Holders::new();
        holders.say(A, &[1], 100.0, true);
        assert_eq!(holders.say(B, &[1], 200.0, true).gone, set(&[A]));
        holders.forget(A);
        assert_eq!(
            holders.say(A, &[1], 100.0, true).gone,
            set(&[A]),
            "it started before B"
        );
        assert_eq!(holders.routes(B), at(&[1]));
    }

    #[test]
    fn one_that_drains_takes_no_address() {
        let mut holders = Holders::new();
        holders.say(A, &[1], 0.0, true);
        assert_eq!(holders.say(B, &[1], 0.0, false).gone, set(&[B]));
        assert_eq!(holders.routes(A), at(&[1]));
    }

    #[test]
    fn a_server_that_keeps_an_address_is_not_gone() {
        let mut holders = Holders::new();
        holders.say(A, &[1, 2], 0.0, true);
        let changed = holders.say(B, &[2, 3], 0.0, true);
        assert_eq!((changed.moved, changed.gone), (set(&[A, B]), set(&[])));
        assert_eq!(
            (holders.routes(A), holders.routes(B)),
            (at(&[1]), at(&[2, 3]))
        );
    }

    #[test]
    fn an_address_that_is_left_goes_to_the_other_that_is_named_there() {
        let mut holders = Holders::new();
        holders.say(A, &[1, 2], 0.0, true);
        holders.say(B, &[2, 3], 0.0, true);
        assert_eq!(holders.say(B, &[3], 0.0, true).moved, set(&[A, B]));
        assert_eq!(holders.routes(A), at(&[1, 2]));
        holders.say(B, &[2, 3], 0.0, true);
        assert_eq!(holders.forget(B), set(&[A]));
        assert_eq!(holders.routes(A), at(&[1, 2]));
    }

    /// Guards against servers that are taken for gone in the midst of a list in which they trade addresses.
    #[test]
    fn servers_may_trade_addresses_in_one_list() {
        for started_at_ms in [0.0, 100.0] {
            let mut holders = Holders::new();
            holders.say(A, &[1], 0.0, true);
            holders.say(B, &[2], started_at_ms, true);
            let mut moved = BTreeSet::new();
            holders.name(A, at(&[2]), 0.0, true, &mut moved);
            holders.name(B, at(&[1]), started_at_ms, true, &mut moved);
            assert_eq!(
                holders.settle(moved),
                Changed {
                    moved: set(&[A, B]),
                    gone: set(&[])
                }
            );
            assert_eq!((holders.routes(A), holders.routes(B)), (at(&[2]), at(&[1])));
        }
    }

    #[test]
    fn one_without_an_address_is_nowhere_and_not_gone() {
        let mut holders = Holders::new();
        assert_eq!(holders.say(A, &[], 0.0, true).gone, set(&[]));
        assert!(holders.routes(A).is_empty());
        assert_eq!(holders.say(A, &[1], 0.0, true).moved, set(&[A]));
        assert_eq!(
            holders.say(A, &[1], 0.0, true),
            Changed::default(),
            "nothing is new"
        );
    }

    /// No address has two holders, whatever is said, and each that somebody ready is named at has one.
    #[test]
    fn each_address_has_one_holder() {
        let mut random = fastrand::Rng::with_seed(5);
        let mut holders = Holders::new();
        for _ in 0..20_000 {
            let server = ServerKey(random.usize(..5));
            if random.u8(..6) == 0 {
                holders.forget(server);
            } else {
                let ports: Vec<u16> = (1..6).filter(|_| random.bool()).collect();
                let changed = holders.say(
                    server,
                    &ports,
                    f64::from(random.u8(..3)),
                    random.u8(..4) > 0,
                );
                for gone in changed.gone {
                    holders.forget(gone);
                }
            }
            let held: Vec<_> = (0..5)
                .flat_map(|s| holders.routes(ServerKey(s)))
                .map(|r| r.address)
                .collect();
            let distinct: std::collections::HashSet<_> = held.iter().collect();
            assert_eq!(held.len(), distinct.len(), "two at one address");
            assert_eq!(
                held.len(),
                holders.by_address.len(),
                "an address is held by one who is not named there"
            );
            for named in holders.named.values().filter(|named| named.is_ready) {
                assert!(named
                    .routes
                    .iter()
                    .all(|r| holders.by_address.contains_key(&r.address)));
            }
        }
    }
}
