use super::*;

const MAX_GRANT_MS: f64 = 100.0;

fn settings(configuration: u32, acceptors: &[u64], previous: &[u64]) -> Settings {
    let ids = |numbers: &[u64]| numbers.iter().copied().map(NodeId).collect::<Vec<_>>();
    Settings {
        configuration,
        previous_acceptors: ids(previous),
        lease_ms: MAX_GRANT_MS,
        drift: 0.0,
        ..Settings::new(NodeId(1), 1, ids(acceptors))
    }
}

/// The status that a node with the quorum `reporter` reports to one with the quorum `requester`.
fn status(
    reporter: &JointQuorum,
    now_ms: f64,
    node: u64,
    requester: &JointQuorum,
) -> Option<ConfigurationStatus> {
    let settings = Settings {
        node: NodeId(node),
        ..settings(1, &[1, 2, 3], &[])
    };
    reporter.status_for(now_ms, &settings, requester.ids(), FencingToken(9))
}

#[test]
fn configuration_settles_once_a_previous_majority_has_sealed() {
    let old = JointQuorum::at_start(0.0, &settings(1, &[1, 2, 3], &[]));
    let next = settings(2, &[1, 2, 4], &[1, 2, 3]);
    let mut new = JointQuorum::after_reconfiguration(50.0, &next);
    assert!(
        old.accepts(new.ids()) && !new.accepts(old.ids()),
        "requests under the new configuration must be accepted, under the old one rejected"
    );
    assert_eq!(new.quorum(), Quorum::Joint(0b1011, 0b0111));
    assert_eq!(
        status(&new, 149.0, 2, &new).map(|status| status.is_sealed),
        Some(false),
        "a configuration must not be sealed while a lease may still be valid"
    );
    assert_eq!(
        status(&new, 150.0, 4, &new).map(|status| status.is_sealed),
        Some(false),
        "only a previous acceptor may seal the previous configuration"
    );
    // The seal concerns only the previous acceptors that the reporting node has configured.
    let other = JointQuorum::after_reconfiguration(0.0, &settings(2, &[1, 2, 4], &[1, 2, 5]));
    assert_eq!(
        status(&new, 150.0, 2, &other).map(|status| status.is_sealed),
        Some(false)
    );
    let sealed = status(&new, 150.0, 2, &new).expect("a previous acceptor reports its seal");
    assert!(
        !new.receive_status(NodeId(2), sealed)
            && !new.receive_status(NodeId(2), sealed)
            && !new.receive_status(NodeId(4), sealed)
    );
    assert!(new.receive_status(NodeId(3), sealed) && new.quorum() == Quorum::Majority(0b1011));
}

/// Guards against a node that starts during a second reconfiguration and assumes that the first one
/// is settled.
#[test]
fn quorum_is_unknown_until_previous_configuration_is_settled() {
    let first = JointQuorum::at_start(0.0, &settings(1, &[1, 2, 3], &[]));
    let second_unsettled = JointQuorum::at_start(0.0, &settings(2, &[1, 2, 4], &[1, 2, 3]));
    let mut third = JointQuorum::at_start(0.0, &settings(3, &[1, 4, 5], &[1, 2, 4]));
    assert_eq!(third.quorum(), Quorum::Unknown);
    assert_eq!(
        status(&second_unsettled, 10.0, 1, &third),
        None,
        "a node that does not know the phase itself must report no status"
    );
    assert_eq!(
        status(&first, 10.0, 1, &third),
        None,
        "the first configuration is not the previous one of the third"
    );
    // The seal of the previous configuration does not concern earlier configurations.
    let sealed = ConfigurationStatus {
        is_previous_settled: false,
        ..status(&third, 200.0, 1, &third).expect("a previous acceptor reports its seal")
    };
    for from in [1, 2, 4] {
        assert!(!third.receive_status(NodeId(from), sealed));
    }
    assert_eq!(third.quorum(), Quorum::Unknown);
    let mut second_settled = second_unsettled.clone();
    assert!(second_settled.receive_status(
        NodeId(7),
        ConfigurationStatus {
            configuration_id: second_settled.ids().current,
            is_settled: true,
            ..sealed
        }
    ));
    let second_status = status(&second_settled, 300.0, 1, &third)
        .expect("a node with a settled configuration reports it");
    assert!(
        third.receive_status(NodeId(1), second_status),
        "the third configuration must settle, as all previous acceptors have sealed the second"
    );
}
