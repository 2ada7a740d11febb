//! Settings of the cluster, from the operators' file section `[instances]` and from the platform, and the key file.

use std::fmt;
use std::fs::File;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use gossip::ClusterKey;

use super::ClusterError;
use crate::node::config::Config;

/// Maximum length of the key file, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 4_096;
/// Permission bits of the group and of others.
const SHARED_MODE_BITS: u32 = 0o077;
/// All permission bits, without the file type.
const PERMISSION_BITS: u32 = 0o777;

/// The section `[instances]` of the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    /// This node's name; the platform's if `None`.
    pub name: Option<String>,
    /// The address on which datagrams are received; the platform's if `None`.
    pub listen: Option<SocketAddr>,
    /// The addresses of the other nodes; the platform's if `None`.
    pub peers: Option<Vec<SocketAddr>>,
    /// The cluster's name.
    pub cluster: String,
    /// The file with the key that all nodes share.
    pub key_file: PathBuf,
    /// Byte offset of `key_file` in the operators' file, for error messages.
    pub key_file_offset: usize,
    /// See [`gossip::Settings::probe_interval_ms`].
    pub probe_interval_ms: f64,
    /// See [`gossip::Settings::suspicion_timeout_ms`].
    pub suspicion_timeout_ms: f64,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            name: None,
            listen: None,
            peers: None,
            cluster: String::new(),
            key_file: PathBuf::new(),
            key_file_offset: 0,
            probe_interval_ms: 500.0,
            suspicion_timeout_ms: 2_500.0,
        }
    }
}

impl ClusterSettings {
    /// Reads the shared key: the file's bytes without white space at both ends.
    ///
    /// # Errors
    ///
    /// The file cannot be read, users other than its owner may access it, or its length is out of bounds.
    pub fn read_key(&self) -> Result<Vec<u8>, KeyFileError> {
        let path = &self.key_file;
        let unreadable = |source| KeyFileError::Read {
            path: path.clone(),
            source,
        };
        let file = File::open(path).map_err(unreadable)?;
        let mode = file.metadata().map_err(unreadable)?.permissions().mode();
        if mode & SHARED_MODE_BITS != 0 {
            return Err(KeyFileError::Shared {
                path: path.clone(),
                mode: mode & PERMISSION_BITS,
            });
        }
        let mut bytes = Vec::new();
        file.take(MAX_KEY_FILE_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable)?;
        let key = bytes.trim_ascii();
        if key.len() < gossip::MIN_KEY_BYTES || bytes.len() as u64 > MAX_KEY_FILE_BYTES {
            return Err(KeyFileError::Length { path: path.clone() });
        }
        Ok(key.to_vec())
    }
}

/// An error that makes the key file unusable.
#[derive(Debug)]
pub enum KeyFileError {
    /// It cannot be read.
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Users other than its owner may access it.
    Shared {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// It is too short or too long.
    Length {
        /// The file.
        path: PathBuf,
    },
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { path, source } => write!(f, "cannot read {}: {source}", path.display()),
            Self::Shared { path, mode } => write!(
                f,
                "{}: users other than its owner may access it (mode {mode:03o})",
                path.display()
            ),
            Self::Length { path } => write!(
                f,
                "{}: the key must be {} to {MAX_KEY_FILE_BYTES} bytes long",
                path.display(),
                gossip::MIN_KEY_BYTES
            ),
        }
    }
}

impl std::error::Error for KeyFileError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read { source, .. } => Some(source),
            Self::Shared { .. } | Self::Length { .. } => None,
        }
    }
}

/// The settings with which a node starts: those of the operators' file, or the platform's where that file has none.
pub(super) struct ResolvedSettings {
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub key: ClusterKey,
}

impl ResolvedSettings {
    /// Resolves the settings and reads the key file.
    ///
    /// # Errors
    ///
    /// Neither the operators' file nor the platform sets the name or the address, the name is not valid, or the key
    /// file is not usable.
    pub fn new(config: &Config, settings: &ClusterSettings) -> Result<Self, ClusterError> {
        let name = settings
            .name
            .clone()
            .or_else(|| config.name.clone())
            .ok_or(ClusterError::MissingSetting("name"))?;
        if !gossip::is_valid_node_name(&name) {
            return Err(ClusterError::InvalidName(name));
        }
        let listen = settings
            .listen
            .or(config.peer_listen)
            .ok_or(ClusterError::MissingSetting("listen"))?;
        let peers = settings
            .peers
            .clone()
            .unwrap_or_else(|| config.peers.clone());
        let key = settings.read_key().map_err(ClusterError::KeyFile)?;
        let key = ClusterKey::new(&settings.cluster, &key);
        Ok(Self {
            name,
            listen,
            peers,
            key,
        })
    }
}
