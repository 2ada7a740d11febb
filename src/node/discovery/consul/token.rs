//! Reads the token for Consul's agents from its file.

use std::fmt;
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use hyper::header::HeaderValue;

/// Maximum length of a token, in bytes. Tokens that Consul generates have 36 characters.
const MAX_TOKEN_BYTES: usize = 4 * 1024;

/// Error in a token file, or in reading it.
#[derive(Debug)]
pub enum TokenError {
    /// The file cannot be read.
    Unreadable(io::Error),
    /// The file is empty, too large, or contains bytes that are not valid in a header.
    Invalid,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "cannot read the token file: {error}"),
            Self::Invalid => f.write_str("the token file does not contain a valid token"),
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

/// Reads the token. Called for each query, so that the token can be replaced while the node runs.
/// The token is never logged.
///
/// # Errors
///
/// See [`TokenError`].
pub fn read_token(file: &Path) -> Result<HeaderValue, TokenError> {
    let mut text = Vec::new();
    // Reading one byte more than allowed detects a file that is too large, even an endless one.
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
