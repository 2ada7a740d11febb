//! When the client may have sent the last byte of an upload. Owns the clock of one upload, which stands still while the node
//! does not read.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use flow_control::UploadClock;

use crate::node::dispatcher::UploadProgress;
use crate::node::downstream::socket::Socket;

/// Time for which a client has to leave the node without bytes to be taken for one that is still sending: longer than bytes
/// take that were held back in its kernel, once the node reads again.
const MIN_CLIENT_WAIT: Duration = Duration::from_millis(20);

/// What an upload waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UploadWait {
    /// The client's next bytes.
    Client,
    /// Memory, an attempt, or the server that reads it.
    Node,
}

/// When the client may have sent the last byte of an upload, by the times for which the upload waits and by the state of its
/// socket.
pub(super) struct UploadEnd {
    clock: RefCell<UploadClock>,
    wait: Cell<(UploadWait, Instant)>,
    socket: Socket,
}

impl UploadEnd {
    /// Creates the clock of an upload that begins now.
    pub(super) fn new(socket: &Socket) -> Self {
        Self {
            clock: RefCell::default(),
            wait: Cell::new((UploadWait::Client, Instant::now())),
            socket: socket.clone(),
        }
    }

    /// Records that the upload waits for something else from now on.
    pub(super) fn wait_for(&self, wait: UploadWait) {
        let now = Instant::now();
        let (previous, since) = self.wait.replace((wait, now));
        let mut clock = self.clock.borrow_mut();
        if previous == UploadWait::Client && now - since >= MIN_CLIENT_WAIT {
            clock.record_incomplete(now);
        }
        match wait {
            UploadWait::Client => clock.resume(now),
            UploadWait::Node => clock.hold(now),
        }
    }

    /// Whether the client is known to be sending: it has left the node without bytes for a while.
    fn is_client_sending(&self, now: Instant) -> bool {
        let (wait, since) = self.wait.get();
        now - since >= MIN_CLIENT_WAIT
            && match wait {
                UploadWait::Client => !self.socket.has_unread_bytes(),
                UploadWait::Node => self.socket.awaits_more_of_body(),
            }
    }

    /// Records that the node has read `bytes` more. `remaining_bytes` are still to be read, if that is known.
    pub(super) fn record_read(&self, bytes: usize, remaining_bytes: Option<u64>) {
        let mut clock = self.clock.borrow_mut();
        clock.record_read(Instant::now(), bytes as u64, remaining_bytes);
    }
}

impl UploadProgress for UploadEnd {
    fn earliest_end(&self) -> Instant {
        let now = Instant::now();
        let mut clock = self.clock.borrow_mut();
        if self.is_client_sending(now) {
            clock.record_incomplete(now);
        }
        clock.earliest_end(now)
    }
}
