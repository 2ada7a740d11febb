//! Input events, actions, errors and reports of a watch.

use std::fmt;
use std::rc::Rc;

use crate::json_stream::JsonStreamError;
use crate::mapping::MappedEndpoint;
use crate::snapshot::TooManyInstances;

/// An input event of a watch.
#[derive(Debug)]
pub enum Event<'a> {
    /// The timer of [`Action::SetTimer`] has expired. Also the first event of a watch, which starts
    /// it.
    TimerExpired,
    /// The head of the response was received.
    Head {
        /// The status code.
        status: u16,
        /// The headers: case-insensitive names, and values.
        headers: &'a [(&'a str, &'a str)],
    },
    /// A piece of the response's body was received.
    Body(&'a [u8]),
    /// The response is complete.
    End,
    /// The connection could not be established, or was lost. The text is the reason, for the log.
    ConnectionFailed(String),
}

/// The reason why the body of a response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The body is not a complete JSON array.
    Stream(JsonStreamError),
    /// The body has too many instances.
    TooManyInstances(TooManyInstances),
    /// The body is larger than [`MAX_RESPONSE_BYTES`](crate::MAX_RESPONSE_BYTES).
    TooLarge,
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stream(error) => write!(f, "{error}"),
            Self::TooManyInstances(error) => write!(f, "{error}"),
            Self::TooLarge => f.write_str("response body too large"),
        }
    }
}

impl std::error::Error for ResponseError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Stream(error) => Some(error),
            Self::TooManyInstances(error) => Some(error),
            Self::TooLarge => None,
        }
    }
}

/// An error in querying an agent, or in its response.
#[derive(Clone, Debug, PartialEq)]
pub enum PollError {
    /// The connection to the agent failed, for this reason.
    Unreachable(String),
    /// The agent responded with this status code.
    Status(u16),
    /// The agent rejected the token, or requires one.
    Unauthorized,
    /// The agent did not respond in time.
    Timeout,
    /// The response was rejected as a whole.
    InvalidResponse(ResponseError),
    /// Some instances of the response could not be parsed; the others are used.
    MalformedInstances {
        /// The number of these instances.
        count: usize,
        /// The error of the first one.
        first_error: String,
    },
    /// This number of instances do not identify an endpoint under the operators' mapping.
    UnidentifiedInstances(usize),
    /// The index decreased, did not change although the content did, or is missing. The response's
    /// changes take effect only once confirmed.
    InvalidIndex,
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::Status(status) => write!(f, "responded with status {status}"),
            Self::Unauthorized => f.write_str("rejected the token or requires one"),
            Self::Timeout => f.write_str("did not respond in time"),
            Self::InvalidResponse(error) => write!(f, "invalid response: {error}"),
            Self::MalformedInstances { count, first_error } => {
                write!(f, "skipped {count} instances; first error: {first_error}")
            }
            Self::UnidentifiedInstances(count) => write!(
                f,
                "{count} instances do not identify an endpoint; check `id` in the operators' file"
            ),
            Self::InvalidIndex => f.write_str(
                "X-Consul-Index is missing, decreased or did not change with the content; changes are deferred until confirmed",
            ),
        }
    }
}

impl std::error::Error for PollError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::InvalidResponse(error) => Some(error),
            _ => None,
        }
    }
}

/// The content of a complete response, as changes since the previous one.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceUpdate {
    /// Whether the response is not stale and all of its instances could be parsed.
    pub is_current: bool,
    /// The response's index: the version of everything in it.
    pub index: u64,
    /// Increased whenever indexes are not comparable with earlier ones.
    pub epoch: u64,
    /// New or changed endpoints.
    pub updated: Vec<Rc<MappedEndpoint>>,
    /// Keys of endpoints that no instance describes any longer.
    pub removed: Vec<String>,
}

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a GET request to an agent, over a new connection. The caller adds the token.
    SendQuery {
        /// The agent's position in the configured order.
        agent: usize,
        /// The path and parameters.
        path: String,
    },
    /// Abort the query in flight and close its connection.
    CloseConnection,
    /// Process a complete response. One without changes confirms the earlier reports.
    Report(ServiceUpdate),
    /// Treat the source as unreachable: every agent has failed.
    ReportUnreachable,
    /// Send [`Event::TimerExpired`] at this time, in milliseconds. Replaces the previous timer.
    SetTimer(f64),
    /// Log an error of a kind that has not recently occurred at this agent.
    LogError {
        /// The agent's position in the configured order.
        agent: usize,
        /// The error.
        error: PollError,
    },
}
