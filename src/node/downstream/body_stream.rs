//! Bodies that are streamed from one peer to the other: a [`BodySender`] takes chunks from the peer that writes, a
//! [`BodyReceiver`] gives them to the peer that reads. One chunk is buffered between them, so neither side gets ahead.
//!
//! A sender that is dropped without [`BodySender::finish`] truncates the body, and the receiver reports an error: a truncated
//! body is never taken for a complete one.

use std::cell::RefCell;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use flow_control::TransferDeadline;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use pool::ConnectionError;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Chunks buffered between sender and receiver: one is being written while the next is read.
const CHANNEL_CAPACITY: usize = 1;

/// How long the end of a body may wait for the receiver.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a body that was being read did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The connection that it was read from failed.
    Connection(ConnectionError),
    /// The receiver that it was streamed to was dropped, or reads below the minimum transfer rate.
    ReceiverGone,
}

/// A body ended before it was complete. The peer that it is written to must be able to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body ended before it was complete")
    }
}

impl std::error::Error for Truncated {}

enum Chunk {
    Data(Bytes),
    /// Explicit, as a sender that is dropped may have been abandoned midway.
    End,
}

/// The next frame of a body; `None` at its end.
pub type NextFrame = Option<Result<Frame<Bytes>, Truncated>>;

/// The writing half of a streamed body.
pub struct BodySender {
    chunks: mpsc::Sender<Chunk>,
    started: Instant,
    /// When the receiver must have taken the next chunk.
    deadline: TransferDeadline,
    /// When the last chunk was taken, in milliseconds since `started`.
    last_taken_ms: f64,
}

/// The reading half of a streamed body.
#[derive(Debug)]
pub struct BodyReceiver {
    chunks: mpsc::Receiver<Chunk>,
    /// How many bytes are still to be received, where the length was announced.
    remaining_bytes: Option<u64>,
}

/// A request's body that is streamed, with a buffered prefix. Until an attempt has requested more than the prefix, another
/// attempt can send the body from its beginning.
#[derive(Debug)]
pub struct Upload {
    prefix: Bytes,
    rest: RefCell<Option<BodyReceiver>>,
}

impl Upload {
    /// A body that begins with `prefix`.
    #[must_use]
    pub fn new(prefix: Bytes, rest: BodyReceiver) -> Self {
        Self {
            prefix,
            rest: RefCell::new(Some(rest)),
        }
    }

    /// Whether an attempt has taken more than the prefix, so that no other can send the body.
    #[must_use]
    pub fn is_consumed(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// The length in bytes, where it was announced and the rest has not been taken.
    #[must_use]
    pub fn total_bytes(&self) -> Option<u64> {
        let remaining = self.rest.borrow().as_ref()?.remaining_bytes()?;
        Some(remaining + self.prefix.len() as u64)
    }

    /// The buffered beginning.
    #[must_use]
    pub fn prefix(&self) -> Bytes {
        self.prefix.clone()
    }

    /// Takes what follows the prefix; `None` if an attempt has taken it.
    #[must_use]
    pub fn take_rest(&self) -> Option<BodyReceiver> {
        self.rest.borrow_mut().take()
    }
}

/// Both halves of a body, with its length in bytes where that was announced.
#[must_use]
pub fn body_stream(total_bytes: Option<u64>) -> (BodySender, BodyReceiver) {
    let (sender, chunks) = mpsc::channel(CHANNEL_CAPACITY);
    let sender = BodySender {
        chunks: sender,
        started: Instant::now(),
        deadline: TransferDeadline::for_streaming(0.0),
        last_taken_ms: 0.0,
    };
    let receiver = BodyReceiver {
        chunks,
        remaining_bytes: total_bytes,
    };
    (sender, receiver)
}

impl BodySender {
    /// Sends a chunk, once the receiver has taken the one before. Empty chunks are skipped.
    ///
    /// Not cancel safe: a chunk may be lost with the future.
    ///
    /// # Errors
    ///
    /// [`StreamError::ReceiverGone`] if the receiver was dropped, or reads below the minimum transfer rate: a peer that reads a byte now
    /// and then would hold the other's connection for as long as it likes.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), StreamError> {
        if chunk.is_empty() {
            return Ok(());
        }
        let now_ms = self.now_ms();
        // Time spent waiting for the peer that writes does not count against the one that reads.
        self.deadline.exclude_pause(now_ms - self.last_taken_ms);
        let bytes = chunk.len();
        let timeout = Duration::from_secs_f64((self.deadline.due_ms() - now_ms).max(0.0) / 1e3);
        let sent = tokio::time::timeout(timeout, self.chunks.send(Chunk::Data(chunk))).await;
        self.last_taken_ms = self.now_ms();
        self.deadline.record_bytes(bytes);
        sent.ok()
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
    /// None at present: a receiver that knows the length needs no end, and may be gone.
    pub async fn finish(self) -> Result<(), StreamError> {
        let _ = tokio::time::timeout(FINISH_TIMEOUT, self.chunks.send(Chunk::End)).await;
        Ok(())
    }
}

impl BodyReceiver {
    /// How many bytes are still to be received, where the length was announced.
    #[must_use]
    pub fn remaining_bytes(&self) -> Option<u64> {
        self.remaining_bytes
    }

    /// Whether all bytes of an announced length have been received.
    fn has_received_all(&self) -> bool {
        self.remaining_bytes == Some(0)
    }

    /// Polls for the next frame. Yields [`Truncated`] if the sender was dropped, or the body is longer or shorter than
    /// announced.
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
    /// All of it has been handed to the client's connection.
    Complete,
    /// The server's part ended before the body was complete.
    Truncated,
    /// The client left.
    ClientLeft,
}

/// The body of a response to a client.
pub enum ResponseStream {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// A body that is streamed, and a callback for its end.
    Streamed(BodyReceiver, Option<Box<dyn FnOnce(StreamEnd)>>),
}

impl ResponseStream {
    /// A complete body.
    #[must_use]
    pub fn buffered(body: Bytes) -> Self {
        Self::Buffered(Full::new(body))
    }

    /// A streamed body. `on_end` is called once, at its end or when the body is dropped.
    #[must_use]
    pub fn streamed(body: BodyReceiver, on_end: impl FnOnce(StreamEnd) + 'static) -> Self {
        Self::Streamed(body, Some(Box::new(on_end)))
    }

    /// A body of static text.
    #[must_use]
    pub fn text(text: &'static str) -> Self {
        Self::buffered(Bytes::from_static(text.as_bytes()))
    }

    fn report_end(&mut self, end: StreamEnd) {
        if let Self::Streamed(_, on_end) = self {
            if let Some(on_end) = on_end.take() {
                on_end(end);
            }
        }
    }
}

impl Drop for ResponseStream {
    /// hyper does not poll for the end of a body once all bytes of its announced length have been read.
    fn drop(&mut self) {
        if let Self::Streamed(receiver, _) = self {
            let end = if receiver.has_received_all() {
                StreamEnd::Complete
            } else {
                StreamEnd::ClientLeft
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
            Self::Streamed(receiver, _) => std::task::ready!(receiver.poll(cx)),
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
            Self::Streamed(receiver, _) => receiver
                .remaining_bytes
                .map(SizeHint::with_exact)
                .unwrap_or_default(),
        }
    }
}

#[cfg(test)]
mod tests;
