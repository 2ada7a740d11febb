//! The lease requests whose answers are awaited, so that a grant counts from when it was requested.

use std::collections::VecDeque;

/// Requests whose answers are awaited: one per tick and acceptor, for the longest lease. Beyond
/// that the oldest is forgotten, and a grant of it counts for nothing.
const MAX_PENDING_REQUESTS: usize = 2_048;

/// A request that was sent to an acceptor.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    pub id: u32,
    pub acceptor: usize,
    pub sent_ms: f64,
    pub ttl_ms: f64,
}

/// The requests that were sent, oldest first.
#[derive(Clone, Debug)]
pub struct PendingRequests {
    queue: VecDeque<PendingRequest>,
    last_id: u32,
}

impl PendingRequests {
    /// No requests. The first one has the id after this one.
    pub fn new(last_id: u32) -> Self {
        Self {
            queue: VecDeque::new(),
            last_id,
        }
    }

    /// Remembers a request that is sent now, and returns its id.
    pub fn insert(&mut self, acceptor: usize, sent_ms: f64, ttl_ms: f64) -> u32 {
        self.last_id = self.last_id.wrapping_add(1);
        if self.queue.len() >= MAX_PENDING_REQUESTS {
            self.queue.pop_front();
        }
        self.queue.push_back(PendingRequest {
            id: self.last_id,
            acceptor,
            sent_ms,
            ttl_ms,
        });
        self.last_id
    }

    /// The request that an acceptor answers. It stays, as an answer may come in several messages.
    pub fn find(&self, acceptor: usize, id: u32) -> Option<PendingRequest> {
        self.queue
            .iter()
            .find(|request| request.id == id && request.acceptor == acceptor)
            .copied()
    }

    /// Forgets the requests that were sent before a time.
    pub fn forget_before(&mut self, oldest_ms: f64) {
        while self
            .queue
            .front()
            .is_some_and(|request| request.sent_ms < oldest_ms)
        {
            self.queue.pop_front();
        }
    }

    /// Forgets all requests.
    pub fn clear(&mut self) {
        self.queue.clear();
    }

    #[cfg(feature = "injected-fault")]
    pub fn queue(&self) -> &VecDeque<PendingRequest> {
        &self.queue
    }
}
