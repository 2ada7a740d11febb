//! The types of the configuration file that the platform writes. Its keys are external names; where a field has another
//! name, `serde` renames it. Unknown keys are ignored.

use serde::Deserialize;
use serde_json::Value;

use super::{EndpointList, Limits};

/// The contents of the file.
#[derive(Deserialize)]
pub(super) struct RawConfig {
    #[serde(default)]
    pub(super) name: Option<String>,
    #[serde(default)]
    pub(super) peer_listen: Option<String>,
    #[serde(default)]
    pub(super) peers: Vec<String>,
    pub(super) listen: String,
    pub(super) discovery: String,
    #[serde(default, rename = "control")]
    pub(super) admin_listen: Option<String>,
    /// A hexadecimal number.
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: Limits,
    #[serde(default, rename = "known")]
    pub(super) cached_endpoints: EndpointList,
    pub(super) settings: Value,
}

/// A class or a tenant; the node uses only its name.
#[derive(Deserialize)]
pub(super) struct RawNamed {
    pub(super) name: String,
}

/// The settings of the node. Those of the balancer are parsed by [`crate::settings::parse_settings`].
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct RawNodeSettings {
    pub(super) classes: Vec<RawNamed>,
    #[serde(rename = "parties")]
    pub(super) tenants: Vec<RawNamed>,
    pub(super) zones: Vec<String>,
    #[serde(rename = "kinds")]
    pub(super) machine_kinds: Vec<String>,
    #[serde(rename = "allowed")]
    pub(super) limits: RawNodeLimits,
    pub(super) rules: RawRules,
}

/// Limits that the platform sets for the node.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RawNodeLimits {
    pub(super) dial_timeout_ms: f64,
    #[serde(rename = "conn_idle_ms")]
    pub(super) idle_timeout_ms: f64,
    #[serde(rename = "most_held")]
    pub(super) max_in_flight: usize,
    /// Whether nodes may send one another datagrams.
    #[serde(rename = "peers")]
    pub(super) peers_allowed: bool,
}

impl Default for RawNodeLimits {
    fn default() -> Self {
        Self {
            dial_timeout_ms: 1_000.0,
            idle_timeout_ms: 60_000.0,
            max_in_flight: 20_000,
            peers_allowed: false,
        }
    }
}

/// Rules that the platform sets for all nodes.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct RawRules {
    pub(super) drain_grace_ms: f64,
}
