//! The mapping from Consul instances to endpoints that operators configure. It determines an
//! endpoint's key, lifecycle and attributes.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use crate::instance::{CheckStatus, Instance, TaggedAddress};

/// Whether an endpoint accepts requests, in ascending order of severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lifecycle {
    /// It accepts requests.
    Ready,
    /// It finishes its current requests and gets no new ones.
    Draining,
    /// It is removed.
    Gone,
}

/// The field of an instance from which a value is taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldSource {
    /// `service-id`: the service's id.
    ServiceId,
    /// `node`: the node's name.
    Node,
    /// `meta:KEY`: the service's metadata.
    Meta(String),
    /// `node-meta:KEY`: the node's metadata.
    NodeMeta(String),
    /// `tag:PREFIX`: the remainder of the first tag with this prefix.
    Tag(String),
}

/// Error from parsing a [`FieldSource`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldSourceError(String);

impl fmt::Display for FieldSourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid field {:?}: expected `service-id`, `node`, `meta:KEY`, `node-meta:KEY` or `tag:PREFIX`",
            self.0
        )
    }
}

impl std::error::Error for FieldSourceError {}

impl FromStr for FieldSource {
    type Err = FieldSourceError;

    fn from_str(text: &str) -> Result<Self, FieldSourceError> {
        match text.split_once(':') {
            None if text == "service-id" => Ok(Self::ServiceId),
            None if text == "node" => Ok(Self::Node),
            Some(("meta", key)) if !key.is_empty() => Ok(Self::Meta(key.into())),
            Some(("node-meta", key)) if !key.is_empty() => Ok(Self::NodeMeta(key.into())),
            Some(("tag", prefix)) if !prefix.is_empty() => Ok(Self::Tag(prefix.into())),
            _ => Err(FieldSourceError(text.into())),
        }
    }
}

impl FieldSource {
    /// The value in an instance; `None` if it is missing or empty.
    fn value<'a>(&self, instance: &'a Instance) -> Option<&'a str> {
        let value = match self {
            Self::ServiceId => Some(instance.id.as_str()),
            Self::Node => Some(instance.node.as_str()),
            Self::Meta(key) => instance.meta.get(key).map(String::as_str),
            Self::NodeMeta(key) => instance.node_meta.get(key).map(String::as_str),
            Self::Tag(prefix) => instance
                .tags
                .iter()
                .find_map(|tag| tag.strip_prefix(prefix.as_str())),
        };
        value.filter(|value| !value.is_empty())
    }
}

/// Where the key that identifies an instance's endpoint is taken from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// The key is the endpoint's id, taken from this field.
    Id(FieldSource),
    /// The key is the endpoint's address.
    Address,
}

/// The lifecycle that results from each status of an instance, which is the most severe status of
/// its checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusLifecycles {
    /// For [`CheckStatus::Passing`].
    pub passing: Lifecycle,
    /// For [`CheckStatus::Warning`].
    pub warning: Lifecycle,
    /// For [`CheckStatus::Critical`].
    pub critical: Lifecycle,
    /// For [`CheckStatus::Maintenance`].
    pub maintenance: Lifecycle,
}

impl StatusLifecycles {
    fn for_status(self, status: CheckStatus) -> Lifecycle {
        match status {
            CheckStatus::Passing => self.passing,
            CheckStatus::Warning => self.warning,
            CheckStatus::Critical => self.critical,
            CheckStatus::Maintenance => self.maintenance,
        }
    }
}

/// A rule that assigns a lifecycle to instances with a tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TagRule {
    /// The tag.
    pub tag: String,
    /// The resulting lifecycle.
    pub lifecycle: Lifecycle,
}

/// A rule that assigns a lifecycle to instances with a value in the service's metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetaRule {
    /// The key in the metadata.
    pub key: String,
    /// The value that the key must have.
    pub value: String,
    /// The resulting lifecycle.
    pub lifecycle: Lifecycle,
}

/// Rules for mapping instances to endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Mapping {
    /// The source of the endpoint's key.
    pub key: KeySource,
    /// The tag of the address that becomes the endpoint's. If this is unset or the instance lacks
    /// it, the service's address is used, or else its node's.
    pub tagged_address: Option<String>,
    /// The tags of additional addresses at which the endpoint is reachable.
    pub alternate_tagged_addresses: Vec<String>,
    /// The lifecycle for each check status.
    pub status_lifecycles: StatusLifecycles,
    /// The rules that match the service's tags.
    pub tag_rules: Vec<TagRule>,
    /// The rules that match the service's metadata.
    pub meta_rules: Vec<MetaRule>,
    /// The field that holds the zone.
    pub zone: Option<FieldSource>,
    /// The field that holds the machine type.
    pub machine_type: Option<FieldSource>,
    /// The field that holds the cell.
    pub cell: Option<FieldSource>,
    /// The field that holds the weight. Without a valid number in it, Consul's own weights apply.
    pub weight: Option<FieldSource>,
    /// The field that holds the time of the last start, in milliseconds of Unix time.
    pub started_at_ms: Option<FieldSource>,
}

impl Default for Mapping {
    fn default() -> Self {
        Self {
            key: KeySource::Id(FieldSource::ServiceId),
            tagged_address: None,
            alternate_tagged_addresses: Vec::new(),
            status_lifecycles: StatusLifecycles {
                passing: Lifecycle::Ready,
                warning: Lifecycle::Ready,
                critical: Lifecycle::Gone,
                maintenance: Lifecycle::Draining,
            },
            tag_rules: Vec::new(),
            meta_rules: Vec::new(),
            zone: None,
            machine_type: None,
            cell: None,
            weight: None,
            started_at_ms: None,
        }
    }
}

/// An endpoint's key, lifecycle and attributes, as derived from one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct MappedEndpoint {
    /// The endpoint's key: its id or address, see [`KeySource`].
    pub key: String,
    /// Whether it accepts requests.
    pub lifecycle: Lifecycle,
    /// Its address; `None` if there is none, or it is a host name.
    pub address: Option<SocketAddr>,
    /// Its additional addresses.
    pub alternate_addresses: Vec<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its machine type.
    pub machine_type: Option<String>,
    /// Its cell.
    pub cell: Option<usize>,
    /// When it last started, in milliseconds of Unix time.
    pub started_at_ms: Option<f64>,
    /// Its weight at the current status of its checks.
    pub weight: f64,
    /// The instance's [`modify_index`](Instance::modify_index): of several instances of one
    /// endpoint, the one with the highest index is used.
    pub modify_index: u64,
}

/// Error from mapping an instance whose endpoint cannot be identified: the field that [`KeySource`]
/// names is missing or empty, or the instance has no valid IP address and port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnidentifiedInstance {
    /// The service's id.
    pub service_id: String,
}

impl fmt::Display for UnidentifiedInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "instance {:?} does not identify an endpoint",
            self.service_id
        )
    }
}

impl std::error::Error for UnidentifiedInstance {}

impl Mapping {
    /// Derives an endpoint from an instance.
    ///
    /// # Errors
    ///
    /// The instance does not identify an endpoint.
    pub fn apply(&self, instance: &Instance) -> Result<MappedEndpoint, UnidentifiedInstance> {
        let status = instance.status();
        let consul_weight = if status == CheckStatus::Passing {
            instance.weights.passing
        } else {
            instance.weights.warning
        };
        let address = self.address(instance);
        let key = match &self.key {
            KeySource::Id(field) => field.value(instance).map(str::to_owned),
            KeySource::Address => address.map(|address| address.to_string()),
        };
        let key = key.ok_or_else(|| UnidentifiedInstance {
            service_id: instance.id.clone(),
        })?;
        Ok(MappedEndpoint {
            key,
            lifecycle: self.lifecycle(instance, status),
            address,
            alternate_addresses: self.alternate_addresses(instance),
            zone: parse_field(self.zone.as_ref(), instance),
            machine_type: parse_field(self.machine_type.as_ref(), instance),
            cell: parse_field(self.cell.as_ref(), instance),
            started_at_ms: parse_number(self.started_at_ms.as_ref(), instance),
            weight: parse_number(self.weight.as_ref(), instance).unwrap_or(consul_weight),
            modify_index: instance.modify_index,
        })
    }

    /// The most severe lifecycle that results from the instance's checks, tags and metadata.
    fn lifecycle(&self, instance: &Instance, status: CheckStatus) -> Lifecycle {
        let by_tags = self
            .tag_rules
            .iter()
            .filter(|rule| instance.tags.contains(&rule.tag))
            .map(|rule| rule.lifecycle);
        let by_meta = self
            .meta_rules
            .iter()
            .filter(|rule| instance.meta.get(&rule.key) == Some(&rule.value))
            .map(|rule| rule.lifecycle);
        by_tags
            .chain(by_meta)
            .fold(self.status_lifecycles.for_status(status), Lifecycle::max)
    }

    fn address(&self, instance: &Instance) -> Option<SocketAddr> {
        let tagged = self
            .tagged_address
            .as_ref()
            .and_then(|tag| instance.tagged_addresses.get(tag));
        match tagged {
            Some(TaggedAddress { address, port }) => socket_address(address, *port),
            None if instance.address.is_empty() => {
                socket_address(&instance.node_address, instance.port)
            }
            None => socket_address(&instance.address, instance.port),
        }
    }

    fn alternate_addresses(&self, instance: &Instance) -> Vec<SocketAddr> {
        self.alternate_tagged_addresses
            .iter()
            .filter_map(|tag| instance.tagged_addresses.get(tag))
            .filter_map(|tagged| socket_address(&tagged.address, tagged.port))
            .collect()
    }
}

/// Parses an IP address; returns `None` for a host name, as names are not resolved, and for port 0.
fn socket_address(address: &str, port: u16) -> Option<SocketAddr> {
    let address: IpAddr = address.parse().ok()?;
    (port > 0).then_some(SocketAddr::new(address, port))
}

fn parse_field<T: FromStr>(field: Option<&FieldSource>, instance: &Instance) -> Option<T> {
    field?.value(instance)?.parse().ok()
}

/// Parses a finite number that is not negative; returns `None` for any other value.
fn parse_number(field: Option<&FieldSource>, instance: &Instance) -> Option<f64> {
    parse_field(field, instance).filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
