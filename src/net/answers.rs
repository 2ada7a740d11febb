//! What a server's answer says, whatever protocol it came by, and how large it may be.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::StatusCode;

use super::log;
use crate::{Ending, Report};

/// The largest body of a message that is held without a look at what else is.
pub const MOST_BODY: usize = 64 * 1024;
/// The largest body of an answer that tells its length: beyond what messages ordinarily have, and few enough bytes to be
/// there within the time that one may take.
pub const MOST_LARGE: usize = 1024 * 1024;

/// Room for large answers. Guards the limit on memory: servers could fill it with answers of ordinary number.
#[derive(Clone)]
pub struct Room(Arc<AtomicUsize>);

impl Room {
    /// Room for so many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Takes so many bytes until the share is dropped, if there are as many.
    #[must_use]
    pub fn take(&self, bytes: usize) -> Option<Share> {
        let left = self.0.load(Ordering::Relaxed).checked_sub(bytes)?;
        self.0.store(left, Ordering::Relaxed); // One thread alone takes and gives.
        Some(Share { room: self.clone(), bytes })
    }
}

/// A part of the room.
pub struct Share {
    room: Room,
    bytes: usize,
}

impl Share {
    /// How many bytes it is.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The body, which keeps its share for as long as any part of it is held.
    #[must_use]
    pub fn hold(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Large { body, _share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.room.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

struct Large {
    body: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Large {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// What an answer that came whole, or whose body is of no matter, means.
#[must_use]
pub fn ending(status: StatusCode, declined: bool) -> Ending {
    match status {
        StatusCode::OK => Ending::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Ending::Full,
        status if blames_request(status) => Ending::Rejected,
        _ => Ending::Error,
    }
}

/// Whether the request itself is what a server objects to: another would say the same, and it is no fault of the
/// server. The others of their hundred tell of the server's state.
fn blames_request(status: StatusCode) -> bool {
    let of_server = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_EARLY, StatusCode::TOO_MANY_REQUESTS];
    status.is_client_error() && !of_server.contains(&status)
}

/// Reads a load report; one that is malformed is passed over.
#[must_use]
pub fn read_report(value: &HeaderValue) -> Option<Report> {
    let text = value.to_str().ok().and_then(|text| text.trim().strip_prefix("TEXT "));
    let Some(fields) = text else {
        log::line("a load report is malformed");
        return None;
    };
    let mut report = Report::default();
    for field in fields.split(',') {
        let Some((name, figure)) = field.split_once('=') else {
            log::line("a load report is malformed");
            continue;
        };
        let figure = figure.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0);
        match name.trim() {
            "inflight" | "active" => report.in_flight = figure,
            "queue" | "waiting" => report.queued = figure,
            _ => {}
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against large answers that fill the memory, and against room that is not given back.
    #[test]
    fn large_answers_are_held_while_there_is_room() {
        let room = Room::new(100);
        let first = room.take(60).expect("room");
        assert!(room.take(60).is_none());
        let body = first.hold(Bytes::from_static(b"yes"));
        let part = body.slice(1..);
        drop(body);
        assert!(room.take(60).is_none(), "a part is held yet");
        assert_eq!(part, "es");
        drop(part);
        assert!(room.take(100).is_some());
    }
}
