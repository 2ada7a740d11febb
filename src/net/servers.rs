//! Connections to servers and the attempts on them: what goes out, what comes back, and which outcome that is.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use membership::{Host, State};
use pool::Oddness;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::config::Config;
use super::log;
use crate::{Ending, Report, ServerId};

/// The largest body of a message that is held without a look at what else is.
pub const MOST_BODY: usize = 64 * 1024;
/// The largest body of an answer that tells its length: beyond what messages ordinarily have, and few enough bytes to be
/// there within `ANSWER_STALL`.
const MOST_LARGE: usize = 1024 * 1024;
/// The most of a message's head that is read, and of a body that is read at a time.
const BUFFER: usize = 32 * 1024;
/// The most that comes ahead of and with an answer: its head, its body and its chunks' own lines, and some 1xx.
const MOST_ANSWER: usize = 4 * MOST_BODY;
/// An answer is sent as one: how long one that has begun may stand still in its head, and take for its body. That is
/// many trips between data centres, and short enough to leave time for another attempt.
const ANSWER_STALL: Duration = Duration::from_millis(250);
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

/// A server's answer for the client.
#[derive(Debug)]
pub struct Served {
    /// 200, or what the server objects to in the request.
    pub status: StatusCode,
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
    /// The answer of one that was served or rejected.
    pub served: Option<Served>,
}

impl From<Ending> for Ended {
    fn from(ending: Ending) -> Self {
        Self { ending, report: None, served: None }
    }
}

/// What has passed on a connection since its present request began.
#[derive(Debug, Default)]
struct Traffic {
    written: Cell<u64>,
    /// Whether the request is out to its last byte.
    whole: Cell<bool>,
    read: Cell<usize>,
    /// The last bytes that came.
    tail: Cell<[u8; 4]>,
    /// Something came.
    came: Notify,
    /// What a large answer may bring beyond `MOST_ANSWER`.
    large: Cell<usize>,
    /// Whether more came than any answer has.
    flooded: Cell<bool>,
    /// Whether the next read must ask the system itself.
    looking: Cell<bool>,
    /// Whether bytes came that nobody had asked for.
    unasked: Cell<bool>,
}

impl Traffic {
    fn begin(&self) {
        self.written.set(0);
        self.whole.set(false);
        self.read.set(0);
        self.large.set(0);
        self.tail.set([0; 4]);
    }

    fn note_read(&self, bytes: &[u8]) {
        self.read.set(self.read.get() + bytes.len());
        let mut tail = self.tail.get();
        for byte in &bytes[bytes.len().saturating_sub(tail.len())..] {
            tail.rotate_left(1);
            tail[3] = *byte;
        }
        self.tail.set(tail);
        self.came.notify_one();
    }

    /// Whether a head has begun and not ended. A whole one that the answer has not come with was a 1xx: after it the
    /// server may well think for a while.
    fn is_in_head(&self) -> bool {
        self.read.get() > 0 && self.tail.get() != *b"\r\n\r\n"
    }

    /// Waits until a head stops short. Guards against answers that cannot be read and do not end: they would be
    /// waited for until the request's time is over, with none left for another attempt.
    async fn head_stalls(&self) {
        loop {
            if !self.is_in_head() {
                self.came.notified().await;
            } else if tokio::time::timeout(ANSWER_STALL, self.came.notified()).await.is_err() {
                return;
            }
        }
    }
}

/// A connection's socket that notes what passes: whether a request may have run depends on it, and whether what
/// comes can be its answer.
struct Metered {
    stream: TcpStream,
    traffic: Rc<Traffic>,
}

impl Metered {
    fn note(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &result {
            self.traffic.written.set(self.traffic.written.get() + *n as u64);
        }
        result
    }

    /// Whether the system has heard of anything on an idle connection, which the event loop may not have yet. The
    /// end of the connection makes it unfit for use, and so do bytes that nobody asked for: they belong to the
    /// answer before, and would be taken for the next one.
    fn has_news(&self) -> bool {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(bytes) => {
                self.traffic.unasked.set(self.traffic.unasked.get() || bytes > 0);
                true
            }
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Guards against what came since the connection was picked: nothing is written then, and nothing has run.
    fn refuses_to_begin(&self) -> Option<io::Error> {
        let stale = self.traffic.written.get() == 0 && self.has_news();
        stale.then(|| io::Error::other("bytes came ahead of the request"))
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.traffic.looking.get() && self.has_news() {
            return Poll::Ready(Ok(())); // Nothing read: the end.
        }
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
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
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

    /// hyper flushes a socket once it has written all that it holds, and it holds the whole request before it
    /// writes any of it (a request's body is one piece here). So a flush after a write is the last byte.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.traffic.written.get() > 0 {
            self.traffic.whole.set(true);
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
    traffic: Rc<Traffic>,
    idle_since: Instant,
    _counted: Counted,
}

impl Conn {
    async fn dial(address: SocketAddr, counted: Counted) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::<Traffic>::default();
        let io = TokioIo::new(Metered { stream, traffic: Rc::clone(&traffic) });
        let (sender, connection) =
            Builder::new().max_buf_size(BUFFER).handshake(io).await.map_err(io::Error::other)?;
        let connection = Box::pin(connection);
        Ok(Self { sender, connection, traffic, idle_since: Instant::now(), _counted: counted })
    }

    /// Whether it stands idle and open as far as this machine has heard, with nothing on it that came unasked.
    /// Guards against a connection that was closed since the event loop last looked (what is written to it would end
    /// as a reset), and against one that holds more than the answer before.
    fn is_usable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.traffic.looking.set(true);
        let polled = self.connection.as_mut().poll(&mut cx);
        self.traffic.looking.set(false);
        // An idle connection that ends in an error, and not the system's, has brought what answers nothing.
        if matches!(&polled, Poll::Ready(Err(error)) if !is_of_the_system(error)) {
            self.traffic.unasked.set(true);
        }
        polled.is_pending() && self.sender.is_ready()
    }
}

fn is_of_the_system(error: &hyper::Error) -> bool {
    std::error::Error::source(error).is_some_and(|cause| cause.is::<io::Error>())
}

impl Conn {
    /// Whether it is usable; what it brought unasked is noted.
    fn is_sound(&mut self, odd: &mut Oddness, now_ms: f64) -> bool {
        let is_usable = self.is_usable();
        if !is_usable && self.traffic.unasked.get() {
            odd.note(now_ms);
        }
        is_usable
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
#[derive(Default)]
struct Server {
    address: Option<SocketAddr>,
    started_at_ms: f64,
    /// When its grace ends, of one that drains.
    closes_at: Option<Instant>,
    /// The freshest last.
    idle: Vec<Conn>,
    odd: Oddness,
}

/// Room for large answers. Guards the limit on memory: servers could fill it with answers of ordinary number.
#[derive(Clone)]
struct Room(Arc<AtomicUsize>);

impl Room {
    fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Takes so many bytes until the share is dropped, if there are as many.
    fn take(&self, bytes: usize) -> Option<Share> {
        let left = self.0.load(Ordering::Relaxed).checked_sub(bytes)?;
        self.0.store(left, Ordering::Relaxed); // One thread alone takes and gives.
        Some(Share { room: self.clone(), bytes })
    }
}

struct Share {
    room: Room,
    bytes: usize,
}

impl Drop for Share {
    fn drop(&mut self) {
        self.room.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// A large body, for as long as any part of it is held.
struct Large {
    body: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Large {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// The connections to all servers.
pub struct Servers {
    table: RefCell<HashMap<ServerId, Server>>,
    /// Who is at an address.
    holders: RefCell<HashMap<SocketAddr, ServerId>>,
    open: Rc<Cell<usize>>,
    most_open: usize,
    large: Room,
    dial_timeout: Duration,
    idle_limit: Duration,
    drain_grace: Duration,
    /// What the pool's milliseconds count from.
    start: Instant,
}

impl Servers {
    /// No servers yet.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        Self {
            table: RefCell::default(),
            holders: RefCell::default(),
            open: Rc::default(),
            most_open: config.limits.server_connections(),
            large: Room::new(config.limits.large_answers()),
            dial_timeout: config.dial_timeout,
            idle_limit: config.idle_limit.mul_f64(IDLE_PART),
            drain_grace: config.drain_grace,
            start: Instant::now(),
        }
    }

    fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }

    /// Takes what discovery says of a server that is there; idle connections to one that is somewhere else or has
    /// started anew are of no more use. Tells which server cannot be there any more: there is one at an address, the
    /// one that started last. What is meant for one that is gone must not reach its successor.
    pub fn update(&self, at: ServerId, host: &Host) -> Option<ServerId> {
        let mut table = self.table.borrow_mut();
        let server = table.entry(at).or_default();
        let moved = host.address.is_some() && server.address != host.address;
        if moved || server.started_at_ms.to_bits() != host.started_at_ms.to_bits() {
            server.idle.clear();
        }
        let before = server.address;
        server.address = host.address.or(before);
        server.started_at_ms = host.started_at_ms;
        if host.state == State::Ready {
            server.closes_at = None;
        } else {
            server.idle.clear();
            server.closes_at.get_or_insert_with(|| Instant::now() + self.drain_grace);
        }
        let address = server.address?;
        let mut holders = self.holders.borrow_mut();
        if let Some(before) = before.filter(|before| *before != address && holders.get(before) == Some(&at)) {
            holders.remove(&before);
        }
        let other = *holders.get(&address).filter(|other| **other != at).unwrap_or(&at);
        let is_later = table.get(&other).is_some_and(|o| o.started_at_ms > host.started_at_ms);
        if other != at && (is_later || host.state != State::Ready) {
            return Some(at);
        }
        holders.insert(address, at);
        Some(other).filter(|other| *other != at)
    }

    /// Forgets a server that is gone: nothing goes there any more, and the connections that are in use are closed
    /// with their answers.
    pub fn forget(&self, at: ServerId) {
        let Some(gone) = self.table.borrow_mut().remove(&at) else { return };
        let mut holders = self.holders.borrow_mut();
        if let Some(address) = gone.address.filter(|address| holders.get(address) == Some(&at)) {
            holders.remove(&address);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, at: ServerId) {
        if let Some(server) = self.table.borrow_mut().get_mut(&at) {
            server.idle.clear();
        }
    }

    /// Closes connections that have stood idle too long or that their servers have closed.
    pub fn retire(&self) {
        let now = Instant::now();
        for server in self.table.borrow_mut().values_mut() {
            let (idle, odd) = (&mut server.idle, &mut server.odd);
            idle.retain_mut(|conn| {
                now - conn.idle_since < self.idle_limit && conn.is_sound(odd, self.ms(now))
            });
        }
    }

    /// Whether a send to a server may begin now.
    fn is_open(&self, at: ServerId) -> bool {
        let table = self.table.borrow();
        table.get(&at).is_some_and(|s| s.closes_at.is_none_or(|closes| Instant::now() < closes))
    }

    /// An idle connection that is fit for use, if there is one. For one that has just had its answer it waits until
    /// nothing came behind that: a new connection would cost more.
    async fn idle(&self, at: ServerId) -> Option<Conn> {
        loop {
            match self.freshest(at)? {
                Ok(conn) => return Some(conn),
                Err(rested) => tokio::time::sleep_until(rested.into()).await,
            }
        }
    }

    /// The freshest idle connection that has rested, or else when one will have.
    fn freshest(&self, at: ServerId) -> Option<Result<Conn, Instant>> {
        let mut table = self.table.borrow_mut();
        let server = table.get_mut(&at)?;
        let now = Instant::now();
        let rest = Duration::from_secs_f64(server.odd.rest_ms(self.ms(now)) / 1e3);
        while let Some(rested) = server.idle.iter().rposition(|conn| now - conn.idle_since >= rest) {
            let mut conn = server.idle.remove(rested);
            // Guards against a request on a connection that the server has closed meanwhile: it would end as
            // a reset, and a reset may have run.
            if now - conn.idle_since < self.idle_limit && conn.is_sound(&mut server.odd, self.ms(now)) {
                return Some(Ok(conn));
            }
        }
        server.idle.first().map(|conn| Err(conn.idle_since + rest))
    }

    /// Guards the limit on descriptors: the connection that has been idle longest makes room.
    fn make_room(&self) -> bool {
        if self.open.get() < self.most_open {
            return true;
        }
        let mut table = self.table.borrow_mut();
        let oldest = table.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(|s| s.idle[0].idle_since);
        oldest.map(|server| server.idle.remove(0)).is_some()
    }

    async fn dial(&self, at: ServerId) -> Result<Conn, Ending> {
        let address = self.table.borrow().get(&at).and_then(|s| s.address).ok_or(Ending::Unreachable)?;
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

    fn note_odd(&self, at: ServerId) {
        if let Some(server) = self.table.borrow_mut().get_mut(&at) {
            server.odd.note(self.ms(Instant::now()));
        }
    }

    fn give_back(&self, at: ServerId, slot: &Slot) {
        let Some(mut conn) = slot.0.borrow_mut().take() else { return };
        let mut table = self.table.borrow_mut();
        let Some(server) = table.get_mut(&at) else { return };
        if conn.is_sound(&mut server.odd, self.ms(Instant::now())) && server.closes_at.is_none() {
            conn.idle_since = Instant::now();
            server.idle.push(conn);
        }
    }

    /// Makes one attempt and tells how it ended; the caller stops waiting by dropping it and closing the slot.
    pub async fn attempt(&self, at: ServerId, message: &Message, deadline: Instant, slot: &Slot) -> Ended {
        let conn = match self.idle(at).await {
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
        let traffic = Rc::clone(&conn.traffic);
        traffic.begin();
        *slot.0.borrow_mut() = Some(conn);
        let request = request(message, deadline - now);
        let ended = exchange(request, slot, &traffic, &self.large).await;
        let ended = ended.unwrap_or_else(|broken| {
            slot.close();
            if traffic.unasked.get() || matches!(broken, Broken::Answer) {
                self.note_odd(at);
            }
            // An answer is only looked at once the request is out; what breaks before that never ran.
            match broken {
                _ if !traffic.whole.get() => Ending::Unreachable,
                Broken::Connection => Ending::Reset,
                Broken::Answer => Ending::Spoilt,
            }
            .into()
        });
        self.give_back(at, slot);
        ended
    }
}

/// What kept a server's answer from being had.
enum Broken {
    Connection,
    /// It came, and cannot be read or does not end: the connection may well go on, and is of no more use.
    Answer,
}

async fn exchange(
    request: Request<Full<Bytes>>,
    slot: &Slot,
    traffic: &Traffic,
    large: &Room,
) -> Result<Ended, Broken> {
    let answer = {
        let mut conn = slot.0.borrow_mut();
        conn.as_mut().ok_or(Broken::Connection)?.sender.send_request(request)
    };
    let answer = tokio::select! {
        answer = slot.drive(answer) => answer,
        () = traffic.head_stalls() => {
            log::line("a server's answer does not go on");
            return Err(Broken::Answer);
        }
    };
    match answer {
        Ok(answer) => read_answer(answer, slot, traffic, large).await,
        Err(error) if error.is_parse() || traffic.flooded.get() => {
            log::line(format_args!("a server's answer is malformed: {error}"));
            Err(Broken::Answer)
        }
        Err(_) => Err(Broken::Connection),
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

async fn read_answer(
    answer: Response<Incoming>,
    slot: &Slot,
    traffic: &Traffic,
    large: &Room,
) -> Result<Ended, Broken> {
    let (head, body) = answer.into_parts();
    let report = head.headers.get("srv-load").and_then(read_report);
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    let body = read_body(&head, body, slot, traffic, large).await;
    if body.is_err() {
        slot.close();
    }
    let (ending, body) = match (head.status, body) {
        (StatusCode::OK, Ok(body)) => (Ending::Served, Some(body)),
        (StatusCode::OK, Err(Broken::Answer)) => (Ending::Spoilt, None),
        (StatusCode::OK, Err(Broken::Connection)) => (Ending::Reset, None),
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) if declined => {
            (Ending::Full, None)
        }
        (status, body) if blames_request(status) => (Ending::Rejected, Some(body.unwrap_or_default())),
        _ => (Ending::Error, None),
    };
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let served = body.map(|body| Served { status: head.status, body, content_type });
    Ok(Ended { ending, report, served })
}

/// Whether the request itself is what a server objects to: another would say the same, and it is no fault of the
/// server. The others of their hundred tell of the server's state.
fn blames_request(status: StatusCode) -> bool {
    let of_server = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_EARLY, StatusCode::TOO_MANY_REQUESTS];
    status.is_client_error() && !of_server.contains(&status)
}

/// Reads an answer's body. Guards against one that is too large, stops short or has no end.
async fn read_body(
    head: &Parts,
    body: Incoming,
    slot: &Slot,
    traffic: &Traffic,
    large: &Room,
) -> Result<Bytes, Broken> {
    let size = body.size_hint();
    // Only the end of the connection shows the end of a body of no stated length, and it must have been announced.
    let chunked = head.headers.contains_key(TRANSFER_ENCODING);
    let closes = head.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let endless = size.exact().is_none() && !chunked && !closes;
    let told = usize::try_from(size.exact().unwrap_or(0)).unwrap_or(usize::MAX);
    let share = if told > MOST_BODY { large.take(told) } else { None };
    if endless || told > MOST_LARGE || (told > MOST_BODY && share.is_none()) {
        log::line("a server's answer is too large or does not tell its length");
        return Err(Broken::Answer);
    }
    traffic.large.set(share.as_ref().map_or(0, |share| share.bytes));
    let whole = tokio::time::timeout(ANSWER_STALL, Limited::new(body, told.max(MOST_BODY)).collect());
    match slot.drive(whole).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            Ok(match share {
                Some(share) => Bytes::from_owner(Large { body, _share: share }),
                None => body,
            })
        }
        Ok(Err(error)) if error.downcast_ref::<hyper::Error>().is_some_and(|e| e.is_incomplete_message()) => {
            Err(Broken::Connection)
        }
        _ => {
            log::line("a server's answer is too large, malformed or does not go on");
            Err(Broken::Answer)
        }
    }
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;

    /// Guards against large answers that fill the memory, and against room that is not given back.
    #[test]
    fn large_answers_are_held_while_there_is_room() {
        let room = Room::new(100);
        let first = room.take(60).expect("room");
        assert!(room.take(60).is_none());
        let body = Bytes::from_owner(Large { body: Bytes::from_static(b"yes"), _share: first });
        let part = body.slice(1..);
        drop(body);
        assert!(room.take(60).is_none(), "a part is held yet");
        assert_eq!(part, "es");
        drop(part);
        assert!(room.take(100).is_some());
    }

    /// Guards the rule on drains where the word comes between the choice of a server and the first byte.
    #[tokio::test]
    async fn nothing_goes_out_that_was_chosen_before_the_word_of_a_drain() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let text = testkit::config(address, &testkit::list(1, true, &[]), &testkit::settings(15_000));
        let servers = Servers::new(&Config::parse(&text).expect("sound"));
        let host = Host { address: Some(address), ..Host::named("s-0") };
        servers.update(ServerId(0), &host);
        let message = Message {
            method: Method::GET,
            uri: Uri::from_static("/api"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let slot = Slot::default();
        let deadline = Instant::now() + Duration::from_secs(60);
        let mut attempt = pin!(servers.attempt(ServerId(0), &message, deadline, &slot));
        let begun = attempt.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        assert!(begun.is_pending(), "it is on its way");
        servers.update(ServerId(0), &Host { state: State::Draining, ..host });
        let ended = tokio::time::timeout(Duration::from_secs(5), attempt).await.expect("it sends, and waits");
        assert_eq!(ended.ending, Ending::NotSent);
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut bytes = Vec::new();
        io::Read::read_to_end(&mut connection, &mut bytes).expect("an end in order");
        assert!(bytes.is_empty(), "nothing went out");
    }

    /// Guards against bytes that come as the next request goes out, before the event loop has heard of them: they
    /// would be taken for its answer. Nothing is written then, so that nothing has run.
    #[tokio::test]
    async fn a_request_is_not_begun_behind_bytes_that_came_unasked() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream =
            TcpStream::connect(listener.local_addr().expect("an address")).await.expect("it listens");
        let (mut server, _) = listener.accept().expect("a connection");
        let mut metered = Metered { stream, traffic: Rc::default() };
        metered.traffic.begin();
        server.write_all(b"HTTP/1.1 200 OK\r\n").expect("an open connection");
        while !metered.has_news() {
            std::thread::yield_now(); // The event loop, which runs on this thread, hears of nothing.
        }
        let mut cx = Context::from_waker(Waker::noop());
        let written = Pin::new(&mut metered).poll_write(&mut cx, b"GET / HTTP/1.1\r\n");
        assert!(matches!(written, Poll::Ready(Err(_))), "{written:?}");
        let _ = Pin::new(&mut metered).poll_flush(&mut cx);
        assert!(!metered.traffic.whole.get(), "it never ran");
    }
}
