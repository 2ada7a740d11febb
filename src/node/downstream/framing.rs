//! Looks at the framing of clients' messages as their bytes come in, beside hyper, which does not tell all of it: it
//! drops a `Content-Length` that stands beside `Transfer-Encoding`, and the second of two that are equal. Where two
//! readers may see different ends of a message, one may take for a request what is another's body.

/// What is kept of a line: enough for the name and value of a header of framing.
const MOST_KEPT: usize = 64;

/// Follows the messages on a connection from head to head.
#[derive(Debug, Default)]
pub struct Framing {
    at: At,
    heads: u64,
    doubtful: bool,
    unbounded: bool,
}

/// Where the next byte belongs.
#[derive(Debug)]
enum At {
    Head(Head),
    Body(u64),
    /// Nobody but hyper knows: the message must be the last on its connection.
    Beyond,
}

impl Default for At {
    fn default() -> Self {
        Self::Head(Head::default())
    }
}

/// What is known of a head so far.
#[derive(Debug)]
struct Head {
    line: [u8; MOST_KEPT],
    kept: usize,
    started: bool,
    lengths: usize,
    length: Option<u64>,
    encoded: bool,
}

impl Default for Head {
    fn default() -> Self {
        Self {
            line: [0; MOST_KEPT],
            kept: 0,
            started: false,
            lengths: 0,
            length: None,
            encoded: false,
        }
    }
}

impl Framing {
    /// Takes what has been read next.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.at {
                At::Beyond => return,
                At::Body(left) => {
                    let taken = bytes
                        .len()
                        .min(usize::try_from(*left).unwrap_or(usize::MAX));
                    bytes = &bytes[taken..];
                    *left -= taken as u64;
                    if *left == 0 {
                        self.at = At::default();
                    }
                }
                At::Head(head) => {
                    let (taken, ended) = head.push(bytes);
                    bytes = &bytes[taken..];
                    if ended {
                        let head = std::mem::take(head);
                        self.end_of(&head);
                    }
                }
            }
        }
    }

    fn end_of(&mut self, head: &Head) {
        self.heads += 1;
        let clear = match (head.lengths, head.length) {
            (0, _) => true,
            (1, Some(_)) => !head.encoded,
            _ => false,
        };
        self.doubtful |= !clear;
        self.unbounded |= head.encoded;
        self.at = match head.length.unwrap_or(0) {
            _ if head.encoded || !clear => At::Beyond,
            0 => At::default(),
            length => At::Body(length),
        };
    }

    /// Whether nothing of a message has come since the last one ended.
    #[must_use]
    pub fn is_between(&self) -> bool {
        matches!(&self.at, At::Head(head) if head.kept == 0 && !head.started)
    }

    /// Whether the end of message `number`, counted from one, can be read in two ways.
    #[must_use]
    pub fn is_doubtful(&self, number: u64) -> bool {
        self.doubtful && number >= self.heads
    }

    /// Whether nothing after message `number` may be taken for a request.
    #[must_use]
    pub fn is_last(&self, number: u64) -> bool {
        (self.doubtful || self.unbounded) && number >= self.heads
    }
}

impl Head {
    /// Takes bytes up to the end of a line; tells how many, and whether the head ends there.
    fn push(&mut self, bytes: &[u8]) -> (usize, bool) {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        let taken = piece.len().min(MOST_KEPT - self.kept);
        self.line[self.kept..self.kept + taken].copy_from_slice(&piece[..taken]);
        self.kept += taken;
        let Some(end) = end else {
            return (bytes.len(), false);
        };
        (end + 1, self.line_ends())
    }

    fn line_ends(&mut self) -> bool {
        let kept = self.line;
        let line = kept[..std::mem::take(&mut self.kept)].trim_ascii_end();
        if line.is_empty() {
            return std::mem::replace(&mut self.started, false); // Empty lines ahead of a message are passed over.
        }
        // The first line names no header.
        if std::mem::replace(&mut self.started, true) {
            if let Some(colon) = line.iter().position(|byte| *byte == b':') {
                self.header(line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
            }
        }
        false
    }

    fn header(&mut self, name: &[u8], value: &[u8]) {
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.encoded = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths += 1;
            let digits = Some(value).filter(|v| v.iter().all(u8::is_ascii_digit));
            self.length = digits
                .and_then(|v| std::str::from_utf8(v).ok())
                .and_then(|v| v.parse().ok());
        }
    }
}

#[cfg(test)]
mod tests;
