//! Estimate of how many clients use their connection for a second request.

use std::cell::Cell;

/// Weight of one more connection: about the last sixteen count.
const GAIN: f64 = 1.0 / 16.0;
/// Closing a connection with its response frees a slot only where fewer than this fraction are reused; where more are, the
/// clients would connect again at once.
const MAX_REUSE_TO_CLOSE: f64 = 0.5;

/// Moving average of the fraction of connections on which a second request arrived before they had been idle for long.
#[derive(Default)]
pub(super) struct ReuseEstimate(Cell<f64>);

impl ReuseEstimate {
    /// Records a connection with a second request.
    pub(super) fn record_reused(&self) {
        self.record(1.0);
    }

    /// Records a connection that has been idle for long after its first request.
    pub(super) fn record_unused(&self) {
        self.record(0.0);
    }

    fn record(&self, reused: f64) {
        self.0.set(self.0.get() + (reused - self.0.get()) * GAIN);
    }

    /// Whether closing connections with their response frees slots.
    pub(super) fn does_closing_free_slots(&self) -> bool {
        self.0.get() < MAX_REUSE_TO_CLOSE
    }
}
