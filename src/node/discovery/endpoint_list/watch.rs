//! One watch on the endpoint list: opened with a request, it receives lists line by line until it
//! fails.

use std::convert::Infallible;
use std::fmt;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};

use super::lines::LineBuffer;
use super::timing::SILENCE_TIMEOUT;
use crate::node::config::EndpointList;
use crate::node::discovery::connection::Connection;
use crate::node::discovery::updates::EndpointUpdates;

/// Why a watch ended.
#[derive(Debug)]
pub enum WatchError {
    /// There is no connection.
    Connect(io::Error),
    /// The connection broke, or what came is not HTTP.
    Http(hyper::Error),
    /// The request could not be built.
    Request(hyper::http::Error),
    /// It could not be opened in time.
    OpenTimeout,
    /// Discovery responded with this status.
    Status(StatusCode),
    /// Nothing was received for too long.
    Silent,
    /// A line began and did not end in time.
    LineTimeout,
    /// Discovery closed it.
    Closed,
    /// It delivered an invalid list. The held generation cannot be trusted: the next watch must
    /// request the whole list.
    Invalid(ListError),
}

/// Why a list from discovery is invalid.
#[derive(Debug)]
pub enum ListError {
    /// It is not the JSON of a list.
    Malformed(serde_json::Error),
    /// It changes an older generation than the held one: discovery has started anew, and the
    /// changes do not apply to what is held.
    GenerationWentBack,
    /// A line is too long.
    LineTooLong,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "{error}"),
            Self::Http(error) => write!(f, "{error}"),
            Self::Request(error) => write!(f, "{error}"),
            Self::OpenTimeout => f.write_str("opening it timed out"),
            Self::Status(status) => write!(f, "discovery responded with status {status}"),
            Self::Silent => f.write_str("nothing was received for too long"),
            Self::LineTimeout => f.write_str("a line did not end in time"),
            Self::Closed => f.write_str("discovery closed it"),
            Self::Invalid(error) => write!(f, "invalid list: {error}"),
        }
    }
}

impl std::error::Error for WatchError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Connect(error) => Some(error),
            Self::Http(error) => Some(error),
            Self::Request(error) => Some(error),
            Self::Invalid(error) => Some(error),
            _ => None,
        }
    }
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "{error}"),
            Self::GenerationWentBack => f.write_str("its generation went back"),
            Self::LineTooLong => f.write_str("a line is too long"),
        }
    }
}

impl std::error::Error for ListError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Malformed(error) => Some(error),
            Self::GenerationWentBack | Self::LineTooLong => None,
        }
    }
}

impl From<hyper::Error> for WatchError {
    fn from(error: hyper::Error) -> Self {
        Self::Http(error)
    }
}

/// What survives a watch.
#[derive(Debug)]
pub struct WatchState {
    /// The generation of the last list; `None`: the whole list must be requested.
    pub generation: Option<u64>,
    /// Whether the current watch has received anything.
    pub has_received: bool,
}

/// Opens a watch and passes its lists on, from the held generation or with the whole list first.
/// Dropping the future closes the connection.
///
/// # Errors
///
/// Returns only when the watch has ended; see [`WatchError`].
pub async fn run_watch(
    updates: &EndpointUpdates,
    address: SocketAddr,
    open_timeout: Duration,
    state: &mut WatchState,
) -> Result<Infallible, WatchError> {
    let opened = tokio::time::timeout(open_timeout, open(address, state.generation)).await;
    let (mut body, _connection) = opened.map_err(|_| WatchError::OpenTimeout)??;
    let mut lines = LineBuffer::default();
    // When the line that is incomplete now began.
    let mut line_started_at = None::<Instant>;
    loop {
        let piece = next_piece(&mut body, line_started_at).await?;
        state.has_received = true;
        let Some(piece) = piece else {
            continue;
        };
        lines.push(&piece);
        let mut completed_line = false;
        while let Some(line) = lines.next_line() {
            completed_line = true;
            let list = decode_list(&line, state.generation).map_err(WatchError::Invalid)?;
            updates.receive_list(&list);
            state.generation = Some(list.generation);
        }
        line_started_at = match line_started_at {
            _ if !lines.has_partial_line() => None,
            Some(started_at) if !completed_line => Some(started_at),
            _ => Some(Instant::now()),
        };
        if lines.is_too_long() {
            return Err(WatchError::Invalid(ListError::LineTooLong));
        }
    }
}

async fn open(
    address: SocketAddr,
    generation: Option<u64>,
) -> Result<(Incoming, Connection), WatchError> {
    let mut connection = Connection::open(address, |_| Ok(()))
        .await
        .map_err(WatchError::Connect)?;
    let from = generation
        .map(|generation| format!("&from={generation}"))
        .unwrap_or_default();
    let request = Request::get(format!("/discovery/hosts?watch=1{from}"))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(WatchError::Request)?;
    let response = connection.send(request).await?;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    Ok((response.into_body(), connection))
}

/// The next piece of the body; `None` for a frame without data.
async fn next_piece(
    body: &mut Incoming,
    line_started_at: Option<Instant>,
) -> Result<Option<Bytes>, WatchError> {
    let line_timeout = async {
        match line_started_at {
            Some(started_at) => {
                tokio::time::sleep_until((started_at + SILENCE_TIMEOUT).into()).await;
            }
            None => pending().await,
        }
    };
    let frame = tokio::select! {
        biased;
        frame = tokio::time::timeout(SILENCE_TIMEOUT, body.frame()) => frame,
        () = line_timeout => return Err(WatchError::LineTimeout),
    };
    let frame = frame.map_err(|_| WatchError::Silent)?;
    let frame = frame.ok_or(WatchError::Closed)??;
    Ok(frame.into_data().ok())
}

fn decode_list(line: &[u8], held_generation: Option<u64>) -> Result<EndpointList, ListError> {
    let list: EndpointList = serde_json::from_slice(line).map_err(ListError::Malformed)?;
    let goes_back = held_generation.is_some_and(|held| list.generation < held);
    if goes_back && !list.reset {
        return Err(ListError::GenerationWentBack);
    }
    Ok(list)
}
