//! Queues of requests that share a key and must run one at a time, in the order of acceptance.
//!
//! The request at the head of a queue has the turn. After an attempt that may still be running the
//! key has a quiet period, in which no request of it is sent.

use std::collections::{HashMap, VecDeque};

use crate::balancer::Balancer;
use crate::event::RequestId;
use crate::request::PendingRequest;
use crate::timer::TimerKind;

/// Share of its time after which a request that still waits is answered.
const MAX_WAIT_SHARE: f64 = 0.95;

/// The requests of one key, the one that has the turn first.
#[derive(Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    quiet_until_ms: f64,
}

impl KeyQueue {
    fn has_turn(&self, id: RequestId, now_ms: f64) -> bool {
        self.requests.front() == Some(&id) && self.quiet_until_ms <= now_ms
    }
}

/// A quiet period that will end.
struct QuietPeriod {
    until_ms: f64,
    key: Box<str>,
}

/// The queues of all keys that have requests or are quiet.
#[derive(Default)]
pub(crate) struct KeyQueues {
    queues: HashMap<Box<str>, KeyQueue>,
    /// In order of their ends, as all are equally long.
    quiet_periods: VecDeque<QuietPeriod>,
}

impl KeyQueues {
    /// Forgets keys whose quiet period has ended and that no request waits for.
    fn forget_unused(&mut self, now_ms: f64) {
        let ended = |period: &QuietPeriod| period.until_ms <= now_ms;
        while self.quiet_periods.front().is_some_and(ended) {
            let Some(QuietPeriod { key, .. }) = self.quiet_periods.pop_front() else {
                return;
            };
            let unused =
                |queue: &KeyQueue| queue.requests.is_empty() && queue.quiet_until_ms <= now_ms;
            if self.queues.get(&key).is_some_and(unused) {
                self.queues.remove(&key);
            }
        }
    }
}

/// Who runs next once a request has left its queue.
struct NextTurn {
    id: RequestId,
    /// What remains of the key's quiet period; not positive if it is over.
    quiet_ms: f64,
}

impl KeyQueues {
    /// Takes a request out; the next one, if the request had the turn.
    fn remove(&mut self, key: &str, id: RequestId, now_ms: f64) -> Option<NextTurn> {
        let queue = self.queues.get_mut(key)?;
        let head = queue.requests.front().copied();
        queue.requests.retain(|waiting| *waiting != id);
        let quiet_ms = queue.quiet_until_ms - now_ms;
        if queue.requests.is_empty() && quiet_ms <= 0.0 {
            self.queues.remove(key);
            return None;
        }
        let next = queue.requests.front().copied();
        next.filter(|_| head == Some(id))
            .map(|id| NextTurn { id, quiet_ms })
    }
}

impl Balancer {
    /// Queues a request that must run in order. `false`: it is its turn, or it need not be in order.
    pub(crate) fn wait_for_turn(
        &mut self,
        id: RequestId,
        request: &PendingRequest,
        timeout_ms: f64,
    ) -> bool {
        let Some(key) = request.ordering_key.clone() else {
            return false;
        };
        self.key_queues.forget_unused(self.now_ms);
        let queue = self.key_queues.queues.entry(key).or_default();
        queue.requests.push_back(id);
        let is_head = queue.requests.len() == 1;
        let quiet_ms = queue.quiet_until_ms - self.now_ms;
        if is_head && quiet_ms <= 0.0 {
            return false;
        }
        self.set_request_timer(id, TimerKind::QueueTimeout, timeout_ms * MAX_WAIT_SHARE);
        if is_head {
            self.set_request_timer(id, TimerKind::KeyTurn, quiet_ms);
        }
        true
    }

    pub(crate) fn has_turn(&self, id: RequestId, request: &PendingRequest) -> bool {
        let key = request.ordering_key.as_deref();
        let queue = key.and_then(|key| self.key_queues.queues.get(key));
        queue.is_some_and(|queue| queue.has_turn(id, self.now_ms))
    }

    /// An attempt of the request may still be running: its key is quiet for a while.
    pub(crate) fn start_quiet_period(&mut self, request: &PendingRequest) {
        let Some(key) = request.ordering_key.as_deref() else {
            return;
        };
        if let Some(queue) = self.key_queues.queues.get_mut(key) {
            let until_ms = self.now_ms + self.settings.key_cooldown_ms;
            queue.quiet_until_ms = until_ms;
            let key = key.into();
            self.key_queues
                .quiet_periods
                .push_back(QuietPeriod { until_ms, key });
        }
    }

    /// A request is finished, with no attempt in flight: the next one of its key may run.
    pub(crate) fn leave_key_queue(&mut self, id: RequestId, key: Option<&str>) {
        let next = key.and_then(|key| self.key_queues.remove(key, id, self.now_ms));
        let Some(next) = next else {
            return;
        };
        if next.quiet_ms > 0.0 {
            return self.set_request_timer(next.id, TimerKind::KeyTurn, next.quiet_ms);
        }
        let request = self.pending.remove(&next.id);
        self.dispatch(next.id, request.expect("a queued request is pending"));
    }
}
