//! Tests of estimated idle timeouts.

use super::*;

fn assert_close(actual_ms: f64, expected_ms: f64) {
    assert!(
        (actual_ms - expected_ms).abs() < 1e-6,
        "timeout is {actual_ms} ms, expected {expected_ms} ms"
    );
}

#[test]
fn idle_timeout_follows_single_closes_and_ignores_bursts() {
    let mut idle_timeout = IdleTimeout::new(60_000.0);
    assert_close(idle_timeout.timeout_ms(0.0), 48_000.0);
    idle_timeout.record_peer_close(1_000.0, 10_000.0);
    assert_close(idle_timeout.timeout_ms(1_000.0), 8_000.0);
    for _ in 0..50 {
        idle_timeout.record_peer_close(20_000.0, 300.0);
    }
    assert!(
        idle_timeout.timeout_ms(20_000.0) >= 8_000.0,
        "a burst of closes must not shorten the timeout"
    );
    idle_timeout.record_peer_close(30_000.0, 5.0);
    assert!(
        idle_timeout.timeout_ms(30_000.0) >= 8_000.0,
        "a close right after a response must not shorten the timeout"
    );
    assert_close(idle_timeout.timeout_ms(1e9), 48_000.0);
}
