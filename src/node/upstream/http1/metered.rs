//! A wrapper of the socket of an HTTP/1.1 connection, which records reads and writes in [`ExchangeProgress`].

use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::progress::ExchangeProgress;
use crate::node::level_triggered::poll_read_limited;
use crate::node::upstream::stream::{PendingInput, Stream};

/// The connection was closed, or received bytes, before the last byte of its request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InputBeforeRequestEnd;

impl fmt::Display for InputBeforeRequestEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was closed or received bytes before the end of the request")
    }
}

impl std::error::Error for InputBeforeRequestEnd {}

/// A stream whose reads and writes are recorded.
pub struct MeteredStream {
    stream: Stream,
    progress: Rc<ExchangeProgress>,
}

impl MeteredStream {
    /// Wraps `stream` and records its reads and writes in `progress`.
    pub fn new(stream: Stream, progress: Rc<ExchangeProgress>) -> Self {
        Self { stream, progress }
    }

    /// Records the result of a write to which `offered_bytes` were passed.
    fn record_write(
        &self,
        result: Poll<io::Result<usize>>,
        offered_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(bytes)) => self.progress.record_written(*bytes, offered_bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.progress.record_write_blocked(),
        }
        result
    }

    /// Checks, before each write of a request, for input: a server runs a request once it has the last byte, so bytes
    /// that arrive earlier are not the response of a request that has run. Asks the system, since the event loop may not
    /// have reported the input yet. Once input has been read, nothing more is written, so the request cannot have run.
    ///
    /// Behind a part of the request, input is read before it is judged: the server may have turned the request away.
    fn poll_input_before_write(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.progress.has_received() {
            match self.stream.pending_input() {
                PendingInput::None => return Poll::Ready(Ok(())),
                PendingInput::Bytes if self.progress.has_written() => {
                    if self.stream.poll_readable(cx).is_ready() {
                        cx.waker().wake_by_ref();
                    }
                    return Poll::Pending;
                }
                PendingInput::Bytes => {}
                PendingInput::Closed => {
                    return Poll::Ready(Err(io::Error::other(InputBeforeRequestEnd)))
                }
            }
        }
        self.progress.record_unsolicited_bytes();
        Poll::Ready(Err(io::Error::other(InputBeforeRequestEnd)))
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let has_large_reads = self.progress.has_large_reads();
        let stream = Pin::new(&mut self.stream);
        let result = if has_large_reads {
            stream.poll_read(cx, buf)
        } else {
            poll_read_limited(stream, cx, buf)
        };
        let read = &buf.filled()[filled_before..];
        if !read.is_empty() {
            self.progress.record_read(read).map_err(io::Error::other)?;
        }
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_input_before_write(cx))?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(result, buf.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_input_before_write(cx))?;
        let offered_bytes = bufs.iter().map(|buffer| buffer.len()).sum();
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(result, offered_bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
