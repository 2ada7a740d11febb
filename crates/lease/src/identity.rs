//! What nodes, processes, shards and ownerships are identified by.

use std::fmt;

/// A node, by a number that is derived from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// A shard of the work that all nodes have in common, by its index.
pub type Shard = u8;

/// One process of a node. A restarted node is another requester.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Requester {
    pub node: NodeId,
    pub process_id: u64,
}

/// The number of an ownership of a shard. A later owner always has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// Tokens between the floors of two consecutive milliseconds: many times what any fleet uses.
const TOKENS_PER_MS: u64 = 1 << 10;
/// The latest time that a floor is derived from, in the year 2248: a wall clock that is further off
/// does not bring the tokens near the highest number.
const MAX_FLOOR_UNIX_MS: u64 = 1 << 43;

impl FencingToken {
    /// The token after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The lowest token that an acceptor grants that starts at this wall-clock time, in
    /// milliseconds since 1970.
    ///
    /// There is room for a million owners per second, so an acceptor that lost its grants starts
    /// above them, as long as its wall clock was not set back to before its earlier start.
    #[must_use]
    pub fn floor(unix_ms: u64) -> Self {
        Self(unix_ms.min(MAX_FLOOR_UNIX_MS) * TOKENS_PER_MS)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An ownership of a shard: the shard and its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShardToken {
    pub shard: Shard,
    pub token: FencingToken,
}
