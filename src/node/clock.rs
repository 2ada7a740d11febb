//! The node's clock, and a timer for state machines that do not read a clock themselves.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::Notify;

use crate::node::start_times::ClockReading;

/// The longest sleep before the clock is read again.
const MAX_SLEEP: Duration = Duration::from_secs(3_600);

fn unix_ms() -> f64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.unwrap_or_default().as_secs_f64() * 1e3
}

/// A monotonic clock in Unix time: the Unix time when the clock was created plus the time elapsed since then. Later steps
/// of the system clock do not affect it. [`StartTimes`](crate::node::start_times::StartTimes) converts the start times of
/// servers to its scale.
///
/// It must not count from zero: the balancer treats a server without a latency measurement as last measured at time
/// zero. With a clock near zero, all servers would appear to have just been measured, and idle ones would not be
/// tried.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
}

impl Clock {
    /// Creates a clock that starts at the current Unix time.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            start_ms: unix_ms(),
        }
    }

    /// The Unix time in milliseconds when the clock was created, plus the time elapsed since then.
    #[must_use]
    pub fn now_ms(self) -> f64 {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Reads this clock and the system's wall clock, which may have been stepped.
    #[must_use]
    pub fn read_both(self) -> ClockReading {
        ClockReading {
            monotonic_ms: self.now_ms(),
            wall_ms: unix_ms(),
        }
    }
}

/// A resettable timer for a state machine that requests to be called at a certain time.
#[derive(Debug)]
pub struct Timer {
    at_ms: Cell<f64>,
    changed: Notify,
}

impl Timer {
    /// Creates a timer that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self {
            at_ms: Cell::new(f64::INFINITY),
            changed: Notify::new(),
        }
    }

    /// Sets the expiry time in milliseconds of the clock that is passed to [`wait`](Self::wait). Replaces an earlier
    /// setting.
    pub fn set(&self, at_ms: f64) {
        self.at_ms.set(at_ms);
        self.changed.notify_one();
    }

    /// Waits until the timer expires, and clears it. Cancel safe: the timer stays set until it has expired.
    pub async fn wait(&self, now_ms: impl Fn() -> f64) {
        loop {
            let remaining_ms = self.at_ms.get() - now_ms();
            if remaining_ms <= 0.0 {
                return self.at_ms.set(f64::INFINITY);
            }
            let sleep_time = Duration::try_from_secs_f64(remaining_ms / 1e3)
                .unwrap_or(MAX_SLEEP)
                .min(MAX_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(sleep_time) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}
