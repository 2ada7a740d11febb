//! Uploads: reads a request's body from the client, buffers as much as the limits permit, and streams the rest.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flow_control::{MemoryBudget, Reservation, TransferDeadline};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::node::downstream::body_stream::BodySender;
use crate::node::downstream::response::InvalidRequest;
use crate::node::downstream::server::ServerState;
use crate::node::upstream::response::{
    MAX_BUFFERED_REQUEST_BYTES, MAX_STREAMED_BODY_BYTES, MAX_UNRESERVED_BODY_BYTES,
};

/// A request's body that is being received from the client, and the deadline that follows from the minimum transfer rate.
pub(super) struct IncomingUpload {
    body: Incoming,
    deadline: TransferDeadline,
}

/// The part of a body that has been buffered.
pub(super) enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a body; the rest is streamed.
    Prefix(Bytes),
}

/// Buffer for a body or its beginning. Memory for bytes beyond [`MAX_UNRESERVED_BODY_BYTES`] is reserved from the shared
/// budget.
struct UploadBuffer {
    bytes: BytesMut,
    reservation: Option<Reservation>,
}

impl UploadBuffer {
    /// Reserves memory for the bytes buffered beyond [`MAX_UNRESERVED_BODY_BYTES`]. Returns `false` if the budget is
    /// exhausted.
    fn try_reserve_excess(&mut self, budget: &MemoryBudget) -> bool {
        let excess = self.bytes.len().saturating_sub(MAX_UNRESERVED_BODY_BYTES);
        if excess == 0 {
            return true;
        }
        if let Some(reservation) = &mut self.reservation {
            return reservation.try_grow(excess.saturating_sub(reservation.bytes()));
        }
        self.reservation = budget.try_reserve(excess);
        self.reservation.is_some()
    }

    /// Returns the buffered bytes. The reservation is released with the last reference to them.
    fn freeze(self) -> Bytes {
        let bytes = self.bytes.freeze();
        match self.reservation {
            Some(reservation) => reservation.attach_to(bytes),
            None => bytes,
        }
    }
}

impl IncomingUpload {
    /// Creates an upload that begins at `now_ms` on the dispatcher's clock.
    pub(super) fn new(body: Incoming, now_ms: f64) -> Self {
        Self {
            body,
            deadline: TransferDeadline::for_upload(now_ms),
        }
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
                return Ok(Some(chunk));
            }
        }
    }

    /// Reads as much of the body as may be buffered: up to [`MAX_BUFFERED_REQUEST_BYTES`], and beyond
    /// [`MAX_UNRESERVED_BODY_BYTES`] only while the shared memory budget permits. If the announced length exceeds
    /// [`MAX_BUFFERED_REQUEST_BYTES`], only the first chunk is read.
    ///
    /// # Errors
    ///
    /// As [`Self::next_chunk`].
    pub(super) async fn buffer(
        &mut self,
        state: &ServerState,
    ) -> Result<BufferedBody, InvalidRequest> {
        let Some(first) = self.next_chunk(state).await? else {
            return Ok(BufferedBody::Complete(Bytes::new()));
        };
        if self.body.is_end_stream() {
            return Ok(BufferedBody::Complete(first));
        }
        let mut buffer = UploadBuffer {
            bytes: BytesMut::from(first),
            reservation: None,
        };
        let announced_bytes = self
            .remaining_bytes()
            .map(|remaining| remaining.saturating_add(buffer.bytes.len() as u64));
        if announced_bytes.is_some_and(|bytes| bytes > MAX_BUFFERED_REQUEST_BYTES as u64) {
            return Ok(BufferedBody::Prefix(buffer.freeze()));
        }
        while buffer.bytes.len() < MAX_BUFFERED_REQUEST_BYTES
            && buffer.try_reserve_excess(&state.upload_memory)
        {
            let Some(chunk) = self.next_chunk(state).await? else {
                return Ok(BufferedBody::Complete(buffer.freeze()));
            };
            buffer.bytes.extend_from_slice(&chunk);
        }
        // The limit may be reached with the last byte. hyper knows that if the length was announced.
        Ok(if self.body.is_end_stream() {
            BufferedBody::Complete(buffer.freeze())
        } else {
            BufferedBody::Prefix(buffer.freeze())
        })
    }

    /// Streams the rest of the body to the attempt that sends it. Returns `false` if that attempt accepts no more of it.
    ///
    /// # Errors
    ///
    /// As [`Self::next_chunk`], or the streamed part exceeds [`MAX_STREAMED_BODY_BYTES`].
    pub(super) async fn stream_to(
        &mut self,
        mut sender: BodySender,
        state: &ServerState,
    ) -> Result<bool, InvalidRequest> {
        let mut streamed_bytes = 0;
        while let Some(chunk) = self.next_chunk(state).await? {
            streamed_bytes += chunk.len();
            if streamed_bytes > MAX_STREAMED_BODY_BYTES {
                return Err(InvalidRequest::BODY_TOO_LARGE);
            }
            let send_started_ms = state.dispatcher.now_ms();
            if sender.send(chunk).await.is_err() {
                return Ok(false);
            }
            // Time spent waiting for the server does not count against the client.
            self.deadline
                .exclude_pause(state.dispatcher.now_ms() - send_started_ms);
        }
        Ok(sender.finish().await.is_ok())
    }
}
