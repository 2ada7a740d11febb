//! Why a node cannot take part in its cluster.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use super::KeyFileError;

/// Why a node cannot take part in its cluster.
#[derive(Debug)]
pub enum ClusterError {
    /// Neither the operators' file nor the platform has this setting.
    MissingSetting(&'static str),
    /// This cannot be a node's name.
    InvalidName(String),
    /// The key file is not usable.
    KeyFile(KeyFileError),
    /// A subsystem that builds on gossip cannot start.
    Subsystem {
        /// Its section in the operators' file.
        section: &'static str,
        /// Why not.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The address cannot be bound.
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

impl ClusterError {
    /// An error of the subsystem with this section in the operators' file.
    pub(super) fn subsystem<E>(section: &'static str) -> impl FnOnce(E) -> Self
    where
        E: Into<Box<dyn Error + Send + Sync>>,
    {
        move |source| Self::Subsystem {
            section,
            source: source.into(),
        }
    }
}

impl fmt::Display for ClusterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingSetting(key) => write!(
                f,
                "[instances]: neither the operators' file nor the platform sets `{key}`"
            ),
            Self::InvalidName(name) => {
                write!(f, "[instances]: {name:?} cannot be a node's name")
            }
            Self::KeyFile(error) => write!(f, "[instances]: {error}"),
            Self::Subsystem { section, source } => write!(f, "[{section}]: {source}"),
            Self::Listen { address, source } => {
                write!(f, "cannot listen for other nodes at {address}: {source}")
            }
        }
    }
}

impl Error for ClusterError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::MissingSetting(_) | Self::InvalidName(_) => None,
            Self::KeyFile(error) => Some(error),
            Self::Subsystem { source, .. } => Some(source.as_ref()),
            Self::Listen { source, .. } => Some(source),
        }
    }
}
