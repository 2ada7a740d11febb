//! Requests in flight: their admission to the table, their deadlines and their final responses.
//!
//! A request is in the table as long as its client is owed a response or an attempt is in flight. Whoever takes the
//! `responder` out of its entry gives the only final response; this is what keeps a client from getting two.

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::timers::TimerKind;
use super::Dispatcher;
use crate::node::admin::log;
use crate::node::upstream::servers::RunningAttempt;
use crate::node::upstream::{RequestBody, UpstreamRequest, UpstreamResponse};
use balancer::{AttemptResult, Event, Idempotency, Request, RequestId, ServerId};

/// A response must reach the client within its timeout: the node stops waiting this long before its end.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// The longest time that the upload of a request may take that is accepted before its last byte. An upload at the
/// minimum transfer rate takes no longer.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(20 * 60);
/// The fraction of an idempotency window in which a retry may begin to be sent: it must also arrive in the window.
const RETRY_WINDOW_FRACTION: f64 = 0.9;

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// A server's response.
    Served(UpstreamResponse),
    /// Rejected without having run: a retry is harmless.
    Rejected {
        /// When the client should retry, where the balancer names a time.
        retry_after_ms: Option<f64>,
    },
    /// Failed; it may have run.
    Failed,
}

/// A request as the downstream side hands it over.
#[derive(Debug)]
pub struct NewRequest {
    /// The index of its class in the settings.
    pub class: usize,
    /// The index of its tenant in the settings.
    pub tenant: usize,
    /// The key by which servers are chosen, if it has one.
    pub key: Option<Box<str>>,
    /// What is sent to servers.
    pub message: UpstreamRequest,
    /// When its last byte arrived; for an upload that is still in progress, when it was accepted.
    pub received_at: Instant,
    /// How long its client waits, counted from its last byte.
    pub timeout: Duration,
}

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) number: usize,
    pub(super) server: ServerId,
    /// When it was sent. For an upload that has completed since, when that was.
    pub(super) sent_at: Instant,
    pub(super) exchange: Rc<RunningAttempt>,
    pub(super) task: AbortHandle,
    /// When its response began to be streamed to the client, counted from `sent_at`. From then on it cannot be cancelled.
    pub(super) streaming_after: Option<Duration>,
}

/// A request that is owed a response or has an attempt in flight.
pub(super) struct InFlightRequest {
    /// Takes the final response; `None` once that has been given or the client has gone.
    pub(super) responder: Option<oneshot::Sender<FinalResponse>>,
    pub(super) message: Rc<UpstreamRequest>,
    pub(super) deadline: Instant,
    /// Its timeout, counted from its last byte, while its upload is in progress.
    pub(super) timeout_after_upload: Option<Duration>,
    /// How many attempts were made.
    pub(super) attempts: usize,
    pub(super) attempt: Option<InFlightAttempt>,
    /// From when on it must not be sent again, counted from the first attempt that may have run.
    pub(super) retries_until: Option<Instant>,
    /// How long servers recognize its idempotency key, if it has one.
    pub(super) retry_window: Option<Duration>,
}

impl InFlightRequest {
    /// A request without any attempt, and where its final response arrives.
    fn new(
        message: UpstreamRequest,
        deadline: Instant,
        timeout_after_upload: Option<Duration>,
        retry_window: Option<Duration>,
    ) -> (Self, oneshot::Receiver<FinalResponse>) {
        let (responder, response) = oneshot::channel();
        let request = Self {
            responder: Some(responder),
            message: Rc::new(message),
            deadline,
            timeout_after_upload,
            attempts: 0,
            attempt: None,
            retries_until: None,
            retry_window,
        };
        (request, response)
    }

    /// Starts the window for retries with the first attempt that may have run.
    pub(super) fn start_retry_window(&mut self, elapsed: Duration) {
        let until = self
            .retry_window
            .and_then(|window| (Instant::now() - elapsed).checked_add(window));
        self.retries_until = self.retries_until.or(until);
    }
}

fn retry_window(idempotency: Idempotency) -> Option<Duration> {
    match idempotency {
        Idempotency::IdempotencyKey { window_ms, .. } => {
            Duration::try_from_secs_f64(window_ms * RETRY_WINDOW_FRACTION / 1e3).ok()
        }
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    }
}

impl Dispatcher {
    /// Accepts a request and passes it to the balancer. `None` if as many requests are in flight as the settings allow.
    ///
    /// # Panics
    ///
    /// The settings have no class of this index.
    pub fn accept_request(self: &Rc<Self>, request: NewRequest) -> Option<RequestHandle> {
        if self.in_flight.borrow().len() >= self.max_in_flight {
            return None;
        }
        let number = self.next_request_number();
        let NewRequest {
            class,
            tenant,
            key,
            message,
            received_at,
            timeout,
        } = request;
        let is_uploading = matches!(message.body, RequestBody::Streamed(_));
        let timeout_after_upload = Some(timeout).filter(|_| is_uploading);
        let time_left = timeout_after_upload.map_or(timeout, |_| MAX_UPLOAD_TIME);
        let deadline =
            self.before_shutdown(received_at + time_left.saturating_sub(RESPONSE_MARGIN));
        let retry_window = retry_window(self.names.rules[class].idempotency);
        let (accepted, response) =
            InFlightRequest::new(message, deadline, timeout_after_upload, retry_window);
        self.in_flight.borrow_mut().insert(number, accepted);
        self.timers.set(deadline, TimerKind::Deadline(number));
        let timeout = timeout_after_upload
            .unwrap_or_else(|| deadline.saturating_duration_since(Instant::now()));
        self.handle_event(Event::Request(Request {
            id: RequestId(number),
            class,
            tenant,
            key,
            timeout_ms: timeout.as_secs_f64() * 1e3,
        }));
        Some(RequestHandle {
            dispatcher: Rc::clone(self),
            number,
            response,
        })
    }

    fn next_request_number(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }

    /// Ends every request by then, also those accepted before, so that a node that shuts down leaves none unanswered:
    /// their clients may wait for longer than the shutdown takes.
    pub fn limit_deadlines(&self, by: Instant) {
        self.shutdown_deadline.set(Some(by));
        for (number, request) in self.in_flight.borrow_mut().iter_mut() {
            self.set_deadline(*number, request, request.deadline);
        }
    }

    fn before_shutdown(&self, at: Instant) -> Instant {
        self.shutdown_deadline.get().map_or(at, |by| at.min(by))
    }

    fn set_deadline(&self, number: u64, request: &mut InFlightRequest, at: Instant) {
        let at = self.before_shutdown(at);
        let timer = TimerKind::Deadline(number);
        self.timers.remove(request.deadline, timer);
        request.deadline = at;
        self.timers.set(at, timer);
    }

    /// The upload of a request has completed: its timeout counts from here.
    fn upload_completed(&self, number: u64, at: Instant) {
        let mut in_flight = self.in_flight.borrow_mut();
        let Some(request) = in_flight.get_mut(&number) else {
            return;
        };
        let Some(timeout) = request.timeout_after_upload.take() else {
            return;
        };
        // The server's time counts from here, too: until now it waited for the client.
        if let Some(attempt) = &mut request.attempt {
            attempt.sent_at = at;
        }
        self.set_deadline(
            number,
            request,
            at + timeout.saturating_sub(RESPONSE_MARGIN),
        );
    }

    /// Gives the final response, unless it has been given.
    pub(super) fn respond(&self, number: u64, response: FinalResponse) {
        let responder = self
            .in_flight
            .borrow_mut()
            .get_mut(&number)
            .and_then(|request| request.responder.take());
        if let Some(responder) = responder {
            let _ = responder.send(response); // A client that has gone is an event of its own.
        }
        self.remove_if_finished(number);
    }

    /// The deadline of a request has expired: its attempt has timed out, and a request that the balancer has not
    /// responded to by then has failed.
    pub(super) fn expire_request(self: &Rc<Self>, number: u64) {
        if let Some(attempt) = self.abort_attempt(number, None) {
            self.notify_observer(attempt.server, AttemptResult::TimedOut);
            self.report_outcome(
                number,
                attempt.number,
                attempt.sent_at.elapsed(),
                AttemptResult::TimedOut,
                None,
            );
        }
        let is_unanswered = self
            .in_flight
            .borrow()
            .get(&number)
            .is_some_and(|request| request.responder.is_some());
        if is_unanswered {
            log::line("a request was still unanswered at its deadline");
            self.respond(number, FinalResponse::Failed);
            self.handle_event(Event::ClientGone(RequestId(number)));
        }
    }

    /// Removes a request that is owed no response and has no attempt in flight.
    pub(super) fn remove_if_finished(&self, number: u64) {
        let mut in_flight = self.in_flight.borrow_mut();
        if let Entry::Occupied(entry) = in_flight.entry(number) {
            if entry.get().responder.is_none() && entry.get().attempt.is_none() {
                let finished = entry.remove();
                self.timers
                    .remove(finished.deadline, TimerKind::Deadline(number));
            }
        }
    }

    fn client_gone(self: &Rc<Self>, number: u64) {
        let responder = self
            .in_flight
            .borrow_mut()
            .get_mut(&number)
            .and_then(|request| {
                // Its attempt may still wait for a connection, where settings allow none to be cancelled.
                request.message.send_deadline.set(Some(Instant::now()));
                request.responder.take()
            });
        if responder.is_some() {
            self.remove_if_finished(number);
            self.handle_event(Event::ClientGone(RequestId(number)));
        }
    }
}

/// A request that the dispatcher has accepted. Dropping it means that its client has gone.
pub struct RequestHandle {
    dispatcher: Rc<Dispatcher>,
    number: u64,
    response: oneshot::Receiver<FinalResponse>,
}

impl RequestHandle {
    /// The last byte of a request has arrived that was accepted while its upload was in progress.
    pub fn upload_completed(&self, at: Instant) {
        self.dispatcher.upload_completed(self.number, at);
    }

    /// Waits for the final response, which comes once. Cancel safe: dropping the future loses nothing.
    pub async fn response(&mut self) -> FinalResponse {
        (&mut self.response).await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.dispatcher.client_gone(self.number);
    }
}
