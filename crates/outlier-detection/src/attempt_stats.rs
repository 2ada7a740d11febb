//! Decaying counts of the results of a node's own attempts at one server.

use crate::report::{FailureCounts, FailureKind};

/// Factor by which each attempt scales the counts of the attempts before it. A balancer stops using a server after the
/// first failure, so no second failure follows to offset many earlier successes: with decay over time alone, the server
/// would not be reported as failing.
const EARLIER_ATTEMPTS_FACTOR: f64 = 0.5;

/// Decaying counts of succeeded and failed attempts. The contribution of an attempt to them halves
/// with each half-life, and with each later attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptStats {
    succeeded: f64,
    failed: FailureCounts,
    updated_ms: f64,
    last_success_ms: f64,
}

/// Decayed counts of attempts at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCounts {
    pub succeeded: f64,
    pub failed: f64,
    /// The most frequent kind of failure.
    pub failure_kind: FailureKind,
}

impl AttemptCounts {
    pub const NONE: Self = Self {
        succeeded: 0.0,
        failed: 0.0,
        failure_kind: FailureKind::ErrorResponse,
    };

    pub fn total(&self) -> f64 {
        self.succeeded + self.failed
    }
}

impl AttemptStats {
    fn decay(&mut self, now_ms: f64, half_life_ms: f64) {
        let elapsed_ms = (now_ms - self.updated_ms).max(0.0);
        let factor = 0.5_f64.powf(elapsed_ms / half_life_ms);
        self.updated_ms = now_ms;
        self.scale(factor);
    }

    fn scale(&mut self, factor: f64) {
        self.succeeded *= factor;
        self.failed.scale(factor);
    }

    /// Counts an attempt that ended at `now_ms`; `failure` is `None` if it succeeded.
    pub fn record(&mut self, now_ms: f64, half_life_ms: f64, failure: Option<FailureKind>) {
        self.decay(now_ms, half_life_ms);
        self.scale(EARLIER_ATTEMPTS_FACTOR);
        if let Some(kind) = failure {
            self.failed.add(kind, 1.0);
        } else {
            self.succeeded += 1.0;
            self.last_success_ms = now_ms;
        }
    }

    /// Time of the last successful attempt, in milliseconds; zero if none has succeeded.
    pub fn last_success_ms(&self) -> f64 {
        self.last_success_ms
    }

    /// The counts, decayed to `now_ms`.
    pub fn counts(mut self, now_ms: f64, half_life_ms: f64) -> AttemptCounts {
        self.decay(now_ms, half_life_ms);
        AttemptCounts {
            succeeded: self.succeeded,
            failed: self.failed.total(),
            failure_kind: self.failed.most_frequent(),
        }
    }
}
