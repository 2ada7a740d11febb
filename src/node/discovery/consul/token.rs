//! The token for Consul's agents, read from its file.

use std::fmt;
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use hyper::header::HeaderValue;

/// The longest token; Consul's own have 36 characters.
const MAX_TOKEN_BYTES: usize = 4 * 1024;

/// Why there is no token.
#[derive(Debug)]
pub enum TokenError {
    /// The file cannot be read.
    Unreadable(io::Error),
    /// The file is empty, too large, or holds what no header may contain.
    Invalid,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "the token's file cannot be read: {error}"),
            Self::Invalid => f.write_str("the token's file holds no token"),
        }
    }
}

impl std::error::Error for TokenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Unreadable(error) => Some(error),
            Self::Invalid => None,
        }
    }
}

/// Reads the token. It is read anew for each query, so that it can be replaced while the node runs,
/// and never logged.
///
/// # Errors
///
/// See [`TokenError`].
pub fn read_token(file: &Path) -> Result<HeaderValue, TokenError> {
    let mut text = Vec::new();
    // One byte more than allowed shows that a file is too large, also if it has no end.
    File::open(file)
        .and_then(|file| file.take(MAX_TOKEN_BYTES as u64 + 1).read_to_end(&mut text))
        .map_err(TokenError::Unreadable)?;
    let token = text.trim_ascii();
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES {
        return Err(TokenError::Invalid);
    }
    let mut value = HeaderValue::from_bytes(token).map_err(|_| TokenError::Invalid)?;
    value.set_sensitive(true);
    Ok(value)
}
