//! Follows the list of servers: a watch that is opened again whenever it ends, falls silent or makes no sense.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tokio::sync::watch;

use crate::node::admin::log;
use crate::node::config::HostList;
use crate::node::discovery::connection::Connection;
use crate::node::discovery::members::ServerMembers;
use balancer::MAX_RESUBSCRIBE_DELAY_MS;

/// A change counts as told this long after discovery had it and could be reached.
pub const COUNTS_AS_TOLD: Duration = Duration::from_secs(6);
/// An empty line comes every 2 s while nothing changes; a watch on which nothing comes for this long is dead, and so is
/// one whose line has begun and not ended in that time.
const SILENCE: Duration = Duration::from_millis(2_800);
/// How long a watch may take to be opened where discovery is asked: calls wait their turn, up to 2 s.
const OPENING_ASKED: Duration = Duration::from_secs(2);
/// The same where lists are pushed, as bounds on a part of the grace: the agent is on the node's own machine and answers
/// at once, so what does not answer is down.
const OPENING_PUSHED: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(700)];
const OPENING_PART: u32 = 4;
/// The longest wait between two tries of a pushed watch, as bounds on a part of the grace.
const WAIT_PUSHED: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(300)];
const WAIT_PART: u32 = 8;
/// The first wait between watches.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// How long each step of following the list may take, so that the steps together stay within what the rules allow. With
/// lists that are pushed, what the agent has counts as told from the moment of its return, so a try that hangs, the wait
/// and the next try stay within the grace. Where discovery is asked, the balancer says when to call again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    opening: Duration,
    longest_wait: Duration,
}

impl Pace {
    /// Of lists that are pushed.
    #[must_use]
    pub fn pushed(grace: Duration) -> Self {
        Self {
            opening: (grace / OPENING_PART).clamp(OPENING_PUSHED[0], OPENING_PUSHED[1]),
            longest_wait: (grace / WAIT_PART).clamp(WAIT_PUSHED[0], WAIT_PUSHED[1]),
        }
    }

    /// Of lists that are asked for.
    #[must_use]
    pub fn asked() -> Self {
        Self {
            opening: OPENING_ASKED,
            longest_wait: Duration::from_secs_f64(MAX_RESUBSCRIBE_DELAY_MS / 1e3),
        }
    }

    /// The longest from the return of a discovery that was out of reach to an answer of it: a call that was about to
    /// be given up, the wait, and the next call.
    #[must_use]
    pub fn after_return(&self) -> Duration {
        self.opening + self.longest_wait + self.opening
    }

    /// The longest from the last byte of a watch that has fallen silent to the next one's first: its silence, and, where
    /// the first call hangs, one more.
    #[must_use]
    pub fn after_silence(&self) -> Duration {
        SILENCE + FIRST_WAIT + self.opening
    }
}

/// The longest line.
const MOST_LINE: usize = 4 << 20;

/// What the lines of a watch are cut from, however they come in pieces.
#[derive(Debug, Default)]
pub struct Lines(BytesMut);

impl Lines {
    /// Takes a piece.
    pub fn push(&mut self, piece: &[u8]) {
        self.0.extend_from_slice(piece);
    }

    /// Whether a part of a line has come that is not empty.
    #[must_use]
    pub fn has_part(&self) -> bool {
        !self.0.trim_ascii().is_empty()
    }

    /// The next whole line that is not empty.
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

/// Why a watch ended.
enum End {
    /// It could not be opened, broke, ended or fell silent.
    Lost(String),
    /// It said what makes no sense: only the whole list can be trusted now.
    Malformed(String),
}

impl From<io::Error> for End {
    fn from(error: io::Error) -> Self {
        Self::Lost(error.to_string())
    }
}

impl From<hyper::Error> for End {
    fn from(error: hyper::Error) -> Self {
        Self::Lost(error.to_string())
    }
}

/// Follows the list for as long as the node runs, at the latest address. Where changes do not come by themselves,
/// each watch is one that the balancer asked for, and it hears of its end.
pub async fn follow(
    members: Rc<ServerMembers>,
    mut addresses: watch::Receiver<SocketAddr>,
    push: bool,
    grace: Duration,
    mut version: Option<u64>,
) {
    let pace = if push {
        Pace::pushed(grace)
    } else {
        Pace::asked()
    };
    let mut wait = FIRST_WAIT;
    let mut at = *addresses.borrow_and_update();
    let mut moved = false;
    loop {
        if !push && !moved {
            tokio::select! {
                () = members.driver().subscribe.notified() => {}
                Ok(()) = addresses.changed() => {}
            }
        }
        let address = *addresses.borrow_and_update();
        if std::mem::replace(&mut at, address) != address {
            // Versions are one discovery's own: another may count otherwise, so it is asked for the whole list.
            version = None;
            wait = FIRST_WAIT;
        }
        let mut heard = false;
        let end = tokio::select! {
            Err(end) = watch_list(&members, address, pace.opening, &mut version, &mut heard) => Some(end),
            Ok(()) = addresses.changed() => None,
        };
        moved = end.is_none();
        match end {
            None => continue,
            Some(End::Lost(why)) => {
                log::line(format_args!(
                    "the watch on the list of servers ended: {why}"
                ));
            }
            Some(End::Malformed(why)) => {
                log::line(format_args!(
                    "the watch on the list of servers made no sense: {why}"
                ));
                version = None;
            }
        }
        members.roster_lost();
        if push {
            wait = if heard {
                FIRST_WAIT
            } else {
                (wait * 2).min(pace.longest_wait)
            };
            // Guards against a node that waits for an address of no more use.
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                Ok(()) = addresses.changed() => moved = true,
            };
        } else {
            members.driver().list_failed();
        }
    }
}

/// One watch, from the version held on, or from the whole list.
async fn watch_list(
    members: &Rc<ServerMembers>,
    address: SocketAddr,
    opening: Duration,
    version: &mut Option<u64>,
    heard: &mut bool,
) -> Result<std::convert::Infallible, End> {
    let opened = tokio::time::timeout(opening, open(address, *version)).await;
    let (mut body, _connection) =
        opened.map_err(|_| End::Lost("it could not be opened in time".into()))??;
    let mut lines = Lines::default();
    // When the line of which a part has come began.
    let mut begun = None::<Instant>;
    loop {
        let stuck = async {
            match begun {
                Some(begun) => tokio::time::sleep_until((begun + SILENCE).into()).await,
                None => pending().await,
            }
        };
        let frame = tokio::select! {
            biased;
            frame = tokio::time::timeout(SILENCE, body.frame()) => frame,
            () = stuck => return Err(End::Lost("a line of it does not end".into())),
        };
        let frame = frame.map_err(|_| End::Lost("it fell silent".into()))?;
        let frame = frame.ok_or_else(|| End::Lost("discovery ended it".into()))??;
        *heard = true;
        let Some(piece) = frame.data_ref() else {
            continue;
        };
        lines.push(piece);
        let mut ended = false;
        while let Some(line) = lines.next_line() {
            ended = true;
            let list: HostList =
                serde_json::from_slice(&line).map_err(|error| End::Malformed(error.to_string()))?;
            // Guards against a discovery that has begun anew: changes from a version before the one held say
            // nothing of what is held.
            if !list.reset && version.is_some_and(|held| list.generation < held) {
                return Err(End::Malformed("its version goes back".into()));
            }
            members.roster(&list);
            *version = Some(list.generation);
        }
        begun = match begun {
            _ if !lines.has_part() => None,
            Some(begun) if !ended => Some(begun),
            _ => Some(Instant::now()),
        };
        if lines.0.len() > MOST_LINE {
            return Err(End::Malformed("a line is too long".into()));
        }
    }
}

async fn open(address: SocketAddr, version: Option<u64>) -> Result<(Incoming, Connection), End> {
    let mut connection = Connection::open(address, |_| Ok(())).await?;
    let from = version
        .map(|version| format!("&from={version}"))
        .unwrap_or_default();
    let request = Request::get(format!("/discovery/hosts?watch=1{from}"))
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| End::Lost(error.to_string()))?;
    let answer = connection.ask(request).await?;
    if answer.status() != StatusCode::OK {
        return Err(End::Lost(format!("discovery answered {}", answer.status())));
    }
    Ok((answer.into_body(), connection))
}

#[cfg(test)]
mod tests;
