use super::*;

const MAX_GRANT_MS: f64 = 100.0;

fn settings(configuration: u32, acceptors: &[u64], previous: &[u64]) -> Settings {
    let ids = |of: &[u64]| of.iter().copied().map(NodeId).collect::<Vec<_>>();
    Settings {
        configuration,
        previous_acceptors: ids(previous),
        lease_ms: MAX_GRANT_MS,
        drift: 0.0,
        ..Settings::new(NodeId(1), 1, ids(acceptors))
    }
}

/// What a node with the first quorum tells one with the second.
fn status(
    of: &JointQuorum,
    now_ms: f64,
    node: u64,
    requester: &JointQuorum,
) -> Option<ConfigurationStatus> {
    let settings = Settings {
        node: NodeId(node),
        ..settings(1, &[1, 2, 3], &[])
    };
    of.status_for(now_ms, &settings, requester.ids(), FencingToken(9))
}

#[test]
fn configuration_settles_once_a_previous_majority_has_sealed() {
    let old = JointQuorum::at_start(0.0, &settings(1, &[1, 2, 3], &[]));
    let next = settings(2, &[1, 2, 4], &[1, 2, 3]);
    let mut new = JointQuorum::after_reconfiguration(50.0, &next);
    assert!(
        old.accepts(new.ids()) && !new.accepts(old.ids()),
        "the old configuration is sealed, the next one is accepted"
    );
    assert_eq!(new.quorum(), Quorum::Joint(0b1011, 0b0111));
    assert_eq!(
        status(&new, 149.0, 2, &new).map(|status| status.is_sealed),
        Some(false),
        "a lease may still be valid"
    );
    assert_eq!(
        status(&new, 150.0, 4, &new).map(|status| status.is_sealed),
        Some(false),
        "not a previous acceptor"
    );
    // A node with other previous acceptors is not told that those are sealed.
    let other = JointQuorum::after_reconfiguration(0.0, &settings(2, &[1, 2, 4], &[1, 2, 5]));
    assert_eq!(
        status(&new, 150.0, 2, &other).map(|status| status.is_sealed),
        Some(false)
    );
    let sealed = status(&new, 150.0, 2, &new).expect("it knows");
    assert!(
        !new.receive_status(NodeId(2), sealed)
            && !new.receive_status(NodeId(2), sealed)
            && !new.receive_status(NodeId(4), sealed)
    );
    assert!(new.receive_status(NodeId(3), sealed) && new.quorum() == Quorum::Majority(0b1011));
}

/// Guards against a node that starts between two reconfigurations and takes the first for settled.
#[test]
fn node_started_during_reconfiguration_has_no_quorum_until_told() {
    let first = JointQuorum::at_start(0.0, &settings(1, &[1, 2, 3], &[]));
    let unsure = JointQuorum::at_start(0.0, &settings(2, &[1, 2, 4], &[1, 2, 3]));
    let mut second = JointQuorum::at_start(0.0, &settings(3, &[1, 4, 5], &[1, 2, 4]));
    assert_eq!(second.quorum(), Quorum::Unknown);
    assert_eq!(
        status(&unsure, 10.0, 1, &second),
        None,
        "it does not know either"
    );
    assert_eq!(
        status(&first, 10.0, 1, &second),
        None,
        "that is not the previous configuration"
    );
    // Acceptors that have sealed the previous configuration say nothing of earlier ones.
    let sealed = ConfigurationStatus {
        is_previous_settled: false,
        ..status(&second, 200.0, 1, &second).expect("sealed")
    };
    for from in [1, 2, 4] {
        assert!(!second.receive_status(NodeId(from), sealed));
    }
    assert_eq!(second.quorum(), Quorum::Unknown);
    let mut sure = unsure.clone();
    assert!(sure.receive_status(
        NodeId(7),
        ConfigurationStatus {
            configuration_id: sure.ids().current,
            is_settled: true,
            ..sealed
        }
    ));
    let next = status(&sure, 300.0, 1, &second).expect("it knows");
    assert!(
        second.receive_status(NodeId(1), next),
        "all have sealed the previous configuration"
    );
}
