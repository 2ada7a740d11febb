//! The timers that a balancer sets, and their encoding as the opaque number that the embedding node
//! returns in [`Event::Timer`](crate::Event::Timer).
//!
//! Number zero is the timer for a new subscription; any other number is a request's id times eight plus
//! the code of the timer's kind. Numbers of any other form are ignored.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::event::RequestId;

const KIND_BITS: u32 = 3;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;
const RESUBSCRIBE: u64 = 0;

/// Event that the expiry of a request's timer stands for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimerKind {
    /// A queued request has run out of time.
    QueueTimeout,
    /// The cooldown of a key has ended.
    KeyCooldown,
    /// The poll of servers for their load has timed out.
    LoadPoll,
    /// An attempt takes longer than an ordinary answer.
    AttemptOverdue,
}

/// A timer of a balancer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timer {
    Resubscribe,
    Request { id: RequestId, kind: TimerKind },
}

impl Timer {
    pub fn to_number(self) -> u64 {
        match self {
            Self::Resubscribe => RESUBSCRIBE,
            Self::Request { id, kind } => {
                let kind = match kind {
                    TimerKind::QueueTimeout => 1,
                    TimerKind::KeyCooldown => 2,
                    TimerKind::LoadPoll => 3,
                    TimerKind::AttemptOverdue => 4,
                };
                id.0 << KIND_BITS | kind
            }
        }
    }

    pub fn from_number(number: u64) -> Option<Self> {
        let kind = match number & KIND_MASK {
            1 => TimerKind::QueueTimeout,
            2 => TimerKind::KeyCooldown,
            3 => TimerKind::LoadPoll,
            4 => TimerKind::AttemptOverdue,
            _ if number == RESUBSCRIBE => return Some(Self::Resubscribe),
            _ => return None,
        };
        let id = RequestId(number >> KIND_BITS);
        Some(Self::Request { id, kind })
    }
}

impl Balancer {
    pub(crate) fn set_request_timer(&mut self, id: RequestId, kind: TimerKind, after_ms: f64) {
        self.actions.push(Action::SetTimer {
            timer: Timer::Request { id, kind }.to_number(),
            after_ms,
        });
    }

    pub(crate) fn timer_expired(&mut self, timer: Timer) {
        match timer {
            Timer::Resubscribe => self.resubscribe_timer_expired(),
            Timer::Request { id, kind } => self.request_timer_expired(id, kind),
        }
    }

    fn request_timer_expired(&mut self, id: RequestId, kind: TimerKind) {
        let Some(request) = self.pending.remove(&id) else {
            return;
        };
        let unsent = request.attempts.is_empty();
        let polling = !request.polled.is_empty();
        match kind {
            TimerKind::QueueTimeout if unsent => return self.finish_or_wait(id, request),
            TimerKind::KeyCooldown if unsent && !polling && self.may_run(id, &request) => {
                return self.dispatch(id, request);
            }
            TimerKind::LoadPoll if polling => return self.dispatch(id, request),
            TimerKind::AttemptOverdue if !request.answered && !polling => {
                if let Some(attempt) = request.attempts.iter().find(|a| a.in_flight) {
                    self.poll_load(attempt.server, id);
                }
            }
            _ => {}
        }
        self.pending.insert(id, request);
    }
}
