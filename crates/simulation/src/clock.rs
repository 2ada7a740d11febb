//! Local clocks of nodes, which differ from the simulation's time by an offset and a drift.

/// A node's local clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clock {
    /// Reading of the clock at the start of the simulation, in milliseconds.
    pub offset_ms: f64,
    /// Relative error of the clock's rate: with 0.01, the clock gains one second in a hundred.
    pub drift: f64,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            offset_ms: 1e6,
            drift: 0.0,
        }
    }
}

impl Clock {
    /// Converts simulation time in microseconds to local time in milliseconds.
    pub(crate) fn local_ms(self, simulation_us: u64) -> f64 {
        self.offset_ms + simulation_us as f64 / 1e3 * (1.0 + self.drift)
    }

    /// Converts local time in milliseconds to simulation time in microseconds, rounded up so that a process is never
    /// woken early.
    pub(crate) fn simulation_us(self, local_ms: f64) -> u64 {
        (((local_ms - self.offset_ms) / (1.0 + self.drift)).max(0.0) * 1e3).ceil() as u64
    }
}
