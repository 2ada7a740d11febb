//! Sends queries to Consul's agents, one at a time, each on a connection of its own: a second response
//! of an agent cannot be taken for the response to another query.

use std::fmt;
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::{ACCEPT, HOST};
use hyper::{Request, Response};
use socket2::{SockRef, TcpKeepalive};

use super::token::{read_token, TokenError};
use crate::node::discovery::connection::Connection;

/// Timeout for connecting to an agent. Agents are assumed to be reachable with low network latency.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// If an agent's machine disappears without closing the connection, the node detects it after 20 s
/// rather than at the end of the blocking query: the connection is idle for `KEEPALIVE_IDLE`, and then
/// `KEEPALIVE_RETRIES` probes go unanswered, one each `KEEPALIVE_INTERVAL`.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_RETRIES: u32 = 2;
const TOKEN_HEADER: &str = "x-consul-token";

/// Error of a query.
#[derive(Debug)]
pub enum QueryError {
    /// The token cannot be read or is invalid.
    Token(TokenError),
    /// The request could not be built.
    Request(hyper::http::Error),
    /// The connection could not be established.
    Connect(io::Error),
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection broke, or the response is not HTTP.
    Http(hyper::Error),
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Token(error) => write!(f, "{error}"),
            Self::Request(error) => write!(f, "{error}"),
            Self::Connect(error) => write!(f, "{error}"),
            Self::ConnectTimeout => f.write_str("connecting timed out"),
            Self::Http(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for QueryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Token(error) => Some(error),
            Self::Request(error) => Some(error),
            Self::Connect(error) => Some(error),
            Self::ConnectTimeout => None,
            Self::Http(error) => Some(error),
        }
    }
}

/// A step of a query.
pub enum Progress {
    /// The response's head was received.
    Head(Response<Incoming>),
    /// A piece of the response's body was received.
    Body(Bytes),
    /// The response is complete.
    End,
    /// The query failed; its connection is closed.
    Failed(QueryError),
}

/// A response's head and the connection on which it was received.
struct ReceivedHead {
    response: Response<Incoming>,
    connection: Connection,
}

type HeadFuture = Pin<Box<dyn Future<Output = Result<ReceivedHead, QueryError>>>>;

enum State {
    Idle,
    AwaitingHead(HeadFuture),
    ReceivingBody(Incoming),
}

/// The query in progress, if any, and its connection.
pub struct Exchange {
    agents: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
    state: State,
    connection: Option<Connection>,
}

impl Exchange {
    pub fn new(agents: Vec<SocketAddr>, token_file: Option<PathBuf>) -> Self {
        Self {
            agents,
            token_file,
            state: State::Idle,
            connection: None,
        }
    }

    /// Starts a query. The previous query must have ended or been closed.
    pub fn send(&mut self, agent: usize, path: &str) {
        self.close();
        let address = self.agents[agent];
        let request = self.request(address, path);
        self.state = State::AwaitingHead(Box::pin(async move {
            let request = request?;
            let mut connection = connect(address).await?;
            let response = connection.send(request).await.map_err(QueryError::Http)?;
            Ok(ReceivedHead {
                response,
                connection,
            })
        }));
    }

    /// Starts to receive a response's body, unless the query was closed when its head was handled.
    pub fn receive_body(&mut self, body: Incoming) {
        if self.connection.is_some() {
            self.state = State::ReceivingBody(body);
        }
    }

    /// Cancels the query and closes the connection.
    pub fn close(&mut self) {
        self.state = State::Idle;
        self.connection = None;
    }

    /// Waits for the next step of the query; never completes if there is no query. Cancel safe.
    pub async fn next(&mut self) -> Progress {
        let progress = match &mut self.state {
            State::Idle => pending().await,
            State::AwaitingHead(head) => match head.await {
                Ok(ReceivedHead {
                    response,
                    connection,
                }) => {
                    self.connection = Some(connection);
                    Progress::Head(response)
                }
                Err(error) => Progress::Failed(error),
            },
            State::ReceivingBody(body) => match body.frame().await {
                Some(Ok(frame)) => Progress::Body(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => Progress::Failed(QueryError::Http(error)),
                None => Progress::End,
            },
        };
        match &progress {
            Progress::Head(_) => self.state = State::Idle,
            Progress::End | Progress::Failed(_) => self.close(),
            Progress::Body(_) => {}
        }
        progress
    }

    fn request(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Request<Empty<Bytes>>, QueryError> {
        let mut request = Request::get(path)
            .header(HOST, address.to_string())
            .header(ACCEPT, "application/json");
        if let Some(file) = &self.token_file {
            request = request.header(TOKEN_HEADER, read_token(file).map_err(QueryError::Token)?);
        }
        request.body(Empty::new()).map_err(QueryError::Request)
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, QueryError> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let connecting = Connection::open(address, |stream| {
        SockRef::from(stream).set_tcp_keepalive(&keepalive)
    });
    tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| QueryError::ConnectTimeout)?
        .map_err(QueryError::Connect)
}
