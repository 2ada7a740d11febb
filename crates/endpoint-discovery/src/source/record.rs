//! The record that a source keeps of one endpoint.

use crate::endpoint::{Endpoint, Lifecycle};
use crate::source::policy::FlapDamping;
use crate::source::update::{EpochVersion, Receipt};

/// Maximum flap count per endpoint; the delay reaches its maximum long before.
const MAX_FLAPS: f64 = 16.0;
/// Flap count below which an endpoint is not damped: one removal and return is not flapping.
const TOLERATED_FLAPS: f64 = 1.5;

/// The latest assertion, in effect or not.
#[derive(Clone, Copy)]
pub(super) struct LatestAssertion {
    pub lifecycle: Lifecycle,
    pub version: EpochVersion,
    /// When the source first asserted this lifecycle, in milliseconds.
    pub since_ms: f64,
    /// Whether a current report has contained or confirmed it.
    pub is_confirmed: bool,
}

/// The record of one endpoint of a source.
#[derive(Clone)]
pub(super) struct Record {
    pub latest: LatestAssertion,
    /// The lifecycle in effect; `None` before the first one.
    pub effective: Option<Lifecycle>,
    pub effective_version: EpochVersion,
    /// When `effective_version` took effect, in milliseconds.
    pub effective_since_ms: f64,
    pub flaps: FlapCounter,
    pub endpoint: Option<Endpoint>,
}

impl Record {
    /// The record of an endpoint's first assertion.
    ///
    /// It takes effect at once, even if outdated, because it replaces nothing. A removal is the
    /// exception, because it could remove an endpoint that other sources list.
    pub fn first(lifecycle: Lifecycle, endpoint: Option<Endpoint>, receipt: Receipt) -> Self {
        Self {
            latest: LatestAssertion {
                lifecycle,
                version: receipt.version,
                since_ms: receipt.now_ms,
                is_confirmed: receipt.is_current,
            },
            effective: Some(lifecycle).filter(|lifecycle| *lifecycle != Lifecycle::Gone),
            effective_version: receipt.version,
            effective_since_ms: receipt.now_ms,
            flaps: FlapCounter {
                count: 0.0,
                updated_at_ms: receipt.now_ms,
            },
            endpoint,
        }
    }

    /// Whether an assertion replaces the latest one: it has a greater version, or the same version
    /// and at least the same severity. The order of delivery therefore makes no difference.
    pub fn is_superseded_by(&self, lifecycle: Lifecycle, version: EpochVersion) -> bool {
        version > self.latest.version
            || (version == self.latest.version && lifecycle >= self.latest.lifecycle)
    }

    /// Stores the latest assertion without putting it into effect.
    pub fn set_latest(&mut self, lifecycle: Lifecycle, receipt: Receipt) {
        let latest = &mut self.latest;
        if latest.lifecycle != lifecycle {
            latest.since_ms = receipt.now_ms;
            latest.is_confirmed = receipt.is_current;
        }
        (latest.lifecycle, latest.version) = (lifecycle, receipt.version);
        latest.is_confirmed |= receipt.is_current;
    }

    /// Whether the latest assertion removes an endpoint that is still ready or has no effective
    /// lifecycle yet.
    pub fn has_pending_removal(&self) -> bool {
        self.latest.lifecycle == Lifecycle::Gone
            && matches!(self.effective, None | Some(Lifecycle::Ready))
    }

    /// Whether the endpoint is gone, both effectively and by the latest assertion.
    pub fn is_tombstone(&self) -> bool {
        self.effective == Some(Lifecycle::Gone) && self.latest.lifecycle == Lifecycle::Gone
    }
}

/// Exponentially decaying count of how often an endpoint has ceased to be ready.
#[derive(Clone, Copy)]
pub(super) struct FlapCounter {
    count: f64,
    updated_at_ms: f64,
}

impl FlapCounter {
    fn count_at(self, now_ms: f64, half_life_ms: f64) -> f64 {
        self.count * (-((now_ms - self.updated_at_ms).max(0.0)) / half_life_ms).exp2()
    }

    /// Counts one more flap.
    pub fn increment(&mut self, now_ms: f64, half_life_ms: f64) {
        self.count = (self.count_at(now_ms, half_life_ms) + 1.0).min(MAX_FLAPS);
        self.updated_at_ms = now_ms;
    }

    /// The delay before an endpoint that returns at `now_ms` may be ready again, in milliseconds.
    pub fn damping_delay_ms(self, now_ms: f64, damping: FlapDamping) -> f64 {
        let flaps = self.count_at(now_ms, damping.half_life_ms);
        if flaps < TOLERATED_FLAPS {
            return 0.0;
        }
        (damping.initial_ms * (flaps - TOLERATED_FLAPS).exp2()).min(damping.max_ms)
    }
}
