//! A server as this node knows it: its entry in the list, and what was learned from its responses.

use crate::event::RequestId;
use crate::latency::LatencyEstimate;
use crate::server_list::{Availability, ServerEntry};
use crate::window::SlidingWindow;

/// Until when a server is not sent requests of a quota group, because it rejected one as overloaded.
pub(crate) struct Overload {
    pub quota_group: usize,
    pub until_ms: f64,
}

/// One server's record.
#[derive(Default)]
pub(crate) struct Server {
    pub entry: ServerEntry,
    /// The count of HSQ: the last load report and what this node has sent since.
    pub count: Option<f64>,
    /// This node's attempts that have not ended.
    pub in_flight: usize,
    /// Whether its latest attempt reached it.
    pub contacted: bool,
    pub last_used_at_ms: f64,
    pub estimate: LatencyEstimate,
    /// Until when it is ejected; past that it is on trial until it serves a request.
    pub ejected_until_ms: Option<f64>,
    /// The fraction of its traffic that it should not have, by other nodes' hints.
    pub withheld_fraction: f64,
    /// Malformed responses since the last result of another kind.
    pub consecutive_malformed: usize,
    /// Connections that broke under a request since the last result of another kind.
    pub consecutive_resets: usize,
    /// When the latest of the requests that it has served was sent.
    pub latest_served_sent_at_ms: f64,
    pub overloads: Vec<Overload>,
    /// When this node sent to it while it warmed up.
    pub slow_start_sends: SlidingWindow,
    /// Drawn once: decides whether this node is among those that send to it where its budget is
    /// less than one request for each node.
    pub slow_start_threshold: f64,
    /// The requests that wait for its load report.
    pub report_waiters: Vec<RequestId>,
}

impl Server {
    #[inline]
    pub fn is_ready(&self) -> bool {
        self.entry.availability == Availability::Ready
    }

    /// Whether it is ejected, or on a trial that has not ended.
    #[inline]
    pub fn is_ejected(&self, now_ms: f64) -> bool {
        self.ejected_until_ms
            .is_some_and(|until_ms| until_ms > now_ms || self.in_flight > 0)
    }

    /// Whether it can be forgotten: it is gone and no result of it is outstanding. The balancer's
    /// memory is thereby bounded by the servers that there are.
    pub fn is_forgettable(&self) -> bool {
        self.entry.availability == Availability::Gone && self.in_flight == 0
    }

    /// Whether its connections have not been used for `idle_ms`.
    #[inline]
    pub fn is_idle(&self, now_ms: f64, idle_ms: f64) -> bool {
        self.contacted && self.in_flight == 0 && now_ms - self.last_used_at_ms > idle_ms
    }

    /// Takes note of an attempt: every own send adds one to the count.
    #[inline]
    pub fn record_send(&mut self, now_ms: f64, slow_start_ms: f64) {
        self.last_used_at_ms = now_ms;
        self.in_flight += 1;
        self.count = self.count.map(|count| count + 1.0);
        let started_at_ms = self.entry.started_at_ms;
        if started_at_ms.is_some_and(|at_ms| now_ms - at_ms < slow_start_ms) {
            self.slow_start_sends.push(now_ms);
        }
    }

    #[inline]
    pub fn is_overloaded_for(&self, quota_group: usize, now_ms: f64) -> bool {
        self.overloads
            .iter()
            .any(|overload| overload.quota_group == quota_group && overload.until_ms > now_ms)
    }

    pub fn mark_overloaded(&mut self, quota_group: usize, until_ms: f64) {
        self.overloads
            .retain(|overload| overload.quota_group != quota_group);
        self.overloads.push(Overload {
            quota_group,
            until_ms,
        });
    }
}
