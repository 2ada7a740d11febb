//! Tracks where clients' messages begin and end as their bytes are received. hyper alone is not enough: it drops a
//! `Content-Length` beside a `Transfer-Encoding`, and the second of two equal `Content-Length` headers. Where two parsers
//! could disagree on the end of a message, one of them may parse a part of the body as a request (request smuggling).

/// Number of bytes kept of each line in a head: enough for the name and value of a header that determines the framing.
const MAX_KEPT_LINE_BYTES: usize = 64;

/// Framing of the messages that have been received on a connection.
#[derive(Debug, Default)]
pub struct Framing {
    position: Position,
    /// Number of complete heads that have been received.
    head_count: u64,
    /// Whether the length of the latest message is ambiguous. Never reset: no message follows such a message.
    is_ambiguous: bool,
    /// Whether the latest message has a transfer encoding, so that only hyper can determine its end. Never reset.
    is_encoded: bool,
}

/// The part of a message to which the next byte belongs.
#[derive(Debug)]
enum Position {
    Head(Head),
    Body {
        remaining_bytes: u64,
    },
    /// The end of the message is ambiguous, or only hyper can determine it: the message must be the last on its connection.
    Unknown,
}

impl Default for Position {
    fn default() -> Self {
        Self::Head(Head::default())
    }
}

/// State of a head that has been received in part.
#[derive(Debug)]
struct Head {
    /// The beginning of the current line.
    line: [u8; MAX_KEPT_LINE_BYTES],
    /// Number of bytes in `line`.
    kept_bytes: usize,
    /// Whether the current line is longer than `line`.
    is_line_truncated: bool,
    has_request_line: bool,
    content_length_count: usize,
    /// The value of the last `Content-Length`, in bytes; `None` if it is absent or invalid.
    content_length: Option<u64>,
    has_transfer_encoding: bool,
}

impl Default for Head {
    fn default() -> Self {
        Self {
            line: [0; MAX_KEPT_LINE_BYTES],
            kept_bytes: 0,
            is_line_truncated: false,
            has_request_line: false,
            content_length_count: 0,
            content_length: None,
            has_transfer_encoding: false,
        }
    }
}

impl Head {
    /// Returns whether parsers could disagree on the length of the body.
    fn is_ambiguous(&self) -> bool {
        match (self.content_length_count, self.content_length) {
            (0, _) => false,
            (1, Some(_)) => self.has_transfer_encoding,
            _ => true,
        }
    }
}

impl Framing {
    /// Records received bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.position {
                Position::Unknown => return,
                Position::Body { remaining_bytes } => {
                    let remaining = usize::try_from(*remaining_bytes).unwrap_or(usize::MAX);
                    let consumed = bytes.len().min(remaining);
                    bytes = &bytes[consumed..];
                    *remaining_bytes -= consumed as u64;
                    if *remaining_bytes == 0 {
                        self.position = Position::default();
                    }
                }
                Position::Head(head) => {
                    let line = head.push(bytes);
                    bytes = &bytes[line.consumed_bytes..];
                    if line.ends_head {
                        let head = std::mem::take(head);
                        self.end_head(&head);
                    }
                }
            }
        }
    }

    fn end_head(&mut self, head: &Head) {
        self.head_count += 1;
        self.is_ambiguous |= head.is_ambiguous();
        self.is_encoded |= head.has_transfer_encoding;
        self.position = match head.content_length.unwrap_or(0) {
            _ if head.has_transfer_encoding || head.is_ambiguous() => Position::Unknown,
            0 => Position::default(),
            remaining_bytes => Position::Body { remaining_bytes },
        };
    }

    /// Returns the number of bytes that are still to be received of the current body; `None` if only hyper can determine its
    /// end.
    #[must_use]
    pub fn remaining_body_bytes(&self) -> Option<u64> {
        match &self.position {
            Position::Head(_) => Some(0),
            Position::Body { remaining_bytes } => Some(*remaining_bytes),
            Position::Unknown => None,
        }
    }

    /// Returns whether no byte of a message has been received since the previous message ended.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        matches!(&self.position, Position::Head(head) if head.kept_bytes == 0 && !head.has_request_line)
    }

    /// Returns whether parsers could disagree on the end of message `number`, counted from one.
    #[must_use]
    pub fn is_ambiguous(&self, number: u64) -> bool {
        self.is_ambiguous && number >= self.head_count
    }

    /// Returns whether message `number` must be the last on its connection, because bytes after it must not be parsed as a
    /// request.
    #[must_use]
    pub fn must_be_last(&self, number: u64) -> bool {
        (self.is_ambiguous || self.is_encoded) && number >= self.head_count
    }
}

/// Result of passing received bytes to a head.
struct LineProgress {
    consumed_bytes: usize,
    ends_head: bool,
}

impl Head {
    /// Consumes bytes up to the end of a line, or all of them if no line ends.
    fn push(&mut self, bytes: &[u8]) -> LineProgress {
        let newline = bytes.iter().position(|byte| *byte == b'\n');
        let chunk = &bytes[..newline.unwrap_or(bytes.len())];
        let kept = chunk.len().min(MAX_KEPT_LINE_BYTES - self.kept_bytes);
        self.line[self.kept_bytes..self.kept_bytes + kept].copy_from_slice(&chunk[..kept]);
        self.kept_bytes += kept;
        self.is_line_truncated |= kept < chunk.len();
        match newline {
            None => LineProgress {
                consumed_bytes: bytes.len(),
                ends_head: false,
            },
            Some(newline) => LineProgress {
                consumed_bytes: newline + 1,
                ends_head: self.end_line(),
            },
        }
    }

    /// Parses the complete line. Returns whether it ends the head.
    fn end_line(&mut self) -> bool {
        let is_truncated = std::mem::take(&mut self.is_line_truncated);
        let kept = self.line;
        let line = kept[..std::mem::take(&mut self.kept_bytes)].trim_ascii_end();
        if line.is_empty() {
            // Empty lines before a message are skipped.
            return std::mem::replace(&mut self.has_request_line, false);
        }
        // The request line is not a header.
        if std::mem::replace(&mut self.has_request_line, true) {
            if let Some(colon) = line.iter().position(|byte| *byte == b':') {
                let value = Some(line[colon + 1..].trim_ascii()).filter(|_| !is_truncated);
                self.record_header(line[..colon].trim_ascii(), value);
            }
        }
        false
    }

    /// Records a header; `value` is `None` if it is only known in part.
    fn record_header(&mut self, name: &[u8], value: Option<&[u8]>) {
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            self.content_length_count += 1;
            // Only digits are valid; the integer parser would also accept a sign.
            let digits = value.filter(|value| value.iter().all(u8::is_ascii_digit));
            self.content_length = digits
                .and_then(|digits| std::str::from_utf8(digits).ok())
                .and_then(|digits| digits.parse().ok());
        }
    }
}

#[cfg(test)]
mod tests;
