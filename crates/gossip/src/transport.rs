//! Receiving and sending datagrams: which process sent a datagram, whether it is accepted, and
//! which updates are piggybacked on the datagrams of this node.

use crate::event::{Action, ChangeCause, PeerId};
use crate::member_id::MemberId;
use crate::member_table::MemberEntry;
use crate::node::Gossip;
use crate::peers::Peer;
use crate::reject_reason::RejectReason;
use crate::wire::{open_datagram, Datagram, DatagramWriter, Header, Record};

/// Minimum interval between two answers to datagrams from one address that are addressed to another
/// process, in milliseconds. It bounds the answers that replayed datagrams can cause to 20 per
/// second and address.
const REDIRECT_INTERVAL_MS: f64 = 50.0;

/// The sender of an accepted datagram.
pub(crate) struct Sender {
    pub peer: PeerId,
    pub member: MemberId,
    pub name: String,
}

impl Sender {
    pub fn report_cause(&self) -> ChangeCause {
        ChangeCause::Reported {
            by: self.name.clone(),
        }
    }
}

impl Gossip {
    pub(crate) fn receive_datagram(&mut self, from: PeerId, bytes: &[u8]) {
        let accepted = open_datagram(&self.settings.key, bytes).and_then(|datagram| {
            self.accept_datagram(from, &datagram)?;
            Ok(datagram)
        });
        match accepted {
            Ok(datagram) => {
                self.metrics.received.add(bytes.len());
                self.process_datagram(from, datagram);
            }
            Err(reason) => self.metrics.count_rejection(reason),
        }
    }

    /// Checks that a datagram is addressed to this process, from the current process of its sender,
    /// and not replayed. A datagram without a receiver's process id is accepted, too, but its
    /// records are not processed.
    fn accept_datagram(&mut self, from: PeerId, datagram: &Datagram) -> Result<(), RejectReason> {
        let header = datagram.header;
        let own_process = self.settings.process_id;
        let Some(peer) = self.peers.get_mut(&from) else {
            return Err(RejectReason::UnknownSender);
        };
        if header.from_process == own_process {
            peer.is_self = true;
            return Err(RejectReason::StaleIncarnation);
        }
        if header.to_process != own_process {
            // The sender has no process id for this address, or that of an earlier process. It is
            // sent the current one, but its records are not processed: the datagram may have been
            // recorded earlier and replayed by anyone.
            self.redirect_sender(from, header);
            return if header.to_process == 0 {
                Ok(())
            } else {
                Err(RejectReason::StaleIncarnation)
            };
        }
        if peer.is_former_process(header.from_process) {
            return Err(RejectReason::StaleIncarnation);
        }
        let is_bound = peer.process_id == header.from_process;
        if is_bound && !peer.replay_window.accept(header.sequence) {
            return Err(RejectReason::Replayed);
        }
        // A bound process whose member entry has expired must introduce itself again, too.
        let needs_hello = !is_bound || peer.member.is_none();
        if needs_hello && !self.accept_hello(from, datagram) {
            return Err(RejectReason::StaleIncarnation);
        }
        if !is_bound {
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.replay_window.accept(header.sequence);
            }
        }
        Ok(())
    }

    /// Answers a datagram that is addressed to another process by introducing this process.
    fn redirect_sender(&mut self, from: PeerId, header: Header) {
        let now_ms = self.now_ms;
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let is_limited = peer
            .last_redirect_ms
            .is_some_and(|last| now_ms - last < REDIRECT_INTERVAL_MS);
        if is_limited {
            return;
        }
        peer.last_redirect_ms = Some(now_ms);
        let ack = Record::Ack {
            sequence: header.sequence,
            hello_requested: peer.process_id != header.from_process,
        };
        let hello = self.hello();
        self.send_to_process(from, header.from_process, &[ack, hello]);
    }

    fn process_datagram(&mut self, from: PeerId, datagram: Datagram) {
        let header = datagram.header;
        if header.to_process != self.settings.process_id {
            return; // `redirect_sender` has answered it; its records are not processed.
        }
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        // A sequence number above 0 shows that the sender has bound this process to its address,
        // and so has accepted its hello. An ack may still revoke this.
        peer.is_hello_accepted |= header.sequence > 0;
        let Some(member) = peer.member else { return };
        let was_alive = self.table.is_alive(member);
        if let Some(entry) = self.table.get_mut(member) {
            entry.last_received_ms = Some(self.now_ms);
        }
        self.dismiss_suspicion(member);
        self.answer_waiting_requesters(member);
        let name = self.table.get(member).map(|entry| entry.name.clone());
        let sender = Sender {
            peer: from,
            member,
            name: name.unwrap_or_default(),
        };
        for record in datagram.records {
            self.process_record(&sender, header, record);
        }
        if !was_alive && !self.table.is_alive(member) {
            self.notify_dead_sender(from);
        }
    }

    fn process_record(&mut self, sender: &Sender, header: Header, record: Record) {
        match record {
            Record::Hello { incarnation, .. } => {
                let process_id = header.from_process;
                let cause = ChangeCause::Received;
                self.mark_alive(sender.member, incarnation, process_id, &cause);
            }
            Record::Probe {
                ack_requested,
                to_observer,
            } => {
                if to_observer {
                    self.record_observer_probe(sender.member);
                }
                if ack_requested {
                    let ack = Record::Ack {
                        sequence: header.sequence,
                        hello_requested: false,
                    };
                    self.send(sender.peer, &[ack]);
                }
            }
            Record::Ack {
                hello_requested, ..
            } => self.receive_ack(sender, hello_requested),
            Record::Alive {
                incarnation,
                process_id,
                name,
            } => self.receive_alive(sender, incarnation, process_id, name),
            Record::Dead(notice) if notice.member == self.id => {
                self.receive_own_death(notice.incarnation, &sender.name);
            }
            Record::Dead(notice) => self.receive_death_notice(sender, notice),
            Record::Left {
                member,
                incarnation,
            } if member == self.id => {
                self.receive_own_death(incarnation, &sender.name);
            }
            Record::Left {
                member,
                incarnation,
            } => self.receive_left(sender, member, incarnation),
            Record::IndirectProbe {
                member,
                incarnation,
            } => self.receive_indirect_probe(sender.peer, member, incarnation),
            Record::Vote {
                member,
                incarnation,
                is_reachable,
            } => self.receive_vote(sender.member, member, incarnation, is_reachable),
            Record::Digest(digest) => self.receive_digest(sender.peer, digest),
            Record::BucketDigests(digests) => self.receive_bucket_digests(sender.peer, &digests),
            Record::Payload(bytes) => self.actions.push(Action::Payload {
                from: sender.member,
                process_id: header.from_process,
                bytes,
            }),
        }
    }

    pub(crate) fn hello(&self) -> Record {
        Record::Hello {
            incarnation: self.incarnation(),
            name: self.settings.name.clone(),
        }
    }

    /// Sends records to the process that is bound to an address; see
    /// [`write_datagram`](Self::write_datagram).
    pub(crate) fn send(&mut self, to: PeerId, records: &[Record]) -> usize {
        let from_process = self.settings.process_id;
        let Some(peer) = self.sendable_peer(to) else {
            return 0;
        };
        let is_introduction = peer.process_id == 0 || !peer.is_hello_accepted;
        let header = Header {
            from_process,
            to_process: peer.process_id,
            sequence: peer.next_sequence(),
        };
        self.write_datagram(to, header, is_introduction, records)
    }

    /// Sends records to a process that need not be the one that is bound to an address. If it is
    /// not, the datagram has sequence number 0, which no other datagram has.
    pub(crate) fn send_to_process(&mut self, to: PeerId, process_id: u64, records: &[Record]) {
        let Some(peer) = self.sendable_peer(to) else {
            return;
        };
        let sequence = if peer.process_id == process_id {
            peer.next_sequence()
        } else {
            0
        };
        let header = Header {
            from_process: self.settings.process_id,
            to_process: process_id,
            sequence,
        };
        self.write_datagram(to, header, true, records);
    }

    fn sendable_peer(&mut self, to: PeerId) -> Option<&mut Peer> {
        self.peers.get_mut(&to).filter(|peer| !peer.is_self)
    }

    /// Sends as many of `records` as fit, and fills the remaining space with queued updates. An
    /// introduction includes this node's hello, and a datagram to a node that is dead or has left
    /// in this node's table includes the record of its death or leave. Returns how many of
    /// `records` were sent.
    fn write_datagram(
        &mut self,
        to: PeerId,
        header: Header,
        is_introduction: bool,
        records: &[Record],
    ) -> usize {
        let hello = self.hello();
        let known_process = self.peers.get(&to).map_or(0, |peer| peer.process_id);
        let is_known_process = header.to_process == known_process;
        let mut writer = DatagramWriter::new(&self.settings.key, header);
        if is_introduction && !records.contains(&hello) {
            writer.push(&hello);
        }
        let member = self.peers.get(&to).and_then(|peer| peer.member);
        let dead = member.filter(|id| is_known_process && self.is_dead_or_left(*id));
        if let Some(record) = dead.and_then(|id| self.table.record(id, self.now_ms)) {
            writer.push(&record);
        }
        let sent = records
            .iter()
            .take_while(|record| writer.push(record))
            .count();
        if is_known_process && header.to_process != 0 {
            self.table
                .fill_datagram(self.now_ms, |record| writer.push(record));
        }
        let bytes = writer.seal(&self.settings.key);
        self.metrics.sent.add(bytes.len());
        self.actions.push(Action::Send { to, bytes });
        sent
    }

    fn is_dead_or_left(&self, id: MemberId) -> bool {
        self.table.get(id).is_some_and(|entry| !entry.is_alive())
    }

    /// The known addresses of `members`.
    pub(crate) fn peers_of(&self, members: &[MemberId]) -> Vec<PeerId> {
        members
            .iter()
            .filter_map(|id| self.table.peer_of(*id))
            .collect()
    }

    /// The known addresses of the observers and subjects of this node.
    pub(crate) fn neighbours(&self) -> Vec<PeerId> {
        let mut neighbours = self.peers_of(&self.detector.observers);
        neighbours.extend(self.peers_of(&self.detector.subjects));
        neighbours.sort_unstable();
        neighbours.dedup();
        neighbours
    }

    /// Nodes other than `excluded` that are alive and from which a datagram was received within the
    /// suspicion timeout.
    pub(crate) fn recently_received_except(&self, excluded: MemberId) -> Vec<MemberId> {
        let window_ms = self.settings.suspicion_timeout_ms;
        let is_recent = |(id, entry): &(MemberId, &MemberEntry)| {
            *id != excluded && entry.is_alive() && entry.was_received_within(self.now_ms, window_ms)
        };
        self.table
            .iter()
            .filter(is_recent)
            .map(|(id, _)| id)
            .collect()
    }
}
