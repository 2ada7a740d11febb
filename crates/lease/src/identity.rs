//! Identifiers of nodes, processes, shards and ownerships.

use std::fmt;

/// Identifies a node by a number that is derived from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// The index of a shard of the work that all nodes share.
pub type Shard = u8;

/// Identifies one process of a node. A restarted node is a different requester.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Requester {
    pub node: NodeId,
    pub process_id: u64,
}

/// Identifies an ownership of a shard. A later ownership always has a higher token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// Tokens between the floors of two consecutive milliseconds: many times what any cluster uses.
const TOKENS_PER_MS: u64 = 1 << 10;
/// Latest time that a floor is derived from, in the year 2248: a wall clock that is further ahead
/// does not bring the tokens near the end of their range.
const MAX_FLOOR_UNIX_MS: u64 = 1 << 43;

impl FencingToken {
    /// The token after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The token above which an acceptor grants leases if it starts at this wall-clock time, in
    /// milliseconds since 1970.
    ///
    /// The range allows for a million owners per second, so a restarted acceptor begins above all
    /// tokens that it granted before, unless its wall clock was set back to before its previous
    /// start.
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
