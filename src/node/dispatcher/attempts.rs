//! Attempts: how they are sent, cancelled and reported to the balancer.
//!
//! At most one attempt of a request is in flight. Every attempt that the balancer asks for ends in one outcome, also one
//! that is not sent.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::in_flight::{FinalResponse, InFlightAttempt, InFlightRequest};
use super::Dispatcher;
use crate::node::upstream::servers::RunningAttempt;
use crate::node::upstream::{AttemptOutcome, UpstreamResponse};
use balancer::{AttemptResult, Event, LoadReport, Outcome, RequestId, ServerId};

/// Receives the key by which other nodes know a server, and how an attempt there outcome.
pub(super) type AttemptObserver = Rc<dyn Fn(u64, AttemptResult)>;

/// Whether an attempt's response is the final one of its request.
fn is_final(result: AttemptResult) -> bool {
    matches!(result, AttemptResult::Served | AttemptResult::ClientError)
}

impl Dispatcher {
    /// Reports the result of every attempt from here on to `observer`, in place of the one before.
    pub fn observe_attempts(&self, observer: impl Fn(u64, AttemptResult) + 'static) {
        self.observer.replace(Some(Rc::new(observer)));
    }

    pub(super) fn notify_observer(&self, server: ServerId, result: AttemptResult) {
        let Some(observer) = self.observer.borrow().clone() else {
            return;
        };
        let key = self.server_ids.borrow().key(server);
        if let Some(key) = key {
            observer(key, result);
        }
    }

    /// Whether an attempt may be sent. Enforces the guarantees independently of the balancer: nothing is sent for a
    /// request that is finished or of which a part is gone, nothing beyond the attempts allowed, and never two at once.
    fn may_send(&self, request: &InFlightRequest, attempt: usize, now: Instant) -> bool {
        request.responder.is_some()
            && now < request.deadline
            && request.message.may_be_sent()
            && attempt < self.max_attempts
            && request.attempt.is_none()
    }

    /// Sends an attempt to a server.
    pub(super) fn send(self: &Rc<Self>, number: u64, server: ServerId) {
        let mut in_flight = self.in_flight.borrow_mut();
        let Some(request) = in_flight.get_mut(&number) else {
            return;
        };
        let (attempt, now) = (request.attempts, Instant::now());
        request.attempts += 1;
        if !self.may_send(request, attempt, now) {
            drop(in_flight);
            let result = AttemptResult::NotSent;
            return self.report_outcome(number, attempt, Duration::ZERO, result, None);
        }
        let message = Rc::clone(&request.message);
        // A retry whose connection comes up late must not be sent either: what counts is when it is sent.
        message.send_deadline.set(request.retries_until);
        let deadline = request
            .timeout_after_upload
            .map_or(request.deadline, |timeout| now + timeout);
        let dispatcher = Rc::clone(self);
        let on_stream = move |served| dispatcher.stream_started(number, attempt, served);
        let exchange = Rc::clone(&self.servers).attempt(server, message, deadline, on_stream);
        let exchange = Rc::new(RunningAttempt::new(exchange));
        let (dispatcher, running) = (Rc::clone(self), Rc::clone(&exchange));
        let task = tokio::task::spawn_local(async move {
            let outcome = running.outcome().await;
            dispatcher.notify_observer(server, outcome.result);
            dispatcher.attempt_ended(number, attempt, outcome);
        });
        request.attempt = Some(InFlightAttempt {
            number: attempt,
            server,
            sent_at: now,
            exchange,
            task: task.abort_handle(),
            streaming_after: None,
        });
    }

    /// A response begins that is streamed to the client.
    fn stream_started(self: &Rc<Self>, number: u64, attempt: usize, served: UpstreamResponse) {
        {
            let mut in_flight = self.in_flight.borrow_mut();
            let Some(request) = in_flight.get_mut(&number) else {
                return;
            };
            let current = request.attempt.as_mut();
            let Some(current) = current.filter(|current| current.number == attempt) else {
                return;
            };
            current.streaming_after = Some(current.sent_at.elapsed());
            if let Some(responder) = request.responder.take() {
                let _ = responder.send(FinalResponse::Served(served)); // A client that has gone receives nothing.
            }
        }
        self.handle_event(Event::StreamStarted {
            request: RequestId(number),
            attempt,
        });
    }

    /// An attempt has outcome without being cancelled.
    fn attempt_ended(self: &Rc<Self>, number: u64, attempt: usize, mut outcome: AttemptOutcome) {
        let elapsed = {
            let mut in_flight = self.in_flight.borrow_mut();
            let Some(request) = in_flight.get_mut(&number) else {
                return;
            };
            let current = &mut request.attempt;
            let Some(current) = current.take_if(|current| current.number == attempt) else {
                return;
            };
            let served = outcome.response.take();
            if let (Some(served), Some(responder)) = (
                served,
                request.responder.take_if(|_| is_final(outcome.result)),
            ) {
                let _ = responder.send(FinalResponse::Served(served)); // A client that has gone is an event of its own.
            }
            current
                .streaming_after
                .unwrap_or_else(|| current.sent_at.elapsed())
        };
        self.report_outcome(number, attempt, elapsed, outcome.result, outcome.report);
    }

    /// Reports to the balancer how an attempt outcome.
    pub(super) fn report_outcome(
        self: &Rc<Self>,
        number: u64,
        attempt: usize,
        elapsed: Duration,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let complete = {
            let mut in_flight = self.in_flight.borrow_mut();
            let mut request = in_flight.get_mut(&number);
            if let Some(request) = &mut request {
                if result.may_have_run() {
                    request.start_retry_window(elapsed);
                }
            }
            request.is_none_or(|request| request.responder.is_none())
        };
        self.remove_if_finished(number);
        self.handle_event(Event::Outcome(Outcome {
            request: RequestId(number),
            attempt,
            elapsed_ms: elapsed.as_secs_f64() * 1e3,
            result,
            complete,
            report,
        }));
    }

    /// Aborts the attempt in flight, or only the one with this number; its connection is closed when this returns. An
    /// attempt whose response is being streamed stays.
    pub(super) fn abort_attempt(
        &self,
        number: u64,
        attempt: Option<usize>,
    ) -> Option<InFlightAttempt> {
        let mut in_flight = self.in_flight.borrow_mut();
        let current = &mut in_flight.get_mut(&number)?.attempt;
        let aborted = current.take_if(|current| {
            current.streaming_after.is_none()
                && attempt.is_none_or(|wanted| current.number == wanted)
        })?;
        aborted.task.abort();
        aborted.exchange.abort();
        Some(aborted)
    }

    /// Cancels an attempt on behalf of the balancer.
    pub(super) fn cancel(self: &Rc<Self>, number: u64, attempt: usize) {
        if let Some(cancelled) = self.abort_attempt(number, Some(attempt)) {
            self.report_outcome(
                number,
                attempt,
                cancelled.sent_at.elapsed(),
                AttemptResult::Cancelled,
                None,
            );
        }
    }
}
