//! Peer addresses, and the process that was found at each.

use std::collections::BTreeMap;

use crate::event::PeerId;
use crate::member_id::MemberId;
use crate::replay_window::ReplayWindow;

/// Earlier processes of an address that are remembered, so that none of their datagrams is accepted again.
const MAX_FORMER_PROCESSES: usize = 8;
/// Addresses that are examined to find one to contact. If all of them are known to be alive, a cluster of thousands would
/// be scanned for nothing several times a second. The next scan continues from there, so 4,096 are covered in four probe
/// intervals.
const MAX_SCANNED: usize = 512;

/// An address and the process at it.
#[derive(Debug, Default)]
pub struct Peer {
    /// 0 if unknown.
    pub process_id: u64,
    former_processes: Vec<u64>,
    pub member: Option<MemberId>,
    pub replay_window: ReplayWindow,
    /// Sequence number of the last datagram that was sent to this process.
    pub sequence: u32,
    /// Whether that process knows this one by name.
    pub is_hello_accepted: bool,
    /// Whether this is the node's own address.
    pub is_self: bool,
    pub last_contact_ms: Option<f64>,
    pub contacts: u32,
    /// When a datagram for another process was last answered.
    pub last_redirect_ms: Option<f64>,
    /// When the node there was last notified that it is dead here.
    pub last_death_notice_ms: Option<f64>,
}

impl Peer {
    pub fn is_former_process(&self, process_id: u64) -> bool {
        self.former_processes.contains(&process_id)
    }

    /// Binds the address to a process: a new one starts with fresh sequence numbers.
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
    /// The next address after the last one examined that is not this node's and satisfies `is_eligible`.
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
