//! How a node's own recent attempts at one server ended.

use crate::report::{FailureCounts, FailureKind};

/// The weight that each attempt leaves to those before it. A balancer takes a server out after its first failure, so there
/// is no second failure to set against many successes: counted by time alone, the first would not show.
const WEIGHT_OF_EARLIER: f64 = 0.5;

/// Attempts that succeeded and failed. Each counts for half as much after a half-life, and after each later attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptStats {
    succeeded: f64,
    failed: FailureCounts,
    updated_ms: f64,
    last_success_ms: f64,
}

/// Weighted counts of attempts at one moment.
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

    /// Counts an attempt that ended now, with its failure if it failed.
    pub fn record(&mut self, now_ms: f64, half_life_ms: f64, failure: Option<FailureKind>) {
        self.decay(now_ms, half_life_ms);
        self.scale(WEIGHT_OF_EARLIER);
        if let Some(kind) = failure {
            self.failed.add(kind, 1.0);
        } else {
            self.succeeded += 1.0;
            self.last_success_ms = now_ms;
        }
    }

    /// When the last attempt succeeded; zero if none has.
    pub fn last_success_ms(&self) -> f64 {
        self.last_success_ms
    }

    /// The counts as of `now_ms`.
    pub fn counts(mut self, now_ms: f64, half_life_ms: f64) -> AttemptCounts {
        self.decay(now_ms, half_life_ms);
        AttemptCounts {
            succeeded: self.succeeded,
            failed: self.failed.total(),
            failure_kind: self.failed.most_frequent(),
        }
    }
}
