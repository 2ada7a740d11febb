//! Splits a JSON array into its elements while it arrives in pieces of any size.
//!
//! At most one element is buffered, so that memory use does not grow with the size of a response.

use std::fmt;

/// Maximum size of an element, in bytes. An instance with a hundred checks of the largest output
/// that Consul stores by default (4 KB each) exceeds it, but is not expected of a usable server.
pub const MAX_ELEMENT_BYTES: usize = 256 * 1024;

/// Error from splitting a stream that is not a valid JSON array.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JsonStreamError {
    /// The stream does not begin with a bracket, or its elements are not separated by single
    /// commas.
    NotAnArray,
    /// Bytes follow the end of the array.
    TrailingBytes,
    /// An element is larger than [`MAX_ELEMENT_BYTES`].
    ElementTooLarge,
    /// The stream ended before the array.
    Truncated,
}

impl fmt::Display for JsonStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAnArray => "not a JSON array",
            Self::TrailingBytes => "bytes after the end of the JSON array",
            Self::ElementTooLarge => "array element too large",
            Self::Truncated => "truncated JSON array",
        })
    }
}

impl std::error::Error for JsonStreamError {}

/// Position in the array of the next byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    BeforeArray,
    /// After the opening bracket: an element or the closing bracket must follow.
    BeforeFirstElement,
    /// After a comma: an element must follow.
    BeforeNextElement,
    /// Within an element, outside of strings.
    InElement {
        depth: u32,
    },
    /// Within a string of an element.
    InString {
        depth: u32,
    },
    /// After a backslash in a string.
    InEscape {
        depth: u32,
    },
    AfterArray,
}

/// Splits an array into elements. The elements themselves are not validated; their parser must do
/// so.
#[derive(Debug, Default)]
pub struct JsonArrayStream {
    position: Position,
    /// The beginning of the current element, if it arrived in an earlier piece.
    partial_element: Vec<u8>,
}

impl JsonArrayStream {
    /// Processes a piece, and calls `on_element` with each element that ends in it.
    ///
    /// # Errors
    ///
    /// The pieces so far cannot be the beginning of an array, or an element is too large.
    pub fn push(
        &mut self,
        piece: &[u8],
        mut on_element: impl FnMut(&[u8]),
    ) -> Result<(), JsonStreamError> {
        let mut element_start = 0; // Start of the current element within this piece.
        let mut offset = 0;
        while offset < piece.len() {
            let byte = piece[offset];
            match self.position {
                Position::InString { depth } => {
                    // Most bytes are in strings: they are skipped in a loop of their own.
                    let Some(skipped) = piece[offset..]
                        .iter()
                        .position(|byte| matches!(byte, b'"' | b'\\'))
                    else {
                        break;
                    };
                    offset += skipped;
                    self.position = if piece[offset] == b'"' {
                        Position::InElement { depth }
                    } else {
                        Position::InEscape { depth }
                    };
                }
                Position::InEscape { depth } => self.position = Position::InString { depth },
                Position::InElement { depth: 0 } if matches!(byte, b',' | b']') => {
                    self.finish_element(&piece[element_start..offset], &mut on_element)?;
                    self.position = if byte == b',' {
                        Position::BeforeNextElement
                    } else {
                        Position::AfterArray
                    };
                }
                Position::InElement { depth } => self.position = position_after(depth, byte),
                _ if matches!(byte, b' ' | b'\t' | b'\n' | b'\r') => {}
                Position::BeforeArray if byte == b'[' => {
                    self.position = Position::BeforeFirstElement;
                }
                Position::BeforeFirstElement if byte == b']' => {
                    self.position = Position::AfterArray;
                }
                Position::BeforeFirstElement | Position::BeforeNextElement
                    if !matches!(byte, b',' | b']' | b'}') =>
                {
                    element_start = offset;
                    self.position = Position::InElement { depth: 0 };
                    continue; // Process the byte again: it may open a string or a nested value.
                }
                Position::AfterArray => return Err(JsonStreamError::TrailingBytes),
                _ => return Err(JsonStreamError::NotAnArray),
            }
            offset += 1;
        }
        if self.is_within_element() {
            self.append_partial(&piece[element_start..])?;
        }
        Ok(())
    }

    /// Checks at the end of the stream that the array is complete.
    ///
    /// # Errors
    ///
    /// The array has not ended.
    pub fn end(&self) -> Result<(), JsonStreamError> {
        if self.position == Position::AfterArray {
            Ok(())
        } else {
            Err(JsonStreamError::Truncated)
        }
    }

    fn is_within_element(&self) -> bool {
        matches!(
            self.position,
            Position::InElement { .. } | Position::InString { .. } | Position::InEscape { .. }
        )
    }

    fn append_partial(&mut self, part: &[u8]) -> Result<(), JsonStreamError> {
        if self.partial_element.len() + part.len() > MAX_ELEMENT_BYTES {
            return Err(JsonStreamError::ElementTooLarge);
        }
        self.partial_element.extend_from_slice(part);
        Ok(())
    }

    /// Calls `on_element` with the element that ends with `part`. The element is copied only if it
    /// arrived in several pieces.
    fn finish_element(
        &mut self,
        part: &[u8],
        on_element: &mut impl FnMut(&[u8]),
    ) -> Result<(), JsonStreamError> {
        if self.partial_element.is_empty() {
            if part.len() > MAX_ELEMENT_BYTES {
                return Err(JsonStreamError::ElementTooLarge);
            }
            on_element(part.trim_ascii_end());
        } else {
            self.append_partial(part)?;
            on_element(self.partial_element.trim_ascii_end());
            self.partial_element.clear();
        }
        Ok(())
    }
}

/// The position after a byte of an element, at nesting depth `depth`, that does not end the
/// element.
fn position_after(depth: u32, byte: u8) -> Position {
    match byte {
        b'"' => Position::InString { depth },
        b'{' | b'[' => Position::InElement { depth: depth + 1 },
        b'}' | b']' if depth > 0 => Position::InElement { depth: depth - 1 },
        _ => Position::InElement { depth },
    }
}

#[cfg(test)]
mod tests;
