//! Inputs of a [`LeaseManager`](crate::LeaseManager).

use crate::identity::{FencingToken, NodeId, Shard};

/// An event that a lease manager handles.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A message of another node arrived. The caller has authenticated it and has verified that it
    /// is not a replay.
    Message {
        /// The sender.
        from: NodeId,
        /// The sender's process id.
        process_id: u64,
        /// The encoded message.
        bytes: &'a [u8],
    },
    /// The time of the last [`Action::WakeAt`](crate::Action::WakeAt) has been reached.
    TimerExpired,
    /// The nodes that are considered alive, in any order, and this node's health. The caller lists
    /// this node as well, at least while it is healthy.
    Candidates(&'a [NodeId], NodeHealth),
    /// An operator requested the transfer of a shard to a node.
    TransferShard {
        /// The shard, owned by this process.
        shard: Shard,
        /// The next owner.
        to: NodeId,
    },
    /// This process, as the owner of a shard, has an effect to publish to all other nodes.
    PublishEffect {
        /// The shard, owned by this process.
        shard: Shard,
        /// At most [`MAX_EFFECT_BYTES`](crate::MAX_EFFECT_BYTES) long; a longer payload is not
        /// published.
        payload: &'a [u8],
    },
    /// The reservation of [`Action::ReserveTokens`](crate::Action::ReserveTokens) is on disk.
    TokensReserved(FencingToken),
    /// This process is about to end: it transfers or releases all shards that it owns.
    Leave,
}

/// Whether a node is fit to own shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeHealth {
    /// It exchanges messages with the other nodes.
    Healthy,
    /// Messages are often lost. The node claims a free shard only if no other node has claimed it
    /// for a while; it does not stop claiming, as all nodes may be degraded.
    Degraded,
    /// It receives no messages, and claims no free shards.
    Isolated,
}
