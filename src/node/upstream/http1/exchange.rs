//! One connection and the exchanges on it.

use std::future::{poll_fn, Future};
use std::io::{self, Write};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use flow_control::{response_stall_timeout_ms, TransferDeadline};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use pool::{CloseReason, ConnectionError};

use super::metered::{Metered, Traffic, SEND_STALL};
use super::sending::Sending;
use crate::node::admin::log;
use crate::node::downstream::body_stream::{body_stream, BodyReceiver, BodySender, StreamError};
use crate::node::upstream::answers::{ending, read_report, MOST_BODY, MOST_PASSED};
use crate::node::upstream::stream::Stream;
use crate::node::upstream::{Broken, Ended, Message, ResponseBody, Served};
use balancer::AttemptResult;

/// The most of a message's head that is read, and of a body that is read at a time.
const BUFFER: usize = 32 * 1024;
/// What a chunk of one byte has on the wire, its own lines with it, in bytes.
const CHUNKED: usize = 6;
/// How long a server may write nothing of an answer that is being passed on: nobody else can give its rest, so it is
/// waited for far longer than one that another server could give.
const PASSING_STALL: Duration = Duration::from_secs(5);
const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");

type Driven = Pin<Box<Connection<TokioIo<Metered>, Sending>>>;

/// A connection that speaks HTTP/1.1.
pub struct Conn {
    sender: SendRequest<Sending>,
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
        let (sender, connection) = Builder::new()
            .max_buf_size(BUFFER)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            connection: Some(Box::pin(connection)),
            traffic,
        })
    }

    /// See [`upstream::Conn::look`](crate::node::upstream::Conn::look). Guards against a connection that was closed since its
    /// last exchange (what is written to it would end as a reset), and against one that holds more than the answer
    /// before.
    pub fn look(&mut self) -> Option<CloseReason> {
        poll(
            &mut self.connection,
            &self.traffic,
            &mut Context::from_waker(Waker::noop()),
        );
        if self.traffic.is_odd() {
            Some(CloseReason::UnsolicitedBytes)
        } else if self.connection.is_none() {
            Some(CloseReason::ByPeer)
        } else if self.sender.is_ready() {
            None
        } else {
            Some(CloseReason::Finished)
        }
    }

    /// Makes an exchange.
    ///
    /// # Errors
    ///
    /// No answer's head was had.
    pub async fn exchange(
        &mut self,
        message: &Rc<Message>,
        left: Duration,
        begin: &dyn Fn(Served),
    ) -> Result<Ended, Broken> {
        let stall =
            Duration::from_secs_f64(response_stall_timeout_ms(left.as_secs_f64() * 1e3) / 1e3);
        self.traffic.begin(&message.sent);
        let body = Sending::new(message, &self.traffic);
        let send_stall = if body.is_held() {
            stall.max(SEND_STALL)
        } else {
            PASSING_STALL
        };
        let answer = self.sender.send_request(request(message, left, body));
        let answer = tokio::select! {
            biased;
            answer = drive(&mut self.connection, &self.traffic, answer) => answer.map_err(|error| {
                if error.is_parse() || self.traffic.is_flooded() {
                    log::line(format_args!("a server's answer is malformed: {error}"));
                    ConnectionError::InvalidResponse
                } else {
                    ConnectionError::Closed
                }
            }),
            error = self.traffic.stalls(stall, send_stall) => {
                log::line("a server's answer, or the request to it, does not go on");
                Err(error)
            }
        };
        match answer {
            Ok(answer) => Ok(self.read(answer, stall, begin).await),
            Err(error) => {
                self.connection = None;
                let has_unsolicited_bytes =
                    self.traffic.is_odd() || error == ConnectionError::InvalidResponse;
                Err(Broken {
                    sent: self.traffic.sent(),
                    error,
                    has_unsolicited_bytes,
                })
            }
        }
    }

    async fn read(
        &mut self,
        answer: Response<Incoming>,
        stall: Duration,
        begin: &dyn Fn(Served),
    ) -> Ended {
        let (head, body) = answer.into_parts();
        let report = head.headers.get("srv-load").and_then(read_report);
        let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
        let ending = ending(head.status, declined);
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        let served = |body| Served {
            status: head.status,
            body,
            content_type: content_type.clone(),
        };
        let begin = |passing| begin(served(ResponseBody::Passing(passing)));
        let begin: Option<&dyn Fn(BodyReceiver)> = if ending == AttemptResult::Served {
            Some(&begin)
        } else {
            None
        };
        let read = self.read_body(&head, body, stall, begin).await;
        if read.is_err() {
            self.connection = None;
        }
        let (ending, body) = match (ending, read) {
            (AttemptResult::Served, Err(StreamError::Connection(ConnectionError::Closed))) => {
                (AttemptResult::Reset, None)
            }
            (AttemptResult::Served, Err(StreamError::Connection(_))) => {
                (AttemptResult::Malformed, None)
            }
            (AttemptResult::Served, Err(StreamError::ClientLeft)) => {
                (AttemptResult::Cancelled, None)
            }
            (AttemptResult::Served, Ok(body)) => (AttemptResult::Served, body),
            (AttemptResult::ClientError, read) => (
                AttemptResult::ClientError,
                Some(read.ok().flatten().unwrap_or_default()),
            ),
            (ending, _) => (ending, None),
        };
        Ended {
            ending,
            report,
            served: body.map(|body| served(ResponseBody::Whole(body))),
        }
    }

    /// Reads an answer's body, as far as it can be held; one that is longer is passed on, where `begin` is given, and
    /// nothing of it is left to return. Guards against one that stops short, has no end or is beyond all bounds.
    async fn read_body(
        &mut self,
        head: &Parts,
        mut body: Incoming,
        stall: Duration,
        begin: Option<&dyn Fn(BodyReceiver)>,
    ) -> Result<Option<Bytes>, StreamError> {
        let told = body.size_hint().exact();
        // Only the end of the connection shows the end of a body of no stated length, and it must have been announced.
        let chunked = head.headers.contains_key(TRANSFER_ENCODING);
        let closes = head
            .headers
            .get(CONNECTION)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let endless = told.is_none() && !chunked && !closes && head.version != Version::HTTP_10;
        if endless || told.is_some_and(|told| told > MOST_PASSED as u64) {
            log::line("a server's answer is too large or does not tell its length");
            return Err(StreamError::Connection(ConnectionError::InvalidResponse));
        }
        if chunked {
            self.traffic.allow(CHUNKED * MOST_BODY);
        }
        let is_long = told.is_some_and(|told| told > MOST_BODY as u64);
        let mut held = Joined::default();
        loop {
            let Some(piece) = self.piece(&mut body, stall).await? else {
                return Ok(Some(held.whole()));
            };
            if !is_long && held.len() + piece.len() <= MOST_BODY {
                held.push(piece);
                continue;
            }
            let begin = begin.ok_or(StreamError::Connection(ConnectionError::InvalidResponse))?;
            let (sender, passing) = body_stream(told);
            begin(passing);
            let first = [held.whole(), piece];
            return self.pass_on(sender, first, body).await.map(|()| None);
        }
    }

    async fn pass_on(
        &mut self,
        mut sender: BodySender,
        first: [Bytes; 2],
        mut body: Incoming,
    ) -> Result<(), StreamError> {
        self.traffic.allow(CHUNKED * MOST_PASSED);
        let mut passed = 0;
        for piece in first {
            passed += piece.len();
            sender.send(piece).await?;
        }
        // Only the time spent waiting for the server counts against its deadline.
        let mut deadline = TransferDeadline::for_streaming(0.0);
        let mut waited = Duration::ZERO;
        loop {
            let due =
                Duration::from_secs_f64((deadline.due_ms() / 1e3 - waited.as_secs_f64()).max(0.0));
            let since = Instant::now();
            let Some(piece) = self.piece(&mut body, due.min(PASSING_STALL)).await? else {
                break;
            };
            waited += since.elapsed();
            deadline.record_bytes(piece.len());
            passed += piece.len();
            if passed > MOST_PASSED {
                log::line("a server's answer does not end");
                return Err(StreamError::Connection(ConnectionError::InvalidResponse));
            }
            sender.send(piece).await?;
        }
        sender.finish().await
    }

    /// The next piece of a body, or its end.
    async fn piece(
        &mut self,
        body: &mut Incoming,
        stall: Duration,
    ) -> Result<Option<Bytes>, StreamError> {
        loop {
            let frame = tokio::time::timeout(stall, body.frame());
            match drive(&mut self.connection, &self.traffic, frame).await {
                Ok(None) => return Ok(None),
                Ok(Some(Ok(frame))) => {
                    // Trailers are no part of the answer that its client is given.
                    if let Ok(piece) = frame.into_data() {
                        return Ok(Some(piece));
                    }
                }
                Ok(Some(Err(error))) if error.is_incomplete_message() => {
                    return Err(StreamError::Connection(ConnectionError::Closed));
                }
                _ => {
                    log::line("a server's answer is malformed or does not go on");
                    return Err(StreamError::Connection(ConnectionError::InvalidResponse));
                }
            }
        }
    }
}

/// A body as far as it is held.
#[derive(Default)]
struct Joined {
    first: Bytes,
    /// All of it, once it has come in more than one piece.
    joined: BytesMut,
}

impl Joined {
    fn len(&self) -> usize {
        self.first.len().max(self.joined.len())
    }

    fn push(&mut self, piece: Bytes) {
        if self.len() == 0 {
            self.first = piece;
            return;
        }
        if self.joined.is_empty() {
            self.joined
                .extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.joined.extend_from_slice(&piece);
    }

    fn whole(&mut self) -> Bytes {
        if self.joined.is_empty() {
            std::mem::take(&mut self.first)
        } else {
            std::mem::take(&mut self.joined).freeze()
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
    let is_of_the_system = std::error::Error::source(error)
        .is_some_and(<dyn std::error::Error + 'static>::is::<io::Error>);
    !is_of_the_system
        && !error.is_incomplete_message()
        && !error.is_canceled()
        && !error.is_closed()
}

/// Drives a connection and what waits for it as one: no task holds a connection that has been given up.
async fn drive<F: Future>(
    connection: &mut Option<Driven>,
    traffic: &Traffic,
    future: F,
) -> F::Output {
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

fn request(message: &Message, left: Duration, body: Sending) -> Request<Sending> {
    let mut request = Request::new(body);
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    let mut text = [0; 24]; // More than a u64 with its unit has.
    if let Some(left) = micros(left, &mut text).and_then(|text| HeaderValue::from_bytes(text).ok())
    {
        request.headers_mut().insert(REQ_DEADLINE, left);
    }
    request
        .headers_mut()
        .entry(HOST)
        .or_insert(HeaderValue::from_static("service.internal"));
    request
}
