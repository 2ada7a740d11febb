//! What is stored of one endpoint of a source.

use crate::endpoint::{Endpoint, Lifecycle};
use crate::source::policy::FlapDamping;
use crate::source::update::{EpochVersion, Receipt};

/// The most flaps that are counted per endpoint: the delay has reached its maximum long before.
const MAX_FLAPS: f64 = 16.0;
/// An endpoint with fewer recent flaps than this is not damped: leaving and returning once is no
/// flapping.
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

/// One endpoint of a source.
#[derive(Clone)]
pub(super) struct Record {
    pub latest: LatestAssertion,
    /// The lifecycle in effect; `None` before the first one.
    pub effective: Option<Lifecycle>,
    pub effective_version: EpochVersion,
    /// When `effective_version` was first received, in milliseconds.
    pub effective_since_ms: f64,
    pub flaps: FlapCounter,
    pub endpoint: Option<Endpoint>,
}

impl Record {
    /// The record of an endpoint's first assertion.
    ///
    /// It takes effect at once, even if outdated, as it replaces nothing; only a removal does not,
    /// since it could take away what other sources list.
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

    /// Whether an assertion is newer than the latest one. Of two with the same version the more
    /// severe holds, so that the order of delivery makes no difference.
    pub fn is_superseded_by(&self, lifecycle: Lifecycle, version: EpochVersion) -> bool {
        version > self.latest.version
            || (version == self.latest.version && lifecycle >= self.latest.lifecycle)
    }

    /// Stores the latest assertion, without effect yet.
    pub fn set_latest(&mut self, lifecycle: Lifecycle, receipt: Receipt) {
        let latest = &mut self.latest;
        if latest.lifecycle != lifecycle {
            latest.since_ms = receipt.now_ms;
            latest.is_confirmed = receipt.is_current;
        }
        (latest.lifecycle, latest.version) = (lifecycle, receipt.version);
        latest.is_confirmed |= receipt.is_current;
    }

    /// Whether the latest assertion takes away an endpoint that is effectively ready or unknown.
    pub fn has_pending_removal(&self) -> bool {
        self.latest.lifecycle == Lifecycle::Gone
            && matches!(self.effective, None | Some(Lifecycle::Ready))
    }

    /// Whether the endpoint is gone, both effectively and by the latest assertion.
    pub fn is_tombstone(&self) -> bool {
        self.effective == Some(Lifecycle::Gone) && self.latest.lifecycle == Lifecycle::Gone
    }
}

/// How often an endpoint has recently ceased to be ready; the count decays exponentially.
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

    /// How long an endpoint that returns at `now_ms` is kept out, in milliseconds.
    pub fn damping_delay_ms(self, now_ms: f64, damping: FlapDamping) -> f64 {
        let flaps = self.count_at(now_ms, damping.half_life_ms);
        if flaps < TOLERATED_FLAPS {
            return 0.0;
        }
        (damping.initial_ms * (flaps - TOLERATED_FLAPS).exp2()).min(damping.max_ms)
    }
}
