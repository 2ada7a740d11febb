//! One connection and the exchanges on it.

use std::future::{poll_fn, Future};
use std::io::{self, Write};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pool::{Broke, Closed};

use super::super::answers::{ending, read_report, Room, MOST_BODY, MOST_LARGE};
use super::super::back::{Broken, Ended, Message, Served};
use super::super::log;
use super::super::stream::Stream;
use super::metered::{Metered, Traffic, ANSWER_STALL};
use crate::Ending;

/// The most of a message's head that is read, and of a body that is read at a time.
const BUFFER: usize = 32 * 1024;
const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");

type Driven = Pin<Box<Connection<TokioIo<Metered>, Full<Bytes>>>>;

/// A connection that speaks HTTP/1.1.
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    /// hyper's half that holds the socket, until it has ended.
    connection: Option<Driven>,
    traffic: Rc<Traffic>,
}

impl Conn {
    /// Makes a stream a connection.
    ///
    /// # Errors
    ///
    /// The stream has failed.
    pub async fn begin(stream: Stream) -> io::Result<Self> {
        let traffic = Rc::<Traffic>::default();
        let io = TokioIo::new(Metered::new(stream, Rc::clone(&traffic)));
        let (sender, connection) =
            Builder::new().max_buf_size(BUFFER).handshake(io).await.map_err(io::Error::other)?;
        Ok(Self { sender, connection: Some(Box::pin(connection)), traffic })
    }

    /// See [`back::Conn::look`](super::super::back::Conn::look). Guards against a connection that was closed since its
    /// last exchange (what is written to it would end as a reset), and against one that holds more than the answer
    /// before.
    pub fn look(&mut self) -> Option<Closed> {
        poll(&mut self.connection, &self.traffic, &mut Context::from_waker(Waker::noop()));
        if self.traffic.is_odd() {
            Some(Closed::Odd)
        } else if self.connection.is_none() {
            Some(Closed::ByPeer)
        } else if self.sender.is_ready() {
            None
        } else {
            Some(Closed::Spent)
        }
    }

    /// Makes an exchange.
    ///
    /// # Errors
    ///
    /// No answer's head was had.
    pub async fn exchange(
        &mut self,
        message: &Message,
        left: Duration,
        large: &Room,
    ) -> Result<Ended, Broken> {
        self.traffic.begin(&message.sent);
        let answer = self.sender.send_request(request(message, left));
        let answer = tokio::select! {
            biased;
            answer = drive(&mut self.connection, &self.traffic, answer) => answer.map_err(|error| {
                if error.is_parse() || self.traffic.is_flooded() {
                    log::line(format_args!("a server's answer is malformed: {error}"));
                    Broke::Answer
                } else {
                    Broke::Connection
                }
            }),
            broke = self.traffic.stalls() => {
                log::line("a server's answer, or the request to it, does not go on");
                Err(broke)
            }
        };
        match answer {
            Ok(answer) => Ok(self.read(answer, large).await),
            Err(broke) => {
                self.connection = None;
                let is_odd = self.traffic.is_odd() || broke == Broke::Answer;
                Err(Broken { sent: self.traffic.sent(), broke, is_odd })
            }
        }
    }

    async fn read(&mut self, answer: Response<Incoming>, large: &Room) -> Ended {
        let (head, body) = answer.into_parts();
        let report = head.headers.get("srv-load").and_then(read_report);
        let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
        let body = self.read_body(&head, body, large).await;
        if body.is_err() {
            self.connection = None;
        }
        let (ending, body) = match (ending(head.status, declined), body) {
            (Ending::Served, Err(Broke::Connection)) => (Ending::Reset, None),
            (Ending::Served, Err(_)) => (Ending::Spoilt, None),
            (Ending::Served, Ok(body)) => (Ending::Served, Some(body)),
            (Ending::Rejected, body) => (Ending::Rejected, Some(body.unwrap_or_default())),
            (ending, _) => (ending, None),
        };
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        let served = body.map(|body| Served { status: head.status, body, content_type });
        Ended { ending, report, served }
    }

    /// Reads an answer's body. Guards against one that is too large, stops short or has no end.
    async fn read_body(&mut self, head: &Parts, body: Incoming, large: &Room) -> Result<Bytes, Broke> {
        let size = body.size_hint();
        // Only the end of the connection shows the end of a body of no stated length, and it must have been announced.
        let chunked = head.headers.contains_key(TRANSFER_ENCODING);
        let closes =
            head.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let endless = size.exact().is_none() && !chunked && !closes;
        let told = usize::try_from(size.exact().unwrap_or(0)).unwrap_or(usize::MAX);
        let share = if told > MOST_BODY { large.take(told) } else { None };
        if endless || told > MOST_LARGE || (told > MOST_BODY && share.is_none()) {
            log::line("a server's answer is too large or does not tell its length");
            return Err(Broke::Answer);
        }
        self.traffic.allow(share.as_ref().map_or(0, |share| share.bytes()));
        let whole = tokio::time::timeout(ANSWER_STALL, Limited::new(body, told.max(MOST_BODY)).collect());
        match drive(&mut self.connection, &self.traffic, whole).await {
            Ok(Ok(body)) => {
                let body = body.to_bytes();
                Ok(match share {
                    Some(share) => share.hold(body),
                    None => body,
                })
            }
            Ok(Err(error))
                if error.downcast_ref::<hyper::Error>().is_some_and(|e| e.is_incomplete_message()) =>
            {
                Err(Broke::Connection)
            }
            _ => {
                log::line("a server's answer is too large, malformed or does not go on");
                Err(Broke::Answer)
            }
        }
    }
}

/// Lets a connection go on; one that has ended is closed.
fn poll(connection: &mut Option<Driven>, traffic: &Traffic, cx: &mut Context<'_>) {
    let Some(driven) = connection else { return };
    if let Poll::Ready(ended) = driven.as_mut().poll(cx) {
        if ended.is_err_and(|error| is_of_the_bytes(&error)) {
            traffic.note_odd();
        }
        *connection = None;
    }
}

/// Whether what came is the error, and neither the system's nor an end.
fn is_of_the_bytes(error: &hyper::Error) -> bool {
    let is_of_the_system = std::error::Error::source(error).is_some_and(|cause| cause.is::<io::Error>());
    !is_of_the_system && !error.is_incomplete_message() && !error.is_canceled() && !error.is_closed()
}

/// Drives a connection and what waits for it as one: no task holds a connection that has been given up.
async fn drive<F: Future>(connection: &mut Option<Driven>, traffic: &Traffic, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|cx| {
        poll(connection, traffic, cx);
        future.as_mut().poll(cx)
    })
    .await
}

/// A time in microseconds, as `480000u`.
fn micros(time: Duration, text: &mut [u8]) -> Option<&[u8]> {
    let room = text.len();
    let mut left = &mut text[..];
    write!(left, "{}u", time.as_micros()).ok()?;
    let used = room - left.len();
    Some(&text[..used])
}

fn request(message: &Message, left: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    let mut text = [0; 24]; // More than a u64 with its unit has.
    if let Some(left) = micros(left, &mut text).and_then(|text| HeaderValue::from_bytes(text).ok()) {
        request.headers_mut().insert(REQ_DEADLINE, left);
    }
    request.headers_mut().entry(HOST).or_insert(HeaderValue::from_static("service.internal"));
    request
}
