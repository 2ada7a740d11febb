//! Minimum transfer rates: the time by which a peer must have transferred more data.
//!
//! Owns the minimum rates of uploads and streamed bodies. Invariant: a peer whose data arrives at the
//! minimum rate or faster never reaches its deadline, provided that no chunk takes longer than the grace
//! period at the minimum rate.

/// Minimum rate of a request body that a client uploads: three quarters of the rate of the slowest
/// clients.
const MIN_UPLOAD_BYTES_PER_MS: f64 = 48.0;
/// Grace period of an upload, for clients that begin to send late.
const UPLOAD_GRACE_MS: f64 = 1_500.0;
/// Maximum time for which a client may send nothing of its upload, however much it has sent before. A client
/// that stops for good is owed an error within 3 s of connecting.
pub const MAX_UPLOAD_STALL_MS: f64 = 2_000.0;
/// Minimum rate of a streamed body between two peers that may both be slow: an eighth of the rate of the
/// slowest clients. At this rate the longest body that can be streamed takes less than two hours.
const MIN_STREAMING_BYTES_PER_MS: f64 = 8.0;
/// Grace period of a streamed body, for peers that pause for several seconds.
const STREAMING_GRACE_MS: f64 = 5_000.0;
/// Deadline of a body with a minimum average transfer rate and a grace period.
///
/// Each transferred byte moves the deadline on by the time that the byte may take at the minimum rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferDeadline {
    due_ms: f64,
    min_bytes_per_ms: f64,
}

impl TransferDeadline {
    /// Starts the deadline of a body whose transfer begins at `now_ms`. The peer may be up to `grace_ms`
    /// behind the minimum rate.
    ///
    /// # Panics
    ///
    /// `min_bytes_per_ms` is not positive.
    #[must_use]
    pub fn new(now_ms: f64, grace_ms: f64, min_bytes_per_ms: f64) -> Self {
        assert!(
            min_bytes_per_ms > 0.0,
            "minimum transfer rate must be positive, got {min_bytes_per_ms} bytes/ms"
        );
        Self {
            due_ms: now_ms + grace_ms,
            min_bytes_per_ms,
        }
    }

    /// Starts the deadline of a request body that a client uploads.
    #[must_use]
    pub fn for_upload(now_ms: f64) -> Self {
        Self::new(now_ms, UPLOAD_GRACE_MS, MIN_UPLOAD_BYTES_PER_MS)
    }

    /// Starts the deadline of a body that is streamed between two peers.
    #[must_use]
    pub fn for_streaming(now_ms: f64) -> Self {
        Self::new(now_ms, STREAMING_GRACE_MS, MIN_STREAMING_BYTES_PER_MS)
    }

    /// Records that `bytes` have been transferred.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.due_ms += bytes as f64 / self.min_bytes_per_ms;
    }

    /// Limits the time from `now_ms` to the deadline: a peer that has been faster than the minimum rate may not
    /// pause for longer than `max_stall_ms`.
    pub fn limit_stall(&mut self, now_ms: f64, max_stall_ms: f64) {
        self.due_ms = self.due_ms.min(now_ms + max_stall_ms);
    }

    /// Excludes a pause of `paused_ms` in which the transfer waited for something other than this peer.
    pub fn exclude_pause(&mut self, paused_ms: f64) {
        self.due_ms += paused_ms.max(0.0);
    }

    /// Returns the time by which more data must have been transferred.
    #[must_use]
    pub fn due_ms(&self) -> f64 {
        self.due_ms
    }
}

#[cfg(test)]
mod tests;
