//! The lease requests whose answers are awaited, with the times from which their grants count.

use std::collections::VecDeque;

/// Maximum number of requests whose answers are awaited, enough for one per tick to each of seven
/// acceptors during the longest lease. Beyond that the oldest is discarded, and a grant in answer
/// to it is ignored.
const MAX_PENDING_REQUESTS: usize = 2_048;

/// A request that was sent to an acceptor.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    pub id: u32,
    pub acceptor: usize,
    pub sent_ms: f64,
    pub ttl_ms: f64,
}

/// The requests that were sent and not discarded, oldest first.
#[derive(Clone, Debug)]
pub struct PendingRequests {
    queue: VecDeque<PendingRequest>,
    last_id: u32,
}

impl PendingRequests {
    /// Creates an empty queue. Its first request has the id after `last_id`.
    pub fn new(last_id: u32) -> Self {
        Self {
            queue: VecDeque::new(),
            last_id,
        }
    }

    /// Adds a request that is being sent, and returns its id.
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

    /// Finds the request that an acceptor answers. It is kept, as the answer may consist of several
    /// messages.
    pub fn find(&self, acceptor: usize, id: u32) -> Option<PendingRequest> {
        self.queue
            .iter()
            .find(|request| request.id == id && request.acceptor == acceptor)
            .copied()
    }

    /// Discards the requests that were sent before a time.
    pub fn discard_before(&mut self, oldest_ms: f64) {
        while self
            .queue
            .front()
            .is_some_and(|request| request.sent_ms < oldest_ms)
        {
            self.queue.pop_front();
        }
    }

    /// Discards all requests.
    pub fn clear(&mut self) {
        self.queue.clear();
    }

    #[cfg(feature = "injected-fault")]
    pub fn queue(&self) -> &VecDeque<PendingRequest> {
        &self.queue
    }
}
