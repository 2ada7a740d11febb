//! Frequency with which this node uses each server, computed from the interval between its requests
//! and the number of servers.

use crate::balancer::Balancer;
use crate::health_check::POLLED_SERVERS;
use crate::latency::{RunningMean, HALF_LIFE_OBJECTIVES, SHARED_GAIN};

/// Time in which a busy node uses every server of its subset once, in mean latency objectives.
const SUBSET_ROUND_OBJECTIVES: f64 = 4.0;

/// The node's own traffic, and the values derived from it.
#[derive(Default)]
pub(crate) struct Traffic {
    /// Time between requests, in milliseconds.
    pub interval_ms: RunningMean,
    last_request_at_ms: Option<f64>,
    /// Whether the node uses every server about once per mean latency objective. Otherwise its load
    /// reports, and so its counts, are stale when a server is selected.
    pub has_recent_reports: bool,
    /// Half-life of the estimates of a server, in milliseconds.
    pub half_life_ms: f64,
    /// Number of servers that this node polls and sends to, where servers are polled.
    pub subset_size: usize,
}

impl Traffic {
    /// Before the first request, reports are assumed to be recent.
    pub fn new(objective_ms: f64) -> Self {
        Self {
            has_recent_reports: true,
            half_life_ms: HALF_LIFE_OBJECTIVES * objective_ms,
            subset_size: POLLED_SERVERS,
            ..Self::default()
        }
    }
}

impl Balancer {
    /// Records the arrival of a request.
    #[inline]
    pub(crate) fn record_arrival(&mut self) {
        let (now_ms, objective_ms) = (self.now_ms, self.objective_ms);
        let traffic = &mut self.traffic;
        let last_ms = traffic.last_request_at_ms.replace(now_ms);
        traffic
            .interval_ms
            .add(now_ms - last_ms.unwrap_or(now_ms), SHARED_GAIN);
        if traffic.interval_ms.is_confident() {
            // The subset never shrinks, as each swing of the traffic would then cost new connections.
            let size = SUBSET_ROUND_OBJECTIVES * objective_ms / traffic.interval_ms.mean;
            traffic.subset_size = traffic.subset_size.max(size as usize);
        }
        let round_ms = traffic.interval_ms.mean * self.ring.len() as f64;
        traffic.has_recent_reports = round_ms <= objective_ms;
        traffic.half_life_ms = round_ms.max(HALF_LIFE_OBJECTIVES * objective_ms);
    }
}
