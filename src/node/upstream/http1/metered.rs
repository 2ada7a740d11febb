//! A wrapper of the socket of an HTTP/1.1 connection, which records reads and writes in [`ExchangeProgress`].

use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::progress::ExchangeProgress;
use crate::node::upstream::stream::{PendingInput, Stream};

/// The connection was closed, or received bytes, before its request began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InputBeforeRequest;

impl fmt::Display for InputBeforeRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was closed or received bytes before the request")
    }
}

impl std::error::Error for InputBeforeRequest {}

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

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(bytes)) => self.progress.record_written(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.progress.record_write_blocked(),
        }
        result
    }

    /// Checks, before the first byte of a request, for input that the event loop may not have reported yet:
    /// unsolicited bytes would be taken for the response. If the check fails, nothing is written, so the request
    /// cannot have run.
    fn check_input_before_request(&self) -> io::Result<()> {
        if self.progress.has_written() {
            return Ok(());
        }
        match self.stream.pending_input() {
            PendingInput::None => return Ok(()),
            PendingInput::Bytes => self.progress.record_unsolicited_bytes(),
            PendingInput::Closed => {}
        }
        Err(io::Error::other(InputBeforeRequest))
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
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
        self.check_input_before_request()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_input_before_request()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes the socket after it has written everything it has buffered. If the last byte of the request was
    /// handed to hyper before the flush, it has therefore been written. (A body of one chunk is buffered together
    /// with its head before any of it is written.)
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.record_flush();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
