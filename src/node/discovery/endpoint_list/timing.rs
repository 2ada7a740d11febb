//! How long each step of a watch may take, so that a change takes effect within the platform's
//! deadline whatever goes wrong.

use std::time::Duration;

use balancer::MAX_RESUBSCRIBE_DELAY_MS;

/// A change must take effect this long after discovery had it and was reachable.
pub const PROPAGATION_DEADLINE: Duration = Duration::from_secs(6);
/// A watch that receives nothing for this long is dead, and so is one whose line has begun and not
/// ended in that time. Discovery sends an empty line every 2 s while nothing changes.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_800);
/// The delay before the first attempt to reopen a watch.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long opening a subscribed watch may take: discovery queues such calls for up to 2 s.
const SUBSCRIBED_OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Opening a pushed watch may take a quarter of the grace, within these limits: the agent is on the
/// node's own machine and responds at once, so one that does not is down.
const PUSHED_OPEN_TIMEOUT: Limits = Limits {
    grace_divisor: 4,
    min: Duration::from_millis(300),
    max: Duration::from_millis(700),
};
/// The longest delay between two attempts to open a pushed watch is an eighth of the grace, within
/// these limits.
const PUSHED_RETRY_DELAY: Limits = Limits {
    grace_divisor: 8,
    min: Duration::from_millis(100),
    max: Duration::from_millis(300),
};

/// A part of the drain grace with its limits.
struct Limits {
    grace_divisor: u32,
    min: Duration,
    max: Duration,
}

impl Limits {
    fn of(&self, grace: Duration) -> Duration {
        (grace / self.grace_divisor).clamp(self.min, self.max)
    }
}

/// The time limits of opening and reopening a watch.
///
/// With pushed lists, a change counts from the moment at which the agent is back, so an attempt
/// that hangs, the delay and the next attempt must fit into the grace. With subscribed lists, the
/// balancer decides when to subscribe again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// How long opening a watch may take.
    pub open_timeout: Duration,
    /// The longest delay between two attempts.
    pub max_retry_delay: Duration,
}

impl WatchTiming {
    /// The limits of pushed lists, for the platform's drain grace.
    #[must_use]
    pub fn pushed(grace: Duration) -> Self {
        Self {
            open_timeout: PUSHED_OPEN_TIMEOUT.of(grace),
            max_retry_delay: PUSHED_RETRY_DELAY.of(grace),
        }
    }

    /// The limits of subscribed lists.
    #[must_use]
    pub fn subscribed() -> Self {
        Self {
            open_timeout: SUBSCRIBED_OPEN_TIMEOUT,
            max_retry_delay: Duration::from_secs_f64(MAX_RESUBSCRIBE_DELAY_MS / 1e3),
        }
    }
}

#[cfg(test)]
mod tests;
