//! The roster: the list of servers as the platform's discovery words it.

use endpoint_discovery::{Endpoint, Lifecycle};
use serde::Deserialize;
use serde_json::Value;

use crate::node::admin::log;
use crate::node::config::HostList;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Raw {
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
    /// A weight that is none hides no server.
    #[serde(default)]
    weight: Value,
}

/// Reads the entries of a list.
#[must_use]
pub fn read_all(list: &HostList) -> Vec<Endpoint> {
    list.instances.iter().filter_map(read).collect()
}

/// Reads an entry; one that makes no sense is logged and passed over.
#[must_use]
pub fn read(value: &Value) -> Option<Endpoint> {
    let raw = Raw::deserialize(value)
        .map_err(|error| {
            log::line(format_args!(
                "an entry of the list of servers is malformed: {error}"
            ));
        })
        .ok()?;
    let lifecycle = match raw.lifecycle.as_str() {
        "ready" => Lifecycle::Ready,
        "draining" => Lifecycle::Draining,
        "gone" => Lifecycle::Gone,
        other => {
            log::line(format_args!(
                "the list of servers has an unknown lifecycle: {other:?}"
            ));
            return None;
        }
    };
    let address = raw.host_port.parse().ok();
    if address.is_none() && lifecycle == Lifecycle::Ready {
        log::line(format_args!(
            "the list of servers has a bad address: {:?}",
            raw.host_port
        ));
        return None;
    }
    Some(Endpoint {
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
