//! Queues of requests that share a key and must run one at a time, in the order of acceptance.
//!
//! Only the request at the head of a queue may run. After an attempt that may still be running the key
//! has a cooldown, in which the request itself may be retried, but the next one of the key is not sent.

use std::collections::{HashMap, VecDeque};

use crate::balancer::Balancer;
use crate::event::RequestId;
use crate::request::PendingRequest;
use crate::timer::TimerKind;

/// Fraction of a request's timeout after which the request is rejected if it is still queued.
const MAX_WAIT_FRACTION: f64 = 0.95;

/// The requests of one key, of which only the first may run.
#[derive(Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    cooldown_until_ms: f64,
}

impl KeyQueue {
    fn may_run(&self, id: RequestId, now_ms: f64) -> bool {
        self.requests.front() == Some(&id) && self.cooldown_until_ms <= now_ms
    }
}

/// The cooldown of one key.
struct Cooldown {
    until_ms: f64,
    key: Box<str>,
}

/// The queues of all keys that have requests or a cooldown.
#[derive(Default)]
pub(crate) struct KeyQueues {
    queues: HashMap<Box<str>, KeyQueue>,
    /// Cooldowns in the order in which they end, which is the order of their start, as all are equally long.
    cooldowns: VecDeque<Cooldown>,
}

impl KeyQueues {
    /// Removes keys that have no requests and whose cooldown has ended.
    fn remove_unused(&mut self, now_ms: f64) {
        let ended = |cooldown: &Cooldown| cooldown.until_ms <= now_ms;
        while self.cooldowns.front().is_some_and(ended) {
            let Some(Cooldown { key, .. }) = self.cooldowns.pop_front() else {
                return;
            };
            let unused =
                |queue: &KeyQueue| queue.requests.is_empty() && queue.cooldown_until_ms <= now_ms;
            if self.queues.get(&key).is_some_and(unused) {
                self.queues.remove(&key);
            }
        }
    }
}

/// The new head of a queue after the previous one has left.
struct NextRequest {
    id: RequestId,
    /// Remaining cooldown of the key in milliseconds; zero or negative if it has ended.
    remaining_cooldown_ms: f64,
}

impl KeyQueues {
    /// Removes a request; returns the new head if the request was the head.
    fn remove(&mut self, key: &str, id: RequestId, now_ms: f64) -> Option<NextRequest> {
        let queue = self.queues.get_mut(key)?;
        let head = queue.requests.front().copied();
        queue.requests.retain(|waiting| *waiting != id);
        let remaining_cooldown_ms = queue.cooldown_until_ms - now_ms;
        if queue.requests.is_empty() && remaining_cooldown_ms <= 0.0 {
            self.queues.remove(key);
            return None;
        }
        let next = queue.requests.front().copied();
        next.filter(|_| head == Some(id)).map(|id| NextRequest {
            id,
            remaining_cooldown_ms,
        })
    }
}

impl Balancer {
    /// Queues a request that must run in order. Returns whether it must wait; `false` if it may run now
    /// or is not ordered.
    pub(crate) fn join_key_queue(
        &mut self,
        id: RequestId,
        request: &PendingRequest,
        timeout_ms: f64,
    ) -> bool {
        let Some(key) = request.ordering_key.clone() else {
            return false;
        };
        self.key_queues.remove_unused(self.now_ms);
        let queue = self.key_queues.queues.entry(key).or_default();
        queue.requests.push_back(id);
        let is_head = queue.requests.len() == 1;
        let remaining_cooldown_ms = queue.cooldown_until_ms - self.now_ms;
        if is_head && remaining_cooldown_ms <= 0.0 {
            return false;
        }
        self.set_request_timer(id, TimerKind::QueueTimeout, timeout_ms * MAX_WAIT_FRACTION);
        if is_head {
            self.set_request_timer(id, TimerKind::KeyCooldown, remaining_cooldown_ms);
        }
        true
    }

    pub(crate) fn may_run(&self, id: RequestId, request: &PendingRequest) -> bool {
        let key = request.ordering_key.as_deref();
        let queue = key.and_then(|key| self.key_queues.queues.get(key));
        queue.is_some_and(|queue| queue.may_run(id, self.now_ms))
    }

    /// Starts the cooldown of a request's key, because an attempt may still be running.
    pub(crate) fn start_key_cooldown(&mut self, request: &PendingRequest) {
        let Some(key) = request.ordering_key.as_deref() else {
            return;
        };
        if let Some(queue) = self.key_queues.queues.get_mut(key) {
            let until_ms = self.now_ms + self.settings.key_cooldown_ms;
            queue.cooldown_until_ms = until_ms;
            let key = key.into();
            self.key_queues
                .cooldowns
                .push_back(Cooldown { until_ms, key });
        }
    }

    /// Removes a finished request without an attempt in flight from its queue, and lets the key's next
    /// request run.
    pub(crate) fn leave_key_queue(&mut self, id: RequestId, key: Option<&str>) {
        let next = key.and_then(|key| self.key_queues.remove(key, id, self.now_ms));
        let Some(next) = next else {
            return;
        };
        if next.remaining_cooldown_ms > 0.0 {
            return self.set_request_timer(
                next.id,
                TimerKind::KeyCooldown,
                next.remaining_cooldown_ms,
            );
        }
        let request = self.pending.remove(&next.id);
        self.dispatch(next.id, request.expect("a queued request is pending"));
    }
}
