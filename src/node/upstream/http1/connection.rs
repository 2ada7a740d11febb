//! An HTTP/1.1 connection to a server and its exchange.

use std::future::{poll_fn, Future};
use std::io::{self, Write};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use balancer::AttemptResult;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, HOST, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pool::{BytesSent, CloseReason, ConnectionError};

use super::metered::MeteredStream;
use super::progress::ExchangeProgress;
use super::request_body::AttemptBody;
use super::response_reader::{declines, load_report, STALL_TIMEOUT};
use crate::node::admin::log;
use crate::node::upstream::response::attempt_result;
use crate::node::upstream::stream::Stream;
use crate::node::upstream::{AttemptOutcome, Exchange, ExchangeError, UpstreamRequest};

/// Maximum size of a message head, and of the part of a body that is read at a time.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;
/// Buffer size for the value of `Req-Deadline`: the decimal digits of a `u64`, the unit and three spare bytes.
const MAX_DEADLINE_TEXT_BYTES: usize = 24;
const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("service.internal");
const CLOSE: HeaderValue = HeaderValue::from_static("close");
const CHUNKED: HeaderValue = HeaderValue::from_static("chunked");

/// The hyper future that drives a connection. It owns the socket and makes progress only while it is polled.
type HyperConnection = Pin<Box<Connection<TokioIo<MeteredStream>, AttemptBody>>>;

/// An HTTP/1.1 connection to a server.
pub struct Http1Connection {
    sender: SendRequest<AttemptBody>,
    /// `None` once it has ended or failed, which closes the socket.
    connection: Option<HyperConnection>,
    pub(super) progress: Rc<ExchangeProgress>,
}

impl Http1Connection {
    /// Starts HTTP/1.1 on a connected stream.
    ///
    /// # Errors
    ///
    /// The stream has failed.
    pub async fn new(stream: Stream) -> io::Result<Self> {
        let progress = Rc::<ExchangeProgress>::default();
        let io = TokioIo::new(MeteredStream::new(stream, Rc::clone(&progress)));
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            connection: Some(Box::pin(connection)),
            progress,
        })
    }

    /// Implements [`ServerConnection::close_reason`](crate::node::upstream::ServerConnection::close_reason). Detects
    /// an idle connection that was closed, on which a request would fail with a reset, and one that received bytes.
    pub fn close_reason(&mut self) -> Option<CloseReason> {
        let mut context = Context::from_waker(Waker::noop());
        poll_connection(&mut self.connection, &self.progress, &mut context);
        if self.progress.has_unsolicited_bytes() {
            Some(CloseReason::UnsolicitedBytes)
        } else if self.connection.is_none() {
            Some(CloseReason::ByPeer)
        } else if self.sender.is_ready() {
            None
        } else {
            Some(CloseReason::Finished)
        }
    }

    /// Implements [`ServerConnection::exchange`](crate::node::upstream::ServerConnection::exchange).
    ///
    /// # Errors
    ///
    /// The exchange failed before a response head arrived.
    pub async fn exchange(
        mut self,
        exchange: Exchange<'_>,
    ) -> Result<AttemptOutcome, ExchangeError> {
        let first_deadline = Instant::now() + exchange.remaining;
        let sent = self.send(exchange).await;
        let error = match sent {
            Ok(response) if self.progress.bytes_sent() == BytesSent::Complete => {
                // It has moved on if the client was still sending when the attempt began.
                let deadline = exchange.request.deadline.get().unwrap_or(first_deadline);
                return Ok(self.read_response(response, exchange, deadline).await);
            }
            Ok(response) => match early_outcome(&response) {
                Some(outcome) => return Ok(outcome),
                None => self.reject_early_response(),
            },
            Err(error) => error,
        };
        Err(ExchangeError {
            bytes_sent: self.progress.bytes_sent(),
            error,
            has_unsolicited_bytes: self.progress.has_unsolicited_bytes(),
        })
    }

    /// Sends a request and waits for the response head.
    async fn send(
        &mut self,
        exchange: Exchange<'_>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.progress
            .begin(&exchange.request.sent_attempts, &exchange.memory.heads);
        let body = AttemptBody::new(exchange.request, &self.progress);
        let request = hyper_request(exchange.request, exchange.remaining, body);
        let response = self.sender.send_request(request);
        tokio::select! {
            biased;
            response = drive(&mut self.connection, &self.progress, response) => {
                self.progress.record_head_complete();
                response.map_err(|error| {
                    if error.is_parse() || self.progress.exceeds_response_limit() {
                        log::line(format_args!("malformed response from a server: {error}"));
                        ConnectionError::InvalidResponse
                    } else {
                        ConnectionError::Closed
                    }
                })
            }
            () = self.progress.wait_for_send_stall(STALL_TIMEOUT) => {
                log::request_line(format_args!(
                    "request {}: a server read none of it for {} ms",
                    exchange.request.client_id(),
                    STALL_TIMEOUT.as_millis()
                ));
                Err(ConnectionError::Stalled)
            }
        }
    }

    /// Rejects a response that arrived before the last byte of the request was written: it is not the response to that
    /// request, which has not run.
    fn reject_early_response(&self) -> ConnectionError {
        self.progress.record_unsolicited_bytes();
        log::request_line("a server responded before it had the last byte of the request");
        ConnectionError::InvalidResponse
    }

    /// Awaits a future that depends on this connection while driving the connection.
    pub(super) async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        drive(&mut self.connection, &self.progress, future).await
    }
}

/// The outcome of an attempt whose response arrived before the last byte of the request was written, if a server may
/// respond so early: it is overloaded, or rejects the request itself. Neither is a fault of the server or its address.
/// Nothing more of the request is written, and the response is not forwarded.
fn early_outcome(response: &Response<Incoming>) -> Option<AttemptOutcome> {
    let result = attempt_result(response.status(), declines(response.headers()));
    matches!(
        result,
        AttemptResult::Overloaded | AttemptResult::ClientError
    )
    .then(|| AttemptOutcome {
        result,
        report: load_report(response.headers()),
        response: None,
    })
}

/// Polls a connection, and closes it once it has ended.
fn poll_connection(
    connection: &mut Option<HyperConnection>,
    progress: &ExchangeProgress,
    cx: &mut Context<'_>,
) {
    let Some(hyper_connection) = connection else {
        return;
    };
    if let Poll::Ready(result) = hyper_connection.as_mut().poll(cx) {
        if result.is_err_and(|error| is_caused_by_input(&error)) {
            progress.record_unsolicited_bytes();
        }
        *connection = None;
    }
}

/// Whether an error was caused by received bytes rather than by an I/O error or a close.
fn is_caused_by_input(error: &hyper::Error) -> bool {
    let is_io_error = std::error::Error::source(error)
        .is_some_and(<dyn std::error::Error + 'static>::is::<io::Error>);
    !is_io_error && !error.is_incomplete_message() && !error.is_canceled() && !error.is_closed()
}

/// Drives a connection and awaits a future that depends on it in the same task, so that dropping the returned future
/// stops both.
async fn drive<F: Future>(
    connection: &mut Option<HyperConnection>,
    progress: &ExchangeProgress,
    future: F,
) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|cx| {
        poll_connection(connection, progress, cx);
        future.as_mut().poll(cx)
    })
    .await
}

/// Writes a duration in microseconds, as `480000u`, into `buffer`. `None` if it does not fit.
fn encode_microseconds(duration: Duration, buffer: &mut [u8]) -> Option<&[u8]> {
    let capacity = buffer.len();
    let mut unused = &mut buffer[..];
    write!(unused, "{}u", duration.as_micros()).ok()?;
    let length = capacity - unused.len();
    Some(&buffer[..length])
}

fn hyper_request(
    request: &UpstreamRequest,
    remaining: Duration,
    body: AttemptBody,
) -> Request<AttemptBody> {
    let is_chunked = body.is_chunked();
    let mut hyper_request = Request::new(body);
    *hyper_request.method_mut() = request.method.clone();
    *hyper_request.uri_mut() = request.uri.clone();
    *hyper_request.headers_mut() = request.headers.clone();
    let headers = hyper_request.headers_mut();
    let mut buffer = [0; MAX_DEADLINE_TEXT_BYTES];
    let deadline = encode_microseconds(remaining, &mut buffer)
        .and_then(|text| HeaderValue::from_bytes(text).ok());
    if let Some(deadline) = deadline {
        headers.insert(REQ_DEADLINE, deadline);
    }
    headers.entry(HOST).or_insert(DEFAULT_HOST);
    headers.insert(CONNECTION, CLOSE);
    if is_chunked {
        // Without this header hyper sends no body with a GET request.
        headers.insert(TRANSFER_ENCODING, CHUNKED);
    }
    hyper_request
}
