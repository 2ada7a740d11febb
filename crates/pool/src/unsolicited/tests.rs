//! Tests of the cool-down after unsolicited bytes.

use super::*;

const NOW_MS: f64 = 1e9;

/// Returns how long cool-downs apply from `NOW_MS` on, in seconds.
fn cool_down_period_s(score: &UnsolicitedByteScore) -> f64 {
    (0..1_000)
        .map(f64::from)
        .find(|seconds| score.cool_down_ms(NOW_MS + seconds * 1e3) < COOL_DOWN_MS)
        .expect("no cool-down applies after 1000 s")
}

/// The cool-down must not delay requests to other servers, and must not end too early for a server that needs
/// it.
#[test]
fn unsolicited_bytes_cause_a_cool_down_until_the_score_decays() {
    let mut score = UnsolicitedByteScore::default();
    assert_eq!(score.cool_down_ms(NOW_MS).to_bits(), 0);
    score.record(NOW_MS);
    assert!((score.cool_down_ms(NOW_MS) - COOL_DOWN_MS).abs() < 1e-9);
    let after_one = cool_down_period_s(&score);
    for _ in 0..100 {
        score.record(NOW_MS);
    }
    let after_many = cool_down_period_s(&score);
    assert!(
        after_one >= 60.0 && after_many > after_one && after_many < 4.0 * after_one,
        "cool-downs apply for {after_one} s after one event and {after_many} s after 100"
    );
}
