//! Requests in flight: the table of requests, their deadlines and their final responses.
//!
//! A request stays in the table while its client waits for a response or an attempt is in flight. A final response is
//! sent through the `responder` of the entry, which can be taken only once, so a client never gets two final
//! responses.

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::attempts::EndedAttempt;
use super::request_log::{log_disconnect, log_final_response};
use super::timers::TimerKind;
use super::Dispatcher;
use crate::node::admin::log;
use crate::node::upstream::servers::RunningAttempt;
use crate::node::upstream::{UpstreamRequest, UpstreamResponse};
use balancer::{AttemptResult, Event, Idempotency, Request, RequestId, ServerId};

/// Time before the end of a client's timeout at which the node stops waiting, so that its response still reaches the
/// client in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// Fraction of a deduplication window during which a retry may start, as it must also arrive within the window.
const RETRY_WINDOW_FRACTION: f64 = 0.9;
/// Minimum time between the last start of a retry and the end of its deduplication window: the node may be held up for
/// 150 ms between the check and the first byte, and the retry then has to arrive.
const MIN_RETRY_MARGIN: Duration = Duration::from_millis(200);

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// A server's response.
    Served(UpstreamResponse),
    /// Rejected: the request has not run, or repeating it is harmless.
    Rejected {
        /// Milliseconds after which the client should retry, if the balancer gives a time.
        retry_after_ms: Option<f64>,
    },
    /// Failed; the request may have run.
    Failed,
}

/// A request that the downstream side passes to the dispatcher.
#[derive(Debug)]
pub struct NewRequest {
    /// The index of its class in the settings.
    pub class: usize,
    /// The index of its tenant in the settings.
    pub tenant: usize,
    /// The key that the balancer selects servers by, if the request has one.
    pub key: Option<Box<str>>,
    /// The request as it is forwarded to servers.
    pub message: UpstreamRequest,
    /// When its last byte arrived.
    pub arrival: Arrival,
    /// The client's timeout, which starts with the last byte of the request.
    pub timeout: Duration,
}

/// When the last byte of a request arrived.
#[derive(Clone)]
pub enum Arrival {
    /// It arrived at this time.
    Complete(Instant),
    /// The upload is in progress.
    InProgress(Rc<dyn UploadProgress>),
}

impl Arrival {
    /// The earliest time at which the client may have sent the last byte.
    fn earliest_end(&self) -> Instant {
        match self {
            Self::Complete(at) => *at,
            Self::InProgress(upload) => upload.earliest_end(),
        }
    }
}

impl std::fmt::Debug for Arrival {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Complete(at) => f.debug_tuple("Complete").field(at).finish(),
            Self::InProgress(_) => f.write_str("InProgress"),
        }
    }
}

/// An upload in progress.
pub trait UploadProgress {
    /// The earliest time at which the client may have sent the last byte, by all that is known now. It never goes back, and is
    /// at most the current time.
    fn earliest_end(&self) -> Instant;
}

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) number: usize,
    pub(super) server: ServerId,
    /// The time at which it was sent or, if the upload was completed later, the time of that completion.
    pub(super) sent_at: Instant,
    pub(super) running: Rc<RunningAttempt>,
    pub(super) task: AbortHandle,
    /// Time from `sent_at` to the start of the response stream to the client; `None` before it. A streamed attempt
    /// cannot be cancelled.
    pub(super) streaming_after: Option<Duration>,
}

impl InFlightAttempt {
    /// The end of the attempt now, without a response.
    pub(super) fn ended(&self, result: AttemptResult) -> EndedAttempt {
        EndedAttempt {
            number: self.number,
            server: self.server,
            elapsed: self.sent_at.elapsed(),
            result,
            report: None,
        }
    }
}

/// A request whose client waits for a response or that has an attempt in flight.
pub(super) struct InFlightRequest {
    /// The sender of the final response; `None` once that has been sent or the client has disconnected.
    pub(super) responder: Option<oneshot::Sender<FinalResponse>>,
    pub(super) message: Rc<UpstreamRequest>,
    /// The end of the client's timeout, less the time for the response; the earliest possible one while the upload is in
    /// progress.
    pub(super) deadline: Instant,
    arrival: Arrival,
    timeout: Duration,
    /// Number of attempts that the balancer requested, including those that were not sent.
    pub(super) attempts: usize,
    pub(super) attempt: Option<InFlightAttempt>,
    /// The time from which on it must not be sent again; set by the first attempt that may have run.
    pub(super) retry_deadline: Option<Instant>,
    /// Time after the first attempt that may have run during which a retry may start; `None` without a limit.
    pub(super) retry_window: Option<Duration>,
    /// Whether an attempt that has ended may have run.
    pub(super) may_have_run: bool,
    idempotency: Idempotency,
}

impl InFlightRequest {
    /// Creates a request without attempts, and the receiver of its final response.
    fn new(
        message: UpstreamRequest,
        arrival: Arrival,
        timeout: Duration,
        idempotency: Idempotency,
    ) -> (Self, oneshot::Receiver<FinalResponse>) {
        let (responder, response) = oneshot::channel();
        let request = Self {
            responder: Some(responder),
            message: Rc::new(message),
            deadline: arrival.earliest_end() + timeout.saturating_sub(RESPONSE_MARGIN),
            arrival,
            timeout,
            attempts: 0,
            attempt: None,
            retry_deadline: None,
            retry_window: retry_window(idempotency),
            may_have_run: false,
            idempotency,
        };
        (request, response)
    }

    /// The deadline by all that is known now of the arrival of the last byte.
    fn current_deadline(&self) -> Instant {
        self.arrival.earliest_end() + self.timeout.saturating_sub(RESPONSE_MARGIN)
    }

    /// Records that an attempt that was sent `elapsed` ago may have run.
    pub(super) fn record_possible_run(&mut self, elapsed: Duration) {
        self.may_have_run = true;
        self.start_retry_window(elapsed);
        if self.idempotency != Idempotency::Idempotent {
            self.message.record_possible_run();
        }
    }

    /// Starts the retry window when an attempt that may have run was sent, `elapsed` ago. Only the first call has an
    /// effect.
    fn start_retry_window(&mut self, elapsed: Duration) {
        let deadline = self
            .retry_window
            .and_then(|window| (Instant::now() - elapsed).checked_add(window));
        self.retry_deadline = self.retry_deadline.or(deadline);
    }
}

fn retry_window(idempotency: Idempotency) -> Option<Duration> {
    match idempotency {
        Idempotency::IdempotencyKey { window_ms, .. } => {
            let window = Duration::try_from_secs_f64(window_ms / 1e3).ok()?;
            let margin = window.mul_f64(1.0 - RETRY_WINDOW_FRACTION);
            Some(window.saturating_sub(margin.max(MIN_RETRY_MARGIN)))
        }
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    }
}

impl Dispatcher {
    /// Accepts a request and passes it to the balancer. `None` if the maximum number of requests is in flight.
    ///
    /// # Panics
    ///
    /// The settings have no class of this index.
    pub fn accept_request(self: &Rc<Self>, request: NewRequest) -> Option<RequestHandle> {
        if self.in_flight.borrow().len() >= self.max_in_flight {
            return None;
        }
        let request_number = self.next_request_number();
        let NewRequest {
            class,
            tenant,
            key,
            message,
            arrival,
            timeout,
        } = request;
        let idempotency = self.names.rules[class].idempotency;
        let (mut accepted, response) = InFlightRequest::new(message, arrival, timeout, idempotency);
        let deadline = accepted.deadline;
        self.set_deadline(request_number, &mut accepted, deadline);
        let timeout = accepted.deadline.saturating_duration_since(Instant::now());
        self.in_flight.borrow_mut().insert(request_number, accepted);
        self.handle_event(Event::Request(Request {
            id: RequestId(request_number),
            class,
            tenant,
            key,
            timeout_ms: timeout.as_secs_f64() * 1e3,
        }));
        Some(RequestHandle {
            dispatcher: Rc::clone(self),
            request_number,
            response,
        })
    }

    fn next_request_number(&self) -> u64 {
        let request_number = self.next_request.get();
        self.next_request.set(request_number + 1);
        request_number
    }

    /// Limits the deadlines of all current and later requests to `by`. Clients may wait for longer than the shutdown
    /// takes, and a node that shuts down must not leave their requests unanswered.
    pub fn limit_deadlines(&self, by: Instant) {
        self.shutdown_deadline.set(Some(by));
        for (request_number, request) in self.in_flight.borrow_mut().iter_mut() {
            self.set_deadline(*request_number, request, request.deadline);
        }
    }

    fn limit_to_shutdown(&self, at: Instant) -> Instant {
        self.shutdown_deadline.get().map_or(at, |by| at.min(by))
    }

    fn set_deadline(&self, request_number: u64, request: &mut InFlightRequest, at: Instant) {
        let at = self.limit_to_shutdown(at);
        let timer = TimerKind::Deadline(request_number);
        self.timers.remove(request.deadline, timer);
        request.deadline = at;
        request.message.deadline.set(Some(at));
        self.timers.set(at, timer);
    }

    /// Handles the completion of an upload, whose last byte the client may have sent at `at` already.
    fn upload_completed(&self, request_number: u64, at: Instant) {
        let mut in_flight = self.in_flight.borrow_mut();
        let Some(request) = in_flight.get_mut(&request_number) else {
            return;
        };
        request.arrival = Arrival::Complete(at);
        // The response time of the server starts here, too: until now it has waited for the client.
        if let Some(attempt) = &mut request.attempt {
            attempt.sent_at = Instant::now();
        }
        self.update_deadline(request_number, request);
    }

    /// Moves the deadline of a request on by all that is known now of the arrival of its last byte.
    pub(super) fn update_deadline(&self, request_number: u64, request: &mut InFlightRequest) {
        let deadline = request.current_deadline();
        if deadline > request.deadline {
            self.set_deadline(request_number, request, deadline);
        }
    }

    /// Whether the deadline of a request has passed. Sets a later one while its client is known to be sending.
    fn is_expired(&self, request_number: u64) -> bool {
        let mut in_flight = self.in_flight.borrow_mut();
        let Some(request) = in_flight.get_mut(&request_number) else {
            return false;
        };
        self.update_deadline(request_number, request);
        let is_expired = request.deadline <= Instant::now();
        if is_expired {
            self.timers
                .remove(request.deadline, TimerKind::Deadline(request_number));
        }
        is_expired
    }

    /// Sends the final response, unless one has been sent or the client has disconnected.
    pub(super) fn respond(&self, request_number: u64, response: FinalResponse) {
        let responder = self
            .in_flight
            .borrow_mut()
            .get_mut(&request_number)
            .and_then(|request| {
                let responder = request.responder.take()?;
                log_final_response(request, &response);
                Some(responder)
            });
        if let Some(responder) = responder {
            let _ = responder.send(response); // A disconnect is handled separately.
        }
        self.remove_if_finished(request_number);
    }

    /// Handles the expiry of a request's deadline: its attempt in flight times out, and the request fails unless the
    /// balancer responds to that outcome.
    pub(super) fn expire_request(self: &Rc<Self>, request_number: u64) {
        if !self.is_expired(request_number) {
            return;
        }
        if let Some(attempt) = self.abort_attempt(request_number, None) {
            self.notify_observer(attempt.server, AttemptResult::TimedOut);
            self.report_outcome(request_number, attempt.ended(AttemptResult::TimedOut));
        }
        let is_unanswered = self
            .in_flight
            .borrow()
            .get(&request_number)
            .is_some_and(|request| request.responder.is_some());
        if is_unanswered {
            log::line("a request failed: the balancer gave no response by its deadline");
            self.respond(request_number, FinalResponse::Failed);
            self.handle_event(Event::ClientGone(RequestId(request_number)));
        }
    }

    /// Removes a request whose client waits for no response and that has no attempt in flight.
    pub(super) fn remove_if_finished(&self, request_number: u64) {
        let mut in_flight = self.in_flight.borrow_mut();
        if let Entry::Occupied(entry) = in_flight.entry(request_number) {
            if entry.get().responder.is_none() && entry.get().attempt.is_none() {
                let finished = entry.remove();
                self.timers
                    .remove(finished.deadline, TimerKind::Deadline(request_number));
            }
        }
    }

    fn handle_disconnect(self: &Rc<Self>, request_number: u64) {
        let responder = self
            .in_flight
            .borrow_mut()
            .get_mut(&request_number)
            .and_then(|request| {
                // The upload refers to the client's connection.
                request.arrival = Arrival::Complete(request.arrival.earliest_end());
                // Where the settings forbid cancellation, its attempt may still be waiting for a connection.
                request.message.send_deadline.set(Some(Instant::now()));
                let responder = request.responder.take()?;
                log_disconnect(request);
                Some(responder)
            });
        if responder.is_some() {
            self.remove_if_finished(request_number);
            self.handle_event(Event::ClientGone(RequestId(request_number)));
        }
    }
}

/// Receives the report that the upload of a request, which was in progress when the request was accepted, is complete.
pub struct UploadCompletion {
    dispatcher: Rc<Dispatcher>,
    request_number: u64,
}

impl UploadCompletion {
    /// Reports that all of the upload has been read. The client may have sent its last byte at `at` already.
    pub fn report(&self, at: Instant) {
        self.dispatcher.upload_completed(self.request_number, at);
    }
}

/// A request that the dispatcher has accepted. Dropping the handle before the final response reports that the client
/// has disconnected.
pub struct RequestHandle {
    dispatcher: Rc<Dispatcher>,
    request_number: u64,
    response: oneshot::Receiver<FinalResponse>,
}

impl RequestHandle {
    /// Returns what the upload of the request reports its completion to.
    #[must_use]
    pub fn upload_completion(&self) -> UploadCompletion {
        UploadCompletion {
            dispatcher: Rc::clone(&self.dispatcher),
            request_number: self.request_number,
        }
    }

    /// Waits for the final response. Must not be called again once it has returned. Cancel safe: a dropped future
    /// does not lose the response.
    pub async fn response(&mut self) -> FinalResponse {
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.dispatcher.handle_disconnect(self.request_number);
    }
}

#[cfg(test)]
mod tests;
