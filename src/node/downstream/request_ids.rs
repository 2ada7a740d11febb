//! The ids of requests that must not be executed again: those that are open, and for a while those that may have run, whose
//! repeat could do harm, and whose clients have not got a server's response. Owns both sets. Invariant: two requests with one id are never open at the same time.
//!
//! Clients give each request, and each retry of it, a new id. An id that comes again belongs to a client that sends a request
//! once more although it may have run, or to one that uses the id of another client's request.

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;

/// Time for which the id of a request that may have run is kept after its end.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of ids that are kept of requests that have ended; the oldest are dropped first.
const MAX_RETAINED_IDS: usize = 8_192;

/// The ids of open requests, and those that are kept. An id is represented by a hash with a random key.
#[derive(Default)]
pub struct RequestIds {
    hasher: RandomState,
    open: RefCell<HashSet<u64>>,
    retained: RefCell<RetainedIds>,
}

/// The ids that are kept, the oldest first.
#[derive(Default)]
struct RetainedIds {
    ids: HashSet<u64>,
    by_age: VecDeque<(Instant, u64)>,
}

impl RetainedIds {
    fn insert(&mut self, id: u64) {
        if self.ids.insert(id) {
            self.by_age.push_back((Instant::now(), id));
        }
        if self.by_age.len() > MAX_RETAINED_IDS {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.ids.remove(&id);
        }
    }

    fn remove_expired(&mut self) {
        while self
            .by_age
            .front()
            .is_some_and(|(inserted_at, _)| inserted_at.elapsed() >= RETENTION)
        {
            self.remove_oldest();
        }
    }
}

impl RequestIds {
    /// Reserves the id of a new request until the returned value is dropped. `None` if a request with this id is open, or is
    /// kept.
    pub fn reserve(self: &Rc<Self>, id: &HeaderValue) -> Option<Rc<OpenRequestId>> {
        let id = self.hasher.hash_one(id.as_bytes());
        let mut retained = self.retained.borrow_mut();
        retained.remove_expired();
        let is_new = !retained.ids.contains(&id) && self.open.borrow_mut().insert(id);
        is_new.then(|| {
            Rc::new(OpenRequestId {
                ids: Rc::clone(self),
                id,
                may_have_run: Cell::default(),
                is_served: Cell::default(),
                is_written: Cell::default(),
            })
        })
    }
}

/// The reserved id of an open request. A request is open until its response has been written or its client has left, and its
/// last attempt has ended.
pub struct OpenRequestId {
    ids: Rc<RequestIds>,
    id: u64,
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
        self.ids.open.borrow_mut().remove(&self.id);
        let has_response = self.is_served.get() && self.is_written.get();
        if self.may_have_run.get() && !has_response {
            self.ids.retained.borrow_mut().insert(self.id);
        }
    }
}

#[cfg(test)]
mod tests;
