//! Tests of route health.

use super::*;

#[test]
fn failing_address_backs_off_longer_and_is_tested_by_one_dial() {
    let mut health = RouteHealth::default();
    assert_eq!(health.state(0.0), RouteState::Healthy);
    for (failure, backoff_ms) in [
        1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0, 32_000.0, 60_000.0, 60_000.0,
    ]
    .into_iter()
    .enumerate()
    {
        let now_ms = failure as f64 * 1e6;
        health.record_failure(now_ms);
        assert_eq!(
            health.state(now_ms + backoff_ms - 1.0),
            RouteState::BackingOff
        );
        assert_eq!(health.state(now_ms + backoff_ms), RouteState::TrialDue);
        health.begin_trial();
        assert_eq!(
            health.state(now_ms + backoff_ms),
            RouteState::BackingOff,
            "a second dial must not test the address"
        );
    }
    health.record_success();
    assert_eq!(health.state(0.0), RouteState::Healthy);
}
