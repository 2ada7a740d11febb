//! The fleet log: the owner of its shard appends a numbered line to a register, once a second.
//!
//! The register accepts a line only if its fencing token is no lower than the highest that it has
//! received, so it rejects a line of a former owner that was suspended while it was writing. There
//! is one line per connection, `APPEND TOKEN NUMBER NODE`; the response is `OK` or `LOW TOKEN`.

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

/// Name of the log, whose hash determines the shard that the log belongs to.
const LOG_NAME: &str = "fleet-log";
/// Interval at which lines are appended.
const APPEND_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum length of a response that is read, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64;

/// Result of an attempt to append a line.
#[derive(Debug, PartialEq)]
enum AppendOutcome {
    /// The register accepted the line.
    Accepted,
    /// The register rejected the line, because it has received one of a later owner.
    Stale,
    /// The lease expired before the line was sent or before its response was received.
    LeaseExpired,
}

/// An error while a line was being appended. The register may have accepted the line nevertheless.
#[derive(Debug)]
enum AppendError {
    Io(io::Error),
    /// The response is neither `OK` nor `LOW`.
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

/// Appends lines while this node owns the log's shard, for as long as the future is polled.
pub async fn write_fleet_log(cluster: Rc<Cluster>, register: SocketAddr) {
    let shards = cluster.shards().max(1);
    let mut writer = FleetLogWriter {
        shard: (MemberId::of(LOG_NAME).0 % u64::from(shards)) as Shard,
        cluster,
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
    cluster: Rc<Cluster>,
    register: SocketAddr,
    shard: Shard,
    /// Number of the last line that is known to be in the log.
    last_line: u64,
    /// Whether the current failure of the register has been logged.
    is_error_logged: bool,
}

impl FleetLogWriter {
    async fn append_if_owner(&mut self) {
        // Checked here to avoid a needless connection, and again right before the line is sent.
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
                self.cluster
                    .publish_effect(self.shard, &number.to_le_bytes());
            }
            Ok(AppendOutcome::Stale) => log::line(format_args!(
                "{LOG_NAME}: line rejected, the register has a line of a later owner"
            )),
            Ok(AppendOutcome::LeaseExpired) => {}
            Err(error) => self.log_error(&error),
        }
    }

    fn remaining_lease(&self) -> Option<Duration> {
        let remaining_ms = self
            .cluster
            .with_permit(self.shard, |permit, now_ms| permit.expires_ms() - now_ms)?;
        Some(Duration::try_from_secs_f64(remaining_ms / 1e3).unwrap_or_default())
    }

    /// Number of the last line that any owner of the log has published, this node included.
    fn published_line(&self) -> Option<u64> {
        let payload = self.cluster.latest_effect(self.shard)?;
        Some(u64::from_le_bytes(payload.try_into().ok()?))
    }

    fn log_error(&mut self, error: &AppendError) {
        if !self.is_error_logged {
            self.is_error_logged = true;
            log::line(format_args!(
                "{LOG_NAME}: append to the register at {} failed: {error}",
                self.register
            ));
        }
    }

    async fn append(&self, number: u64) -> Result<AppendOutcome, AppendError> {
        let mut stream = TcpStream::connect(self.register).await?;
        stream.writable().await?;
        // The line fits the socket's send buffer, so this one call writes all of it or nothing.
        let written = self.cluster.with_permit(self.shard, |permit, _| {
            let FencingToken(token) = permit.token();
            let line = format!("APPEND {token} {number} {}\n", self.cluster.name);
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
