//! An instance of a service as the two APIs word it.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;

use crate::query::Api;

/// What a check says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// All is well.
    Passing,
    /// It may go on.
    Warning,
    /// It may not.
    Critical,
    /// An operator has put the node or the service into maintenance mode.
    Maintenance,
}

/// A check of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// Its id.
    pub id: String,
    /// What it says.
    pub status: Status,
}

/// An instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instance {
    /// The node's name.
    pub node: String,
    /// The node's address.
    pub node_address: String,
    /// The node's meta data.
    pub node_meta: HashMap<String, String>,
    /// The service's id, which is its own on its node.
    pub id: String,
    /// The service's address; empty where it is the node's.
    pub address: String,
    /// The service's port.
    pub port: u16,
    /// The service's tags.
    pub tags: Vec<String>,
    /// The service's meta data.
    pub meta: HashMap<String, String>,
    /// The service's further addresses.
    pub tagged: HashMap<String, (String, u16)>,
    /// Its weights while its checks pass, and while one warns.
    pub weights: (f64, f64),
    /// Its checks and its node's.
    pub checks: Vec<Check>,
    /// When it was last registered, as Consul counts changes.
    pub index: u64,
}

/// An element of an answer that is no instance.
#[derive(Debug)]
pub struct Malformed(String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an instance is malformed: {}", self.0)
    }
}

impl std::error::Error for Malformed {}

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
    #[serde(default = "one")]
    passing: f64,
    #[serde(default = "one")]
    warning: f64,
}

fn one() -> f64 {
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
    /// Reads an element of an answer.
    ///
    /// # Errors
    ///
    /// It is no JSON, or lacks what makes an instance: the node's name, the service's id, a check's status.
    pub fn read(api: Api, element: &[u8]) -> Result<Self, Malformed> {
        let malformed = |error: serde_json::Error| Malformed(error.to_string());
        match api {
            Api::Health => Self::from_health(serde_json::from_slice(element).map_err(malformed)?),
            Api::Catalog => serde_json::from_slice(element)
                .map(Self::from_catalog)
                .map_err(malformed),
        }
    }

    fn from_health(raw: RawHealth) -> Result<Self, Malformed> {
        let checks = raw
            .checks
            .unwrap_or_default()
            .into_iter()
            .map(RawCheck::read);
        Ok(Self {
            node: raw.node.node,
            node_address: raw.node.address,
            node_meta: raw.node.meta.unwrap_or_default(),
            id: raw.service.id,
            address: raw.service.address,
            port: raw.service.port,
            tags: raw.service.tags.unwrap_or_default(),
            meta: raw.service.meta.unwrap_or_default(),
            tagged: tagged(raw.service.tagged_addresses),
            weights: weights(raw.service.weights),
            checks: checks.collect::<Result<_, _>>()?,
            index: raw.service.modify_index,
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
            tagged: tagged(raw.service_tagged_addresses),
            weights: weights(raw.service_weights),
            checks: Vec::new(),
            index: raw.modify_index,
        }
    }

    /// What its checks say together: the gravest.
    #[must_use]
    pub fn status(&self) -> Status {
        self.checks
            .iter()
            .map(|check| check.status)
            .max()
            .unwrap_or(Status::Passing)
    }
}

impl RawCheck {
    /// Maintenance mode is a critical check of a reserved id.
    fn read(self) -> Result<Check, Malformed> {
        let is_reserved =
            self.id == "_node_maintenance" || self.id.starts_with("_service_maintenance");
        let status = match self.status.as_str() {
            "passing" => Status::Passing,
            "warning" => Status::Warning,
            "critical" if is_reserved => Status::Maintenance,
            "critical" => Status::Critical,
            "maintenance" => Status::Maintenance,
            other => return Err(Malformed(format!("a check's status is {other:?}"))),
        };
        Ok(Check {
            id: self.id,
            status,
        })
    }
}

fn tagged(raw: Option<HashMap<String, RawAddress>>) -> HashMap<String, (String, u16)> {
    raw.unwrap_or_default()
        .into_iter()
        .map(|(tag, at)| (tag, (at.address, at.port)))
        .collect()
}

fn weights(raw: Option<RawWeights>) -> (f64, f64) {
    raw.map_or((1.0, 1.0), |weights| (weights.passing, weights.warning))
}
