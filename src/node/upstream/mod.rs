//! The seam to the servers: what goes out, what comes back, and whether it may have run, whatever protocol carries it.
//!
//! A protocol is a file of its own with a `Conn` that dials, looks whether it is fit for use, and makes one exchange at
//! a time; [`Conn`] is whichever it is. Dropping an exchange midway, and with it the connection, closes it.

pub(in crate::node) mod addresses;
pub(in crate::node) mod answers;
mod http1;
pub mod servers;
mod stream;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::Counter;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use pool::{Address, BytesSent, CloseReason, ConnectionError};

use crate::node::downstream::body_stream::{BodyReceiver, Upload};
use balancer::{AttemptResult, LoadReport};
use stream::Stream;

/// What goes to a server, the same with each attempt but for the deadline.
#[derive(Debug)]
pub struct Message {
    /// As the client sent it.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub uri: Uri,
    /// The client's headers without those of its connection.
    pub headers: HeaderMap,
    /// As the client sent it, or sends it.
    pub body: RequestBody,
    /// Counts the attempts whose last byte has gone out.
    pub sent: Counter,
    /// From when on it may not begin to go out, if that is so.
    pub until: Cell<Option<Instant>>,
}

/// The body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// It is here.
    Whole(Bytes),
    /// Its client is sending it yet.
    Passing(Upload),
}

impl Message {
    /// Whether it can go out: a body of which a part is gone cannot, and nothing goes for a client that has left, or
    /// again once servers may have forgotten that it went before.
    #[must_use]
    pub fn can_go(&self) -> bool {
        self.until.get().is_none_or(|until| Instant::now() < until)
            && !matches!(&self.body, RequestBody::Passing(upload) if upload.is_consumed())
    }
}

/// A server's answer for the client.
#[derive(Debug)]
pub struct Served {
    /// 200, or what the server objects to in the request.
    pub status: StatusCode,
    /// The body, unchanged.
    pub body: ResponseBody,
    /// Its type, where the server named one.
    pub content_type: Option<HeaderValue>,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// It is here.
    Whole(Bytes),
    /// It is passed on as it comes.
    Passing(BodyReceiver),
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    /// The outcome.
    pub ending: AttemptResult,
    /// The server's load report, if one came.
    pub report: Option<LoadReport>,
    /// The answer of one that was served or rejected.
    pub served: Option<Served>,
}

impl From<AttemptResult> for Ended {
    fn from(ending: AttemptResult) -> Self {
        Self {
            ending,
            report: None,
            served: None,
        }
    }
}

/// An exchange of which no answer's head was had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// How much of the request was out.
    pub sent: BytesSent,
    /// How the connection failed.
    pub error: ConnectionError,
    /// Whether bytes arrived that no request had asked for, or that are no response.
    pub has_unsolicited_bytes: bool,
}

/// A connection to a server. Whoever has it is the only one that moves it, so that dropping it closes the socket at
/// once.
pub enum Conn {
    /// HTTP/1.1 (RFC 9112).
    Http1(http1::Conn),
}

impl Conn {
    /// Connects to a server. Dropping it midway gives it up.
    ///
    /// # Errors
    ///
    /// It cannot be reached there.
    pub async fn dial(address: &Address) -> io::Result<Self> {
        http1::Conn::begin(Stream::connect(address).await?)
            .await
            .map(Self::Http1)
    }

    /// Looks whether it stands idle and fit for use as far as the event loop has heard. `None`: it does.
    pub fn look(&mut self) -> Option<CloseReason> {
        match self {
            Self::Http1(conn) => conn.look(),
        }
    }

    /// Makes an exchange; `left` is the request's time. An answer that is too long to be held goes to `begin`, and is
    /// passed on to whoever has that for as long as this is polled.
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
        match self {
            Self::Http1(conn) => conn.exchange(message, left, begin).await,
        }
    }
}
