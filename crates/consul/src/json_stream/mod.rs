//! Splits a JSON array into its elements while it arrives in pieces of any size.
//!
//! It holds at most one element, so that the size of a response bounds no memory.

use std::fmt;

/// The largest element. An instance with a hundred checks of the largest output that Consul stores
/// by default (4 KB each) would be larger; such an instance is no usable server.
pub const MAX_ELEMENT_BYTES: usize = 256 * 1024;

/// Why a stream is not a JSON array.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JsonStreamError {
    /// It does not begin as an array, or its elements are not separated as an array's are.
    NotAnArray,
    /// Bytes follow the end of the array.
    TrailingBytes,
    /// An element is larger than [`MAX_ELEMENT_BYTES`].
    ElementTooLarge,
    /// It ended before the array did.
    Truncated,
}

impl fmt::Display for JsonStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAnArray => "it is not a JSON array",
            Self::TrailingBytes => "bytes follow the end of its array",
            Self::ElementTooLarge => "an instance of it is too large",
            Self::Truncated => "it is truncated",
        })
    }
}

impl std::error::Error for JsonStreamError {}

/// Where in the array the next byte is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    BeforeArray,
    /// After the opening bracket: an element or the end.
    BeforeFirstElement,
    /// After a comma: an element.
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

/// Splits an array into elements. The elements themselves are not validated: that they are JSON
/// shows when they are parsed.
#[derive(Debug, Default)]
pub struct JsonArrayStream {
    position: Position,
    /// The beginning of the current element, if it arrived with an earlier piece.
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
        let mut element_start = 0; // Of the current element in this piece.
        let mut i = 0;
        while i < piece.len() {
            let byte = piece[i];
            match self.position {
                Position::InString { depth } => {
                    // Most bytes are in strings: they are skipped in a loop of their own.
                    let Some(stop) = piece[i..]
                        .iter()
                        .position(|byte| matches!(byte, b'"' | b'\\'))
                    else {
                        break;
                    };
                    i += stop;
                    self.position = if piece[i] == b'"' {
                        Position::InElement { depth }
                    } else {
                        Position::InEscape { depth }
                    };
                }
                Position::InEscape { depth } => self.position = Position::InString { depth },
                Position::InElement { depth: 0 } if matches!(byte, b',' | b']') => {
                    self.finish_element(&piece[element_start..i], &mut on_element)?;
                    self.position = if byte == b',' {
                        Position::BeforeNextElement
                    } else {
                        Position::AfterArray
                    };
                }
                Position::InElement { depth } => self.position = within_element(depth, byte),
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
                    element_start = i;
                    self.position = Position::InElement { depth: 0 };
                    continue; // The byte itself may open a string or a bracket.
                }
                Position::AfterArray => return Err(JsonStreamError::TrailingBytes),
                _ => return Err(JsonStreamError::NotAnArray),
            }
            i += 1;
        }
        if self.is_within_element() {
            self.append_partial(&piece[element_start..])?;
        }
        Ok(())
    }

    /// Checks that the array is complete, at the end of the stream.
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

    /// Passes on an element whose last part is `part`, copied only if it arrived in several pieces.
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

/// The position after a byte within an element that does not end there.
fn within_element(depth: u32, byte: u8) -> Position {
    match byte {
        b'"' => Position::InString { depth },
        b'{' | b'[' => Position::InElement { depth: depth + 1 },
        b'}' | b']' if depth > 0 => Position::InElement { depth: depth - 1 },
        _ => Position::InElement { depth },
    }
}

#[cfg(test)]
mod tests;
