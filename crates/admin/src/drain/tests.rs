use super::*;
use proptest::prelude::*;

#[test]
fn drain_tightens_connection_policy_until_cancelled() {
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
        "a second `begin` must not restart the drain"
    );
    drain.cancel();
    assert!(drain.accepts_new_clients());
    assert_eq!(
        drain.connection_policy(50.0 + CLOSE_IDLE_DELAY_MS),
        ConnectionPolicy::KeepAlive
    );
}

proptest! {
    #[test]
    fn connection_policy_within_one_drain_never_loosens(
        began_ms in 0.0..1e13,
        mut elapsed_ms in proptest::collection::vec(0.0..5e3, 1..20),
    ) {
        let mut drain = Drain::default();
        drain.begin(began_ms);
        elapsed_ms.sort_by(f64::total_cmp);
        let policies: Vec<_> = elapsed_ms.iter().map(|ms| drain.connection_policy(began_ms + ms)).collect();
        prop_assert!(policies.is_sorted(), "the policy loosened: {policies:?}");
        prop_assert_eq!(
            drain.connection_policy(began_ms + 2_000.0),
            ConnectionPolicy::CloseIdle,
            "all connections must be closing 2 s after the start"
        );
    }
}
