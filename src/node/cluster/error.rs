//! Errors of joining a cluster.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use super::KeyFileError;

/// An error that prevents a node from joining its cluster.
#[derive(Debug)]
pub enum ClusterError {
    /// Neither the operators' file nor the platform sets this key.
    MissingSetting(&'static str),
    /// The name is not a valid node name.
    InvalidName(String),
    /// The key file is not usable.
    KeyFile(KeyFileError),
    /// A subsystem that builds on gossip cannot start.
    Subsystem {
        /// Its section in the operators' file.
        section: &'static str,
        /// The error of the subsystem.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The address cannot be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl ClusterError {
    /// Wraps an error of the subsystem whose settings are in this section of the operators' file.
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
            Self::Bind { address, source } => {
                write!(
                    f,
                    "cannot bind the cluster's UDP socket to {address}: {source}"
                )
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
            Self::Bind { source, .. } => Some(source),
        }
    }
}
