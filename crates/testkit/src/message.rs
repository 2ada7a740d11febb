//! HTTP/1.1 messages, written and read without an HTTP library.

use std::io::BufRead;

/// A received message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Header names in lower case, and values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Body, without chunked framing.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` if the input ends before its last byte, or its chunks are malformed.
    pub fn read(input: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut text = String::new();
            input.read_line(&mut text).ok()?;
            Some(text.strip_suffix('\n')?.trim_end().to_owned()) // A line without a newline is truncated.
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
            message.body = read_chunks(input)?;
            return Some(message);
        }
        message.body = vec![
            0;
            message
                .header("content-length")
                .map_or(0, |n| n.parse().expect("Content-Length is a number"))
        ];
        input.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Value of the first header with this name; the name must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// Status code of a response.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .expect("the status line has a status code")
            .parse()
            .expect("the status code is a number")
    }
}

/// Reads a chunked body (RFC 9112, section 7.1) without chunk extensions and trailers.
fn read_chunks(input: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.strip_suffix("\r\n")?, 16).ok()?;
        let start = body.len();
        body.resize(start + length + 2, 0);
        input.read_exact(&mut body[start..]).ok()?;
        body.truncate(start + length);
        if length == 0 {
            return Some(body);
        }
    }
}

/// A response with a `Content-Length`. `headers` are complete lines.
#[must_use]
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request of the class `read`, whose deadline is the value of `Req-Deadline`.
#[must_use]
pub fn read_request(id: &str, deadline: &str) -> String {
    format!("GET /api?key=inn-7 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: read\r\nReq-Deadline: {deadline}\r\n\r\n")
}

/// A request of a class with a body. `key` is an `Idempotency-Key` header line, or empty.
#[must_use]
pub fn post_request(id: &str, class: &str, key: &str, body: &str) -> String {
    format!(
        "POST /api?key=inn-7 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Deadline: 15000m\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
