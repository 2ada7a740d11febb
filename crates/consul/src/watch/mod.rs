//! State machine that follows one service: it schedules the queries, selects the agents, processes
//! the responses, and handles failures and timeouts.
//!
//! A [`Watch`] owns the snapshot of the last complete response. Invariants: at most one query is in
//! flight, a timer is always set, and a response takes effect completely or not at all.

mod error_log;
mod event;
mod failover;
mod index;
mod rate_limit;

use crate::json_stream::JsonArrayStream;
use crate::mapping::Mapping;
use crate::query::Query;
use crate::response_head::ResponseHead;
use crate::snapshot::{Change, Snapshot};
use error_log::ErrorLog;
use failover::Failover;
use index::IndexTracker;
use rate_limit::{RateLimit, ResponseKind};

pub use event::{Action, Event, PollError, ResponseError, ServiceUpdate};

/// Maximum size of a response, in bytes: 20,000 instances of 2 KB, the size of one with two checks.
/// Only the instance being received is buffered; the limit guards against a response that never
/// ends.
pub const MAX_RESPONSE_BYTES: usize = 40 * 1024 * 1024;

/// Time that Consul's server and the network may take in addition to the wait of a blocking query,
/// in milliseconds.
const RESPONSE_GRACE_MS: f64 = 5_000.0;
/// Time without body data after which a response is abandoned, in milliseconds: a local agent sends
/// a response without pauses.
const STALL_TIMEOUT_MS: f64 = 5_000.0;
/// Maximum time for receiving a whole body, in milliseconds. Without it, a body that trickles in
/// would keep the source live indefinitely.
const RECEIVE_TIMEOUT_MS: f64 = 30_000.0;
/// Maximum response time of a query that is considered not to have blocked, in milliseconds.
const MAX_IMMEDIATE_RESPONSE_MS: f64 = 100.0;
const STATUS_OK: u16 = 200;
const STATUS_UNAUTHORIZED: u16 = 401;
const STATUS_FORBIDDEN: u16 = 403;

/// Settings of a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// The query.
    pub query: Query,
    /// The mapping of instances to endpoints.
    pub mapping: Mapping,
    /// The number of agents; at least one.
    pub agent_count: usize,
    /// The age beyond which a response is stale, in milliseconds.
    pub max_age_ms: f64,
    /// The minimum interval between responses beyond a burst, in milliseconds.
    pub response_interval_ms: f64,
}

impl WatchSettings {
    /// Settings with the default maximum age and response interval.
    #[must_use]
    pub fn new(query: Query, mapping: Mapping, agent_count: usize) -> Self {
        Self {
            query,
            mapping,
            agent_count: agent_count.max(1),
            max_age_ms: 5_000.0,
            response_interval_ms: 100.0,
        }
    }
}

#[derive(Debug)]
enum Phase {
    /// No query is in flight; the timer starts the next one.
    Idle,
    /// A query was sent; the response's head has not been received.
    AwaitingHead { sent_at_ms: f64 },
    /// The body is being received.
    ReceivingBody(Response),
}

/// A response whose body is being received.
#[derive(Debug)]
struct Response {
    sent_at_ms: f64,
    head_at_ms: f64,
    head: ResponseHead,
    stream: JsonArrayStream,
    received_bytes: usize,
}

/// Follows one service. See the [crate] documentation.
pub struct Watch {
    settings: WatchSettings,
    phase: Phase,
    snapshot: Snapshot,
    index: IndexTracker,
    failover: Failover,
    rate_limit: RateLimit,
    error_log: ErrorLog,
}

impl Watch {
    /// Creates a watch, which sends its first query on its first [`Event::TimerExpired`]. `seed`
    /// determines the jitter of its delays.
    #[must_use]
    pub fn new(settings: WatchSettings, seed: u64) -> Self {
        Self {
            phase: Phase::Idle,
            snapshot: Snapshot::default(),
            index: IndexTracker::default(),
            failover: Failover::new(settings.agent_count, seed),
            rate_limit: RateLimit::new(settings.response_interval_ms),
            error_log: ErrorLog::default(),
            settings,
        }
    }

    /// Number of distinct instances in the last complete response.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.snapshot.instance_count()
    }

    /// Handles an event that occurred at `now_ms`, and appends the actions to perform, in their
    /// order. Events of an abandoned query are ignored.
    pub fn handle(&mut self, now_ms: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        match (&mut self.phase, event) {
            (Phase::Idle, Event::TimerExpired) => self.send_query(now_ms, actions),
            (_, Event::TimerExpired) => {
                actions.push(Action::CloseConnection);
                self.fail(now_ms, PollError::Timeout, actions);
            }
            (
                Phase::AwaitingHead { .. } | Phase::ReceivingBody(_),
                Event::ConnectionFailed(reason),
            ) => self.fail(now_ms, PollError::Unreachable(reason), actions),
            (Phase::AwaitingHead { sent_at_ms }, Event::Head { status, headers }) => {
                let sent_at_ms = *sent_at_ms;
                if let Some(error) = status_error(status) {
                    actions.push(Action::CloseConnection);
                    return self.fail(now_ms, error, actions);
                }
                self.begin_response(now_ms, sent_at_ms, headers);
                actions.push(Action::SetTimer(now_ms + STALL_TIMEOUT_MS));
            }
            (Phase::ReceivingBody(_), Event::Body(piece)) => match self.receive(piece) {
                Ok(deadline_ms) => {
                    let stall_ms = now_ms + STALL_TIMEOUT_MS;
                    actions.push(Action::SetTimer(stall_ms.min(deadline_ms)));
                }
                Err(error) => {
                    actions.push(Action::CloseConnection);
                    self.fail(now_ms, PollError::InvalidResponse(error), actions);
                }
            },
            (Phase::ReceivingBody(_), Event::End) => self.end_response(now_ms, actions),
            _ => {}
        }
    }

    fn send_query(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.phase = Phase::AwaitingHead { sent_at_ms: now_ms };
        self.rate_limit.consume();
        let blocking_index = self.index.blocking_index;
        actions.push(Action::SendQuery {
            agent: self.failover.current_agent(),
            path: self.settings.query.path(blocking_index),
        });
        let max_wait_ms = if blocking_index > 0 {
            self.settings.query.max_wait_ms()
        } else {
            0.0
        };
        actions.push(Action::SetTimer(now_ms + max_wait_ms + RESPONSE_GRACE_MS));
    }

    fn begin_response(&mut self, now_ms: f64, sent_at_ms: f64, headers: &[(&str, &str)]) {
        self.snapshot.begin();
        self.phase = Phase::ReceivingBody(Response {
            sent_at_ms,
            head_at_ms: now_ms,
            head: ResponseHead::parse(headers),
            stream: JsonArrayStream::default(),
            received_bytes: 0,
        });
    }

    /// Receives a piece of the body; returns the deadline for the whole body.
    fn receive(&mut self, piece: &[u8]) -> Result<f64, ResponseError> {
        let Phase::ReceivingBody(response) = &mut self.phase else {
            return Ok(f64::INFINITY);
        };
        response.received_bytes += piece.len();
        let (snapshot, settings) = (&mut self.snapshot, &self.settings);
        let mut add_result = Ok(());
        let push_result = response.stream.push(piece, |element| {
            if add_result.is_ok() {
                add_result = snapshot.add(settings.query.api, &settings.mapping, element);
            }
        });
        push_result.map_err(ResponseError::Stream)?;
        add_result.map_err(ResponseError::TooManyInstances)?;
        if response.received_bytes > MAX_RESPONSE_BYTES {
            return Err(ResponseError::TooLarge);
        }
        Ok(response.head_at_ms + RECEIVE_TIMEOUT_MS)
    }

    fn end_response(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let Phase::ReceivingBody(response) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        if let Err(error) = response.stream.end() {
            let error = PollError::InvalidResponse(ResponseError::Stream(error));
            return self.fail(now_ms, error, actions);
        }
        self.log_instance_errors(now_ms, actions);
        // A malformed instance may be a ready endpoint, so the response must not count as current:
        // otherwise it would remove that endpoint.
        let is_complete = self.snapshot.malformed().is_none();
        let is_stale = response.head.is_stale(self.settings.max_age_ms);
        let change = self.snapshot.commit();
        let has_changes = !change.is_empty();
        let index = response.head.index.unwrap_or(0);
        if !self.index.record(index, has_changes) {
            self.log_error(now_ms, PollError::InvalidIndex, actions);
        }
        let Change { updated, removed } = change;
        actions.push(Action::Report(ServiceUpdate {
            is_current: is_complete && !is_stale,
            index,
            epoch: self.index.epoch,
            updated,
            removed,
        }));
        if self.failover.record_response(is_stale) {
            // The next agent may have no newer data, and a blocking query would then leave the
            // source stale for the whole wait.
            self.index.reset_blocking();
        }
        let is_immediate = now_ms - response.sent_at_ms <= MAX_IMMEDIATE_RESPONSE_MS;
        let response_kind = self.response_kind(is_stale || (!has_changes && is_immediate));
        let delay_ms = self.rate_limit.delay_ms(now_ms, response_kind);
        actions.push(Action::SetTimer(now_ms + delay_ms));
    }

    fn log_instance_errors(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if let Some(malformed) = self.snapshot.malformed() {
            let error = PollError::MalformedInstances {
                count: malformed.count,
                first_error: malformed.first_error.to_string(),
            };
            self.log_error(now_ms, error, actions);
        }
        let unidentified_count = self.snapshot.unidentified_count();
        if unidentified_count > 0 {
            let error = PollError::UnidentifiedInstances(unidentified_count);
            self.log_error(now_ms, error, actions);
        }
    }

    fn response_kind(&self, is_without_progress: bool) -> ResponseKind {
        if is_without_progress {
            ResponseKind::NoProgress
        } else if self.index.blocking_index > 0 {
            ResponseKind::Blocking
        } else if self.index.has_index() {
            ResponseKind::IndexReset
        } else {
            ResponseKind::NoIndex
        }
    }

    fn fail(&mut self, now_ms: f64, error: PollError, actions: &mut Vec<Action>) {
        self.phase = Phase::Idle;
        self.log_error(now_ms, error, actions);
        let retry = self.failover.record_failure();
        // The next agent's index may not be comparable with this one's, so the next query must not
        // block.
        self.index.reset_blocking();
        if retry.should_report_unreachable {
            actions.push(Action::ReportUnreachable);
        }
        actions.push(Action::SetTimer(now_ms + retry.delay_ms));
    }

    /// Logs an error of the current agent, unless one of the same kind has recently occurred there.
    fn log_error(&mut self, now_ms: f64, error: PollError, actions: &mut Vec<Action>) {
        let agent = self.failover.current_agent();
        if self.error_log.record(now_ms, agent, &error) {
            actions.push(Action::LogError { agent, error });
        }
    }
}

/// The error that a status code stands for; `None` for success.
fn status_error(status: u16) -> Option<PollError> {
    match status {
        STATUS_OK => None,
        STATUS_UNAUTHORIZED | STATUS_FORBIDDEN => Some(PollError::Unauthorized),
        _ => Some(PollError::Status(status)),
    }
}
