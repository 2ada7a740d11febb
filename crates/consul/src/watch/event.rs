//! What a watch is told, what it asks of its caller, and what it reports.

use std::fmt;
use std::rc::Rc;

use crate::json_stream::JsonStreamError;
use crate::mapping::MappedEndpoint;
use crate::snapshot::TooManyInstances;

/// What happens to a watch.
#[derive(Debug)]
pub enum Event<'a> {
    /// The time that [`Action::SetTimer`] named has come; also the first event of a watch.
    TimerExpired,
    /// The head of the response was received.
    Head {
        /// Its status code.
        status: u16,
        /// Its headers: names, in any case, and values.
        headers: &'a [(&'a str, &'a str)],
    },
    /// A piece of the response's body was received.
    Body(&'a [u8]),
    /// The response is complete.
    End,
    /// There is no connection, or it broke. The text says why, for the log.
    ConnectionFailed(String),
}

/// Why the body of a response cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// It is not a complete JSON array.
    Stream(JsonStreamError),
    /// It has too many instances.
    TooManyInstances(TooManyInstances),
    /// It is larger than [`MAX_RESPONSE_BYTES`](crate::MAX_RESPONSE_BYTES).
    TooLarge,
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stream(error) => write!(f, "{error}"),
            Self::TooManyInstances(error) => write!(f, "{error}"),
            Self::TooLarge => f.write_str("it is too large"),
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

/// What is wrong with an agent or its response.
#[derive(Clone, Debug, PartialEq)]
pub enum PollError {
    /// The agent cannot be queried, for this reason.
    Unreachable(String),
    /// The agent responded with this status code.
    Status(u16),
    /// The agent rejected the token, or requires one.
    Unauthorized,
    /// The agent did not respond in time.
    Timeout,
    /// The response cannot be used.
    InvalidResponse(ResponseError),
    /// Instances of the response cannot be parsed; the others count.
    MalformedInstances {
        /// How many.
        count: usize,
        /// The error of the first.
        first_error: String,
    },
    /// So many instances identify no endpoint by the operators' mapping.
    UnidentifiedInstances(usize),
    /// The index went back, did not change while the content did, or is missing: what the response
    /// says takes effect only once confirmed.
    InvalidIndex,
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::Status(status) => write!(f, "responded with status {status}"),
            Self::Unauthorized => f.write_str("rejected the token"),
            Self::Timeout => f.write_str("did not respond in time"),
            Self::InvalidResponse(error) => write!(f, "invalid response: {error}"),
            Self::MalformedInstances { count, first_error } => {
                write!(f, "{first_error} ({count} of them)")
            }
            Self::UnidentifiedInstances(count) => write!(
                f,
                "{count} instances identify no endpoint; see `id` in the operators' file"
            ),
            Self::InvalidIndex => f.write_str(
                "the index went back or did not change with the content; changes are deferred until confirmed",
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

/// What a complete response says.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceUpdate {
    /// Whether it is current.
    pub is_current: bool,
    /// The version of everything in it.
    pub index: u64,
    /// Increased when versions are not comparable with earlier ones.
    pub epoch: u64,
    /// New or changed endpoints.
    pub updated: Vec<Rc<MappedEndpoint>>,
    /// Keys of endpoints that are no longer described.
    pub removed: Vec<String>,
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a GET request to an agent, over a connection that may be kept. The caller adds the
    /// token.
    SendQuery {
        /// The agent, by its position.
        agent: usize,
        /// Path and parameters.
        path: String,
    },
    /// Abandon the query that is under way and close its connection.
    CloseConnection,
    /// A complete response was received. If nothing changed, it confirms what was reported before.
    Report(ServiceUpdate),
    /// No agent responds.
    ReportUnreachable,
    /// Send [`Event::TimerExpired`] at this time. It replaces the time that was set before.
    SetTimer(f64),
    /// Log an error: one of this kind begins at an agent.
    LogError {
        /// The agent, by its position.
        agent: usize,
        /// What is wrong.
        error: PollError,
    },
}
