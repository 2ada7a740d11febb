//! The protocol-independent interface to servers: requests, responses, connections, and failed exchanges with the
//! information whether the request may have run.
//!
//! Each protocol is a module with a connection type that dials, reports whether it can still be used, and performs one
//! exchange; [`ServerConnection`] is the enum of these types. An exchange consumes its connection: a response cannot be
//! taken for that of another request, whatever a server sends and when. Dropping an unfinished exchange closes the
//! socket.

pub(in crate::node) mod addresses;
mod http1;
pub(in crate::node) mod response;
pub mod servers;
mod stream;

use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::Counter;
use bytes::Bytes;
use flow_control::Reservation;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use pool::{Address, BytesSent, CloseReason, ConnectionError};

use crate::node::downstream::body_stream::{BodyReceiver, Upload};
use crate::node::downstream::request_ids::OpenRequestId;
use crate::node::memory::NodeMemory;
use balancer::{AttemptResult, LoadReport};
use stream::Stream;

/// A request as it is forwarded. All attempts send the same request except for the `Req-Deadline` header.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub uri: Uri,
    /// The client's headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The client's body.
    pub body: RequestBody,
    /// Counter of attempts whose last byte has been sent.
    pub sent_attempts: Counter,
    /// The time by which its client must have a response; the earliest possible one while the client may still be sending.
    /// `None` if it has none.
    pub deadline: Cell<Option<Instant>>,
    /// The time from which on no attempt may start to send the request; `None` without a limit.
    pub send_deadline: Cell<Option<Instant>>,
    /// The reservation of a long head, which the client's connection shares.
    pub head_memory: Option<Rc<Reservation>>,
    /// Its id, which stays reserved until its last attempt has ended.
    pub open_id: Option<Rc<OpenRequestId>>,
}

/// The body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Received completely, so that it can be sent again.
    Buffered(Bytes),
    /// Still being received. It can be sent again only while no attempt has taken more than its buffered prefix.
    Streamed(Upload),
}

/// The header with the client's id of a request.
const REQUEST_ID_HEADER: &str = "req-id";

impl UpstreamRequest {
    /// The id that the client assigned, for log lines; `-` if it is not text.
    #[must_use]
    pub fn client_id(&self) -> &str {
        let id = self.headers.get(REQUEST_ID_HEADER);
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Records that the request may have run and must not run again.
    pub fn record_possible_run(&self) {
        if let Some(id) = &self.open_id {
            id.record_possible_run();
        }
    }

    /// Records that the response to the request is a server's.
    pub fn record_served(&self) {
        if let Some(id) = &self.open_id {
            id.record_served();
        }
    }

    /// Whether an attempt may send the request now: no other attempt has consumed a part of a streamed body, and the
    /// send deadline has not passed. The send deadline passes when the client disconnects, or when servers may have
    /// discarded the idempotency key of an earlier attempt.
    #[must_use]
    pub fn may_be_sent(&self) -> bool {
        self.send_deadline
            .get()
            .is_none_or(|deadline| Instant::now() < deadline)
            && !matches!(&self.body, RequestBody::Streamed(upload) if upload.is_consumed())
    }
}

/// A server's response for the client.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// 200, or a client error.
    pub status: StatusCode,
    /// The body, unchanged.
    pub body: ResponseBody,
    /// The `Content-Type`, if the server sent one.
    pub content_type: Option<HeaderValue>,
    /// Time that the response waited for memory of the node, which is no part of the server's latency.
    pub memory_wait: Duration,
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// Received completely.
    Buffered(Bytes),
    /// Forwarded chunk by chunk while it is received. The reservation is held until the last byte has been written to
    /// the client.
    Streamed(BodyReceiver, Reservation),
}

/// The outcome of an attempt.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// The result that is reported to the balancer.
    pub result: AttemptResult,
    /// The server's load report, if the response had one.
    pub report: Option<LoadReport>,
    /// The buffered response for the client, if the attempt was served or is a client error.
    pub response: Option<UpstreamResponse>,
}

impl From<AttemptResult> for AttemptOutcome {
    fn from(result: AttemptResult) -> Self {
        Self {
            result,
            report: None,
            response: None,
        }
    }
}

/// An exchange that failed before a response head arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeError {
    /// The amount of the request that was sent. It decides whether the request may have run.
    pub bytes_sent: BytesSent,
    /// The failure of the connection.
    pub error: ConnectionError,
    /// Whether bytes arrived before the last byte of the request was written.
    pub has_unsolicited_bytes: bool,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            bytes_sent, error, ..
        } = self;
        write!(
            f,
            "exchange failed ({error:?}, request bytes sent: {bytes_sent:?})"
        )
    }
}

impl std::error::Error for ExchangeError {}

/// The input of one exchange on a connection.
#[derive(Clone, Copy)]
pub struct Exchange<'a> {
    /// The request.
    pub request: &'a Rc<UpstreamRequest>,
    /// The time left for the request, sent to the server as `Req-Deadline`.
    pub remaining: Duration,
    /// The budgets from which memory for the response is reserved.
    pub memory: &'a NodeMemory,
    /// Called with a response that is too long to be buffered. Its body is forwarded only while the exchange is polled.
    pub on_streamed_response: &'a dyn Fn(UpstreamResponse),
}

/// A connection to a server. It has a single owner and no task of its own, so that dropping it closes the socket at
/// once.
pub enum ServerConnection {
    /// HTTP/1.1 (RFC 9112).
    Http1(http1::Http1Connection),
}

impl ServerConnection {
    /// Connects to a server. Dropping the future aborts the dial.
    ///
    /// # Errors
    ///
    /// The address cannot be reached.
    pub async fn dial(address: &Address) -> io::Result<Self> {
        http1::Http1Connection::new(Stream::connect(address).await?)
            .await
            .map(Self::Http1)
    }

    /// The reason why the connection cannot be used for an exchange, as far as the event loop has reported one; `None`
    /// if it can be used.
    pub fn close_reason(&mut self) -> Option<CloseReason> {
        match self {
            Self::Http1(connection) => connection.close_reason(),
        }
    }

    /// Performs the connection's only exchange, and closes the connection. Dropping the future closes it, too.
    ///
    /// # Errors
    ///
    /// The exchange failed before a response head arrived.
    pub async fn exchange(self, exchange: Exchange<'_>) -> Result<AttemptOutcome, ExchangeError> {
        match self {
            Self::Http1(connection) => connection.exchange(exchange).await,
        }
    }
}
