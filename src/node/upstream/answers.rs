//! What a server's answer says, whatever protocol it came by, and how large it may be.

use hyper::header::HeaderValue;
use hyper::StatusCode;

use crate::node::admin::log;
use balancer::{AttemptResult, LoadReport};

/// The largest body of a message that is held without a look at what else is.
pub const MOST_BODY: usize = 64 * 1024;
/// The largest body of a request that is held, so that it can be sent again. What is longer is passed on as it comes.
pub const MOST_HELD: usize = 256 * 1024;
/// The largest body of a message that is passed on as it comes: half as much again as the largest that servers and
/// clients mean. What tells a greater length is no message of theirs, and nothing of it is passed on.
pub const MOST_PASSED: usize = 48 * 1024 * 1024;

/// What an answer that came whole, or whose body is of no matter, means.
#[must_use]
pub fn ending(status: StatusCode, declined: bool) -> AttemptResult {
    match status {
        StatusCode::OK => AttemptResult::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            AttemptResult::Overloaded
        }
        status if blames_request(status) => AttemptResult::ClientError,
        _ => AttemptResult::Error,
    }
}

/// Whether the request itself is what a server objects to: another would say the same, and it is no fault of the
/// server. The others of their hundred tell of the server's state.
fn blames_request(status: StatusCode) -> bool {
    let of_server = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_EARLY,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_client_error() && !of_server.contains(&status)
}

/// Reads a load report; one that is malformed is passed over.
#[must_use]
pub fn read_report(value: &HeaderValue) -> Option<LoadReport> {
    let text = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().strip_prefix("TEXT "));
    let Some(fields) = text else {
        log::line("a load report is malformed");
        return None;
    };
    let mut report = LoadReport::default();
    for field in fields.split(',') {
        let Some((name, figure)) = field.split_once('=') else {
            log::line("a load report is malformed");
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
