//! The platform's configuration: the file that the environment variable `ROUTER_CONFIG` names.
//!
//! `raw` has the file's types as they are written. [`Config::parse`] validates them; a [`Config`] is always usable.

mod raw;

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fmt, fs, io};

use serde::Deserialize;
use serde_json::Value;

use self::raw::{RawConfig, RawNamed, RawSocketSettings};
use crate::settings::{parse_settings, SettingsFormatError};
use balancer::{DiscoveryMode, Settings};

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The longest duration that a setting may have: a day.
const MAX_DURATION_MS: f64 = 86_400_000.0;
/// The base of the seed's digits.
const SEED_RADIX: u32 = 16;

/// Why a configuration cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// The environment variable that names the file is not set.
    NoFile,
    /// The file cannot be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// It is not JSON, or does not have the types that it should have.
    Malformed(serde_json::Error),
    /// A value is invalid.
    InvalidValue {
        /// The key of the value.
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

/// An endpoint list in the JSON form of the platform's discovery. Its entries are decoded one by one,
/// so that a malformed one does not hide the others.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    pub generation: u64,
    /// Whether this is the whole list, and not only what changed.
    #[serde(default)]
    pub reset: bool,
    /// The entries, not decoded yet.
    #[serde(default)]
    pub instances: Vec<Value>,
}

/// The resources that the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The number of file descriptors.
    pub sockets: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            sockets: 1024,
            memory_mb: 64,
        }
    }
}

impl Limits {
    /// The maximum number of connections from clients: half of all descriptors.
    #[must_use]
    pub fn client_connections(self) -> usize {
        (self.sockets / 2).max(1)
    }

    /// The maximum number of bytes of long uploads that are buffered at a time: a quarter of the memory.
    #[must_use]
    pub fn buffered_upload_bytes(self) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024 / 4)
    }

    /// The maximum number of connections to servers: three eighths of all descriptors. What remains is for discovery and
    /// the system.
    #[must_use]
    pub fn server_connections(self) -> usize {
        (self.sockets * 3 / 8).max(1)
    }
}

/// Names, each of which stands for an index of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names(HashMap<String, usize>);

impl Names {
    /// Assigns indexes to names in their order.
    #[must_use]
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        Self(
            names
                .into_iter()
                .enumerate()
                .map(|(at, name)| (name, at))
                .collect(),
        )
    }

    /// The names in the order of their indexes.
    #[must_use]
    pub fn in_order(&self) -> Vec<String> {
        let mut names: Vec<_> = self.0.iter().collect();
        names.sort_by_key(|(_, at)| **at);
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The index of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<usize> {
        self.0.get(name).copied()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A node's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name.
    pub name: Option<String>,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the admin server, which only operators reach.
    pub admin_listen: Option<SocketAddr>,
    /// The address of the platform's discovery.
    pub discovery: SocketAddr,
    /// The address on which datagrams of other nodes arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of other nodes for datagrams; the node's own may be among them.
    pub peers: Vec<SocketAddr>,
    /// Whether nodes may send one another datagrams.
    pub peers_allowed: bool,
    /// Whether discovery pushes changes of the endpoint list without being asked.
    pub is_discovery_pushed: bool,
    /// The seed of random numbers.
    pub seed: u64,
    /// The resources that the process may use.
    pub limits: Limits,
    /// The endpoint list as cached from an earlier run.
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
    /// How long establishing a connection may take.
    pub dial_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// The maximum number of requests in flight.
    pub max_in_flight: usize,
    /// How long after the notice of a drain a send to the server may still begin.
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
    /// It is malformed, or a value is invalid.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: RawConfig = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let settings = parse_balancer_settings(&raw.settings)?;
        let sockets: RawSocketSettings =
            serde_json::from_value(raw.settings).map_err(ConfigError::Malformed)?;
        let limits = sockets.limits;
        Ok(Self {
            name: raw.name,
            // A node must serve also where it has no use for other nodes: an invalid address of one is left out.
            peer_listen: raw.peer_listen.and_then(|at| at.parse().ok()),
            peers: raw.peers.iter().filter_map(|at| at.parse().ok()).collect(),
            peers_allowed: limits.peers_allowed,
            listen: parse_address("listen", &raw.listen)?,
            admin_listen: raw
                .admin_listen
                .as_deref()
                .map(|at| parse_address("control", at))
                .transpose()?,
            discovery: parse_address("discovery", &raw.discovery)?,
            is_discovery_pushed: settings.discovery == DiscoveryMode::Push,
            seed: parse_seed(raw.seed)?,
            limits: raw.limits,
            cached_endpoints: raw.cached_endpoints,
            settings,
            classes: names(sockets.classes),
            tenants: names(sockets.tenants),
            zones: Names::new(sockets.zones),
            machine_kinds: Names::new(sockets.machine_kinds),
            dial_timeout: parse_duration("dial_timeout_ms", limits.dial_timeout_ms)?,
            idle_timeout: parse_duration("conn_idle_ms", limits.idle_timeout_ms)?,
            max_in_flight: limits.max_in_flight,
            drain_grace: parse_duration("drain_grace_ms", sockets.rules.drain_grace_ms)?,
        })
    }
}

/// The settings of the balancer, without health checks: this node cannot make any, and the balancer relies on the load
/// reports in responses alone.
fn parse_balancer_settings(settings: &Value) -> Result<Settings, ConfigError> {
    let mut settings = parse_settings(settings).map_err(ConfigError::Settings)?;
    settings.health_checks = false;
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

/// A duration in milliseconds, at most [`MAX_DURATION_MS`].
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
