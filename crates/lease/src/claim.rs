//! One process's claim to a shard: which acceptors granted it, and until when that makes it the
//! owner.

use crate::identity::FencingToken;

/// Acceptors of the largest configuration.
const MAX_ACCEPTORS_PER_CONFIGURATION: usize = 7;
/// Acceptors of two configurations that decide together while one replaces the other.
pub const MAX_ACCEPTORS: usize = 2 * MAX_ACCEPTORS_PER_CONFIGURATION;

/// A set of acceptors: bit `i` stands for the acceptor with index `i` among all known acceptors.
pub type AcceptorMask = u16;

/// Whose grants it takes to own a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quorum {
    /// No grants suffice: an earlier configuration may still decide.
    Unknown,
    /// A majority of this configuration.
    Majority(AcceptorMask),
    /// A majority of each of two configurations.
    Joint(AcceptorMask, AcceptorMask),
}

fn contains(mask: AcceptorMask, acceptor: usize) -> bool {
    mask & (1 << acceptor) != 0
}

/// How many acceptors of a configuration are a majority.
pub fn majority_of(mask: AcceptorMask) -> usize {
    mask.count_ones() as usize / 2 + 1
}

/// A shard that a process has requested under a token, and the answers of the acceptors.
#[derive(Clone, Debug)]
pub struct Claim {
    pub token: FencingToken,
    /// Whether the owner before transferred the shard to this node.
    pub is_transfer: bool,
    pub started_ms: f64,
    /// When it was requested or renewed last.
    pub requested_ms: f64,
    /// When an acceptor other than this node granted it last.
    pub confirmed_ms: f64,
    /// When each acceptor's grant expires, by this node's clock.
    expires_ms: [f64; MAX_ACCEPTORS],
    /// Which acceptors rejected it.
    rejected: [bool; MAX_ACCEPTORS],
}

impl Claim {
    /// A claim that has not been requested yet.
    pub fn new(now_ms: f64, token: FencingToken, is_transfer: bool) -> Self {
        Self {
            token,
            is_transfer,
            started_ms: now_ms,
            requested_ms: f64::NEG_INFINITY,
            confirmed_ms: f64::NEG_INFINITY,
            expires_ms: [f64::NEG_INFINITY; MAX_ACCEPTORS],
            rejected: [false; MAX_ACCEPTORS],
        }
    }

    /// An acceptor grants the claim until a time. A delayed grant never shortens a later one.
    pub fn record_grant(&mut self, acceptor: usize, expires_ms: f64) {
        self.expires_ms[acceptor] = self.expires_ms[acceptor].max(expires_ms);
        self.rejected[acceptor] = false;
    }

    /// An acceptor rejects the claim. Returns whether the remaining acceptors are too few to win.
    pub fn record_rejection(&mut self, acceptor: usize, quorum: Quorum) -> bool {
        self.rejected[acceptor] = true;
        match quorum {
            Quorum::Unknown => true,
            Quorum::Majority(mask) => self.is_majority_lost(mask),
            Quorum::Joint(current, previous) => {
                self.is_majority_lost(current) || self.is_majority_lost(previous)
            }
        }
    }

    fn is_majority_lost(&self, mask: AcceptorMask) -> bool {
        let rejections = (0..MAX_ACCEPTORS)
            .filter(|acceptor| contains(mask, *acceptor) && self.rejected[*acceptor])
            .count();
        mask.count_ones() as usize - rejections < majority_of(mask)
    }

    /// When the quorum's grants expire; in the past where the quorum has not granted the claim.
    pub fn expires_ms(&self, quorum: Quorum) -> f64 {
        match quorum {
            Quorum::Unknown => f64::NEG_INFINITY,
            Quorum::Majority(mask) => self.majority_expires_ms(mask),
            Quorum::Joint(current, previous) => self
                .majority_expires_ms(current)
                .min(self.majority_expires_ms(previous)),
        }
    }

    /// When the first grant expires that leaves less than a majority.
    fn majority_expires_ms(&self, mask: AcceptorMask) -> f64 {
        let mut expires_ms = [f64::NEG_INFINITY; MAX_ACCEPTORS];
        for acceptor in (0..MAX_ACCEPTORS).filter(|acceptor| contains(mask, *acceptor)) {
            expires_ms[acceptor] = self.expires_ms[acceptor];
        }
        expires_ms.sort_unstable_by(|a, b| b.total_cmp(a));
        expires_ms[majority_of(mask) - 1]
    }

    /// The same claim after a reconfiguration: `previous_index` has the old index of each new one.
    ///
    /// The claim counts as not requested, so that all acceptors are asked at once: a new one has
    /// granted nothing yet.
    pub fn remapped(&self, previous_index: &[Option<usize>]) -> Self {
        let mut remapped = Self::new(self.started_ms, self.token, self.is_transfer);
        remapped.confirmed_ms = self.confirmed_ms;
        for (to, from) in previous_index.iter().enumerate() {
            let Some(from) = *from else { continue };
            remapped.expires_ms[to] = self.expires_ms[from];
            remapped.rejected[to] = self.rejected[from];
        }
        remapped
    }
}

#[cfg(test)]
mod tests;
