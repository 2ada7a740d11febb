//! Joining and leaving the cluster: contacting the peers' addresses, introductions, and name
//! conflicts.
//!
//! Addresses are not gossiped, because each peer may reach a node at a different address. Instead
//! each node contacts every configured address, which also detects restarted nodes and repaired
//! links.

use crate::dissemination::Dissemination;
use crate::event::{Action, Change, ChangeCause, LogEvent, PeerId};
use crate::member::{Health, State};
use crate::member_id::MemberId;
use crate::member_table::{MemberEntry, TableFull};
use crate::node::Gossip;
use crate::own_status::OwnStatus;
use crate::peers::{Peer, ScanCursor};
use crate::reject_reason::RejectReason;
use crate::wire::{Datagram, Header, Record};

/// Maximum number of new addresses that are contacted in one tick. At the default probe interval
/// this allows 64 contacts per second, so that 300 nodes are contacted within a few seconds. Also
/// the maximum number of random nodes that are notified when this node leaves.
const MAX_CONTACTS_PER_TICK: usize = 16;
/// Number of initial contacts of a new address, and the interval between them in milliseconds.
/// After them the address is contacted in rotation with all addresses without a live node.
const INITIAL_CONTACTS: u32 = 4;
const INITIAL_CONTACT_INTERVAL_MS: f64 = 1_000.0;
/// Number of addresses without a live node that are contacted in each probe interval.
const DEAD_CONTACTS_PER_PROBE: usize = 2;
/// Interval between contacts of addresses at which a process is known, in probe intervals. One
/// address is contacted at a time, in rotation.
const KNOWN_CONTACT_PERIOD_IN_PROBES: u64 = 4;
/// Number of ticks after a start or a pause in each of which an address with a known process is
/// contacted.
const CATCH_UP_TICKS: u32 = 8;

/// Selects the addresses to contact next.
#[derive(Debug)]
pub(crate) struct PeerDiscovery {
    known_cursor: ScanCursor,
    dead_cursor: ScanCursor,
    /// Whether there may be addresses with fewer than [`INITIAL_CONTACTS`].
    has_new_addresses: bool,
    /// Number of remaining ticks in each of which an address with a known process is contacted.
    catch_up_ticks: u32,
    has_logged_full_table: bool,
}

impl PeerDiscovery {
    pub fn new() -> Self {
        Self {
            known_cursor: ScanCursor::default(),
            dead_cursor: ScanCursor::default(),
            has_new_addresses: true,
            catch_up_ticks: CATCH_UP_TICKS,
            has_logged_full_table: false,
        }
    }

    /// Contacts addresses with a known process in each of the next [`CATCH_UP_TICKS`] ticks, to
    /// catch up with missed updates.
    pub fn start_catch_up(&mut self) {
        self.catch_up_ticks = CATCH_UP_TICKS;
    }
}

impl Gossip {
    /// Replaces the peers' addresses. Nodes at removed addresses stay in the member table.
    pub(crate) fn set_peers(&mut self, addresses: &[PeerId]) {
        let removed: Vec<_> = self
            .peers
            .keys()
            .filter(|address| !addresses.contains(address))
            .copied()
            .collect();
        for address in removed {
            let peer = self.peers.remove(&address);
            if let Some(member) = peer.and_then(|peer| peer.member) {
                self.clear_address(member, address);
            }
        }
        for address in addresses {
            self.peers.entry(*address).or_default();
        }
        self.discovery.has_new_addresses = true;
    }

    /// Clears the address of a node if it is `address`.
    fn clear_address(&mut self, member: MemberId, address: PeerId) {
        if let Some(entry) = self.table.get_mut(member) {
            entry.peer = entry.peer.filter(|current| *current != address);
        }
    }

    /// Handles a datagram of a process that is not bound to its source address yet, or whose member
    /// entry has expired. The datagram is addressed to this process, so it cannot be older than
    /// this process.
    ///
    /// Binds the address to the sender. Returns `false`, and binds nothing, if the datagram has no
    /// [`Record::Hello`], if its sender is an earlier process of a node or has this node's name, or
    /// if the member table is full.
    pub(crate) fn accept_hello(&mut self, from: PeerId, datagram: &Datagram) -> bool {
        let header = datagram.header;
        let hello = datagram.records.iter().find_map(|record| match record {
            Record::Hello { incarnation, name } => Some((*incarnation, name.clone())),
            _ => None,
        });
        let Some((incarnation, name)) = hello else {
            self.request_hello(from, header);
            return false;
        };
        let member = MemberId::of(&name);
        if member == self.id {
            self.receive_own_name(incarnation, header.from_process, NameSource::Hello);
            return false;
        }
        if self.is_superseded(member, incarnation, header.from_process) {
            // Notifies the sender of the process that supersedes it.
            if let Some(record) = self.table.record(member, self.now_ms) {
                self.send_to_process(from, header.from_process, &[record]);
            }
            return false;
        }
        if self.table.get(member).is_none() {
            let entry = MemberEntry::new(name, incarnation, header.from_process, self.now_ms);
            if self
                .add_member(member, entry, ChangeCause::Received)
                .is_err()
            {
                return false;
            }
        }
        self.bind_address(from, header.from_process, member);
        let cause = ChangeCause::Received;
        self.mark_alive(member, incarnation, header.from_process, &cause);
        true
    }

    fn request_hello(&mut self, from: PeerId, header: Header) {
        let ack = Record::Ack {
            sequence: header.sequence,
            hello_requested: true,
        };
        self.send_to_process(from, header.from_process, &[ack]);
    }

    /// Whether a higher incarnation of a node is known, or the same incarnation with another
    /// process.
    fn is_superseded(&self, member: MemberId, incarnation: u64, process_id: u64) -> bool {
        self.table.get(member).is_some_and(|known| {
            let is_other_process = known.process_id != process_id && known.process_id != 0;
            incarnation < known.incarnation
                || (incarnation == known.incarnation && is_other_process)
        })
    }

    fn bind_address(&mut self, address: PeerId, process_id: u64, member: MemberId) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let previous = peer.member.replace(member);
        peer.bind_process(process_id);
        if let Some(previous) = previous.filter(|previous| *previous != member) {
            self.clear_address(previous, address);
        }
        if let Some(entry) = self.table.get_mut(member) {
            entry.peer = Some(address);
        }
    }

    /// Unbinds a node that was removed from the table from its address, so that the node is
    /// accepted as a new one. The address keeps its process and its replay window, so that no old
    /// datagram is accepted again.
    pub(crate) fn unbind_member(&mut self, member: MemberId) {
        for peer in self.peers.values_mut() {
            if peer.member == Some(member) {
                peer.member = None;
            }
        }
    }

    /// Adds an unknown node.
    ///
    /// # Errors
    ///
    /// The member table is full of live nodes. Each such rejection is counted, and the first one is
    /// logged.
    pub(crate) fn add_member(
        &mut self,
        member: MemberId,
        entry: MemberEntry,
        cause: ChangeCause,
    ) -> Result<(), TableFull> {
        let change = Change {
            name: entry.name.clone(),
            from: None,
            to: entry.state,
            incarnation: entry.incarnation,
            cause,
        };
        match self.table.insert(member, entry) {
            Ok(Some(removed)) => self.unbind_member(removed),
            Ok(None) => {}
            Err(error) => {
                self.metrics.count_rejection(RejectReason::TableFull);
                if !std::mem::replace(&mut self.discovery.has_logged_full_table, true) {
                    self.log(LogEvent::TableFull);
                }
                return Err(error);
            }
        }
        self.detector.are_rings_stale = true;
        self.actions.push(Action::Changed(change));
        Ok(())
    }

    /// Handles a report that another process uses this node's name.
    pub(crate) fn receive_own_name(
        &mut self,
        incarnation: u64,
        process_id: u64,
        source: NameSource,
    ) {
        let own_incarnation = self.incarnation();
        if process_id == self.settings.process_id {
            // This process's own update, gossiped back to it.
            return;
        }
        if incarnation < own_incarnation {
            self.table.enqueue_update(self.id);
            if source == NameSource::Hello {
                self.log_name_conflict(incarnation, false);
            }
            return;
        }
        if self.may_take_over() && self.own.status != OwnStatus::Leaving {
            // The other process is either an earlier one whose clock was ahead, or one that still
            // runs and is superseded by the higher incarnation of this one.
            self.take_over(incarnation);
            if source == NameSource::Hello {
                self.log_name_conflict(incarnation, false);
            }
        } else if self.own.is_member() {
            self.own.status = OwnStatus::Superseded { incarnation };
            self.log_name_conflict(incarnation, true);
            self.set_health(Health::Isolated);
        } else if let OwnStatus::Superseded {
            incarnation: known_incarnation,
        } = &mut self.own.status
        {
            *known_incarnation = incarnation.max(*known_incarnation);
        }
    }

    /// Contacts new addresses, and periodically all other addresses, so that restarted nodes and
    /// repaired links are detected.
    pub(crate) fn contact_peers(&mut self) {
        let mut addresses = self.new_addresses();
        if self.is_every_nth_probe(1) {
            for _ in 0..DEAD_CONTACTS_PER_PROBE {
                let table = &self.table;
                let is_not_alive =
                    |peer: &Peer| !peer.member.is_some_and(|member| table.is_alive(member));
                addresses.extend(self.discovery.dead_cursor.next(&self.peers, is_not_alive));
            }
        }
        if self.discovery.catch_up_ticks > 0
            || self.is_every_nth_probe(KNOWN_CONTACT_PERIOD_IN_PROBES)
        {
            self.discovery.catch_up_ticks = self.discovery.catch_up_ticks.saturating_sub(1);
            let is_known = |peer: &Peer| peer.process_id != 0;
            addresses.extend(self.discovery.known_cursor.next(&self.peers, is_known));
        }
        addresses.sort_unstable();
        addresses.dedup();
        let probe = Record::Probe {
            ack_requested: true,
            to_observer: false,
        };
        let records = [probe, Record::Digest(self.table.digest())];
        for address in addresses {
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.last_contact_ms = Some(self.now_ms);
                peer.contacts += 1;
            }
            self.send(address, &records);
        }
    }

    /// Addresses that are due for one of their initial contacts. If there are more than
    /// [`MAX_CONTACTS_PER_TICK`], the result has this number of random draws from them, with
    /// replacement.
    fn new_addresses(&mut self) -> Vec<PeerId> {
        if !self.discovery.has_new_addresses {
            return Vec::new();
        }
        let now_ms = self.now_ms;
        let is_new =
            |peer: &Peer| peer.process_id == 0 && !peer.is_self && peer.contacts < INITIAL_CONTACTS;
        let is_due = |peer: &Peer| {
            peer.last_contact_ms
                .is_none_or(|last| now_ms - last >= INITIAL_CONTACT_INTERVAL_MS)
        };
        let new: Vec<_> = self.peers.iter().filter(|(_, peer)| is_new(peer)).collect();
        self.discovery.has_new_addresses = !new.is_empty();
        let due: Vec<_> = new
            .into_iter()
            .filter(|(_, peer)| is_due(peer))
            .map(|(address, _)| *address)
            .collect();
        if due.len() > MAX_CONTACTS_PER_TICK {
            self.random_choice(&due, MAX_CONTACTS_PER_TICK)
        } else {
            due
        }
    }

    /// Draws `count` elements of `from` with replacement, or as many as `from` has if that is
    /// fewer.
    pub(crate) fn random_choice<T: Copy>(&mut self, from: &[T], count: usize) -> Vec<T> {
        (0..from.len().min(count))
            .map(|_| from[self.rng.usize(..from.len())])
            .collect()
    }

    /// Notifies the neighbours and some random nodes that this node leaves.
    pub(crate) fn leave(&mut self) {
        self.own.status = OwnStatus::Leaving;
        let incarnation = self.incarnation();
        self.table
            .update(self.id, self.now_ms, State::Left, incarnation);
        self.dissemination.flood_limit = Dissemination::full_flood_limit(self.now_ms);
        let mut receivers = self.neighbours();
        let known: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.process_id != 0)
            .map(|(address, _)| *address)
            .collect();
        receivers.extend(self.random_choice(&known, MAX_CONTACTS_PER_TICK));
        receivers.sort_unstable();
        receivers.dedup();
        let left = Record::Left {
            member: self.id,
            incarnation,
        };
        for address in receivers {
            self.send(address, std::slice::from_ref(&left));
        }
    }
}

/// The source of a report that another process uses this node's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NameSource {
    /// The process introduced itself.
    Hello,
    /// Another node gossiped an update about the process.
    Gossip,
}
