//! Tests of learned idle timeouts.

use super::*;

fn assert_close(actual_ms: f64, expected_ms: f64) {
    assert!(
        (actual_ms - expected_ms).abs() < 1e-6,
        "{actual_ms} for {expected_ms}"
    );
}

#[test]
fn idle_timeout_is_learned_from_single_closes_and_not_from_a_burst() {
    let mut idle = IdleTimeout::new(60_000.0);
    assert_close(idle.timeout_ms(0.0), 48_000.0);
    idle.record_peer_close(1_000.0, 10_000.0);
    assert_close(idle.timeout_ms(1_000.0), 8_000.0);
    for _ in 0..50 {
        idle.record_peer_close(20_000.0, 300.0);
    }
    assert!(
        idle.timeout_ms(20_000.0) >= 8_000.0,
        "a restart teaches nothing"
    );
    idle.record_peer_close(30_000.0, 5.0);
    assert!(
        idle.timeout_ms(30_000.0) >= 8_000.0,
        "nor does a close right behind a response"
    );
    assert_close(idle.timeout_ms(1e9), 48_000.0);
}
