//! The clients' side: connections, what their requests mean, and the final answers.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::{ConnectionPolicy, Drain, InFlightRequest, RequestOutcome};
use bytes::{Bytes, BytesMut};
use flow_control::{MemoryBudget, Reservation, TransferDeadline};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::node::admin::log;
use crate::node::config::Limits;
use crate::node::dispatcher::{Dispatcher, FinalResponse, NewRequest};
use crate::node::downstream::connections::{
    ConnectionGuard, ConnectionTable, Stage, TrackedConnection,
};
use crate::node::downstream::passing::{passing, Feeder, Outgoing, Passed, Upload};
use crate::node::downstream::socket::Socket;
use crate::node::upstream::answers::{MOST_BODY, MOST_HELD, MOST_PASSED};
use crate::node::upstream::{Message, RequestBody, ResponseBody, Served};
use balancer::Idempotency;

/// The most of a message's head that is read, and of a body that is read at a time.
const BUFFER: usize = 32 * 1024;
/// The most that is read after the last answer on a connection, and for how long.
const MOST_LINGERED: usize = 64 * MOST_BODY;
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The longest deadline that a client can mean.
const LONGEST_DEADLINE: Duration = Duration::from_secs(60 * 60);
/// Connections that are taken from the system's queue at the end: as many as it holds. Who comes on and on does not hold it up.
const MOST_QUEUED: usize = 1_024;
/// Wait after a connection could not be accepted, for want of descriptors say.
pub const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// When a client is to come back that found too few connections free: some answers have gone out by then.
const FREE_AGAIN_MS: f64 = 50.0;
/// How long a node that is told to stop goes on taking connections from a socket that its successor listens on, too: as
/// long as they were dealt to it before. Each that it took must still have had time to ask.
const STILL_DEALT: Duration = Duration::from_millis(300);

/// How long answers of the last instant have to be written before the node ends.
pub const LAST_WRITES: Duration = Duration::from_millis(50);

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that say what a request is: one that comes twice says two things.
const OF_REQUEST: [HeaderName; 8] = [
    REQ_ID,
    REQ_KIND,
    REQ_OWNER,
    REQ_DEADLINE,
    IDEMPOTENCY_KEY,
    HeaderName::from_static("req-retry"),
    HeaderName::from_static("req-cost"),
    HeaderName::from_static("req-extra"),
];
/// Headers that concern one connection alone, or that are written anew for the next.
const OF_CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// How far a node is on its way out. Once it is told to stop, all must be answered by an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It is told to stop, and serves on: new connections still come, and clients keep to those they have.
    Draining(Instant),
    /// No more connections are taken, those between requests are closed, and each answer ends its connection.
    ShuttingDown(Instant),
}

impl Phase {
    /// Whether nothing new is taken.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        matches!(self, Self::ShuttingDown(_))
    }

    /// By when all must be answered, where that is so.
    #[must_use]
    pub fn answer_by(&self) -> Option<Instant> {
        match self {
            Self::Serving => None,
            Self::Draining(by) | Self::ShuttingDown(by) => Some(*by),
        }
    }
}

/// Where clients come in, and how long they may stay.
#[derive(Clone)]
pub struct FrontOptions {
    /// How far the node is on its way out.
    pub phases: watch::Receiver<Phase>,
    /// Whether operators send its clients away.
    pub drain: Rc<Cell<Drain>>,
    /// Whether the listening socket is the platform's, and another process of this node listens on it, too.
    pub is_shared: bool,
    /// So many connections at the most.
    pub most: usize,
    /// How many bytes of long request bodies may be buffered at a time.
    pub max_buffered_upload_bytes: usize,
}

impl FrontOptions {
    /// Through a listening socket of the node's own, with no drain.
    #[must_use]
    pub fn own(phases: watch::Receiver<Phase>, most: usize) -> Self {
        let max_buffered_upload_bytes = Limits::default().buffered_upload_bytes();
        Self {
            phases,
            drain: Rc::default(),
            is_shared: false,
            most,
            max_buffered_upload_bytes,
        }
    }
}

/// What the connections of clients share.
struct FrontState {
    driver: Rc<Dispatcher>,
    options: FrontOptions,
    phases: watch::Receiver<Phase>,
    table: Rc<ConnectionTable>,
    upload_memory: MemoryBudget,
    /// The ids of the requests that are being read or served.
    open: RefCell<HashSet<HeaderValue>>,
}

/// Serves clients until the phase is [`Phase::ShuttingDown`] and all that was taken is answered, at the instant that it
/// names at the latest, and [`LAST_WRITES`] later: a client that does not read its answer must not hold up the end.
pub async fn serve(listener: TcpListener, driver: Rc<Dispatcher>, options: FrontOptions) {
    let table = ConnectionTable::new(options.most);
    let phases = options.phases.clone();
    let state = Rc::new(FrontState {
        driver,
        phases: phases.clone(),
        upload_memory: MemoryBudget::new(options.max_buffered_upload_bytes),
        options,
        table: Rc::clone(&table),
        open: RefCell::default(),
    });
    let end = async {
        accept(&listener, &table, &state, phases).await;
        drop(listener);
        let by = state
            .phases
            .borrow()
            .answer_by()
            .unwrap_or_else(Instant::now);
        if tokio::time::timeout_at((by + LAST_WRITES).into(), table.all_left())
            .await
            .is_err()
        {
            log::line("a client did not take its answer in time");
            state.driver.report_unanswered();
        }
    };
    let mut stops = state.phases.clone();
    let holding = async {
        let by = stops
            .wait_for(|phase| *phase != Phase::Serving)
            .await
            .ok()
            .and_then(|now| now.answer_by());
        if let Some(by) = by {
            state.driver.limit_deadlines(by);
        }
        if !state.options.is_shared {
            table.hold();
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = end => {}
        () = holding => {}
        () = table.look_over(|| state.connection_policy()) => {}
    }
}

impl FrontState {
    /// Whether the front should send clients here.
    fn admits(&self) -> bool {
        self.options.drain.get().accepts_new_clients()
    }

    /// How long clients' connections may stay.
    fn connection_policy(&self) -> ConnectionPolicy {
        let drains = self
            .options
            .drain
            .get()
            .connection_policy(self.driver.now_ms());
        let leaves = match *self.phases.borrow() {
            Phase::ShuttingDown(_) => ConnectionPolicy::CloseIdle,
            Phase::Draining(_) if self.options.is_shared => ConnectionPolicy::CloseAfterResponse,
            _ => ConnectionPolicy::KeepAlive,
        };
        drains.max(leaves)
    }

    /// Waits until no more connections are to be taken.
    async fn last_accept(&self, phases: &mut watch::Receiver<Phase>) {
        if self.options.is_shared {
            let _ = phases.wait_for(|phase| *phase != Phase::Serving).await;
            return tokio::time::sleep(STILL_DEALT).await;
        }
        let _ = phases.wait_for(Phase::is_shutting_down).await;
    }
}

async fn accept(
    listener: &TcpListener,
    table: &Rc<ConnectionTable>,
    state: &Rc<FrontState>,
    mut phases: watch::Receiver<Phase>,
) {
    let mut closing = pin!(state.last_accept(&mut phases));
    loop {
        // What has come is taken before the end of the hand-over is looked at: it would be reset.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut closing => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = table.take().await;
                drop(tokio::task::spawn_local(connection(
                    stream,
                    Rc::clone(state),
                    guard,
                )));
            }
            Err(error) => {
                log::line(format_args!("cannot accept a connection: {error}"));
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
    if state.options.is_shared {
        return; // The other process has what is left.
    }
    // The event loop has not heard yet of who came in this turn.
    for _ in 0..MOST_QUEUED {
        let Ok((stream, _)) = SockRef::from(listener).accept() else {
            return;
        };
        let stream = std::net::TcpStream::from(stream);
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        let Ok(stream) = stream else { return };
        let guard = table.take().await;
        drop(tokio::task::spawn_local(connection(
            stream,
            Rc::clone(state),
            guard,
        )));
    }
}

async fn connection(stream: TcpStream, state: Rc<FrontState>, guard: ConnectionGuard) {
    if let Err(error) = stream.set_nodelay(true) {
        return log::line(format_args!("cannot set up a connection: {error}"));
    }
    let socket = Socket::new(stream, guard);
    if converse(&socket, &state).await == Left::InOrder {
        linger(&socket).await;
    }
}

/// How hyper's part of a connection ended.
#[derive(PartialEq)]
enum Left {
    /// The client closed it, an answer was its last, or it was closed between requests.
    InOrder,
    /// There is nobody to read what is left to write.
    Cut,
}

async fn converse(socket: &Socket, state: &FrontState) -> Left {
    let (tracked, number) = (&socket.tracked, Cell::new(0));
    let service = service_fn(|request| {
        let this = number.get() + 1;
        number.set(this);
        async move {
            socket.guard.asks();
            let doubtful = socket.framing.borrow().is_doubtful(this);
            let mut response = if doubtful {
                plain(
                    StatusCode::BAD_REQUEST,
                    "the length is told in more than one way\n",
                )
            } else {
                respond(request, state, tracked).await
            };
            tracked.enter(Stage::Answer);
            tracked.set_passing(matches!(response.body(), Outgoing::Passing(..)));
            let leaves = state.connection_policy() > ConnectionPolicy::KeepAlive
                || socket.framing.borrow().is_last(this);
            if leaves || state.table.wants_room(tracked) {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut connection = pin!(connection);
    let mut phases = state.phases.clone();
    let mut closing = pin!(phases.wait_for(Phase::is_shutting_down));
    let mut gone = pin!(socket.client_gone());
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                if let Some(error) = ended.err().filter(hyper::Error::is_parse) {
                    log::line(format_args!("a client's message is malformed: {error}"));
                }
                return Left::InOrder;
            }
            () = gone.as_mut() => return Left::Cut,
            // One that rests is closed, and what comes on it from then on is read by nobody. A request that is on it is
            // answered; one that has begun to come is taken once it is whole, and its answer is the last.
            _ = &mut closing, if !is_shutting_down => {
                is_shutting_down = true;
                if matches!(tracked.stage(), Stage::Request | Stage::Answer) || socket.rests() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = tracked.asked_to_leave() => match parting(tracked.stage(), || socket.rests(), || socket.has_news()) {
                _ if !tracked.should_leave() => {}
                Parting::Stays => {}
                Parting::InOrder => connection.as_mut().graceful_shutdown(),
                Parting::Cut => return Left::Cut,
            },
        }
    }
}

/// What becomes of a connection that is asked to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Parting {
    /// What it has begun goes on.
    Stays,
    /// It is closed, and what its client still sends is passed over.
    InOrder,
    /// It is dropped.
    Cut,
}

/// Guards a client whose bytes came in the turn in which it was asked: neither a crowd nor the end of its time may put it out,
/// as a close over unread bytes resets the connection, and a request among them has been taken. One that goes on and on has
/// its time all the same: what is read of a head is bounded.
fn parting(stage: Stage, rests: impl Fn() -> bool, has_news: impl Fn() -> bool) -> Parting {
    match stage {
        Stage::Request => Parting::Stays,
        Stage::Idle if rests() => Parting::InOrder,
        Stage::Idle => Parting::Stays,
        Stage::Silent | Stage::Head if has_news() => Parting::Stays,
        Stage::Silent | Stage::Head | Stage::Answer | Stage::Lingering => Parting::Cut,
    }
}

/// Reads on after the last answer, within bounds. Guards against an answer that its client never sees: a connection
/// that is closed with bytes unread is reset, and the answer lost with it.
async fn linger(socket: &Socket) {
    socket.tracked.enter(Stage::Lingering);
    let mut socket = socket.clone();
    let tracked = Rc::clone(&socket.tracked);
    let reading = async {
        socket.shutdown().await?;
        let (mut buffer, mut left) = ([0; 4096], MOST_LINGERED);
        loop {
            let read = socket.read(&mut buffer).await?;
            left = left.saturating_sub(read);
            if read == 0 || left == 0 {
                return Ok::<_, io::Error>(());
            }
        }
    };
    tokio::select! {
        _ = reading => {}
        () = tokio::time::sleep(LINGER_TIME) => {}
        () = tracked.asked_to_leave() => {}
    }
}

async fn respond(
    request: Request<Incoming>,
    state: &FrontState,
    tracked: &Rc<TrackedConnection>,
) -> Response<Outgoing> {
    match request.uri().path() {
        "/up" if request.method() == Method::GET && !state.admits() => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        }
        "/up" if request.method() == Method::GET => plain(StatusCode::OK, ""),
        "/up" => plain(StatusCode::METHOD_NOT_ALLOWED, ""),
        "/api" => api(request, state, tracked)
            .await
            .unwrap_or_else(|(status, why)| plain(status, why)),
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing::text(text));
    *response.status_mut() = status;
    response
}

type Rejection = (StatusCode, &'static str);

const ALREADY_OPEN: Rejection = (StatusCode::CONFLICT, "a request with this Req-Id is open\n");
const TOO_LARGE: Rejection = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

fn bad(why: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, why)
}

/// A request's id for as long as the request is open.
struct OpenId<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> OpenId<'a> {
    /// Guards against two requests that go by one id: a server would take one for a copy of the other.
    fn open(ids: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<Self> {
        ids.borrow_mut()
            .insert(id.clone())
            .then(|| Self { ids, id })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

async fn api(
    request: Request<Incoming>,
    state: &FrontState,
    tracked: &Rc<TrackedConnection>,
) -> Result<Response<Outgoing>, Rejection> {
    let (head, body) = request.into_parts();
    let metadata = RequestMetadata::read(&head.method, &head.headers, &state.driver)?;
    let counted = state.driver.metrics.begin_request(metadata.class);
    let answer = match answer_to(metadata, head, body, state).await {
        Ok(FinalResponse::Served(served)) => return Ok(pass_on(served, counted, tracked)),
        Ok(FinalResponse::Rejected { retry_after_ms }) => Ok(refusal(retry_after_ms)),
        Ok(FinalResponse::Failed) => Ok(plain(StatusCode::BAD_GATEWAY, "")),
        Err(rejection) => Err(rejection),
    };
    counted.finish(end_of(
        answer
            .as_ref()
            .map_or_else(|(status, _)| *status, Response::status),
    ));
    answer
}

fn end_of(status: StatusCode) -> RequestOutcome {
    match status {
        StatusCode::OK => RequestOutcome::Served,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Rejected,
        _ => RequestOutcome::Failed,
    }
}

/// A server's answer for the client; it is counted as it ends.
fn pass_on(
    served: Served,
    counted: InFlightRequest,
    tracked: &Rc<TrackedConnection>,
) -> Response<Outgoing> {
    let end = end_of(served.status);
    let body = match served.body {
        ResponseBody::Whole(body) => {
            counted.finish(end);
            Outgoing::whole(body)
        }
        ResponseBody::Passing(passing) => {
            let tracked = Rc::clone(tracked);
            Outgoing::passing(passing, move |passed| {
                tracked.set_passing(false);
                match passed {
                    Passed::Whole => counted.finish(end),
                    Passed::Cut => counted.finish(RequestOutcome::Failed),
                    Passed::Left => drop(counted),
                }
            })
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = served.status;
    if let Some(content_type) = served.content_type {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    response
}

async fn answer_to(
    metadata: RequestMetadata,
    head: Parts,
    body: Incoming,
    state: &FrontState,
) -> Result<FinalResponse, Rejection> {
    if body.size_hint().lower() > MOST_PASSED as u64 {
        return Err(TOO_LARGE);
    }
    let driver = &state.driver;
    let RequestMetadata {
        id,
        class,
        tenant,
        time,
    } = metadata;
    let _open = OpenId::open(&state.open, id).ok_or(ALREADY_OPEN)?;
    let key = head.uri.query().and_then(key_of);
    let mut coming = Coming::new(body, driver.now_ms());
    let held = coming.hold(state).await?;
    // A request's time counts from its last byte.
    let arrived = Instant::now();
    // Where another process listens on the same socket, clients get connections as ever.
    let is_left = matches!(*state.phases.borrow(), Phase::Draining(_)) && !state.options.is_shared;
    if is_left && state.table.few_free() {
        return Ok(FinalResponse::Rejected {
            retry_after_ms: Some(FREE_AGAIN_MS),
        });
    }
    let headers = end_to_end(head.headers);
    // A client may name the host in the request line, too; a server is asked by path and query.
    let uri = head
        .uri
        .path_and_query()
        .cloned()
        .map_or(head.uri, Into::into);
    let sent = driver.metrics.attempts(class).clone();
    let (body, feeder) = match held {
        Held::Whole(body) => (RequestBody::Whole(body), None),
        Held::Part(first) => {
            let (feeder, rest) = passing(coming.left());
            (RequestBody::Passing(Upload::new(first, rest)), Some(feeder))
        }
    };
    let message = Message {
        method: head.method,
        uri,
        headers,
        body,
        sent,
        until: Cell::default(),
    };
    let request = NewRequest {
        class,
        tenant,
        key,
        message,
        received_at: arrived,
        timeout: time,
    };
    let Some(mut taken) = driver.accept_request(request) else {
        return Ok(FinalResponse::Rejected {
            retry_after_ms: None,
        });
    };
    if let Some(feeder) = feeder {
        let fed = tokio::select! {
            biased;
            answer = taken.response() => return Ok(answer),
            fed = coming.feed(feeder, state) => fed?,
        };
        if fed {
            taken.upload_completed(Instant::now());
        }
    }
    Ok(taken.response().await)
}

/// A body on its way from its client.
struct Coming {
    body: Incoming,
    deadline: TransferDeadline,
}

/// What is held of a body.
enum Held {
    /// All of it.
    Whole(Bytes),
    /// Its beginning: the rest is longer than can be held.
    Part(Bytes),
}

impl Coming {
    fn new(body: Incoming, now_ms: f64) -> Self {
        Self {
            body,
            deadline: TransferDeadline::for_upload(now_ms),
        }
    }

    /// How many bytes are to come, where that is told.
    fn left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// The next piece, or the end. Guards against a client that keeps a place with a body that does not come.
    async fn piece(&mut self, state: &FrontState) -> Result<Option<Bytes>, Rejection> {
        let late = (
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time\n",
        );
        loop {
            let left_ms = (self.deadline.due_ms() - state.driver.now_ms()).max(0.0);
            let frame =
                tokio::time::timeout(Duration::from_secs_f64(left_ms / 1e3), self.body.frame())
                    .await;
            match frame.map_err(|_| late)? {
                None => return Ok(None),
                Some(Err(_)) => return Err(bad("the body is malformed\n")),
                Some(Ok(frame)) => {
                    if let Ok(piece) = frame.into_data() {
                        self.deadline.record_bytes(piece.len());
                        return Ok(Some(piece));
                    }
                }
            }
        }
    }

    /// Takes the body in, as far as it may be held.
    async fn hold(&mut self, state: &FrontState) -> Result<Held, Rejection> {
        let Some(first) = self.piece(state).await? else {
            return Ok(Held::Whole(Bytes::new()));
        };
        if self.body.is_end_stream() {
            return Ok(Held::Whole(first));
        }
        let mut held = BytesMut::from(first);
        let mut reservation = None::<Reservation>;
        let told = self
            .left()
            .map(|left| left.saturating_add(held.len() as u64));
        let mut is_whole = false;
        while told.is_none_or(|told| told <= MOST_HELD as u64) && held.len() < MOST_HELD {
            // What is longer than ordinary is held as long as there is room.
            let beyond = held.len().saturating_sub(MOST_BODY);
            let is_reserved = match &mut reservation {
                _ if beyond == 0 => true,
                Some(reservation) => {
                    reservation.try_grow(beyond.saturating_sub(reservation.bytes()))
                }
                None => {
                    reservation = state.upload_memory.try_reserve(beyond);
                    reservation.is_some()
                }
            };
            if !is_reserved {
                break;
            }
            let Some(piece) = self.piece(state).await? else {
                is_whole = true;
                break;
            };
            held.extend_from_slice(&piece);
        }
        let body = match (reservation, held.freeze()) {
            (Some(reservation), body) => reservation.attach_to(body),
            (None, body) => body,
        };
        Ok(if is_whole {
            Held::Whole(body)
        } else {
            Held::Part(body)
        })
    }

    /// Feeds the rest to whoever sends it on; `false`: nobody does any more.
    async fn feed(&mut self, mut feeder: Feeder, state: &FrontState) -> Result<bool, Rejection> {
        let mut fed = 0;
        while let Some(piece) = self.piece(state).await? {
            fed += piece.len();
            if fed > MOST_PASSED {
                return Err(TOO_LARGE);
            }
            let since_ms = state.driver.now_ms();
            if feeder.feed(piece).await.is_err() {
                return Ok(false);
            }
            // Here it was the server that was waited for.
            self.deadline
                .exclude_pause(state.driver.now_ms() - since_ms);
        }
        Ok(feeder.end().await.is_ok())
    }
}

fn refusal(after_ms: Option<f64>) -> Response<Outgoing> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = after_ms.map(|ms| format!("{:.3}", ms / 1e3));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// What a request's headers say.
struct RequestMetadata {
    id: HeaderValue,
    class: usize,
    tenant: usize,
    time: Duration,
}

impl RequestMetadata {
    fn read(method: &Method, headers: &HeaderMap, driver: &Dispatcher) -> Result<Self, Rejection> {
        if OF_REQUEST
            .iter()
            .any(|name| headers.get_all(name).iter().nth(1).is_some())
        {
            return Err(bad("a header of the request comes twice\n"));
        }
        let text = |name: HeaderName| {
            headers
                .get(name)
                .map(|value| value.to_str().unwrap_or_default())
        };
        let names = &driver.names;
        let id = headers
            .get(REQ_ID)
            .filter(|id| id.to_str().is_ok_and(|id| !id.is_empty()));
        let id = id.ok_or(bad("Req-Id is missing or bad\n"))?.clone();
        let class = text(REQ_KIND).and_then(|kind| names.classes.get(kind));
        let class = class.ok_or(bad("Req-Kind is missing or unknown\n"))?;
        let tenant = match text(REQ_OWNER) {
            Some(owner) if !names.tenants.is_empty() => names
                .tenants
                .get(owner)
                .ok_or(bad("Req-Owner is unknown\n"))?,
            _ => 0,
        };
        let time = text(REQ_DEADLINE)
            .and_then(read_time)
            .ok_or(bad("Req-Deadline is missing or bad\n"))?;
        let rule = &names.rules[class];
        let keyed = text(IDEMPOTENCY_KEY).is_some();
        if text(IDEMPOTENCY_KEY).is_some_and(str::is_empty) {
            return Err(bad("Idempotency-Key is empty or bad\n"));
        }
        let (right, has_key) = match rule.idempotency {
            Idempotency::Idempotent => (Method::GET, false),
            Idempotency::IdempotencyKey { .. } => (Method::POST, true),
            Idempotency::NonIdempotent => (Method::POST, false),
        };
        if *method != right || keyed != has_key {
            return Err(bad(
                "the method or Idempotency-Key is not the one of its Req-Kind\n",
            ));
        }
        Ok(Self {
            id,
            class,
            tenant,
            time: time.min(rule.max_timeout),
        })
    }
}

/// A time as `Req-Deadline` has it: `480m` is in milliseconds, `480000u` in microseconds. Guards against what else
/// parses as a number: a sign, an exponent, infinity; and against times that no client can mean.
fn read_time(text: &str) -> Option<Duration> {
    let number = text.strip_suffix(['m', 'u'])?;
    let plain = number
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = number.parse::<f64>().ok().filter(|n| plain && *n > 0.0)?;
    let seconds = if text.ends_with('m') {
        number / 1e3
    } else {
        number / 1e6
    };
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|time| *time <= LONGEST_DEADLINE)
}

/// The query's `key`.
fn key_of(query: &str) -> Option<Box<str>> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix("key="))
        .map(Into::into)
}

/// The headers without those of the connection they came on.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != REQ_ID && *name != IDEMPOTENCY_KEY)
        .collect();
    for name in OF_CONNECTION.iter().chain(&named) {
        headers.remove(name);
    }
    headers
}

#[cfg(test)]
mod tests;
