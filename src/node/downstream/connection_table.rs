//! The table of client connections. It owns the state of every open connection, bounds their number, and decides which
//! connection to close: because it exceeds a timeout, because too few slots are free, or to make room for a new connection.
//! A connection with a request in progress is never closed for these reasons.

mod eviction;
mod idle_queue;
mod reuse_estimate;
mod tracked_connection;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::ConnectionPolicy;
use tokio::sync::Notify;

use self::eviction::{may_close_without_notice, EvictionOrder};
use self::idle_queue::IdleQueue;
use self::reuse_estimate::ReuseEstimate;
pub use self::tracked_connection::{Stage, TrackedConnection};

/// Interval at which timeouts and free slots are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a new connection that is waiting for a free slot tries again to evict another connection.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Share of the table, as (numerator, denominator), that clients are assumed to occupy at most with connections that carry
/// requests. The table has room for half as many connections as the node has file descriptors.
const CLIENT_SHARE: (usize, usize) = (2, 3);
/// Divisor of the number of connections that clients can occupy: the quotient is the number kept free for further requests.
/// It is several times the number of requests and responses in transit at a time. Free connections are needed because
/// clients get no further connections during a graceful shutdown, and at no time more than their share of the descriptors.
const FREE_CONNECTION_DIVISOR: usize = 6;
/// The divisor while connections with a single request are idle. It keeps more connections free: most of the idle ones are
/// never used again, and they limit how many clients can send a request at a time.
const FREE_CONNECTION_DIVISOR_SINGLE_USE: usize = 2;

/// Numbers of used connections above which idle connections are closed.
struct IdleLimits {
    /// Limit above which idle connections with a single request are closed.
    single_use: usize,
    /// Limit above which idle connections with several requests are closed, too.
    reused: usize,
}

/// All connections from clients.
pub struct ConnectionTable {
    /// Size of the table: the limit on open connections.
    max_connections: usize,
    next_id: Cell<u64>,
    connections: RefCell<HashMap<u64, Rc<TrackedConnection>>>,
    /// Connections that became idle after their first request.
    idle_single_use: RefCell<IdleQueue>,
    /// Connections that became idle after a later request.
    idle_reused: RefCell<IdleQueue>,
    /// Whether idle connections are kept because clients could not replace closed ones.
    is_retaining: Cell<bool>,
    /// Number of open connections on which a request has been received.
    used_connections: Cell<usize>,
    reuse: ReuseEstimate,
    /// Whether a new connection is waiting for a slot.
    is_slot_awaited: Cell<bool>,
    /// Notified when a connection leaves the table.
    slot_freed: Notify,
}

impl ConnectionTable {
    /// Creates an empty table for at most `max_connections`.
    #[must_use]
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(Self {
            max_connections,
            next_id: Cell::new(0),
            connections: RefCell::default(),
            idle_single_use: RefCell::default(),
            idle_reused: RefCell::default(),
            is_retaining: Cell::new(false),
            used_connections: Cell::new(0),
            reuse: ReuseEstimate::default(),
            is_slot_awaited: Cell::new(false),
            slot_freed: Notify::new(),
        })
    }

    /// Waits for a slot and reserves it for a new connection. While the table is full, the first connection in the order of
    /// eviction is asked to close, or the next response closes its connection. This bounds the node's open descriptors.
    ///
    /// Cancel safe: a slot is reserved only when the future completes.
    pub async fn reserve_slot(self: &Rc<Self>) -> ConnectionGuard {
        while self.connections.borrow().len() >= self.max_connections {
            self.is_slot_awaited.set(true);
            self.evict_one();
            let _ = tokio::time::timeout(EVICTION_RETRY_INTERVAL, self.slot_freed.notified()).await;
        }
        self.is_slot_awaited.set(false);
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(TrackedConnection::new());
        self.connections
            .borrow_mut()
            .insert(id, Rc::clone(&connection));
        ConnectionGuard {
            table: Rc::clone(self),
            id,
            connection,
        }
    }

    /// Stops closing idle connections that are within their timeouts: clients get no further connections to this node, and
    /// need those that are open.
    pub fn retain_connections(&self) {
        self.is_retaining.set(true);
    }

    fn record_request(&self, connection: &TrackedConnection) {
        match connection.count_request() {
            1 => self.used_connections.set(self.used_connections.get() + 1),
            2 if connection.mark_reuse_recorded() => self.reuse.record_reused(),
            _ => {}
        }
    }

    fn record_idle(&self, connection: &Rc<TrackedConnection>) {
        let queue = if connection.request_count() > 1 {
            &self.idle_reused
        } else {
            &self.idle_single_use
        };
        queue.borrow_mut().push(connection, self.max_connections);
    }

    fn idle_limits(&self) -> IdleLimits {
        let share = self.max_connections * CLIENT_SHARE.0 / CLIENT_SHARE.1;
        IdleLimits {
            single_use: share - share / FREE_CONNECTION_DIVISOR_SINGLE_USE,
            reused: share - share / FREE_CONNECTION_DIVISOR,
        }
    }

    /// Returns whether the response that is about to be sent should be the last on its connection. A close that is announced
    /// in a response loses no request.
    ///
    /// Clients that send one request and keep their connection open would together occupy all connections that clients can
    /// have, and leave none for other clients. While a new connection is waiting for a slot, each of its attempts to evict
    /// another connection makes the next call return `true`, so that one response per attempt closes its connection.
    #[must_use]
    pub fn should_close_after_response(&self, connection: &TrackedConnection) -> bool {
        if self.is_retaining.get() {
            return false;
        }
        let is_crowded = self.used_connections.get() > self.idle_limits().single_use
            && self.reuse.closing_frees_slots();
        self.is_slot_awaited.take() || (is_crowded && connection.request_count() <= 1)
    }

    /// Records, in the reuse estimate, connections that were not used again within [`eviction::MIN_IDLE_BEFORE_CLOSE`].
    fn record_unused_connections(&self, now: Instant) {
        for connection in self.connections.borrow().values() {
            let is_single_use =
                connection.stage() == Stage::Idle && connection.request_count() == 1;
            if is_single_use
                && may_close_without_notice(connection, now)
                && connection.mark_reuse_recorded()
            {
                self.reuse.record_unused();
            }
        }
    }

    /// While too few slots are free, asks idle connections to close, those that have been idle for longest first.
    /// Connections with several requests are more likely to be used again, and are closed last.
    fn close_idle_above_limits(&self, now: Instant) {
        if self.is_retaining.get() {
            return;
        }
        let limits = self.idle_limits();
        let mut used_connections = self.used_connections.get();
        for (queue, limit) in [
            (&self.idle_single_use, limits.single_use),
            (&self.idle_reused, limits.reused),
        ] {
            while used_connections > limit {
                let Some(connection) = queue.borrow_mut().pop_longest_idle(now) else {
                    break;
                };
                connection.request_close();
                used_connections -= 1;
            }
        }
    }

    /// Asks the first connection in the order of eviction to close. If that connection has been idle only for a short time,
    /// none is asked: a later call evicts it, or the next response closes its connection.
    fn evict_one(&self) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let first = connections
            .values()
            .filter_map(|connection| Some((EvictionOrder::of(connection, now)?, connection)))
            .min_by_key(|(order, _)| *order);
        let Some((_, connection)) = first else {
            return;
        };
        if may_close_without_notice(connection, now) {
            connection.request_close();
        }
    }

    /// Returns whether so many of the used connections have a request in progress that the next request of a client may find
    /// no free connection.
    ///
    /// A draining node rejects requests in this state. Clients get no further connections to the node. A client that finds
    /// no free connection considers the node failed, and abandons all of its open requests. This applies to clients whose
    /// number of connections cannot grow: behind a load balancer that drains, or at a limit of their own. Where each client
    /// has one connection and never needs another, a few requests are rejected that could have been served.
    #[must_use]
    pub fn has_few_free_connections(&self) -> bool {
        let (mut busy, mut free) = (0, 0);
        for connection in self.connections.borrow().values() {
            match connection.stage() {
                Stage::ServingRequest | Stage::SendingResponse => busy += 1,
                Stage::Idle => free += 1,
                Stage::New | Stage::ReceivingHead | Stage::Lingering => {}
            }
        }
        free < (busy + free) / FREE_CONNECTION_DIVISOR
    }

    /// Enforces timeouts and keeps slots free while it is polled; never returns. `policy` is evaluated at each check.
    pub async fn enforce_limits(&self, policy: impl Fn() -> ConnectionPolicy) {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let now = ticks.tick().await.into_std();
            self.record_unused_connections(now);
            self.close_idle_above_limits(now);
            let policy = policy();
            for connection in self.connections.borrow().values() {
                if connection.has_timed_out(now, policy) {
                    connection.request_close();
                }
            }
        }
    }

    /// Waits until the table is empty.
    pub async fn wait_until_empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.slot_freed.notified().await;
        }
    }
}

/// A connection's slot in the table; dropping it frees the slot.
pub struct ConnectionGuard {
    table: Rc<ConnectionTable>,
    id: u64,
    /// The state of the connection that occupies the slot.
    pub connection: Rc<TrackedConnection>,
}

impl ConnectionGuard {
    /// Records that the head of a request is complete.
    pub fn begin_request(&self) {
        self.connection.enter(Stage::ServingRequest);
        self.table.record_request(&self.connection);
    }

    /// Records that everything written so far has been flushed. Returns whether this completed a response; the connection is
    /// then idle.
    pub fn record_flushed(&self) -> bool {
        let is_complete = self.connection.is_response_complete();
        if is_complete {
            self.connection.end_request();
            self.connection.enter(Stage::Idle);
            self.table.record_idle(&self.connection);
        }
        is_complete
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        // The queues of idle connections may refer to the connection for longer.
        self.connection.release_all();
        if self.connection.request_count() > 0 {
            self.table
                .used_connections
                .set(self.table.used_connections.get() - 1);
        }
        self.table.connections.borrow_mut().remove(&self.id);
        self.table.slot_freed.notify_one();
    }
}
