//! Instructions of a balancer to the embedding node.

use std::fmt;

use crate::event::RequestId;
use crate::server_list::ServerId;

/// An instruction to the node. The balancer itself performs no I/O.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Attempts of a request are numbered from zero in the order of sending.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
    },
    /// Send a health check to a server, whose response carries its load report.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: the request is shed. Nothing was executed, or a repeat is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Milliseconds that the client should wait before it retries, if known.
        retry_after_ms: Option<f64>,
    },
    /// Final answer: the request failed and may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Subscribe to changes of the server list.
    Subscribe,
    /// Deliver [`Event::Timer`](crate::Event::Timer) with this number.
    SetTimer {
        /// Returned with the event; opaque to the node.
        timer: u64,
        /// Milliseconds from now.
        after_ms: f64,
    },
    /// Write a line to the node's log.
    Log(LogEvent),
}

/// An event for the operators' log. `Display` gives the text of the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The server list cannot be fetched; the previous one stays in use.
    ServerListUnavailable,
    /// The server list is received again.
    ServerListAvailable,
    /// A server is ejected as an outlier.
    ServerEjected(ServerId),
    /// An ejected server has served a request and is no longer ejected.
    ServerRecovered(ServerId),
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServerListUnavailable => f.write_str("server list: unavailable"),
            Self::ServerListAvailable => f.write_str("server list: available again"),
            Self::ServerEjected(server) => {
                write!(f, "outlier detection: server {} is ejected", server.0)
            }
            Self::ServerRecovered(server) => {
                write!(f, "outlier detection: server {} has recovered", server.0)
            }
        }
    }
}
