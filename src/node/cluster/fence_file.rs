//! Reads and writes an acceptor's fence file, whose format [`lease`] defines.
//!
//! The file is replaced atomically, so a crash leaves either the previous file or the new one.

use std::cell::Cell;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use lease::{
    decode_fence_file, encode_fence_file, FenceFileError, FencingToken, MAX_FENCE_FILE_BYTES,
};

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

/// The fence file of a running acceptor. One write is in progress at a time, each of the highest token requested by then:
/// a write that failed for a while cannot replace a later one with a lower token.
pub struct FenceFile {
    path: PathBuf,
    node: String,
    requested: Cell<FencingToken>,
    is_writing: Cell<bool>,
}

impl FenceFile {
    /// The file of this node.
    pub fn new(path: PathBuf, node: &str) -> Rc<Self> {
        Rc::new(Self {
            path,
            node: node.to_owned(),
            requested: Cell::default(),
            is_writing: Cell::default(),
        })
    }

    /// Stores that this acceptor may grant tokens up to `token`, and calls `confirm` with the highest stored token. Must be
    /// called in a `LocalSet`.
    ///
    /// A failed write is retried until it succeeds; the first failure is logged. Until then no token beyond the last
    /// reservation is granted.
    pub fn reserve(self: &Rc<Self>, token: FencingToken, confirm: impl Fn(FencingToken) + 'static) {
        self.requested.set(self.requested.get().max(token));
        if self.is_writing.replace(true) {
            return;
        }
        let file = Rc::clone(self);
        tokio::task::spawn_local(async move {
            loop {
                let stored = file.write_requested().await;
                confirm(stored);
                if file.requested.get() == stored {
                    return file.is_writing.set(false);
                }
            }
        });
    }

    /// Writes the highest requested token, on a blocking thread, until that succeeds; returns the token.
    async fn write_requested(&self) -> FencingToken {
        let mut is_logged = false;
        loop {
            let token = self.requested.get();
            let (path, text) = (self.path.clone(), encode_fence_file(&self.node, token));
            let written = tokio::task::spawn_blocking(move || replace(&path, &text)).await;
            match written.unwrap_or_else(|error| Err(io::Error::other(error))) {
                Ok(()) => return token,
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
}

#[cfg(test)]
mod tests;
