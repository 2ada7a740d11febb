//! Health checks, which poll servers for their load before a request is sent, and ask after attempts
//! that are overdue.
//!
//! Polling is used where it costs little and responses come quickly: counts are then fresh when they
//! decide, also on a node that sees a request a second and hears too seldom of any server.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::event::{LoadReport, RequestId};
use crate::latency::{RunningMean, GAIN};
use crate::request::{Attempt, PendingRequest};
use crate::server_list::ServerId;
use crate::settings::{ReportSource, Settings};
use crate::timer::TimerKind;

/// Servers polled before a send.
pub(crate) const POLLED_SERVERS: usize = 5;
/// Polling is used where it costs no more than this share of the value of a result ...
const MAX_POLL_PRICE: f64 = 0.02;
/// ... and responses take no more than this share of a mean latency objective.
const MAX_POLL_SHARE: f64 = 0.02;
/// Polls that a request must have time for before it is sent.
const RESERVED_POLLS: f64 = 3.0;
/// An overdue attempt is asked after again after this share of a mean latency objective.
const OVERDUE_RETRY_SHARE: f64 = 0.125;
/// A server that reports fewer requests than this holds none.
const MIN_HELD: f64 = 0.5;

/// Whether servers are polled, and how long their responses take.
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

    /// Time that a request must have left for polls.
    pub fn reserve_ms(&self, objective_ms: f64) -> f64 {
        if self.enabled {
            RESERVED_POLLS * MAX_POLL_SHARE * objective_ms
        } else {
            0.0
        }
    }

    /// Takes note of a response; polling ends for good where health checks queue as requests do,
    /// because their reports are then too old.
    fn responded(&mut self, elapsed_ms: f64, objective_ms: f64) {
        let round_trip_ms = &mut self.round_trip_ms;
        round_trip_ms.add(elapsed_ms, GAIN);
        if round_trip_ms.is_confident() && round_trip_ms.mean > MAX_POLL_SHARE * objective_ms {
            self.enabled = false;
        }
    }
}

impl Balancer {
    /// Polls servers that a request may go to. `false`: there are none. Servers that do not respond in
    /// time are passed over.
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
            let timeout_ms = MAX_POLL_SHARE * self.objective_ms;
            self.set_request_timer(id, TimerKind::LoadPoll, timeout_ms);
        }
        polled
    }

    /// Asks a server for its load on behalf of a request; one health check at a time serves all.
    pub(crate) fn poll_load(&mut self, server_id: ServerId, id: RequestId) {
        let server = self
            .servers
            .get_mut(&server_id)
            .expect("a polled server is known");
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
                self.report_arrived(id, request, server_id, report);
            }
        }
    }

    fn report_arrived(
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
            self.resolve_overdue(id, attempt, server_id, report);
        }
        self.pending.insert(id, request);
    }

    /// The attempt of a request that a server should have answered by now, where it may be cancelled.
    fn overdue_attempt(&self, request: &PendingRequest, server_id: ServerId) -> Option<usize> {
        if request.answered || !self.settings.cancel {
            return None;
        }
        let min_ms = MAX_POLL_SHARE * self.objective_ms;
        let is_overdue = |attempt: &Attempt| {
            let due_ms = attempt.expected_latency_ms.max(min_ms);
            attempt.in_flight
                && attempt.server == server_id
                && self.now_ms - attempt.sent_at_ms >= due_ms
        };
        request.attempts.iter().position(is_overdue)
    }

    /// A server that holds nothing will not answer any more, whatever the cause, and the connection to
    /// it may be dead; one that holds something is asked again.
    fn resolve_overdue(
        &mut self,
        id: RequestId,
        attempt: usize,
        server_id: ServerId,
        report: LoadReport,
    ) {
        if report.in_flight.is_some_and(|held| held < MIN_HELD) {
            self.actions.push(Action::Cancel {
                request: id,
                attempt,
            });
            self.actions.push(Action::CloseIdle { server: server_id });
        } else {
            let after_ms = self.objective_ms * OVERDUE_RETRY_SHARE;
            self.set_request_timer(id, TimerKind::AttemptOverdue, after_ms);
        }
    }
}
