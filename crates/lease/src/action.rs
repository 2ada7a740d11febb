//! What comes out of a [`LeaseManager`](crate::LeaseManager).

use std::fmt;

use crate::identity::{FencingToken, NodeId, Shard};

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. It may be lost, delayed, duplicated or reordered.
    Send {
        /// The recipient.
        to: NodeId,
        /// The encoded message, at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
        bytes: Vec<u8>,
    },
    /// Call again at this time at the latest, in milliseconds. A later action replaces an earlier.
    WakeAt(f64),
    /// This process has acquired or lost a shard.
    OwnershipChanged {
        /// The shard.
        shard: Shard,
        /// The token of the ownership that began or ended.
        token: FencingToken,
        /// What happened.
        change: OwnershipChange,
    },
    /// Tell the operators.
    Log(LogEvent),
    /// The owner of a shard has published an effect, and no later owner has published one here.
    Effect {
        /// The owner.
        from: NodeId,
        /// The shard.
        shard: Shard,
        /// The token of its ownership.
        token: FencingToken,
        /// What it published.
        payload: Vec<u8>,
    },
    /// Store durably that this acceptor may grant tokens up to this one, then send
    /// [`Event::TokensReserved`](crate::Event::TokensReserved).
    ReserveTokens(FencingToken),
}

/// How the ownership of a shard changed at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// This process owns the shard.
    Acquired,
    /// The lease expired: not enough acceptors renewed it in time.
    Expired,
    /// The shard was transferred to another node.
    Transferred(NodeId),
    /// The lease was released, with no next owner.
    Released,
}

impl fmt::Display for OwnershipChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Acquired => write!(f, "acquired: granted by a majority of acceptors"),
            Self::Expired => write!(
                f,
                "lost: the lease expired, a majority of acceptors did not renew it in time"
            ),
            Self::Transferred(_) => write!(f, "lost: transferred to another node"),
            Self::Released => write!(f, "lost: the lease was released"),
        }
    }
}

/// What operators have to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An acceptor has other acceptors, shards or lease times configured than this node.
    ConfigurationMismatch {
        /// The acceptor.
        acceptor: NodeId,
        /// The number of its configuration.
        configuration: u32,
    },
    /// This acceptor's quarantine is over: it grants leases from now on.
    AcceptorReady,
    /// The configuration of this number decides without the one before it from now on.
    ConfigurationSettled(u32),
}

/// The owner of a shard, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardOwner {
    /// The shard.
    pub shard: Shard,
    /// Its owner, where one is known.
    pub node: Option<NodeId>,
    /// The token of the ownership, or the highest that is known.
    pub token: FencingToken,
    /// How long this node itself may act on the shard, in milliseconds; 0 where it may not.
    pub remaining_ms: f64,
    /// When this owner, or its absence, was first known.
    pub since_ms: f64,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Shards that this process acquired.
    pub acquired: u64,
    /// Shards whose lease expired here.
    pub expired: u64,
    /// Shards that were transferred or released.
    pub relinquished: u64,
    /// Grants as an acceptor, renewals included.
    pub grants: u64,
    /// Rejected requests as an acceptor.
    pub rejections: u64,
    /// Effects that were dropped because a later owner had published one.
    pub stale_effects: u64,
    /// Effects that were accepted.
    pub effects: u64,
    /// Messages that could not be decoded.
    pub malformed_messages: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes of those messages.
    pub sent_bytes: u64,
}
