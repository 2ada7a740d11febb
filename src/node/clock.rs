//! The node's clock, and an alarm by it.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::Notify;

/// The longest sleep between two looks at the clock.
const LONGEST_SLEEP: Duration = Duration::from_secs(3_600);

/// Unix time at the start and what has passed since, which the system's steps do not move: it never runs backwards.
/// When servers started is told in the same time.
///
/// It must not count from the start: to the balancer a server that it has never heard of was last heard of at
/// zero, so a clock near zero would make all servers look heard of just now, and idle ones are then not tried.
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

    /// The time, in milliseconds.
    #[must_use]
    pub fn now_ms(self) -> f64 {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1e3
    }
}

/// When something without a clock of its own wants to be called.
#[derive(Debug)]
pub struct Alarm {
    at_ms: Cell<f64>,
    changed: Notify,
}

impl Alarm {
    /// One that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self {
            at_ms: Cell::new(f64::INFINITY),
            changed: Notify::new(),
        }
    }

    /// It is to ring at this time, and at no other.
    pub fn set(&self, at_ms: f64) {
        self.at_ms.set(at_ms);
        self.changed.notify_one();
    }

    /// Waits until it rings; from then on it is not set.
    pub async fn rings(&self, now_ms: impl Fn() -> f64) {
        loop {
            let left_ms = self.at_ms.get() - now_ms();
            if left_ms <= 0.0 {
                return self.at_ms.set(f64::INFINITY);
            }
            let left = Duration::try_from_secs_f64(left_ms / 1e3)
                .unwrap_or(LONGEST_SLEEP)
                .min(LONGEST_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}
