//! The node's clock, and an alarm for state machines that have no clock of their own.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::Notify;

/// The longest sleep between two reads of the clock.
const MAX_SLEEP: Duration = Duration::from_secs(3_600);

/// A monotonic clock in Unix time: the Unix time at the start plus the time since, which steps of the system's clock do
/// not move. The start times of servers are on the same scale.
///
/// It must not count from zero: the balancer treats a server without any report as last reported at zero. With a clock
/// near zero all servers would seem to have just reported, and idle ones would not be tried.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_ms: unix.as_secs_f64() * 1e3,
        }
    }

    /// The time, in milliseconds of Unix time.
    #[must_use]
    pub fn now_ms(self) -> f64 {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1e3
    }
}

/// A single alarm, for a state machine that wants to be called at a time of its own.
#[derive(Debug)]
pub struct Alarm {
    at_ms: Cell<f64>,
    changed: Notify,
}

impl Alarm {
    /// An alarm that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self {
            at_ms: Cell::new(f64::INFINITY),
            changed: Notify::new(),
        }
    }

    /// Sets the alarm, in milliseconds of the clock that [`rings`](Self::rings) reads. Replaces the time set before.
    pub fn set(&self, at_ms: f64) {
        self.at_ms.set(at_ms);
        self.changed.notify_one();
    }

    /// Waits until the alarm rings; from then on it is not set. Cancel safe: until it has rung it stays set.
    pub async fn rings(&self, now_ms: impl Fn() -> f64) {
        loop {
            let left_ms = self.at_ms.get() - now_ms();
            if left_ms <= 0.0 {
                return self.at_ms.set(f64::INFINITY);
            }
            let left = Duration::try_from_secs_f64(left_ms / 1e3)
                .unwrap_or(MAX_SLEEP)
                .min(MAX_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}
