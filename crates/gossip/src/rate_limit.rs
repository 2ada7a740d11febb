//! Rate limiting.

/// A token bucket, which allows a burst and a sustained rate after it.
#[derive(Debug)]
pub struct RateLimit {
    tokens: f64,
    updated_ms: f64,
    burst: f64,
    per_s: f64,
}

impl RateLimit {
    /// A full bucket of `burst` tokens, refilled at `per_s` tokens per second.
    pub fn new(now_ms: f64, burst: f64, per_s: f64) -> Self {
        Self {
            tokens: burst,
            updated_ms: now_ms,
            burst,
            per_s,
        }
    }

    /// Takes a token. Returns `false` if less than one token is available.
    pub fn try_acquire(&mut self, now_ms: f64) -> bool {
        let refill = (now_ms - self.updated_ms) / 1e3 * self.per_s;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.updated_ms = now_ms;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
