//! Metadata of a request from its headers and query: id, class, tenant, deadline and sticky key. Also removes the hop-by-hop
//! headers before a request is forwarded.

use std::time::Duration;

use balancer::Idempotency;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::Method;

use crate::node::dispatcher::SettingNames;
use crate::node::downstream::response::InvalidRequest;

/// Longest valid deadline. A longer one is considered a mistake and rejected.
const MAX_DEADLINE: Duration = Duration::from_secs(60 * 60);

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that describe a request. A request in which one of them occurs twice is ambiguous and therefore invalid.
const SINGLE_VALUE_HEADERS: [HeaderName; 8] = [
    REQ_ID,
    REQ_KIND,
    REQ_OWNER,
    REQ_DEADLINE,
    IDEMPOTENCY_KEY,
    HeaderName::from_static("req-retry"),
    HeaderName::from_static("req-cost"),
    HeaderName::from_static("req-extra"),
];

/// Headers that apply to one connection only, or that are generated again for the connection to the server.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Metadata of a request from its headers.
#[derive(Debug)]
pub(super) struct RequestMetadata {
    /// The value of `Req-Id`.
    pub(super) id: HeaderValue,
    /// Index of the class that `Req-Kind` names.
    pub(super) class: usize,
    /// Index of the tenant that `Req-Owner` names; 0 without tenants or without the header.
    pub(super) tenant: usize,
    /// The value of `Req-Deadline`, limited to the longest timeout of the class. It counts from the request's last byte.
    pub(super) deadline: Duration,
}

impl RequestMetadata {
    /// Parses and validates the headers.
    ///
    /// # Errors
    ///
    /// A header is missing, malformed or repeated, its value is not in the settings, or the method or `Idempotency-Key`
    /// contradicts the class.
    pub(super) fn parse(
        method: &Method,
        headers: &HeaderMap,
        names: &SettingNames,
    ) -> Result<Self, InvalidRequest> {
        reject_repeated_headers(headers)?;
        let id = parse_id(headers)?;
        let class = header_text(headers, REQ_KIND)
            .and_then(|kind| names.classes.get(kind))
            .ok_or(InvalidRequest::bad_request(
                "Req-Kind is missing or unknown\n",
            ))?;
        let tenant = parse_tenant(headers, names)?;
        let deadline = header_text(headers, REQ_DEADLINE)
            .and_then(parse_deadline)
            .ok_or(InvalidRequest::bad_request(
                "Req-Deadline is missing or bad\n",
            ))?;
        let rule = &names.rules[class];
        check_idempotency(method, headers, rule.idempotency)?;
        Ok(Self {
            id,
            class,
            tenant,
            deadline: deadline.min(rule.max_timeout),
        })
    }
}

/// Returns the header's value: `None` if it is absent, and empty if it is not visible ASCII.
fn header_text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers
        .get(name)
        .map(|value| value.to_str().unwrap_or_default())
}

fn reject_repeated_headers(headers: &HeaderMap) -> Result<(), InvalidRequest> {
    let is_repeated = |name| headers.get_all(name).iter().nth(1).is_some();
    if SINGLE_VALUE_HEADERS.iter().any(is_repeated) {
        return Err(InvalidRequest::bad_request(
            "a header of the request comes twice\n",
        ));
    }
    Ok(())
}

fn parse_id(headers: &HeaderMap) -> Result<HeaderValue, InvalidRequest> {
    headers
        .get(REQ_ID)
        .filter(|id| id.to_str().is_ok_and(|id| !id.is_empty()))
        .cloned()
        .ok_or(InvalidRequest::bad_request("Req-Id is missing or bad\n"))
}

fn parse_tenant(headers: &HeaderMap, names: &SettingNames) -> Result<usize, InvalidRequest> {
    match header_text(headers, REQ_OWNER) {
        Some(owner) if !names.tenants.is_empty() => names
            .tenants
            .get(owner)
            .ok_or(InvalidRequest::bad_request("Req-Owner is unknown\n")),
        _ => Ok(0),
    }
}

/// Checks that the method and the presence of `Idempotency-Key` match the class.
fn check_idempotency(
    method: &Method,
    headers: &HeaderMap,
    idempotency: Idempotency,
) -> Result<(), InvalidRequest> {
    let key = header_text(headers, IDEMPOTENCY_KEY);
    if key.is_some_and(str::is_empty) {
        return Err(InvalidRequest::bad_request(
            "Idempotency-Key is empty or bad\n",
        ));
    }
    let (expected_method, expects_key) = match idempotency {
        Idempotency::Idempotent => (Method::GET, false),
        Idempotency::IdempotencyKey { .. } => (Method::POST, true),
        Idempotency::NonIdempotent => (Method::POST, false),
    };
    if *method != expected_method || key.is_some() != expects_key {
        return Err(InvalidRequest::bad_request(
            "the method or Idempotency-Key is not the one of its Req-Kind\n",
        ));
    }
    Ok(())
}

/// Parses `Req-Deadline`: `480m` is in milliseconds, `480000u` in microseconds. Returns `None` for other forms that the
/// float parser accepts (a sign, an exponent, infinity), and for deadlines that are zero or above [`MAX_DEADLINE`].
fn parse_deadline(text: &str) -> Option<Duration> {
    let number = text.strip_suffix(['m', 'u'])?;
    let is_decimal = number
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = number
        .parse::<f64>()
        .ok()
        .filter(|number| is_decimal && *number > 0.0)?;
    let units_per_second = if text.ends_with('m') { 1e3 } else { 1e6 };
    Duration::try_from_secs_f64(number / units_per_second)
        .ok()
        .filter(|deadline| *deadline <= MAX_DEADLINE)
}

/// Returns the query parameter `key`: requests with the same key are sticky to a server.
pub(super) fn sticky_key(query: &str) -> Option<Box<str>> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix("key="))
        .map(Into::into)
}

/// Returns the headers without the hop-by-hop headers and those that `Connection` names. `Req-Id` and `Idempotency-Key` are
/// kept even if `Connection` names them: without them a retry could be executed twice.
pub(super) fn remove_hop_by_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != REQ_ID && *name != IDEMPOTENCY_KEY)
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&connection_headers) {
        headers.remove(name);
    }
    headers
}
