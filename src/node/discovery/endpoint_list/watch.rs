//! A single watch on the endpoint list: it is opened by a request, and receives lists, each of them a JSON object, until it
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

use super::json_objects::{JsonObjects, JsonObjectsError};
use super::timing::SILENCE_TIMEOUT;
use crate::node::config::EndpointList;
use crate::node::discovery::connection::Connection;
use crate::node::discovery::updates::EndpointUpdates;

/// Reason for the end of a watch.
#[derive(Debug)]
pub enum WatchError {
    /// The connection could not be established.
    Connect(io::Error),
    /// The connection broke, or the response is not HTTP.
    Http(hyper::Error),
    /// The request could not be built.
    Request(hyper::http::Error),
    /// The watch was not opened in time.
    OpenTimeout,
    /// Discovery responded with this status.
    Status(StatusCode),
    /// Nothing was received for [`SILENCE_TIMEOUT`].
    SilenceTimeout,
    /// A list began but did not end within [`SILENCE_TIMEOUT`].
    ListTimeout,
    /// Discovery closed the watch.
    Closed,
    /// Discovery delivered an invalid list. The current generation is no longer reliable, so the next
    /// watch must request the complete list.
    Invalid(ListError),
}

/// Error in a list from discovery.
#[derive(Debug)]
pub enum ListError {
    /// The object is not an endpoint list.
    Malformed(serde_json::Error),
    /// A list of changes has a lower generation than the current list: discovery has restarted, and
    /// the changes do not apply to the current list.
    GenerationDecreased,
    /// The stream is not a sequence of JSON objects, or one of them is too long.
    Undelimited(JsonObjectsError),
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "{error}"),
            Self::Http(error) => write!(f, "{error}"),
            Self::Request(error) => write!(f, "{error}"),
            Self::OpenTimeout => f.write_str("opening timed out"),
            Self::Status(status) => write!(f, "discovery responded with status {status}"),
            Self::SilenceTimeout => f.write_str("no data was received in time"),
            Self::ListTimeout => f.write_str("a list did not end in time"),
            Self::Closed => f.write_str("discovery closed the watch"),
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
            Self::GenerationDecreased => f.write_str("its generation decreased"),
            Self::Undelimited(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ListError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Malformed(error) => Some(error),
            Self::Undelimited(error) => Some(error),
            Self::GenerationDecreased => None,
        }
    }
}

impl From<hyper::Error> for WatchError {
    fn from(error: hyper::Error) -> Self {
        Self::Http(error)
    }
}

impl From<ListError> for WatchError {
    fn from(error: ListError) -> Self {
        Self::Invalid(error)
    }
}

impl From<JsonObjectsError> for WatchError {
    fn from(error: JsonObjectsError) -> Self {
        Self::Invalid(ListError::Undelimited(error))
    }
}

/// State that is kept across watches.
#[derive(Debug)]
pub struct WatchState {
    /// The generation of the latest list; `None` if the complete list must be requested.
    pub generation: Option<u64>,
    /// Whether the current watch has received anything.
    pub has_received: bool,
}

/// Opens a watch and passes its lists to `updates`. The watch begins at the current generation or,
/// without one, with the complete list. Dropping the future closes the connection.
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
    let mut objects = JsonObjects::default();
    // Start time of the current incomplete list.
    let mut list_started_at = None::<Instant>;
    loop {
        let piece = next_piece(&mut body, list_started_at).await?;
        state.has_received = true;
        let Some(piece) = piece else {
            continue;
        };
        let mut unread = &piece[..];
        while let Some(object) = objects.next_object(&mut unread)? {
            list_started_at = None;
            let list = decode_list(&object, state.generation)?;
            updates.receive_list(&list);
            state.generation = Some(list.generation);
        }
        if objects.is_within_object() {
            list_started_at.get_or_insert_with(Instant::now);
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

/// Returns the next piece of the body; `None` for a frame without data.
async fn next_piece(
    body: &mut Incoming,
    list_started_at: Option<Instant>,
) -> Result<Option<Bytes>, WatchError> {
    let list_timeout = async {
        match list_started_at {
            Some(started_at) => {
                tokio::time::sleep_until((started_at + SILENCE_TIMEOUT).into()).await;
            }
            None => pending().await,
        }
    };
    let frame = tokio::select! {
        biased;
        frame = tokio::time::timeout(SILENCE_TIMEOUT, body.frame()) => frame,
        () = list_timeout => return Err(WatchError::ListTimeout),
    };
    let frame = frame.map_err(|_| WatchError::SilenceTimeout)?;
    let frame = frame.ok_or(WatchError::Closed)??;
    Ok(frame.into_data().ok())
}

fn decode_list(object: &[u8], current_generation: Option<u64>) -> Result<EndpointList, ListError> {
    let list: EndpointList = serde_json::from_slice(object).map_err(ListError::Malformed)?;
    let is_older = current_generation.is_some_and(|current| list.generation < current);
    if is_older && !list.reset {
        return Err(ListError::GenerationDecreased);
    }
    Ok(list)
}
