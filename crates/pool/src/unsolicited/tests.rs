//! Tests of the cool-down after unsolicited bytes.

use super::*;

const NOW_MS: f64 = 1e9;

/// Returns after how many seconds connections are reused without a cool-down again.
fn seconds_until_forgotten(unsolicited: &UnsolicitedBytes) -> f64 {
    (0..1_000)
        .map(f64::from)
        .find(|seconds| unsolicited.cool_down_ms(NOW_MS + seconds * 1e3) < COOL_DOWN_MS)
        .expect("the score decays")
}

/// Neither does every request pay a cool-down, nor is there none for a server that needs one.
#[test]
fn server_with_unsolicited_bytes_has_a_cool_down_that_decays() {
    let mut unsolicited = UnsolicitedBytes::default();
    assert_eq!(unsolicited.cool_down_ms(NOW_MS).to_bits(), 0);
    unsolicited.record(NOW_MS);
    assert!((unsolicited.cool_down_ms(NOW_MS) - COOL_DOWN_MS).abs() < 1e-9);
    let after_one = seconds_until_forgotten(&unsolicited);
    for _ in 0..100 {
        unsolicited.record(NOW_MS);
    }
    let after_many = seconds_until_forgotten(&unsolicited);
    assert!(
        after_one >= 60.0 && after_many > after_one && after_many < 4.0 * after_one,
        "{after_one}, {after_many}"
    );
}
