//! Reads responses: short bodies are buffered, long ones are streamed to the client as they arrive.

use std::cell::Cell;
use std::future::Future;
use std::time::{Duration, Instant};

use balancer::{AttemptResult, LoadReport};
use bytes::Bytes;
use flow_control::{Reservation, TransferDeadline};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, CONNECTION, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, Version};
use pool::ConnectionError;

use super::connection::Http1Connection;
use crate::node::admin::log;
use crate::node::downstream::body_stream::{body_stream, BodyReceiver, BodySender, StreamError};
use crate::node::memory::{
    try_reserve_large_chunks, NodeMemory, MAX_UNRESERVED_BYTES, STREAM_BYTES,
};
use crate::node::upstream::response::{
    attempt_result, decode_load_report, MAX_SHORT_BODY_BYTES, MAX_STREAMED_BODY_BYTES,
};
use crate::node::upstream::{AttemptOutcome, Exchange, ResponseBody, UpstreamResponse};

/// Maximum time without progress of a streamed response or upload. No other server can continue it, so this is far
/// longer than the timeout of an exchange that can be retried.
pub(super) const STREAMING_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before the deadline of a request at which its response stops waiting for memory: an attempt that times out counts
/// against its server.
const MEMORY_WAIT_MARGIN: Duration = Duration::from_millis(20);
/// Size on the wire of a chunk with one byte of data (`1\r\nx\r\n`), the largest overhead of the chunked coding.
const WIRE_BYTES_PER_CHUNKED_BYTE: usize = 6;

/// The budgets for a response, and the time by which memory must be available. No other server can give the response, so it
/// waits for nearly as long as its client.
#[derive(Clone, Copy)]
struct ResponseMemory<'a> {
    budgets: &'a NodeMemory,
    deadline: Instant,
    /// The time spent waiting.
    waited: &'a Cell<Duration>,
}

impl Http1Connection {
    /// Reads a response whose head has arrived.
    pub(super) async fn read_response(
        &mut self,
        response: Response<Incoming>,
        stall_timeout: Duration,
        exchange: Exchange<'_>,
        exchange_started: Instant,
    ) -> AttemptOutcome {
        let (head, body) = response.into_parts();
        let report = load_report(&head.headers);
        let is_rejected = declines(&head.headers);
        let result = attempt_result(head.status, is_rejected);
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        let memory_wait = Cell::new(Duration::ZERO);
        let response = |body| UpstreamResponse {
            status: head.status,
            body,
            content_type: content_type.clone(),
            memory_wait: memory_wait.get(),
        };
        let stream_to_client = |body, reservation| {
            let body = ResponseBody::Streamed(body, reservation);
            (exchange.on_streamed_response)(response(body));
        };
        let on_streamed_body: Option<&dyn Fn(BodyReceiver, Reservation)> =
            if result == AttemptResult::Served {
                Some(&stream_to_client)
            } else {
                None
            };
        let memory = ResponseMemory {
            budgets: exchange.memory,
            deadline: exchange_started + exchange.remaining.saturating_sub(MEMORY_WAIT_MARGIN),
            waited: &memory_wait,
        };
        let body = self
            .read_body(&head, body, stall_timeout, memory, on_streamed_body)
            .await;
        let (result, body) = result_with_body(result, body);
        AttemptOutcome {
            result,
            report,
            response: body.map(|body| response(ResponseBody::Buffered(body))),
        }
    }

    /// Reads and returns a response body that is short enough to be buffered. A longer one is passed to
    /// `on_streamed_body`, and `None` is returned once it has been streamed. It is an error if the body stalls, is
    /// truncated, has no defined end or exceeds the limits, or if a longer one cannot be streamed because
    /// `on_streamed_body` is `None`.
    async fn read_body(
        &mut self,
        head: &Parts,
        mut body: Incoming,
        stall_timeout: Duration,
        memory: ResponseMemory<'_>,
        on_streamed_body: Option<&dyn Fn(BodyReceiver, Reservation)>,
    ) -> Result<Option<Bytes>, StreamError> {
        let content_length = body.size_hint().exact();
        let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
        let is_too_long = content_length.is_some_and(|len| len > MAX_STREAMED_BODY_BYTES as u64);
        if is_too_long || (content_length.is_none() && !is_chunked && !ends_with_connection(head)) {
            log::line("a server's response exceeds the size limit or has no defined length");
            return Err(StreamError::Connection(ConnectionError::InvalidResponse));
        }
        if is_chunked {
            self.progress
                .allow_additional_bytes(WIRE_BYTES_PER_CHUNKED_BYTE * MAX_SHORT_BODY_BYTES);
        }
        let is_long = content_length.is_some_and(|len| len > MAX_SHORT_BODY_BYTES as u64);
        let mut buffered = BufferedBody::default();
        loop {
            let Some(chunk) = self.next_chunk(&mut body, stall_timeout).await? else {
                return Ok(Some(buffered.freeze()));
            };
            let required = buffered.bytes.len() + chunk.len();
            if !is_long && required <= MAX_SHORT_BODY_BYTES {
                if required > buffered.bytes.capacity() {
                    let reserving = buffered.make_room(required, content_length, memory.budgets);
                    self.reserve(memory, reserving).await?;
                }
                buffered.bytes.extend_from_slice(&chunk);
                continue;
            }
            let on_streamed_body = on_streamed_body
                .ok_or(StreamError::Connection(ConnectionError::InvalidResponse))?;
            let reservation = self.reserve_stream(memory).await?;
            let (sender, streamed) = body_stream(content_length);
            on_streamed_body(streamed, reservation);
            let received = [buffered.freeze(), chunk];
            return self
                .stream_body(sender, received, body)
                .await
                .map(|()| None);
        }
    }

    /// Reserves the memory of a streamed body.
    async fn reserve_stream(
        &mut self,
        memory: ResponseMemory<'_>,
    ) -> Result<Reservation, StreamError> {
        let budget = &memory.budgets.streamed_responses;
        if let Some(reservation) = try_reserve_large_chunks(budget) {
            self.progress.allow_large_reads();
            return Ok(reservation);
        }
        self.reserve(memory, budget.reserve(STREAM_BYTES)).await
    }

    /// Waits for a reservation while driving the connection.
    async fn reserve<T>(
        &mut self,
        memory: ResponseMemory<'_>,
        reserving: impl Future<Output = Option<T>>,
    ) -> Result<T, StreamError> {
        let started = Instant::now();
        let reserving = tokio::time::timeout_at(memory.deadline.into(), reserving);
        let reserved = self.drive(reserving).await;
        memory.waited.set(memory.waited.get() + started.elapsed());
        reserved.ok().flatten().ok_or(StreamError::MemoryExhausted)
    }

    /// Streams a body whose first chunks have been received.
    async fn stream_body(
        &mut self,
        mut sender: BodySender,
        received: [Bytes; 2],
        mut body: Incoming,
    ) -> Result<(), StreamError> {
        self.progress
            .allow_additional_bytes(WIRE_BYTES_PER_CHUNKED_BYTE * MAX_STREAMED_BODY_BYTES);
        let mut streamed_bytes = 0;
        for chunk in received {
            streamed_bytes += chunk.len();
            sender.send(chunk).await?;
        }
        // Only the time spent waiting for the server counts against its deadline.
        let mut deadline = TransferDeadline::for_streaming(0.0);
        let mut waited = Duration::ZERO;
        loop {
            let time_left =
                Duration::from_secs_f64((deadline.due_ms() / 1e3 - waited.as_secs_f64()).max(0.0));
            let wait_began = Instant::now();
            let chunk_timeout = time_left.min(STREAMING_STALL_TIMEOUT);
            let Some(chunk) = self.next_chunk(&mut body, chunk_timeout).await? else {
                break;
            };
            waited += wait_began.elapsed();
            deadline.record_bytes(chunk.len());
            streamed_bytes += chunk.len();
            if streamed_bytes > MAX_STREAMED_BODY_BYTES {
                log::line("a server's streamed response exceeds the size limit");
                return Err(StreamError::Connection(ConnectionError::InvalidResponse));
            }
            sender.send(chunk).await?;
        }
        sender.finish().await
    }

    /// The next chunk of a body; `None` at its end. Trailers are not forwarded.
    async fn next_chunk(
        &mut self,
        body: &mut Incoming,
        timeout: Duration,
    ) -> Result<Option<Bytes>, StreamError> {
        loop {
            let frame = tokio::time::timeout(timeout, body.frame());
            match self.drive(frame).await {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Ok(Some(chunk));
                    }
                }
                Ok(Some(Err(error))) if error.is_incomplete_message() => {
                    return Err(StreamError::Connection(ConnectionError::Closed));
                }
                _ => {
                    log::line("the body of a server's response is malformed or stalled");
                    return Err(StreamError::Connection(ConnectionError::InvalidResponse));
                }
            }
        }
    }
}

/// The load report of a response head, if it has one.
pub(super) fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    headers.get("srv-load").and_then(decode_load_report)
}

/// Whether a response says, without contradiction, that its request was declined and never ran.
pub(super) fn declines(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all("srv-declined").iter().peekable();
    values.peek().is_some() && values.all(|value| value == "1")
}

/// Whether the body ends with the connection, as `Connection: close` announces and HTTP/1.0 implies.
fn ends_with_connection(head: &Parts) -> bool {
    let announces_close = head
        .headers
        .get(CONNECTION)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    announces_close || head.version == Version::HTTP_10
}

/// Combines the result that the response head indicates with the outcome of reading the body. Returns the result of
/// the attempt and the buffered body for the client.
fn result_with_body(
    result: AttemptResult,
    body: Result<Option<Bytes>, StreamError>,
) -> (AttemptResult, Option<Bytes>) {
    match (result, body) {
        (AttemptResult::Served, Err(StreamError::Connection(ConnectionError::Closed))) => {
            (AttemptResult::Reset, None)
        }
        (AttemptResult::Served, Err(StreamError::Connection(_))) => {
            (AttemptResult::Malformed, None)
        }
        // Not a fault of the server; the request may have run.
        (AttemptResult::Served, Err(StreamError::ReceiverGone | StreamError::MemoryExhausted)) => {
            (AttemptResult::Cancelled, None)
        }
        (AttemptResult::Served, Ok(body)) => (AttemptResult::Served, body),
        (AttemptResult::ClientError, body) => (
            AttemptResult::ClientError,
            Some(body.ok().flatten().unwrap_or_default()),
        ),
        (result, _) => (result, None),
    }
}

/// The buffered part of a body, whose memory beyond [`MAX_UNRESERVED_BYTES`] is reserved.
#[derive(Default)]
struct BufferedBody {
    bytes: Vec<u8>,
    reservation: Option<Reservation>,
}

impl BufferedBody {
    /// Reserves and allocates memory for `required` bytes and those that are announced, or that may follow. `None` if they
    /// exceed the whole budget. All of it is reserved at once: a response that waits for memory holds none.
    async fn make_room(
        &mut self,
        required: usize,
        content_length: Option<u64>,
        memory: &NodeMemory,
    ) -> Option<()> {
        let capacity = match content_length {
            Some(length) => required.max(length as usize),
            None if required <= MAX_UNRESERVED_BYTES => MAX_UNRESERVED_BYTES,
            None => MAX_SHORT_BODY_BYTES,
        };
        if capacity > MAX_UNRESERVED_BYTES {
            self.reservation = Some(memory.responses.reserve(capacity).await?);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Some(())
    }

    /// Returns the buffered bytes. The reservation is released with the last reference to them.
    fn freeze(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(self.bytes.len());
        }
        let bytes = Bytes::from(self.bytes);
        match self.reservation {
            Some(reservation) => reservation.attach_to(bytes),
            None => bytes,
        }
    }
}
