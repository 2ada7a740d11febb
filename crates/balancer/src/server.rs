//! This node's record of a server: its list entry, and the state derived from its responses.

use crate::event::RequestId;
use crate::latency::LatencyEstimate;
use crate::server_list::{Availability, ServerEntry};
use crate::window::SlidingWindow;

/// A quota group whose requests a server does not get until a given time, because it rejected one as
/// overloaded.
pub(crate) struct Overload {
    pub quota_group: usize,
    pub until_ms: f64,
}

/// One server's record.
#[derive(Default)]
pub(crate) struct Server {
    pub entry: ServerEntry,
    /// The count of HSQ: the last load report, or the mean count without one, plus the number of requests
    /// that this node sent since.
    pub count: Option<f64>,
    /// Number of this node's attempts that have not ended.
    pub in_flight: usize,
    /// Whether its latest attempt reached it.
    pub contacted: bool,
    pub last_used_at_ms: f64,
    pub estimate: LatencyEstimate,
    /// End of its ejection, in milliseconds; after it the server is on trial until it serves a request.
    pub ejected_until_ms: Option<f64>,
    /// Fraction of its traffic that is withheld because of other nodes' hints.
    pub withheld_fraction: f64,
    /// Malformed responses since the last result of another kind.
    pub consecutive_malformed: usize,
    /// Connections that broke under a request since the last result of another kind.
    pub consecutive_resets: usize,
    /// When a connection to it was last refused or broke, in milliseconds: another process may listen at its
    /// address since.
    pub disconnected_at_ms: Option<f64>,
    /// Latest time of sending among the requests that it has served, in milliseconds.
    pub latest_served_sent_at_ms: f64,
    pub overloads: Vec<Overload>,
    /// Times at which this node sent to it while it was warming up.
    pub slow_start_sends: SlidingWindow,
    /// Random number, drawn once. Decides whether this node is among those that send to the server while
    /// its slow-start budget is less than one request per node.
    pub slow_start_threshold: f64,
    /// Requests that wait for its load report.
    pub report_waiters: Vec<RequestId>,
}

impl Server {
    #[inline]
    pub fn is_ready(&self) -> bool {
        self.entry.availability == Availability::Ready
    }

    /// Whether the process at its address is known to be the one that was there at `since_ms`. Once
    /// connections to it have been refused or have broken, a process of another group may have taken its
    /// place before the server list tells.
    pub fn is_same_process_since(&self, since_ms: f64) -> bool {
        self.disconnected_at_ms.is_none_or(|at_ms| at_ms < since_ms)
    }

    /// Whether it is ejected, or on trial with a request in flight.
    #[inline]
    pub fn is_ejected(&self, now_ms: f64) -> bool {
        self.ejected_until_ms
            .is_some_and(|until_ms| until_ms > now_ms || self.in_flight > 0)
    }

    /// Whether its record can be removed: it is gone and none of its results is outstanding. This bounds
    /// the balancer's memory by the number of current servers.
    pub fn is_removable(&self) -> bool {
        self.entry.availability == Availability::Gone && self.in_flight == 0
    }

    /// Whether its connections have been unused for longer than `idle_ms`.
    #[inline]
    pub fn is_idle(&self, now_ms: f64, idle_ms: f64) -> bool {
        self.contacted && self.in_flight == 0 && now_ms - self.last_used_at_ms > idle_ms
    }

    /// Records the sending of an attempt, which increments the count.
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
