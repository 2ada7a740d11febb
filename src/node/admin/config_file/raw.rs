//! The contents of the operators' file, with one type per section. Fields have the names of the file's keys.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use pool::DEFAULT_PREFERENCE;
use serde::Deserialize;
use toml::Spanned;

use super::bounded_value::{
    AddressText, CountLimit, FieldText, Fraction, PollIntervalMs, ProbeIntervalMs,
    QueryWaitSeconds, RatePerSecond, Seconds, ServerIdText, SuspicionMs,
};

/// The contents of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    #[serde(default)]
    pub membership: RawMembership,
    #[serde(default)]
    pub consul: Vec<RawConsul>,
    #[serde(default)]
    pub server: Vec<RawServer>,
    #[serde(default)]
    pub pool: RawPool,
    pub instances: Option<RawInstances>,
    pub leases: Option<Spanned<RawLeases>>,
    #[serde(rename = "word")]
    pub outlier_detection: Option<Spanned<RawOutlierDetection>>,
}

/// `[membership]`: the policy for merging the platform's endpoint list with other sources.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct RawMembership {
    pub panic_share: Option<Fraction>,
    pub panic_window_s: Option<Seconds>,
    pub confirm_s: Option<Seconds>,
}

/// `[pool]`: limits on connections to servers.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct RawPool {
    pub connections_per_server: Option<CountLimit>,
    pub dials_at_a_time: Option<CountLimit>,
    pub cold_dials_per_s: Option<RatePerSecond>,
    #[serde(default)]
    pub ahead: bool,
}

/// `[[server]]`: a server's addresses.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawServer {
    pub id: Spanned<String>,
    #[serde(default)]
    pub only: bool,
    pub addresses: Spanned<Vec<Spanned<RawRoute>>>,
}

/// One address of a server.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    pub address: AddressText,
    #[serde(default = "default_preference")]
    pub preference: u16,
    pub label: Option<String>,
}

fn default_preference() -> u16 {
    DEFAULT_PREFERENCE
}

/// `[instances]`: this node and the other nodes of its cluster.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawInstances {
    pub name: Option<Spanned<String>>,
    pub listen: Option<SocketAddr>,
    pub peers: Option<Spanned<Vec<SocketAddr>>>,
    pub fleet: Spanned<String>,
    pub key_file: Spanned<PathBuf>,
    pub probe_ms: Option<ProbeIntervalMs>,
    pub suspect_ms: Option<Spanned<SuspicionMs>>,
}

/// `[leases]`: the acceptors that grant leases, and the settings of leases.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLeases {
    pub keepers: Spanned<Vec<String>>,
    pub set: Option<u32>,
    pub before: Option<Spanned<Vec<String>>>,
    pub shards: Option<u8>,
    pub lease_ms: Option<f64>,
    pub drift: Option<f64>,
    pub fence_file: Option<PathBuf>,
    pub fleet_log: Option<SocketAddr>,
}

/// `[word]`: outlier detection, based on reports of failing servers that the nodes exchange.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOutlierDetection {
    pub turn_ms: Option<f64>,
    pub half_life_ms: Option<f64>,
    pub reporters: Option<usize>,
    pub share: Option<f64>,
    pub floor: Option<f64>,
    pub panic_share: Option<f64>,
}

/// `[[consul]]`: a service that is watched in Consul.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConsul {
    pub name: Spanned<String>,
    pub service: Spanned<String>,
    pub agents: Spanned<Vec<Spanned<SocketAddr>>>,
    #[serde(default)]
    pub api: RawApi,
    #[serde(default)]
    pub consistency: RawConsistency,
    #[serde(default)]
    pub wait_s: Option<QueryWaitSeconds>,
    pub datacenter: Option<String>,
    pub namespace: Option<String>,
    pub partition: Option<String>,
    #[serde(default)]
    pub tags: Vec<String>,
    pub filter: Option<String>,
    pub token_file: Option<PathBuf>,
    pub most_age_s: Option<Seconds>,
    pub pace_ms: Option<PollIntervalMs>,
    #[serde(default)]
    pub names_servers: Option<Spanned<bool>>,
    pub id: Option<ServerIdText>,
    pub tagged_address: Option<String>,
    #[serde(default)]
    pub also_tagged: Vec<String>,
    pub zone: Option<FieldText>,
    pub kind: Option<FieldText>,
    pub cell: Option<FieldText>,
    pub weight: Option<FieldText>,
    pub started_at_ms: Option<FieldText>,
    #[serde(default)]
    pub states: RawStates,
    pub panic_share: Option<Fraction>,
    pub panic_window_s: Option<Seconds>,
    pub confirm_s: Option<Seconds>,
    pub hold_s: Option<Seconds>,
    pub damping: Option<RawDamping>,
}

#[derive(Clone, Copy, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum RawApi {
    #[default]
    Health,
    Catalog,
}

#[derive(Clone, Copy, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum RawConsistency {
    #[default]
    Default,
    Stale,
    Consistent,
    Cached,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RawState {
    Ready,
    Draining,
    Gone,
}

/// `[consul.states]`: the lifecycle of a server for each state in Consul.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct RawStates {
    pub passing: Option<RawState>,
    pub warning: Option<RawState>,
    pub critical: Option<RawState>,
    pub maintenance: Option<RawState>,
    #[serde(default)]
    pub tags: BTreeMap<String, RawState>,
    /// Lifecycles by metadata key and, within a key, by metadata value.
    #[serde(default)]
    pub meta: BTreeMap<String, BTreeMap<String, RawState>>,
}

/// `[consul.damping]`: flap damping, that is, how long a flapping server is excluded.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(
    clippy::struct_field_names,
    reason = "fields have the names of the file's keys, which end in their unit"
)]
pub struct RawDamping {
    pub first_s: Seconds,
    pub most_s: Seconds,
    pub half_life_s: Seconds,
}
