//! Graceful shutdown of the client side: the phases of a node's shutdown, and how a connection is closed without losing a
//! response. Owns no state: each connection reads the phase from
//! [`crate::node::downstream::server::ServerOptions::phases`].

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::node::downstream::connection_table::Stage;
use crate::node::downstream::socket::Socket;
use crate::node::upstream::response::MAX_SHORT_BODY_BYTES;

/// Time after the shutdown deadline in which responses that were produced just before it may still be written.
pub const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which a draining node continues to accept connections on a listening socket that it shares with its successor.
/// The kernel distributes connections to both processes until this process closes its copy of the socket. After that, the
/// connections that were accepted last must still have time to send a request.
pub(super) const SHARED_ACCEPT_PERIOD: Duration = Duration::from_millis(300);

/// Maximum number of bytes that are read and discarded after the last response on a connection.
const MAX_LINGER_BYTES: usize = 64 * MAX_SHORT_BODY_BYTES;
/// Size of the buffer for those bytes.
const LINGER_BUFFER_BYTES: usize = 4 * 1024;
/// Number of those bytes after which other connections have their turns.
const LINGER_TURN_BYTES: usize = 16 * LINGER_BUFFER_BYTES;
/// Maximum time for which a connection is read after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Phase of a node's shutdown. From [`Phase::Draining`] on, every request must be answered by the deadline that the phase
/// carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Normal operation.
    Serving,
    /// The node has received a stop signal and still serves: it accepts connections, and clients keep their open
    /// connections.
    Draining(Instant),
    /// No connections are accepted, idle connections are closed, and each response is the last on its connection.
    ShuttingDown(Instant),
}

impl Phase {
    /// Returns whether the node has stopped accepting and closes its connections.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        matches!(self, Self::ShuttingDown(_))
    }

    /// Returns the instant by which every request must be answered; `None` during normal operation.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match self {
            Self::Serving => None,
            Self::Draining(deadline) | Self::ShuttingDown(deadline) => Some(*deadline),
        }
    }
}

/// How a connection is handled when the connection table requests its close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// Keeps the connection open: a request is in progress, or bytes of a request have just arrived.
    KeepOpen,
    /// Closes the connection gracefully and discards bytes that the client still sends.
    Graceful,
    /// Drops the connection.
    Abort,
}

impl CloseMode {
    /// Chooses the mode for a connection in `stage`. `is_idle` and `has_unread_bytes` are evaluated only where the result
    /// depends on them, as each can cost a system call.
    ///
    /// A client whose bytes arrived in the same event loop iteration as the close request keeps its connection: closing a
    /// connection with unread bytes resets it, and the client could not determine whether its request was executed. A client
    /// that sends a few bytes at a time is still bounded by the limit on the size of a head.
    pub(super) fn choose(
        stage: Stage,
        is_idle: impl Fn() -> bool,
        has_unread_bytes: impl Fn() -> bool,
    ) -> Self {
        match stage {
            Stage::ServingRequest => Self::KeepOpen,
            Stage::Idle if is_idle() => Self::Graceful,
            Stage::Idle => Self::KeepOpen,
            Stage::New | Stage::ReceivingHead if has_unread_bytes() => Self::KeepOpen,
            Stage::New | Stage::ReceivingHead | Stage::SendingResponse | Stage::Lingering => {
                Self::Abort
            }
        }
    }
}

/// Reads and discards the bytes that the client sends after the last response, up to [`MAX_LINGER_BYTES`] and
/// [`LINGER_TIMEOUT`].
///
/// Closing a connection with unread bytes resets it, and the client may lose the response.
pub(super) async fn linger(socket: &Socket) {
    socket.connection.enter(Stage::Lingering);
    let connection = Rc::clone(&socket.connection);
    tokio::select! {
        _ = discard_input(socket.clone()) => {}
        () = tokio::time::sleep(LINGER_TIMEOUT) => {}
        () = connection.close_requested() => {}
    }
}

async fn discard_input(mut socket: Socket) -> io::Result<()> {
    socket.shutdown().await?;
    // On the heap: each connection's task has the size of its largest state.
    let mut buffer = vec![0; LINGER_BUFFER_BYTES];
    let mut remaining = MAX_LINGER_BYTES;
    let mut read_in_turn = 0;
    loop {
        let read = socket.read(&mut buffer).await?;
        remaining = remaining.saturating_sub(read);
        if read == 0 || remaining == 0 {
            return Ok(());
        }
        read_in_turn += read;
        if read_in_turn >= LINGER_TURN_BYTES {
            read_in_turn = 0;
            tokio::task::yield_now().await;
        }
    }
}

#[cfg(test)]
mod tests;
