//! Final responses to clients: those that the node produces itself, and those that it forwards from a server. Also maps a
//! status to the outcome that the metrics count.

use std::rc::Rc;

use admin::{InFlightRequest, RequestOutcome};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::node::downstream::body_stream::{ResponseStream, StreamEnd};
use crate::node::downstream::connection_table::TrackedConnection;
use crate::node::upstream::{ResponseBody, UpstreamResponse};

/// Error for a request that the node rejects as invalid, with the response that the client gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InvalidRequest {
    /// The response's status.
    pub(super) status: StatusCode,
    /// The response's body: one line.
    pub(super) reason: &'static str,
}

impl InvalidRequest {
    /// Another request with the same `Req-Id` is in progress.
    pub(super) const DUPLICATE_ID: Self = Self {
        status: StatusCode::CONFLICT,
        reason: "a request with this Req-Id is open\n",
    };
    /// The body exceeds the limit on its length.
    pub(super) const BODY_TOO_LARGE: Self = Self {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        reason: "the body is too large\n",
    };
    /// The body arrives more slowly than the minimum transfer rate.
    pub(super) const BODY_TIMEOUT: Self = Self {
        status: StatusCode::REQUEST_TIMEOUT,
        reason: "the body did not come in time\n",
    };

    /// Creates the error for a request that is malformed or contradicts itself.
    pub(super) const fn bad_request(reason: &'static str) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            reason,
        }
    }
}

/// Creates a response whose text comes from the node itself.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseStream> {
    let mut response = Response::new(ResponseStream::text(text));
    *response.status_mut() = status;
    response
}

/// Creates the response to a request that is shed, with `Retry-After` in seconds if the client should retry.
pub(super) fn rejection_response(retry_after_ms: Option<f64>) -> Response<ResponseStream> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_after_ms.map(|ms| format!("{:.3}", ms / 1e3));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Forwards a server's response. The request is counted in the metrics once its body has ended.
pub(super) fn forwarded_response(
    served: UpstreamResponse,
    in_flight: InFlightRequest,
    connection: &Rc<TrackedConnection>,
) -> Response<ResponseStream> {
    let outcome = outcome_of(served.status);
    let body = match served.body {
        ResponseBody::Buffered(body) => {
            in_flight.finish(outcome);
            ResponseStream::buffered(body)
        }
        ResponseBody::Streamed(stream, reservation) => {
            connection.hold_until_written(reservation);
            let connection = Rc::clone(connection);
            ResponseStream::streamed(stream, move |end| {
                connection.set_streaming(false);
                match end {
                    StreamEnd::Complete => in_flight.finish(outcome),
                    StreamEnd::Truncated => in_flight.finish(RequestOutcome::Failed),
                    StreamEnd::ClientDisconnected => drop(in_flight),
                }
            })
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = served.status;
    if let Some(content_type) = served.content_type {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Returns the outcome that the metrics count for a response with this status.
pub(super) fn outcome_of(status: StatusCode) -> RequestOutcome {
    match status {
        StatusCode::OK => RequestOutcome::Served,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Rejected,
        _ => RequestOutcome::Failed,
    }
}
