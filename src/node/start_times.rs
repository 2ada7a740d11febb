//! The times at which servers started, on the node's monotonic clock.
//!
//! Discovery gives start times in Unix time. The wall clock may be stepped while the node runs, so a start time may lie on
//! its scale before a step or after it. [`StartTimes`] remembers the scales that it has seen, and takes of the ages that
//! they give the lowest that is not negative: a server may seem younger than it is, and then gets fewer requests for a
//! while, but not older by more than [`MIN_STEP_MS`]. The time found first is kept for as long as the server is listed with that start.

use std::collections::{HashMap, VecDeque};

/// Maximum number of scales of the wall clock that are remembered. A server that started before as many steps is warm.
const MAX_SCALES: usize = 16;
/// Difference in milliseconds from which two offsets of the wall clock are different scales: above what slewing the clock
/// and a pause between two reads make of it in a second.
const MIN_STEP_MS: f64 = 200.0;

/// Both clocks, read together, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The node's monotonic clock.
    pub monotonic_ms: f64,
    /// The wall clock, in Unix time.
    pub wall_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Start {
    listed_ms: f64,
    monotonic_ms: f64,
}

/// The start times of the listed servers, and the scales of the wall clock. See the [module](self).
#[derive(Debug, Default)]
pub struct StartTimes {
    /// Offsets of the wall clock from the monotonic clock in milliseconds, the latest last.
    scales: VecDeque<f64>,
    starts: HashMap<String, Start>,
}

impl StartTimes {
    /// Records the offset of the wall clock. Called at short intervals, so that no step is missed.
    pub fn observe(&mut self, now: ClockReading) {
        let offset_ms = now.wall_ms - now.monotonic_ms;
        let is_new = self
            .scales
            .back()
            .is_none_or(|latest| (latest - offset_ms).abs() >= MIN_STEP_MS);
        if is_new {
            if self.scales.len() == MAX_SCALES {
                self.scales.pop_front();
            }
            self.scales.push_back(offset_ms);
        }
    }

    /// The time on the monotonic clock at which a server started that is listed with `listed_ms` in Unix time; not later
    /// than now.
    pub fn monotonic_start_ms(&mut self, server: &str, listed_ms: f64, now: ClockReading) -> f64 {
        if let Some(known) = self.starts.get(server) {
            if known.listed_ms.to_bits() == listed_ms.to_bits() {
                return known.monotonic_ms;
            }
        }
        self.observe(now);
        let ages = self
            .scales
            .iter()
            .map(|offset_ms| now.monotonic_ms + offset_ms - listed_ms);
        let age_ms = ages.filter(|age_ms| *age_ms >= 0.0).reduce(f64::min);
        let start = Start {
            listed_ms,
            monotonic_ms: now.monotonic_ms - age_ms.unwrap_or(0.0),
        };
        self.starts.insert(server.to_owned(), start);
        start.monotonic_ms
    }

    /// Forgets a server that is no longer listed.
    pub fn remove(&mut self, server: &str) {
        self.starts.remove(server);
    }
}

#[cfg(test)]
mod tests;
