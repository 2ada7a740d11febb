//! A number from a number: all nodes and versions make the same of the same, so rings, shards and digests may rest on it.

/// The finalizer of `SplitMix64` (Steele, Lea, Flood 2014): every bit that goes in changes every bit that comes out.
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
