//! What goes into a [`LeaseManager`](crate::LeaseManager).

use crate::identity::{FencingToken, NodeId, Shard};

/// What happens to a node.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A message of another node arrived, authenticated and not replayed.
    Message {
        /// The sender.
        from: NodeId,
        /// The process of the sender.
        process_id: u64,
        /// The encoded message.
        bytes: &'a [u8],
    },
    /// The time of the last [`Action::WakeAt`](crate::Action::WakeAt) has come.
    TimerExpired,
    /// The nodes that are believed to be alive, in no order and this node among them, and how well
    /// this node receives the others.
    Candidates(&'a [NodeId], NodeHealth),
    /// An operator asks to transfer a shard to a node.
    TransferShard {
        /// The shard, owned by this process.
        shard: Shard,
        /// The next owner.
        to: NodeId,
    },
    /// The owner of a shard has done something that all other nodes have to learn.
    PublishEffect {
        /// The shard, owned by this process.
        shard: Shard,
        /// At most [`MAX_EFFECT_BYTES`](crate::MAX_EFFECT_BYTES); a longer one is not published.
        payload: &'a [u8],
    },
    /// The reservation of [`Action::ReserveTokens`](crate::Action::ReserveTokens) is on disk.
    TokensReserved(FencingToken),
    /// This process is about to end: it hands over all that it owns.
    Leave,
}

/// Whether a node is fit to own shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeHealth {
    /// It exchanges messages with the other nodes.
    Healthy,
    /// Messages are often lost. It requests only what no other node has requested for a while, as
    /// all nodes may be degraded.
    Degraded,
    /// It receives nothing, and requests nothing.
    Isolated,
}
