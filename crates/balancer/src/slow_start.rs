//! Slow start: servers that warm up, the request budget of each of them that all nodes share, and the
//! warm fraction of the servers' total capacity.

use crate::balancer::Balancer;
use crate::server::Server;
use crate::settings::Settings;

/// Fraction of a warming server's collapse load that may be sent to it. The margin allows for estimated
/// capacities and bursty arrivals.
const BUDGET_FRACTION: f64 = 0.5;
/// Number of times that the warm capacity is recomputed while a server warms up.
const REFRESHES_PER_WARM_UP: f64 = 8.0;

/// The warm fraction of the ready servers' capacity.
#[derive(Default)]
pub(crate) struct WarmCapacity {
    pub fraction: f64,
    /// Time at which to recompute it without a list update, in milliseconds; infinite if no server warms
    /// up.
    refresh_at_ms: f64,
}

/// The minimum fraction of its capacity that a warming server has; `None` once the server is warm.
#[inline]
pub(crate) fn warm_fraction(settings: &Settings, now_ms: f64, server: &Server) -> Option<f64> {
    let age_ms = now_ms - server.entry.started_at_ms?;
    let (from, warm_ms) = (settings.slow_start_fraction, settings.slow_start_ms);
    (age_ms < warm_ms).then(|| from + (1.0 - from) * (age_ms / warm_ms).max(0.0))
}

impl Balancer {
    /// Multiple of its share of this node's requests that a warming server may be sent. Where reports are
    /// stale, a warming server is filled before other servers instead of being compared with them, and only
    /// a budget of its share makes it as busy as the others and no busier.
    #[inline]
    pub(crate) fn slow_start_multiple(&self) -> f64 {
        let multiple = BUDGET_FRACTION * self.settings.collapse_multiple;
        if self.traffic.has_recent_reports {
            multiple
        } else {
            multiple.min(1.0)
        }
    }

    /// Recomputes the warm capacity if servers have warmed up without a list update.
    #[inline]
    pub(crate) fn refresh_warm_capacity(&mut self) {
        if self.now_ms >= self.warm_capacity.refresh_at_ms {
            self.index_servers();
        }
    }

    /// Computes the warm capacity, and the servers from which samples of a long list are drawn.
    pub(crate) fn index_servers(&mut self) {
        let index_sample = self.is_list_long();
        self.sampler.clear();
        let (mut warm, mut any_warming) = (0.0, false);
        for (server_id, server) in self.servers.iter().filter(|(_, server)| server.is_ready()) {
            let fraction = warm_fraction(&self.settings, self.now_ms, server);
            warm += fraction.unwrap_or(1.0);
            any_warming |= fraction.is_some();
            if index_sample {
                self.sampler.add(*server_id, server, fraction.is_some());
            }
        }
        self.sampler.sort_warming();
        self.warm_capacity = WarmCapacity {
            fraction: warm / self.ring.len().max(1) as f64,
            refresh_at_ms: if any_warming {
                self.now_ms + self.settings.slow_start_ms / REFRESHES_PER_WARM_UP
            } else {
                f64::INFINITY
            },
        };
    }
}
