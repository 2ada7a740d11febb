//! The merged view: merges the effective assertions of all sources about each endpoint, and
//! publishes the changes.
//!
//! It owns the sources and the published state of every endpoint. Invariant: the published changes,
//! applied in order, result in [`EndpointView::endpoints`].

mod address_index;
mod sources;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::endpoint::{Endpoint, Lifecycle};
use crate::log_event::{LogEvent, SourceLifecycle};
use crate::merge::{merge, MergeOutcome, SourceStatus};
use crate::source::{KeySet, Source, SourcePolicy, SourceUpdate};
use sources::Sources;

/// The position of a source in the view; those given to [`EndpointView::new`] come first.
pub type SourceId = usize;

/// Maximum number of disagreements that are logged individually per step; the others are only
/// counted.
const MAX_LOGGED_DISAGREEMENTS: usize = 8;

/// An input event of the view.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A source reported.
    SourceUpdated {
        /// The source.
        source: SourceId,
        /// Its report.
        update: SourceUpdate,
    },
    /// A source is unreachable.
    SourceLost {
        /// The source.
        source: SourceId,
    },
    /// A source is no longer followed: its assertions are dropped.
    SourceRemoved {
        /// The source.
        source: SourceId,
    },
    /// The timer of [`Action::SetTimer`] has expired.
    TimerExpired,
}

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Apply these changed endpoints, which are sorted by id. One whose lifecycle is gone is no
    /// longer in the view.
    Publish(Vec<Endpoint>),
    /// Send [`Event::TimerExpired`] at this time, in milliseconds of Unix time. Replaces the
    /// previous timer.
    SetTimer(f64),
    /// Write a line to the operators' log.
    Log(LogEvent),
}

/// The state of one endpoint in the view.
#[derive(Default)]
struct Entry {
    /// The endpoint as last published; `None` if it is not in the view.
    published: Option<Endpoint>,
    /// The outcome of the last merge; `None` before the first one.
    outcome: Option<MergeOutcome>,
    /// The lifecycle that each source asserted at the last merge.
    asserted: Vec<Option<Lifecycle>>,
}

/// The merged view. See the [crate] documentation.
///
/// Limit: [`MAX_ENDPOINTS`](crate::MAX_ENDPOINTS) endpoints per source.
pub struct EndpointView {
    sources: Sources,
    entries: HashMap<String, Entry>,
    /// Number of endpoints whose outcome is ready.
    ready_count: usize,
    /// Ids of the endpoints that one source removed and another reports as ready.
    disputed: BTreeSet<String>,
    /// Whether the disputed endpoints are used because no other is ready.
    is_last_resort: bool,
    /// The time of the last [`Action::SetTimer`] that has not expired, in milliseconds.
    timer_ms: Option<f64>,
}

impl EndpointView {
    /// Creates a view of these sources. If several descriptions of an endpoint have equal
    /// precedence, that of the first source is used.
    #[must_use]
    pub fn new(sources: Vec<SourcePolicy>) -> Self {
        Self {
            sources: Sources::new(sources),
            entries: HashMap::new(),
            ready_count: 0,
            disputed: BTreeSet::new(),
            is_last_resort: false,
            timer_ms: None,
        }
    }

    /// Adds a source that has not reported yet. It takes the position of a removed source of the
    /// same name, if there is one.
    pub fn add_source(&mut self, policy: SourcePolicy) -> SourceId {
        self.sources.add(policy)
    }

    /// All endpoints in the view.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries
            .values()
            .filter_map(|entry| entry.published.as_ref())
    }

    /// A source's status; `None` if there is no such source.
    #[must_use]
    pub fn source_status(&self, source: SourceId) -> Option<SourceStatus> {
        self.sources.get(source).map(Source::status)
    }

    /// Handles an event that occurred at `now_ms` (milliseconds of Unix time, never decreasing) and
    /// appends the actions to perform. An event of an unknown source is ignored.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        let mut log_events = Vec::new();
        let mut changed_ids = self.apply(now_ms, event, &mut log_events);
        let next_timer_ms = self.apply_due(now_ms, &mut changed_ids, &mut log_events);
        let changed = self.update(changed_ids, &mut log_events);
        if !changed.is_empty() {
            actions.push(Action::Publish(changed));
        }
        actions.extend(log_events.into_iter().map(Action::Log));
        if let Some(at_ms) = next_timer_ms.filter(|_| next_timer_ms != self.timer_ms) {
            actions.push(Action::SetTimer(at_ms));
        }
        self.timer_ms = next_timer_ms;
    }

    /// Passes an event to its source; returns the ids of the endpoints that it may have changed.
    fn apply(
        &mut self,
        now_ms: f64,
        event: Event,
        log_events: &mut Vec<LogEvent>,
    ) -> BTreeSet<String> {
        let mut affected = KeySet::new();
        let id = match event {
            Event::SourceUpdated { source: id, update } => {
                if let Some(source) = self.sources.get_mut(id) {
                    source.apply(now_ms, update, &mut affected, log_events);
                }
                id
            }
            Event::SourceLost { source: id } => {
                if let Some(source) = self.sources.get_mut(id) {
                    source.mark_stale(now_ms, log_events);
                }
                id
            }
            Event::SourceRemoved { source: id } => {
                if let Some(source) = self.sources.get_mut(id) {
                    affected = source.clear();
                }
                id
            }
            Event::TimerExpired => {
                self.timer_ms = None;
                return BTreeSet::new();
            }
        };
        self.sources.endpoint_ids(id, affected)
    }

    /// Puts the due assertions of every source into effect; returns when the next one is due, in
    /// milliseconds.
    fn apply_due(
        &mut self,
        now_ms: f64,
        changed_ids: &mut BTreeSet<String>,
        log_events: &mut Vec<LogEvent>,
    ) -> Option<f64> {
        let mut next_ms: Option<f64> = None;
        for id in 0..self.sources.len() {
            let ready_elsewhere = self.sources.ready_elsewhere(id);
            let Some(source) = self.sources.get_mut(id) else {
                continue;
            };
            let mut affected = KeySet::new();
            let due_ms = source.apply_due(now_ms, &ready_elsewhere, &mut affected, log_events);
            changed_ids.extend(self.sources.endpoint_ids(id, affected));
            next_ms = next_ms.into_iter().chain(due_ms).reduce(f64::min);
        }
        next_ms
    }

    /// Merges these endpoints again; returns those whose published state changed, sorted by id.
    fn update(&mut self, ids: BTreeSet<String>, log_events: &mut Vec<LogEvent>) -> Vec<Endpoint> {
        // Keyed by id, so that an endpoint changes at most once per step and no intermediate state
        // is published.
        let mut changed = BTreeMap::new();
        let mut disagreements = Vec::new();
        for id in ids {
            self.merge_endpoint(&id, &mut changed, &mut disagreements);
        }
        self.update_last_resort(&mut changed, log_events);
        let unlogged_count = disagreements.len().saturating_sub(MAX_LOGGED_DISAGREEMENTS);
        log_events.extend(disagreements.into_iter().take(MAX_LOGGED_DISAGREEMENTS));
        if unlogged_count > 0 {
            log_events.push(LogEvent::MoreDisagreements(unlogged_count));
        }
        changed.into_values().collect()
    }

    /// Starts or ends the last resort, which prevents one source alone from emptying the view.
    fn update_last_resort(
        &mut self,
        changed: &mut BTreeMap<String, Endpoint>,
        log_events: &mut Vec<LogEvent>,
    ) {
        let is_last_resort = self.ready_count == 0 && !self.disputed.is_empty();
        if is_last_resort == self.is_last_resort {
            return;
        }
        self.is_last_resort = is_last_resort;
        log_events.push(if is_last_resort {
            LogEvent::LastResortStarted {
                endpoints: self.disputed.len(),
            }
        } else {
            LogEvent::LastResortEnded
        });
        for id in self.disputed.clone() {
            self.publish(&id, changed);
        }
    }

    /// Applies the merge table to one endpoint.
    fn merge_endpoint(
        &mut self,
        id: &str,
        changed: &mut BTreeMap<String, Endpoint>,
        disagreements: &mut Vec<LogEvent>,
    ) {
        let assertions = self.sources.assertions(id);
        let outcome = merge(&assertions);
        let asserted: Vec<_> = assertions
            .iter()
            .map(|assertion| assertion.lifecycle)
            .collect();
        let is_listed = asserted
            .iter()
            .flatten()
            .any(|lifecycle| *lifecycle != Lifecycle::Gone);
        let entry = self.entries.entry(id.to_owned()).or_default();
        let before = entry.outcome.replace(outcome);
        if before != Some(outcome) || entry.asserted != asserted {
            disagreements.extend(disagreement(&self.sources, id, &asserted, outcome));
            entry.asserted = asserted;
        }
        self.ready_count -= usize::from(before == Some(MergeOutcome::Ready));
        self.ready_count += usize::from(outcome == MergeOutcome::Ready);
        if outcome == (MergeOutcome::Removed { disputed: true }) {
            self.disputed.insert(id.to_owned());
        } else {
            self.disputed.remove(id);
        }
        self.publish(id, changed);
        let is_published = |entry: &Entry| entry.published.is_some();
        if !is_listed && !self.entries.get(id).is_some_and(is_published) {
            self.entries.remove(id);
        }
    }

    /// Adds an endpoint to `changed` if it differs from what was last published.
    fn publish(&mut self, id: &str, changed: &mut BTreeMap<String, Endpoint>) {
        let attributes = self.sources.attributes(id);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let lifecycle = match entry.outcome {
            Some(MergeOutcome::Ready) => Lifecycle::Ready,
            Some(MergeOutcome::Removed { disputed: true }) if self.is_last_resort => {
                Lifecycle::Ready
            }
            Some(MergeOutcome::Draining) => Lifecycle::Draining,
            _ => Lifecycle::Gone,
        };
        // A ready endpoint without an address cannot be used; a draining one may still have
        // requests in flight.
        let is_usable =
            |endpoint: &Endpoint| endpoint.address.is_some() || lifecycle == Lifecycle::Draining;
        let current = attributes
            .filter(|endpoint| lifecycle != Lifecycle::Gone && is_usable(endpoint))
            .map(|endpoint| Endpoint {
                lifecycle,
                ..endpoint
            });
        if current == entry.published {
            return;
        }
        let removed = entry.published.take().map(|endpoint| Endpoint {
            lifecycle: Lifecycle::Gone,
            ..endpoint
        });
        entry.published.clone_from(&current);
        if let Some(endpoint) = current.or(removed) {
            changed.insert(endpoint.id.clone(), endpoint);
        }
    }
}

/// The log event for an endpoint on which sources disagree; `None` if they agree.
fn disagreement(
    sources: &Sources,
    id: &str,
    asserted: &[Option<Lifecycle>],
    outcome: MergeOutcome,
) -> Option<LogEvent> {
    let mut lifecycles = asserted.iter().flatten();
    let first = lifecycles.next();
    if lifecycles.all(|lifecycle| Some(lifecycle) == first) {
        return None;
    }
    let source_lifecycles =
        sources
            .names()
            .zip(asserted)
            .map(|(source, lifecycle)| SourceLifecycle {
                source: source.to_owned(),
                lifecycle: *lifecycle,
            });
    Some(LogEvent::Disagreement {
        id: id.to_owned(),
        source_lifecycles: source_lifecycles.collect(),
        outcome,
    })
}
