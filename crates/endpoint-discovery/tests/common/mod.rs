//! A view with two sources, the platform's endpoint list and Consul, in virtual time.
#![allow(
    dead_code,
    reason = "each test file compiles this module and uses a part of it"
)]

use std::collections::BTreeMap;

use endpoint_discovery::*;

pub const ENDPOINT_LIST: SourceId = 0;
pub const CONSUL: SourceId = 1;

/// A view that runs its own timers, with the endpoints that it has published and its log.
pub struct ViewHarness {
    pub view: EndpointView,
    pub now_ms: f64,
    /// The published changes, applied in order.
    pub published: BTreeMap<String, Endpoint>,
    pub log: Vec<LogEvent>,
    pub timer_ms: Option<f64>,
}

impl ViewHarness {
    pub fn new(consul: SourcePolicy) -> Self {
        let sources = vec![SourcePolicy::authoritative("list"), consul];
        Self {
            view: EndpointView::new(sources),
            now_ms: 1_000_000.0,
            published: BTreeMap::new(),
            log: Vec::new(),
            timer_ms: None,
        }
    }

    /// A view with this number of endpoints, which both sources report as ready. Consul may not add
    /// endpoints.
    pub fn with_advisory_consul(endpoint_count: usize) -> Self {
        let mut harness = Self::new(SourcePolicy::advisory("consul"));
        harness.report(
            ENDPOINT_LIST,
            assertions(0..endpoint_count, Lifecycle::Ready, 1),
        );
        harness.report(CONSUL, assertions(0..endpoint_count, Lifecycle::Ready, 10));
        assert_eq!(harness.ready_count(), endpoint_count);
        harness
    }

    /// Handles an event; returns the endpoints that changed.
    pub fn handle(&mut self, event: Event) -> Vec<Endpoint> {
        let (mut actions, mut changed) = (Vec::new(), Vec::new());
        self.view.handle(self.now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Publish(endpoints) => {
                    for endpoint in &endpoints {
                        match endpoint.lifecycle {
                            Lifecycle::Gone => drop(self.published.remove(&endpoint.id)),
                            _ => drop(self.published.insert(endpoint.id.clone(), endpoint.clone())),
                        }
                    }
                    changed.extend(endpoints);
                }
                Action::SetTimer(at_ms) => {
                    assert!(
                        at_ms > self.now_ms,
                        "timer at {at_ms} ms is not after the current time, {} ms",
                        self.now_ms
                    );
                    self.timer_ms = Some(at_ms);
                }
                Action::Log(event) => self.log.push(event),
            }
        }
        changed
    }

    /// Advances the time, and expires every timer that is due within it.
    pub fn advance_ms(&mut self, ms: f64) {
        let end_ms = self.now_ms + ms;
        while let Some(at_ms) = self.timer_ms.filter(|at_ms| *at_ms <= end_ms) {
            self.now_ms = self.now_ms.max(at_ms);
            self.timer_ms = None;
            self.handle(Event::TimerExpired);
        }
        self.now_ms = end_ms;
    }

    pub fn update(
        &mut self,
        source: SourceId,
        freshness: Freshness,
        epoch: u64,
        assertions: Vec<Assertion>,
    ) -> Vec<Endpoint> {
        self.handle(Event::SourceUpdated {
            source,
            update: SourceUpdate {
                freshness,
                epoch,
                assertions,
                removals: vec![],
            },
        })
    }

    /// Sends a current report in the first epoch.
    pub fn report(&mut self, source: SourceId, assertions: Vec<Assertion>) -> Vec<Endpoint> {
        self.update(source, Freshness::Current, 0, assertions)
    }

    /// Sends a current report in the first epoch that removes these keys.
    pub fn remove(
        &mut self,
        source: SourceId,
        version: u64,
        keys: impl IntoIterator<Item = String>,
    ) -> Vec<Endpoint> {
        let removals = keys
            .into_iter()
            .map(|key| Removal { key, version })
            .collect();
        let update = SourceUpdate {
            freshness: Freshness::Current,
            epoch: 0,
            assertions: vec![],
            removals,
        };
        self.handle(Event::SourceUpdated { source, update })
    }

    /// The published lifecycle of an endpoint: `Gone` if it is not in the view.
    pub fn lifecycle(&self, id: &str) -> Lifecycle {
        self.published
            .get(id)
            .map_or(Lifecycle::Gone, |endpoint| endpoint.lifecycle)
    }

    pub fn ready_count(&self) -> usize {
        self.published
            .values()
            .filter(|endpoint| endpoint.lifecycle == Lifecycle::Ready)
            .count()
    }
}

pub fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        address: Some(address(id)),
        ..Endpoint::new(id)
    }
}

/// An address whose port is derived from the number in an id.
pub fn address(id: &str) -> std::net::SocketAddr {
    let number: u16 = id
        .trim_start_matches(|c: char| !c.is_ascii_digit())
        .parse()
        .expect("an id ends with a number");
    ([10, 0, 0, 1], 1_000 + number).into()
}

pub fn assertion(id: &str, lifecycle: Lifecycle, version: u64) -> Assertion {
    Assertion {
        key: id.into(),
        lifecycle,
        version,
        endpoint: Some(endpoint(id)),
    }
}

pub fn assertions(
    ids: std::ops::Range<usize>,
    lifecycle: Lifecycle,
    version: u64,
) -> Vec<Assertion> {
    ids.map(|id| assertion(&format!("s-{id}"), lifecycle, version))
        .collect()
}
