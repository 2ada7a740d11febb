//! The duty `fleet-log`: the owner of its shard appends a numbered line to a register, once a second.
//!
//! The register takes a line only if its fence is no lower than the highest that it has seen: so an old owner that wakes up
//! in the midst of one does no harm. One line a connection: `APPEND FENCE NUMBER NODE`; the answer is `OK` or `LOW FENCE`.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gossip::MemberId;
use lease::{Fence, Shard};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{boot_ms, Cluster};
use crate::node::admin::log;

const NAME: &str = "fleet-log";
/// How often.
const EVERY: Duration = Duration::from_secs(1);
/// The longest answer that is read.
const MOST_ANSWER: u64 = 64;

/// What became of a line.
#[derive(Debug, PartialEq)]
enum Came {
    Taken,
    /// Another has acted since, under a higher number.
    Old,
    /// The lease ended before the line was written.
    Ended,
}

/// Appends for as long as it is polled.
pub async fn fleet_log(fleet: Rc<Cluster>, at: SocketAddr) {
    let shards = fleet.shards().max(1);
    let shard = (MemberId::of(NAME).0 % u64::from(shards)) as Shard;
    let (mut number, mut was_said) = (0_u64, false);
    let last = |fleet: &Cluster| {
        fleet
            .told(shard)
            .and_then(|bytes| Some(u64::from_le_bytes(bytes.try_into().ok()?)))
    };
    loop {
        tokio::time::sleep(EVERY).await;
        // Asked here to spare the register a connection; asked again right before the line goes out.
        let Some(left) = fleet.permitted(shard, |permit, now| permit.until_ms() - now) else {
            continue;
        };
        let left = Duration::try_from_secs_f64(left / 1e3).unwrap_or_default();
        // The owner before told how far it came.
        number = number.max(last(&fleet).unwrap_or(0));
        let line = tokio::time::timeout(left, append(&fleet, at, shard, number + 1)).await;
        match line.unwrap_or(Ok(Came::Ended)) {
            Ok(Came::Taken) => {
                number += 1;
                was_said = false;
                fleet.tell(shard, &number.to_le_bytes());
            }
            Ok(Came::Old) => log::line(format_args!(
                "{NAME}: the register has had a later owner's line"
            )),
            Ok(Came::Ended) => {}
            Err(error) if !was_said => {
                was_said = true;
                log::line(format_args!(
                    "{NAME}: the register at {at} does not answer: {error}"
                ));
            }
            Err(_) => {}
        }
    }
}

async fn append(fleet: &Cluster, at: SocketAddr, shard: Shard, number: u64) -> io::Result<Came> {
    let mut stream = TcpStream::connect(at).await?;
    stream.writable().await?;
    // The line fits the socket's buffer, so it goes out in this one step or not at all.
    let written = fleet.permitted(shard, |permit, _| {
        let Fence(fence) = permit.fence();
        let line = format!("APPEND {fence} {number} {}\n", fleet.name);
        permit
            .holds_at(boot_ms())
            .then(|| stream.try_write(line.as_bytes()))
    });
    let Some(written) = written.flatten() else {
        return Ok(Came::Ended);
    };
    written?;
    stream.shutdown().await?;
    let mut answer = String::new();
    stream.take(MOST_ANSWER).read_to_string(&mut answer).await?;
    match answer.split_whitespace().next() {
        Some("OK") => Ok(Came::Taken),
        Some("LOW") => Ok(Came::Old),
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "its answer makes no sense",
        )),
    }
}
