use super::*;
use proptest::prelude::*;

#[test]
fn drain_tightens_the_connection_policy_until_it_is_cancelled() {
    let mut drain = Drain::default();
    assert!(drain.accepts_new_clients());
    assert_eq!(drain.connection_policy(1e12), ConnectionPolicy::KeepAlive);
    drain.begin(50.0);
    assert!(!drain.accepts_new_clients());
    assert_eq!(drain.connection_policy(50.0), ConnectionPolicy::KeepAlive);
    assert_eq!(
        drain.connection_policy(50.0 + CLOSE_AFTER_RESPONSE_DELAY_MS),
        ConnectionPolicy::CloseAfterResponse
    );
    drain.begin(50.0 + CLOSE_AFTER_RESPONSE_DELAY_MS);
    assert_eq!(
        drain.connection_policy(50.0 + CLOSE_IDLE_DELAY_MS),
        ConnectionPolicy::CloseIdle,
        "a second begin does not restart the drain"
    );
    drain.cancel();
    assert!(drain.accepts_new_clients());
    assert_eq!(
        drain.connection_policy(50.0 + CLOSE_IDLE_DELAY_MS),
        ConnectionPolicy::KeepAlive
    );
}

proptest! {
    /// Guards the order: within one drain the policy never loosens.
    #[test]
    fn connection_policy_within_one_drain_never_loosens(
        began in 0.0..1e13,
        mut elapsed in proptest::collection::vec(0.0..5e3, 1..20),
    ) {
        let mut drain = Drain::default();
        drain.begin(began);
        elapsed.sort_by(f64::total_cmp);
        let policies: Vec<_> = elapsed.iter().map(|ms| drain.connection_policy(began + ms)).collect();
        prop_assert!(policies.is_sorted());
        prop_assert_eq!(
            drain.connection_policy(began + 2_000.0),
            ConnectionPolicy::CloseIdle,
            "all connections are closing within 2 s"
        );
    }
}
