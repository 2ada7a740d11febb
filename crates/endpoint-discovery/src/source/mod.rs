//! One source: its latest assertions, and which of them are in effect.
//!
//! This module records the source's reports and whether the source is live; `pending` decides when
//! a latest assertion takes effect. Invariant: a key is in the pending set if and only if its
//! latest lifecycle differs from the effective one.

mod pending;
mod policy;
mod record;
mod update;

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::endpoint::{Endpoint, Lifecycle, MAX_ENDPOINTS};
use crate::log_event::LogEvent;
use crate::merge::SourceStatus;
use record::Record;
use update::{EpochVersion, Receipt};

pub use policy::{FlapDamping, MatchBy, SourcePolicy};
pub use update::{Assertion, Freshness, Removal, SourceUpdate};

/// Maximum number of removed endpoints of which a source keeps the record, so that an older
/// assertion that arrives late is recognized as such. The earliest removed are evicted first.
pub const MAX_TOMBSTONES: usize = 4_096;

/// A set of a source's keys.
pub(crate) type KeySet = BTreeSet<String>;

/// State of the contact with a source.
#[derive(Clone, Copy, PartialEq)]
enum Contact {
    /// It has not reported anything yet.
    Never,
    /// Its last report was current.
    Live,
    /// It has been unreachable or outdated since this time, in milliseconds.
    StaleSince(f64),
    /// It has been stale for longer than its assertions are retained.
    Expired,
}

/// A removal that has taken effect.
struct RecentRemoval {
    removed_at_ms: f64,
    key: String,
}

/// One source.
pub(crate) struct Source {
    pub policy: SourcePolicy,
    records: HashMap<String, Record>,
    /// Keys whose latest lifecycle is not in effect yet.
    pending: KeySet,
    /// Removals within the panic window, earliest first.
    recent_removals: VecDeque<RecentRemoval>,
    /// Number of records whose effective lifecycle is ready.
    ready_count: usize,
    /// Keys of removed endpoints, earliest first.
    tombstones: VecDeque<String>,
    contact: Contact,
    /// Whether a deferred mass removal has been logged that is not resolved yet.
    is_mass_removal_reported: bool,
    /// Whether an excess over [`MAX_ENDPOINTS`] has been logged.
    is_limit_reported: bool,
}

impl Source {
    /// A source that has not reported anything yet.
    pub fn new(policy: SourcePolicy) -> Self {
        Self {
            policy,
            records: HashMap::new(),
            pending: KeySet::new(),
            recent_removals: VecDeque::new(),
            ready_count: 0,
            tombstones: VecDeque::new(),
            contact: Contact::Never,
            is_mass_removal_reported: false,
            is_limit_reported: false,
        }
    }

    /// The source's status. One that has never reported counts as stale.
    pub fn status(&self) -> SourceStatus {
        match self.contact {
            Contact::Live => SourceStatus::Live,
            Contact::Never | Contact::StaleSince(_) => SourceStatus::Stale,
            Contact::Expired => SourceStatus::Expired,
        }
    }

    /// The lifecycle in effect for a key.
    pub fn lifecycle(&self, key: &str) -> Option<Lifecycle> {
        self.records.get(key)?.effective
    }

    /// The attributes that the source has reported for an endpoint.
    pub fn endpoint(&self, key: &str) -> Option<&Endpoint> {
        self.records.get(key)?.endpoint.as_ref()
    }

    /// When the effective version took effect, in milliseconds.
    pub fn effective_since_ms(&self, key: &str) -> f64 {
        self.records
            .get(key)
            .map_or(f64::NEG_INFINITY, |record| record.effective_since_ms)
    }

    /// Keys whose latest lifecycle is not in effect yet.
    pub fn pending(&self) -> &KeySet {
        &self.pending
    }

    /// Whether the source has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops everything that the source has reported; returns the keys of the dropped records.
    pub fn clear(&mut self) -> KeySet {
        let affected = self.keys();
        *self = Self::new(self.policy.clone());
        affected
    }

    /// Records a report. Adds the keys whose effective assertion or attributes may have changed to
    /// `affected`.
    pub fn apply(
        &mut self,
        now_ms: f64,
        update: SourceUpdate,
        affected: &mut KeySet,
        log_events: &mut Vec<LogEvent>,
    ) {
        let is_current = update.freshness == Freshness::Current;
        if is_current {
            self.confirm_pending();
        }
        let receipt = |version: u64| Receipt {
            now_ms,
            version: EpochVersion {
                epoch: update.epoch,
                version,
            },
            is_current,
        };
        for assertion in update.assertions {
            let receipt = receipt(assertion.version);
            self.record(
                receipt,
                with_weight_applied(assertion),
                affected,
                log_events,
            );
        }
        for Removal { key, version } in update.removals {
            let assertion = Assertion {
                key,
                lifecycle: Lifecycle::Gone,
                version,
                endpoint: None,
            };
            self.record(receipt(version), assertion, affected, log_events);
        }
        if is_current {
            self.mark_live(affected, log_events);
        } else {
            self.mark_stale(now_ms, log_events);
        }
    }

    /// Marks the source as unreachable or outdated.
    pub fn mark_stale(&mut self, now_ms: f64, log_events: &mut Vec<LogEvent>) {
        if matches!(self.contact, Contact::Never | Contact::Live) {
            self.contact = Contact::StaleSince(now_ms);
            log_events.push(LogEvent::SourceStale {
                source: self.policy.name.clone(),
            });
        }
    }

    fn mark_live(&mut self, affected: &mut KeySet, log_events: &mut Vec<LogEvent>) {
        let before = std::mem::replace(&mut self.contact, Contact::Live);
        if matches!(before, Contact::StaleSince(_) | Contact::Expired) {
            log_events.push(LogEvent::SourceLive {
                source: self.policy.name.clone(),
            });
        }
        // Merge outcomes are the same for a live and a stale source. They may differ for an expired
        // one, so every endpoint is merged again.
        if before == Contact::Expired {
            affected.extend(self.keys());
        }
    }

    /// Confirms every pending assertion: a current report confirms the earlier assertions that it
    /// does not change.
    fn confirm_pending(&mut self) {
        for key in &self.pending {
            if let Some(record) = self.records.get_mut(key) {
                record.latest.is_confirmed = true;
            }
        }
    }

    /// Records one assertion.
    fn record(
        &mut self,
        receipt: Receipt,
        assertion: Assertion,
        affected: &mut KeySet,
        log_events: &mut Vec<LogEvent>,
    ) {
        let Some(record) = self.records.get_mut(&assertion.key) else {
            return self.record_first(receipt, assertion, affected, log_events);
        };
        let lifecycle = assertion.lifecycle;
        if !record.is_superseded_by(lifecycle, receipt.version) {
            return;
        }
        record.set_latest(lifecycle, receipt);
        if assertion.endpoint.is_some() && record.endpoint != assertion.endpoint {
            record.endpoint = assertion.endpoint;
            affected.insert(assertion.key.clone());
        }
        if record.effective != Some(lifecycle) {
            self.pending.insert(assertion.key);
            return;
        }
        if record.effective_version != receipt.version {
            record.effective_version = receipt.version;
            record.effective_since_ms = receipt.now_ms;
            affected.insert(assertion.key.clone());
        }
        self.pending.remove(&assertion.key);
    }

    /// Records the first assertion about an endpoint, unless the source has too many.
    fn record_first(
        &mut self,
        receipt: Receipt,
        assertion: Assertion,
        affected: &mut KeySet,
        log_events: &mut Vec<LogEvent>,
    ) {
        if self.records.len() >= MAX_ENDPOINTS {
            if !std::mem::replace(&mut self.is_limit_reported, true) {
                log_events.push(LogEvent::TooManyEndpoints {
                    source: self.policy.name.clone(),
                });
            }
            return;
        }
        let Assertion {
            key,
            lifecycle,
            endpoint,
            ..
        } = assertion;
        let record = Record::first(lifecycle, endpoint, receipt);
        self.ready_count += usize::from(record.effective == Some(Lifecycle::Ready));
        if record.effective.is_none() {
            self.pending.insert(key.clone());
        }
        affected.insert(key.clone());
        self.records.insert(key, record);
    }

    fn keys(&self) -> KeySet {
        self.records.keys().cloned().collect()
    }
}

/// Turns a ready assertion with a weight of zero into a drain: such an endpoint finishes its
/// current requests and gets no new ones.
fn with_weight_applied(mut assertion: Assertion) -> Assertion {
    let has_zero_weight = assertion
        .endpoint
        .as_ref()
        .is_some_and(|endpoint| endpoint.weight <= 0.0);
    if assertion.lifecycle == Lifecycle::Ready && has_zero_weight {
        assertion.lifecycle = Lifecycle::Draining;
    }
    assertion
}
