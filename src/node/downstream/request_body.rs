//! Uploads: reads a request's body from the client, buffers as much as the limits permit, and streams the rest.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use flow_control::{MemoryBudget, Reservation, TransferDeadline, MAX_UPLOAD_STALL_MS};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::node::dispatcher::{UploadCompletion, UploadProgress};
use crate::node::downstream::body_stream::BodySender;
use crate::node::downstream::connection_table::TrackedConnection;
use crate::node::downstream::response::InvalidRequest;
use crate::node::downstream::server::ServerState;
use crate::node::downstream::socket::Socket;
use crate::node::downstream::upload_end::{UploadEnd, UploadWait};
use crate::node::memory::{
    freeze, max_wait, reserve_within, try_reserve_large_chunks, MAX_UNRESERVED_BYTES, STREAM_BYTES,
};
use crate::node::upstream::response::{
    MAX_BUFFERED_REQUEST_BYTES, MAX_SHORT_BODY_BYTES, MAX_STREAMED_BODY_BYTES,
};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UploadError {
    /// The request is invalid, or its client too slow.
    Invalid(InvalidRequest),
    /// The memory for the body could not be reserved in time. Nothing has been forwarded.
    MemoryExhausted,
}

impl From<InvalidRequest> for UploadError {
    fn from(invalid: InvalidRequest) -> Self {
        Self::Invalid(invalid)
    }
}

/// A request's body that is being received from the client, and the deadline that follows from the minimum transfer rate.
pub(super) struct IncomingUpload {
    body: Incoming,
    deadline: TransferDeadline,
    /// Maximum time to wait for memory.
    max_memory_wait: Duration,
    /// Time that has been spent waiting for memory.
    memory_wait: Duration,
    end: Rc<UploadEnd>,
}

/// The part of a body that has been buffered.
pub(super) enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a body, and the memory for streaming the rest.
    Prefix(Bytes, Rc<Reservation>),
}

/// Buffer for a body or its beginning, whose memory beyond [`MAX_UNRESERVED_BYTES`] is reserved.
#[derive(Default)]
struct UploadBuffer {
    bytes: Vec<u8>,
    reservation: Option<Reservation>,
}

impl UploadBuffer {
    /// Moves the buffered bytes to memory of this capacity. The previous memory is released.
    fn grow(&mut self, capacity: usize, reservation: Option<Reservation>) {
        let mut grown = Vec::with_capacity(capacity);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        self.reservation = reservation;
    }

    /// Appends a chunk for which no room was made. Returns `false` if its memory cannot be reserved.
    fn append(&mut self, chunk: &[u8]) -> bool {
        let is_reserved = self
            .reservation
            .as_mut()
            .is_none_or(|reservation| reservation.try_grow(chunk.len()));
        if is_reserved {
            self.bytes.reserve_exact(chunk.len());
            self.bytes.extend_from_slice(chunk);
        }
        is_reserved
    }

    /// Returns the buffered bytes and `next_chunk` as the prefix of a body that is streamed.
    fn into_prefix(
        mut self,
        next_chunk: &[u8],
        stream: Rc<Reservation>,
    ) -> Result<BufferedBody, UploadError> {
        if !self.append(next_chunk) {
            return Err(UploadError::MemoryExhausted);
        }
        Ok(BufferedBody::Prefix(self.freeze(), stream))
    }

    /// Returns the buffered bytes. The reservation is released with the last reference to them.
    fn freeze(self) -> Bytes {
        freeze(self.bytes, self.reservation)
    }
}

impl IncomingUpload {
    /// Creates an upload that begins at `now_ms` on the dispatcher's clock. Its client waits for `timeout`.
    pub(super) fn new(body: Incoming, now_ms: f64, timeout: Duration, socket: &Socket) -> Self {
        Self {
            body,
            end: Rc::new(UploadEnd::new(socket)),
            deadline: TransferDeadline::for_upload(now_ms),
            max_memory_wait: max_wait(timeout),
            memory_wait: Duration::ZERO,
        }
    }

    /// Returns the time that has been spent waiting for memory. The client's last byte may have arrived before it.
    pub(super) fn memory_wait(&self) -> Duration {
        self.memory_wait
    }

    /// Returns what is known about the time of the upload's last byte.
    pub(super) fn progress(&self) -> Rc<dyn UploadProgress> {
        Rc::clone(&self.end) as Rc<dyn UploadProgress>
    }

    /// Waits for memory.
    async fn reserve(
        &mut self,
        budget: &MemoryBudget,
        bytes: usize,
    ) -> Result<Reservation, UploadError> {
        let started = Instant::now();
        let max_wait = self.max_memory_wait.saturating_sub(self.memory_wait);
        self.end.wait_for(UploadWait::Node);
        let reservation = reserve_within(budget, bytes, max_wait).await;
        self.end.wait_for(UploadWait::Client);
        let waited = started.elapsed();
        self.memory_wait += waited;
        self.deadline.exclude_pause(waited.as_secs_f64() * 1e3);
        reservation.ok_or(UploadError::MemoryExhausted)
    }

    /// Returns the number of bytes still to be read; `None` if the client has not announced the length.
    pub(super) fn remaining_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the next data frame; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// The body is malformed, or the deadline has passed: a client that stalls must not occupy a connection.
    async fn next_chunk(&mut self, state: &ServerState) -> Result<Option<Bytes>, InvalidRequest> {
        loop {
            let remaining_ms = (self.deadline.due_ms() - state.dispatcher.now_ms()).max(0.0);
            let timeout = Duration::from_secs_f64(remaining_ms / 1e3);
            let frame = tokio::time::timeout(timeout, self.body.frame())
                .await
                .map_err(|_| InvalidRequest::BODY_TIMEOUT)?;
            let Some(frame) = frame else { return Ok(None) };
            let frame =
                frame.map_err(|_| InvalidRequest::bad_request("the body is malformed\n"))?;
            if let Ok(chunk) = frame.into_data() {
                self.deadline.record_bytes(chunk.len());
                self.deadline
                    .limit_stall(state.dispatcher.now_ms(), MAX_UPLOAD_STALL_MS);
                self.end.record_read(chunk.len(), self.remaining_bytes());
                return Ok(Some(chunk));
            }
        }
    }

    /// Reads as much of the body as may be buffered: up to [`MAX_BUFFERED_REQUEST_BYTES`], and beyond
    /// [`MAX_SHORT_BODY_BYTES`] only while the budget of long bodies permits. If the announced length exceeds
    /// [`MAX_BUFFERED_REQUEST_BYTES`], only the first chunk is read.
    ///
    /// # Errors
    ///
    /// As [`Self::next_chunk`], or no memory could be reserved in time.
    pub(super) async fn buffer(
        &mut self,
        connection: &TrackedConnection,
        state: &ServerState,
    ) -> Result<BufferedBody, UploadError> {
        let mut buffer = UploadBuffer::default();
        while let Some(chunk) = self.next_chunk(state).await? {
            let required = buffer.bytes.len() + chunk.len();
            let is_buffered = required <= MAX_BUFFERED_REQUEST_BYTES
                && self.make_room(&mut buffer, required, state).await?;
            if !is_buffered {
                let reservation = self.reserve_stream(connection, state).await?;
                return buffer.into_prefix(&chunk, reservation);
            }
            buffer.bytes.extend_from_slice(&chunk);
        }
        Ok(BufferedBody::Complete(buffer.freeze()))
    }

    /// Reserves and allocates memory for `required` bytes and those that are announced to follow. Returns `false` if the
    /// body must be streamed.
    async fn make_room(
        &mut self,
        buffer: &mut UploadBuffer,
        required: usize,
        state: &ServerState,
    ) -> Result<bool, UploadError> {
        if required <= buffer.bytes.capacity() {
            return Ok(true);
        }
        let capacity = self.remaining_bytes().map_or_else(
            || unannounced_capacity(required),
            |remaining| required.saturating_add(remaining as usize),
        );
        if capacity > MAX_BUFFERED_REQUEST_BYTES {
            return Ok(false);
        }
        let memory = &state.memory;
        let reservation = if capacity <= MAX_UNRESERVED_BYTES {
            None
        } else if capacity <= MAX_SHORT_BODY_BYTES {
            Some(self.reserve(&memory.short_requests, capacity).await?)
        } else {
            let Some(reservation) = memory.long_requests.try_reserve(capacity) else {
                return Ok(false);
            };
            Some(reservation)
        };
        buffer.grow(capacity, reservation);
        Ok(true)
    }

    /// Reserves the memory of a streamed body. While the budget is ample, the connection may read large chunks.
    async fn reserve_stream(
        &mut self,
        connection: &TrackedConnection,
        state: &ServerState,
    ) -> Result<Rc<Reservation>, UploadError> {
        let budget = &state.memory.uploads;
        if connection.read_buffer_memory().is_none() {
            if let Some(reservation) = try_reserve_large_chunks(budget) {
                let reservation = Rc::new(reservation);
                connection.allow_large_reads(Rc::clone(&reservation));
                return Ok(reservation);
            }
        }
        self.reserve(budget, STREAM_BYTES).await.map(Rc::new)
    }

    /// Streams the rest of the body to the attempt that sends it, as long as that accepts it. Reports to `completion` when all
    /// of it has been read.
    ///
    /// # Errors
    ///
    /// As [`Self::next_chunk`], or the streamed part exceeds [`MAX_STREAMED_BODY_BYTES`].
    pub(super) async fn stream_to(
        &mut self,
        mut sender: BodySender,
        completion: UploadCompletion,
        state: &ServerState,
    ) -> Result<(), InvalidRequest> {
        let mut streamed_bytes = 0;
        while let Some(chunk) = self.next_chunk(state).await? {
            streamed_bytes += chunk.len();
            if streamed_bytes > MAX_STREAMED_BODY_BYTES {
                return Err(InvalidRequest::BODY_TOO_LARGE);
            }
            if self.remaining_bytes() == Some(0) {
                completion.report(self.end.earliest_end());
            }
            let send_started_ms = state.dispatcher.now_ms();
            self.end.wait_for(UploadWait::Node);
            if sender.send(chunk).await.is_err() {
                return Ok(());
            }
            self.end.wait_for(UploadWait::Client);
            // Time spent waiting for the server does not count against the client.
            self.deadline
                .exclude_pause(state.dispatcher.now_ms() - send_started_ms);
        }
        if self.remaining_bytes() != Some(0) {
            completion.report(self.end.earliest_end());
        }
        let _ = sender.finish().await; // A receiver that has all bytes need not take the end marker.
        Ok(())
    }
}

/// The capacity of a buffer for a body of unknown length that has at least `required` bytes: all that its budget admits, so
/// that an upload that waits for memory holds none of the same budget.
fn unannounced_capacity(required: usize) -> usize {
    [MAX_UNRESERVED_BYTES, MAX_SHORT_BODY_BYTES]
        .into_iter()
        .find(|capacity| required <= *capacity)
        .unwrap_or(MAX_BUFFERED_REQUEST_BYTES)
}
