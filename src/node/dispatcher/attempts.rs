//! Sends and cancels attempts, and reports their outcomes to the balancer.
//!
//! At most one attempt of a request is in flight. Each attempt that the balancer starts for a request in flight has
//! exactly one outcome, even if it is not sent.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::in_flight::{FinalResponse, InFlightAttempt, InFlightRequest};
use super::request_log::AttemptName;
use super::Dispatcher;
use crate::node::upstream::servers::RunningAttempt;
use crate::node::upstream::{AttemptOutcome, UpstreamResponse};
use balancer::{AttemptResult, Event, LoadReport, Outcome, RequestId, ServerId};

/// A callback that receives the cluster-wide key of a server and the result of an attempt sent to it.
pub(super) type AttemptObserver = Rc<dyn Fn(u64, AttemptResult)>;

/// The end of an attempt.
#[derive(Clone, Copy)]
pub(super) struct EndedAttempt {
    pub(super) number: usize,
    pub(super) server: ServerId,
    pub(super) elapsed: Duration,
    pub(super) result: AttemptResult,
    pub(super) report: Option<LoadReport>,
}

/// Whether the response of an attempt with this result is the final response to its request.
fn is_final(result: AttemptResult) -> bool {
    matches!(result, AttemptResult::Served | AttemptResult::ClientError)
}

impl Dispatcher {
    /// Calls `observer` with the result of each later attempt that ends by itself or times out; cancelled attempts
    /// are not reported. Replaces an earlier observer.
    pub fn observe_attempts(&self, observer: impl Fn(u64, AttemptResult) + 'static) {
        self.attempt_observer.replace(Some(Rc::new(observer)));
    }

    pub(super) fn notify_observer(&self, server: ServerId, result: AttemptResult) {
        let Some(observer) = self.attempt_observer.borrow().clone() else {
            return;
        };
        let key = self.server_ids.borrow().key(server);
        if let Some(key) = key {
            observer(key, result);
        }
    }

    /// Whether an attempt may be sent. Enforces the dispatcher's guarantees independently of the balancer: nothing is
    /// sent for a request that needs no response any more, has expired or cannot be sent again from its beginning,
    /// nor beyond the maximum number of attempts or while another attempt is in flight.
    fn may_send(&self, request: &InFlightRequest, attempt: usize, now: Instant) -> bool {
        request.responder.is_some()
            && now < request.deadline
            && request.message.may_be_sent()
            && attempt < self.max_attempts
            && request.attempt.is_none()
    }

    /// Sends an attempt to a server.
    pub(super) fn send(self: &Rc<Self>, request_number: u64, server: ServerId) {
        let mut in_flight = self.in_flight.borrow_mut();
        let Some(request) = in_flight.get_mut(&request_number) else {
            return;
        };
        self.update_deadline(request_number, request);
        let (attempt, now) = (request.attempts, Instant::now());
        request.attempts += 1;
        if !self.may_send(request, attempt, now) {
            drop(in_flight);
            let not_sent = EndedAttempt {
                number: attempt,
                server,
                elapsed: Duration::ZERO,
                result: AttemptResult::NotSent,
                report: None,
            };
            return self.report_outcome(request_number, not_sent);
        }
        let message = Rc::clone(&request.message);
        if attempt > 0 {
            self.log_retry(AttemptName {
                request: &message,
                number: attempt,
                server,
            });
        }
        // Checked again once a connection is available: a retry must not be sent late because its dial took long.
        message.send_deadline.set(request.retry_deadline);
        let deadline = request.deadline;
        let dispatcher = Rc::clone(self);
        let on_streamed_response =
            move |response| dispatcher.handle_stream_start(request_number, attempt, response);
        let attempt_future =
            Rc::clone(&self.servers).attempt(server, message, deadline, on_streamed_response);
        let running = Rc::new(RunningAttempt::new(attempt_future));
        let (dispatcher, awaited) = (Rc::clone(self), Rc::clone(&running));
        let task = tokio::task::spawn_local(async move {
            let outcome = awaited.outcome().await;
            dispatcher.notify_observer(server, outcome.result);
            dispatcher.handle_outcome(request_number, attempt, outcome);
        });
        request.attempt = Some(InFlightAttempt {
            number: attempt,
            server,
            sent_at: now,
            running,
            task: task.abort_handle(),
            streaming_after: None,
        });
    }

    /// Handles the start of a response that is streamed to the client.
    fn handle_stream_start(
        self: &Rc<Self>,
        request_number: u64,
        attempt: usize,
        response: UpstreamResponse,
    ) {
        {
            let mut in_flight = self.in_flight.borrow_mut();
            let Some(request) = in_flight.get_mut(&request_number) else {
                return;
            };
            let current = request.attempt.as_mut();
            let Some(current) = current.filter(|current| current.number == attempt) else {
                return;
            };
            let elapsed = current.sent_at.elapsed();
            current.streaming_after = Some(elapsed.saturating_sub(response.memory_wait));
            if let Some(responder) = request.responder.take() {
                request.message.record_served();
                let _ = responder.send(FinalResponse::Served(response)); // Fails if the client has disconnected.
            }
        }
        self.handle_event(Event::StreamStarted {
            request: RequestId(request_number),
            attempt,
        });
    }

    /// Handles the outcome of an attempt that was not cancelled.
    fn handle_outcome(
        self: &Rc<Self>,
        request_number: u64,
        attempt: usize,
        mut outcome: AttemptOutcome,
    ) {
        let (server, elapsed) = {
            let mut in_flight = self.in_flight.borrow_mut();
            let Some(request) = in_flight.get_mut(&request_number) else {
                return;
            };
            let current = &mut request.attempt;
            let Some(current) = current.take_if(|current| current.number == attempt) else {
                return;
            };
            let response = outcome.response.take();
            let memory_wait = response
                .as_ref()
                .map_or(Duration::ZERO, |response| response.memory_wait);
            if let (Some(response), Some(responder)) = (
                response,
                request.responder.take_if(|_| is_final(outcome.result)),
            ) {
                request.message.record_served();
                let _ = responder.send(FinalResponse::Served(response)); // A disconnect is handled separately.
            }
            let elapsed = current
                .streaming_after
                .unwrap_or_else(|| current.sent_at.elapsed().saturating_sub(memory_wait));
            (current.server, elapsed)
        };
        let ended = EndedAttempt {
            number: attempt,
            server,
            elapsed,
            result: outcome.result,
            report: outcome.report,
        };
        self.report_outcome(request_number, ended);
    }

    /// Reports the outcome of an attempt to the balancer, the metrics and the log.
    pub(super) fn report_outcome(self: &Rc<Self>, request_number: u64, ended: EndedAttempt) {
        let EndedAttempt {
            number: attempt,
            server,
            elapsed,
            result,
            report,
        } = ended;
        let complete = {
            let mut in_flight = self.in_flight.borrow_mut();
            let mut request = in_flight.get_mut(&request_number);
            if let Some(request) = &mut request {
                if result.may_have_run() {
                    request.record_possible_run(elapsed);
                }
                let name = AttemptName {
                    request: &request.message,
                    number: attempt,
                    server,
                };
                self.log_attempt_end(name, result, elapsed);
            }
            request.is_none_or(|request| request.responder.is_none())
        };
        self.remove_if_finished(request_number);
        self.handle_event(Event::Outcome(Outcome {
            request: RequestId(request_number),
            attempt,
            elapsed_ms: elapsed.as_secs_f64() * 1e3,
            result,
            complete,
            report,
        }));
    }

    /// Aborts and returns a request's attempt in flight; with `attempt`, only if it has that number. Its connection
    /// is closed when this returns. An attempt whose response is being streamed is not aborted.
    pub(super) fn abort_attempt(
        &self,
        request_number: u64,
        attempt: Option<usize>,
    ) -> Option<InFlightAttempt> {
        let mut in_flight = self.in_flight.borrow_mut();
        let current = &mut in_flight.get_mut(&request_number)?.attempt;
        let aborted = current.take_if(|current| {
            current.streaming_after.is_none()
                && attempt.is_none_or(|expected| current.number == expected)
        })?;
        aborted.task.abort();
        aborted.running.abort();
        Some(aborted)
    }

    /// Cancels an attempt on behalf of the balancer.
    pub(super) fn cancel(self: &Rc<Self>, request_number: u64, attempt: usize) {
        if let Some(cancelled) = self.abort_attempt(request_number, Some(attempt)) {
            self.report_outcome(request_number, cancelled.ended(AttemptResult::Cancelled));
        }
    }
}
