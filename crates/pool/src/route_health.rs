//! Health of an address: consecutive failures and the resulting backoff.

/// Backoff after the first failure, in milliseconds, doubled with each further one.
const MIN_BACKOFF_MS: f64 = 1_000.0;
/// Upper bound of the backoff, in milliseconds.
const MAX_BACKOFF_MS: f64 = 60_000.0;
/// Upper bound of the failure count: the backoff has reached its maximum long before.
const MAX_FAILURES: u32 = 16;

/// Consecutive failures of an address.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteHealth {
    failures: u32,
    backoff_until_ms: f64,
    /// Whether a dial is testing the address.
    has_trial: bool,
}

/// Whether an address is dialed at its regular place in the dial order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RouteState {
    /// It has not failed since it was last reached.
    Healthy,
    /// It has failed and its backoff is over: one dial may test it.
    TrialDue,
    /// It has failed recently, or is being tested: it is dialed after all others.
    BackingOff,
}

impl RouteHealth {
    pub(crate) fn state(&self, now_ms: f64) -> RouteState {
        match self.failures {
            0 => RouteState::Healthy,
            _ if now_ms >= self.backoff_until_ms && !self.has_trial => RouteState::TrialDue,
            _ => RouteState::BackingOff,
        }
    }

    /// Records that the address could not be reached, or that a connection broke before a request was
    /// completely written.
    pub fn record_failure(&mut self, now_ms: f64) {
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        let backoff_ms = MIN_BACKOFF_MS * f64::from(self.failures - 1).exp2();
        self.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
        self.has_trial = false;
    }

    /// Records that the address was reached.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Marks the address as being tested by a dial.
    pub(crate) fn begin_trial(&mut self) {
        self.has_trial = true;
    }

    /// Marks the test as aborted without a result.
    pub(crate) fn abort_trial(&mut self) {
        self.has_trial = false;
    }

    /// Returns the number of consecutive failures.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

#[cfg(test)]
mod tests;
