//! One connection in the table: its stage, how long it may remain in it, and the request to close it.

use std::cell::Cell;
use std::time::{Duration, Instant};

use admin::ConnectionPolicy;
use tokio::sync::Notify;

/// How long a client may take over a request's head, from the first byte to the last; over the first head on a connection,
/// from connecting. Slow clients take 2 s; one that takes longer holds a slot for nothing.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// How long a client may stop reading its response. Slow clients take seconds over one.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may stay idle between requests. Many clients never send another.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an idle connection stays open under [`ConnectionPolicy::CloseIdle`]: a request that was already on its way
/// arrives within this time.
pub(super) const REQUEST_ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing has been received.
    Silent,
    /// A part of a request's head has been received.
    Head,
    /// A request is in progress: its body is being read, or it is being served. It has a deadline of its own, and the
    /// connection is never evicted.
    Request,
    /// A response is being written.
    Response,
    /// Between two requests.
    Idle,
    /// The last response has been written; what the client still sends is discarded.
    Lingering,
}

/// State of a connection that its task and the table share.
#[derive(Debug)]
pub struct TrackedConnection {
    stage: Cell<Stage>,
    /// When the stage began, or a response last made progress.
    stage_since: Cell<Instant>,
    /// When bytes of a head were last received.
    last_received: Cell<Instant>,
    /// Whether more of the response is to come than has been written.
    is_streaming: Cell<bool>,
    request_count: Cell<u64>,
    /// Whether the connection has been counted in the reuse estimate.
    is_reuse_recorded: Cell<bool>,
    is_close_requested: Cell<bool>,
    close_request: Notify,
}

impl TrackedConnection {
    /// A connection that has just been accepted.
    pub(super) fn new() -> Self {
        Self {
            stage: Cell::new(Stage::Silent),
            stage_since: Cell::new(Instant::now()),
            last_received: Cell::new(Instant::now()),
            is_streaming: Cell::new(false),
            request_count: Cell::new(0),
            is_reuse_recorded: Cell::new(false),
            is_close_requested: Cell::new(false),
            close_request: Notify::new(),
        }
    }

    /// The current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// When the stage began, or a response last made progress.
    pub(super) fn stage_since(&self) -> Instant {
        self.stage_since.get()
    }

    /// When bytes of a head were last received.
    pub(super) fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// Requests that have been received on the connection.
    pub(super) fn request_count(&self) -> u64 {
        self.request_count.get()
    }

    /// Enters a stage. This withdraws a request to close the connection, as it has made progress since.
    pub fn enter(&self, stage: Stage) {
        let now = Instant::now();
        // The first head's timeout counts from connecting: silence before it does not extend it.
        if (self.stage.replace(stage), stage) != (Stage::Silent, Stage::Head) {
            self.stage_since.set(now);
        }
        self.last_received.set(now);
        self.is_close_requested.set(false);
    }

    /// Records that bytes have been received from the client.
    pub fn record_received(&self) {
        match self.stage.get() {
            Stage::Silent | Stage::Idle => self.enter(Stage::Head),
            Stage::Head => self.last_received.set(Instant::now()),
            Stage::Request | Stage::Response | Stage::Lingering => {}
        }
    }

    /// Records that the client has taken bytes of its response.
    pub fn record_written(&self) {
        if self.stage.get() == Stage::Response {
            self.stage_since.set(Instant::now());
        }
    }

    /// Sets whether more of the response is to come than has been written.
    pub fn set_streaming(&self, is_streaming: bool) {
        self.is_streaming.set(is_streaming);
    }

    /// Whether all that has been written is all of the response.
    pub(super) fn is_response_complete(&self) -> bool {
        self.stage.get() == Stage::Response && !self.is_streaming.get()
    }

    /// Counts a request; returns how many there have been.
    pub(super) fn count_request(&self) -> u64 {
        self.request_count.set(self.request_count.get() + 1);
        self.request_count.get()
    }

    /// Marks the connection as counted in the reuse estimate; `false` if it already was.
    pub(super) fn mark_reuse_recorded(&self) -> bool {
        !self.is_reuse_recorded.replace(true)
    }

    /// Whether it has been idle since this instant, without a request in between.
    pub(super) fn has_idled_since(&self, since: Instant) -> bool {
        self.stage.get() == Stage::Idle && self.stage_since.get() == since
    }

    /// Whether the connection should close. Progress since the request withdraws it.
    #[must_use]
    pub fn is_close_requested(&self) -> bool {
        self.is_close_requested.get()
    }

    /// Waits for a request to close the connection. It may have been withdrawn since: check [`Self::is_close_requested`].
    ///
    /// Cancel safe: a request that arrives while nobody waits completes the next call.
    pub async fn close_requested(&self) {
        self.close_request.notified().await;
    }

    /// Asks the connection's task to close it.
    pub(super) fn request_close(&self) {
        self.is_close_requested.set(true);
        self.close_request.notify_one();
    }

    /// Whether the connection has remained in its stage, without progress, for longer than `policy` permits.
    pub(super) fn has_timed_out(&self, now: Instant, policy: ConnectionPolicy) -> bool {
        now.saturating_duration_since(self.stage_since.get()) > self.stage_timeout(policy)
    }

    fn stage_timeout(&self, policy: ConnectionPolicy) -> Duration {
        match self.stage.get() {
            Stage::Silent | Stage::Idle if policy == ConnectionPolicy::CloseIdle => {
                REQUEST_ARRIVAL_TIME
            }
            Stage::Silent | Stage::Head => HEAD_TIMEOUT,
            Stage::Response => RESPONSE_STALL_TIMEOUT,
            Stage::Idle => IDLE_TIMEOUT,
            Stage::Request | Stage::Lingering => Duration::MAX,
        }
    }
}
