//! Idle timeout of the connections to an address, estimated from the closes by the peer.
//!
//! The peer must not close a connection while a request is being written, so the pool closes idle
//! connections before the peer does.

/// Time from the first close of a burst, such as a server restart, within which further closes belong to it,
/// in milliseconds.
const BURST_WINDOW_MS: f64 = 100.0;
/// Number of closes from which a burst is ignored, because it says nothing about the peer's idle timeout.
const MIN_BURST_CLOSES: u32 = 3;
/// Minimum idle time of a close that counts as an idle timeout of the peer, in milliseconds. An earlier close
/// had another reason.
const MIN_PEER_TIMEOUT_MS: f64 = 200.0;
/// Fraction of the peer's timeout after which the pool closes an idle connection.
const EXPIRY_FRACTION: f64 = 0.8;
/// Growth factor of the estimated timeout per minute, because the close that it was estimated from may have had
/// another reason than the peer's idle timeout.
const GROWTH_PER_MINUTE: f64 = 1.1;
const MS_PER_MINUTE: f64 = 60_000.0;

/// Closes of connections to one address that may form a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CloseBurst {
    started_ms: f64,
    closes: u32,
    /// Timeout before the first close, in milliseconds; restored once the closes count as a burst.
    timeout_before_ms: f64,
}

/// Idle timeout of the connections to one address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleTimeout {
    max_ms: f64,
    estimated_ms: f64,
    estimated_at_ms: f64,
    burst: CloseBurst,
}

impl IdleTimeout {
    /// Creates a timeout for peers that close idle connections after `peer_timeout_ms`.
    #[must_use]
    pub fn new(peer_timeout_ms: f64) -> Self {
        let max_ms = peer_timeout_ms * EXPIRY_FRACTION;
        Self {
            max_ms,
            estimated_ms: max_ms,
            estimated_at_ms: 0.0,
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
        if self.estimated_ms >= self.max_ms {
            return self.max_ms;
        }
        let minutes = (now_ms - self.estimated_at_ms).max(0.0) / MS_PER_MINUTE;
        (self.estimated_ms * GROWTH_PER_MINUTE.powf(minutes)).min(self.max_ms)
    }

    /// Records that the peer closed a connection that had been idle for `idle_ms`.
    pub fn record_peer_close(&mut self, now_ms: f64, idle_ms: f64) {
        if now_ms - self.burst.started_ms <= BURST_WINDOW_MS {
            self.burst.closes += 1;
            if self.burst.closes >= MIN_BURST_CLOSES {
                self.estimated_ms = self.burst.timeout_before_ms;
                return;
            }
        } else {
            self.burst = CloseBurst {
                started_ms: now_ms,
                closes: 1,
                timeout_before_ms: self.timeout_ms(now_ms),
            };
        }
        if idle_ms >= MIN_PEER_TIMEOUT_MS {
            self.estimated_ms = (idle_ms * EXPIRY_FRACTION).min(self.timeout_ms(now_ms));
            self.estimated_at_ms = now_ms;
        }
    }
}

#[cfg(test)]
mod tests;
