//! How much this node sees of the servers: the interval between its requests against the number of
//! servers.

use crate::balancer::Balancer;
use crate::health_check::POLLED_SERVERS;
use crate::latency::{RunningMean, HALF_LIFE_OBJECTIVES, SHARED_GAIN};

/// Latency objectives that may pass until a busy node has used every server of its subset once.
const SUBSET_ROUND_OBJECTIVES: f64 = 4.0;

/// The node's own traffic, and what follows from it.
#[derive(Default)]
pub(crate) struct Traffic {
    /// Time between requests.
    pub interval_ms: RunningMean,
    last_request_at_ms: Option<f64>,
    /// Whether every server is heard of within a mean latency objective. Where it is not, counts are
    /// old when they decide.
    pub well_informed: bool,
    /// Half-life of what is learned of a server.
    pub half_life_ms: f64,
    /// Size of the subset of servers that this node polls.
    pub subset_size: usize,
}

impl Traffic {
    /// Before the first request a node is taken to be well informed.
    pub fn new(objective_ms: f64) -> Self {
        Self {
            well_informed: true,
            half_life_ms: HALF_LIFE_OBJECTIVES * objective_ms,
            subset_size: POLLED_SERVERS,
            ..Self::default()
        }
    }
}

impl Balancer {
    /// Takes note of a request's arrival.
    #[inline]
    pub(crate) fn observe_arrival(&mut self) {
        let (now_ms, objective_ms) = (self.now_ms, self.objective_ms);
        let traffic = &mut self.traffic;
        let last_ms = traffic.last_request_at_ms.replace(now_ms);
        traffic
            .interval_ms
            .add(now_ms - last_ms.unwrap_or(now_ms), SHARED_GAIN);
        if traffic.interval_ms.is_confident() {
            // It does not shrink again, or each swing of the traffic would cost connections.
            let size = SUBSET_ROUND_OBJECTIVES * objective_ms / traffic.interval_ms.mean;
            traffic.subset_size = traffic.subset_size.max(size as usize);
        }
        let round_ms = traffic.interval_ms.mean * self.ring.len() as f64;
        traffic.well_informed = round_ms <= objective_ms;
        traffic.half_life_ms = round_ms.max(HALF_LIFE_OBJECTIVES * objective_ms);
    }
}
