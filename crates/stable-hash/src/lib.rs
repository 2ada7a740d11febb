//! Mixing of 64-bit numbers with the same result on every node and in every version.
//!
//! Observer rings, shard preferences, and state digests of the fleet rest on it, so the function must
//! never change: two versions that mixed differently could not agree on any of these. It is no defense
//! against inputs that are chosen to collide; data from outside is authenticated before it gets here.

/// The finalizer of `SplitMix64` (Steele, Lea, Flood 2014): each input bit affects every output bit.
///
/// ```
/// assert_eq!(stable_hash::mix(0), 0xe220_a839_7b1d_cdaf);
/// ```
#[must_use]
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
