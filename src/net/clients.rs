//! The clients' side: connections, what their requests mean, and the final answers.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};

use super::driver::{Answer, Driver};
use super::log;
use super::servers::{Message, MOST_BODY};
use crate::Effect;

/// The most of a message's head that is read, and of a body that is read at a time.
const BUFFER: usize = 32 * 1024;
/// How long a client may take to send a request's head, or to begin another on its connection.
const HEAD_TIME: Duration = Duration::from_secs(60);
/// The most that is read of a body that nobody wants, and for how long.
const MOST_DISCARDED: usize = 4 * MOST_BODY;
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Wait after a connection could not be accepted, for want of descriptors say.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
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

/// How far a node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It is told to stop: new connections still come and are served, each answer ends its connection.
    HandOver,
    /// No more connections are taken, and those between requests are closed.
    Closing,
}

/// What the connections of clients share.
struct Hall {
    driver: Rc<Driver>,
    phases: watch::Receiver<Phase>,
    /// Wakes the connection that has waited longest to leave, where there is no place for a new one.
    crowded: Notify,
}

/// Serves clients until the phase is [`Phase::Closing`] and all that was taken is answered, `last_answer` after
/// that at the latest: a client that does not read its answer must not hold up the end.
pub async fn serve(
    listener: TcpListener,
    driver: Rc<Driver>,
    phases: watch::Receiver<Phase>,
    most: usize,
    last_answer: Duration,
) {
    let places = Arc::new(Semaphore::new(most));
    let hall = Rc::new(Hall { driver, phases: phases.clone(), crowded: Notify::new() });
    let mut phases = phases;
    let mut closing = pin!(phases.wait_for(|phase| *phase == Phase::Closing));
    loop {
        let accepted = async {
            // Guards the limit on descriptors: what is beyond waits in the system's queue.
            let place = place(&places, &hall.crowded).await;
            (listener.accept().await, place)
        };
        // What has come is taken before the end of the hand-over is looked at: it would be reset.
        let (accepted, place) = tokio::select! {
            biased;
            accepted = accepted => accepted,
            _ = &mut closing => break,
        };
        match accepted {
            Ok((stream, _)) => drop(tokio::task::spawn_local(connection(stream, Rc::clone(&hall), place))),
            Err(error) => {
                log::line(format_args!("cannot accept a connection: {error}"));
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
    drop(listener);
    // Every connection holds a place until it ends.
    let all = u32::try_from(most).unwrap_or(u32::MAX);
    if tokio::time::timeout(last_answer, places.acquire_many(all)).await.is_err() {
        log::line("a client did not take its answer in time");
    }
}

/// A place for one more connection, one that stands between requests being closed for it if there is none.
async fn place(places: &Arc<Semaphore>, crowded: &Notify) -> Option<OwnedSemaphorePermit> {
    loop {
        let place = tokio::time::timeout(ACCEPT_AGAIN, Arc::clone(places).acquire_owned()).await;
        match place {
            Ok(place) => return place.ok(),
            Err(_) => crowded.notify_one(),
        }
    }
}

async fn connection(stream: TcpStream, hall: Rc<Hall>, _place: Option<OwnedSemaphorePermit>) {
    if let Err(error) = stream.set_nodelay(true) {
        return log::line(format_args!("cannot set up a connection: {error}"));
    }
    let busy = Cell::new(false);
    let service = service_fn(|request| {
        let (hall, busy) = (&hall, &busy);
        async move {
            busy.set(true);
            let mut response = respond(request, &hall.driver).await;
            busy.set(false);
            if *hall.phases.borrow() != Phase::Serving {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut phases = hall.phases.clone();
    let mut leave = pin!(async {
        tokio::select! {
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => {}
            () = hall.crowded.notified() => {}
        }
    });
    // While a request is on it, a connection does not look whether it should leave.
    let ended = poll_fn(|cx| match connection.as_mut().poll(cx) {
        Poll::Ready(ended) => Poll::Ready(Some(ended)),
        Poll::Pending if !busy.get() => leave.as_mut().poll(cx).map(|()| None),
        Poll::Pending => Poll::Pending,
    });
    let ended = match ended.await {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        if error.is_parse() {
            log::line(format_args!("a client's message is malformed: {error}"));
        }
    }
}

async fn respond(request: Request<Incoming>, driver: &Rc<Driver>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/up" if request.method() == Method::GET => plain(StatusCode::OK, ""),
        "/up" => plain(StatusCode::METHOD_NOT_ALLOWED, ""),
        "/api" => api(request, driver).await.unwrap_or_else(|(status, why)| plain(status, why)),
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

type Rejection = (StatusCode, &'static str);

const TOO_LARGE: Rejection = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");

fn bad(why: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, why)
}

async fn api(request: Request<Incoming>, driver: &Rc<Driver>) -> Result<Response<Full<Bytes>>, Rejection> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let meaning = match Meaning::read(&head.method, &head.headers, driver) {
        Ok(_) if body.size_hint().lower() > MOST_BODY as u64 => Err(TOO_LARGE),
        meaning => meaning,
    };
    let meaning = match meaning {
        Ok(meaning) => meaning,
        Err(rejection) => {
            discard(body).await;
            return Err(rejection);
        }
    };
    let key = head.uri.query().and_then(key_of);
    let body = tokio::time::timeout(meaning.time, Limited::new(body, MOST_BODY).collect());
    let body = match body.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(TOO_LARGE),
        Ok(Err(_)) => return Err(bad("the body is malformed\n")),
        Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")),
    };
    let headers = end_to_end(head.headers);
    // A client may name the host in the request line, too; a server is asked by path and query.
    let uri = head.uri.path_and_query().cloned().map_or(head.uri, Into::into);
    let message = Message { method: head.method, uri, headers, body };
    let Some(taken) = driver.take(meaning.class, meaning.tenant, key, message, arrived, meaning.time) else {
        return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, ""));
    };
    Ok(match taken.answer().await {
        Answer::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            if let Some(content_type) = served.content_type {
                response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            }
            response
        }
        Answer::Refused { after_ms } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
            let seconds = after_ms.map(|ms| format!("{:.3}", ms / 1e3));
            if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, ""),
    })
}

/// Reads what is left of a body that nobody wants, within bounds. Guards against an answer that its client never
/// sees: a connection that is closed with bytes unread is reset, and the answer lost with it.
async fn discard(body: Incoming) {
    let _ = tokio::time::timeout(DISCARD_TIME, Limited::new(body, MOST_DISCARDED).collect()).await;
}

/// What a request's headers say.
struct Meaning {
    class: usize,
    tenant: usize,
    time: Duration,
}

impl Meaning {
    fn read(method: &Method, headers: &HeaderMap, driver: &Driver) -> Result<Self, Rejection> {
        let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let names = &driver.names;
        text(REQ_ID).filter(|id| !id.is_empty()).ok_or(bad("Req-Id is missing\n"))?;
        let class = text(REQ_KIND).and_then(|kind| names.classes.get(kind));
        let class = class.ok_or(bad("Req-Kind is missing or unknown\n"))?;
        let tenant = match text(REQ_OWNER) {
            Some(owner) if !names.tenants.is_empty() => {
                names.tenants.get(owner).ok_or(bad("Req-Owner is unknown\n"))?
            }
            _ => 0,
        };
        let time = text(REQ_DEADLINE).and_then(read_time).ok_or(bad("Req-Deadline is missing or bad\n"))?;
        let rule = &names.rules[class];
        let keyed = headers.contains_key(IDEMPOTENCY_KEY);
        let (right, has_key) = match rule.effect {
            Effect::Safe => (Method::GET, false),
            Effect::Keyed { .. } => (Method::POST, true),
            Effect::Unsafe => (Method::POST, false),
        };
        if *method != right || keyed != has_key {
            return Err(bad("the method or Idempotency-Key is not the one of its Req-Kind\n"));
        }
        Ok(Self { class, tenant, time: time.min(rule.longest) })
    }
}

/// A time as `Req-Deadline` has it: `480m` is in milliseconds, `480000u` in microseconds.
fn read_time(text: &str) -> Option<Duration> {
    let (number, unit) = text.trim().split_at_checked(text.trim().len().checked_sub(1)?)?;
    let number = number.parse::<f64>().ok().filter(|n| *n > 0.0)?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok()
}

/// The query's `key`.
fn key_of(query: &str) -> Option<Box<str>> {
    query.split('&').find_map(|pair| pair.strip_prefix("key=")).map(Into::into)
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
