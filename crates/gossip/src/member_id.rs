//! Node names, and the ids that are derived from them.

/// Maximum length of a node name, in bytes. Two names of this length fit in a datagram along with
/// all mandatory content.
pub const MAX_NAME_BYTES: usize = 64;

/// Identifier of a node: a hash of its name, so that all nodes derive the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of the node named `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// Whether `name` is a valid node name: 1 to [`MAX_NAME_BYTES`] bytes of printable ASCII without
/// spaces, because names are fields of space-separated lines of text.
#[must_use]
pub fn is_valid_node_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
}
