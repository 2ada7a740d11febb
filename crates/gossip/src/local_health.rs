//! Local health, as in Lifeguard: whether this node itself communicates well enough for its view to be trusted.

use crate::event::Action;
use crate::member::Health;
use crate::member_id::MemberId;
use crate::member_table::MemberEntry;
use crate::node::Gossip;
use crate::own_status::OwnStatus;

/// Within this many probe intervals a datagram must have been received from a subject for it to count as received.
const RECEIVED_WINDOW_IN_PROBES: f64 = 5.0;
/// The same for acks of observers, which are requested from every second probe only.
const ACK_WINDOW_IN_PROBES: f64 = 8.0;
/// A node is well if more than this fraction of its subjects and observers count.
const WELL_FRACTION: f64 = 0.75;
/// For how long the health must have been better before the improvement is reported, in milliseconds.
const IMPROVEMENT_DELAY_MS: f64 = 1_000.0;

/// The reported health.
#[derive(Debug)]
pub(crate) struct LocalHealth {
    pub current: Health,
    /// Since when the health has been better than the reported one.
    improving_since_ms: Option<f64>,
}

impl LocalHealth {
    pub fn new() -> Self {
        Self {
            current: Health::Isolated,
            improving_since_ms: None,
        }
    }
}

/// The fraction of nodes that count. One missing node is most likely its own fault, however few nodes there are.
fn healthy_fraction(count: usize, of: usize) -> f64 {
    match count {
        0 => 0.0,
        _ if of - count <= 1 => 1.0,
        _ => count as f64 / of as f64,
    }
}

impl Gossip {
    /// Measures the local health and reports changes: a decline at once, an improvement once it has lasted.
    pub(crate) fn update_local_health(&mut self) {
        let measured = self.measure_local_health();
        if measured <= self.local_health.current {
            self.local_health.improving_since_ms = None;
            return self.set_health(measured);
        }
        let since_ms = *self
            .local_health
            .improving_since_ms
            .get_or_insert(self.now_ms);
        if self.now_ms - since_ms >= IMPROVEMENT_DELAY_MS {
            self.local_health.improving_since_ms = None;
            self.set_health(measured);
        }
    }

    fn measure_local_health(&self) -> Health {
        let has_peers = self.peers.values().any(|peer| !peer.is_self);
        let fraction = self.received_fraction().min(self.acked_fraction());
        match self.own.status {
            _ if !has_peers => Health::Well,
            OwnStatus::Alive if fraction > WELL_FRACTION => Health::Well,
            OwnStatus::Alive if fraction > 0.0 => Health::Degraded,
            _ => Health::Isolated,
        }
    }

    /// The fraction of subjects from which a datagram was received lately.
    fn received_fraction(&self) -> f64 {
        let window_ms = self.probe_intervals_ms(RECEIVED_WINDOW_IN_PROBES);
        let is_received = |entry: &MemberEntry| entry.was_received_within(self.now_ms, window_ms);
        self.fraction_of(&self.detector.subjects, is_received)
    }

    /// The fraction of observers that acknowledged a probe lately.
    fn acked_fraction(&self) -> f64 {
        let window_ms = self.probe_intervals_ms(ACK_WINDOW_IN_PROBES);
        let has_acked = |entry: &MemberEntry| {
            entry
                .last_ack_ms
                .is_some_and(|acked| self.now_ms - acked < window_ms)
        };
        self.fraction_of(&self.detector.observers, has_acked)
    }

    fn fraction_of(&self, members: &[MemberId], counts: impl Fn(&MemberEntry) -> bool) -> f64 {
        let count = members
            .iter()
            .filter(|id| self.table.get(**id).is_some_and(&counts))
            .count();
        healthy_fraction(count, members.len())
    }

    /// Sets the health and reports it if it has changed.
    pub(crate) fn set_health(&mut self, health: Health) {
        if std::mem::replace(&mut self.local_health.current, health) != health {
            self.actions.push(Action::Health(health));
        }
    }
}
