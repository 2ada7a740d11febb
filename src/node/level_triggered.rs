//! Streams whose readiness ends only with a call that would block.
//!
//! Tokio takes a read that fills less than its buffer as proof that the socket is empty, and a write that takes less than
//! it is given as proof that it is full, and waits for the event loop's next report. A call may return less for other
//! reasons, and then no report comes: the rest of a message would stay in the socket. [`LevelTriggered`] reads and writes
//! until the call itself reports that it would block, whatever the lengths that it returns, and repeats interrupted calls.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

use crate::node::memory::MAX_READ_BYTES;

/// A socket with calls that do not wait, and with waits for its readiness.
pub trait Readiness: AsyncWrite + Unpin {
    /// Waits until the socket may be readable.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Waits until the socket may be writable.
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads once. Only an error of the kind `WouldBlock` ends the readiness.
    ///
    /// # Errors
    ///
    /// The call failed or would block.
    fn try_read(&self, buf: &mut ReadBuf<'_>) -> io::Result<usize>;
    /// Writes once. Only an error of the kind `WouldBlock` ends the readiness.
    ///
    /// # Errors
    ///
    /// The call failed or would block.
    fn try_write(&self, buf: &[u8]) -> io::Result<usize>;
    /// Like [`Readiness::try_write`], from several buffers.
    ///
    /// # Errors
    ///
    /// The call failed or would block.
    fn try_write_vectored(&self, bufs: &[io::IoSlice<'_>]) -> io::Result<usize>;
}

/// Implements [`Readiness`] by the methods of a tokio stream.
macro_rules! implement_readiness {
    ($stream:ty) => {
        impl Readiness for $stream {
            fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_read_ready(cx)
            }

            fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_write_ready(cx)
            }

            fn try_read(&self, buf: &mut ReadBuf<'_>) -> io::Result<usize> {
                self.try_read_buf(buf)
            }

            fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
                <$stream>::try_write(self, buf)
            }

            fn try_write_vectored(&self, bufs: &[io::IoSlice<'_>]) -> io::Result<usize> {
                <$stream>::try_write_vectored(self, bufs)
            }
        }
    };
}

implement_readiness!(TcpStream);
implement_readiness!(UnixStream);

/// A stream whose readiness ends only with a call that would block. See the [module](self).
#[derive(Debug)]
pub struct LevelTriggered<S>(S);

impl<S: Readiness> LevelTriggered<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self(stream)
    }

    /// The wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.0
    }
}

/// Polls a read of at most [`MAX_READ_BYTES`]. The bytes pass through a buffer on the stack, so only as much of `buf` is
/// written to as has been received.
pub fn poll_read_limited(
    stream: Pin<&mut impl AsyncRead>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let mut storage = [MaybeUninit::uninit(); MAX_READ_BYTES];
    let max_bytes = buf.remaining().min(MAX_READ_BYTES);
    let mut limited = ReadBuf::uninit(&mut storage[..max_bytes]);
    ready!(stream.poll_read(cx, &mut limited))?;
    buf.put_slice(limited.filled());
    Poll::Ready(Ok(()))
}

/// Whether a call that failed is repeated: it was interrupted, or has to wait for readiness first.
fn is_repeated<T>(result: &io::Result<T>) -> bool {
    let error = result.as_ref().err();
    error.is_some_and(|error| {
        matches!(
            error.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
        )
    })
}

impl<S: Readiness> AsyncRead for LevelTriggered<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_readable(cx))?;
            let result = self.0.try_read(buf);
            if !is_repeated(&result) {
                return Poll::Ready(result.map(|_| ()));
            }
        }
    }
}

impl<S: Readiness> AsyncWrite for LevelTriggered<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_writable(cx))?;
            let result = self.0.try_write(buf);
            if !is_repeated(&result) {
                return Poll::Ready(result);
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_writable(cx))?;
            let result = self.0.try_write_vectored(bufs);
            if !is_repeated(&result) {
                return Poll::Ready(result);
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(())) // Sockets have no buffer of their own above the kernel's.
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
