//! What a keeper writes down where there is a disk: up to which fence it may have granted.
//!
//! Three lines: the format and its version with the node's name, the number, and a BLAKE3 of the two lines before it as 64
//! hexadecimal digits. So a file that was cut, changed, or written by another node is told from a good one.

use std::fmt;

use crate::kinds::Fence;

/// The format and its version. A later one begins otherwise and is refused by this program.
const HEAD: &str = "silverthread fences 1";

/// The longest file that makes sense, in bytes: the lines above, with a name of 64.
pub const MOST_RECORD: usize = 256;

/// Why a file is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// It is cut or changed, or of a format that is not known here.
    Damaged,
    /// Another node wrote it.
    OfAnother,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Damaged => write!(f, "it is cut, changed, or of another format"),
            Self::OfAnother => write!(f, "another node wrote it"),
        }
    }
}

impl std::error::Error for RecordError {}

/// What the file of a node says.
#[must_use]
pub fn write_record(node: &str, reserved: Fence) -> String {
    let said = format!("{HEAD} {node}\nreserved {reserved}\n");
    let seal = blake3::hash(said.as_bytes());
    format!("{said}{}\n", seal.to_hex())
}

/// Up to which fence a node may have granted, by its file.
///
/// # Errors
///
/// The file is not believed.
pub fn read_record(node: &str, text: &str) -> Result<Fence, RecordError> {
    let body = text.strip_suffix('\n').ok_or(RecordError::Damaged)?;
    let (said, seal) = body.rsplit_once('\n').ok_or(RecordError::Damaged)?;
    let sealed = blake3::hash(format!("{said}\n").as_bytes());
    let seal = blake3::Hash::from_hex(seal).map_err(|_| RecordError::Damaged)?;
    let (head, reserved) = said.split_once('\n').ok_or(RecordError::Damaged)?;
    let by = head
        .strip_prefix(HEAD)
        .and_then(|rest| rest.strip_prefix(' '))
        .ok_or(RecordError::Damaged)?;
    let reserved = reserved
        .strip_prefix("reserved ")
        .and_then(|number| number.parse().ok());
    let reserved = reserved
        .filter(|_| seal == sealed)
        .ok_or(RecordError::Damaged)?;
    if by != node {
        return Err(RecordError::OfAnother);
    }
    Ok(Fence(reserved))
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_believed_whole_or_not_at_all() {
        let text = write_record("n0", Fence(u64::MAX));
        assert_eq!(read_record("n0", &text), Ok(Fence(u64::MAX)));
        assert_eq!(read_record("n1", &text), Err(RecordError::OfAnother));
        for at in 0..text.len() {
            assert!(read_record("n0", &text[..at]).is_err(), "cut at {at}");
            let mut changed = text.clone().into_bytes();
            changed[at] ^= 1;
            let changed = String::from_utf8(changed).expect("ASCII");
            assert!(read_record("n0", &changed).is_err(), "changed at {at}");
        }
        assert!(write_record(&"n".repeat(64), Fence(u64::MAX)).len() <= MOST_RECORD);
    }
}
