//! Reads responses: short bodies are buffered, long ones are streamed to the client as they arrive.

use std::cell::Cell;
use std::future::Future;
use std::time::{Duration, Instant};

use balancer::{AttemptResult, LoadReport};
use bytes::Bytes;
use flow_control::{Reservation, TransferDeadline};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::Response;
use pool::ConnectionError;

use super::connection::Http1Connection;
use crate::node::admin::log;
use crate::node::downstream::body_stream::{body_stream, BodyReceiver, BodySender, StreamError};
use crate::node::memory::{
    freeze, try_reserve_large_chunks, NodeMemory, MAX_UNRESERVED_BYTES, STREAM_BYTES,
};
use crate::node::upstream::response::{
    attempt_result, decode_load_report, MAX_SHORT_BODY_BYTES, MAX_STREAMED_BODY_BYTES,
};
use crate::node::upstream::{AttemptOutcome, Exchange, ResponseBody, UpstreamResponse};

/// Maximum time without progress of a request that is being sent, and of a streamed response after the deadline of its request.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before the deadline of a request at which its response stops waiting for memory: an attempt that times out counts
/// against its server.
const MEMORY_WAIT_MARGIN: Duration = Duration::from_millis(20);
/// Time before the deadline of a request at which a response of unannounced length begins to be streamed. The dispatcher ends
/// an attempt at the deadline.
const STREAM_START_MARGIN: Duration = Duration::from_millis(20);
/// Time after the head of a response from which on a chunk shows that its server pauses and goes on. A response that stalls for
/// good usually does so at once.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Size on the wire of a chunk with one byte of data (`1\r\nx\r\n`), the largest overhead of the chunked coding.
const WIRE_BYTES_PER_CHUNKED_BYTE: usize = 6;

/// The budgets for a response, and how long it may wait for them: nearly as long as its client, since no other server can
/// give the response.
#[derive(Clone, Copy)]
struct ResponseMemory<'a> {
    budgets: &'a NodeMemory,
    /// The deadline of the request.
    deadline: Instant,
    /// The time spent waiting.
    waited: &'a Cell<Duration>,
}

/// The buffered part of a body.
enum BufferedPart {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a body whose rest is streamed, and the memory for that if it has been reserved.
    Beginning {
        received: [Bytes; 2],
        reservation: Option<Reservation>,
    },
}

/// The next part of a body that is buffered.
enum NextChunk {
    Data(Bytes),
    End,
    /// Nothing has arrived in time.
    Late,
}

impl Http1Connection {
    /// Reads a response whose head has arrived. Until some of it has been forwarded the caller ends the attempt at the
    /// deadline, and not before: a server that pauses cannot be told from one that has stalled.
    pub(super) async fn read_response(
        &mut self,
        response: Response<Incoming>,
        exchange: Exchange<'_>,
        deadline: Instant,
    ) -> AttemptOutcome {
        let (head, body) = response.into_parts();
        let report = load_report(&head.headers);
        let is_rejected = declines(&head.headers);
        let result = attempt_result(head.status, is_rejected);
        if !matches!(result, AttemptResult::Served | AttemptResult::ClientError) {
            return AttemptOutcome {
                result,
                report,
                response: None,
            };
        }
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
            deadline,
            waited: &memory_wait,
        };
        let body = self.read_body(&head, body, memory, on_streamed_body).await;
        if let Err(error) = body {
            log::request_line(format_args!(
                "request {}: response not complete: {error}",
                exchange.request.client_id()
            ));
        }
        let (result, body) = result_with_body(result, body);
        AttemptOutcome {
            result,
            report,
            response: body.map(|body| response(ResponseBody::Buffered(body))),
        }
    }

    /// Reads and returns a response body that is short enough to be buffered. A longer one is passed to
    /// `on_streamed_body`, and `None` is returned once it has been streamed. It is an error if the body is truncated,
    /// has an unsupported transfer coding or exceeds the limits, if it stalls while it is streamed, or if a longer one
    /// cannot be streamed because `on_streamed_body` is `None`.
    ///
    /// A body with neither a transfer coding nor a length ends with its connection (RFC 9112, section 6.3): it is complete
    /// if the server has closed the connection in order, and truncated if the connection was reset.
    async fn read_body(
        &mut self,
        head: &Parts,
        mut body: Incoming,
        memory: ResponseMemory<'_>,
        on_streamed_body: Option<&dyn Fn(BodyReceiver, Reservation)>,
    ) -> Result<Option<Bytes>, StreamError> {
        let content_length = body.size_hint().exact();
        if content_length.is_some_and(|len| len > MAX_STREAMED_BODY_BYTES as u64) {
            log::line("a server's response exceeds the size limit");
            return Err(StreamError::Connection(ConnectionError::InvalidResponse));
        }
        let coding = transfer_coding(&head.headers);
        if coding == TransferCoding::Unsupported {
            log::line("a server's response has an unsupported transfer coding");
            return Err(StreamError::Connection(ConnectionError::InvalidResponse));
        }
        if coding == TransferCoding::Chunked {
            self.progress
                .allow_additional_bytes(WIRE_BYTES_PER_CHUNKED_BYTE * MAX_SHORT_BODY_BYTES);
        }
        let may_stream = on_streamed_body.is_some();
        let part = self
            .buffer_body(&mut body, content_length, memory, may_stream)
            .await?;
        let (received, reservation) = match part {
            BufferedPart::Complete(body) => return Ok(Some(body)),
            BufferedPart::Beginning {
                received,
                reservation,
            } => (received, reservation),
        };
        let on_streamed_body =
            on_streamed_body.ok_or(StreamError::Connection(ConnectionError::InvalidResponse))?;
        let reservation = match reservation {
            Some(reservation) => reservation,
            None => self.reserve_stream(memory).await?,
        };
        let (sender, streamed) = body_stream(content_length);
        on_streamed_body(streamed, reservation);
        self.stream_body(sender, received, body, memory.deadline)
            .await
            .map(|()| None)
    }

    /// Buffers a body until it is complete, or has to be streamed: because it is too long or, if its length is not announced,
    /// because the deadline is near and its server still writes it, with pauses.
    async fn buffer_body(
        &mut self,
        body: &mut Incoming,
        content_length: Option<u64>,
        memory: ResponseMemory<'_>,
        may_stream: bool,
    ) -> Result<BufferedPart, StreamError> {
        let max_bytes = match content_length {
            Some(length) if length > MAX_SHORT_BODY_BYTES as u64 => 0,
            _ => MAX_SHORT_BODY_BYTES,
        };
        let mut stream_from = Some(memory.deadline - STREAM_START_MARGIN)
            .filter(|_| may_stream && content_length.is_none());
        let mut buffered = BufferedBody::default();
        let began_at = Instant::now();
        let mut has_paused = false;
        loop {
            let buffered_until = stream_from.filter(|_| has_paused);
            let chunk = match self.next_chunk_by(body, buffered_until).await? {
                NextChunk::Data(chunk) => chunk,
                NextChunk::End => return Ok(BufferedPart::Complete(buffered.freeze())),
                NextChunk::Late => {
                    stream_from = None;
                    let budget = &memory.budgets.streamed_responses;
                    let Some(reservation) = budget.try_reserve(STREAM_BYTES) else {
                        continue;
                    };
                    return Ok(BufferedPart::Beginning {
                        received: [buffered.freeze(), Bytes::new()],
                        reservation: Some(reservation),
                    });
                }
            };
            has_paused |= began_at.elapsed() >= MIN_PAUSE;
            let required = buffered.bytes.len() + chunk.len();
            if required > max_bytes {
                return Ok(BufferedPart::Beginning {
                    received: [buffered.freeze(), chunk],
                    reservation: None,
                });
            }
            if required > buffered.bytes.capacity() {
                let reserving = buffered.make_room(required, content_length, memory.budgets);
                self.reserve(memory, reserving).await?;
            }
            buffered.bytes.extend_from_slice(&chunk);
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
        let reserve_by = memory.deadline - MEMORY_WAIT_MARGIN;
        let reserving = tokio::time::timeout_at(reserve_by.into(), reserving);
        let reserved = self.drive(reserving).await;
        memory.waited.set(memory.waited.get() + started.elapsed());
        reserved.ok().flatten().ok_or(StreamError::MemoryExhausted)
    }

    /// Streams a body whose first chunks have been received. It does not count as stalled before the request's deadline.
    async fn stream_body(
        &mut self,
        mut sender: BodySender,
        received: [Bytes; 2],
        mut body: Incoming,
        request_deadline: Instant,
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
            let chunk_timeout = time_left
                .min(STALL_TIMEOUT)
                .max(request_deadline.saturating_duration_since(wait_began));
            let chunk = tokio::time::timeout(chunk_timeout, self.next_chunk(&mut body))
                .await
                .map_err(|_| StreamError::Stalled)?;
            let Some(chunk) = chunk? else {
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

    /// The next chunk of a body, if it arrives by then.
    async fn next_chunk_by(
        &mut self,
        body: &mut Incoming,
        by: Option<Instant>,
    ) -> Result<NextChunk, StreamError> {
        let chunk = self.next_chunk(body);
        let chunk = match by {
            Some(by) => match tokio::time::timeout_at(by.into(), chunk).await {
                Ok(chunk) => chunk?,
                Err(_) => return Ok(NextChunk::Late),
            },
            None => chunk.await?,
        };
        Ok(chunk.map_or(NextChunk::End, NextChunk::Data))
    }

    /// The next chunk of a body; `None` at its end. Trailers are not forwarded. Cancel safe.
    async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, StreamError> {
        loop {
            match self.drive(body.frame()).await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Ok(Some(chunk));
                    }
                }
                Some(Err(error)) if error.is_incomplete_message() => {
                    return Err(StreamError::Connection(ConnectionError::Closed));
                }
                Some(Err(_)) => {
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

/// The transfer codings of a message body (RFC 9112, section 7).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TransferCoding {
    /// None: the body ends after its announced length, or else with its connection.
    None,
    /// Chunked and nothing else.
    Chunked,
    /// The body is encoded in a way that was not asked for, and cannot be decoded.
    Unsupported,
}

/// The transfer coding of a response.
fn transfer_coding(headers: &HeaderMap) -> TransferCoding {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else {
        return TransferCoding::None;
    };
    let coding = value.as_bytes().trim_ascii();
    if values.next().is_some() {
        TransferCoding::Unsupported
    } else if coding.eq_ignore_ascii_case(b"chunked") {
        TransferCoding::Chunked
    } else if coding.eq_ignore_ascii_case(b"identity") {
        TransferCoding::None
    } else {
        TransferCoding::Unsupported
    }
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
        (AttemptResult::Served, Err(StreamError::Stalled)) => (AttemptResult::TimedOut, None),
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
    fn freeze(self) -> Bytes {
        freeze(self.bytes, self.reservation)
    }
}
