//! Estimate of the fraction of client connections that are used for a second request.

use std::cell::Cell;

/// Weight of a new observation in the moving average: it covers about the last 16 connections.
const GAIN: f64 = 1.0 / 16.0;
/// Fraction of reused connections below which closing a connection with its response frees a slot. At a higher fraction the
/// clients would connect again at once.
const MAX_REUSE_TO_CLOSE: f64 = 0.5;

/// Moving average of the fraction of connections on which a second request arrived before they had been idle for long. It
/// starts at zero.
#[derive(Default)]
pub(super) struct ReuseEstimate(Cell<f64>);

impl ReuseEstimate {
    /// Records a connection that received a second request.
    pub(super) fn record_reused(&self) {
        self.record(1.0);
    }

    /// Records a connection that has been idle for long after its only request.
    pub(super) fn record_unused(&self) {
        self.record(0.0);
    }

    fn record(&self, reused: f64) {
        self.0.set(self.0.get() + (reused - self.0.get()) * GAIN);
    }

    /// Returns whether closing connections with their response frees slots.
    pub(super) fn closing_frees_slots(&self) -> bool {
        self.0.get() < MAX_REUSE_TO_CLOSE
    }
}
