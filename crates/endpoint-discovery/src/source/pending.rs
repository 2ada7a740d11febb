//! Puts pending assertions into effect when they are due.
//!
//! A source may be faulty: it may lag, lose data, be restored from an old snapshot or report all
//! its health checks as failed at once. An assertion that could remove many endpoints therefore
//! takes effect only once it has been confirmed, while a drain takes effect at once.

use crate::endpoint::Lifecycle;
use crate::log_event::LogEvent;

use super::record::{LatestAssertion, Record};
use super::{Contact, KeySet, RecentRemoval, Source, MAX_TOMBSTONES};

/// When a pending assertion takes effect.
#[derive(Clone, Copy, PartialEq)]
enum EffectTime {
    /// At this time, in milliseconds.
    At(f64),
    /// Not before a current report confirms it.
    OnceConfirmed,
}

/// Numbers of endpoints from which the share of removed endpoints is calculated.
struct RemovalShare {
    /// Number of endpoints that were removed within the panic window without a drain before, and of
    /// those whose removal is pending.
    removed: usize,
    /// Number of endpoints that are ready, that were removed within the panic window without a drain
    /// before, or that have a pending removal and no effective lifecycle yet. Draining endpoints are
    /// not included.
    total: usize,
}

impl Source {
    /// Puts every pending assertion into effect that is due, and expires the source if it has been
    /// stale for too long. Returns when to call this again, in milliseconds.
    ///
    /// `ready_elsewhere` holds the pending keys that another source reports as ready; it is used
    /// only if the policy does not defer undisputed removals.
    pub fn apply_due(
        &mut self,
        now_ms: f64,
        ready_elsewhere: &KeySet,
        affected: &mut KeySet,
        log_events: &mut Vec<LogEvent>,
    ) -> Option<f64> {
        self.drop_old_removals(now_ms);
        let is_mass_removal = self.is_mass_removal();
        let next_effect_ms = self.apply_pending(now_ms, is_mass_removal, ready_elsewhere, affected);
        self.report_mass_removal(is_mass_removal, log_events);
        self.evict_tombstones(affected);
        let expires_at_ms = self.expire(now_ms, affected, log_events);
        next_effect_ms
            .into_iter()
            .chain(expires_at_ms)
            .reduce(f64::min)
    }

    fn drop_old_removals(&mut self, now_ms: f64) {
        let window_start_ms = now_ms - self.policy.panic_window_ms;
        let records = &self.records;
        self.recent_removals.retain(|removal| {
            removal.removed_at_ms > window_start_ms
                && records
                    .get(&removal.key)
                    .is_some_and(|record| record.effective == Some(Lifecycle::Gone))
        });
    }

    /// Puts the due assertions into effect; returns when the next pending one takes effect.
    fn apply_pending(
        &mut self,
        now_ms: f64,
        is_mass_removal: bool,
        ready_elsewhere: &KeySet,
        affected: &mut KeySet,
    ) -> Option<f64> {
        let mut next_ms: Option<f64> = None;
        for key in std::mem::take(&mut self.pending) {
            let Some(record) = self.records.get(&key) else {
                continue;
            };
            let is_disputed =
                self.policy.defers_undisputed_removals || ready_elsewhere.contains(&key);
            match self.effect_time(record, is_mass_removal && is_disputed) {
                EffectTime::At(at_ms) if at_ms <= now_ms => {
                    self.put_into_effect(now_ms, &key);
                    affected.insert(key);
                }
                EffectTime::At(at_ms) => {
                    next_ms = Some(next_ms.map_or(at_ms, |next_ms| next_ms.min(at_ms)));
                    self.pending.insert(key);
                }
                EffectTime::OnceConfirmed => {
                    self.pending.insert(key);
                }
            }
        }
        next_ms
    }

    fn report_mass_removal(&mut self, was_mass_removal: bool, log_events: &mut Vec<LogEvent>) {
        // If no removal is still pending, nothing was deferred and there is nothing to report.
        let is_deferred = was_mass_removal && self.pending_removals().count() > 0;
        if is_deferred == self.is_mass_removal_reported {
            return;
        }
        self.is_mass_removal_reported = is_deferred;
        let source = self.policy.name.clone();
        let RemovalShare { removed, total } = self.removal_share();
        log_events.push(if is_deferred {
            LogEvent::MassRemovalDeferred {
                source,
                removed,
                total,
            }
        } else {
            LogEvent::MassRemovalResolved { source }
        });
    }

    /// Expires the source if it has been stale for too long; otherwise returns when it will expire.
    fn expire(
        &mut self,
        now_ms: f64,
        affected: &mut KeySet,
        log_events: &mut Vec<LogEvent>,
    ) -> Option<f64> {
        let Contact::StaleSince(since_ms) = self.contact else {
            return None;
        };
        let expires_at_ms = since_ms + self.policy.retention_ms;
        if expires_at_ms > now_ms {
            return Some(expires_at_ms).filter(|at_ms| at_ms.is_finite());
        }
        self.contact = Contact::Expired;
        log_events.push(LogEvent::SourceExpired {
            source: self.policy.name.clone(),
        });
        affected.extend(self.keys());
        None
    }

    /// Records whose latest assertion removes an endpoint that is still ready or has no effective
    /// lifecycle yet.
    fn pending_removals(&self) -> impl Iterator<Item = &Record> {
        self.pending
            .iter()
            .filter_map(|key| self.records.get(key))
            .filter(|record| record.has_pending_removal())
    }

    fn removal_share(&self) -> RemovalShare {
        let pending = self.pending_removals().count();
        let without_effect = self
            .pending_removals()
            .filter(|record| record.effective.is_none())
            .count();
        let removed = self.recent_removals.len();
        RemovalShare {
            removed: removed + pending,
            total: self.ready_count + removed + without_effect,
        }
    }

    /// Whether the removals within the window exceed the panic threshold. Guards against a source
    /// that lost its data, or whose health checks all fail for a reason unrelated to the servers.
    fn is_mass_removal(&self) -> bool {
        let RemovalShare { removed, total } = self.removal_share();
        self.pending_removals().count() > 0
            && removed as f64 > self.policy.panic_share * total as f64
    }

    /// When a record's latest assertion takes effect. With `is_deferred`, a removal must first
    /// stand for the policy's confirmation time.
    fn effect_time(&self, record: &Record, is_deferred: bool) -> EffectTime {
        let LatestAssertion {
            lifecycle,
            version,
            since_ms,
            is_confirmed,
        } = record.latest;
        if lifecycle == Lifecycle::Draining {
            return EffectTime::At(f64::NEG_INFINITY); // A drain is never deferred.
        }
        if !is_confirmed {
            return EffectTime::OnceConfirmed;
        }
        let is_new_epoch =
            self.policy.defers_new_epochs && version.epoch != record.effective_version.epoch;
        let earliest_ms = since_ms
            + if is_new_epoch {
                self.policy.confirm_ms
            } else {
                0.0
            };
        EffectTime::At(match (record.effective, lifecycle) {
            (None | Some(Lifecycle::Ready), Lifecycle::Gone) if is_deferred => {
                since_ms + self.policy.confirm_ms
            }
            (_, Lifecycle::Ready) => {
                let delay_ms = self.policy.damping.map_or(0.0, |damping| {
                    record.flaps.damping_delay_ms(since_ms, damping)
                });
                earliest_ms.max(since_ms + delay_ms)
            }
            _ => earliest_ms,
        })
    }

    fn put_into_effect(&mut self, now_ms: f64, key: &str) {
        let half_life_ms = self
            .policy
            .damping
            .map_or(f64::INFINITY, |damping| damping.half_life_ms);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let before = record.effective;
        if before == Some(Lifecycle::Ready) {
            self.ready_count -= 1;
            record.flaps.increment(now_ms, half_life_ms);
        }
        record.effective = Some(record.latest.lifecycle);
        record.effective_version = record.latest.version;
        record.effective_since_ms = now_ms;
        match record.latest.lifecycle {
            Lifecycle::Ready => self.ready_count += 1,
            Lifecycle::Draining => {}
            Lifecycle::Gone => {
                if before != Some(Lifecycle::Draining) {
                    self.recent_removals.push_back(RecentRemoval {
                        removed_at_ms: now_ms,
                        key: key.to_owned(),
                    });
                }
                self.tombstones.push_back(key.to_owned());
            }
        }
    }

    /// Drops the records of the earliest removed endpoints beyond [`MAX_TOMBSTONES`].
    fn evict_tombstones(&mut self, affected: &mut KeySet) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(key) = self.tombstones.pop_front() else {
                return;
            };
            let is_tombstone = self.records.get(&key).is_some_and(Record::is_tombstone);
            if is_tombstone && !self.tombstones.contains(&key) {
                self.records.remove(&key);
                self.is_limit_reported = false;
                affected.insert(key);
            }
        }
    }
}
