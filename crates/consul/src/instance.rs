//! An instance of a service, as returned by Consul's health and catalog APIs.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;

use crate::query::Api;

/// Check id that indicates a node's maintenance mode.
const NODE_MAINTENANCE_CHECK: &str = "_node_maintenance";
/// Prefix of the check ids that indicate a service's maintenance mode.
const SERVICE_MAINTENANCE_PREFIX: &str = "_service_maintenance";

/// A check's status, in ascending order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckStatus {
    /// The check passes.
    Passing,
    /// The check warns.
    Warning,
    /// The check fails.
    Critical,
    /// An operator has put the node or the service into maintenance mode.
    Maintenance,
}

/// A check of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// The check's id.
    pub id: String,
    /// The check's status.
    pub status: CheckStatus,
}

/// A tagged address of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedAddress {
    /// An IP address or a host name.
    pub address: String,
    /// The port.
    pub port: u16,
}

/// Consul's load-balancing weights of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The weight while all checks pass.
    pub passing: f64,
    /// The weight while a check warns.
    pub warning: f64,
}

/// Consul's default weights.
impl Default for Weights {
    fn default() -> Self {
        Self {
            passing: 1.0,
            warning: 1.0,
        }
    }
}

/// An instance of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// The node's name.
    pub node: String,
    /// The node's address.
    pub node_address: String,
    /// The node's metadata.
    pub node_meta: HashMap<String, String>,
    /// The service's id, unique on its node.
    pub id: String,
    /// The service's address; empty if the service uses the node's address.
    pub address: String,
    /// The service's port.
    pub port: u16,
    /// The service's tags.
    pub tags: Vec<String>,
    /// The service's metadata.
    pub meta: HashMap<String, String>,
    /// The service's additional addresses, by tag.
    pub tagged_addresses: HashMap<String, TaggedAddress>,
    /// The service's weights.
    pub weights: Weights,
    /// The service's checks and its node's.
    pub checks: Vec<Check>,
    /// `ModifyIndex`: Consul's index of the last change to the registration.
    pub modify_index: u64,
}

/// Error from parsing an element of a response as an instance.
#[derive(Debug)]
pub enum InstanceError {
    /// The element is not valid JSON, or lacks a required field: the node's name, the service's id
    /// or a check's status.
    Json(serde_json::Error),
    /// A check has an unknown status.
    UnknownCheckStatus(String),
}

impl fmt::Display for InstanceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed instance: ")?;
        match self {
            Self::Json(error) => write!(f, "{error}"),
            Self::UnknownCheckStatus(status) => write!(f, "unknown check status {status:?}"),
        }
    }
}

impl std::error::Error for InstanceError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Json(error) => Some(error),
            Self::UnknownCheckStatus(_) => None,
        }
    }
}

impl From<serde_json::Error> for InstanceError {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawHealth {
    node: RawNode,
    service: RawService,
    #[serde(default)]
    checks: Option<Vec<RawCheck>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawNode {
    node: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    meta: Option<HashMap<String, String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawService {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    port: u16,
    #[serde(default)]
    tags: Option<Vec<String>>,
    #[serde(default)]
    meta: Option<HashMap<String, String>>,
    #[serde(default)]
    tagged_addresses: Option<HashMap<String, RawAddress>>,
    #[serde(default)]
    weights: Option<RawWeights>,
    #[serde(default)]
    modify_index: u64,
}

#[derive(Deserialize)]
struct RawAddress {
    #[serde(alias = "Address")]
    address: String,
    #[serde(alias = "Port", default)]
    port: u16,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawWeights {
    #[serde(default = "default_weight")]
    passing: f64,
    #[serde(default = "default_weight")]
    warning: f64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct RawCheck {
    #[serde(rename = "CheckID", default)]
    id: String,
    #[serde(rename = "Status")]
    status: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawCatalog {
    node: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    node_meta: Option<HashMap<String, String>>,
    #[serde(rename = "ServiceID")]
    service_id: String,
    #[serde(default)]
    service_address: String,
    #[serde(default)]
    service_port: u16,
    #[serde(default)]
    service_tags: Option<Vec<String>>,
    #[serde(default)]
    service_meta: Option<HashMap<String, String>>,
    #[serde(default)]
    service_tagged_addresses: Option<HashMap<String, RawAddress>>,
    #[serde(default)]
    service_weights: Option<RawWeights>,
    #[serde(default)]
    modify_index: u64,
}

impl Instance {
    /// Parses an element of a response's array.
    ///
    /// # Errors
    ///
    /// See [`InstanceError`].
    pub fn parse(api: Api, element: &[u8]) -> Result<Self, InstanceError> {
        match api {
            Api::Health => Self::from_health(serde_json::from_slice(element)?),
            Api::Catalog => Ok(Self::from_catalog(serde_json::from_slice(element)?)),
        }
    }

    fn from_health(raw: RawHealth) -> Result<Self, InstanceError> {
        let checks = raw
            .checks
            .unwrap_or_default()
            .into_iter()
            .map(Check::try_from);
        Ok(Self {
            node: raw.node.node,
            node_address: raw.node.address,
            node_meta: raw.node.meta.unwrap_or_default(),
            id: raw.service.id,
            address: raw.service.address,
            port: raw.service.port,
            tags: raw.service.tags.unwrap_or_default(),
            meta: raw.service.meta.unwrap_or_default(),
            tagged_addresses: tagged_addresses(raw.service.tagged_addresses),
            weights: weights(raw.service.weights),
            checks: checks.collect::<Result<_, _>>()?,
            modify_index: raw.service.modify_index,
        })
    }

    fn from_catalog(raw: RawCatalog) -> Self {
        Self {
            node: raw.node,
            node_address: raw.address,
            node_meta: raw.node_meta.unwrap_or_default(),
            id: raw.service_id,
            address: raw.service_address,
            port: raw.service_port,
            tags: raw.service_tags.unwrap_or_default(),
            meta: raw.service_meta.unwrap_or_default(),
            tagged_addresses: tagged_addresses(raw.service_tagged_addresses),
            weights: weights(raw.service_weights),
            checks: Vec::new(),
            modify_index: raw.modify_index,
        }
    }

    /// The most severe status of the instance's checks; passing if it has no checks.
    #[must_use]
    pub fn status(&self) -> CheckStatus {
        self.checks
            .iter()
            .map(|check| check.status)
            .max()
            .unwrap_or(CheckStatus::Passing)
    }
}

impl TryFrom<RawCheck> for Check {
    type Error = InstanceError;

    /// Consul represents maintenance mode as a critical check with a reserved id.
    fn try_from(raw: RawCheck) -> Result<Self, InstanceError> {
        let is_maintenance_check =
            raw.id == NODE_MAINTENANCE_CHECK || raw.id.starts_with(SERVICE_MAINTENANCE_PREFIX);
        let status = match raw.status.as_str() {
            "passing" => CheckStatus::Passing,
            "warning" => CheckStatus::Warning,
            "critical" if is_maintenance_check => CheckStatus::Maintenance,
            "critical" => CheckStatus::Critical,
            "maintenance" => CheckStatus::Maintenance,
            _ => return Err(InstanceError::UnknownCheckStatus(raw.status)),
        };
        Ok(Self { id: raw.id, status })
    }
}

fn tagged_addresses(raw: Option<HashMap<String, RawAddress>>) -> HashMap<String, TaggedAddress> {
    raw.unwrap_or_default()
        .into_iter()
        .map(|(tag, RawAddress { address, port })| (tag, TaggedAddress { address, port }))
        .collect()
}

fn weights(raw: Option<RawWeights>) -> Weights {
    raw.map_or_else(Weights::default, |RawWeights { passing, warning }| {
        Weights { passing, warning }
    })
}
