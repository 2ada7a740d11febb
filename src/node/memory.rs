//! The memory that a node's messages may use. Owns one [`MemoryBudget`] for each use, divided from the limit that the
//! platform sets, so that all of them and the fixed costs of connections stay under it.
//!
//! What a connection or a request needs in any case is not reserved: [`Limits`] bounds the number of connections instead.
//! Whatever grows beyond that with the bytes of a peer holds a [`Reservation`]. A use whose budget is exhausted waits or is
//! turned away, and never takes from another use, so a peer that uses up one budget does not affect what needs another.
//! The table of all uses is in `docs/flow-control/memory.md`.

use std::time::Duration;

use bytes::Bytes;
use flow_control::{MemoryBudget, Reservation};

use super::config::Limits;

/// Maximum size of a body, or of the part of a head, that is held without a reservation.
pub const MAX_UNRESERVED_BYTES: usize = 4 * 1024;
/// Maximum number of headers in a head that is held without a reservation.
pub const MAX_UNRESERVED_HEADERS: usize = 32;
/// Maximum size of a read. It is below the initial size of hyper's read buffer, so that the buffer does not grow for a peer
/// that sends fast.
pub const MAX_READ_BYTES: usize = 8 * 1024 - 1;
/// Memory reserved for a body that is streamed: a chunk being sent, one in the channel, and hyper's write buffer, each at
/// twice the size of its bytes, since a chunk may pin a read buffer that it fills by half.
pub const STREAM_BYTES: usize = 96 * 1024;
/// Memory reserved for a body that is streamed in chunks as large as hyper's read buffer may become: as [`STREAM_BYTES`],
/// for chunks of up to 32 KiB, and with that read buffer.
pub const LARGE_CHUNK_STREAM_BYTES: usize = 256 * 1024;
/// Memory reserved for a head that exceeds [`MAX_READ_BYTES`]: hyper's read buffer at its maximum, while it grows, and the
/// copy that is written to a server.
pub const LONG_HEAD_BYTES: usize = 96 * 1024;
/// Upper bound of the time that a request waits for memory.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Fraction of a request's timeout that it may wait for memory. The rest is left for its attempts.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// Sixteenths of the memory for messages that each use gets.
mod share {
    pub const SHORT_REQUESTS: usize = 5;
    pub const LONG_REQUESTS: usize = 2;
    pub const UPLOADS: usize = 2;
    pub const RESPONSES: usize = 4;
    pub const STREAMED_RESPONSES: usize = 2;
    pub const HEADS: usize = 1;
    /// The sum of all shares.
    pub const TOTAL: usize = 16;
}

/// The budgets of a node.
#[derive(Debug)]
pub struct NodeMemory {
    /// Request bodies of up to 64 KiB, each until its request has ended.
    pub short_requests: MemoryBudget,
    /// Longer request bodies that are buffered, each until its request has ended.
    pub long_requests: MemoryBudget,
    /// Request bodies that are streamed, [`STREAM_BYTES`] each until the request has ended.
    pub uploads: MemoryBudget,
    /// Response bodies that are buffered, each until it has been written to the client.
    pub responses: MemoryBudget,
    /// Response bodies that are streamed, [`STREAM_BYTES`] each until the last byte has been written to the client.
    pub streamed_responses: MemoryBudget,
    /// Heads that exceed [`MAX_READ_BYTES`], [`LONG_HEAD_BYTES`] each.
    pub heads: MemoryBudget,
}

impl NodeMemory {
    /// Divides the memory for messages that `limits` leaves to a node with `endpoints` servers. Each budget admits at least
    /// one message of its use.
    #[must_use]
    pub fn new(limits: Limits, endpoints: usize) -> Self {
        let unit = limits.message_bytes(endpoints) / share::TOTAL;
        let budget =
            |share: usize, min_bytes: usize| MemoryBudget::new((unit * share).max(min_bytes));
        Self {
            short_requests: budget(share::SHORT_REQUESTS, STREAM_BYTES),
            long_requests: budget(share::LONG_REQUESTS, 0),
            uploads: budget(share::UPLOADS, STREAM_BYTES),
            responses: budget(share::RESPONSES, STREAM_BYTES),
            streamed_responses: budget(share::STREAMED_RESPONSES, STREAM_BYTES),
            heads: budget(share::HEADS, LONG_HEAD_BYTES),
        }
    }
}

/// The time that a request with this timeout waits for memory before it is turned away.
#[must_use]
pub fn max_wait(timeout: Duration) -> Duration {
    timeout.mul_f64(MAX_WAIT_FRACTION).min(MAX_WAIT)
}

/// Reserves memory for a stream with large chunks, which cost less processor time, while more than half of the budget is
/// available.
#[must_use]
pub fn try_reserve_large_chunks(budget: &MemoryBudget) -> Option<Reservation> {
    let is_ample = budget.available() > budget.total() / 2;
    is_ample
        .then(|| budget.try_reserve(LARGE_CHUNK_STREAM_BYTES))
        .flatten()
}

/// Reserves memory within `timeout`; `None` if the budget stays exhausted.
pub async fn reserve_within(
    budget: &MemoryBudget,
    bytes: usize,
    timeout: Duration,
) -> Option<Reservation> {
    tokio::time::timeout(timeout, budget.reserve(bytes))
        .await
        .ok()
        .flatten()
}

/// Returns a buffer's bytes without its unused memory. The reservation shrinks with it, and is released with the last reference to
/// the bytes.
#[must_use]
pub fn freeze(mut bytes: Vec<u8>, reservation: Option<Reservation>) -> Bytes {
    bytes.shrink_to_fit();
    let Some(mut reservation) = reservation else {
        return Bytes::from(bytes);
    };
    reservation.shrink_to(bytes.len());
    reservation.attach_to(Bytes::from(bytes))
}

/// Copies a short slice of a read buffer, so that it does not keep the whole buffer in memory.
#[must_use]
pub fn detach_if_short(bytes: Bytes) -> Bytes {
    if bytes.len() < MAX_UNRESERVED_BYTES {
        Bytes::copy_from_slice(&bytes)
    } else {
        bytes
    }
}

#[cfg(test)]
mod tests;
