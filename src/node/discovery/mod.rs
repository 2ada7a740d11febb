//! Endpoint discovery: the platform's endpoint list, the Consul services that the operators' file
//! adds, and the path of their updates to the dispatcher.
//!
//! The module owns the sockets to discovery and to Consul's agents. The `endpoint-discovery` crate
//! decides which assertion of which source takes effect.

mod connection;
pub mod consul;
pub mod endpoint_list;
pub mod updates;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use endpoint_discovery::{Event, SourceId};
use tokio::task::AbortHandle;

use crate::node::admin::log;
use crate::node::dispatcher::Dispatcher;
use consul::ConsulSource;
use updates::EndpointUpdates;

/// The Consul services that are followed, each by its own task.
pub struct ConsulFollowers {
    updates: Rc<EndpointUpdates>,
    seed: u64,
    followers: RefCell<HashMap<String, Follower>>,
}

struct Follower {
    settings: ConsulSource,
    source: SourceId,
    task: AbortHandle,
}

impl ConsulFollowers {
    /// Creates an empty set of services. `seed` determines the jitter of the retry delays.
    #[must_use]
    pub fn new(updates: Rc<EndpointUpdates>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            updates,
            seed,
            followers: RefCell::default(),
        })
    }

    /// The dispatcher that receives the updates.
    #[must_use]
    pub fn dispatcher(&self) -> &Rc<Dispatcher> {
        self.updates.dispatcher()
    }

    /// Follows exactly these services. A service that is already followed with the same settings is
    /// not interrupted.
    pub fn follow(&self, services: &[ConsulSource]) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|name, follower| {
            let is_kept = services.contains(&follower.settings);
            if !is_kept {
                self.stop(name, follower);
            }
            is_kept
        });
        for (position, settings) in services.iter().enumerate() {
            let name = &settings.policy.name;
            if !followers.contains_key(name) {
                let follower = self.start(settings, self.seed ^ position as u64);
                followers.insert(name.clone(), follower);
            }
        }
    }

    fn start(&self, settings: &ConsulSource, seed: u64) -> Follower {
        let source = self.updates.add_source(settings.policy.clone());
        let follow = consul::follow(Rc::clone(&self.updates), source, settings.clone(), seed);
        let task = tokio::task::spawn_local(follow).abort_handle();
        log::line(format_args!(
            "source {:?}: following service {:?}",
            settings.policy.name, settings.watch.query.service
        ));
        Follower {
            settings: settings.clone(),
            source,
            task,
        }
    }

    fn stop(&self, name: &str, follower: &Follower) {
        follower.task.abort();
        self.updates.handle(Event::SourceRemoved {
            source: follower.source,
        });
        log::line(format_args!(
            "source {name:?}: stopped following its service"
        ));
    }
}
