//! The operators' configuration file, which extends the platform's configuration.
//!
//! The whole file is parsed and validated before any part of it takes effect. `deploy/silverthread.toml` documents
//! every key.
//!
//! - `raw` mirrors the file: it has one type per section, whose fields are named like the keys.
//! - `bounded_value` has types of values that are checked while they are parsed.
//! - `validation` and `consul_source` convert the raw sections to the settings of the node's components.
//! - `error` describes a problem in a file, with its line and key.
//! - `summary` describes a valid file.

mod bounded_value;
mod consul_source;
mod error;
mod raw;
mod summary;
mod validation;

use std::io::{self, Read};
use std::path::Path;

use endpoint_discovery::SourcePolicy;

pub use self::error::{ConfigFileError, Problem};
use self::raw::RawConfig;
use crate::node::cluster::{ClusterSettings, LeaseSettings};
use crate::node::discovery::consul::ConsulSource;
use crate::node::upstream::addresses::ConfiguredAddresses;
use crate::node::upstream::servers::PoolLimits;

/// Maximum size of the file, in bytes: 256 bytes for each of the maximum number of servers with addresses.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// The settings in an operators' file. The default applies without a file and enables nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The sources that are merged into the endpoint view; `None` without a file.
    pub endpoint_sources: Option<EndpointSources>,
    /// Addresses of servers, in addition to or instead of those that the sources report.
    pub addresses: ConfiguredAddresses,
    /// Limits on connections to servers.
    pub pool: PoolLimits,
    /// The settings of the cluster of nodes, if the node takes part in one.
    pub cluster: Option<ClusterSettings>,
    /// The settings of leases, such as their acceptors, if the node takes part in leases.
    pub leases: Option<LeaseSettings>,
    /// The settings of outlier detection, if nodes report outliers among the servers to each other.
    pub outlier_detection: Option<outlier_detection::Settings>,
}

/// The sources of the endpoint view.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSources {
    /// The policy of the platform's endpoint list, which the operators' file calls the roster.
    pub endpoint_list: SourcePolicy,
    /// The services that are watched in Consul.
    pub consul: Vec<ConsulSource>,
}

impl OperatorConfig {
    /// Reads and validates a file, and checks that the key file named in it can be used.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with its line and key if the file could be read.
    pub fn read(file: &Path) -> Result<Self, ConfigFileError> {
        let text = read_text(file).map_err(|problem| ConfigFileError::of_file(file, problem))?;
        let config = Self::parse(file, &text)?;
        if let Some(cluster) = &config.cluster {
            cluster.read_key().map_err(|error| {
                let problem = Problem::KeyFile(error.into());
                ConfigFileError::at_offset(file, &text, cluster.key_file_offset, problem)
            })?;
        }
        Ok(config)
    }

    /// Parses and validates a file's text. `file` is used only in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with its line and key.
    pub fn parse(file: &Path, text: &str) -> Result<Self, ConfigFileError> {
        let raw: RawConfig = toml::from_str(text).map_err(|error| {
            let problem = Problem::Syntax(error.message().to_owned());
            match error.span() {
                Some(span) => ConfigFileError::at_offset(file, text, span.start, problem),
                None => ConfigFileError::of_file(file, problem),
            }
        })?;
        raw.validate().map_err(|located| {
            ConfigFileError::at_offset(file, text, located.span.start, located.problem)
        })
    }
}

fn read_text(file: &Path) -> Result<String, Problem> {
    let mut text = String::new();
    std::fs::File::open(file)?
        .take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(Problem::FileTooLarge {
            max_bytes: MAX_FILE_BYTES,
        });
    }
    Ok(text)
}

impl From<io::Error> for Problem {
    fn from(error: io::Error) -> Self {
        Self::Read(error)
    }
}
