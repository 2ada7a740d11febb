//! The ids of requests that must not be executed again: those that are open, and for a while those that may have run, whose
//! repeat could do harm, and whose clients have not got a server's response. Owns the table of this process, or its access to
//! the table that it shares with the other processes that accept connections from its listening socket. Invariant: two requests
//! with one id, of which one must not run twice, are never open at the same time.
//!
//! Clients give each request, and each retry of it, a new id. An id that comes again belongs to a client that sends a request
//! once more although it may have run, or to one that uses the id of another client's request.

mod range_lock;
mod shared_table;
mod socket_users;

use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use request_ids::{HashKey, IdHash, LocalTable, RepeatPolicy, RequestEnd, ReserveError, SlotIndex};
use rustix::time::{clock_gettime, ClockId};
use tokio::time::Instant;

use shared_table::{AccessError, SharedTable};

/// Memory that an id takes in the table of a process, in bytes: its hash table and queue just after they have grown.
const BYTES_PER_ID: usize = 64;
/// Maximum number of ids unless the configuration determines another one.
const DEFAULT_MAX_IDS: usize = 8_192;
/// Time for which a request waits while another process uses its part of the shared table. A process does so for some
/// microseconds, unless it is stopped just then.
const LOCK_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause between two attempts to use the shared table.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Reason for which a request is not accepted under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedId {
    /// A request with this id is open, or may have run.
    InUse,
    /// It must not run twice, and the table is full.
    TableFull,
    /// It must not run twice, and another process of this node may know its id and cannot be asked.
    Unavailable,
}

/// The ids of the requests of this process, and of those that share its listening socket.
#[derive(Debug)]
pub struct RequestIds {
    key: HashKey,
    table: Table,
}

#[derive(Debug)]
enum Table {
    Local(RefCell<LocalTable>),
    Shared(SharedTable),
}

/// The table in which the id of an open request is recorded.
#[derive(Clone, Copy, Debug)]
enum Tracking {
    /// In no table: the request may be repeated, and the table was full or not available.
    Untracked,
    Local,
    Shared(SlotIndex),
}

impl Default for RequestIds {
    fn default() -> Self {
        Self::with_capacity(DEFAULT_MAX_IDS)
    }
}

impl RequestIds {
    /// The ids of a process that accepts its clients alone, with a table of up to this number of bytes.
    #[must_use]
    pub fn local(max_bytes: usize) -> Self {
        Self::with_capacity(max_bytes / BYTES_PER_ID)
    }

    fn with_capacity(max_ids: usize) -> Self {
        Self {
            key: HashKey(random_key()),
            table: Table::Local(RefCell::new(LocalTable::new(max_ids))),
        }
    }

    /// The ids of all processes that accept connections from this socket. The first one creates their table, with up to this
    /// number of bytes.
    ///
    /// # Errors
    ///
    /// The table cannot be created.
    pub async fn shared(listener: &TcpListener, max_bytes: usize) -> io::Result<Self> {
        let table = SharedTable::open(listener, max_bytes, HashKey(random_key())).await?;
        Ok(Self {
            key: table.key(),
            table: Table::Shared(table),
        })
    }

    /// Waits until each process of an earlier version, which accepts connections from the same socket and does not share its
    /// ids, has ended; see [`RejectedId::Unavailable`]. Returns at once if the table is not shared. Cancel safe.
    pub async fn wait_for_legacy_processes(&self) {
        if let Table::Shared(table) = &self.table {
            table.wait_for_legacy_processes().await;
        }
    }

    /// Reserves the id of a new request until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// See [`RejectedId`]. A request that may be repeated is rejected only if its id is known to be in use.
    pub async fn reserve(
        self: &Rc<Self>,
        id: &HeaderValue,
        policy: RepeatPolicy,
    ) -> Result<Rc<OpenRequestId>, RejectedId> {
        let id = self.key.hash(id.as_bytes());
        let is_repeatable = policy == RepeatPolicy::Repeatable;
        let tracking = match self.reserve_in_table(id, policy).await {
            Err(RejectedId::TableFull | RejectedId::Unavailable) if is_repeatable => {
                Tracking::Untracked
            }
            result => result?,
        };
        Ok(Rc::new(OpenRequestId {
            ids: Rc::clone(self),
            id,
            tracking,
            may_have_run: Cell::default(),
            is_served: Cell::default(),
            is_written: Cell::default(),
        }))
    }

    async fn reserve_in_table(
        &self,
        id: IdHash,
        policy: RepeatPolicy,
    ) -> Result<Tracking, RejectedId> {
        match &self.table {
            Table::Local(table) => table
                .borrow_mut()
                .reserve(id, monotonic_ms())
                .map(|()| Tracking::Local)
                .map_err(RejectedId::from),
            Table::Shared(table) => {
                let slot = reserve_shared(table, id, policy).await?;
                if policy == RepeatPolicy::RunOnce && table.has_legacy_processes() {
                    table.end(id, slot, RequestEnd::Released, monotonic_ms());
                    return Err(RejectedId::Unavailable);
                }
                Ok(Tracking::Shared(slot))
            }
        }
    }

    fn end(&self, id: IdHash, tracking: Tracking, end: RequestEnd) {
        match (&self.table, tracking) {
            (Table::Local(table), Tracking::Local) => {
                table.borrow_mut().end(id, end, monotonic_ms());
            }
            (Table::Shared(table), Tracking::Shared(slot)) => {
                table.end(id, slot, end, monotonic_ms());
            }
            _ => {}
        }
    }
}

/// Reserves an id in the shared table, and waits while another process uses the part with this id.
async fn reserve_shared(
    table: &SharedTable,
    id: IdHash,
    policy: RepeatPolicy,
) -> Result<SlotIndex, RejectedId> {
    let give_up_at = Instant::now() + LOCK_TIMEOUT;
    loop {
        match table.reserve(id, policy, monotonic_ms()) {
            Ok(result) => return result.map_err(RejectedId::from),
            Err(AccessError::Locked) if Instant::now() < give_up_at => {
                tokio::time::sleep(LOCK_RETRY_INTERVAL).await;
            }
            Err(error) => {
                table.log_failure(&error);
                return Err(RejectedId::Unavailable);
            }
        }
    }
}

impl From<ReserveError> for RejectedId {
    fn from(error: ReserveError) -> Self {
        match error {
            ReserveError::InUse => Self::InUse,
            ReserveError::Full => Self::TableFull,
        }
    }
}

/// Time since the start of the machine, in milliseconds: the same in all processes, and not affected by steps of the wall clock.
fn monotonic_ms() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec.unsigned_abs() * 1_000 + now.tv_nsec.unsigned_abs() / 1_000_000
}

fn random_key() -> [u64; 2] {
    [0, 1].map(|number: u8| RandomState::new().hash_one(number))
}

/// The reserved id of an open request. A request is open until its response has been written or its client has left, and its
/// last attempt has ended.
pub struct OpenRequestId {
    ids: Rc<RequestIds>,
    id: IdHash,
    tracking: Tracking,
    /// Whether the request may have run, and is not idempotent.
    may_have_run: Cell<bool>,
    is_served: Cell<bool>,
    is_written: Cell<bool>,
}

impl OpenRequestId {
    /// Records that the request may have run and must not run again.
    pub fn record_possible_run(&self) {
        self.may_have_run.set(true);
    }

    /// Records that the response to the request is a server's.
    pub fn record_served(&self) {
        self.is_served.set(true);
    }

    /// Records that the response to the request has been written.
    pub fn record_written(&self) {
        self.is_written.set(true);
    }
}

impl std::fmt::Debug for OpenRequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OpenRequestId").finish_non_exhaustive()
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        let has_response = self.is_served.get() && self.is_written.get();
        let end = if self.may_have_run.get() && !has_response {
            RequestEnd::MayHaveRun
        } else {
            RequestEnd::Released
        };
        self.ids.end(self.id, self.tracking, end);
    }
}

#[cfg(test)]
mod tests;
