//! One connection in the table: its stage, the stage's timeout, and the request to close the connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::ConnectionPolicy;
use flow_control::Reservation;
use tokio::sync::Notify;

use crate::node::downstream::request_ids::OpenRequestId;

/// Maximum time from the first byte of a request's head to the last; for the first head on a connection, from the accept.
/// Slow clients take 2 s; a client that takes longer occupies a slot to no purpose.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Maximum time without progress in writing a response. Slow clients take several seconds to read a response.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum idle time between requests. Many clients never send a second request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a request that is in transit arrives. A new or idle connection stays open for this long under
/// [`ConnectionPolicy::CloseIdle`], and a new connection without received bytes has stalled after it.
pub(super) const REQUEST_ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Current activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The connection has been accepted and no bytes have been received.
    New,
    /// A part of a request's head has been received.
    ReceivingHead,
    /// A request is in progress: its body is being read, or it is being served. The request has its own deadline, and the
    /// connection is never evicted.
    ServingRequest,
    /// A response is being written.
    SendingResponse,
    /// The connection is between two requests.
    Idle,
    /// The last response has been written; bytes that the client still sends are discarded.
    Lingering,
}

/// State of a connection that its task and the table share.
#[derive(Debug)]
pub struct TrackedConnection {
    stage: Cell<Stage>,
    /// When the stage began (for the first head, when the connection was accepted), or when a response last made progress.
    stage_since: Cell<Instant>,
    /// When bytes of a head were last received or a stage was last entered.
    last_received: Cell<Instant>,
    /// Whether the response's body is still being streamed.
    is_streaming: Cell<bool>,
    /// Number of requests that have been received on the connection.
    request_count: Cell<u64>,
    /// Whether the connection has been recorded in the reuse estimate.
    is_reuse_recorded: Cell<bool>,
    is_close_requested: Cell<bool>,
    close_request: Notify,
    /// The memory of a streamed response that is being written.
    response_memory: RefCell<Option<Reservation>>,
    /// The id of the request whose response has not been written yet.
    request_id: RefCell<Option<Rc<OpenRequestId>>>,
    /// The memory of a read buffer that has grown for a long head or for large reads. The buffer keeps its size, so this is
    /// held until the close.
    read_buffer_memory: RefCell<Option<Rc<Reservation>>>,
    /// Whether reads may exceed [`crate::node::memory::MAX_READ_BYTES`].
    has_large_reads: Cell<bool>,
}

impl TrackedConnection {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new() -> Self {
        Self {
            stage: Cell::new(Stage::New),
            stage_since: Cell::new(Instant::now()),
            last_received: Cell::new(Instant::now()),
            is_streaming: Cell::new(false),
            request_count: Cell::new(0),
            is_reuse_recorded: Cell::new(false),
            is_close_requested: Cell::new(false),
            close_request: Notify::new(),
            response_memory: RefCell::default(),
            request_id: RefCell::default(),
            read_buffer_memory: RefCell::default(),
            has_large_reads: Cell::new(false),
        }
    }

    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Returns when the stage began (for the first head, when the connection was accepted), or when a response last made
    /// progress.
    pub(super) fn stage_since(&self) -> Instant {
        self.stage_since.get()
    }

    /// Returns when bytes of a head were last received or a stage was last entered.
    pub(super) fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// Returns the number of requests that have been received on the connection.
    pub(super) fn request_count(&self) -> u64 {
        self.request_count.get()
    }

    /// Enters a stage. This withdraws a request to close the connection, because the connection has made progress since.
    pub fn enter(&self, stage: Stage) {
        let now = Instant::now();
        // The timeout of the first head counts from the accept: a late first byte does not extend it.
        if (self.stage.replace(stage), stage) != (Stage::New, Stage::ReceivingHead) {
            self.stage_since.set(now);
        }
        self.last_received.set(now);
        self.is_close_requested.set(false);
    }

    /// Records that bytes have been received from the client.
    pub fn record_received(&self) {
        match self.stage.get() {
            Stage::New | Stage::Idle => self.enter(Stage::ReceivingHead),
            Stage::ReceivingHead => self.last_received.set(Instant::now()),
            Stage::ServingRequest | Stage::SendingResponse | Stage::Lingering => {}
        }
    }

    /// Records that bytes of the response have been written to the socket.
    pub fn record_written(&self) {
        if self.stage.get() == Stage::SendingResponse {
            self.stage_since.set(Instant::now());
        }
    }

    /// Sets whether the response's body is still being streamed.
    pub fn set_streaming(&self, is_streaming: bool) {
        self.is_streaming.set(is_streaming);
    }

    /// Returns whether the bytes written so far are the complete response.
    pub(super) fn is_response_complete(&self) -> bool {
        self.stage.get() == Stage::SendingResponse && !self.is_streaming.get()
    }

    /// Holds the memory of a response until its last byte has been written or the connection is closed.
    pub fn hold_until_written(&self, reservation: Reservation) {
        self.response_memory.replace(Some(reservation));
    }

    /// Holds the id of a request until the last byte of its response has been written or the connection is closed.
    pub fn hold_request_id(&self, id: Rc<OpenRequestId>) {
        self.request_id.replace(Some(id));
    }

    /// Releases what belongs to the request whose response has been written.
    pub(super) fn end_request(&self) {
        if let Some(id) = self.request_id.take() {
            id.record_written();
        }
        self.response_memory.take();
    }

    /// Releases all that the connection holds, which has been closed.
    pub(super) fn release_all(&self) {
        self.request_id.take();
        self.response_memory.take();
        self.read_buffer_memory.take();
    }

    /// Holds the memory of a read buffer that grows until the connection is closed.
    pub fn hold_read_buffer_memory(&self, reservation: Rc<Reservation>) {
        self.read_buffer_memory.replace(Some(reservation));
    }

    /// Returns the memory of a read buffer that has grown; `None` if it has its usual size.
    #[must_use]
    pub fn read_buffer_memory(&self) -> Option<Rc<Reservation>> {
        self.read_buffer_memory.borrow().clone()
    }

    /// Allows large reads, whose memory is held until the connection is closed.
    pub fn allow_large_reads(&self, reservation: Rc<Reservation>) {
        self.hold_read_buffer_memory(reservation);
        self.has_large_reads.set(true);
    }

    /// Returns whether large reads are allowed.
    #[must_use]
    pub fn has_large_reads(&self) -> bool {
        self.has_large_reads.get()
    }

    /// Counts a request. Returns the number of requests so far, including this one.
    pub(super) fn count_request(&self) -> u64 {
        self.request_count.set(self.request_count.get() + 1);
        self.request_count.get()
    }

    /// Marks the connection as recorded in the reuse estimate. Returns `false` if it was marked already.
    pub(super) fn mark_reuse_recorded(&self) -> bool {
        !self.is_reuse_recorded.replace(true)
    }

    /// Returns whether the connection became idle at `since` and has been idle without interruption.
    pub(super) fn has_idled_since(&self, since: Instant) -> bool {
        self.stage.get() == Stage::Idle && self.stage_since.get() == since
    }

    /// Returns whether the connection should close. Entering a stage withdraws the request.
    #[must_use]
    pub fn is_close_requested(&self) -> bool {
        self.is_close_requested.get()
    }

    /// Waits for a request to close the connection. The request may have been withdrawn since: check
    /// [`Self::is_close_requested`].
    ///
    /// Cancel safe: a request that is made while no caller waits completes the next call.
    pub async fn close_requested(&self) {
        self.close_request.notified().await;
    }

    /// Asks the connection's task to close it.
    pub(super) fn request_close(&self) {
        self.is_close_requested.set(true);
        self.close_request.notify_one();
    }

    /// Returns whether the connection has been in its stage without progress for longer than `policy` permits.
    pub(super) fn has_timed_out(&self, now: Instant, policy: ConnectionPolicy) -> bool {
        now.saturating_duration_since(self.stage_since.get()) > self.stage_timeout(policy)
    }

    fn stage_timeout(&self, policy: ConnectionPolicy) -> Duration {
        match self.stage.get() {
            Stage::New | Stage::Idle if policy == ConnectionPolicy::CloseIdle => {
                REQUEST_ARRIVAL_TIME
            }
            Stage::New | Stage::ReceivingHead => HEAD_TIMEOUT,
            Stage::SendingResponse => RESPONSE_STALL_TIMEOUT,
            Stage::Idle => IDLE_TIMEOUT,
            Stage::ServingRequest | Stage::Lingering => Duration::MAX,
        }
    }
}
