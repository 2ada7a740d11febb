//! Whether a request may be attempted again, by its class, its deadline and the node's retry budget.

use crate::balancer::Balancer;
use crate::request::PendingRequest;
use crate::server_list::ServerId;
use crate::settings::{Idempotency, RetryBudget, Settings};
use crate::window::SlidingWindow;

/// Retries per request accepted in the window of the default budget, which applies if none is set. Limits
/// how much retries add to an overload.
const DEFAULT_RETRIES_PER_REQUEST: f64 = 0.2;
/// Window of the default budget, in mean latency objectives.
const DEFAULT_WINDOW_OBJECTIVES: f64 = 25.0;
/// Fraction of the deduplication window within which a retry is sent, as the retry must also arrive within
/// the window.
const DEDUP_WINDOW_FRACTION: f64 = 0.8;
/// Margin in milliseconds by which the window is shortened for accepted requests and extended for retries,
/// so that the budget is not exceeded.
const WINDOW_MARGIN_MS: f64 = 1.0;

/// The retry budget, and the accepted requests and retries that count towards it.
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
            retries_per_request: DEFAULT_RETRIES_PER_REQUEST,
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
        // Drops entries that have left the window, also on a node that never retries.
        self.remaining(now_ms);
    }

    pub fn retry_sent(&mut self, now_ms: f64) {
        self.sent.push(now_ms);
    }

    /// Number of further retries that the budget allows now.
    #[inline]
    pub fn remaining(&mut self, now_ms: f64) -> f64 {
        let since_ms = now_ms - self.budget.window_ms;
        let accepted = self.accepted.count_since(since_ms + WINDOW_MARGIN_MS);
        let allowed = self.budget.min_retries + self.budget.retries_per_request * accepted;
        allowed - self.sent.count_since(since_ms - WINDOW_MARGIN_MS)
    }
}

impl Balancer {
    /// Whether it is too late to send a request: its deadline has passed or, if servers are polled, the
    /// remaining time is no longer than the time reserved for polls.
    #[inline]
    pub(crate) fn deadline_too_near(&self, request: &PendingRequest) -> bool {
        self.now_ms + self.health_checks.reserve_ms(self.objective_ms) >= request.deadline_ms
    }

    /// Whether a request's class and earlier attempts allow another attempt, if none is in flight.
    #[inline]
    pub(crate) fn may_attempt(&self, request: &PendingRequest) -> bool {
        let first_run = request.first_run_attempt();
        let allowed = match (first_run, self.settings.classes[request.class].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(first), Idempotency::IdempotencyKey { window_ms, .. }) => {
                self.now_ms - first.sent_at_ms < window_ms * DEDUP_WINDOW_FRACTION
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
