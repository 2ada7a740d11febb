//! The shared key of a cluster, and the seal (authentication tag) of its datagrams.

use std::fmt;

use constant_time_eq::constant_time_eq_16;

use crate::member_id::MemberId;

/// Length of a seal, in bytes.
pub const SEAL_BYTES: usize = 16;
/// Minimum length of the shared secret that the key is derived from, in bytes.
pub const MIN_KEY_BYTES: usize = 16;
/// Key derivation context, which separates this use of the shared secret from any other.
const KEY_CONTEXT: &str = "silverthread 2026-12-01 datagrams between nodes, version 1";

/// The secret that authenticates the datagrams of one cluster.
#[derive(Clone)]
pub struct ClusterKey {
    /// The first four bytes of the hash of the cluster's name.
    cluster: u32,
    key: [u8; 32],
}

impl fmt::Debug for ClusterKey {
    /// Leaves out the key, so that it does not get into logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClusterKey")
            .field("cluster", &self.cluster)
            .finish_non_exhaustive()
    }
}

impl ClusterKey {
    /// Derives the key of the cluster named `cluster` from the secret that its nodes share.
    #[must_use]
    pub fn new(cluster: &str, secret: &[u8]) -> Self {
        let mut material = (cluster.len() as u64).to_le_bytes().to_vec();
        material.extend_from_slice(cluster.as_bytes());
        material.extend_from_slice(secret);
        let MemberId(hash) = MemberId::of(cluster);
        Self {
            cluster: hash as u32,
            key: blake3::derive_key(KEY_CONTEXT, &material),
        }
    }

    /// Identifies the cluster in the header of a datagram. It does not authenticate the sender; the
    /// seal does.
    pub(crate) fn cluster_tag(&self) -> [u8; 4] {
        self.cluster.to_le_bytes()
    }

    /// Whether `seal` is the seal of `bytes`. Compares in constant time, so that a seal cannot be
    /// guessed byte by byte.
    pub(crate) fn verify_seal(&self, bytes: &[u8], seal: &[u8; SEAL_BYTES]) -> bool {
        constant_time_eq_16(&self.seal(bytes), seal)
    }

    /// The keyed hash of `bytes`, truncated to [`SEAL_BYTES`].
    pub(crate) fn seal(&self, bytes: &[u8]) -> [u8; SEAL_BYTES] {
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&blake3::keyed_hash(&self.key, bytes).as_bytes()[..SEAL_BYTES]);
        seal
    }
}
