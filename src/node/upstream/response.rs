//! What a server's response means, whatever protocol carried it, and the limits on the bodies of messages.

use hyper::header::HeaderValue;
use hyper::StatusCode;

use crate::node::admin::log;
use balancer::{AttemptResult, LoadReport};

/// The longest body that is buffered without a reservation from the memory budget; a longer response is streamed.
pub const MAX_UNRESERVED_BODY_BYTES: usize = 64 * 1024;
/// The longest request body that is buffered, so that it can be sent again. A longer one is streamed.
pub const MAX_BUFFERED_REQUEST_BYTES: usize = 256 * 1024;
/// The longest body that is streamed: half as much again as the longest that clients and servers send. A message that
/// states a greater length is not forwarded at all.
pub const MAX_STREAMED_BODY_BYTES: usize = 48 * 1024 * 1024;

/// The result of an attempt by its response head, if the body arrives completely or does not matter.
#[must_use]
pub fn attempt_result(status: StatusCode, is_rejected: bool) -> AttemptResult {
    match status {
        StatusCode::OK => AttemptResult::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            AttemptResult::Overloaded
        }
        status if blames_request(status) => AttemptResult::ClientError,
        _ => AttemptResult::Error,
    }
}

/// Whether the status blames the request itself: every server would respond the same, so it is no fault of this one.
/// The other 4xx statuses describe the server's state.
fn blames_request(status: StatusCode) -> bool {
    let server_state_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_EARLY,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_client_error() && !server_state_statuses.contains(&status)
}

/// Decodes a `Srv-Load` header. Malformed fields, or a malformed header, are logged and ignored.
#[must_use]
pub fn decode_load_report(value: &HeaderValue) -> Option<LoadReport> {
    let text = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().strip_prefix("TEXT "));
    let Some(fields) = text else {
        log::line("malformed load report");
        return None;
    };
    let mut report = LoadReport::default();
    for field in fields.split(',') {
        let Some((name, figure)) = field.split_once('=') else {
            log::line("malformed load report");
            continue;
        };
        let figure = figure
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|x| x.is_finite() && *x >= 0.0);
        match name.trim() {
            "inflight" | "active" => report.in_flight = figure,
            "queue" | "waiting" => report.queued = figure,
            _ => {}
        }
    }
    Some(report)
}
