//! Whether a request may be attempted again: by its class, its time, and the node's retry budget.

use crate::balancer::Balancer;
use crate::request::PendingRequest;
use crate::server_list::ServerId;
use crate::settings::{Idempotency, RetryBudget, Settings};
use crate::window::SlidingWindow;

/// Budget where none is set: retries as a share of the requests accepted in the window, so that they
/// cannot multiply an overload.
const DEFAULT_RETRY_SHARE: f64 = 0.2;
/// Window of the default budget, in mean latency objectives.
const DEFAULT_WINDOW_OBJECTIVES: f64 = 25.0;
/// Share of the window for repeats within which a retry is sent: it must arrive in it, too.
const KEY_WINDOW_SHARE: f64 = 0.8;
/// The windows of the budget are counted this much on the safe side.
const WINDOW_MARGIN_MS: f64 = 1.0;

/// The retry budget and what has been used of it.
#[derive(Default)]
pub(crate) struct RetryLimiter {
    budget: RetryBudget,
    accepted: SlidingWindow,
    sent: SlidingWindow,
}

impl RetryLimiter {
    pub fn new(settings: &Settings, objective_ms: f64) -> Self {
        let default = RetryBudget {
            min_retries: settings.max_attempts as f64,
            retries_per_request: DEFAULT_RETRY_SHARE,
            window_ms: DEFAULT_WINDOW_OBJECTIVES * objective_ms,
        };
        Self {
            budget: settings.retry_budget.unwrap_or(default),
            ..Self::default()
        }
    }

    #[inline]
    pub fn request_accepted(&mut self, now_ms: f64) {
        self.accepted.push(now_ms);
        // Forgets what the budget does not count any more, on a node that never retries, too.
        self.remaining(now_ms);
    }

    pub fn retry_sent(&mut self, now_ms: f64) {
        self.sent.push(now_ms);
    }

    /// How many more retries the budget allows now.
    #[inline]
    pub fn remaining(&mut self, now_ms: f64) -> f64 {
        let since_ms = now_ms - self.budget.window_ms;
        let accepted = self.accepted.count_since(since_ms + WINDOW_MARGIN_MS);
        let allowed = self.budget.min_retries + self.budget.retries_per_request * accepted;
        allowed - self.sent.count_since(since_ms - WINDOW_MARGIN_MS)
    }
}

impl Balancer {
    /// Whether a request is too near its deadline to be sent: what remains must do for polling, where
    /// servers are polled, and for the answer.
    #[inline]
    pub(crate) fn too_late(&self, request: &PendingRequest) -> bool {
        self.now_ms + self.health_checks.reserve_ms(self.objective_ms) >= request.deadline_ms
    }

    /// Whether its class and its earlier attempts allow one more, once none is in flight.
    #[inline]
    pub(crate) fn may_attempt(&self, request: &PendingRequest) -> bool {
        let first_run = request.first_run_attempt();
        let allowed = match (first_run, self.settings.classes[request.class].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(first), Idempotency::IdempotencyKey { window_ms, .. }) => {
                self.now_ms - first.sent_at_ms < window_ms * KEY_WINDOW_SHARE
            }
            (Some(_), Idempotency::NonIdempotent) => false,
        };
        allowed && request.attempts.len() < self.settings.max_attempts
    }

    /// Selects a server for a retry, if the budget allows one.
    pub(crate) fn select_for_retry(&mut self, request: &mut PendingRequest) -> Option<ServerId> {
        let max_wait_ms = if self.health_checks.enabled {
            self.admissible_wait_ms(request)
        } else {
            f64::INFINITY
        };
        if self.retries.remaining(self.now_ms) < 1.0 {
            return None;
        }
        self.select(request, max_wait_ms)
    }
}
