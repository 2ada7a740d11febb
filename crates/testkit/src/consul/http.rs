//! HTTP details of Consul's API: response headers, durations, percent-encoding, and faulty responses.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use super::catalog::RegisteredInstance;
use super::Fault;

/// Maximum number of pieces of an endless response, some hundred MB in total. A client that receives all of them fails
/// its test.
const MAX_PIECES: usize = 10_000;

/// Returns the headers of a response, as changed by the fault.
pub(super) fn headers(fault: &Fault, index: u64) -> String {
    let index = if let Fault::Index(index) = fault {
        *index
    } else {
        index
    };
    let leader = *fault != Fault::NoLeader;
    let contact = if let Fault::LastContact(ms) = fault {
        *ms
    } else {
        0
    };
    let cached = match fault {
        Fault::Cached(age) => format!("X-Cache: HIT\r\nAge: {age}\r\n"),
        _ => String::new(),
    };
    format!(
        "Content-Type: application/json\r\nX-Consul-Index: {index}\r\nX-Consul-KnownLeader: {leader}\r\n\
         X-Consul-LastContact: {contact}\r\n{cached}"
    )
}

/// Writes a complete response; returns whether that succeeded.
pub(super) fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

/// Parses a duration in Go's format: a number and one unit.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let unit = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let number: f64 = text[..unit].parse().ok()?;
    let seconds = match &text[unit..] {
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * seconds).ok()
}

/// Decodes percent-encoding.
pub(super) fn percent_decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let [first, more @ ..] = rest {
        rest = more;
        let hex = (*first == b'%').then(|| more.get(..2)).flatten();
        let byte = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        if byte.is_some() {
            rest = &more[2..];
        }
        bytes.push(byte.unwrap_or(*first));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Writes a response whose body is truncated at a position, and always lacks at least its last byte.
pub(super) fn write_truncated(stream: &mut TcpStream, headers: &str, body: &str, at: usize) {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let part = &body.as_bytes()[..at.min(body.len().saturating_sub(1))];
    // The caller closes the connection in any case.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(part);
}

/// Writes a response that repeats one instance until the client closes the connection, or [`MAX_PIECES`] are written.
pub(super) fn write_endless(
    stream: &mut TcpStream,
    headers: &str,
    instance: Option<&Arc<RegisteredInstance>>,
) {
    let start = format!("HTTP/1.1 200 OK\r\n{headers}Connection: close\r\n\r\n[");
    let piece = format!(
        "{},",
        instance.map_or("{}", |registered| registered.health.as_str())
    )
    .repeat(64);
    let mut is_open = stream.write_all(start.as_bytes()).is_ok();
    for _ in 0..MAX_PIECES {
        is_open = is_open && stream.write_all(piece.as_bytes()).is_ok();
    }
}
