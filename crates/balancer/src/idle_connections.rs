//! Whether an idle connection can be trusted: some are dropped by the network unseen, and a request
//! that is sent on one gets no answer.

use crate::event::AttemptResult;
use crate::latency::{RunningMean, GAIN};

/// Idle connections are closed before use where this much more of the attempts is lost on them.
const MAX_EXTRA_LOSS_SHARE: f64 = 0.2;

/// Share of attempts that got no answer, by the age of their connection.
#[derive(Default)]
pub(crate) struct IdleConnections {
    lost_on_recent: RunningMean,
    lost_on_idle: RunningMean,
}

impl IdleConnections {
    /// Whether to close a server's idle connections instead of using one. A few are used all the same,
    /// to see when the losses end.
    #[inline]
    pub fn should_close(&self, random: &mut fastrand::Rng) -> bool {
        self.lost_on_idle.mean > self.lost_on_recent.mean + MAX_EXTRA_LOSS_SHARE
            && random.f64() > GAIN
    }

    #[inline]
    pub fn record(&mut self, on_idle_connection: bool, result: AttemptResult) {
        let lost = matches!(result, AttemptResult::TimedOut | AttemptResult::Cancelled);
        let share = if on_idle_connection {
            &mut self.lost_on_idle
        } else {
            &mut self.lost_on_recent
        };
        share.add(f64::from(u8::from(lost)), GAIN);
    }
}
