//! Tests of minimum transfer rates.

use proptest::prelude::*;

use super::*;

#[test]
fn stall_limit_shortens_the_deadline_of_a_fast_peer_only() {
    let mut deadline = TransferDeadline::new(0.0, 1_000.0, 10.0);
    deadline.limit_stall(0.0, 2_000.0);
    assert_eq!(deadline.due_ms(), 1_000.0);
    deadline.record_bytes(50_000);
    deadline.limit_stall(100.0, 2_000.0);
    assert_eq!(deadline.due_ms(), 2_100.0);
}

proptest! {
    /// After each chunk from a peer at the minimum rate, the deadline is the whole grace period ahead, however the
    /// data is split. A slower peer reaches its deadline.
    #[test]
    fn peer_at_minimum_rate_never_reaches_its_deadline(
        chunks in proptest::collection::vec(1..100_000_usize, 1..100),
        slowdown in 0.1..1.0_f64,
    ) {
        let (min_rate, grace_ms) = (64.0, 1_000.0);
        let mut deadline = TransferDeadline::new(0.0, grace_ms, min_rate);
        let mut now_ms = 0.0;
        for bytes in &chunks {
            now_ms += *bytes as f64 / min_rate;
            deadline.record_bytes(*bytes);
            prop_assert!(
                (deadline.due_ms() - now_ms - grace_ms).abs() < 1e-3,
                "the grace period must stay unused: deadline {} ms at {now_ms} ms",
                deadline.due_ms()
            );
        }
        let mut slow_deadline = TransferDeadline::new(0.0, grace_ms, min_rate);
        let (mut now_ms, mut steps) = (0.0, 0);
        while now_ms <= slow_deadline.due_ms() && steps < 1_000_000 {
            now_ms += 100.0;
            slow_deadline.record_bytes((100.0 * min_rate * slowdown * 0.9) as usize);
            steps += 1;
        }
        prop_assert!(steps < 1_000_000, "a slower peer must reach its deadline, due at {} ms",
            slow_deadline.due_ms());
    }
}
