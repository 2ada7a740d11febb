//! Decodes the endpoint list's entries from the platform's JSON.
//!
//! An entry that cannot be decoded is logged and skipped, so that the other entries take effect.

use std::fmt;
use std::sync::Arc;

use endpoint_discovery::{Endpoint, Lifecycle};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::node::admin::log;
use crate::node::config::EndpointList;

/// An entry with the platform's field names.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawEntry {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: usize,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: f64,
    /// Any JSON value, because an invalid weight must not invalidate the entry.
    #[serde(default)]
    weight: Value,
}

/// Error in an entry of the endpoint list.
#[derive(Debug)]
pub enum EntryError {
    /// The entry is not an object with the required fields, or a field has the wrong type.
    Malformed(serde_json::Error),
    /// The lifecycle is unknown.
    UnknownLifecycle(String),
    /// The endpoint is ready, but its address cannot be parsed.
    InvalidAddress(String),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed entry: {error}"),
            Self::UnknownLifecycle(text) => write!(f, "unknown lifecycle {text:?}"),
            Self::InvalidAddress(text) => write!(f, "invalid address {text:?}"),
        }
    }
}

impl std::error::Error for EntryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Malformed(error) => Some(error),
            Self::UnknownLifecycle(_) | Self::InvalidAddress(_) => None,
        }
    }
}

/// An entry of an endpoint list. It is decoded while the list is parsed, so that only one entry at a time is in memory as
/// JSON, which takes several times the memory of an endpoint.
#[derive(Clone, Debug)]
pub struct ListEntry(Result<Endpoint, Arc<EntryError>>);

impl From<&Value> for ListEntry {
    fn from(entry: &Value) -> Self {
        Self(decode_endpoint(entry).map_err(Arc::new))
    }
}

impl<'de> Deserialize<'de> for ListEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Value::deserialize(deserializer).map(|entry| Self::from(&entry))
    }
}

/// Returns the endpoints of a list; logs and skips entries that could not be decoded.
#[must_use]
pub fn decode_endpoints(list: &EndpointList) -> Vec<Endpoint> {
    let endpoint_or_log = |entry: &ListEntry| match &entry.0 {
        Ok(endpoint) => Some(endpoint.clone()),
        Err(error) => {
            log::line(format_args!("endpoint list: {error}"));
            None
        }
    };
    list.instances.iter().filter_map(endpoint_or_log).collect()
}

/// Decodes one entry.
///
/// # Errors
///
/// See [`EntryError`]. An endpoint that is not ready needs no address.
pub fn decode_endpoint(entry: &Value) -> Result<Endpoint, EntryError> {
    let raw = RawEntry::deserialize(entry).map_err(EntryError::Malformed)?;
    let lifecycle = match raw.lifecycle.as_str() {
        "ready" => Lifecycle::Ready,
        "draining" => Lifecycle::Draining,
        "gone" => Lifecycle::Gone,
        _ => return Err(EntryError::UnknownLifecycle(raw.lifecycle)),
    };
    let address = raw.host_port.parse().ok();
    if address.is_none() && lifecycle == Lifecycle::Ready {
        return Err(EntryError::InvalidAddress(raw.host_port));
    }
    Ok(Endpoint {
        id: raw.instance_id,
        address,
        alternate_addresses: Vec::new(),
        lifecycle,
        zone: raw.zone,
        machine_type: raw.machine_type,
        cell: Some(raw.cell),
        started_at_ms: raw.started_at_ms,
        weight: raw.weight.as_f64().unwrap_or(1.0),
    })
}

#[cfg(test)]
mod tests;
