//! Log lines about single requests, by the ids that their clients assigned: how attempts ended, why a request was retried,
//! rejected or failed. With them a request can be followed from its client to the servers.

use std::time::Duration;

use admin::AttemptEnd;

use super::in_flight::{FinalResponse, InFlightRequest};
use super::Dispatcher;
use crate::node::admin::log;
use crate::node::upstream::UpstreamRequest;
use balancer::{AttemptResult, ServerId};

/// One attempt of a request, as log lines name it.
#[derive(Clone, Copy)]
pub(super) struct AttemptName<'a> {
    pub(super) request: &'a UpstreamRequest,
    /// Its number, counted from zero.
    pub(super) number: usize,
    pub(super) server: ServerId,
}

/// The end of an attempt with this result, as the metrics count it.
pub(super) fn attempt_end(result: AttemptResult) -> AttemptEnd {
    match result {
        AttemptResult::Served => AttemptEnd::Served,
        AttemptResult::ClientError => AttemptEnd::ClientError,
        AttemptResult::Error => AttemptEnd::Error,
        AttemptResult::Overloaded => AttemptEnd::Declined,
        AttemptResult::TimedOut => AttemptEnd::TimedOut,
        AttemptResult::Unreachable => AttemptEnd::Unreachable,
        AttemptResult::Reset => AttemptEnd::Reset,
        AttemptResult::Malformed => AttemptEnd::Malformed,
        AttemptResult::Cancelled => AttemptEnd::Cancelled,
        AttemptResult::NotSent => AttemptEnd::NotSent,
    }
}

fn effect(may_have_run: bool) -> &'static str {
    if may_have_run {
        "it may have run"
    } else {
        "it has not run"
    }
}

impl Dispatcher {
    /// Counts and logs that a request is sent again.
    pub(super) fn log_retry(&self, attempt: AttemptName<'_>) {
        self.metrics.upstream.retries.increment();
        log::request_line(format_args!(
            "request {}: attempt {} is sent to {}",
            attempt.request.client_id(),
            attempt.number + 1,
            self.servers.label(attempt.server)
        ));
    }

    /// Counts the end of an attempt, and logs it unless it was served.
    pub(super) fn log_attempt_end(
        &self,
        attempt: AttemptName<'_>,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        let end = attempt_end(result);
        self.metrics.upstream.record_end(end);
        if result == AttemptResult::Served {
            return;
        }
        log::request_line(format_args!(
            "request {}: attempt {} to {} ended after {} ms: {}, {}",
            attempt.request.client_id(),
            attempt.number + 1,
            self.servers.label(attempt.server),
            elapsed.as_millis(),
            end.name(),
            effect(result.may_have_run()),
        ));
    }
}

/// Logs the final response to a request that was sent to a server and not served.
pub(super) fn log_final_response(request: &InFlightRequest, response: &FinalResponse) {
    let text = match response {
        FinalResponse::Served(_) => return,
        FinalResponse::Rejected { .. } => "rejected",
        FinalResponse::Failed => "failed",
    };
    if request.attempts > 0 {
        log::request_line(format_args!(
            "request {}: {text} after {} attempts, {}",
            request.message.client_id(),
            request.attempts,
            effect(request.may_have_run),
        ));
    }
}

/// Logs that the client of a request that was sent to a server has disconnected.
pub(super) fn log_disconnect(request: &InFlightRequest) {
    if request.attempts > 0 {
        log::request_line(format_args!(
            "request {}: its client disconnected after {} attempts",
            request.message.client_id(),
            request.attempts,
        ));
    }
}
