//! Local health, as in Lifeguard: whether this node's own communication works well enough for its
//! view to be reliable.

use crate::event::Action;
use crate::member::Health;
use crate::member_id::MemberId;
use crate::member_table::MemberEntry;
use crate::node::Gossip;
use crate::own_status::OwnStatus;

/// Maximum age, in probe intervals, of the last datagram from a subject that counts as healthy.
const RECEIVED_WINDOW_IN_PROBES: f64 = 5.0;
/// Maximum age, in probe intervals, of the last ack of an observer that counts as healthy. It is
/// longer because only every second probe requests an ack.
const ACK_WINDOW_IN_PROBES: f64 = 8.0;
/// A node is well if it receives from more than this fraction of its subjects, and is acknowledged
/// by more than this fraction of its observers.
const WELL_FRACTION: f64 = 0.75;
/// Time for which the measured health must stay above the reported one before it is reported, in
/// milliseconds.
const IMPROVEMENT_DELAY_MS: f64 = 1_000.0;

/// The reported health, and the state of a pending improvement.
#[derive(Debug)]
pub(crate) struct LocalHealth {
    pub current: Health,
    /// Time since which the measured health has been above the reported one.
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

/// The fraction of healthy nodes. A single unhealthy node is most likely at fault itself, and is
/// disregarded however few nodes there are.
fn healthy_fraction(healthy: usize, total: usize) -> f64 {
    match healthy {
        0 => 0.0,
        _ if total - healthy <= 1 => 1.0,
        _ => healthy as f64 / total as f64,
    }
}

impl Gossip {
    /// Measures the local health and reports a change: a decline at once, an improvement after
    /// [`IMPROVEMENT_DELAY_MS`].
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

    /// The fraction of subjects from which a datagram was received within
    /// [`RECEIVED_WINDOW_IN_PROBES`].
    fn received_fraction(&self) -> f64 {
        let window_ms = self.probe_intervals_ms(RECEIVED_WINDOW_IN_PROBES);
        let has_sent_datagram =
            |entry: &MemberEntry| entry.was_received_within(self.now_ms, window_ms);
        self.healthy_fraction_of(&self.detector.subjects, has_sent_datagram)
    }

    /// The fraction of observers that acknowledged a probe within [`ACK_WINDOW_IN_PROBES`].
    fn acked_fraction(&self) -> f64 {
        let window_ms = self.probe_intervals_ms(ACK_WINDOW_IN_PROBES);
        let has_acked = |entry: &MemberEntry| {
            entry
                .last_ack_ms
                .is_some_and(|acked| self.now_ms - acked < window_ms)
        };
        self.healthy_fraction_of(&self.detector.observers, has_acked)
    }

    fn healthy_fraction_of(
        &self,
        members: &[MemberId],
        is_healthy: impl Fn(&MemberEntry) -> bool,
    ) -> f64 {
        let healthy = members
            .iter()
            .filter(|id| self.table.get(**id).is_some_and(&is_healthy))
            .count();
        healthy_fraction(healthy, members.len())
    }

    /// Sets the reported health, and emits an action if it changes.
    pub(crate) fn set_health(&mut self, health: Health) {
        if std::mem::replace(&mut self.local_health.current, health) != health {
            self.actions.push(Action::Health(health));
        }
    }
}
