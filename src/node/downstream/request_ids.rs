//! The ids of requests that must not be executed again: those that are open, and for a while those that may have run, whose
//! repeat could do harm, and whose clients have not got a server's response. Owns the table of the ids. Invariant: two requests with
//! one id, of which one must not run twice, are never open at the same time.
//!
//! Clients give each request, and each retry of it, a new id. An id that comes again belongs to a client that sends a request
//! once more although it may have run, or to one that uses the id of another client's request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use hyper::header::HeaderValue;
use request_ids::{HashKey, IdHash, LocalTable, RequestEnd, ReserveError};
use rustix::time::{clock_gettime, ClockId};

/// Memory that an id takes in the table of a process, in bytes: its hash table and queue just after they have grown.
const BYTES_PER_ID: usize = 64;
/// Number of ids that a table has room for unless the configuration says otherwise.
const DEFAULT_MAX_IDS: usize = 8_192;
/// Whether a request may run again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Its repeat is harmless.
    Repeatable,
    /// It must not run again.
    RunOnce,
}

/// Reason for which a request is not accepted under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedId {
    /// A request with this id is open, or may have run.
    InUse,
    /// It must not run twice, and there is no room to remember it.
    TableFull,
}

/// The ids of the requests of this process.
#[derive(Debug)]
pub struct RequestIds {
    key: HashKey,
    table: RefCell<LocalTable>,
}

/// Where the id of an open request is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Record {
    /// Nowhere: the request may be repeated, and the table was full.
    None,
    Table,
}

impl Default for RequestIds {
    fn default() -> Self {
        Self::with_capacity(DEFAULT_MAX_IDS)
    }
}

impl RequestIds {
    /// The ids of a process, with a table of up to this number of bytes.
    #[must_use]
    pub fn local(max_bytes: usize) -> Self {
        Self::with_capacity(max_bytes / BYTES_PER_ID)
    }

    fn with_capacity(max_ids: usize) -> Self {
        Self {
            key: HashKey(random_key()),
            table: RefCell::new(LocalTable::new(max_ids)),
        }
    }

    /// Reserves the id of a new request until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// See [`RejectedId`]. A request that may be repeated is rejected only if its id is known to be in use.
    pub fn reserve(
        self: &Rc<Self>,
        id: &HeaderValue,
        policy: RepeatPolicy,
    ) -> Result<Rc<OpenRequestId>, RejectedId> {
        let id = self.key.hash(id.as_bytes());
        let reserved = self.table.borrow_mut().reserve(id, monotonic_ms());
        let record = match reserved {
            Ok(()) => Record::Table,
            Err(ReserveError::Full) if policy == RepeatPolicy::Repeatable => Record::None,
            Err(error) => return Err(error.into()),
        };
        Ok(Rc::new(OpenRequestId {
            ids: Rc::clone(self),
            id,
            record,
            may_have_run: Cell::default(),
            is_served: Cell::default(),
            is_written: Cell::default(),
        }))
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

/// Time since the start of the machine, in milliseconds. Steps of the wall clock do not affect it.
fn monotonic_ms() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec.unsigned_abs() * 1_000 + now.tv_nsec.unsigned_abs() / 1_000_000
}

fn random_key() -> [u64; 2] {
    use std::hash::{BuildHasher, RandomState};
    [0, 1].map(|number: u8| RandomState::new().hash_one(number))
}

/// The reserved id of an open request. A request is open until its response has been written or its client has left, and its
/// last attempt has ended.
pub struct OpenRequestId {
    ids: Rc<RequestIds>,
    id: IdHash,
    record: Record,
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
        if self.record == Record::Table {
            self.ids
                .table
                .borrow_mut()
                .end(self.id, end, monotonic_ms());
        }
    }
}

#[cfg(test)]
mod tests;
