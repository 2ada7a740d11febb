//! Splits a watch's byte stream into lines.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of an incomplete line, in bytes. A watch that exceeds it is closed.
pub const MAX_LINE_BYTES: usize = 4 << 20;

/// Buffers the pieces of a stream until a line is complete. The caller checks
/// [`is_too_long`](Self::is_too_long) after it has taken the complete lines.
#[derive(Debug, Default)]
pub struct LineBuffer(BytesMut);

impl LineBuffer {
    /// Appends a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.0.extend_from_slice(piece);
    }

    /// Whether an incomplete line that is not blank has been received.
    #[must_use]
    pub fn has_partial_line(&self) -> bool {
        !self.0.trim_ascii().is_empty()
    }

    /// Whether the incomplete line exceeds [`MAX_LINE_BYTES`].
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.0.len() > MAX_LINE_BYTES
    }

    /// Takes the next complete line that is not blank.
    pub fn next_line(&mut self) -> Option<Bytes> {
        while let Some(end) = self.0.iter().position(|byte| *byte == b'\n') {
            let line = self.0.split_to(end);
            self.0.advance(1);
            if !line.trim_ascii().is_empty() {
                return Some(line.freeze());
            }
        }
        None
    }
}
