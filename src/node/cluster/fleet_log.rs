//! The fleet log: the owner of its shard appends a numbered line to a register, once a second.
//!
//! The register accepts a line only if its fencing token is no lower than the highest that it has
//! seen, so an old owner that wakes up while it writes does no harm. There is one line per
//! connection, `APPEND TOKEN NUMBER NODE`; the response is `OK` or `LOW TOKEN`.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gossip::MemberId;
use lease::{FencingToken, Shard};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{boot_ms, Cluster};
use crate::node::admin::log;

/// The name whose hash decides which shard the log belongs to.
const NAME: &str = "fleet-log";
/// How often a line is appended.
const APPEND_INTERVAL: Duration = Duration::from_secs(1);
/// The longest response that is read.
const MAX_RESPONSE_BYTES: u64 = 64;

/// What became of a line.
#[derive(Debug, PartialEq)]
enum AppendOutcome {
    /// The register has it.
    Accepted,
    /// The register has a line of a later owner, and rejected this one.
    Stale,
    /// The lease expired before the line was written.
    LeaseExpired,
}

/// Why a line may not have been appended.
#[derive(Debug)]
enum AppendError {
    Io(io::Error),
    /// Neither `OK` nor `LOW`.
    InvalidResponse,
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::InvalidResponse => write!(f, "its response is neither OK nor LOW"),
        }
    }
}

impl From<io::Error> for AppendError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Appends lines while this node owns the log's shard, for as long as it is polled.
pub async fn write_fleet_log(fleet: Rc<Cluster>, register: SocketAddr) {
    let shards = fleet.shards().max(1);
    let mut writer = FleetLogWriter {
        shard: (MemberId::of(NAME).0 % u64::from(shards)) as Shard,
        fleet,
        register,
        last_line: 0,
        is_error_logged: false,
    };
    loop {
        tokio::time::sleep(APPEND_INTERVAL).await;
        writer.append_if_owner().await;
    }
}

struct FleetLogWriter {
    fleet: Rc<Cluster>,
    register: SocketAddr,
    shard: Shard,
    /// The number of the last line that is known to be in the log.
    last_line: u64,
    /// Whether the present failure of the register was logged.
    is_error_logged: bool,
}

impl FleetLogWriter {
    async fn append_if_owner(&mut self) {
        // Checked here to spare the register a connection, and again right before the line is sent.
        let Some(remaining) = self.remaining_lease() else {
            return;
        };
        self.last_line = self.last_line.max(self.published_line().unwrap_or(0));
        let number = self.last_line + 1;
        let appended = tokio::time::timeout(remaining, self.append(number)).await;
        match appended.unwrap_or(Ok(AppendOutcome::LeaseExpired)) {
            Ok(AppendOutcome::Accepted) => {
                self.last_line = number;
                self.is_error_logged = false;
                self.fleet.publish_effect(self.shard, &number.to_le_bytes());
            }
            Ok(AppendOutcome::Stale) => log::line(format_args!(
                "{NAME}: line rejected, the register has a line of a later owner"
            )),
            Ok(AppendOutcome::LeaseExpired) => {}
            Err(error) => self.log_error(&error),
        }
    }

    fn remaining_lease(&self) -> Option<Duration> {
        let remaining_ms = self
            .fleet
            .with_permit(self.shard, |permit, now_ms| permit.expires_ms() - now_ms)?;
        Some(Duration::try_from_secs_f64(remaining_ms / 1e3).unwrap_or_default())
    }

    /// The last line that an owner of the log has published, this node or one before it.
    fn published_line(&self) -> Option<u64> {
        let payload = self.fleet.latest_effect(self.shard)?;
        Some(u64::from_le_bytes(payload.try_into().ok()?))
    }

    fn log_error(&mut self, error: &AppendError) {
        if !self.is_error_logged {
            self.is_error_logged = true;
            log::line(format_args!(
                "{NAME}: the register at {} does not answer: {error}",
                self.register
            ));
        }
    }

    async fn append(&self, number: u64) -> Result<AppendOutcome, AppendError> {
        let mut stream = TcpStream::connect(self.register).await?;
        stream.writable().await?;
        // The line fits the socket's buffer, so it is sent in this one step or not at all.
        let written = self.fleet.with_permit(self.shard, |permit, _| {
            let FencingToken(token) = permit.token();
            let line = format!("APPEND {token} {number} {}\n", self.fleet.name);
            permit
                .is_valid_at(boot_ms())
                .then(|| stream.try_write(line.as_bytes()))
        });
        let Some(written) = written.flatten() else {
            return Ok(AppendOutcome::LeaseExpired);
        };
        written?;
        stream.shutdown().await?;
        let mut response = String::new();
        stream
            .take(MAX_RESPONSE_BYTES)
            .read_to_string(&mut response)
            .await?;
        match response.split_whitespace().next() {
            Some("OK") => Ok(AppendOutcome::Accepted),
            Some("LOW") => Ok(AppendOutcome::Stale),
            _ => Err(AppendError::InvalidResponse),
        }
    }
}
