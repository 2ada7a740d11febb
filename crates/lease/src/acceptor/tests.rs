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

/// The owners in a table.
fn owners(shards: &[ShardStatus]) -> Vec<Option<NodeId>> {
    shards.iter().map(|status| status.owner).collect()
}

fn acceptor() -> Acceptor {
    Acceptor::new(0.0, &settings())
}

#[test]
fn grant_is_exclusive_rising_and_renewed_by_its_owner_only() {
    let mut acceptor = acceptor();
    assert!(
        !acceptor.request(99.0, A, request(11), 50.0),
        "an earlier process may have granted it"
    );
    assert!(
        !acceptor.request(100.0, A, request(10), 50.0)
            && acceptor.request(100.0, A, request(11), 50.0)
    );
    assert!(
        !acceptor.request(149.0, B, request(12), 50.0),
        "it is granted"
    );
    assert!(
        acceptor.request(149.0, A, request(11), 50.0)
            && !acceptor.request(198.0, B, request(12), 50.0)
    );
    assert!(
        !acceptor.request(199.0, B, request(11), 50.0),
        "no token twice"
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
        "there is no such shard"
    );
}

/// What was granted for long stays granted, though its owner asks for less now.
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

/// A transfer gives up the ownership under the token before, and no later one.
#[test]
fn transfer_replaces_the_grant_of_the_token_before_only() {
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

/// Guards against nodes that go on to claim a shard as free whose owner renewed a moment late.
#[test]
fn renewal_of_a_published_expiry_is_published_again() {
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

/// Nothing is granted that could be granted again after a crash.
#[test]
fn token_that_is_not_reserved_is_not_granted() {
    let mut acceptor = Acceptor::new(
        0.0,
        &Settings {
            reserved_token: Some(FencingToken(50)),
            ..settings()
        },
    );
    assert!(
        !acceptor.request(100.0, A, request(50), 50.0),
        "it may have been granted before the crash"
    );
    let first = acceptor.take_due_reservation().expect("it is due");
    assert!(
        first > FencingToken(1_000_000) && acceptor.take_due_reservation().is_none(),
        "requested once"
    );
    assert!(
        !acceptor.request(100.0, A, request(51), 50.0),
        "not reserved yet"
    );
    acceptor.confirm_reservation(first);
    assert!(
        acceptor.request(100.0, A, request(51), 50.0) && acceptor.take_due_reservation().is_none()
    );
    acceptor.observe_token(FencingToken(first.0 - 10));
    assert!(
        acceptor
            .take_due_reservation()
            .is_some_and(|next| next > first),
        "the next are due"
    );
    assert!(
        !acceptor.request(200.0, B, request(first.0 + 1), 50.0)
            && acceptor.request(200.0, B, request(first.0), 50.0)
    );
}
