use super::*;
use crate::identity::NodeId;

const A: Requester = Requester {
    node: NodeId(1),
    process_id: 1,
};
const B: Requester = Requester {
    node: NodeId(2),
    process_id: 2,
};

fn request(token: u64) -> LeaseRequest {
    LeaseRequest {
        shard: 0,
        token: FencingToken(token),
        is_transfer: false,
    }
}

fn settings() -> Settings {
    Settings {
        shards: 2,
        lease_ms: 100.0,
        drift: 0.0,
        token_floor: FencingToken(10),
        ..Settings::new(A.node, 7, vec![A.node])
    }
}

/// The owner in each entry of a table.
fn owners(shards: &[ShardStatus]) -> Vec<Option<NodeId>> {
    shards.iter().map(|status| status.owner).collect()
}

fn acceptor() -> Acceptor {
    Acceptor::new(0.0, &settings())
}

#[test]
fn request_for_held_shard_or_used_token_is_rejected() {
    let mut acceptor = acceptor();
    assert!(
        !acceptor.request(99.0, A, request(11), 50.0),
        "a request during the quarantine must be rejected"
    );
    assert!(
        !acceptor.request(100.0, A, request(10), 50.0)
            && acceptor.request(100.0, A, request(11), 50.0)
    );
    assert!(
        !acceptor.request(149.0, B, request(12), 50.0),
        "a shard held by another process must not be granted"
    );
    assert!(
        acceptor.request(149.0, A, request(11), 50.0)
            && !acceptor.request(198.0, B, request(12), 50.0)
    );
    assert!(
        !acceptor.request(199.0, B, request(11), 50.0),
        "a token must not be granted to a second process"
    );
    assert!(
        acceptor.request(199.0, B, request(12), 50.0)
            && !acceptor.request(260.0, A, request(11), 50.0)
    );
    assert!(
        !acceptor.request(
            260.0,
            A,
            LeaseRequest {
                shard: 9,
                ..request(99)
            },
            50.0
        ),
        "a request for an unknown shard must be rejected"
    );
}

/// Guards against a grant to another process while the owner still relies on an earlier, longer
/// lease.
#[test]
fn request_with_shorter_ttl_does_not_shorten_the_grant() {
    let mut acceptor = acceptor();
    assert!(
        acceptor.request(100.0, A, request(11), 100.0)
            && acceptor.request(110.0, A, request(12), 10.0)
    );
    assert!(
        !acceptor.request(199.0, B, request(13), 50.0)
            && acceptor.request(200.0, B, request(13), 50.0)
    );
}

/// A transfer gives up the ownership under the preceding token, and no later one.
#[test]
fn transfer_replaces_only_the_grant_of_the_preceding_token() {
    let mut acceptor = acceptor();
    assert!(acceptor.request(100.0, A, request(12), 100.0));
    let transfer = |token| LeaseRequest {
        is_transfer: true,
        ..request(token)
    };
    assert!(
        !acceptor.request(110.0, B, transfer(12), 50.0)
            && !acceptor.request(110.0, B, transfer(14), 50.0)
    );
    assert!(acceptor.request(110.0, B, transfer(13), 50.0));
}

/// Guards against nodes that continue to claim a shard as free after its owner has renewed the
/// lease slightly late.
#[test]
fn renewal_after_a_recorded_expiry_is_a_table_change() {
    let mut acceptor = acceptor();
    assert!(acceptor.request(100.0, A, request(11), 50.0));
    let TableChanges { version, .. } = acceptor.changes_since(100.0, 0, 9);
    let TableChanges { version, shards } = acceptor.changes_since(160.0, version, 9);
    assert_eq!(owners(&shards), [None]);
    assert!(acceptor.request(170.0, A, request(11), 50.0));
    let TableChanges { version, shards } = acceptor.changes_since(170.0, version, 9);
    assert_eq!(owners(&shards), [Some(A.node)]);
    let unchanged = TableChanges {
        version,
        shards: vec![],
    };
    assert_eq!(acceptor.changes_since(171.0, version, 9), unchanged);
}

/// Guards against a token that is granted again after a crash.
#[test]
fn token_that_is_not_reserved_is_rejected() {
    let mut acceptor = Acceptor::new(
        0.0,
        &Settings {
            reserved_token: Some(FencingToken(50)),
            ..settings()
        },
    );
    assert!(
        !acceptor.request(100.0, A, request(50), 50.0),
        "a token that may have been granted before a crash must be rejected"
    );
    let reservation = acceptor
        .take_due_reservation()
        .expect("a reservation is due, as no token above 50 is reserved");
    assert!(
        reservation > FencingToken(1_000_000) && acceptor.take_due_reservation().is_none(),
        "a reservation of a million tokens must be requested once"
    );
    assert!(
        !acceptor.request(100.0, A, request(51), 50.0),
        "a token must be rejected until its reservation is confirmed"
    );
    acceptor.confirm_reservation(reservation);
    assert!(
        acceptor.request(100.0, A, request(51), 50.0) && acceptor.take_due_reservation().is_none()
    );
    acceptor.observe_token(FencingToken(reservation.0 - 10));
    assert!(
        acceptor
            .take_due_reservation()
            .is_some_and(|next| next > reservation),
        "a reservation must be due when less than half of the tokens are left"
    );
    assert!(
        !acceptor.request(200.0, B, request(reservation.0 + 1), 50.0)
            && acceptor.request(200.0, B, request(reservation.0), 50.0)
    );
}
