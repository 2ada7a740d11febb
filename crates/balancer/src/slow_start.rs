//! Slow start: servers that warm up, the budget of requests that all nodes together keep to for each
//! of them, and the part of the fleet's capacity that is warm.

use crate::balancer::Balancer;
use crate::server::Server;
use crate::settings::Settings;

/// Share of what makes a warming server collapse that is sent to it: capacities are guesses, arrivals
/// come in bunches.
const BUDGET_SHARE: f64 = 0.5;
/// How often in the time that a server warms up the warm capacity is computed again.
const REFRESHES: f64 = 8.0;

/// The part of the ready servers' capacity that is warm.
#[derive(Default)]
pub(crate) struct WarmCapacity {
    pub fraction: f64,
    /// When it changes without a change of the server list; infinite if nothing warms up.
    refresh_at_ms: f64,
}

/// The part of its capacity that a server has at least while it warms up; `None` once it is warm.
#[inline]
pub(crate) fn warm_fraction(settings: &Settings, now_ms: f64, server: &Server) -> Option<f64> {
    let age_ms = now_ms - server.entry.started_at_ms?;
    let (from, warm_ms) = (settings.slow_start_fraction, settings.slow_start_ms);
    (age_ms < warm_ms).then(|| from + (1.0 - from) * (age_ms / warm_ms).max(0.0))
}

impl Balancer {
    /// How often a warming server may be sent its share of what this node has served. Where counts are
    /// old it is filled up before others rather than being one among them, so its budget is what makes
    /// it as busy as they are.
    #[inline]
    pub(crate) fn slow_start_multiple(&self) -> f64 {
        let multiple = BUDGET_SHARE * self.settings.collapse_multiple;
        if self.traffic.well_informed {
            multiple
        } else {
            multiple.min(1.0)
        }
    }

    /// Computes the warm capacity again where servers have warmed up since, although no new list came.
    #[inline]
    pub(crate) fn refresh_warm_capacity(&mut self) {
        if self.now_ms >= self.warm_capacity.refresh_at_ms {
            self.index_servers();
        }
    }

    /// Computes how much of the capacity is warm, and what a sample of a long list is drawn from.
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
                self.now_ms + self.settings.slow_start_ms / REFRESHES
            } else {
                f64::INFINITY
            },
        };
    }
}
