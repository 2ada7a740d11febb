//! Whether an idle connection can be used. The network drops some of them silently, and a request that
//! is sent on such a connection gets no answer.

use crate::event::AttemptResult;
use crate::latency::{RunningMean, GAIN};

/// Excess of the loss rate on idle connections over that on recently used ones above which idle
/// connections are closed before use.
const MAX_EXCESS_LOSS: f64 = 0.2;

/// Loss rates: the fraction of attempts without an answer, by whether their connection had been idle.
#[derive(Default)]
pub(crate) struct IdleConnections {
    recently_used_loss: RunningMean,
    idle_loss: RunningMean,
}

impl IdleConnections {
    /// Whether to close a server's idle connections instead of using one. A small fraction is still
    /// used, to detect when the losses end.
    #[inline]
    pub fn should_close(&self, random: &mut fastrand::Rng) -> bool {
        self.idle_loss.mean > self.recently_used_loss.mean + MAX_EXCESS_LOSS && random.f64() > GAIN
    }

    #[inline]
    pub fn record(&mut self, on_idle_connection: bool, result: AttemptResult) {
        let lost = matches!(result, AttemptResult::TimedOut | AttemptResult::Cancelled);
        let loss = if on_idle_connection {
            &mut self.idle_loss
        } else {
            &mut self.recently_used_loss
        };
        loss.add(f64::from(u8::from(lost)), GAIN);
    }
}
