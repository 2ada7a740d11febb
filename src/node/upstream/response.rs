//! The interpretation of a server's response, independent of the protocol, and the size limits of message bodies.

use hyper::header::HeaderValue;
use hyper::StatusCode;

use crate::node::admin::log;
use balancer::{AttemptResult, LoadReport};

/// Maximum size of a short body, which is always buffered; a longer response is streamed.
pub const MAX_SHORT_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a request body that is buffered, so that it can be sent again. A longer one is streamed.
pub const MAX_BUFFERED_REQUEST_BYTES: usize = 256 * 1024;
/// Maximum size of a streamed body: 1.5 times the longest body that clients and servers send. A message that
/// announces a longer body is not forwarded at all.
pub const MAX_STREAMED_BODY_BYTES: usize = 48 * 1024 * 1024;

/// The result of an attempt according to its response head, provided that the body arrives completely or is not used.
#[must_use]
pub fn attempt_result(status: StatusCode, is_rejected: bool) -> AttemptResult {
    match status {
        StatusCode::OK => AttemptResult::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            AttemptResult::Overloaded
        }
        status if is_fault_of_request(status) => AttemptResult::ClientError,
        _ => AttemptResult::Error,
    }
}

/// Whether a status reports a fault of the request itself: every server would respond the same, so this server is not
/// at fault. The other 4xx statuses describe the state of the server.
fn is_fault_of_request(status: StatusCode) -> bool {
    let server_state_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_EARLY,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_client_error() && !server_state_statuses.contains(&status)
}

/// Decodes a `Srv-Load` header. Returns `None` and logs the error if the header is malformed. A field without `=` is
/// logged and skipped. A value that is not a finite non-negative number counts as absent.
#[must_use]
pub fn decode_load_report(value: &HeaderValue) -> Option<LoadReport> {
    let text = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().strip_prefix("TEXT "));
    let Some(fields) = text else {
        log::line("a server's load report is malformed");
        return None;
    };
    let mut report = LoadReport::default();
    for field in fields.split(',') {
        let Some((name, number)) = field.split_once('=') else {
            log::line("a field of a server's load report is malformed");
            continue;
        };
        let number = number
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|x| x.is_finite() && *x >= 0.0);
        match name.trim() {
            "inflight" | "active" => report.in_flight = number,
            "queue" | "waiting" => report.queued = number,
            _ => {}
        }
    }
    Some(report)
}
