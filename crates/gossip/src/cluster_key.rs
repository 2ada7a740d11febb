//! The key that the nodes of a cluster share, and the seal of their datagrams.

use std::fmt;

use constant_time_eq::constant_time_eq_16;

use crate::member_id::MemberId;

/// Length of a seal.
pub const SEAL_BYTES: usize = 16;
/// The shortest shared key, before key derivation.
pub const MIN_KEY_BYTES: usize = 16;
/// Key derivation context: separates this use of the key file from any other.
const KEY_CONTEXT: &str = "silverthread 2026-12-01 datagrams between nodes, version 1";

/// The secret that authenticates the datagrams of one cluster.
#[derive(Clone)]
pub struct ClusterKey {
    /// The first bytes of the hash of the cluster's name.
    cluster: u32,
    key: [u8; 32],
}

impl fmt::Debug for ClusterKey {
    /// Does not print the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClusterKey")
            .field("cluster", &self.cluster)
            .finish_non_exhaustive()
    }
}

impl ClusterKey {
    /// Derives the key of the cluster `cluster` from the secret `key` that its nodes share.
    #[must_use]
    pub fn new(cluster: &str, key: &[u8]) -> Self {
        let mut material = (cluster.len() as u64).to_le_bytes().to_vec();
        material.extend_from_slice(cluster.as_bytes());
        material.extend_from_slice(key);
        let MemberId(hash) = MemberId::of(cluster);
        Self {
            cluster: hash as u32,
            key: blake3::derive_key(KEY_CONTEXT, &material),
        }
    }

    /// What a datagram carries to tell its cluster from others. It proves nothing.
    pub(crate) fn cluster_tag(&self) -> [u8; 4] {
        self.cluster.to_le_bytes()
    }

    /// Compares in constant time, so that a seal cannot be guessed byte by byte.
    pub(crate) fn is_sealed(&self, bytes: &[u8], seal: &[u8; SEAL_BYTES]) -> bool {
        constant_time_eq_16(&self.seal(bytes), seal)
    }

    /// The keyed hash of `bytes`, truncated.
    pub(crate) fn seal(&self, bytes: &[u8]) -> [u8; SEAL_BYTES] {
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&blake3::keyed_hash(&self.key, bytes).as_bytes()[..SEAL_BYTES]);
        seal
    }
}
