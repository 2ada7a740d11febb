//! A byte stream to a server, over TCP or a Unix domain socket.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use pool::Address;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

use crate::node::level_triggered::LevelTriggered;
use crate::node::system_error::{is_momentary, uninterrupted};

/// Pauses before a dial that failed for lack of a resource or a route is repeated.
const CONNECT_RETRY_PAUSES: [Duration; 3] = [
    Duration::from_millis(1),
    Duration::from_millis(4),
    Duration::from_millis(16),
];

/// A connected stream.
#[derive(Debug)]
pub enum Stream {
    /// Over TCP.
    Tcp(LevelTriggered<TcpStream>),
    /// Over a Unix domain socket.
    Unix(LevelTriggered<UnixStream>),
}

/// Input that the kernel has received on a stream and that has not been read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    /// Nothing.
    None,
    /// Bytes.
    Bytes,
    /// The end of the stream, or an error.
    Closed,
}

impl Stream {
    /// Connects to an address. A failure that may pass within a moment is retried, since nothing has been sent. Dropping
    /// the future aborts the dial.
    ///
    /// # Errors
    ///
    /// No process listens at the address, the path is not a socket or cannot be opened, or no file descriptors are
    /// left.
    pub async fn connect(address: &Address) -> io::Result<Self> {
        for pause in CONNECT_RETRY_PAUSES {
            match Self::connect_once(address).await {
                Err(error) if is_momentary(&error) => tokio::time::sleep(pause).await,
                result => return result,
            }
        }
        Self::connect_once(address).await
    }

    async fn connect_once(address: &Address) -> io::Result<Self> {
        match address {
            Address::Ip(address) => {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                Ok(Self::Tcp(LevelTriggered::new(stream)))
            }
            Address::Unix(path) => {
                let stream = UnixStream::connect(path).await?;
                Ok(Self::Unix(LevelTriggered::new(stream)))
            }
        }
    }

    /// Waits until the event loop reports input.
    pub fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self {
            Self::Tcp(stream) => stream.get_ref().poll_read_ready(cx),
            Self::Unix(stream) => stream.get_ref().poll_read_ready(cx),
        }
    }

    /// Peeks at the socket itself, since the event loop may not have reported the input yet. Costs one system call.
    #[must_use]
    pub fn pending_input(&self) -> PendingInput {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = uninterrupted(|| match self {
            Self::Tcp(stream) => SockRef::from(stream.get_ref()).peek(&mut byte),
            Self::Unix(stream) => SockRef::from(stream.get_ref()).peek(&mut byte),
        });
        match peeked {
            Ok(bytes) if bytes > 0 => PendingInput::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => PendingInput::None,
            _ => PendingInput::Closed,
        }
    }
}

/// Calls a method of the stream in either variant.
macro_rules! forward {
    ($self:ident, $method:ident $(, $argument:expr)*) => {
        match $self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).$method($($argument),*),
            Stream::Unix(stream) => Pin::new(stream).$method($($argument),*),
        }
    };
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        forward!(self, poll_read, cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        forward!(self, poll_write, cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        forward!(self, poll_write_vectored, cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Self::Tcp(stream) => stream.is_write_vectored(),
            Self::Unix(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        forward!(self, poll_flush, cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        forward!(self, poll_shutdown, cx)
    }
}

#[cfg(test)]
mod tests;
