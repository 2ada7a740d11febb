//! Logs the requests that have no response when a node shuts down.

use std::time::Instant;

use super::in_flight::{InFlightAttempt, InFlightRequest};
use super::Dispatcher;
use crate::node::admin::log;

/// Maximum number of unanswered requests that are logged individually. If there are more, their number is logged, too.
const MAX_LOGGED_REQUESTS: usize = 20;

impl Dispatcher {
    /// Logs the requests without a response, oldest first, with the ids that the clients assigned.
    pub fn report_unanswered(&self) {
        let (in_flight, now) = (self.in_flight.borrow(), Instant::now());
        let mut unanswered: Vec<_> = in_flight
            .iter()
            .filter(|(_, request)| request.responder.is_some())
            .collect();
        unanswered.sort_by_key(|(request_number, _)| **request_number);
        for (_, request) in unanswered.iter().take(MAX_LOGGED_REQUESTS) {
            log_unanswered(request, now);
        }
        if unanswered.len() > MAX_LOGGED_REQUESTS {
            log::line(format_args!(
                "{} requests have no response",
                unanswered.len()
            ));
        }
    }
}

fn log_unanswered(request: &InFlightRequest, now: Instant) {
    let id = request.message.client_id();
    let remaining_ms = request.deadline.saturating_duration_since(now).as_millis();
    let attempt = request
        .attempt
        .as_ref()
        .map_or_else(|| "none in flight".to_owned(), describe_attempt);
    log::line(format_args!(
        "request {id} has no response: {remaining_ms} ms to its deadline, {} attempts, {attempt}",
        request.attempts
    ));
}

fn describe_attempt(attempt: &InFlightAttempt) -> String {
    format!(
        "one in flight to server {} for {} ms",
        attempt.server.0,
        attempt.sent_at.elapsed().as_millis()
    )
}
