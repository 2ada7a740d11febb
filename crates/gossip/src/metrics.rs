//! Counters of one node.

use crate::reject_reason::RejectReason;

/// Datagrams and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    pub(crate) fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// Counts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Accepted datagrams.
    pub received: Traffic,
    /// Sent datagrams.
    pub sent: Traffic,
    /// Nodes that this one declared dead by a quorum of votes.
    pub verdicts: u64,
    /// Times that this node refuted its own death.
    pub refutations: u64,
    /// Rejected datagrams and nodes, in the order of [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
}

impl Metrics {
    /// Counts a rejected datagram or node.
    pub fn count_rejection(&mut self, reason: RejectReason) {
        self.rejected[reason as usize] += 1;
    }

    /// How often something was rejected for this reason.
    #[must_use]
    pub fn rejected_for(&self, reason: RejectReason) -> u64 {
        self.rejected[reason as usize]
    }
}
