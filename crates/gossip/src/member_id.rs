//! Names of nodes, and the ids that are derived from them.

/// The longest node name: a datagram holds two of them and everything else it must carry.
pub const MAX_NAME_BYTES: usize = 64;

/// Identifies a node: the hash of its name, equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of the node with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// Whether `name` may be a node's name: printable ASCII without spaces, as it appears in lines of text that are split at
/// spaces, and at most [`MAX_NAME_BYTES`] long.
#[must_use]
pub fn is_valid_node_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
}
