//! A connection's socket that notes what passes: whether a request may have run depends on it, and whether what comes
//! can be its answer.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use admin::Counter;
use pool::{BytesSent, ConnectionError};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use crate::node::upstream::answers::MOST_BODY;
use crate::node::upstream::stream::{News, Stream};

/// The most that comes ahead of and with an answer: its head, its body and some 1xx.
const MOST_ANSWER: usize = 4 * MOST_BODY;
/// How long a server may take nothing of a request that is on its way: two lost packets are sent again in it. What has
/// not gone out to its last byte has not run, and may go another way.
pub const SEND_STALL: Duration = Duration::from_millis(600);

/// What has passed on a connection since its present request began.
#[derive(Debug, Default)]
pub struct Traffic {
    written: Cell<u64>,
    /// Whether the request is out to its last byte.
    whole: Cell<bool>,
    /// Whether its last byte has been handed to whoever writes it.
    through: Cell<bool>,
    /// Whether the server takes no more at the moment.
    blocked: Cell<bool>,
    read: Cell<usize>,
    /// The last bytes that came.
    tail: Cell<[u8; 4]>,
    /// Counts the requests that are out.
    tally: RefCell<Counter>,
    /// Something came or went.
    moved: Notify,
    /// What a large answer may bring beyond `MOST_ANSWER`.
    large: Cell<usize>,
    /// Whether more came than any answer has.
    flooded: Cell<bool>,
    /// Whether bytes came that nobody had asked for.
    unasked: Cell<bool>,
}

impl Traffic {
    /// The next request begins.
    pub fn begin(&self, tally: &Counter) {
        self.tally.replace(tally.clone());
        self.written.set(0);
        self.whole.set(false);
        self.through.set(true);
        self.blocked.set(false);
        self.read.set(0);
        self.large.set(0);
        self.tail.set([0; 4]);
    }

    /// The last byte of the request is yet to come.
    pub fn expect_more(&self) {
        self.through.set(false);
    }

    /// It has come.
    pub fn expect_no_more(&self) {
        self.through.set(true);
    }

    /// How much of the request is out.
    pub fn sent(&self) -> BytesSent {
        match self.written.get() {
            _ if self.whole.get() => BytesSent::Complete,
            0 => BytesSent::None,
            _ => BytesSent::Partial,
        }
    }

    /// What an answer that is large may bring beyond the ordinary.
    pub fn allow(&self, large: usize) {
        self.large.set(large);
    }

    /// Whether more came than any answer has.
    pub fn is_flooded(&self) -> bool {
        self.flooded.get()
    }

    /// Whether bytes came that nobody had asked for.
    pub fn is_odd(&self) -> bool {
        self.unasked.get()
    }

    /// Bytes came that nobody had asked for.
    pub fn note_odd(&self) {
        self.unasked.set(true);
    }

    fn note_read(&self, bytes: &[u8]) {
        self.read.set(self.read.get() + bytes.len());
        let mut tail = self.tail.get();
        for byte in &bytes[bytes.len().saturating_sub(tail.len())..] {
            tail.rotate_left(1);
            tail[3] = *byte;
        }
        self.tail.set(tail);
        self.moved.notify_one();
    }

    fn note_blocked(&self) {
        if !self.blocked.replace(true) {
            self.moved.notify_one();
        }
    }

    fn note_written(&self, bytes: usize) {
        self.blocked.set(false);
        self.written.set(self.written.get() + bytes as u64);
        self.moved.notify_one();
    }

    /// Whether a head has begun and not ended. A whole one that the answer has not come with was a 1xx: after it the
    /// server may well think for a while.
    fn is_in_head(&self) -> bool {
        self.read.get() > 0 && self.tail.get() != *b"\r\n\r\n"
    }

    /// Waits until the request or the answer's head stops short. Guards against a server that takes no more, and against
    /// answers that cannot be read and do not end: they would be waited for until the request's time is over, with none
    /// left for another attempt.
    pub async fn stalls(&self, answer_stall: Duration, send_stall: Duration) -> ConnectionError {
        loop {
            let (limit, broke) = match self.sent() {
                BytesSent::Complete if self.is_in_head() => {
                    (answer_stall, ConnectionError::InvalidResponse)
                }
                BytesSent::Complete => {
                    self.moved.notified().await;
                    continue;
                }
                _ if self.blocked.get() => (send_stall, ConnectionError::Stalled),
                // Its client is waited for, which is not the server's matter.
                _ => {
                    self.moved.notified().await;
                    continue;
                }
            };
            if tokio::time::timeout(limit, self.moved.notified())
                .await
                .is_err()
            {
                return broke;
            }
        }
    }
}

/// The socket.
pub struct Metered {
    stream: Stream,
    traffic: Rc<Traffic>,
}

impl Metered {
    /// Notes what passes in `traffic`.
    pub fn new(stream: Stream, traffic: Rc<Traffic>) -> Self {
        Self { stream, traffic }
    }

    fn note(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(n)) => self.traffic.note_written(*n),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.traffic.note_blocked(),
        }
        result
    }

    /// Guards against what came since the connection was picked, which the event loop may not have heard of: bytes that
    /// nobody asked for belong to the answer before, and would be taken for the next one. Nothing is written then, and
    /// nothing has run.
    fn refuses_to_begin(&self) -> Option<io::Error> {
        if self.traffic.written.get() > 0 {
            return None;
        }
        match self.stream.news() {
            News::None => return None,
            News::Bytes => self.traffic.note_odd(),
            News::End => {}
        }
        Some(io::Error::other("something came ahead of the request"))
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            self.traffic.note_read(read);
            if self.traffic.read.get() > MOST_ANSWER + self.traffic.large.get() {
                self.traffic.flooded.set(true);
                return Poll::Ready(Err(io::Error::other("more came than any answer has")));
            }
        }
        result
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(error) = self.refuses_to_begin() {
            return Poll::Ready(Err(error));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(error) = self.refuses_to_begin() {
            return Poll::Ready(Err(error));
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes a socket once it has written all that it holds. Once the request's last byte is handed to it, that
    /// is the last byte (where a body is one piece, it holds the whole request before it writes any of it).
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let is_out = self.traffic.written.get() > 0 && self.traffic.through.get();
        if is_out && !self.traffic.whole.replace(true) {
            self.traffic.tally.borrow().increment();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
