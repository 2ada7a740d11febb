//! Time limits of the steps of a watch. With them, a change takes effect within the platform's
//! deadline even if steps fail.

use std::time::Duration;

use balancer::MAX_RESUBSCRIBE_DELAY_MS;

/// Maximum time until a change takes effect, from the moment at which discovery has it and is
/// reachable.
pub const PROPAGATION_DEADLINE: Duration = Duration::from_secs(6);
/// Time after which a watch is closed if it receives nothing, or if a list that has begun does not
/// end. Discovery sends an empty line every 2 s while nothing changes.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_800);
/// The delay before a watch that received data is reopened. After each attempt that receives nothing
/// or an invalid list, the delay doubles.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for opening a subscribed watch. Discovery queues such requests for up to 2 s.
const SUBSCRIBED_OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for opening a pushed watch: a quarter of the drain grace, within a range. The discovery
/// agent runs on the node's own machine and responds at once unless it is down.
const PUSHED_OPEN_TIMEOUT: GraceFraction = GraceFraction {
    divisor: 4,
    min: Duration::from_millis(300),
    max: Duration::from_millis(700),
};
/// Maximum delay between two attempts to open a pushed watch: an eighth of the drain grace, within a
/// range.
const MAX_PUSHED_RETRY_DELAY: GraceFraction = GraceFraction {
    divisor: 8,
    min: Duration::from_millis(100),
    max: Duration::from_millis(300),
};

/// A fraction of the drain grace, clamped to a range.
struct GraceFraction {
    divisor: u32,
    min: Duration,
    max: Duration,
}

impl GraceFraction {
    fn of(&self, drain_grace: Duration) -> Duration {
        (drain_grace / self.divisor).clamp(self.min, self.max)
    }
}

/// The time limits of opening and reopening a watch.
///
/// With pushed lists, the time until a change takes effect is counted from the moment at which the
/// discovery agent is reachable again. An attempt that hangs, the delay and the next attempt must
/// therefore fit into the drain grace. With subscribed lists, the balancer decides when to subscribe
/// again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// Timeout for opening a watch.
    pub open_timeout: Duration,
    /// Maximum delay between two attempts.
    pub max_retry_delay: Duration,
}

impl WatchTiming {
    /// The time limits for pushed lists, which depend on the platform's drain grace.
    #[must_use]
    pub fn pushed(drain_grace: Duration) -> Self {
        Self {
            open_timeout: PUSHED_OPEN_TIMEOUT.of(drain_grace),
            max_retry_delay: MAX_PUSHED_RETRY_DELAY.of(drain_grace),
        }
    }

    /// The time limits for subscribed lists.
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
