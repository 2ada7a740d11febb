//! Events that the embedding node passes to a balancer: client requests, results of attempts, list
//! updates, timers and health checks.
//!
//! Times are in milliseconds. Events contain durations only; the time at which an event happened is a
//! separate argument of [`Balancer::handle`](crate::Balancer::handle).

use crate::server_list::{ServerId, ServerListUpdate};

/// Id of a client's request, assigned by the embedding node and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Ordering key; it has an effect only if the class is
    /// [`ordered_by_key`](crate::Class::ordered_by_key).
    pub key: Option<Box<str>>,
    /// Milliseconds until the client stops waiting.
    pub timeout_ms: f64,
}

impl Request {
    /// Creates a request of the first tenant without a key.
    #[must_use]
    pub fn new(id: RequestId, class: usize, timeout_ms: f64) -> Self {
        Self {
            id,
            class,
            tenant: 0,
            key: None,
            timeout_ms,
        }
    }
}

/// The load that a server reports; a value that it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight on the server.
    pub in_flight: Option<f64>,
    /// Requests queued on the server.
    pub queued: Option<f64>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A successful response.
    Served,
    /// An error response; the request may have run.
    Error,
    /// Rejected by the server's own load shedding; the request never ran.
    Overloaded,
    /// No response in time; the request may have run.
    TimedOut,
    /// No connection could be made; the request never ran.
    Unreachable,
    /// The connection broke; the request may have run.
    Reset,
    /// The response cannot be parsed or is incomplete; the request may have run.
    Malformed,
    /// The server rejected the request as invalid, as any other server would; the client gets that response.
    ClientError,
    /// Cancelled by the node; the request may have run.
    Cancelled,
    /// The request was never sent.
    NotSent,
}

impl AttemptResult {
    /// Whether the request may have taken effect.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Overloaded | Self::Unreachable | Self::NotSent)
    }

    /// Whether the request may still be running on the server.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt, numbered from zero in the order of sending.
    pub attempt: usize,
    /// Milliseconds since the attempt was sent.
    pub elapsed_ms: f64,
    /// The result of the attempt.
    pub result: AttemptResult,
    /// Whether the client has its final answer, from this outcome or from an earlier one.
    pub complete: bool,
    /// The server's load report, if the response carried one.
    pub report: Option<LoadReport>,
}

/// Something that happened to the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the server list.
    ServerList(ServerListUpdate),
    /// A client's request, which must get exactly one final answer.
    Request(Request),
    /// The streaming of a response to the client has begun. Causes no action.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// Other nodes suspect a server. It is still used if no candidate is healthy.
    Hint {
        /// The server.
        server: ServerId,
        /// Fraction, 0 to 1, of its ordinary traffic that it should receive; 1 withdraws an earlier hint.
        weight: f64,
    },
    /// The client disconnected and needs no answer.
    ClientGone(RequestId),
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) expired.
    Timer(u64),
    /// A health check ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// Milliseconds since the health check was sent.
        elapsed_ms: f64,
        /// The result of the health check.
        result: AttemptResult,
        /// The server's load report, if there was one.
        report: Option<LoadReport>,
    },
}
