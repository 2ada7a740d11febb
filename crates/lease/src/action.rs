//! Outputs of a [`LeaseManager`](crate::LeaseManager): actions, shard owners and counters.

use std::fmt;

use crate::identity::{FencingToken, NodeId, Shard};

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. It may be lost, delayed, duplicated or reordered.
    Send {
        /// The recipient.
        to: NodeId,
        /// The encoded message, at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
        bytes: Vec<u8>,
    },
    /// Deliver [`Event::TimerExpired`](crate::Event::TimerExpired) at this time at the latest, in
    /// milliseconds, unless another event is delivered earlier. Replaces the previous `WakeAt`.
    WakeAt(f64),
    /// This process has acquired or lost a shard.
    OwnershipChanged {
        /// The shard.
        shard: Shard,
        /// The token of the ownership that began or ended.
        token: FencingToken,
        /// The change of ownership.
        change: OwnershipChange,
    },
    /// Log an event for the operators.
    Log(LogEvent),
    /// An effect published by the owner of a shard was accepted: no effect of a later owner has
    /// been received before.
    Effect {
        /// The owner.
        from: NodeId,
        /// The shard.
        shard: Shard,
        /// The token of its ownership.
        token: FencingToken,
        /// The published payload.
        payload: Vec<u8>,
    },
    /// Store durably that this acceptor may grant tokens up to this one, then deliver
    /// [`Event::TokensReserved`](crate::Event::TokensReserved).
    ReserveTokens(FencingToken),
}

/// Change of the ownership of a shard at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// This process owns the shard.
    Acquired,
    /// The lease expired: not enough acceptors renewed it in time.
    Expired,
    /// The shard was transferred to another node.
    Transferred(NodeId),
    /// The lease was released without a designated next owner.
    Released,
}

impl fmt::Display for OwnershipChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Acquired => write!(f, "acquired: granted by a majority of acceptors"),
            Self::Expired => write!(
                f,
                "lost: the lease expired before a majority of acceptors renewed it"
            ),
            Self::Transferred(_) => write!(f, "lost: transferred to another node"),
            Self::Released => write!(f, "lost: the lease was released"),
        }
    }
}

/// An event for the operators' log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An acceptor's configuration (acceptors, shards or lease times) differs from this node's.
    ConfigurationMismatch {
        /// The acceptor.
        acceptor: NodeId,
        /// The number of the acceptor's configuration.
        configuration: u32,
    },
    /// This acceptor's quarantine is over: it grants leases from now on.
    AcceptorReady,
    /// The configuration with this number decides without the previous one from now on.
    ConfigurationSettled(u32),
}

/// The owner of a shard according to one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardOwner {
    /// The shard.
    pub shard: Shard,
    /// The owner; `None` if none is known.
    pub node: Option<NodeId>,
    /// The token of this process's own lease; for other owners the highest known token.
    pub token: FencingToken,
    /// Remaining time for which this process may act on the shard, in milliseconds; 0 if it is not
    /// the owner.
    pub remaining_ms: f64,
    /// When this owner, or the absence of an owner, was first observed, in milliseconds.
    pub since_ms: f64,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Shard acquisitions by this process.
    pub acquired: u64,
    /// Leases of this process that expired.
    pub expired: u64,
    /// Leases of this process that were transferred or released.
    pub relinquished: u64,
    /// Grants as an acceptor, renewals included.
    pub grants: u64,
    /// Requests of other nodes that were rejected as an acceptor.
    pub rejections: u64,
    /// Effects that were dropped because one of a later owner had been accepted.
    pub stale_effects: u64,
    /// Effects that were accepted.
    pub effects: u64,
    /// Messages that could not be decoded.
    pub malformed_messages: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Total size of the sent messages, in bytes.
    pub sent_bytes: u64,
}
