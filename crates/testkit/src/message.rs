//! Messages of HTTP/1.1 as scripts write and read them.

use std::io::BufRead;

/// A message as it came: its first line, its headers in lower case, its body.
#[derive(Clone, Debug)]
pub struct Message {
    /// The first line.
    pub start_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one; `None` is an end before its last byte.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut text = String::new();
            from.read_line(&mut text).ok()?;
            Some(text.strip_suffix('\n')?.trim_end().to_owned()) // A line that is cut is none.
        };
        let start_line = line()?;
        let mut headers = Vec::new();
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self {
            start_line,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding") == Some("chunked") {
            message.body = read_chunks(from)?;
            return Some(message);
        }
        message.body = vec![
            0;
            message
                .header("content-length")
                .map_or(0, |n| n.parse().expect("a length"))
        ];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// The value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .expect("a status")
            .parse()
            .expect("a number")
    }
}

/// The chunks of a body (RFC 9112, 7.1), without extensions and trailers.
fn read_chunks(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.strip_suffix("\r\n")?, 16).ok()?;
        let start = body.len();
        body.resize(start + length + 2, 0);
        from.read_exact(&mut body[start..]).ok()?;
        body.truncate(start + length);
        if length == 0 {
            return Some(body);
        }
    }
}

/// An answer with a length.
#[must_use]
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request of the safe class.
#[must_use]
pub fn read_request(id: &str, deadline: &str) -> String {
    format!("GET /api?key=inn-7 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: read\r\nReq-Deadline: {deadline}\r\n\r\n")
}

/// A request with a body, keyed or not.
#[must_use]
pub fn post_request(id: &str, class: &str, key: &str, body: &str) -> String {
    format!(
        "POST /api?key=inn-7 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Deadline: 15000m\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
