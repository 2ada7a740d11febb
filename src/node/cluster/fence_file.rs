//! Reads and writes an acceptor's fence file, whose format [`lease`] defines.
//!
//! The file is replaced atomically, so a crash leaves either the previous file or the new one.

use std::fmt;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use lease::{
    decode_fence_file, encode_fence_file, Event, FenceFileError, FencingToken, MAX_FENCE_FILE_BYTES,
};

use super::Cluster;
use crate::node::admin::log;

/// Delay between a failed write and the next attempt.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// An error that makes a fence file unusable.
#[derive(Debug)]
pub enum FenceFileReadError {
    /// The file cannot be read.
    Io(PathBuf, io::Error),
    /// The file is corrupt or from another node.
    Invalid(PathBuf, FenceFileError),
}

impl fmt::Display for FenceFileReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(f, "fence_file {}: {error}", path.display()),
            Self::Invalid(path, error) => write!(f, "fence_file {}: {error}", path.display()),
        }
    }
}

impl std::error::Error for FenceFileReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(_, error) => Some(error),
            Self::Invalid(_, error) => Some(error),
        }
    }
}

/// Reads the highest token that this node may have granted; 0 if the file does not exist.
///
/// # Errors
///
/// The file exists but cannot be read, is corrupt, or is from another node.
pub fn read(path: &Path, node: &str) -> Result<FencingToken, FenceFileReadError> {
    let io_error = |error| FenceFileReadError::Io(path.to_owned(), error);
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(FencingToken(0)),
        Err(error) => return Err(io_error(error)),
    };
    let mut text = String::new();
    file.take(MAX_FENCE_FILE_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(io_error)?;
    decode_fence_file(node, &text)
        .map_err(|error| FenceFileReadError::Invalid(path.to_owned(), error))
}

/// Replaces the file atomically: writes and syncs a new one, renames it, and syncs the directory.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let mut new_path = path.as_os_str().to_owned();
    new_path.push(".new");
    let mut file = File::create(&new_path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&new_path, path)?;
    let directory = path
        .parent()
        .filter(|directory| !directory.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}

/// Stores that this acceptor may grant tokens up to `token`, on a blocking thread, and confirms
/// that to the lease manager.
///
/// A failed write is retried until it succeeds, and logged once; until then no token beyond the
/// last reservation is granted. Dropping the future cancels the confirmation, but not a write in
/// progress.
pub async fn reserve_tokens(cluster: Rc<Cluster>, path: PathBuf, token: FencingToken) {
    let text = encode_fence_file(&cluster.name, token);
    let mut is_logged = false;
    loop {
        let (path, text) = (path.clone(), text.clone());
        let written = tokio::task::spawn_blocking(move || replace(&path, &text)).await;
        match written.unwrap_or_else(|error| Err(io::Error::other(error))) {
            Ok(()) => return cluster.handle_lease_event(Event::TokensReserved(token)),
            Err(error) if !is_logged => {
                is_logged = true;
                log::line(format_args!(
                    "leases: the fence file cannot be written: {error}"
                ));
            }
            Err(_) => {}
        }
        tokio::time::sleep(WRITE_RETRY_INTERVAL).await;
    }
}
