//! A process's claim to a shard: the acceptors' grants, and the time until which they make the
//! process its owner.

use crate::identity::FencingToken;

/// Maximum number of acceptors in a configuration.
const MAX_ACCEPTORS_PER_CONFIGURATION: usize = 7;
/// Maximum number of acceptors while two configurations decide jointly, as one replaces the other.
pub const MAX_ACCEPTORS: usize = 2 * MAX_ACCEPTORS_PER_CONFIGURATION;

/// A set of acceptors: bit `i` stands for the acceptor with index `i` in the sorted list of the
/// acceptors of both configurations.
pub type AcceptorMask = u16;

/// The grants that are required to own a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quorum {
    /// Not known, so no grants suffice: an earlier configuration may still decide.
    Unknown,
    /// A majority of this configuration.
    Majority(AcceptorMask),
    /// A majority of each of two configurations.
    Joint(AcceptorMask, AcceptorMask),
}

fn contains(mask: AcceptorMask, acceptor: usize) -> bool {
    mask & (1 << acceptor) != 0
}

/// The number of acceptors that form a majority of a configuration.
pub fn majority_of(mask: AcceptorMask) -> usize {
    mask.count_ones() as usize / 2 + 1
}

/// A process's request for a shard under a token, and the answers of the acceptors.
#[derive(Clone, Debug)]
pub struct Claim {
    pub token: FencingToken,
    /// Whether the previous owner transferred the shard to this node.
    pub is_transfer: bool,
    pub started_ms: f64,
    /// Time of the last request or renewal.
    pub requested_ms: f64,
    /// Time of the last grant from an acceptor other than this node, or of the acquisition.
    pub confirmed_ms: f64,
    /// Expiry of each acceptor's grant, by this node's clock.
    expires_ms: [f64; MAX_ACCEPTORS],
    /// Whether each acceptor has rejected the claim since its last grant.
    rejected: [bool; MAX_ACCEPTORS],
}

impl Claim {
    /// Creates a claim that has not been requested from any acceptor yet.
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

    /// Records an acceptor's grant. A delayed grant never shortens a later one.
    pub fn record_grant(&mut self, acceptor: usize, expires_ms: f64) {
        self.expires_ms[acceptor] = self.expires_ms[acceptor].max(expires_ms);
        self.rejected[acceptor] = false;
    }

    /// Records an acceptor's rejection. Returns whether the acceptors that have not rejected the
    /// claim are too few for a quorum.
    pub fn record_rejection(&mut self, acceptor: usize, quorum: Quorum) -> bool {
        self.rejected[acceptor] = true;
        match quorum {
            Quorum::Unknown => true,
            Quorum::Majority(mask) => self.is_majority_impossible(mask),
            Quorum::Joint(current, previous) => {
                self.is_majority_impossible(current) || self.is_majority_impossible(previous)
            }
        }
    }

    fn is_majority_impossible(&self, mask: AcceptorMask) -> bool {
        let rejections = (0..MAX_ACCEPTORS)
            .filter(|acceptor| contains(mask, *acceptor) && self.rejected[*acceptor])
            .count();
        mask.count_ones() as usize - rejections < majority_of(mask)
    }

    /// Time at which the grants cease to form a quorum, in milliseconds; negative infinity if they
    /// have never formed one.
    pub fn expires_ms(&self, quorum: Quorum) -> f64 {
        match quorum {
            Quorum::Unknown => f64::NEG_INFINITY,
            Quorum::Majority(mask) => self.majority_expires_ms(mask),
            Quorum::Joint(current, previous) => self
                .majority_expires_ms(current)
                .min(self.majority_expires_ms(previous)),
        }
    }

    /// When the first grant expires whose expiry leaves less than a majority.
    fn majority_expires_ms(&self, mask: AcceptorMask) -> f64 {
        let mut expires_ms = [f64::NEG_INFINITY; MAX_ACCEPTORS];
        for acceptor in (0..MAX_ACCEPTORS).filter(|acceptor| contains(mask, *acceptor)) {
            expires_ms[acceptor] = self.expires_ms[acceptor];
        }
        expires_ms.sort_unstable_by(|a, b| b.total_cmp(a));
        expires_ms[majority_of(mask) - 1]
    }

    /// The same claim after a reconfiguration. `previous_index` holds, for each new index of an
    /// acceptor, its previous one.
    ///
    /// The claim counts as not requested, so that it is requested from all acceptors immediately:
    /// an added acceptor has granted nothing yet.
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
