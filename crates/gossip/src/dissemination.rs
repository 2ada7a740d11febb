//! Dissemination of updates about other nodes (alive, dead, left), and how received updates are
//! applied.
//!
//! A death notice is forwarded at once, but changes the receiver's member table only after a delay,
//! so that the node can refute it first.

use crate::event::{Action, Change, ChangeCause};
use crate::join::NameSource;
use crate::member::State;
use crate::member_id::MemberId;
use crate::member_table::{MemberEntry, PendingDeath};
use crate::node::Gossip;
use crate::rate_limit::RateLimit;
use crate::settings::InjectedFault;
use crate::transport::Sender;
use crate::wire::{DeathNotice, Record, DEATH_AGE_UNIT_MS};

/// Rate limit of floods: the burst, and the sustained rate per second. A flood sends one datagram
/// to each neighbour; with 12 neighbours the sustained rate is about a hundred datagrams per
/// second.
const FLOOD_BURST: f64 = 8.0;
const FLOODS_PER_S: f64 = 8.0;

/// The rate limit of floods, and the deaths that have not taken effect yet.
#[derive(Debug)]
pub(crate) struct Dissemination {
    pub flood_limit: RateLimit,
    /// Nodes with a [`PendingDeath`].
    pub pending_deaths: Vec<MemberId>,
}

impl Dissemination {
    pub fn new(now_ms: f64) -> Self {
        Self {
            flood_limit: Self::full_flood_limit(now_ms),
            pending_deaths: Vec::new(),
        }
    }

    /// The rate limit of floods with its whole burst available.
    pub fn full_flood_limit(now_ms: f64) -> RateLimit {
        RateLimit::new(now_ms, FLOOD_BURST, FLOODS_PER_S)
    }
}

impl Gossip {
    /// Sends a datagram to each neighbour if some update was never transmitted and the rate limit
    /// allows it. Otherwise updates are piggybacked on the next datagrams.
    pub(crate) fn flood_updates(&mut self) {
        let is_allowed = self.table.has_unsent_update()
            && self.dissemination.flood_limit.try_acquire(self.now_ms);
        if is_allowed {
            for peer in self.neighbours() {
                self.send(peer, &[]);
            }
        }
    }

    /// Handles a report that a node, which may be this one, is alive.
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
            self.mark_alive(member, incarnation, process_id, &sender.report_cause());
        } else {
            let entry = MemberEntry::new(name, incarnation, process_id, self.now_ms);
            // `add_member` counts and logs a full table.
            let _ = self.add_member(member, entry, sender.report_cause());
        }
    }

    /// Marks a known node as alive if `incarnation` is higher than its known incarnation.
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
            self.detector.are_rings_stale |= state_before != State::Alive;
            self.report_change(member, Some(state_before), cause.clone());
        }
    }

    /// Replaces the process of a node, and clears the timestamps of datagrams that its previous
    /// process sent.
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

    /// Emits the change of a node's state from `from` to its current state.
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

    /// Handles a report that a node other than this one is dead.
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
        if entry.pending_death.is_some() {
            return;
        }
        let declared_ms = now_ms - f64::from(age_quarter_seconds) * DEATH_AGE_UNIT_MS;
        let is_received = entry.was_received_within(now_ms, self.settings.suspicion_timeout_ms);
        let peer = entry.peer.filter(|_| is_received);
        let pending = PendingDeath {
            due_ms: now_ms + self.death_delay_ms(declared_ms, is_received),
            incarnation,
            reported_by: sender.name.clone(),
            declared_ms,
        };
        if let Some(entry) = self.table.get_mut(member) {
            entry.pending_death = Some(Box::new(pending));
        }
        self.dissemination.pending_deaths.push(member);
        self.table.enqueue_update(member);
        if let Some(peer) = peer {
            // Forwards the notice to the reported node, so that it can refute its death at once.
            let probe = Record::Probe {
                ack_requested: true,
                to_observer: false,
            };
            self.send(peer, &[Record::Dead(notice), probe]);
        }
    }

    /// Delay before a reported death takes effect, in milliseconds, so that a refutation can arrive
    /// first.
    ///
    /// - A notice that is old on arrival was decided on the other side of a partition. Many nodes
    ///   may refute such notices at once, over links that may be slow.
    /// - A node from which this node receives datagrams refutes its death itself if enough of its
    ///   observers acknowledge its probes.
    /// - After a pause this process reads old notices, and their refutations may be queued behind
    ///   them.
    fn death_delay_ms(&self, declared_ms: f64, is_received: bool) -> f64 {
        let suspicion_timeout_ms = self.settings.suspicion_timeout_ms;
        let probe_interval_ms = self.settings.probe_interval_ms;
        let is_old = self.now_ms - declared_ms > suspicion_timeout_ms;
        let was_paused = self.now_ms - self.detector.running_since_ms < suspicion_timeout_ms;
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

    /// Applies reported deaths that were not refuted within their delay.
    pub(crate) fn apply_due_deaths(&mut self) {
        for member in std::mem::take(&mut self.dissemination.pending_deaths) {
            let Some(entry) = self.table.get(member) else {
                continue;
            };
            let Some(pending) = entry.pending_death.clone() else {
                continue;
            };
            let PendingDeath {
                due_ms,
                incarnation,
                reported_by,
                declared_ms,
            } = *pending;
            if self.now_ms < due_ms {
                self.dissemination.pending_deaths.push(member);
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
        self.detector.are_rings_stale = true;
        self.report_change(member, state_before, cause);
    }

    /// Handles a report that a node other than this one has left.
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
        self.detector.are_rings_stale = true;
        self.report_change(member, Some(state_before), sender.report_cause());
    }
}
