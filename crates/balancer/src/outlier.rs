//! Outlier detection: which results of attempts are faults of their servers, and when a server is ejected.
//!
//! A server that fails quickly, hangs or cannot be reached has a low count, so the counts alone would
//! favour it. After its ejection a server is on trial: it gets one request at a time until it serves one.

use crate::action::{Action, LogEvent};
use crate::balancer::Balancer;
use crate::event::{AttemptResult, Outcome};
use crate::latency::{LatencySample, RunningMean, HALF_LIFE_OBJECTIVES};
use crate::request::{Attempt, PendingRequest};
use crate::server::Server;

/// Duration of an ejection, and of withholding a quota group for which a server is overloaded, in mean
/// latency objectives.
const EJECTION_OBJECTIVES: f64 = 2.0;
/// Number of mean deviations by which the latency of an ordinary answer may exceed the mean (as in TCP's
/// retransmission time-out, RFC 6298).
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Number of consecutive malformed responses that counts as a fault. A healthy server, or the network,
/// occasionally causes a single one.
const MAX_CONSECUTIVE_MALFORMED: usize = 3;
/// Number of consecutive connections broken during a request that counts as a fault.
const MAX_CONSECUTIVE_RESETS: usize = 2;
/// Lower bound of a measured latency, in milliseconds. Latencies are divisors, so none may be zero.
const MIN_ELAPSED_MS: f64 = 0.001;

/// A result and the context in which it is judged.
struct Observation {
    result: AttemptResult,
    elapsed_ms: f64,
    /// Latency of the class as a multiple of the expected latency, before this result.
    class_multiple: RunningMean,
    /// Whether the server has served a request that was sent later. A time-out then indicates a dead
    /// connection, not a server that hangs or is overloaded.
    overtaken: bool,
}

impl Observation {
    /// Whether the server is at fault; `None` if the result gives no information about the server.
    fn is_fault(&self, server: &Server, attempt: &Attempt) -> Option<bool> {
        match self.result {
            AttemptResult::Served | AttemptResult::Overloaded => Some(false),
            AttemptResult::Malformed => {
                Some(server.consecutive_malformed >= MAX_CONSECUTIVE_MALFORMED)
            }
            AttemptResult::Reset => Some(server.consecutive_resets >= MAX_CONSECUTIVE_RESETS),
            AttemptResult::TimedOut => Some(!self.overtaken && self.is_overlong(attempt)),
            AttemptResult::Error | AttemptResult::Unreachable => Some(true),
            AttemptResult::Cancelled | AttemptResult::NotSent | AttemptResult::ClientError => None,
        }
    }

    /// Whether a time-out took at least as long as the slowest ordinary answer. A shorter one is not the
    /// server's fault.
    fn is_overlong(&self, attempt: &Attempt) -> bool {
        let longest = self.class_multiple.mean + TIMEOUT_DEVIATIONS * self.class_multiple.deviation;
        self.elapsed_ms >= longest * attempt.expected_latency_ms
    }

    /// Whether the elapsed time is a sample of the server's latency. Where servers are polled, a
    /// time-out concerns a single answer and not the load.
    fn measures_latency(&self, servers_are_polled: bool) -> bool {
        match self.result {
            AttemptResult::Served => true,
            AttemptResult::TimedOut => !servers_are_polled && !self.overtaken,
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
        if matches!(result, AttemptResult::Unreachable | AttemptResult::Reset) {
            self.disconnected_at_ms = Some(now_ms);
        }
    }

    /// Records whether an attempt reached the server; returns whether this one did and the previous
    /// one did not.
    fn newly_contacted(&mut self, result: AttemptResult) -> bool {
        let reached = !matches!(result, AttemptResult::Unreachable | AttemptResult::Reset);
        !std::mem::replace(&mut self.contacted, reached) && reached
    }

    fn request_served(&mut self, sent_at_ms: f64) -> Option<LogEvent> {
        self.latest_served_sent_at_ms = self.latest_served_sent_at_ms.max(sent_at_ms);
        let ejected = self.ejected_until_ms.take();
        ejected.map(|_| LogEvent::ServerRecovered(self.entry.server))
    }

    /// Ejects the server, or ejects it again after a failed trial, which is not logged.
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
    /// Updates the estimates with the result of an attempt, and ejects its server or ends its ejection.
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
            .expect("a server with an attempt in flight has a record");
        server.attempt_ended(outcome.result, now_ms);
        if !request.answered {
            self.idle_connections
                .record(attempt.on_idle_connection, outcome.result);
        }
        let observation = Observation {
            result: outcome.result,
            elapsed_ms: outcome.elapsed_ms.max(MIN_ELAPSED_MS),
            class_multiple: self.latency.by_class[request.class],
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
