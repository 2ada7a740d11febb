//! The earliest time at which a client may have sent the last byte of an upload that the node holds up.
//!
//! While a slow server holds up an upload, the rest of it waits in the kernel of the node and that of its client, where the
//! client counts it as sent. Owns the time for which the upload has been held up. Invariant: what a client sends at a time is
//! read no later than after the hold-ups from then on, so the last byte was sent no earlier than [`UploadClock::earliest_end`],
//! but for the time that the network takes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of bytes that a client can count as sent and the node has not read: the default limits of the kernel's
/// receive buffer (6 MiB) and send buffer (4 MiB).
pub const MAX_UNSEEN_BYTES: u64 = 10 * 1024 * 1024;
/// Number of bytes after which another checkpoint is recorded.
const CHECKPOINT_INTERVAL_BYTES: u64 = 1024 * 1024;

/// How much of an upload had been read, and for how long it had been held up, at a time.
#[derive(Clone, Copy, Debug, Default)]
struct Checkpoint {
    read_bytes: u64,
    held: Duration,
}

/// Estimates when a client may have sent the last byte of an upload. It reads no clock; the times that are passed to it must
/// not go back.
///
/// Once the node has read more than [`MAX_UNSEEN_BYTES`] beyond a checkpoint, the last byte cannot have been sent before it, and
/// hold-ups before it no longer count. This bounds the number of checkpoints, too.
#[derive(Debug)]
pub struct UploadClock {
    /// Time for which the upload has been held up, without a hold-up that lasts.
    held: Duration,
    held_since: Option<Instant>,
    read_bytes: u64,
    /// Hold-ups before the first one do not count; never empty.
    checkpoints: VecDeque<Checkpoint>,
}

impl Default for UploadClock {
    fn default() -> Self {
        Self {
            held: Duration::ZERO,
            held_since: None,
            read_bytes: 0,
            checkpoints: VecDeque::from([Checkpoint::default()]),
        }
    }
}

impl UploadClock {
    /// Records that the node stops reading the upload.
    pub fn hold(&mut self, now: Instant) {
        self.held_since = self.held_since.or(Some(now));
    }

    /// Records that the node reads the upload again.
    pub fn resume(&mut self, now: Instant) {
        self.held = self.held_until(now);
        self.held_since = None;
    }

    fn held_until(&self, now: Instant) -> Duration {
        let lasting = self
            .held_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        self.held + lasting
    }

    /// Records that at `now` the client has not sent the last byte yet: earlier hold-ups do not count any more.
    pub fn record_incomplete(&mut self, now: Instant) {
        let held = self.held_until(now);
        self.checkpoints.clear();
        self.checkpoints.push_back(Checkpoint {
            read_bytes: self.read_bytes,
            held,
        });
    }

    /// Records that the node has read `bytes` more by `now`. `remaining_bytes` are still to be read, if that is known.
    pub fn record_read(&mut self, now: Instant, bytes: u64, remaining_bytes: Option<u64>) {
        self.read_bytes += bytes;
        if remaining_bytes.is_some_and(|remaining| remaining > MAX_UNSEEN_BYTES) {
            return self.record_incomplete(now);
        }
        let latest = self.checkpoints[self.checkpoints.len() - 1].read_bytes;
        if self.read_bytes >= latest + CHECKPOINT_INTERVAL_BYTES {
            self.checkpoints.push_back(Checkpoint {
                read_bytes: self.read_bytes,
                held: self.held_until(now),
            });
        }
        let min_total_bytes = self.read_bytes + remaining_bytes.unwrap_or(0);
        while self.checkpoints.len() > 1
            && self.checkpoints[1].read_bytes + MAX_UNSEEN_BYTES < min_total_bytes
        {
            self.checkpoints.pop_front();
        }
    }

    /// Returns the earliest time at which the client may have sent the last byte, if the node had read it now. It stands
    /// still while the upload is held up, and never goes back.
    ///
    /// # Panics
    ///
    /// Never: there is always a checkpoint.
    #[must_use]
    pub fn earliest_end(&self, now: Instant) -> Instant {
        let held = self.held_until(now);
        now - held.saturating_sub(self.checkpoints[0].held)
    }
}

#[cfg(test)]
mod tests;
