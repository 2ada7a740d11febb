//! Who the servers are: the sources that name them, and which of those are followed beside the roster, as the
//! operators' file has it now.

mod connection;
pub mod consul;
pub mod endpoint_list;
pub mod members;
pub(in crate::node) mod roster;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use endpoint_discovery::{Event, SourceId};
use tokio::task::AbortHandle;

use crate::node::admin::log;
use crate::node::driver::Driver;
use consul::ConsulSource;
use members::ServerMembers;

/// The sources that are followed.
pub struct Sources {
    members: Rc<ServerMembers>,
    seed: u64,
    followed: RefCell<HashMap<String, Followed>>,
}

struct Followed {
    settings: ConsulSource,
    source: SourceId,
    task: AbortHandle,
}

impl Sources {
    /// None yet.
    #[must_use]
    pub fn new(members: Rc<ServerMembers>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            members,
            seed,
            followed: RefCell::default(),
        })
    }

    /// Who is told of the servers.
    #[must_use]
    pub fn driver(&self) -> &Rc<Driver> {
        self.members.driver()
    }

    /// Follows these, and no others. One whose settings have not changed goes on as it is.
    pub fn follow(&self, wanted: &[ConsulSource]) {
        let mut followed = self.followed.borrow_mut();
        followed.retain(|name, held| {
            let stays = wanted.contains(&held.settings);
            if !stays {
                held.task.abort();
                self.members.feed(Event::SourceRemoved {
                    source: held.source,
                });
                log::line(format_args!("{name} is followed no more"));
            }
            stays
        });
        for (nth, settings) in wanted.iter().enumerate() {
            let name = &settings.policy.name;
            if followed.contains_key(name) {
                continue;
            }
            let source = self.members.add_source(settings.policy.clone());
            let following = consul::follow(
                Rc::clone(&self.members),
                source,
                settings.clone(),
                self.seed ^ nth as u64,
            );
            let task = tokio::task::spawn_local(following).abort_handle();
            log::line(format_args!(
                "{name} is followed: service {:?}",
                settings.watch.query.service
            ));
            followed.insert(
                name.clone(),
                Followed {
                    settings: settings.clone(),
                    source,
                    task,
                },
            );
        }
    }
}
