//! The status of this node in the cluster, and how it refutes a wrong report of its death: with a
//! higher incarnation, once enough of its observers acknowledge its probes.

use crate::event::LogEvent;
use crate::member::{Health, State};
use crate::member_id::MemberId;
use crate::node::Gossip;

/// Time after its start within which a process may take over its name from another process, in
/// milliseconds. After that it is presumed to be the older of the two.
const TAKEOVER_WINDOW_MS: f64 = 10_000.0;
/// Maximum number of takeovers by one process.
const MAX_TAKEOVERS: u32 = 4;
/// Maximum age, in probe intervals, of an observer's last ack that counts towards refuting this
/// node's death.
const REFUTE_ACK_WINDOW_IN_PROBES: f64 = 4.0;
/// Window of refutations that count towards the backoff, in milliseconds. Also the minimum interval
/// between two log entries of a name conflict that does not end this process's membership.
const REFUTATION_WINDOW_MS: f64 = 60_000.0;
/// Number of refutations in the window that are not delayed.
const IMMEDIATE_REFUTATIONS: usize = 2;
/// Delay of the first delayed refutation, which doubles with each further one up to the maximum, in
/// milliseconds. It keeps an unreachable node from flapping forever.
const MIN_REFUTATION_BACKOFF_MS: f64 = 2_000.0;
const MAX_REFUTATION_BACKOFF_MS: f64 = 30_000.0;

/// The status of this node in the cluster.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OwnStatus {
    Alive,
    /// Other nodes report that this node is dead or has left.
    DeclaredDead {
        /// The highest reported incarnation.
        incarnation: u64,
        /// Time of the first report.
        since_ms: f64,
    },
    /// Another process has taken over this node's name; this process no longer takes part in
    /// failure detection.
    Superseded {
        /// The highest known incarnation of the other process.
        incarnation: u64,
    },
    Leaving,
}

/// The status of this node, and the history that limits takeovers, refutations and log entries.
#[derive(Debug)]
pub(crate) struct OwnState {
    pub status: OwnStatus,
    started_ms: f64,
    takeovers: u32,
    last_conflict_log_ms: f64,
    /// Times of the refutations that count towards the backoff.
    recent_refutations: Vec<f64>,
    /// Time since which enough observers have acknowledged probes without interruption.
    pub acked_since_ms: Option<f64>,
}

impl OwnState {
    pub fn new(now_ms: f64) -> Self {
        Self {
            status: OwnStatus::Alive,
            started_ms: now_ms,
            takeovers: 0,
            last_conflict_log_ms: f64::NEG_INFINITY,
            recent_refutations: Vec::new(),
            acked_since_ms: None,
        }
    }

    /// Whether this process takes part in failure detection. It continues to do so while it is
    /// declared dead.
    pub fn is_member(&self) -> bool {
        matches!(
            self.status,
            OwnStatus::Alive | OwnStatus::DeclaredDead { .. }
        )
    }

    /// The delay of the next refutation.
    fn refutation_backoff_ms(&self) -> f64 {
        let recent = self.recent_refutations.len();
        match recent.checked_sub(IMMEDIATE_REFUTATIONS) {
            None => 0.0,
            Some(doublings) => (MIN_REFUTATION_BACKOFF_MS * 2_f64.powi(doublings as i32))
                .min(MAX_REFUTATION_BACKOFF_MS),
        }
    }
}

impl Gossip {
    /// Handles a report that this node is dead or has left.
    pub(crate) fn receive_own_death(&mut self, incarnation: u64, reported_by: &str) {
        let own_incarnation = self.incarnation();
        let may_take_over = self.may_take_over();
        let declared_dead = OwnStatus::DeclaredDead {
            incarnation,
            since_ms: self.now_ms,
        };
        match &mut self.own.status {
            OwnStatus::Leaving => {}
            OwnStatus::Superseded {
                incarnation: known_incarnation,
            } => {
                if incarnation >= *known_incarnation {
                    self.own.status = declared_dead;
                }
            }
            OwnStatus::DeclaredDead {
                incarnation: known_incarnation,
                ..
            } => *known_incarnation = incarnation.max(*known_incarnation),
            OwnStatus::Alive if incarnation < own_incarnation => {
                self.table.enqueue_update(self.id);
            }
            OwnStatus::Alive if incarnation > own_incarnation && may_take_over => {
                // The dead process is an earlier one of this node, whose clock was ahead.
                self.take_over(incarnation);
            }
            OwnStatus::Alive => {
                self.own.status = declared_dead;
                self.log(LogEvent::DeclaredDead {
                    by: reported_by.to_owned(),
                });
                self.set_health(Health::Isolated);
                // The sooner the observers acknowledge, the fewer nodes apply the report before it
                // is refuted.
                self.probe_observers(true);
            }
        }
        self.try_refute();
    }

    /// Refutes this node's death if at least half of its observers acknowledge its probes. A node
    /// that only a few can reach would flap forever if it refuted.
    pub(crate) fn try_refute(&mut self) {
        let OwnStatus::DeclaredDead {
            incarnation,
            since_ms,
        } = self.own.status
        else {
            return;
        };
        let now_ms = self.now_ms;
        self.own
            .recent_refutations
            .retain(|refuted| now_ms - refuted < REFUTATION_WINDOW_MS);
        // If probes were acknowledged for longer than the quorum's decision can take, this node was
        // not unreachable: the report is from the other side of a healed partition, and its
        // refutation needs no delay.
        let max_decision_ms = 2.0 * self.settings.suspicion_timeout_ms;
        let was_unreachable = self
            .own
            .acked_since_ms
            .is_none_or(|acked| since_ms - acked < max_decision_ms);
        let backoff_ms = if was_unreachable {
            self.own.refutation_backoff_ms()
        } else {
            0.0
        };
        if now_ms < since_ms + backoff_ms || !self.is_acked_by_observers() {
            return;
        }
        if was_unreachable {
            self.own.recent_refutations.push(now_ms);
        }
        self.own.status = OwnStatus::Alive;
        self.metrics.refutations += 1;
        let incarnation = incarnation.max(self.incarnation()) + 1;
        self.table
            .update(self.id, now_ms, State::Alive, incarnation);
        self.log(LogEvent::Refuted { incarnation });
    }

    /// Whether at least half of the observers have acknowledged a probe within
    /// [`REFUTE_ACK_WINDOW_IN_PROBES`] and since the last pause of this process.
    fn is_acked_by_observers(&self) -> bool {
        let window_ms = self.probe_intervals_ms(REFUTE_ACK_WINDOW_IN_PROBES);
        let has_acked = |id: &&MemberId| {
            let last_ack = self.table.get(**id).and_then(|entry| entry.last_ack_ms);
            last_ack.is_some_and(|acked| {
                self.now_ms - acked < window_ms && acked >= self.detector.running_since_ms
            })
        };
        let observers = &self.detector.observers;
        let acked = observers.iter().filter(has_acked).count();
        acked > 0 && 2 * acked >= observers.len()
    }

    pub(crate) fn update_acked_since(&mut self) {
        self.own.acked_since_ms = if self.is_acked_by_observers() {
            self.own.acked_since_ms.or(Some(self.now_ms))
        } else {
            None
        };
    }

    /// Whether this process may take over its name from another process.
    pub(crate) fn may_take_over(&self) -> bool {
        self.now_ms - self.own.started_ms < TAKEOVER_WINDOW_MS && self.own.takeovers < MAX_TAKEOVERS
    }

    /// Takes over this node's name from another process, with an incarnation above that of the
    /// other.
    pub(crate) fn take_over(&mut self, other_incarnation: u64) {
        self.own.takeovers += 1;
        self.table
            .update(self.id, self.now_ms, State::Alive, other_incarnation + 1);
    }

    pub(crate) fn log_name_conflict(&mut self, other_incarnation: u64, is_superseded: bool) {
        let is_due = self.now_ms - self.own.last_conflict_log_ms > REFUTATION_WINDOW_MS;
        if is_superseded || is_due {
            self.own.last_conflict_log_ms = self.now_ms;
            let own_incarnation = self.incarnation();
            self.log(LogEvent::NameConflict {
                other_incarnation,
                own_incarnation,
                is_superseded,
            });
        }
    }
}
