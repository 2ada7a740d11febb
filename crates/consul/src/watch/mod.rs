//! Follows one service: which agent is queried when, what a response counts for, and what to do
//! when none comes.
//!
//! A [`Watch`] owns the snapshot of the last complete response. Invariants: at most one query is
//! under way, a timer is always set, and a response counts completely or not at all.

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
use rate_limit::{Outcome, RateLimit};

pub use event::{Action, Event, PollError, ResponseError, ServiceUpdate};

/// The largest response: 20,000 instances of 2 KB, the size of one with two checks. Only the
/// instance that is being received is held in memory; the limit ends a response without an end.
pub const MAX_RESPONSE_BYTES: usize = 40 * 1024 * 1024;

/// What Consul's server and the network may take beyond the wait of a blocking query.
const RESPONSE_GRACE_MS: f64 = 5_000.0;
/// A body of which nothing is received for this long is abandoned: a local agent sends a response
/// without pauses.
const STALL_TIMEOUT_MS: f64 = 5_000.0;
/// How long receiving a whole body may take. A body that trickles in would otherwise keep the source
/// live for ever.
const MAX_RECEIVE_MS: f64 = 30_000.0;
/// A response that takes no longer than this did not block.
const IMMEDIATE_MS: f64 = 100.0;
const STATUS_OK: u16 = 200;
const STATUS_UNAUTHORIZED: u16 = 401;
const STATUS_FORBIDDEN: u16 = 403;

/// How a service is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// The query.
    pub query: Query,
    /// How instances are mapped to endpoints.
    pub mapping: Mapping,
    /// The number of agents; at least one.
    pub agent_count: usize,
    /// The age beyond which a response is stale, in milliseconds.
    pub max_age_ms: f64,
    /// The interval between responses in quick succession, in milliseconds.
    pub response_interval_ms: f64,
}

impl WatchSettings {
    /// Settings with the default age and interval.
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
    /// No query is under way; the timer starts the next one.
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
    /// A watch that begins with its first [`Event::TimerExpired`]. `seed` determines the jitter of
    /// its delays.
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

    /// How many instances the last complete response had.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.snapshot.instance_count()
    }

    /// Handles one event that happened at `now_ms` and appends what must be done, in that order.
    /// Events of a query that was abandoned are ignored.
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

    /// Receives a piece of the body; returns by when the body must be complete.
    fn receive(&mut self, piece: &[u8]) -> Result<f64, ResponseError> {
        let Phase::ReceivingBody(response) = &mut self.phase else {
            return Ok(f64::INFINITY);
        };
        response.received_bytes += piece.len();
        let (snapshot, settings) = (&mut self.snapshot, &self.settings);
        let mut added = Ok(());
        let pushed = response.stream.push(piece, |element| {
            if added.is_ok() {
                added = snapshot.add(settings.query.api, &settings.mapping, element);
            }
        });
        pushed.map_err(ResponseError::Stream)?;
        added.map_err(ResponseError::TooManyInstances)?;
        if response.received_bytes > MAX_RESPONSE_BYTES {
            return Err(ResponseError::TooLarge);
        }
        Ok(response.head_at_ms + MAX_RECEIVE_MS)
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
        // An instance that could not be parsed may be a ready endpoint: the response must not
        // remove any.
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
            // The other agent may have nothing newer: a blocking query would leave the source stale
            // for the whole wait.
            self.index.reset_blocking();
        }
        let is_immediate = now_ms - response.sent_at_ms <= IMMEDIATE_MS;
        let outcome = self.outcome(is_stale || (!has_changes && is_immediate));
        let delay_ms = self.rate_limit.delay_ms(now_ms, outcome);
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
        let unidentified = self.snapshot.unidentified();
        if unidentified > 0 {
            let error = PollError::UnidentifiedInstances(unidentified);
            self.log_error(now_ms, error, actions);
        }
    }

    fn outcome(&self, is_idle: bool) -> Outcome {
        if is_idle {
            Outcome::Idle
        } else if self.index.blocking_index > 0 {
            Outcome::Blocking
        } else if self.index.has_index() {
            Outcome::IndexReset
        } else {
            Outcome::NoIndex
        }
    }

    fn fail(&mut self, now_ms: f64, error: PollError, actions: &mut Vec<Action>) {
        self.phase = Phase::Idle;
        self.log_error(now_ms, error, actions);
        let retry = self.failover.record_failure();
        // Another agent's index may count differently: it is queried for everything.
        self.index.reset_blocking();
        if retry.has_lost_all_agents {
            actions.push(Action::ReportUnreachable);
        }
        actions.push(Action::SetTimer(now_ms + retry.delay_ms));
    }

    /// Logs an error of the current agent, unless it continues.
    fn log_error(&mut self, now_ms: f64, error: PollError, actions: &mut Vec<Action>) {
        let agent = self.failover.current_agent();
        if self.error_log.record(now_ms, agent, &error) {
            actions.push(Action::LogError { agent, error });
        }
    }
}

/// The error of a response with this status code, if any.
fn status_error(status: u16) -> Option<PollError> {
    match status {
        STATUS_OK => None,
        STATUS_UNAUTHORIZED | STATUS_FORBIDDEN => Some(PollError::Unauthorized),
        _ => Some(PollError::Status(status)),
    }
}
