//! How long connections to an address may be idle, learned from the closes of the peer.
//!
//! A connection must not be closed by the peer while a request is being written, so it is retired before.

/// Closes of one address within this time belong to one burst, such as a restart ...
const BURST_WINDOW_MS: f64 = 100.0;
/// ... which says nothing about idle timeouts from this number of closes on.
const MIN_BURST_CLOSES: u32 = 3;
/// A connection closed after less idle time was closed for another reason.
const MIN_LEARNED_IDLE_MS: f64 = 200.0;
/// Fraction of the peer's timeout after which a connection is retired.
const RETIRE_FRACTION: f64 = 0.8;
/// Growth of the learned timeout per minute: the close may have had another reason.
const GROWTH_PER_MINUTE: f64 = 1.1;
const MS_PER_MINUTE: f64 = 60_000.0;

/// Closes of one address that may belong to one burst.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CloseBurst {
    started_ms: f64,
    closes: u32,
    /// The timeout before the burst, restored when it turns out to be one.
    timeout_before_ms: f64,
}

/// Idle timeout of the connections to one address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleTimeout {
    max_ms: f64,
    learned_ms: f64,
    learned_at_ms: f64,
    burst: CloseBurst,
}

impl IdleTimeout {
    /// Creates a timeout for peers that close idle connections after `peer_timeout_ms`.
    #[must_use]
    pub fn new(peer_timeout_ms: f64) -> Self {
        let max_ms = peer_timeout_ms * RETIRE_FRACTION;
        Self {
            max_ms,
            learned_ms: max_ms,
            learned_at_ms: 0.0,
            burst: CloseBurst {
                started_ms: f64::NEG_INFINITY,
                closes: 0,
                timeout_before_ms: max_ms,
            },
        }
    }

    /// Returns how long a connection may be idle, in milliseconds.
    #[must_use]
    pub fn timeout_ms(&self, now_ms: f64) -> f64 {
        if self.learned_ms >= self.max_ms {
            return self.max_ms;
        }
        let minutes = (now_ms - self.learned_at_ms).max(0.0) / MS_PER_MINUTE;
        (self.learned_ms * GROWTH_PER_MINUTE.powf(minutes)).min(self.max_ms)
    }

    /// Records that the peer closed a connection that had been idle for `idle_ms`.
    pub fn record_peer_close(&mut self, now_ms: f64, idle_ms: f64) {
        if now_ms - self.burst.started_ms <= BURST_WINDOW_MS {
            self.burst.closes += 1;
            if self.burst.closes >= MIN_BURST_CLOSES {
                self.learned_ms = self.burst.timeout_before_ms;
                return;
            }
        } else {
            self.burst = CloseBurst {
                started_ms: now_ms,
                closes: 1,
                timeout_before_ms: self.timeout_ms(now_ms),
            };
        }
        if idle_ms >= MIN_LEARNED_IDLE_MS {
            self.learned_ms = (idle_ms * RETIRE_FRACTION).min(self.timeout_ms(now_ms));
            self.learned_at_ms = now_ms;
        }
    }
}

#[cfg(test)]
mod tests;
