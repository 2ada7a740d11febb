//! Health checks, which poll servers for their load before a request is sent and when an attempt is
//! overdue.
//!
//! Polling is used where it costs little and responses are fast. Counts are then fresh at each decision,
//! even on a node with one request per second, which otherwise gets too few load reports of any server.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::event::{LoadReport, RequestId};
use crate::latency::{RunningMean, GAIN};
use crate::request::{Attempt, PendingRequest};
use crate::server_list::ServerId;
use crate::settings::{ReportSource, Settings};
use crate::timer::TimerKind;

/// Number of servers polled before a send.
pub(crate) const POLLED_SERVERS: usize = 5;
/// Highest price of one request's polls at which polling is used, as a fraction of a result's value.
const MAX_POLL_PRICE: f64 = 0.02;
/// Time-out of a poll, in mean latency objectives. Polling ends if the mean round trip exceeds it.
const POLL_TIMEOUT_OBJECTIVES: f64 = 0.02;
/// Number of poll time-outs that must fit between the sending of a request and its deadline.
const RESERVED_POLLS: f64 = 3.0;
/// Interval between polls of a server with an overdue attempt, in mean latency objectives.
const OVERDUE_REPOLL_OBJECTIVES: f64 = 0.125;
/// Reported number of requests in flight below which a server is considered to have none.
const MIN_IN_FLIGHT: f64 = 0.5;

/// Whether servers are polled before each send, and the round-trip time of health checks.
#[derive(Default)]
pub(crate) struct HealthChecks {
    pub enabled: bool,
    round_trip_ms: RunningMean,
}

impl HealthChecks {
    pub fn new(settings: &Settings) -> Self {
        let price = POLLED_SERVERS as f64 * settings.health_check_price;
        let reported = settings.report_source != ReportSource::Off;
        Self {
            enabled: settings.health_checks && reported && price <= MAX_POLL_PRICE,
            round_trip_ms: RunningMean::default(),
        }
    }

    /// Time reserved for polls before a request's deadline, in milliseconds; zero if servers are not polled.
    pub fn reserve_ms(&self, objective_ms: f64) -> f64 {
        if self.enabled {
            RESERVED_POLLS * POLL_TIMEOUT_OBJECTIVES * objective_ms
        } else {
            0.0
        }
    }

    /// Records the round-trip time of a health check. Disables polling permanently if the mean exceeds the
    /// time-out of a poll: the servers then queue health checks like requests, and reports are too old.
    fn responded(&mut self, elapsed_ms: f64, objective_ms: f64) {
        let round_trip_ms = &mut self.round_trip_ms;
        round_trip_ms.add(elapsed_ms, GAIN);
        if round_trip_ms.is_confident()
            && round_trip_ms.mean > POLL_TIMEOUT_OBJECTIVES * objective_ms
        {
            self.enabled = false;
        }
    }
}

impl Balancer {
    /// Polls servers that a request may go to; returns `false` if there are none. Servers that do not
    /// respond in time are skipped, unless none responds.
    pub(crate) fn poll_candidates(&mut self, id: RequestId, request: &mut PendingRequest) -> bool {
        request.responded.clear();
        let candidates = self.candidates(request);
        request.polled.extend(candidates.iter().map(|c| c.server));
        self.scratch.candidates = candidates;
        self.random.shuffle(&mut request.polled);
        request.polled.truncate(POLLED_SERVERS);
        for server_id in &request.polled {
            self.poll_load(*server_id, id);
        }
        let polled = !request.polled.is_empty();
        if polled {
            let timeout_ms = POLL_TIMEOUT_OBJECTIVES * self.objective_ms;
            self.set_request_timer(id, TimerKind::LoadPoll, timeout_ms);
        }
        polled
    }

    /// Requests a server's load on behalf of a request. Requests that wait for the same server share
    /// one health check.
    pub(crate) fn poll_load(&mut self, server_id: ServerId, id: RequestId) {
        let server = self
            .servers
            .get_mut(&server_id)
            .expect("a polled server has a record");
        if server.report_waiters.is_empty() {
            self.actions.push(Action::HealthCheck { server: server_id });
        }
        server.report_waiters.push(id);
    }

    pub(crate) fn health_checked(
        &mut self,
        server_id: ServerId,
        elapsed_ms: f64,
        report: Option<LoadReport>,
    ) {
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let waiters = std::mem::take(&mut server.report_waiters);
        let Some(report) = report else { return };
        self.apply_report(server_id, Some(report));
        self.health_checks.responded(elapsed_ms, self.objective_ms);
        for id in waiters {
            if let Some(request) = self.pending.remove(&id) {
                self.load_report_received(id, request, server_id, report);
            }
        }
    }

    fn load_report_received(
        &mut self,
        id: RequestId,
        mut request: PendingRequest,
        server_id: ServerId,
        report: LoadReport,
    ) {
        if request.polled.contains(&server_id) {
            request.responded.push(server_id);
            if request.responded.len() == request.polled.len() {
                return self.dispatch(id, request);
            }
        } else if let Some(attempt) = self.overdue_attempt(&request, server_id) {
            self.handle_overdue_attempt(id, attempt, server_id, report);
        }
        self.pending.insert(id, request);
    }

    /// Index of the request's overdue attempt at a server, if the attempt may be cancelled.
    fn overdue_attempt(&self, request: &PendingRequest, server_id: ServerId) -> Option<usize> {
        if request.answered || !self.settings.cancel {
            return None;
        }
        let min_ms = POLL_TIMEOUT_OBJECTIVES * self.objective_ms;
        let is_overdue = |attempt: &Attempt| {
            let due_ms = attempt.expected_latency_ms.max(min_ms);
            attempt.in_flight
                && attempt.server == server_id
                && self.now_ms - attempt.sent_at_ms >= due_ms
        };
        request.attempts.iter().position(is_overdue)
    }

    /// Cancels an overdue attempt if its server has no request in flight: whatever the cause, no answer
    /// will come, and the connection may be dead. Otherwise schedules another poll.
    fn handle_overdue_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        server_id: ServerId,
        report: LoadReport,
    ) {
        if report
            .in_flight
            .is_some_and(|in_flight| in_flight < MIN_IN_FLIGHT)
        {
            self.actions.push(Action::Cancel {
                request: id,
                attempt,
            });
            self.actions.push(Action::CloseIdle { server: server_id });
        } else {
            let after_ms = self.objective_ms * OVERDUE_REPOLL_OBJECTIVES;
            self.set_request_timer(id, TimerKind::AttemptOverdue, after_ms);
        }
    }
}
