//! Splits the byte stream of a watch into JSON objects, at any boundaries of the received pieces and with any white space.
//!
//! Owns the incomplete object at the end of the stream. Objects are only delimited here; the caller decodes and validates them.

use std::fmt;

/// Maximum length of an object, in bytes, where white space between two tokens counts as one byte. A watch that exceeds it
/// is closed.
pub const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Error in a stream that cannot be a sequence of JSON objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JsonObjectsError {
    /// A byte other than white space precedes an object.
    NotAnObject,
    /// A string contains a control character, for example because the stream was cut within a string and goes on with the next
    /// line.
    ControlCharacter,
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    TooLong,
}

impl fmt::Display for JsonObjectsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAnObject => "not a JSON object",
            Self::ControlCharacter => "control character in a JSON string",
            Self::TooLong => "JSON object too long",
        })
    }
}

impl std::error::Error for JsonObjectsError {}

/// Position in the stream of the next byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    BetweenObjects,
    /// Within an object, outside of strings.
    InObject {
        depth: u32,
    },
    InString {
        depth: u32,
    },
    /// After a backslash in a string.
    InEscape {
        depth: u32,
    },
}

/// Splits a stream into objects. After an error the stream must not be used any more.
#[derive(Debug, Default)]
pub struct JsonObjects {
    position: Position,
    /// The current object so far.
    object: Vec<u8>,
}

impl JsonObjects {
    /// Whether an object has begun and not ended.
    #[must_use]
    pub fn is_within_object(&self) -> bool {
        self.position != Position::BetweenObjects
    }

    /// Takes bytes from the front of `piece`, up to the end of the first object that ends in it, and returns that object.
    /// `None` if all of `piece` has been taken and no object ends in it.
    ///
    /// # Errors
    ///
    /// The stream so far cannot be the beginning of a sequence of objects, or an object is too long.
    pub fn next_object(&mut self, piece: &mut &[u8]) -> Result<Option<Vec<u8>>, JsonObjectsError> {
        while let Some((byte, rest)) = piece.split_first() {
            *piece = rest;
            self.position = self.position_after(*byte)?;
            if self.is_within_object() {
                self.append(*byte)?;
            } else if !self.object.is_empty() {
                self.append(*byte)?;
                return Ok(Some(std::mem::take(&mut self.object)));
            }
        }
        Ok(None)
    }

    fn position_after(&self, byte: u8) -> Result<Position, JsonObjectsError> {
        Ok(match (self.position, byte) {
            (Position::BetweenObjects, b'{') => Position::InObject { depth: 1 },
            (Position::BetweenObjects, byte) if is_white_space(byte) => Position::BetweenObjects,
            (Position::BetweenObjects, _) => return Err(JsonObjectsError::NotAnObject),
            (Position::InObject { depth }, b'"') => Position::InString { depth },
            (Position::InObject { depth }, b'{' | b'[') => Position::InObject { depth: depth + 1 },
            (Position::InObject { depth: 1 }, b'}' | b']') => Position::BetweenObjects,
            (Position::InObject { depth }, b'}' | b']') => Position::InObject { depth: depth - 1 },
            (Position::InObject { depth }, _) => Position::InObject { depth },
            (Position::InString { .. } | Position::InEscape { .. }, 0..=0x1f) => {
                return Err(JsonObjectsError::ControlCharacter)
            }
            (Position::InString { depth }, b'"') => Position::InObject { depth },
            (Position::InString { depth }, b'\\') => Position::InEscape { depth },
            (Position::InString { depth } | Position::InEscape { depth }, _) => {
                Position::InString { depth }
            }
        })
    }

    /// Appends a byte to the current object. Of white space between two tokens only one byte is kept.
    fn append(&mut self, byte: u8) -> Result<(), JsonObjectsError> {
        let is_between_tokens = matches!(self.position, Position::InObject { .. });
        if is_between_tokens && is_white_space(byte) && self.object.last() == Some(&b' ') {
            return Ok(());
        }
        if self.object.len() == MAX_OBJECT_BYTES {
            return Err(JsonObjectsError::TooLong);
        }
        let is_kept = !is_between_tokens || !is_white_space(byte);
        self.object.push(if is_kept { byte } else { b' ' });
        Ok(())
    }
}

/// White space of JSON (RFC 8259, section 2).
fn is_white_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\n' | b'\r')
}

#[cfg(test)]
mod tests;
