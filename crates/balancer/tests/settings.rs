//! Validation of settings.

mod common;
use common::*;

use balancer::*;

/// Sets one setting to a value out of range.
type Invalidate = fn(&mut Settings);

const OUT_OF_RANGE: [(&str, Invalidate); 7] = [
    ("nodes", |s| s.nodes = 0),
    ("me", |s| s.node_index = 1),
    ("key_quiet_ms", |s| s.key_cooldown_ms = -1.0),
    ("probe_price", |s| s.health_check_price = f64::NAN),
    ("classes[].aim_ms", |s| {
        s.classes[0].latency_objective_ms = 0.0;
    }),
    ("classes", |s| s.classes.clear()),
    ("resends.span_ms", |s| {
        s.retry_budget = Some(RetryBudget {
            min_retries: 2.0,
            retries_per_request: 0.1,
            window_ms: 0.0,
        });
    }),
];

#[test]
fn setting_out_of_range_is_named() {
    for (key, invalidate) in OUT_OF_RANGE {
        let mut settings = settings_with_one_class(Idempotency::Idempotent);
        invalidate(&mut settings);
        let error = Balancer::new(settings, 1)
            .err()
            .expect("a setting out of range is an error");
        assert_eq!(error.key(), key, "the error must name the setting");
    }
}
