//! Peer addresses, and the process that is bound to each.

use std::collections::BTreeMap;

use crate::event::PeerId;
use crate::member_id::MemberId;
use crate::replay_window::ReplayWindow;

/// Maximum number of earlier processes of an address that are remembered, so that none of their
/// datagrams is accepted again.
const MAX_FORMER_PROCESSES: usize = 8;
/// Maximum number of addresses that one scan examines to find one to contact. Without the limit,
/// thousands of addresses would be scanned several times a second without a result while all nodes
/// are alive. The next scan continues where this one stopped, so that 4,096 addresses are covered
/// in four probe intervals.
const MAX_SCANNED: usize = 512;

/// The state of one peer address and of the process bound to it.
#[derive(Debug, Default)]
pub struct Peer {
    /// Id of the bound process; 0 if none is known.
    pub process_id: u64,
    former_processes: Vec<u64>,
    pub member: Option<MemberId>,
    pub replay_window: ReplayWindow,
    /// Sequence number of the last datagram that was sent to the bound process.
    pub sequence: u32,
    /// Whether the bound process has accepted this process's hello.
    pub is_hello_accepted: bool,
    /// Whether this is the node's own address.
    pub is_self: bool,
    pub last_contact_ms: Option<f64>,
    /// Number of contacts so far.
    pub contacts: u32,
    /// Time of the last answer to a datagram that was addressed to another process.
    pub last_redirect_ms: Option<f64>,
    /// Time at which the bound node was last notified that it is dead in this node's table.
    pub last_death_notice_ms: Option<f64>,
}

impl Peer {
    pub fn is_former_process(&self, process_id: u64) -> bool {
        self.former_processes.contains(&process_id)
    }

    /// Binds the address to a process. A new process starts with a new replay window and sequence
    /// number 0.
    pub fn bind_process(&mut self, process_id: u64) {
        if self.process_id == process_id {
            return;
        }
        if self.process_id != 0 {
            self.former_processes.push(self.process_id);
            if self.former_processes.len() > MAX_FORMER_PROCESSES {
                self.former_processes.remove(0);
            }
        }
        self.process_id = process_id;
        self.replay_window = ReplayWindow::default();
        self.sequence = 0;
        self.is_hello_accepted = false;
    }

    pub fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}

/// Position of a round-robin scan over all addresses.
#[derive(Debug, Default)]
pub struct ScanCursor(PeerId);

impl ScanCursor {
    /// The next address after the last examined one that is not this node's own and satisfies
    /// `is_eligible`; `None` if there is none among the next [`MAX_SCANNED`].
    pub fn next(
        &mut self,
        peers: &BTreeMap<PeerId, Peer>,
        is_eligible: impl Fn(&Peer) -> bool,
    ) -> Option<PeerId> {
        let last = self.0;
        let from_last = peers.range(last + 1..).chain(peers.range(..=last));
        for (address, peer) in from_last.take(MAX_SCANNED) {
            self.0 = *address;
            if !peer.is_self && is_eligible(peer) {
                return Some(*address);
            }
        }
        None
    }
}
