//! Mixing of 64-bit numbers with the same result on every node and in every version.
//!
//! Observer rings, shard placement, state digests, and the servers' ring positions depend on these
//! functions, so they must never change: nodes of two versions that hash differently would disagree on
//! all of these. The functions do not resist inputs chosen to collide; data from outside is authenticated
//! before it is hashed.

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

/// Hashes a name with 64-bit FNV-1a and mixes the bits once more, so that the servers of a list are evenly distributed
/// on the hash ring that all nodes share.
///
/// ```
/// assert_eq!(stable_hash::hash_name("10.0.0.1:80"), 0x4aff_b0b3_15f6_7a66);
/// ```
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    let mix_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix_byte);
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
