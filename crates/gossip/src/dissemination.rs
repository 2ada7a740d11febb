//! Spreading and applying updates about other nodes: alive, dead and left.
//!
//! A death report takes effect only after a delay, so that the node can refute it first; it is forwarded at once.

use crate::event::{Action, Change, ChangeCause};
use crate::join::NameSource;
use crate::member::State;
use crate::member_id::MemberId;
use crate::member_table::{MemberEntry, PendingRemoval};
use crate::node::Gossip;
use crate::rate_limit::RateLimit;
use crate::settings::InjectedFault;
use crate::transport::Sender;
use crate::wire::{DeathNotice, Record, DEATH_AGE_UNIT_MS};

/// How many floods of updates may follow each other, and how many a second are allowed after that. With 12 neighbours
/// that is about a hundred datagrams a second.
const FLOOD_BURST: f64 = 8.0;
const FLOODS_PER_S: f64 = 8.0;

/// Limits of dissemination, and deaths that have not taken effect yet.
#[derive(Debug)]
pub(crate) struct Dissemination {
    pub flood_limit: RateLimit,
    /// Nodes with a [`PendingRemoval`].
    pub pending_removals: Vec<MemberId>,
}

impl Dissemination {
    pub fn new(now_ms: f64) -> Self {
        Self {
            flood_limit: Self::flood_limit(now_ms),
            pending_removals: Vec::new(),
        }
    }

    /// The limit of floods, unused.
    pub fn flood_limit(now_ms: f64) -> RateLimit {
        RateLimit::new(now_ms, FLOOD_BURST, FLOODS_PER_S)
    }
}

impl Gossip {
    /// Sends updates that were never transmitted to all neighbours, within the flood limit. Beyond it they go with the
    /// next datagrams.
    pub(crate) fn flood_updates(&mut self) {
        let is_allowed = self.table.has_unsent_update()
            && self.dissemination.flood_limit.try_acquire(self.now_ms);
        if is_allowed {
            for peer in self.neighbours() {
                self.send(peer, &[]);
            }
        }
    }

    /// Another node reports that one is alive.
    pub(crate) fn receive_alive(
        &mut self,
        sender: &Sender,
        incarnation: u64,
        process_id: u64,
        name: String,
    ) {
        let member = MemberId::of(&name);
        if member == self.id {
            self.receive_own_name(incarnation, process_id, NameSource::Gossip);
        } else if self.table.get(member).is_some() {
            self.mark_alive(member, incarnation, process_id, &sender.reported());
        } else {
            let entry = MemberEntry::new(name, incarnation, process_id, self.now_ms);
            // A full table was counted and logged.
            let _ = self.add_member(member, entry, sender.reported());
        }
    }

    /// Applies that a known node is alive, if its incarnation is later than the known one.
    pub(crate) fn mark_alive(
        &mut self,
        member: MemberId,
        incarnation: u64,
        process_id: u64,
        cause: &ChangeCause,
    ) {
        let Some(entry) = self.table.get(member) else {
            return;
        };
        let state_before = entry.state;
        let is_same_process = entry.process_id == process_id;
        let is_later = incarnation > entry.incarnation
            || (self.has_fault(InjectedFault::EqualIncarnationAccepted)
                && incarnation == entry.incarnation);
        let is_ignored = self.has_fault(InjectedFault::RefutationIgnored)
            && state_before == State::Dead
            && is_same_process;
        if is_ignored || !is_later {
            return;
        }
        self.table
            .update(member, self.now_ms, State::Alive, incarnation);
        if !is_same_process {
            self.reset_process(member, process_id);
        }
        if state_before != State::Alive || !is_same_process {
            self.detector.is_stale |= state_before != State::Alive;
            self.report_change(member, Some(state_before), cause.clone());
        }
    }

    /// A node is another process now: what was received from it came from the one before.
    fn reset_process(&mut self, member: MemberId, process_id: u64) {
        let now_ms = self.now_ms;
        if let Some(entry) = self.table.get_mut(member) {
            entry.process_id = process_id;
            entry.since_ms = now_ms;
            entry.last_received_ms = None;
            entry.last_ack_ms = None;
            entry.last_observer_probe_ms = None;
            entry.observed_since_ms = entry.observed_since_ms.map(|_| now_ms);
        }
    }

    /// Pushes a change of a node's state from `from` to its present one.
    pub(crate) fn report_change(
        &mut self,
        member: MemberId,
        from: Option<State>,
        cause: ChangeCause,
    ) {
        let Some(entry) = self.table.get(member) else {
            return;
        };
        let change = Change {
            name: entry.name.clone(),
            from,
            to: self.state_of(member, entry),
            incarnation: entry.incarnation,
            cause,
        };
        self.actions.push(Action::Changed(change));
    }

    /// Another node reports that one, not this one, is dead.
    pub(crate) fn receive_death_notice(&mut self, sender: &Sender, notice: DeathNotice) {
        let DeathNotice {
            member,
            incarnation,
            age_quarter_seconds,
        } = notice;
        let now_ms = self.now_ms;
        let Some(entry) = self.table.get(member) else {
            return;
        };
        if incarnation < entry.incarnation {
            // The sender has missed an update.
            return self.table.enqueue_update(member);
        }
        if !entry.is_alive() {
            if incarnation > entry.incarnation {
                let state = entry.state;
                self.table
                    .update_from_notice(member, now_ms, state, incarnation);
            }
            return;
        }
        if entry.pending_removal.is_some() {
            return;
        }
        let declared_ms = now_ms - f64::from(age_quarter_seconds) * DEATH_AGE_UNIT_MS;
        let is_received = entry.was_received_within(now_ms, self.settings.suspicion_timeout_ms);
        let peer = entry.peer.filter(|_| is_received);
        let pending = PendingRemoval {
            due_ms: now_ms + self.removal_delay_ms(declared_ms, is_received),
            incarnation,
            reported_by: sender.name.clone(),
            declared_ms,
        };
        if let Some(entry) = self.table.get_mut(member) {
            entry.pending_removal = Some(Box::new(pending));
        }
        self.dissemination.pending_removals.push(member);
        self.table.enqueue_update(member);
        if let Some(peer) = peer {
            // It can refute the report at once.
            let probe = Record::Probe {
                ack_requested: true,
                to_observer: false,
            };
            self.send(peer, &[Record::Dead(notice), probe]);
        }
    }

    /// How long a reported death waits for a refutation.
    ///
    /// A notice that is old when it arrives is the verdict of the other side of a partition, to which many nodes have a
    /// refutation, over links that may be slow. A node that this one receives datagrams from will refute by itself if
    /// enough others do, too. And a node that was just paused reads old notices, whose refutation may be next in line.
    fn removal_delay_ms(&self, declared_ms: f64, is_received: bool) -> f64 {
        let suspicion_timeout_ms = self.settings.suspicion_timeout_ms;
        let probe_interval_ms = self.settings.probe_interval_ms;
        let is_old = self.now_ms - declared_ms > suspicion_timeout_ms;
        let was_paused = self.now_ms - self.detector.listening_since_ms < suspicion_timeout_ms;
        if is_old {
            2.0 * suspicion_timeout_ms
        } else if is_received {
            suspicion_timeout_ms
        } else if was_paused {
            2.0 * probe_interval_ms
        } else {
            probe_interval_ms
        }
    }

    /// Applies reported deaths whose delay has passed without a refutation.
    pub(crate) fn apply_due_removals(&mut self) {
        for member in std::mem::take(&mut self.dissemination.pending_removals) {
            let Some(entry) = self.table.get(member) else {
                continue;
            };
            let Some(pending) = entry.pending_removal.clone() else {
                continue;
            };
            let PendingRemoval {
                due_ms,
                incarnation,
                reported_by,
                declared_ms,
            } = *pending;
            if self.now_ms < due_ms {
                self.dissemination.pending_removals.push(member);
            } else if entry.is_alive() && entry.incarnation <= incarnation {
                let cause = ChangeCause::Reported { by: reported_by };
                self.mark_dead(member, incarnation, declared_ms, cause);
            }
        }
    }

    pub(crate) fn mark_dead(
        &mut self,
        member: MemberId,
        incarnation: u64,
        declared_ms: f64,
        cause: ChangeCause,
    ) {
        let state_before = self
            .table
            .get(member)
            .map(|entry| self.state_of(member, entry));
        self.table
            .update_from_notice(member, self.now_ms, State::Dead, incarnation);
        if let Some(entry) = self.table.get_mut(member) {
            entry.declared_dead_ms = declared_ms;
        }
        self.detector.is_stale = true;
        self.report_change(member, state_before, cause);
    }

    /// Another node reports that one, not this one, has left.
    pub(crate) fn receive_left(&mut self, sender: &Sender, member: MemberId, incarnation: u64) {
        let Some(entry) = self.table.get(member) else {
            return;
        };
        let state_before = self.state_of(member, entry);
        if incarnation < entry.incarnation || entry.state == State::Left {
            return;
        }
        self.table
            .update_from_notice(member, self.now_ms, State::Left, incarnation);
        self.detector.is_stale = true;
        self.report_change(member, Some(state_before), sender.reported());
    }
}
