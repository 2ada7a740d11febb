//! Counting of events in a sliding time window.

use std::collections::VecDeque;

/// The times of recent events, oldest first.
#[derive(Default)]
pub(crate) struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    #[inline]
    pub fn push(&mut self, now_ms: f64) {
        self.0.push_back(now_ms);
    }

    /// Counts the events after `since_ms` and drops older ones.
    #[inline]
    pub fn count_since(&mut self, since_ms: f64) -> f64 {
        while self.0.front().is_some_and(|at_ms| *at_ms <= since_ms) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}
