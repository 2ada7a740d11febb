//! The types of the configuration file as the platform writes it. Its keys are external names: where a field is called
//! otherwise, `serde` renames it. Unknown keys are ignored.

use serde::Deserialize;
use serde_json::Value;

use super::{EndpointList, Limits};

/// The whole file.
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
    /// Hexadecimal.
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: Limits,
    #[serde(default, rename = "known")]
    pub(super) cached_endpoints: EndpointList,
    pub(super) settings: Value,
}

/// A class or a tenant, as far as its name goes.
#[derive(Deserialize)]
pub(super) struct RawNamed {
    pub(super) name: String,
}

/// The settings that concern the node alone. The balancer's own are read by [`crate::settings::parse_settings`].
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct RawSocketSettings {
    pub(super) classes: Vec<RawNamed>,
    #[serde(rename = "parties")]
    pub(super) tenants: Vec<RawNamed>,
    pub(super) zones: Vec<String>,
    #[serde(rename = "kinds")]
    pub(super) machine_kinds: Vec<String>,
    #[serde(rename = "allowed")]
    pub(super) limits: RawSocketLimits,
    pub(super) rules: RawRules,
}

/// What the node may use.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RawSocketLimits {
    pub(super) dial_timeout_ms: f64,
    #[serde(rename = "conn_idle_ms")]
    pub(super) idle_timeout_ms: f64,
    #[serde(rename = "most_held")]
    pub(super) max_in_flight: usize,
    /// Whether nodes may send one another datagrams.
    #[serde(rename = "peers")]
    pub(super) peers_allowed: bool,
}

impl Default for RawSocketLimits {
    fn default() -> Self {
        Self {
            dial_timeout_ms: 1_000.0,
            idle_timeout_ms: 60_000.0,
            max_in_flight: 20_000,
            peers_allowed: false,
        }
    }
}

/// What all nodes must keep to.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct RawRules {
    pub(super) drain_grace_ms: f64,
}
