//! The progress of the current exchange: what has been sent and received. It decides whether a request may have run,
//! and whether received bytes can belong to its response.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::Duration;

use admin::Counter;
use flow_control::{MemoryBudget, Reservation};
use pool::BytesSent;
use tokio::sync::Notify;

use crate::node::memory::{LONG_HEAD_BYTES, MAX_READ_BYTES};
use crate::node::upstream::response::MAX_SHORT_BODY_BYTES;

/// Maximum number of bytes received for a buffered response: its head, its body and the 1xx responses before it.
const MAX_BUFFERED_RESPONSE_WIRE_BYTES: usize = 4 * MAX_SHORT_BODY_BYTES;

/// More bytes were received than a response may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimitExceeded;

impl fmt::Display for ResponseLimitExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response exceeds the size limit")
    }
}

impl std::error::Error for ResponseLimitExceeded {}

/// The progress of the current exchange on a connection, shared between its socket, request body and owner.
#[derive(Debug, Default)]
pub struct ExchangeProgress {
    written_bytes: Cell<u64>,
    read_bytes: Cell<usize>,
    /// Whether the end of the request has not been handed to hyper yet, so that no write can contain its last byte. Set
    /// only by the body that withholds the end: the default is that a write may contain it.
    is_end_withheld: Cell<bool>,
    /// Whether the request's last byte may have been written to the socket.
    is_sent: Cell<bool>,
    /// Whether the last write could not proceed because the server's receive window is full.
    is_write_blocked: Cell<bool>,
    /// The budget from which memory for a long response head is reserved, until the head is complete.
    head_budget: RefCell<Option<MemoryBudget>>,
    head_memory: RefCell<Option<Reservation>>,
    /// Counter of requests that have been sent completely.
    sent_attempts: RefCell<Counter>,
    /// Notified when anything is written, received or blocked.
    changed: Notify,
    /// Whether the memory for reads of more than [`MAX_READ_BYTES`] has been reserved.
    has_large_reads: Cell<bool>,
    /// Number of bytes that the current response may have beyond [`MAX_BUFFERED_RESPONSE_WIRE_BYTES`]; 0 unless
    /// it is chunked or streamed.
    additional_bytes: Cell<usize>,
    exceeds_response_limit: Cell<bool>,
    has_unsolicited_bytes: Cell<bool>,
}

impl ExchangeProgress {
    /// Prepares the progress for the connection's request. Unsolicited bytes stay recorded.
    ///
    /// Memory for a long response head is reserved from `head_budget`.
    pub fn begin(&self, sent_attempts: &Counter, head_budget: &MemoryBudget) {
        self.sent_attempts.replace(sent_attempts.clone());
        self.head_budget.replace(Some(head_budget.clone()));
        self.written_bytes.set(0);
        self.is_sent.set(false);
        self.is_end_withheld.set(false);
        self.is_write_blocked.set(false);
        self.read_bytes.set(0);
        self.additional_bytes.set(0);
    }

    /// Records whether the end of the request is withheld from hyper.
    pub fn set_end_withheld(&self, is_withheld: bool) {
        self.is_end_withheld.set(is_withheld);
    }

    /// The amount of the request that has been sent. Anything but [`BytesSent::Complete`] is a proof that the last byte
    /// has not been written: hyper did not have it, or the socket has not accepted all bytes that hyper offered.
    pub fn bytes_sent(&self) -> BytesSent {
        match self.written_bytes.get() {
            _ if self.is_sent.get() => BytesSent::Complete,
            0 => BytesSent::None,
            _ => BytesSent::Partial,
        }
    }

    /// Whether any byte of the request has been written.
    pub fn has_written(&self) -> bool {
        self.written_bytes.get() > 0
    }

    /// Whether any byte has been received.
    pub fn has_received(&self) -> bool {
        self.read_bytes.get() > 0
    }

    /// Sets the number of bytes that the current response may have beyond the limit of a buffered one.
    pub fn allow_additional_bytes(&self, bytes: usize) {
        self.additional_bytes.set(bytes);
    }

    /// Whether a response has exceeded its size limit.
    pub fn exceeds_response_limit(&self) -> bool {
        self.exceeds_response_limit.get()
    }

    /// Whether bytes arrived before the last byte of the request was written.
    pub fn has_unsolicited_bytes(&self) -> bool {
        self.has_unsolicited_bytes.get()
    }

    /// Records that bytes arrived before the last byte of the request was written.
    pub fn record_unsolicited_bytes(&self) {
        self.has_unsolicited_bytes.set(true);
    }

    /// Allows reads as large as hyper's read buffer may become.
    pub fn allow_large_reads(&self) {
        self.has_large_reads.set(true);
    }

    /// Whether reads may exceed [`MAX_READ_BYTES`].
    pub fn has_large_reads(&self) -> bool {
        self.has_large_reads.get()
    }

    /// Records that the response head is complete.
    pub fn record_head_complete(&self) {
        self.head_budget.take();
    }

    /// Reserves memory for a response head that exceeds [`MAX_READ_BYTES`]. Returns `false` if none is available. It is
    /// held until the connection is closed, since its read buffer keeps its size.
    fn reserve_head_memory(&self) -> bool {
        if self.read_bytes.get() <= MAX_READ_BYTES || self.head_memory.borrow().is_some() {
            return true;
        }
        let Some(budget) = &*self.head_budget.borrow() else {
            return true;
        };
        self.head_memory
            .replace(budget.try_reserve(LONG_HEAD_BYTES));
        self.head_memory.borrow().is_some()
    }

    /// Records received bytes.
    ///
    /// # Errors
    ///
    /// The response exceeds its size limit, or no memory for its long head is available.
    pub fn record_read(&self, bytes: &[u8]) -> Result<(), ResponseLimitExceeded> {
        self.read_bytes.set(self.read_bytes.get() + bytes.len());
        self.changed.notify_one();
        let limit = MAX_BUFFERED_RESPONSE_WIRE_BYTES + self.additional_bytes.get();
        if self.read_bytes.get() > limit || !self.reserve_head_memory() {
            self.exceeds_response_limit.set(true);
            return Err(ResponseLimitExceeded);
        }
        Ok(())
    }

    /// Records that a write has to wait for the server to read.
    pub fn record_write_blocked(&self) {
        if !self.is_write_blocked.replace(true) {
            self.changed.notify_one();
        }
    }

    /// Records that the socket has accepted `written_bytes` of the `offered_bytes` that hyper offered.
    pub fn record_written(&self, written_bytes: usize, offered_bytes: usize) {
        self.is_write_blocked.set(false);
        self.written_bytes
            .set(self.written_bytes.get() + written_bytes as u64);
        let may_contain_end = !self.is_end_withheld.get() && written_bytes >= offered_bytes;
        if may_contain_end && self.has_written() && !self.is_sent.replace(true) {
            self.sent_attempts.borrow().increment();
        }
        self.changed.notify_one();
    }

    /// Waits until the server has read none of an incomplete request for `timeout`. Time in which the node waits for the
    /// rest of the client's upload does not count, nor does time in which the server processes the request.
    ///
    /// Cancel safe, but each call restarts the timeout.
    pub async fn wait_for_send_stall(&self, timeout: Duration) {
        loop {
            let is_blocked =
                self.bytes_sent() != BytesSent::Complete && self.is_write_blocked.get();
            if !is_blocked {
                self.changed.notified().await;
                continue;
            }
            if tokio::time::timeout(timeout, self.changed.notified())
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
