//! Counters of this node's gossip.

use crate::reject_reason::RejectReason;

/// Datagrams in one direction, and their total size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total size of the datagrams, in bytes.
    pub bytes: u64,
}

impl Traffic {
    pub(crate) fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// Counters of one node's gossip since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Accepted datagrams.
    pub received: Traffic,
    /// Sent datagrams.
    pub sent: Traffic,
    /// Deaths that this node declared on a quorum of votes.
    pub verdicts: u64,
    /// Refutations of this node's own death.
    pub refutations: u64,
    /// Rejected datagrams and nodes by reason, in the order of [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
}

impl Metrics {
    /// Counts a rejected datagram or node.
    pub fn count_rejection(&mut self, reason: RejectReason) {
        self.rejected[reason as usize] += 1;
    }

    /// Number of datagrams and nodes that were rejected for `reason`.
    #[must_use]
    pub fn rejected_for(&self, reason: RejectReason) -> u64 {
        self.rejected[reason as usize]
    }
}
