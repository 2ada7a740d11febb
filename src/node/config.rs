//! What a node is told at its start: the file that `ROUTER_CONFIG` names.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fmt, fs, io};

use serde::Deserialize;
use serde_json::Value;

use crate::settings::{parse_settings, SettingsFormatError};
use balancer::{DiscoveryMode, Settings};

/// The variable that names the configuration file.
const VARIABLE: &str = "ROUTER_CONFIG";

/// Why a configuration cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    NoFile,
    /// The file cannot be read.
    Unreadable(PathBuf, io::Error),
    /// It is not the JSON that it should be.
    Malformed(serde_json::Error),
    /// A value makes no sense.
    Value(&'static str, String),
    /// The settings are not what the module takes.
    Settings(SettingsFormatError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile => write!(f, "{VARIABLE} names no configuration file"),
            Self::Unreadable(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            Self::Malformed(error) => write!(f, "the configuration is malformed: {error}"),
            Self::Value(key, value) => {
                write!(f, "the configuration's `{key}` makes no sense: {value}")
            }
            Self::Settings(error) => {
                write!(f, "the configuration's `settings` make no sense: {error}")
            }
        }
    }
}

impl std::error::Error for ConfigError {}

/// An endpoint list in the JSON form of the platform's discovery. Its entries are decoded one by one,
/// so that a malformed one does not hide the others.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Its version.
    pub generation: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub reset: bool,
    /// Its entries.
    #[serde(default)]
    pub instances: Vec<Value>,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
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
    /// Connections from clients: half of all.
    #[must_use]
    pub fn client_connections(self) -> usize {
        (self.sockets / 2).max(1)
    }

    /// Bytes of long requests that are held at a time: a quarter of the memory.
    #[must_use]
    pub fn long_requests(self) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024 / 4)
    }

    /// Connections to servers: three eighths; what remains is for discovery and the system.
    #[must_use]
    pub fn server_connections(self) -> usize {
        (self.sockets * 3 / 8).max(1)
    }
}

/// Names that stand for an index of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names(HashMap<String, usize>);

impl Names {
    /// Numbers names in their order.
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

    /// The names, in the order of what they stand for.
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
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, and nobody else.
    pub control: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where datagrams of other nodes arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Where other nodes are reached by datagrams; its own address may be among them.
    pub peers: Vec<SocketAddr>,
    /// Whether nodes may send one another datagrams.
    pub peers_allowed: bool,
    /// Whether changes of the list come by themselves.
    pub push: bool,
    /// For random numbers.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// The list of servers as last held.
    pub known: EndpointList,
    /// The module's settings.
    pub settings: Settings,
    /// Classes of requests.
    pub classes: Names,
    /// Tenants; there may be none.
    pub tenants: Names,
    /// Zones.
    pub zones: Names,
    /// Machine kinds.
    pub kinds: Names,
    /// How long a connection may take to come up.
    pub dial_timeout: Duration,
    /// How long a connection may stand idle.
    pub idle_limit: Duration,
    /// Requests that may be held at a time.
    pub most_held: usize,
    /// How long after word of a drain a send may still begin.
    pub drain_grace: Duration,
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    listen: String,
    discovery: String,
    #[serde(default)]
    control: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

/// The settings that concern the sockets alone; the module's own are read by `parse_settings`.
#[derive(Deserialize)]
#[serde(default)]
struct SocketSettings {
    classes: Vec<Named>,
    parties: Vec<Named>,
    zones: Vec<String>,
    kinds: Vec<String>,
    allowed: Allowed,
    rules: Rules,
}

impl Default for SocketSettings {
    fn default() -> Self {
        let (classes, parties, zones, kinds) = Default::default();
        Self {
            classes,
            parties,
            zones,
            kinds,
            allowed: Allowed::default(),
            rules: Rules::default(),
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Allowed {
    dial_timeout_ms: f64,
    conn_idle_ms: f64,
    most_held: usize,
    peers: bool,
}

impl Default for Allowed {
    fn default() -> Self {
        Self {
            dial_timeout_ms: 1_000.0,
            conn_idle_ms: 60_000.0,
            most_held: 20_000,
            peers: false,
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Rules {
    drain_grace_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 0.0,
        }
    }
}

impl Config {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// It is not there or cannot be used.
    pub fn from_environment() -> Result<Self, ConfigError> {
        let path = env::var_os(VARIABLE)
            .filter(|path| !path.is_empty())
            .ok_or(ConfigError::NoFile)?;
        let path = Path::new(&path);
        let text = fs::read_to_string(path)
            .map_err(|error| ConfigError::Unreadable(path.to_owned(), error))?;
        Self::parse(&text)
    }

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// It cannot be used.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: Raw = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let mut settings = parse_settings(&raw.settings).map_err(ConfigError::Settings)?;
        // This node cannot probe: the balancer is told so, and goes by the reports in answers alone.
        settings.health_checks = false;
        settings
            .validate()
            .map_err(|error| ConfigError::Settings(SettingsFormatError::OutOfRange(error)))?;
        let sockets: SocketSettings =
            serde_json::from_value(raw.settings).map_err(ConfigError::Malformed)?;
        let names = |named: Vec<Named>| Names::new(named.into_iter().map(|n| n.name));
        Ok(Self {
            name: raw.name,
            // What a node has no use for must not keep it from serving: an address that cannot be read is none.
            peer_listen: raw.peer_listen.and_then(|at| at.parse().ok()),
            peers: raw.peers.iter().filter_map(|at| at.parse().ok()).collect(),
            peers_allowed: sockets.allowed.peers,
            listen: address("listen", &raw.listen)?,
            control: raw
                .control
                .as_deref()
                .map(|at| address("control", at))
                .transpose()?,
            discovery: address("discovery", &raw.discovery)?,
            push: settings.discovery == DiscoveryMode::Push,
            seed: u64::from_str_radix(&raw.seed, 16)
                .map_err(|_| ConfigError::Value("seed", raw.seed))?,
            limits: raw.limits,
            known: raw.known,
            settings,
            classes: names(sockets.classes),
            tenants: names(sockets.parties),
            zones: Names::new(sockets.zones),
            kinds: Names::new(sockets.kinds),
            dial_timeout: duration("dial_timeout_ms", sockets.allowed.dial_timeout_ms)?,
            idle_limit: duration("conn_idle_ms", sockets.allowed.conn_idle_ms)?,
            most_held: sockets.allowed.most_held,
            drain_grace: duration("drain_grace_ms", sockets.rules.drain_grace_ms)?,
        })
    }
}

fn address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::Value(key, text.to_owned()))
}

/// A time in milliseconds, a day at the most.
fn duration(key: &'static str, ms: f64) -> Result<Duration, ConfigError> {
    if ms.is_finite() && (0.0..=86_400_000.0).contains(&ms) {
        Ok(Duration::from_secs_f64(ms / 1e3))
    } else {
        Err(ConfigError::Value(key, ms.to_string()))
    }
}
