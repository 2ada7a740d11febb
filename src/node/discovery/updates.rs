//! The path of endpoint updates to the dispatcher: straight from the endpoint list or, where an
//! operators' file is named, through a view that merges the list with other sources.

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

/// The endpoint list's position among the sources.
const ENDPOINT_LIST: SourceId = 0;

/// Receives what the sources report and passes changes on to the dispatcher.
pub struct EndpointUpdates {
    dispatcher: Rc<Dispatcher>,
    merged: Option<MergedView>,
}

struct MergedView {
    view: RefCell<EndpointView>,
    timer: Timer,
    list: ListState,
}

/// What must be known of earlier endpoint lists to report the next one to the view.
#[derive(Default)]
struct ListState {
    /// The ids that the list contained last.
    ids: RefCell<HashSet<String>>,
    generation: Cell<u64>,
    /// Counts how often the generation went back.
    epoch: Cell<u64>,
}

impl EndpointUpdates {
    /// Passes the endpoint list on as it comes, without a merged view.
    #[must_use]
    pub fn direct(dispatcher: Rc<Dispatcher>) -> Rc<Self> {
        Rc::new(Self {
            dispatcher,
            merged: None,
        })
    }

    /// Merges several sources, beginning with the endpoint list as last known, which the dispatcher has
    /// already. Spawns a task for the view's timer.
    #[must_use]
    pub fn merged(
        dispatcher: Rc<Dispatcher>,
        list_policy: SourcePolicy,
        known_list: &EndpointList,
    ) -> Rc<Self> {
        let updates = Rc::new(Self {
            dispatcher,
            merged: Some(MergedView {
                view: RefCell::new(EndpointView::new(vec![list_policy])),
                timer: Timer::new(),
                list: ListState::default(),
            }),
        });
        if !known_list.instances.is_empty() {
            updates.merge_list(known_list, Freshness::Outdated);
        }
        tokio::task::spawn_local(Rc::clone(&updates).run_timer());
        updates
    }

    /// The dispatcher that the updates go to.
    #[must_use]
    pub fn dispatcher(&self) -> &Rc<Dispatcher> {
        &self.dispatcher
    }

    /// Receives an endpoint list from discovery, or a change of it.
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

    /// Discovery is unreachable.
    pub fn mark_list_lost(&self) {
        self.handle(Event::SourceLost {
            source: ENDPOINT_LIST,
        });
    }

    /// Adds a source to the merged view.
    ///
    /// # Panics
    ///
    /// There is no merged view.
    #[must_use]
    pub fn add_source(&self, policy: SourcePolicy) -> SourceId {
        let merged = self
            .merged
            .as_ref()
            .expect("sources are followed only where an operators' file is named");
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
        // Even a list that changes nothing is passed on: with subscribed lists the balancer waits
        // for its arrival.
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
        let update = merged.list.update(list, freshness);
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
    /// The report that a list makes to the view.
    fn update(&self, list: &EndpointList, freshness: Freshness) -> SourceUpdate {
        // A generation that goes back means that discovery has started anew: its generations are
        // not comparable with earlier ones.
        if list.generation < self.generation.replace(list.generation) {
            self.epoch.set(self.epoch.get() + 1);
        }
        let version = list.generation;
        let endpoints = decode_endpoints(list);
        let removals = self
            .replace_ids(&endpoints, list.reset)
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

    /// Records the ids of a list; returns those that a whole list no longer contains.
    fn replace_ids(&self, endpoints: &[Endpoint], is_whole: bool) -> Vec<String> {
        let mut ids = self.ids.borrow_mut();
        let mut removed = Vec::new();
        if is_whole {
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
