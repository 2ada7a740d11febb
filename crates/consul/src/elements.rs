//! Cuts the elements out of a JSON array as it comes, in any pieces.

use std::fmt;

/// The largest element. An instance with a hundred checks and their outputs (4 KB each at Consul's most by default)
/// would be larger; one that large is no server of use.
pub const MOST_ELEMENT: usize = 256 * 1024;

/// What came is no array, or cannot be one any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAnArray {
    /// It does not begin as one, or its elements are not parted as an array's are.
    Malformed,
    /// Something stands behind its end.
    Behind,
    /// An element is larger than [`MOST_ELEMENT`].
    TooLarge,
    /// It ended before its last byte.
    Cut,
}

impl fmt::Display for NotAnArray {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "it is not a JSON array",
            Self::Behind => "bytes follow the end of its array",
            Self::TooLarge => "an instance of it is too large",
            Self::Cut => "it is cut off",
        })
    }
}

impl std::error::Error for NotAnArray {}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum At {
    #[default]
    Begin,
    /// Behind the bracket: an element or the end.
    First,
    /// Behind a comma: an element.
    Next,
    /// Within an element, this deep in its brackets.
    Within(u32),
    /// Within a string of an element.
    Text(u32),
    /// Behind a backslash there.
    Escape(u32),
    End,
}

/// Cuts elements out. What an element holds is not looked into: that it is sound JSON shows when it is read.
#[derive(Debug, Default)]
pub struct Elements {
    at: At,
    /// The element that has begun in an earlier piece.
    begun: Vec<u8>,
}

impl Elements {
    /// Takes a piece, and hands each element that ends in it to `each`.
    ///
    /// # Errors
    ///
    /// The pieces so far cannot be the beginning of an array.
    pub fn push(&mut self, piece: &[u8], mut each: impl FnMut(&[u8])) -> Result<(), NotAnArray> {
        let mut start = 0; // Of the element that is open in this piece.
        let mut i = 0;
        while i < piece.len() {
            let byte = piece[i];
            match self.at {
                At::Text(depth) => {
                    // Most bytes are here: they are passed over in a loop of their own.
                    let Some(stop) = piece[i..]
                        .iter()
                        .position(|byte| matches!(byte, b'"' | b'\\'))
                    else {
                        break;
                    };
                    i += stop;
                    self.at = if piece[i] == b'"' {
                        At::Within(depth)
                    } else {
                        At::Escape(depth)
                    };
                }
                At::Escape(depth) => self.at = At::Text(depth),
                At::Within(depth) => match byte {
                    b'"' => self.at = At::Text(depth),
                    b'{' | b'[' => self.at = At::Within(depth + 1),
                    b'}' | b']' if depth > 0 => self.at = At::Within(depth - 1),
                    b',' | b']' if depth == 0 => {
                        self.finish(&piece[start..i], &mut each)?;
                        self.at = if byte == b',' { At::Next } else { At::End };
                    }
                    _ => {}
                },
                _ if matches!(byte, b' ' | b'\t' | b'\n' | b'\r') => {}
                At::Begin if byte == b'[' => self.at = At::First,
                At::First if byte == b']' => self.at = At::End,
                At::First | At::Next if !matches!(byte, b',' | b']' | b'}') => {
                    (start, self.at) = (i, At::Within(0));
                    continue; // The byte itself may open a string or a bracket.
                }
                At::End => return Err(NotAnArray::Behind),
                _ => return Err(NotAnArray::Malformed),
            }
            i += 1;
        }
        if matches!(self.at, At::Within(_) | At::Text(_) | At::Escape(_)) {
            self.keep(&piece[start..])?;
        }
        Ok(())
    }

    /// The end of what came.
    ///
    /// # Errors
    ///
    /// The array had not ended.
    pub fn end(&self) -> Result<(), NotAnArray> {
        if self.at == At::End {
            Ok(())
        } else {
            Err(NotAnArray::Cut)
        }
    }

    fn keep(&mut self, part: &[u8]) -> Result<(), NotAnArray> {
        if self.begun.len() + part.len() > MOST_ELEMENT {
            return Err(NotAnArray::TooLarge);
        }
        self.begun.extend_from_slice(part);
        Ok(())
    }

    fn finish(&mut self, part: &[u8], each: &mut impl FnMut(&[u8])) -> Result<(), NotAnArray> {
        if self.begun.is_empty() {
            if part.len() > MOST_ELEMENT {
                return Err(NotAnArray::TooLarge);
            }
            each(part.trim_ascii_end());
        } else {
            self.keep(part)?;
            each(self.begun.trim_ascii_end());
            self.begun.clear();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cut(pieces: &[&[u8]]) -> Result<Vec<String>, NotAnArray> {
        let (mut elements, mut all) = (Elements::default(), Vec::new());
        for piece in pieces {
            elements.push(piece, |element| {
                all.push(String::from_utf8_lossy(element).into_owned());
            })?;
        }
        elements.end()?;
        Ok(all)
    }

    #[test]
    fn elements_are_the_same_wherever_the_pieces_are_cut() {
        let text = br#" [ {"a": "],}\"\\", "b": [1, {}]} , 7,"x, y" , [ ] ] "#;
        let whole = cut(&[text]).expect("an array");
        assert_eq!(
            whole,
            [r#"{"a": "],}\"\\", "b": [1, {}]}"#, "7", r#""x, y""#, "[ ]"]
        );
        for first in 0..text.len() {
            for second in first..text.len() {
                let pieces = [&text[..first], &text[first..second], &text[second..]];
                assert_eq!(
                    cut(&pieces),
                    Ok(whole.clone()),
                    "cut at {first} and {second}"
                );
            }
        }
        let end = text.iter().rposition(|byte| *byte == b']').expect("an end");
        for short in 0..=end {
            assert_eq!(
                cut(&[&text[..short]]),
                Err(NotAnArray::Cut),
                "the first {short} bytes"
            );
        }
        assert_eq!(cut(&[b"[]"]), Ok(vec![]));
    }

    #[test]
    fn what_is_no_array_is_refused() {
        for text in [
            "{}",
            "null",
            "[,]",
            "[1,]",
            "[1,,2]",
            "]",
            "x",
            "[}",
            "\u{feff}[]",
        ] {
            assert_eq!(
                cut(&[text.as_bytes()]),
                Err(NotAnArray::Malformed),
                "{text}"
            );
        }
        assert_eq!(cut(&[b"[] []"]), Err(NotAnArray::Behind));
        let large = format!("[\"{}\"]", "x".repeat(MOST_ELEMENT));
        assert_eq!(cut(&[large.as_bytes()]), Err(NotAnArray::TooLarge));
        let pieces: Vec<_> = large.as_bytes().chunks(1000).collect();
        assert_eq!(cut(&pieces), Err(NotAnArray::TooLarge));
    }
}
