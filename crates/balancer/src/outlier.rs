//! Outlier detection: what the result of an attempt says of its server, and when a server is ejected.
//!
//! A server that fails quickly, hangs or cannot be reached has a low count, so the counts alone would
//! favour it. An ejected server is on trial once its time is over, until it serves a request.

use crate::action::{Action, LogEvent};
use crate::balancer::Balancer;
use crate::event::{AttemptResult, Outcome};
use crate::latency::{LatencySample, RunningMean, HALF_LIFE_OBJECTIVES};
use crate::request::{Attempt, PendingRequest};
use crate::server::Server;

/// A server is ejected, or not sent a quota group that it is overloaded for, for this many mean
/// latency objectives.
const EJECTION_OBJECTIVES: f64 = 2.0;
/// Mean deviations beyond the mean latency that are no ordinary answer (as TCP's time-out, RFC 6298).
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Malformed responses in a row that are no accident: a good server, or the network, has one at times.
const MAX_CONSECUTIVE_MALFORMED: usize = 3;
/// Connections broken under a request in a row that are no accident.
const MAX_CONSECUTIVE_RESETS: usize = 2;
/// No answer takes no time: other latencies are measured in it.
const MIN_ELAPSED_MS: f64 = 0.001;

/// One result, as it is judged.
struct Observation {
    result: AttemptResult,
    elapsed_ms: f64,
    /// Latency of the class, as a multiple of the expected one, before this result.
    usual: RunningMean,
    /// Whether the server has served a request that was sent later. Then a time-out is a connection
    /// that fell silent, and not a server that hangs or is crowded.
    overtaken: bool,
}

impl Observation {
    /// Whether the server is at fault; `None` if the result says nothing of the server.
    fn is_fault(&self, server: &Server, attempt: &Attempt) -> Option<bool> {
        match self.result {
            AttemptResult::Served | AttemptResult::Overloaded => Some(false),
            AttemptResult::Malformed => {
                Some(server.consecutive_malformed >= MAX_CONSECUTIVE_MALFORMED)
            }
            AttemptResult::Reset => Some(server.consecutive_resets >= MAX_CONSECUTIVE_RESETS),
            AttemptResult::TimedOut => Some(!self.overtaken && self.exceeds_usual(attempt)),
            AttemptResult::Error | AttemptResult::Unreachable => Some(true),
            AttemptResult::Cancelled | AttemptResult::NotSent | AttemptResult::ClientError => None,
        }
    }

    /// A time-out shorter than an answer may ordinarily take says nothing of the server.
    fn exceeds_usual(&self, attempt: &Attempt) -> bool {
        let longest = self.usual.mean + TIMEOUT_DEVIATIONS * self.usual.deviation;
        self.elapsed_ms >= longest * attempt.expected_latency_ms
    }

    /// Whether the time it took is a measure of the server's latency. Where counts are fresh a time-out
    /// tells of the one answer, not of the load.
    fn measures_latency(&self, counts_are_fresh: bool) -> bool {
        match self.result {
            AttemptResult::Served => true,
            AttemptResult::TimedOut => !counts_are_fresh && !self.overtaken,
            _ => false,
        }
    }
}

impl Server {
    fn count_consecutive(&mut self, result: AttemptResult) {
        let next = |count: usize, counted: AttemptResult| {
            if result == counted {
                count + 1
            } else {
                0
            }
        };
        self.consecutive_malformed = next(self.consecutive_malformed, AttemptResult::Malformed);
        self.consecutive_resets = next(self.consecutive_resets, AttemptResult::Reset);
    }

    fn attempt_ended(&mut self, result: AttemptResult, now_ms: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_used_at_ms = now_ms;
        self.count_consecutive(result);
    }

    /// Whether it was reached now, and not by the attempt before.
    fn newly_contacted(&mut self, result: AttemptResult) -> bool {
        let reached = !matches!(result, AttemptResult::Unreachable | AttemptResult::Reset);
        !std::mem::replace(&mut self.contacted, reached) && reached
    }

    fn request_served(&mut self, sent_at_ms: f64) -> Option<LogEvent> {
        self.latest_served_sent_at_ms = self.latest_served_sent_at_ms.max(sent_at_ms);
        let ejected = self.ejected_until_ms.take();
        ejected.map(|_| LogEvent::ServerRecovered(self.entry.server))
    }

    /// Ejects it, or does so again after a failed trial, which is not logged.
    fn eject(&mut self, now_ms: f64, until_ms: f64) -> Option<LogEvent> {
        let ejected = self.ejected_until_ms;
        if ejected.is_some_and(|until_ms| until_ms > now_ms) {
            return None;
        }
        self.ejected_until_ms = Some(until_ms);
        ejected
            .is_none()
            .then_some(LogEvent::ServerEjected(self.entry.server))
    }
}

impl Balancer {
    /// Learns from the result of an attempt, and ejects its server or ends its ejection.
    pub(crate) fn record_result(
        &mut self,
        request: &PendingRequest,
        attempt: &Attempt,
        outcome: &Outcome,
    ) {
        let now_ms = self.now_ms;
        let server = self
            .servers
            .get_mut(&attempt.server)
            .expect("a server with an attempt in flight is kept");
        server.attempt_ended(outcome.result, now_ms);
        if !request.answered {
            self.idle_connections
                .record(attempt.on_idle_connection, outcome.result);
        }
        let observation = Observation {
            result: outcome.result,
            elapsed_ms: outcome.elapsed_ms.max(MIN_ELAPSED_MS),
            usual: self.latency.by_class[request.class],
            overtaken: server.latest_served_sent_at_ms > attempt.sent_at_ms,
        };
        let Some(fault) = observation.is_fault(server, attempt) else {
            return;
        };
        let until_ms = now_ms + EJECTION_OBJECTIVES * self.objective_ms;
        if outcome.result == AttemptResult::Overloaded {
            server.mark_overloaded(request.quota_group, until_ms);
        }
        if observation.measures_latency(self.health_checks.enabled) {
            let sample = LatencySample {
                now_ms,
                half_life_ms: self.traffic.half_life_ms,
                shared_half_life_ms: HALF_LIFE_OBJECTIVES * self.objective_ms,
                class: request.class,
                machine_kind: server.entry.machine_kind,
                elapsed_ms: observation.elapsed_ms,
                depth: attempt.depth,
                expected_ms: attempt.expected_latency_ms,
            };
            self.latency.record(&sample, &mut server.estimate);
        }
        if server.newly_contacted(outcome.result) {
            self.sampler.server_contacted(attempt.server);
        }
        let event = if outcome.result == AttemptResult::Served {
            self.served.push(now_ms);
            server.request_served(attempt.sent_at_ms)
        } else if fault {
            server.eject(now_ms, until_ms)
        } else {
            None
        };
        self.actions.extend(event.map(Action::Log));
    }
}
