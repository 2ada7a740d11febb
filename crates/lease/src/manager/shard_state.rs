//! A node's state of one shard: its owner, this process's lease or claim, and its placement.

use crate::claim::Claim;
use crate::identity::{FencingToken, NodeId};

/// A node's state of one shard.
#[derive(Clone, Debug)]
pub struct ShardState {
    /// The highest token that any node has reported.
    pub highest_token: FencingToken,
    pub owner: Option<NodeId>,
    pub owner_since_ms: f64,
    /// Time since which the shard is known to be free; `None` if it is owned, or nothing is known.
    pub free_since_ms: Option<f64>,
    /// Earliest time of the next claim.
    pub claim_after_ms: f64,
    /// The claim that a quorum has granted, by which this process owns the shard.
    pub lease: Option<Claim>,
    /// The claim that this process is requesting.
    pub claim: Option<Claim>,
    /// Number of candidates that are preferred to this node; `None` before candidates are known.
    pub rank: Option<usize>,
    /// The candidate that should own the shard.
    pub preferred: Option<NodeId>,
    pub preferred_since_ms: f64,
    pub offer: Option<TransferOffer>,
    pub transfer: Option<Transfer>,
    /// The highest token under which an effect was accepted.
    pub effect_token: FencingToken,
}

/// An offer to transfer the shard that has not been accepted yet.
#[derive(Clone, Copy, Debug)]
pub struct TransferOffer {
    pub to: NodeId,
    pub offered_ms: f64,
}

/// A transfer of the shard by this process. Its messages may be lost, so they are repeated for a
/// limited time.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    pub to: NodeId,
    pub token: FencingToken,
    pub started_ms: f64,
    pub sent_ms: f64,
}

impl ShardState {
    /// Creates the state of a shard whose owner is not known.
    pub fn new(now_ms: f64) -> Self {
        Self {
            highest_token: FencingToken(0),
            owner: None,
            owner_since_ms: now_ms,
            free_since_ms: None,
            claim_after_ms: now_ms,
            lease: None,
            claim: None,
            rank: None,
            preferred: None,
            preferred_since_ms: now_ms,
            offer: None,
            transfer: None,
            effect_token: FencingToken(0),
        }
    }

    /// Records a token that any node has reported.
    pub fn observe_token(&mut self, token: FencingToken) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Begins to claim the shard under the next token.
    ///
    /// The token of a failed claim is not reused, as the message that releases it may arrive late.
    pub fn begin_claim(&mut self, now_ms: f64, is_transfer: bool) {
        self.highest_token = self.highest_token.next();
        self.claim = Some(Claim::new(now_ms, self.highest_token, is_transfer));
    }

    /// Records that another node owns the shard.
    pub fn set_other_owner(&mut self, owner: NodeId) {
        self.owner = Some(owner);
        self.free_since_ms = None;
    }
}
