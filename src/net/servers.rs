//! Connections to servers and the attempts on them: what goes out, what comes back, and which outcome that is.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::config::Config;
use super::discovery::Host;
use super::log;
use crate::{Availability, Ending, Report, ServerId};

/// The largest body of a message.
pub const MOST_BODY: usize = 64 * 1024;
/// The most of a message's head that is read, and of a body that is read at a time.
const BUFFER: usize = 32 * 1024;
/// A connection is retired after this part of the time that it may stand idle: it must not be closed under a
/// request.
const IDLE_PART: f64 = 0.8;

/// What goes to a server, the same with each attempt but for the deadline.
#[derive(Debug)]
pub struct Message {
    /// As the client sent it.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub uri: Uri,
    /// The client's headers without those of its connection.
    pub headers: HeaderMap,
    /// As the client sent it.
    pub body: Bytes,
}

/// A server's 200.
#[derive(Debug)]
pub struct Served {
    /// The body, unchanged.
    pub body: Bytes,
    /// Its type, where the server named one.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    /// The outcome.
    pub ending: Ending,
    /// The server's load report, if one came.
    pub report: Option<Report>,
    /// The answer of one that was served.
    pub served: Option<Served>,
}

impl From<Ending> for Ended {
    fn from(ending: Ending) -> Self {
        Self { ending, report: None, served: None }
    }
}

/// What has gone out on a connection since its present request began.
#[derive(Debug, Default)]
struct Written {
    bytes: Cell<u64>,
    whole: Cell<bool>,
    /// Whether the next read must ask the system itself.
    looking: Cell<bool>,
}

/// A connection's socket that notes what has been written: whether a request may have run depends on it.
struct Metered {
    stream: TcpStream,
    written: Rc<Written>,
}

impl Metered {
    fn note(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &result {
            self.written.bytes.set(self.written.bytes.get() + *n as u64);
        }
        result
    }

    /// Whether the system has heard of the end of the connection, which the event loop may not have yet.
    fn has_ended(&self) -> bool {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.written.looking.get() && self.has_ended() {
            return Poll::Ready(Ok(())); // Nothing read: the end.
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes a socket once it has written all that it holds, and it holds the whole request before it
    /// writes any of it (a request's body is one piece here). So a flush after a write is the last byte.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.written.bytes.get() > 0 {
            self.written.whole.set(true);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Counts a descriptor for as long as it lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a server. Nothing but its owner moves it, so that dropping it closes the socket at once.
struct Conn {
    sender: SendRequest<Full<Bytes>>,
    connection: Pin<Box<Connection<TokioIo<Metered>, Full<Bytes>>>>,
    written: Rc<Written>,
    idle_since: Instant,
    _counted: Counted,
}

impl Conn {
    async fn dial(address: SocketAddr, counted: Counted) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written = Rc::new(Written::default());
        let io = TokioIo::new(Metered { stream, written: Rc::clone(&written) });
        let (sender, connection) =
            Builder::new().max_buf_size(BUFFER).handshake(io).await.map_err(io::Error::other)?;
        let connection = Box::pin(connection);
        Ok(Self { sender, connection, written, idle_since: Instant::now(), _counted: counted })
    }

    /// Whether it stands idle and open as far as this machine has heard. Guards against a connection that was
    /// closed since the event loop last looked: what is written to it would end as a reset.
    fn is_usable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.written.looking.set(true);
        let pending = self.connection.as_mut().poll(&mut cx).is_pending();
        self.written.looking.set(false);
        pending && self.sender.is_ready()
    }
}

/// Where the connection of an attempt is while it is out: taking it out ends the attempt at once.
#[derive(Default)]
pub struct Slot(RefCell<Option<Conn>>);

impl Slot {
    /// Closes the connection.
    pub fn close(&self) {
        self.0.borrow_mut().take();
    }

    fn poll(&self, cx: &mut Context<'_>) {
        let mut conn = self.0.borrow_mut();
        if conn.as_mut().is_some_and(|c| c.connection.as_mut().poll(cx).is_ready()) {
            conn.take();
        }
    }

    /// Drives the connection and what waits for it as one: no task holds a connection that has been given up.
    async fn drive<F: Future>(&self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.poll(cx);
            future.as_mut().poll(cx)
        })
        .await
    }
}

/// A server as its connections know it.
struct Server {
    address: Option<SocketAddr>,
    started_at_ms: f64,
    /// When its grace ends, of one that drains or is gone.
    closes_at: Option<Instant>,
    /// The freshest last.
    idle: Vec<Conn>,
}

/// The connections to all servers.
pub struct Servers {
    table: RefCell<Vec<Server>>,
    open: Rc<Cell<usize>>,
    most_open: usize,
    dial_timeout: Duration,
    idle_limit: Duration,
    drain_grace: Duration,
}

impl Servers {
    /// No servers yet.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        Self {
            table: RefCell::default(),
            open: Rc::default(),
            most_open: config.limits.server_connections(),
            dial_timeout: config.dial_timeout,
            idle_limit: config.idle_limit.mul_f64(IDLE_PART),
            drain_grace: config.drain_grace,
        }
    }

    /// Takes what discovery says of a server; idle connections to one that is somewhere else or has started
    /// anew are of no more use.
    pub fn update(&self, at: ServerId, host: &Host) {
        {
            let mut table = self.table.borrow_mut();
            while table.len() <= at.0 {
                table.push(Server { address: None, started_at_ms: 0.0, closes_at: None, idle: Vec::new() });
            }
            let server = &mut table[at.0];
            let moved = host.address.is_some() && server.address != host.address;
            if moved || server.started_at_ms.to_bits() != host.started_at_ms.to_bits() {
                server.idle.clear();
            }
            server.address = host.address.or(server.address);
            server.started_at_ms = host.started_at_ms;
            if host.availability == Availability::Ready {
                server.closes_at = None;
                return;
            }
        }
        self.leave(at);
    }

    /// A server drains or is gone: from the end of its grace nothing goes there.
    pub fn leave(&self, at: ServerId) {
        if let Some(server) = self.table.borrow_mut().get_mut(at.0) {
            server.idle.clear();
            server.closes_at.get_or_insert_with(|| Instant::now() + self.drain_grace);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, at: ServerId) {
        if let Some(server) = self.table.borrow_mut().get_mut(at.0) {
            server.idle.clear();
        }
    }

    /// Closes connections that have stood idle too long or that their servers have closed.
    pub fn retire(&self) {
        let now = Instant::now();
        for server in self.table.borrow_mut().iter_mut() {
            server.idle.retain_mut(|conn| now - conn.idle_since < self.idle_limit && conn.is_usable());
        }
    }

    /// Whether a send to a server may begin now.
    fn is_open(&self, at: ServerId) -> bool {
        let table = self.table.borrow();
        table.get(at.0).is_some_and(|s| s.closes_at.is_none_or(|closes| Instant::now() < closes))
    }

    fn idle(&self, at: ServerId) -> Option<Conn> {
        let mut table = self.table.borrow_mut();
        let server = table.get_mut(at.0)?;
        let now = Instant::now();
        while let Some(mut conn) = server.idle.pop() {
            // Guards against a request on a connection that the server has closed meanwhile: it would end as
            // a reset, and a reset may have run.
            if now - conn.idle_since < self.idle_limit && conn.is_usable() {
                return Some(conn);
            }
        }
        None
    }

    /// Guards the limit on descriptors: the connection that has been idle longest makes room.
    fn make_room(&self) -> bool {
        if self.open.get() < self.most_open {
            return true;
        }
        let mut table = self.table.borrow_mut();
        let oldest = table.iter_mut().filter(|s| !s.idle.is_empty()).min_by_key(|s| s.idle[0].idle_since);
        oldest.map(|server| server.idle.remove(0)).is_some()
    }

    async fn dial(&self, at: ServerId) -> Result<Conn, Ending> {
        let address = self.table.borrow().get(at.0).and_then(|s| s.address).ok_or(Ending::Unreachable)?;
        if !self.make_room() {
            log::line("all connections to servers are in use");
            return Err(Ending::NotSent);
        }
        let dialled = Conn::dial(address, Counted::new(&self.open));
        match tokio::time::timeout(self.dial_timeout, dialled).await {
            Ok(Ok(conn)) => Ok(conn),
            _ => Err(Ending::Unreachable),
        }
    }

    fn give_back(&self, at: ServerId, slot: &Slot) {
        let Some(mut conn) = slot.0.borrow_mut().take() else { return };
        let mut table = self.table.borrow_mut();
        let Some(server) = table.get_mut(at.0).filter(|s| s.closes_at.is_none()) else { return };
        if conn.is_usable() {
            conn.idle_since = Instant::now();
            server.idle.push(conn);
        }
    }

    /// Makes one attempt and tells how it ended; the caller stops waiting by dropping it and closing the slot.
    pub async fn attempt(&self, at: ServerId, message: &Message, deadline: Instant, slot: &Slot) -> Ended {
        let conn = match self.idle(at) {
            Some(conn) => conn,
            None => match self.dial(at).await {
                Ok(conn) => conn,
                Err(ending) => return ending.into(),
            },
        };
        // The last look before anything is written: the list may have changed while the connection came up.
        let now = Instant::now();
        if !self.is_open(at) || now >= deadline {
            return Ending::NotSent.into();
        }
        let written = Rc::clone(&conn.written);
        written.bytes.set(0);
        written.whole.set(false);
        *slot.0.borrow_mut() = Some(conn);
        let request = request(message, deadline - now);
        let ended = self.exchange(request, slot).await;
        let ended = ended.unwrap_or_else(|()| {
            // An answer is only looked at once the request is out; what breaks before that never ran.
            let ending = if written.whole.get() { Ending::Reset } else { Ending::Unreachable };
            ending.into()
        });
        self.give_back(at, slot);
        ended
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, slot: &Slot) -> Result<Ended, ()> {
        let answer = {
            let mut conn = slot.0.borrow_mut();
            conn.as_mut().ok_or(())?.sender.send_request(request)
        };
        let answer = match slot.drive(answer).await {
            Ok(answer) => answer,
            Err(error) => {
                if error.is_parse() {
                    log::line(format_args!("a server's answer is malformed: {error}"));
                }
                slot.close();
                return Err(());
            }
        };
        read_answer(answer, slot).await
    }
}

fn request(message: &Message, left: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    let left = format!("{}u", left.as_micros());
    if let Ok(left) = HeaderValue::from_str(&left) {
        request.headers_mut().insert("req-deadline", left);
    }
    request.headers_mut().entry(HOST).or_insert(HeaderValue::from_static("service.internal"));
    request
}

async fn read_answer(answer: Response<Incoming>, slot: &Slot) -> Result<Ended, ()> {
    let (head, body) = answer.into_parts();
    let report = head.headers.get("srv-load").and_then(read_report);
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    let body = slot.drive(Limited::new(body, MOST_BODY).collect()).await;
    if body.is_err() {
        slot.close();
    }
    Ok(match (head.status, body) {
        (StatusCode::OK, Ok(body)) => {
            let content_type = head.headers.get(CONTENT_TYPE).cloned();
            Ended {
                ending: Ending::Served,
                report,
                served: Some(Served { body: body.to_bytes(), content_type }),
            }
        }
        (StatusCode::OK, Err(_)) => Ended { ending: Ending::Reset, report, served: None },
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if declined => {
            Ended { ending: Ending::Full, report, served: None }
        }
        _ => Ended { ending: Ending::Error, report, served: None },
    })
}

/// Reads a load report; one that is malformed is passed over.
fn read_report(value: &HeaderValue) -> Option<Report> {
    let text = value.to_str().ok().and_then(|text| text.trim().strip_prefix("TEXT "));
    let Some(fields) = text else {
        log::line("a load report is malformed");
        return None;
    };
    let mut report = Report::default();
    for field in fields.split(',') {
        let Some((name, figure)) = field.split_once('=') else {
            log::line("a load report is malformed");
            continue;
        };
        let figure = figure.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
        match name.trim() {
            "inflight" | "active" => report.in_flight = figure,
            "queue" | "waiting" => report.queued = figure,
            _ => {}
        }
    }
    Some(report)
}
