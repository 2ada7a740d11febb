//! A client's socket: what is read is noted for the connection's framing and its entry in the table, and whether the client is still
//! there is seen while a request of it is served.

use std::cell::RefCell;
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

/// The most that is read ahead of hyper, which does not look whether a client is there while it holds bytes of its next
/// request. Clients ask one thing at a time; one that sends more than this is watched without being read.
const MOST_AHEAD: usize = 16 * 1024;
/// How often such a one is looked at: nothing may begin for a client that has left 100 ms ago.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// A client's socket. hyper has one hold on it and the connection's task another, so that it outlives hyper's use of it.
#[derive(Clone)]
pub struct Socket {
    stream: Rc<RefCell<TcpStream>>,
    /// What has been read and hyper has not asked for yet.
    ahead: Rc<RefCell<BytesMut>>,
    /// What is known of the messages' framing.
    pub framing: Rc<RefCell<Framing>>,
    /// The connection's entry in the table.
    pub connection: Rc<TrackedConnection>,
    /// Keeps it there.
    pub guard: Rc<ConnectionGuard>,
}

impl Socket {
    /// The socket of a connection that has just come.
    #[must_use]
    pub fn new(stream: TcpStream, guard: ConnectionGuard) -> Self {
        Self {
            stream: Rc::new(RefCell::new(stream)),
            ahead: Rc::default(),
            framing: Rc::default(),
            connection: Rc::clone(&guard.connection),
            guard: Rc::new(guard),
        }
    }

    /// Whether nothing of a request has come since the last one ended, as far as the system has heard. Guards a request
    /// that came in the turn in which its connection is to be closed: the event loop has not told of it yet.
    #[must_use]
    pub fn rests(&self) -> bool {
        let is_read = !self.ahead.borrow().is_empty() || !self.framing.borrow().is_between();
        !is_read && !self.has_news()
    }

    /// Whether the system holds bytes of it that nobody has read.
    #[must_use]
    pub fn has_news(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let looked = SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        matches!(looked, Ok(bytes) if bytes > 0)
    }

    /// Waits until the client has gone, for as long as its request is being served; otherwise hyper sees it by itself.
    /// To be polled in one task with hyper. A client that ends its sending has gone, whatever it would still read.
    ///
    /// Guards against attempts that begin for a client which sent more than one request, or a flood, and left.
    pub async fn client_gone(&self) {
        let mut again: Option<Pin<Box<Sleep>>> = None;
        poll_fn(|cx| match self.connection.stage() {
            Stage::Request => self.poll_gone(cx, &mut again),
            _ => Poll::Pending,
        })
        .await;
    }

    fn poll_gone(&self, cx: &mut Context<'_>, again: &mut Option<Pin<Box<Sleep>>>) -> Poll<()> {
        let (mut ahead, mut stream) = (self.ahead.borrow_mut(), self.stream.borrow_mut());
        while ahead.len() < MOST_AHEAD {
            let mut room = [0; 4096];
            let mut buffer = ReadBuf::new(&mut room);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => ahead.extend_from_slice(buffer.filled()),
                _ => return Poll::Ready(()),
            }
        }
        loop {
            // An end is told beside bytes that have not been read.
            let ready = pin!(stream.ready(Interest::READABLE)).poll(cx);
            if matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed()) {
                return Poll::Ready(());
            }
            let sleep = again.get_or_insert_with(|| Box::pin(tokio::time::sleep(LOOK_AGAIN)));
            ready!(sleep.as_mut().poll(cx));
            *again = None;
        }
    }

    fn noted(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.connection.record_written();
        }
        written
    }

    fn poll_next(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut ahead = self.ahead.borrow_mut();
        if ahead.is_empty() {
            return Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf);
        }
        let bytes = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead[..bytes]);
        ahead.advance(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = self.poll_next(cx, buf);
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            self.framing.borrow_mut().push(read);
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
        self.noted(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.noted(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    /// hyper flushes once it has written all that it holds: then the answer is out.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.guard.record_flushed() && !self.ahead.borrow().is_empty() {
            // hyper waits for the system to tell of bytes; of these it has told.
            cx.waker().wake_by_ref();
        }
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
