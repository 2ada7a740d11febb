//! The platform's configuration: the file that the environment variable `ROUTER_CONFIG` names.
//!
//! `raw` has the types of the file's contents. [`Config::parse`] validates them, so that a [`Config`] is always valid.

mod raw;

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fmt, fs, io};

use serde::Deserialize;
use serde_json::Value;

use self::raw::{RawConfig, RawNamed, RawNodeSettings};
use crate::node::discovery::endpoint_list::decode::ListEntry;
use crate::settings::{parse_settings, SettingsFormatError};
use balancer::{DiscoveryMode, Settings};

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Maximum duration of a setting, in milliseconds: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;
/// The radix of the seed, which is written as text.
const SEED_RADIX: u32 = 16;

/// Error in the platform's configuration, or in reading it.
#[derive(Debug)]
pub enum ConfigError {
    /// The environment variable that names the file is not set or is empty.
    NoFile,
    /// The file cannot be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of opening or reading it.
        source: io::Error,
    },
    /// The text is not JSON, or a value is missing or has the wrong type.
    Malformed(serde_json::Error),
    /// A value is invalid.
    InvalidValue {
        /// The key in the file.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// The balancer's settings are invalid.
    Settings(SettingsFormatError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile => write!(f, "{CONFIG_VARIABLE} names no configuration file"),
            Self::Unreadable { path, source } => {
                write!(f, "cannot read {}: {source}", path.display())
            }
            Self::Malformed(error) => write!(f, "the configuration is malformed: {error}"),
            Self::InvalidValue { key, value } => {
                write!(f, "the configuration's `{key}` is invalid: {value}")
            }
            Self::Settings(error) => {
                write!(f, "the configuration's `settings` are invalid: {error}")
            }
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Unreadable { source, .. } => Some(source),
            Self::Malformed(error) => Some(error),
            Self::Settings(error) => Some(error),
            Self::NoFile | Self::InvalidValue { .. } => None,
        }
    }
}

/// An endpoint list in the JSON format of the platform's discovery. Its entries are decoded one by one, so that the
/// other entries remain usable if one is malformed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    pub generation: u64,
    /// Whether the list is complete; otherwise it contains only changes.
    #[serde(default)]
    pub reset: bool,
    /// The entries.
    #[serde(default)]
    pub instances: Vec<ListEntry>,
}

/// The resources that the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum number of open file descriptors.
    #[serde(rename = "sockets")]
    pub file_descriptors: usize,
    /// Maximum memory, in MiB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            file_descriptors: 1024,
            memory_mb: 64,
        }
    }
}

/// Memory of a connection from a client with a request in progress, in bytes, beyond what its messages reserve.
pub(super) const CLIENT_CONNECTION_BYTES: usize = 32 * 1024;
/// Memory of a connection to a server with an exchange in progress, in bytes, beyond what its messages reserve.
pub(super) const SERVER_CONNECTION_BYTES: usize = 24 * 1024;
/// Memory of an endpoint in all tables of the process and in the endpoint list that is being decoded, in bytes.
const ENDPOINT_BYTES: usize = 3 * 1024;
/// Thirty-seconds of the memory that connections from clients may use.
const CLIENT_CONNECTIONS_SHARE: usize = 12;
/// Thirty-seconds of the memory that connections to servers may use.
const SERVER_CONNECTIONS_SHARE: usize = 9;
/// Thirty-seconds of the memory that the process needs without connections, with a short endpoint list.
const PROCESS_SHARE: usize = 3;
/// Thirty-seconds of the memory that messages may use at most.
const MAX_MESSAGES_SHARE: usize = 16;

impl Limits {
    /// A number of thirty-seconds of the memory, in bytes.
    fn memory_share(self, thirty_seconds: usize) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024 / 32) * thirty_seconds
    }

    /// The maximum number of connections from clients: half of all descriptors, but no more than their share of the memory
    /// holds.
    #[must_use]
    pub fn client_connections(self) -> usize {
        let max_by_memory = self.memory_share(CLIENT_CONNECTIONS_SHARE) / CLIENT_CONNECTION_BYTES;
        (self.file_descriptors / 2).min(max_by_memory).max(1)
    }

    /// The maximum number of requests in flight: one for each connection from a client, and as many whose clients have
    /// disconnected as there are connections to servers.
    #[must_use]
    pub fn requests_in_flight(self) -> usize {
        self.client_connections() + self.server_connections()
    }

    /// The memory that the ids of requests may use, in bytes.
    #[must_use]
    pub fn request_id_bytes(self) -> usize {
        self.memory_share(1) / 2
    }

    /// The memory that messages may use, in bytes: what the process with an endpoint list of `endpoints` entries and its
    /// connections leave, at most half of the memory.
    #[must_use]
    pub fn message_bytes(self, endpoints: usize) -> usize {
        let process = (endpoints * ENDPOINT_BYTES).max(self.memory_share(PROCESS_SHARE));
        let connections = self.client_connections() * CLIENT_CONNECTION_BYTES
            + self.server_connections() * SERVER_CONNECTION_BYTES;
        self.memory_share(32)
            .saturating_sub(process + connections)
            .min(self.memory_share(MAX_MESSAGES_SHARE))
    }

    /// The maximum number of connections to servers: three eighths of all descriptors, but no more than their share of the
    /// memory holds. The remaining eighth is for discovery and the operating system.
    #[must_use]
    pub fn server_connections(self) -> usize {
        let max_by_memory = self.memory_share(SERVER_CONNECTIONS_SHARE) / SERVER_CONNECTION_BYTES;
        (self.file_descriptors * 3 / 8).min(max_by_memory).max(1)
    }
}

/// Names of items in the settings, such as classes, mapped to the items' indexes.
#[derive(Clone, Debug, Default)]
pub struct Names(HashMap<String, usize>);

impl Names {
    /// Assigns increasing indexes, from 0, to names in the given order.
    #[must_use]
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        Self(
            names
                .into_iter()
                .enumerate()
                .map(|(index, name)| (name, index))
                .collect(),
        )
    }

    /// Returns the names in the order of their indexes.
    #[must_use]
    pub fn in_order(&self) -> Vec<String> {
        let mut names: Vec<_> = self.0.iter().collect();
        names.sort_by_key(|(_, index)| **index);
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns the index of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<usize> {
        self.0.get(name).copied()
    }

    /// Whether there are no names.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A node's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, if the platform assigns one.
    pub name: Option<String>,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the admin server, which only operators can reach; `None` disables the server.
    pub admin_listen: Option<SocketAddr>,
    /// The address of the platform's discovery.
    pub discovery: SocketAddr,
    /// The address on which datagrams from other nodes are received.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of other nodes for datagrams. The node's own address may be among them.
    pub peers: Vec<SocketAddr>,
    /// Whether nodes may send one another datagrams.
    pub peers_allowed: bool,
    /// Whether discovery pushes changes of the endpoint list; otherwise the balancer subscribes to them.
    pub is_discovery_pushed: bool,
    /// The seed of random numbers.
    pub seed: u64,
    /// The resources that the process may use.
    pub limits: Limits,
    /// The endpoint list that was cached in an earlier run.
    pub cached_endpoints: EndpointList,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names of the classes of requests.
    pub classes: Names,
    /// The names of the tenants; there may be none.
    pub tenants: Names,
    /// The names of the zones.
    pub zones: Names,
    /// The names of the machine kinds.
    pub machine_kinds: Names,
    /// Maximum time for establishing a connection to a server.
    pub dial_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
    /// The maximum number of requests in flight.
    pub max_in_flight: usize,
    /// Time after a server's drain is announced during which sending a request to it may still begin.
    pub drain_grace: Duration,
}

impl Config {
    /// Reads the file that the environment variable `ROUTER_CONFIG` names.
    ///
    /// # Errors
    ///
    /// The variable is not set, or the file is unreadable or invalid.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = env::var_os(CONFIG_VARIABLE)
            .filter(|path| !path.is_empty())
            .ok_or(ConfigError::NoFile)?;
        let path = Path::new(&path);
        let text = fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// The text is malformed, or a value is invalid.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: RawConfig = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let settings = parse_balancer_settings(&raw.settings)?;
        let node_settings: RawNodeSettings =
            serde_json::from_value(raw.settings).map_err(ConfigError::Malformed)?;
        let node_limits = node_settings.limits;
        Ok(Self {
            name: raw.name,
            // Datagrams between nodes are optional, so an invalid address for them must not prevent the node's start.
            peer_listen: raw.peer_listen.and_then(|address| address.parse().ok()),
            peers: raw
                .peers
                .iter()
                .filter_map(|address| address.parse().ok())
                .collect(),
            peers_allowed: node_limits.peers_allowed,
            listen: parse_address("listen", &raw.listen)?,
            admin_listen: raw
                .admin_listen
                .as_deref()
                .map(|address| parse_address("control", address))
                .transpose()?,
            discovery: parse_address("discovery", &raw.discovery)?,
            is_discovery_pushed: settings.discovery == DiscoveryMode::Push,
            seed: parse_seed(raw.seed)?,
            limits: raw.limits,
            cached_endpoints: raw.cached_endpoints,
            settings,
            classes: names(node_settings.classes),
            tenants: names(node_settings.tenants),
            zones: Names::new(node_settings.zones),
            machine_kinds: Names::new(node_settings.machine_kinds),
            dial_timeout: parse_duration("dial_timeout_ms", node_limits.dial_timeout_ms)?,
            idle_timeout: parse_duration("conn_idle_ms", node_limits.idle_timeout_ms)?,
            max_in_flight: node_limits.max_in_flight,
            drain_grace: parse_duration("drain_grace_ms", node_settings.rules.drain_grace_ms)?,
        })
    }
}

/// Parses the settings of the balancer. Disables health checks: the node sends none, so the balancer relies on the load
/// reports in responses alone.
fn parse_balancer_settings(settings: &Value) -> Result<Settings, ConfigError> {
    let mut settings = parse_settings(settings).map_err(ConfigError::Settings)?;
    settings.health_checks = false;
    settings.servers_are_addresses = true;
    settings
        .validate()
        .map_err(|error| ConfigError::Settings(SettingsFormatError::OutOfRange(error)))?;
    Ok(settings)
}

fn names(named: Vec<RawNamed>) -> Names {
    Names::new(named.into_iter().map(|named| named.name))
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::InvalidValue {
        key,
        value: text.to_owned(),
    })
}

fn parse_seed(text: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&text, SEED_RADIX).map_err(|_| ConfigError::InvalidValue {
        key: "seed",
        value: text,
    })
}

/// Converts milliseconds, at most [`MAX_DURATION_MS`], to a duration.
fn parse_duration(key: &'static str, ms: f64) -> Result<Duration, ConfigError> {
    if (0.0..=MAX_DURATION_MS).contains(&ms) {
        Ok(Duration::from_secs_f64(ms / 1e3))
    } else {
        Err(ConfigError::InvalidValue {
            key,
            value: ms.to_string(),
        })
    }
}
