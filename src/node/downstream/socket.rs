//! A client's socket. It reports received bytes to the connection's framing, reports received and written bytes to the
//! connection's entry in the table, and detects that the client has disconnected while a request is being served.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::node::downstream::connection_table::{ConnectionGuard, Stage, TrackedConnection};
use crate::node::downstream::framing::Framing;
use crate::node::level_triggered::{poll_read_limited, LevelTriggered};
use crate::node::memory::{NodeMemory, LONG_HEAD_BYTES, MAX_READ_BYTES};
use crate::node::system_error::uninterrupted;

/// Limit on the bytes that are read ahead of hyper, which does not notice that a client has disconnected while it holds
/// bytes of the next request. Clients normally send one request at a time. For a client that sends more than this limit,
/// the socket's state is polled instead of reading from it.
const MAX_READ_AHEAD_BYTES: usize = 4 * 1024;
/// The limit for a connection on which large reads are allowed.
const MAX_LARGE_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Interval at which the socket of a client that has sent more than [`MAX_READ_AHEAD_BYTES`] is polled: no attempt may begin
/// for a client that disconnected 100 ms ago.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Number of unread bytes in the kernel from which on it may not accept more, so that more may wait in the client's kernel: far
/// below the smallest receive window.
const MIN_HELD_BACK_BYTES: usize = 16 * 1024;

/// No memory for a long head is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeadMemoryExhausted;

impl std::fmt::Display for HeadMemoryExhausted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no memory for a long head is available")
    }
}

impl std::error::Error for HeadMemoryExhausted {}

/// A client's socket. hyper and the connection's task each hold a clone, so that the socket outlives hyper's use of it.
#[derive(Clone)]
pub struct Socket {
    stream: Rc<RefCell<LevelTriggered<TcpStream>>>,
    /// Bytes that have been received and that hyper has not read yet.
    read_ahead: Rc<RefCell<BytesMut>>,
    /// Framing of the messages that have been received.
    pub framing: Rc<RefCell<Framing>>,
    memory: Rc<NodeMemory>,
    /// Number of bytes that have been received of the current head and of what came with it.
    head_bytes: Rc<Cell<usize>>,
    is_head_refused: Rc<Cell<bool>>,
    /// Whether bytes of the next request had arrived when the last response was written.
    is_pipelining: Rc<Cell<bool>>,
    /// Whether the client has been found to have disconnected.
    is_disconnected: Rc<Cell<bool>>,
    /// The connection's entry in the table.
    pub connection: Rc<TrackedConnection>,
    /// Holds the connection's slot in the table.
    pub guard: Rc<ConnectionGuard>,
}

impl Socket {
    /// Creates the socket of a connection that has just been accepted.
    #[must_use]
    pub fn new(stream: TcpStream, guard: ConnectionGuard, memory: Rc<NodeMemory>) -> Self {
        Self {
            memory,
            head_bytes: Rc::default(),
            is_head_refused: Rc::default(),
            is_pipelining: Rc::default(),
            is_disconnected: Rc::default(),
            stream: Rc::new(RefCell::new(LevelTriggered::new(stream))),
            read_ahead: Rc::default(),
            framing: Rc::default(),
            connection: Rc::clone(&guard.connection),
            guard: Rc::new(guard),
        }
    }

    /// Returns whether no part of a request has been received since the previous request ended. Also checks the kernel's
    /// receive buffer: the event loop may not have reported a request yet that arrived in the iteration in which its
    /// connection is to be closed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let has_partial_request =
            !self.read_ahead.borrow().is_empty() || !self.framing.borrow().is_between_messages();
        !has_partial_request && !self.has_unread_bytes()
    }

    /// Returns whether the kernel holds received bytes that have not been read.
    #[must_use]
    pub fn has_unread_bytes(&self) -> bool {
        self.peek_unread::<1>() > 0
    }

    /// Returns the number of received bytes that the kernel holds, up to `MAX`.
    fn peek_unread<const MAX: usize>(&self) -> usize {
        let mut bytes = [std::mem::MaybeUninit::uninit(); MAX];
        let stream = self.stream.borrow();
        let peeked = uninterrupted(|| SockRef::from(stream.get_ref()).peek(&mut bytes));
        peeked.unwrap_or(0)
    }

    /// Returns whether bytes of the body that is being received are still to come, from a client that can send them: the
    /// kernel of the node accepts more. `false` also if that cannot be told, as with a chunked body.
    #[must_use]
    pub fn awaits_more_of_body(&self) -> bool {
        let Some(remaining_bytes) = self.framing.borrow().remaining_body_bytes() else {
            return false;
        };
        let unread_bytes =
            self.read_ahead.borrow().len() + self.peek_unread::<MIN_HELD_BACK_BYTES>();
        unread_bytes < MIN_HELD_BACK_BYTES && (unread_bytes as u64) < remaining_bytes
    }

    /// Waits until the client disconnects while its request is being served; at other times hyper detects this. A client
    /// that shuts down its sending half counts as disconnected, even if it would still read.
    ///
    /// Must be polled in the same task as hyper. Without this check, attempts could begin for a client that sent more than
    /// one request, or a flood of bytes, and then disconnected.
    pub async fn client_disconnected(&self) {
        let mut next_poll: Option<Pin<Box<Sleep>>> = None;
        poll_fn(|cx| match self.connection.stage() {
            Stage::ServingRequest => self.poll_client_disconnected(cx, &mut next_poll),
            _ => Poll::Pending,
        })
        .await;
    }

    fn poll_client_disconnected(
        &self,
        cx: &mut Context<'_>,
        next_poll: &mut Option<Pin<Box<Sleep>>>,
    ) -> Poll<()> {
        if self.is_disconnected.get() {
            return Poll::Ready(());
        }
        let (mut read_ahead, mut stream) = (self.read_ahead.borrow_mut(), self.stream.borrow_mut());
        let max_bytes = if self.connection.has_large_reads() {
            MAX_LARGE_READ_AHEAD_BYTES
        } else {
            MAX_READ_AHEAD_BYTES
        };
        while read_ahead.len() < max_bytes {
            let mut storage = [0; MAX_READ_AHEAD_BYTES];
            let free_bytes = (max_bytes - read_ahead.len()).min(MAX_READ_AHEAD_BYTES);
            let mut buffer = ReadBuf::new(&mut storage[..free_bytes]);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {
                    read_ahead.extend_from_slice(buffer.filled());
                }
                _ => return Poll::Ready(()),
            }
        }
        loop {
            // The event loop reports that the client closed its sending half even while received bytes are unread.
            let ready = pin!(stream.get_ref().ready(Interest::READABLE)).poll(cx);
            if matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed()) {
                return Poll::Ready(());
            }
            let sleep =
                next_poll.get_or_insert_with(|| Box::pin(tokio::time::sleep(CLOSE_POLL_INTERVAL)));
            ready!(sleep.as_mut().poll(cx));
            *next_poll = None;
        }
    }

    /// Returns whether the client of a request that arrived before the last response was written has closed its connection. The
    /// close itself waits behind unread bytes, but the response to a client that has gone resets the connection. Once this
    /// returns `true`, [`Self::client_disconnected`] completes.
    #[must_use]
    pub fn detect_reset(&self) -> bool {
        if self.is_pipelining.get() {
            let error = SockRef::from(self.stream.borrow().get_ref()).take_error();
            self.is_disconnected.set(matches!(error, Ok(Some(_))));
        }
        self.is_disconnected.get()
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            self.connection.record_written();
        }
    }

    /// Returns bytes that have been read ahead or, if there are none, reads from the stream.
    fn poll_read_buffered(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read_ahead = self.read_ahead.borrow_mut();
        if read_ahead.is_empty() {
            let mut stream = self.stream.borrow_mut();
            let stream = Pin::new(&mut *stream);
            return if self.connection.has_large_reads() {
                stream.poll_read(cx, buf)
            } else {
                poll_read_limited(stream, cx, buf)
            };
        }
        let bytes = read_ahead.len().min(buf.remaining());
        buf.put_slice(&read_ahead[..bytes]);
        read_ahead.advance(bytes);
        if read_ahead.is_empty() {
            *read_ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }

    /// Reserves memory before a head is read beyond [`MAX_READ_BYTES`]. Returns an error, which ends the connection, if the
    /// budget is exhausted.
    fn reserve_head_memory(&self) -> io::Result<()> {
        let is_long = self.is_receiving_head() && self.head_bytes.get() >= MAX_READ_BYTES;
        if !is_long || self.connection.read_buffer_memory().is_some() {
            return Ok(());
        }
        let Some(reservation) = self.memory.heads.try_reserve(LONG_HEAD_BYTES) else {
            self.is_head_refused.set(true);
            return Err(io::Error::other(HeadMemoryExhausted));
        };
        self.connection
            .hold_read_buffer_memory(Rc::new(reservation));
        Ok(())
    }

    /// Counts the bytes of the head that is being received.
    fn record_head_bytes(&self, bytes: usize) {
        let previous_bytes = if self.is_receiving_head() {
            self.head_bytes.get()
        } else {
            0
        };
        self.head_bytes.set(previous_bytes + bytes);
    }

    /// Returns whether a part of a head has been received. The first bytes of a head arrive in another stage, and begin its
    /// count.
    fn is_receiving_head(&self) -> bool {
        self.connection.stage() == Stage::ReceivingHead
    }

    /// Returns whether the connection ended because no memory for a long head was available.
    pub fn is_head_refused(&self) -> bool {
        self.is_head_refused.get()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.reserve_head_memory()?;
        let before = buf.filled().len();
        let result = self.poll_read_buffered(cx, buf);
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            self.record_head_bytes(read.len());
            if self.connection.stage() != Stage::Lingering {
                self.framing.borrow_mut().push(read);
            }
            self.connection.record_received();
        }
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    /// hyper flushes once it has written everything it has buffered, so the end of a response is recorded here.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.guard.record_flushed() {
            self.is_pipelining.set(!self.read_ahead.borrow().is_empty());
            if self.is_pipelining.get() {
                // hyper waits for the stream to become readable, which does not happen for bytes that have been read ahead.
                cx.waker().wake_by_ref();
            }
        }
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
