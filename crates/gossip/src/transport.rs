//! Receiving and sending datagrams: which process a datagram is from, whether it is accepted, and what goes along with
//! each one sent.

use crate::event::{Action, ChangeCause, PeerId};
use crate::member_id::MemberId;
use crate::member_table::MemberEntry;
use crate::node::Gossip;
use crate::peers::Peer;
use crate::reject_reason::RejectReason;
use crate::wire::{open_datagram, Datagram, DatagramWriter, Header, Record};

/// How often datagrams for another process are answered for one address, in milliseconds. An answer is no longer than the
/// question, so replayed datagrams are not amplified.
const REDIRECT_INTERVAL_MS: f64 = 50.0;

/// A node from which a datagram was accepted.
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

    /// Checks that a datagram is for this process, from a current process of its sender, and not replayed.
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
            // The sender does not know this process, or takes it for the one before. It is notified, but its records are
            // not processed: anybody may have recorded them earlier.
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
        // A bound process whose member entry has expired has to introduce itself again, too.
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

    /// Notifies the sender of a datagram for another process which process is at this address.
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
            return; // It was answered; its records are processed once it knows this process.
        }
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        // A sequence number shows that the sender knows this process by name. An ack may still say otherwise.
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

    /// Sends records to the process that is known at an address; see [`write_datagram`](Self::write_datagram).
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

    /// Sends records to a process that may not be the one that is known at an address. Such a datagram only has to show
    /// that it is meant for that process, and has sequence number 0, which nothing else has.
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

    /// Sends as many of `records` as fit, and gossip in the room that is left. An introduction carries this node's hello,
    /// and a node that is dead here is always notified of that. Returns how many of `records` were sent.
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
        let dead = member.filter(|id| is_known_process && self.is_known_dead(*id));
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

    fn is_known_dead(&self, id: MemberId) -> bool {
        self.table.get(id).is_some_and(|entry| !entry.is_alive())
    }

    /// Addresses of these nodes, as far as they are known.
    pub(crate) fn peers_of(&self, members: &[MemberId]) -> Vec<PeerId> {
        members
            .iter()
            .filter_map(|id| self.table.peer_of(*id))
            .collect()
    }

    /// Addresses of the observers and subjects of this node.
    pub(crate) fn neighbours(&self) -> Vec<PeerId> {
        let mut neighbours = self.peers_of(&self.detector.observers);
        neighbours.extend(self.peers_of(&self.detector.subjects));
        neighbours.sort_unstable();
        neighbours.dedup();
        neighbours
    }

    /// Nodes other than `excluded` that are alive and from which a datagram was received within the suspicion timeout.
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
