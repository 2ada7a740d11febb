//! Bodies that are streamed from one peer to another: a [`BodySender`] accepts the chunks that one peer sends, and a
//! [`BodyReceiver`] returns them for the other peer. One chunk is buffered between them, so that the sender cannot get
//! ahead of the receiver.
//!
//! Dropping a sender without [`BodySender::finish`] truncates the body, and the receiver reports an error: a truncated body
//! is never mistaken for a complete one.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use flow_control::{Reservation, TransferDeadline};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use pool::ConnectionError;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::node::memory::detach_if_short;

/// Number of chunks buffered between sender and receiver: one is written while the next is read.
const CHANNEL_CAPACITY: usize = 1;

/// Maximum time to wait until the receiver has room for the end marker of a body.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a body could not be streamed to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The connection that the body is read from failed.
    Connection(ConnectionError),
    /// The body made no progress, or less than the minimum transfer rate requires.
    Stalled,
    /// The memory for the body could not be reserved in time.
    MemoryExhausted,
    /// The receiver was dropped, or reads more slowly than the minimum transfer rate.
    ReceiverGone,
}

impl std::fmt::Display for StreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Connection(ConnectionError::Closed) => "the server closed the connection",
            Self::Connection(_) => "it is malformed or exceeds a limit",
            Self::Stalled => "the server stalled",
            Self::MemoryExhausted => "no memory for it became free in time",
            Self::ReceiverGone => "its client disconnected or reads too slowly",
        })
    }
}

/// Error for a body that ended before it was complete, or that is longer than announced. The peer that receives the body
/// must be able to detect this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body ended before it was complete")
    }
}

impl std::error::Error for Truncated {}

/// An item on the channel between sender and receiver.
enum Chunk {
    Data(Bytes),
    /// The end of the body. It is sent explicitly because a sender may also be dropped before the body is complete.
    End,
}

/// The next frame of a body; `None` at its end.
pub type NextFrame = Option<Result<Frame<Bytes>, Truncated>>;

/// The writing half of a streamed body.
pub struct BodySender {
    chunks: mpsc::Sender<Chunk>,
    started: Instant,
    /// Deadline for the receiver to make room for the next chunk, in milliseconds since `started`.
    deadline: TransferDeadline,
    /// When the last send ended, in milliseconds since `started`.
    last_send_ended_ms: f64,
}

/// The reading half of a streamed body.
#[derive(Debug)]
pub struct BodyReceiver {
    chunks: mpsc::Receiver<Chunk>,
    /// Number of bytes still to be received; `None` if the length was not announced.
    remaining_bytes: Option<u64>,
}

/// A streamed request body with a buffered prefix. Until an attempt takes more than the prefix, another attempt can send the
/// body from its beginning.
#[derive(Debug)]
pub struct Upload {
    prefix: Bytes,
    /// What follows the prefix; `None` once an attempt has taken it.
    rest: RefCell<Option<BodyReceiver>>,
    /// The memory of the stream, until the request has ended.
    _reservation: Rc<Reservation>,
}

impl Upload {
    /// Creates a body that begins with `prefix`; `rest` receives what follows it. The reservation is for the chunks that
    /// the stream holds.
    #[must_use]
    pub fn new(prefix: Bytes, rest: BodyReceiver, reservation: Rc<Reservation>) -> Self {
        Self {
            prefix,
            rest: RefCell::new(Some(rest)),
            _reservation: reservation,
        }
    }

    /// Returns whether an attempt has taken more than the prefix, so that no other attempt can send the body.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// Returns the length in bytes; `None` if it was not announced or the rest has been taken.
    #[must_use]
    pub fn total_bytes(&self) -> Option<u64> {
        let remaining = self.rest.borrow().as_ref()?.remaining_bytes()?;
        Some(remaining + self.prefix.len() as u64)
    }

    /// Returns the buffered beginning of the body.
    #[must_use]
    pub fn prefix(&self) -> Bytes {
        self.prefix.clone()
    }

    /// Takes what follows the prefix; `None` if an attempt has already taken it.
    #[must_use]
    pub fn take_rest(&self) -> Option<BodyReceiver> {
        self.rest.borrow_mut().take()
    }
}

/// Creates both halves of a streamed body. `total_bytes` is its length if that was announced.
#[must_use]
pub fn body_stream(total_bytes: Option<u64>) -> (BodySender, BodyReceiver) {
    let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
    let sender = BodySender {
        chunks: sender,
        started: Instant::now(),
        deadline: TransferDeadline::for_streaming(0.0),
        last_send_ended_ms: 0.0,
    };
    let receiver = BodyReceiver {
        chunks,
        remaining_bytes: total_bytes,
    };
    (sender, receiver)
}

impl BodySender {
    /// Sends a chunk, after the receiver has taken the previous one. Empty chunks are skipped.
    ///
    /// Not cancel safe: if the future is dropped, the chunk may be lost.
    ///
    /// # Errors
    ///
    /// [`StreamError::ReceiverGone`] if the receiver was dropped, or reads more slowly than the minimum transfer rate: a
    /// peer that reads a few bytes at a time could otherwise occupy the other peer's connection indefinitely.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), StreamError> {
        if chunk.is_empty() {
            return Ok(());
        }
        let now_ms = self.now_ms();
        // Time spent waiting for the peer that sends the body does not count against the peer that receives it.
        self.deadline
            .exclude_pause(now_ms - self.last_send_ended_ms);
        let chunk = detach_if_short(chunk);
        let bytes = chunk.len();
        let timeout = Duration::from_secs_f64((self.deadline.due_ms() - now_ms).max(0.0) / 1e3);
        let result = tokio::time::timeout(timeout, self.chunks.send(Chunk::Data(chunk))).await;
        self.last_send_ended_ms = self.now_ms();
        self.deadline.record_bytes(bytes);
        result
            .ok()
            .and_then(Result::ok)
            .ok_or(StreamError::ReceiverGone)
    }

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// Currently none: a dropped receiver and a timeout are ignored. A receiver that knows the length does not need the end
    /// marker and may already be dropped; any other receiver reports a truncated body if it gets no marker.
    pub async fn finish(self) -> Result<(), StreamError> {
        let _ = tokio::time::timeout(FINISH_TIMEOUT, self.chunks.send(Chunk::End)).await;
        Ok(())
    }
}

impl BodyReceiver {
    /// Returns the number of bytes still to be received; `None` if the length was not announced.
    #[must_use]
    pub fn remaining_bytes(&self) -> Option<u64> {
        self.remaining_bytes
    }

    /// Returns whether all bytes of an announced length have been received.
    fn has_received_all(&self) -> bool {
        self.remaining_bytes == Some(0)
    }

    /// Polls for the next frame. Yields [`Truncated`] if the sender was dropped before the end of the body, or if the body
    /// is longer or shorter than announced.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<NextFrame> {
        let chunk = std::task::ready!(self.chunks.poll_recv(cx));
        Poll::Ready(match chunk {
            Some(Chunk::Data(data)) => Some(self.record_data(&data).map(|()| Frame::data(data))),
            Some(Chunk::End) if self.remaining_bytes.is_none_or(|bytes| bytes == 0) => None,
            Some(Chunk::End) | None => Some(Err(Truncated)),
        })
    }

    fn record_data(&mut self, data: &Bytes) -> Result<(), Truncated> {
        if let Some(remaining) = &mut self.remaining_bytes {
            *remaining = remaining.checked_sub(data.len() as u64).ok_or(Truncated)?;
        }
        Ok(())
    }
}

/// How a streamed response body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole body has been handed to the client's connection.
    Complete,
    /// The server's response ended before the body was complete, or its body is longer than announced.
    Truncated,
    /// The client disconnected, or its connection was closed, before the body was complete.
    ClientDisconnected,
}

/// The body of a response to a client.
pub enum ResponseStream {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// A streamed body.
    Streamed(StreamedResponse),
}

/// A streamed response body.
pub struct StreamedResponse {
    receiver: BodyReceiver,
    /// Called once when the body ends.
    on_end: Option<Box<dyn FnOnce(StreamEnd)>>,
    /// Whether hyper has polled the body.
    is_polled: bool,
}

impl ResponseStream {
    /// Creates a body that is complete.
    #[must_use]
    pub fn buffered(body: Bytes) -> Self {
        Self::Buffered(Full::new(body))
    }

    /// Creates a streamed body. `on_end` is called once, when the body ends or is dropped.
    #[must_use]
    pub fn streamed(body: BodyReceiver, on_end: impl FnOnce(StreamEnd) + 'static) -> Self {
        Self::Streamed(StreamedResponse {
            receiver: body,
            on_end: Some(Box::new(on_end)),
            is_polled: false,
        })
    }

    /// Creates a body from a static text.
    #[must_use]
    pub fn text(text: &'static str) -> Self {
        Self::buffered(Bytes::from_static(text.as_bytes()))
    }

    fn report_end(&mut self, end: StreamEnd) {
        if let Self::Streamed(stream) = self {
            if let Some(on_end) = stream.on_end.take() {
                on_end(end);
            }
        }
    }
}

impl Drop for ResponseStream {
    /// Reports the end if that has not happened yet: hyper does not poll for the end of a body once it has read all bytes of
    /// the announced length.
    fn drop(&mut self) {
        if let Self::Streamed(stream) = self {
            let end = if stream.receiver.has_received_all() {
                StreamEnd::Complete
            } else {
                StreamEnd::ClientDisconnected
            };
            self.report_end(end);
        }
    }
}

impl Body for ResponseStream {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<NextFrame> {
        let frame = match &mut *self {
            Self::Buffered(body) => {
                let frame = std::task::ready!(Pin::new(body).poll_frame(cx));
                return Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})));
            }
            Self::Streamed(stream) => {
                // hyper then writes the head first. If the body breaks off at once, hyper would close the connection
                // without it, and the client could not tell that its request had a response.
                if !std::mem::replace(&mut stream.is_polled, true) {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                std::task::ready!(stream.receiver.poll(cx))
            }
        };
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.report_end(StreamEnd::Truncated),
            None => self.report_end(StreamEnd::Complete),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(stream) => stream
                .receiver
                .remaining_bytes
                .map(SizeHint::with_exact)
                .unwrap_or_default(),
        }
    }
}

#[cfg(test)]
mod tests;
