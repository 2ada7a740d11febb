//! The format of an acceptor's fence file: up to which fencing token it may have granted.
//!
//! The file has three lines: the format, its version and the node's name; the reserved token; and a
//! BLAKE3 hash of these two lines as 64 hexadecimal digits. So a file that is truncated, changed or
//! from another node is told from a valid one.

use std::fmt;

use crate::identity::FencingToken;

/// The format and its version. A later version has another header and is rejected by this program.
const HEADER: &str = "silverthread fences 1";

/// The longest file that is valid, in bytes: three lines, with a node name of 64 bytes.
pub const MAX_FENCE_FILE_BYTES: usize = 256;

/// Why a fence file is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceFileError {
    /// It is truncated or changed, or its format is not known.
    Corrupt,
    /// It was written by another node.
    WrongNode,
}

impl fmt::Display for FenceFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt => write!(f, "it is truncated, changed, or of another format"),
            Self::WrongNode => write!(f, "another node wrote it"),
        }
    }
}

impl std::error::Error for FenceFileError {}

/// The text of a node's fence file.
#[must_use]
pub fn encode_fence_file(node: &str, reserved: FencingToken) -> String {
    let content = format!("{HEADER} {node}\nreserved {reserved}\n");
    let hash = blake3::hash(content.as_bytes());
    format!("{content}{}\n", hash.to_hex())
}

/// The highest token that a node may have granted, by its fence file.
///
/// # Errors
///
/// The file is corrupt or from another node.
pub fn decode_fence_file(node: &str, text: &str) -> Result<FencingToken, FenceFileError> {
    let content = verified_content(text).ok_or(FenceFileError::Corrupt)?;
    let (header, reserved) = content.split_once('\n').ok_or(FenceFileError::Corrupt)?;
    let author = header
        .strip_prefix(HEADER)
        .and_then(|rest| rest.strip_prefix(' '))
        .ok_or(FenceFileError::Corrupt)?;
    let reserved = reserved
        .strip_prefix("reserved ")
        .and_then(|number| number.parse().ok())
        .ok_or(FenceFileError::Corrupt)?;
    if author != node {
        return Err(FenceFileError::WrongNode);
    }
    Ok(FencingToken(reserved))
}

/// The two lines before the hash, without the last line feed, if the hash is right.
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
