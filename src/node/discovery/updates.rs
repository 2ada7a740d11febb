//! The path of endpoint updates to the dispatcher: directly from the endpoint list or, with an
//! operators' file, through a view that merges the list with other sources.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use endpoint_discovery::{
    Action, Assertion, Endpoint, EndpointView, Event, Freshness, Lifecycle, Removal, SourceId,
    SourcePolicy, SourceUpdate,
};

use crate::node::admin::log;
use crate::node::clock::Timer;
use crate::node::config::EndpointList;
use crate::node::discovery::endpoint_list::decode::decode_endpoints;
use crate::node::dispatcher::Dispatcher;

/// The source id of the endpoint list.
const ENDPOINT_LIST: SourceId = 0;

/// Receives the updates of all sources and passes changes to the dispatcher.
pub struct EndpointUpdates {
    dispatcher: Rc<Dispatcher>,
    merged: Option<MergedView>,
}

struct MergedView {
    view: RefCell<EndpointView>,
    timer: Timer,
    list: ListState,
}

/// State from earlier endpoint lists that is needed to convert the next list to an update of the view.
#[derive(Default)]
struct ListState {
    /// The ids in the list after its latest update.
    ids: RefCell<HashSet<String>>,
    /// The generation of the latest list.
    generation: Cell<u64>,
    /// Number of times that the generation has decreased.
    epoch: Cell<u64>,
}

impl EndpointUpdates {
    /// Passes the endpoint list to the dispatcher unchanged, without a merged view.
    #[must_use]
    pub fn direct(dispatcher: Rc<Dispatcher>) -> Rc<Self> {
        Rc::new(Self {
            dispatcher,
            merged: None,
        })
    }

    /// Merges several sources, starting with the cached endpoint list, which the dispatcher already
    /// has. Spawns a task for the view's timer.
    #[must_use]
    pub fn merged(
        dispatcher: Rc<Dispatcher>,
        list_policy: SourcePolicy,
        cached_list: &EndpointList,
    ) -> Rc<Self> {
        let updates = Rc::new(Self {
            dispatcher,
            merged: Some(MergedView {
                view: RefCell::new(EndpointView::new(vec![list_policy])),
                timer: Timer::new(),
                list: ListState::default(),
            }),
        });
        if !cached_list.instances.is_empty() {
            updates.merge_list(cached_list, Freshness::Outdated);
        }
        tokio::task::spawn_local(Rc::clone(&updates).run_timer());
        updates
    }

    /// The dispatcher that receives the updates.
    #[must_use]
    pub fn dispatcher(&self) -> &Rc<Dispatcher> {
        &self.dispatcher
    }

    /// Handles an endpoint list from discovery, which may be complete or contain only changes.
    pub fn receive_list(&self, list: &EndpointList) {
        if self.merged.is_some() {
            return self.merge_list(list, Freshness::Current);
        }
        let endpoints = decode_endpoints(list);
        if list.reset {
            self.dispatcher.replace_endpoints(&endpoints);
        } else {
            self.dispatcher.update_endpoints(&endpoints);
        }
    }

    /// Reports to the merged view that the endpoint list is no longer received.
    pub fn mark_list_lost(&self) {
        self.handle(Event::SourceLost {
            source: ENDPOINT_LIST,
        });
    }

    /// Adds a source to the merged view.
    ///
    /// # Panics
    ///
    /// Panics if there is no merged view.
    #[must_use]
    pub fn add_source(&self, policy: SourcePolicy) -> SourceId {
        let merged = self
            .merged
            .as_ref()
            .expect("sources are added only with an operators' file, for which a view exists");
        merged.view.borrow_mut().add_source(policy)
    }

    /// Passes an event of a source to the merged view, and the view's changes to the dispatcher. Does
    /// nothing without a merged view.
    pub fn handle(&self, event: Event) {
        let Some(merged) = &self.merged else { return };
        let mut actions = Vec::new();
        let is_from_list = matches!(
            &event,
            Event::SourceUpdated {
                source: ENDPOINT_LIST,
                ..
            }
        );
        merged
            .view
            .borrow_mut()
            .handle(self.dispatcher.now_ms(), event, &mut actions);
        let publishes = actions
            .iter()
            .any(|action| matches!(action, Action::Publish(_)));
        // A list without changes is passed on as well, because with subscribed lists the balancer
        // waits for the next list.
        if is_from_list && !publishes {
            self.dispatcher.update_endpoints(&[]);
        }
        for action in actions {
            match action {
                Action::Publish(endpoints) => self.dispatcher.update_endpoints(&endpoints),
                Action::SetTimer(at_ms) => merged.timer.set(at_ms),
                Action::Log(event) => log::line(event),
            }
        }
    }

    fn merge_list(&self, list: &EndpointList, freshness: Freshness) {
        let Some(merged) = &self.merged else { return };
        let update = merged.list.source_update(list, freshness);
        self.handle(Event::SourceUpdated {
            source: ENDPOINT_LIST,
            update,
        });
    }

    async fn run_timer(self: Rc<Self>) {
        let Some(merged) = &self.merged else { return };
        loop {
            merged.timer.wait(|| self.dispatcher.now_ms()).await;
            self.handle(Event::TimerExpired);
        }
    }
}

impl ListState {
    /// Converts a list to an update of the view.
    fn source_update(&self, list: &EndpointList, freshness: Freshness) -> SourceUpdate {
        // A decreased generation means that discovery has restarted: its generations are not
        // comparable with earlier ones.
        if list.generation < self.generation.replace(list.generation) {
            self.epoch.set(self.epoch.get() + 1);
        }
        let version = list.generation;
        let endpoints = decode_endpoints(list);
        let removals = self
            .record_ids(&endpoints, list.reset)
            .into_iter()
            .map(|key| Removal { key, version })
            .collect();
        let assertions = endpoints
            .into_iter()
            .map(|endpoint| Assertion {
                key: endpoint.id.clone(),
                lifecycle: endpoint.lifecycle,
                version,
                endpoint: Some(endpoint).filter(|endpoint| endpoint.lifecycle != Lifecycle::Gone),
            })
            .collect();
        SourceUpdate {
            freshness,
            epoch: self.epoch.get(),
            assertions,
            removals,
        }
    }

    /// Records the ids of a list. If the list is complete, returns the earlier ids that it no longer
    /// contains.
    fn record_ids(&self, endpoints: &[Endpoint], is_complete: bool) -> Vec<String> {
        let mut ids = self.ids.borrow_mut();
        let mut removed = Vec::new();
        if is_complete {
            let listed: HashSet<_> = endpoints
                .iter()
                .map(|endpoint| endpoint.id.as_str())
                .collect();
            removed = ids
                .iter()
                .filter(|id| !listed.contains(id.as_str()))
                .cloned()
                .collect();
            ids.clear();
        }
        for endpoint in endpoints {
            if endpoint.lifecycle == Lifecycle::Gone {
                ids.remove(&endpoint.id);
            } else {
                ids.insert(endpoint.id.clone());
            }
        }
        removed
    }
}
