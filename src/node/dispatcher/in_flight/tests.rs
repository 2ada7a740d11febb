use super::*;

fn window(window_ms: f64) -> Duration {
    retry_window(Idempotency::IdempotencyKey {
        window_ms,
        scope: balancer::KeyScope::All,
    })
    .expect("keyed requests have a window")
}

/// Guards against a retry that servers no longer recognize as one: the node may be held up between the check of the window
/// and the first byte of the retry.
#[test]
fn retry_window_leaves_time_for_a_node_that_is_held_up() {
    const HELD_UP: Duration = Duration::from_millis(150);
    for window_ms in [100.0, 300.0, 500.0, 1_000.0, 1_500.0, 5_000.0, 60_000.0] {
        let allowed = window(window_ms);
        let whole = Duration::from_secs_f64(window_ms / 1e3);
        assert!(
            allowed.is_zero() || allowed + HELD_UP < whole,
            "{window_ms} ms: a retry may start after {allowed:?}"
        );
    }
    assert!(
        window(5_000.0) >= Duration::from_secs(4),
        "most retries are possible"
    );
}
