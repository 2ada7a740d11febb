//! Tests of address ownership.

use super::*;

const A: ServerKey = ServerKey(0);
const B: ServerKey = ServerKey(1);

fn routes_at(ports: &[u16]) -> Vec<Route> {
    let route = |port: &u16| Route::new(Address::Ip(([127, 0, 0, 1], *port).into()));
    ports.iter().map(route).collect()
}

impl AddressOwners {
    fn report(
        &mut self,
        server: ServerKey,
        ports: &[u16],
        started_at_ms: f64,
        is_ready: bool,
    ) -> OwnershipChange {
        let mut rerouted = BTreeSet::new();
        self.claim(
            server,
            routes_at(ports),
            started_at_ms,
            is_ready,
            &mut rerouted,
        );
        self.resolve(rerouted)
    }
}

fn server_set(servers: &[ServerKey]) -> BTreeSet<ServerKey> {
    servers.iter().copied().collect()
}

#[test]
fn server_that_started_last_owns_the_address() {
    let mut owners = AddressOwners::new();
    owners.report(A, &[1], 100.0, true);
    assert_eq!(
        owners.report(B, &[1], 200.0, true).displaced,
        server_set(&[A])
    );
    owners.remove(A);
    assert_eq!(
        owners.report(A, &[1], 100.0, true).displaced,
        server_set(&[A]),
        "A started before B"
    );
    assert_eq!(owners.routes(B), routes_at(&[1]));
}

#[test]
fn draining_server_takes_no_address() {
    let mut owners = AddressOwners::new();
    owners.report(A, &[1], 0.0, true);
    assert_eq!(
        owners.report(B, &[1], 0.0, false).displaced,
        server_set(&[B])
    );
    assert_eq!(owners.routes(A), routes_at(&[1]));
}

#[test]
fn server_that_keeps_an_address_is_not_displaced() {
    let mut owners = AddressOwners::new();
    owners.report(A, &[1, 2], 0.0, true);
    let changed = owners.report(B, &[2, 3], 0.0, true);
    assert_eq!(
        (changed.rerouted, changed.displaced),
        (server_set(&[A, B]), server_set(&[]))
    );
    assert_eq!(
        (owners.routes(A), owners.routes(B)),
        (routes_at(&[1]), routes_at(&[2, 3]))
    );
}

#[test]
fn released_address_goes_to_another_claimant() {
    let mut owners = AddressOwners::new();
    owners.report(A, &[1, 2], 0.0, true);
    owners.report(B, &[2, 3], 0.0, true);
    assert_eq!(
        owners.report(B, &[3], 0.0, true).rerouted,
        server_set(&[A, B])
    );
    assert_eq!(owners.routes(A), routes_at(&[1, 2]));
    owners.report(B, &[2, 3], 0.0, true);
    assert_eq!(owners.remove(B), server_set(&[A]));
    assert_eq!(owners.routes(A), routes_at(&[1, 2]));
}

/// Neither server may count as displaced before the complete list has been processed.
#[test]
fn servers_that_exchange_addresses_in_one_list_both_stay() {
    for started_at_ms in [0.0, 100.0] {
        let mut owners = AddressOwners::new();
        owners.report(A, &[1], 0.0, true);
        owners.report(B, &[2], started_at_ms, true);
        let mut rerouted = BTreeSet::new();
        owners.claim(A, routes_at(&[2]), 0.0, true, &mut rerouted);
        owners.claim(B, routes_at(&[1]), started_at_ms, true, &mut rerouted);
        assert_eq!(
            owners.resolve(rerouted),
            OwnershipChange {
                rerouted: server_set(&[A, B]),
                displaced: server_set(&[])
            }
        );
        assert_eq!(
            (owners.routes(A), owners.routes(B)),
            (routes_at(&[2]), routes_at(&[1]))
        );
    }
}

#[test]
fn server_without_an_address_is_not_displaced() {
    let mut owners = AddressOwners::new();
    assert_eq!(owners.report(A, &[], 0.0, true).displaced, server_set(&[]));
    assert!(owners.routes(A).is_empty());
    assert_eq!(owners.report(A, &[1], 0.0, true).rerouted, server_set(&[A]));
    assert_eq!(
        owners.report(A, &[1], 0.0, true),
        OwnershipChange::default(),
        "an unchanged claim changes no ownership"
    );
}

/// No address ever has two owners, and each address that a ready server claims has one.
#[test]
fn each_claimed_address_has_one_owner() {
    let mut random = fastrand::Rng::with_seed(5);
    let mut owners = AddressOwners::new();
    for _ in 0..20_000 {
        let server = ServerKey(random.usize(..5));
        if random.u8(..6) == 0 {
            owners.remove(server);
        } else {
            let ports: Vec<u16> = (1..6).filter(|_| random.bool()).collect();
            let changed = owners.report(
                server,
                &ports,
                f64::from(random.u8(..3)),
                random.u8(..4) > 0,
            );
            for displaced in changed.displaced {
                owners.remove(displaced);
            }
        }
        let owned: Vec<_> = (0..5)
            .flat_map(|key| owners.routes(ServerKey(key)))
            .map(|route| route.address)
            .collect();
        let distinct: std::collections::HashSet<_> = owned.iter().collect();
        assert_eq!(owned.len(), distinct.len(), "an address has two owners");
        assert_eq!(
            owned.len(),
            owners.owners.len(),
            "an address is owned by a server that does not claim it"
        );
        for claim in owners.claims.values().filter(|claim| claim.is_ready) {
            assert!(claim
                .routes
                .iter()
                .all(|route| owners.owners.contains_key(&route.address)));
        }
    }
}
