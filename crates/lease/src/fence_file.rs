//! The format of an acceptor's fence file, which stores the highest fencing token that the acceptor
//! may have granted.
//!
//! The file has three lines: the format, its version and the node's name; the reserved token; and a
//! BLAKE3 hash of these two lines as 64 hexadecimal digits. The hash and the name reveal a file
//! that is truncated, modified or from another node.

use std::fmt;

use crate::identity::FencingToken;

/// The format and its version. Files of a later version have another header and are rejected.
const HEADER: &str = "silverthread fences 1";

/// Upper bound of the length of a valid file, in bytes: three lines with a node name of up to 64
/// bytes.
pub const MAX_FENCE_FILE_BYTES: usize = 256;

/// The reason why a fence file is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceFileError {
    /// The file is truncated or modified, or its format is unknown.
    Corrupt,
    /// The file was written by another node.
    WrongNode,
}

impl fmt::Display for FenceFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt => write!(f, "the file is truncated, modified or in an unknown format"),
            Self::WrongNode => write!(f, "the file was written by another node"),
        }
    }
}

impl std::error::Error for FenceFileError {}

/// Encodes a node's fence file.
#[must_use]
pub fn encode_fence_file(node: &str, reserved: FencingToken) -> String {
    let content = format!("{HEADER} {node}\nreserved {reserved}\n");
    let hash = blake3::hash(content.as_bytes());
    format!("{content}{}\n", hash.to_hex())
}

/// Decodes a node's fence file to the highest token that the node may have granted.
///
/// # Errors
///
/// The file is corrupt or from another node.
pub fn decode_fence_file(node: &str, text: &str) -> Result<FencingToken, FenceFileError> {
    let content = verified_content(text).ok_or(FenceFileError::Corrupt)?;
    let (header, reserved) = content.split_once('\n').ok_or(FenceFileError::Corrupt)?;
    let writer = header
        .strip_prefix(HEADER)
        .and_then(|rest| rest.strip_prefix(' '))
        .ok_or(FenceFileError::Corrupt)?;
    let reserved = reserved
        .strip_prefix("reserved ")
        .and_then(|number| number.parse().ok())
        .ok_or(FenceFileError::Corrupt)?;
    if writer != node {
        return Err(FenceFileError::WrongNode);
    }
    Ok(FencingToken(reserved))
}

/// The two lines before the hash, without the last line feed, if the hash matches.
fn verified_content(text: &str) -> Option<&str> {
    let lines = text.strip_suffix('\n')?;
    let (content, hash) = lines.rsplit_once('\n')?;
    let expected = blake3::hash(format!("{content}\n").as_bytes());
    let hash = blake3::Hash::from_hex(hash).ok()?;
    (hash == expected).then_some(content)
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
