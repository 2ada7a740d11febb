//! What a node knows of one shard: its owner, this process's lease or claim, and its placement.

use crate::claim::Claim;
use crate::identity::{FencingToken, NodeId};

/// What a node knows of one shard.
#[derive(Clone, Debug)]
pub struct ShardState {
    /// The highest token that any node has reported.
    pub highest_token: FencingToken,
    pub owner: Option<NodeId>,
    pub owner_since_ms: f64,
    /// Since when an acceptor reports it as free.
    pub free_since_ms: Option<f64>,
    /// No new claim before this time.
    pub claim_after_ms: f64,
    /// The claim by which this process owns it.
    pub lease: Option<Claim>,
    /// The claim that this process has requested.
    pub claim: Option<Claim>,
    /// How many candidates are preferred to this node; `None` before candidates are known.
    pub rank: Option<usize>,
    /// The candidate that should own it.
    pub preferred: Option<NodeId>,
    pub preferred_since_ms: f64,
    pub offer: Option<TransferOffer>,
    pub transfer: Option<Transfer>,
    /// The highest token under which an effect was published.
    pub effect_token: FencingToken,
}

/// An offer to transfer the shard, that was not accepted yet.
#[derive(Clone, Copy, Debug)]
pub struct TransferOffer {
    pub to: NodeId,
    pub offered_ms: f64,
}

/// A transfer of the shard by this process, repeated for a while, as its messages may be lost.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    pub to: NodeId,
    pub token: FencingToken,
    pub started_ms: f64,
    pub sent_ms: f64,
}

impl ShardState {
    /// A shard of which nothing is known.
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

    /// Some node has reported this token.
    pub fn observe_token(&mut self, token: FencingToken) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Begins to claim the shard under the next token.
    ///
    /// No token is used again, even if its claim fails: the message that releases it may arrive
    /// late.
    pub fn begin_claim(&mut self, now_ms: f64, is_transfer: bool) {
        self.highest_token = self.highest_token.next();
        self.claim = Some(Claim::new(now_ms, self.highest_token, is_transfer));
    }

    /// Another node owns it.
    pub fn set_other_owner(&mut self, owner: NodeId) {
        self.owner = Some(owner);
        self.free_since_ms = None;
    }
}
