//! A request that has no final answer yet or has an attempt in flight: its record, and its path from
//! acceptance to the final answer.
//!
//! `Balancer::pending` owns the records. A record is removed when the request has its final answer and
//! no attempt is in flight; each request gets exactly one final answer.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::event::{Outcome, Request, RequestId};
use crate::server::Server;
use crate::server_list::{ServerEntry, ServerId};
use crate::timer::TimerKind;

/// Number of attempt lists kept for reuse, so that a request allocates nothing. A node with more
/// concurrent requests allocates the rest.
const MAX_SPARE_ATTEMPT_LISTS: usize = 256;

/// One attempt of a request.
pub(crate) struct Attempt {
    pub server: ServerId,
    /// The server's entry at the time of sending; its record may be removed before the request is done.
    pub entry: ServerEntry,
    pub sent_at_ms: f64,
    /// Requests in flight at the server, including this one.
    pub depth: f64,
    pub expected_latency_ms: f64,
    /// Whether it was sent on a connection that had been idle for a mean latency objective.
    pub on_idle_connection: bool,
    pub in_flight: bool,
}

/// A request that is queued, waits for load reports, or has attempts in flight.
#[derive(Default)]
pub(crate) struct PendingRequest {
    pub class: usize,
    /// Group for which alone a server may be overloaded: the tenant if there are several, otherwise the
    /// class.
    pub quota_group: usize,
    /// The key of a request that must run in order.
    pub ordering_key: Option<Box<str>>,
    pub accepted_at_ms: f64,
    pub deadline_ms: f64,
    /// Servers polled for their load before the next attempt.
    pub polled: Vec<ServerId>,
    /// The polled servers that have responded.
    pub responded: Vec<ServerId>,
    pub attempts: Vec<Attempt>,
    /// Index of the first attempt that may have run or may still run.
    pub first_run: Option<usize>,
    pub answered: bool,
    /// Milliseconds until there may be capacity, if the last selection found too little.
    pub retry_after_ms: Option<f64>,
}

impl PendingRequest {
    /// Records by how much the shortest expected wait exceeds the longest admissible one. After that
    /// time enough of the queue will have drained, so the client can be asked to retry then.
    pub fn set_retry_after(&mut self, excess_ms: f64) {
        self.retry_after_ms = Some(excess_ms).filter(|ms| ms.is_finite() && *ms > 0.0);
    }

    /// The first attempt that may have run.
    pub fn first_run_attempt(&self) -> Option<&Attempt> {
        self.first_run.map(|index| &self.attempts[index])
    }
}

impl Balancer {
    pub(crate) fn accept(&mut self, request: Request) {
        let (id, now_ms) = (request.id, self.now_ms);
        let Some(class) = self.settings.classes.get(request.class) else {
            return self.actions.push(Action::Fail { request: id });
        };
        let several_tenants = self.settings.tenant_quotas_per_s.len() > 1;
        let pending = PendingRequest {
            class: request.class,
            quota_group: if several_tenants {
                request.tenant
            } else {
                request.class
            },
            ordering_key: request.key.filter(|_| class.ordered_by_key),
            accepted_at_ms: now_ms,
            deadline_ms: now_ms + request.timeout_ms,
            attempts: self.spare_attempt_lists.pop().unwrap_or_default(),
            ..PendingRequest::default()
        };
        self.record_arrival();
        self.retries.request_accepted(now_ms);
        self.refresh_warm_capacity();
        if !self.deadline_too_near(&pending)
            && self.join_key_queue(id, &pending, request.timeout_ms)
        {
            self.pending.insert(id, pending);
            return;
        }
        self.dispatch(id, pending);
    }

    /// Sends a request, for the first time or as a retry, after a poll of the servers' loads where
    /// polling is enabled; finishes the request if it cannot be sent.
    pub(crate) fn dispatch(&mut self, id: RequestId, mut request: PendingRequest) {
        if request.answered || self.deadline_too_near(&request) || !self.may_attempt(&request) {
            return self.finish_or_wait(id, request);
        }
        if self.health_checks.enabled
            && request.polled.is_empty()
            && self.poll_candidates(id, &mut request)
        {
            self.pending.insert(id, request);
            return;
        }
        let server = if request.attempts.is_empty() {
            self.select_first(&mut request)
        } else {
            self.select_for_retry(&mut request)
        };
        if let Some(server) = server {
            self.send(id, &mut request, server);
            self.pending.insert(id, request);
        } else {
            self.finish_or_wait(id, request);
        }
    }

    fn send(&mut self, id: RequestId, request: &mut PendingRequest, server_id: ServerId) {
        let now_ms = self.now_ms;
        let server = self
            .servers
            .get_mut(&server_id)
            .expect("a selected server has a record");
        let idle = server.is_idle(now_ms, self.objective_ms);
        let close_idle = idle && self.idle_connections.should_close(&mut self.random);
        if close_idle {
            self.actions.push(Action::CloseIdle { server: server_id });
        }
        server.record_send(now_ms, self.settings.slow_start_ms);
        let own_depth = server.in_flight as f64;
        let depth = if self.health_checks.enabled {
            server.count.unwrap_or(own_depth)
        } else {
            own_depth
        };
        let entry = server.entry.clone();
        if !request.attempts.is_empty() {
            self.retries.retry_sent(now_ms);
        }
        request.polled.clear();
        let expected_latency_ms = self.expected_latency_ms(depth);
        request.attempts.push(Attempt {
            server: server_id,
            entry,
            sent_at_ms: now_ms,
            depth,
            expected_latency_ms,
            on_idle_connection: idle && !close_idle,
            in_flight: true,
        });
        request.first_run = request.first_run.or(Some(request.attempts.len() - 1));
        self.actions.push(Action::Send {
            request: id,
            server: server_id,
        });
        self.schedule_overdue_poll(id, request, expected_latency_ms);
    }

    /// Sets a timer to poll the server if the answer is late, where the attempt could then be replaced.
    fn schedule_overdue_poll(&mut self, id: RequestId, request: &PendingRequest, expected_ms: f64) {
        let replaceable = self.settings.cancel && self.may_attempt(request);
        if self.health_checks.enabled && replaceable && expected_ms > 0.0 {
            let class_multiple = self.latency.by_class[request.class];
            let after_ms = (class_multiple.mean + class_multiple.deviation) * expected_ms;
            self.set_request_timer(id, TimerKind::AttemptOverdue, after_ms);
        }
    }

    /// Expected latency of an answer, in milliseconds, from the results of all servers. Where servers are
    /// polled it is proportional to the depth.
    fn expected_latency_ms(&self, depth: f64) -> f64 {
        let relative_depth = if self.health_checks.enabled {
            depth / self.latency.all.depth.mean.max(1.0)
        } else {
            1.0
        };
        self.latency.all.latency.mean * relative_depth
    }

    pub(crate) fn attempt_ended(&mut self, outcome: &Outcome) {
        let (id, index) = (outcome.request, outcome.attempt);
        let Some(mut request) = self.pending.remove(&id) else {
            return;
        };
        if !request.attempts.get(index).is_some_and(|a| a.in_flight) {
            self.pending.insert(id, request);
            return;
        }
        request.attempts[index].in_flight = false;
        let server = request.attempts[index].server;
        self.apply_report(server, outcome.report);
        self.record_result(&request, &request.attempts[index], outcome);
        let record = self.servers.get(&server);
        if record.is_some_and(Server::is_removable) {
            self.servers.remove(&server);
        }
        if request.first_run == Some(index) && !outcome.result.may_have_run() {
            request.first_run = None;
        }
        if outcome.result.may_still_run() {
            self.start_key_cooldown(&request);
        }
        request.answered |= outcome.complete;
        self.dispatch(id, request);
    }

    pub(crate) fn client_gone(&mut self, id: RequestId) {
        let Some(mut request) = self.pending.remove(&id) else {
            return;
        };
        request.answered = true;
        if self.settings.cancel {
            let attempts = request.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
            self.actions
                .extend(in_flight.map(|(attempt, _)| Action::Cancel {
                    request: id,
                    attempt,
                }));
        }
        self.finish_or_wait(id, request);
    }

    /// Gives the final answer if there is none yet and no attempt is in flight; the key's next request
    /// may then run. A rejection implies that a repeat is harmless, so it is given only if that holds.
    pub(crate) fn finish_or_wait(&mut self, id: RequestId, mut request: PendingRequest) {
        request.polled.clear();
        if request.attempts.iter().any(|attempt| attempt.in_flight) {
            self.pending.insert(id, request);
            return;
        }
        let idempotency = self.settings.classes[request.class].idempotency;
        let harmless = request.first_run.is_none() || idempotency.repeat_is_harmless();
        if !request.answered {
            self.actions.push(if harmless {
                Action::Reject {
                    request: id,
                    retry_after_ms: request.retry_after_ms,
                }
            } else {
                Action::Fail { request: id }
            });
        }
        self.leave_key_queue(id, request.ordering_key.as_deref());
        if self.spare_attempt_lists.len() < MAX_SPARE_ATTEMPT_LISTS {
            request.attempts.clear();
            self.spare_attempt_lists.push(request.attempts);
        }
    }
}
