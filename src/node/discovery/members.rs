//! The list of servers on its way to the driver: straight from the roster, or, where an operators' file is named,
//! through the view that is merged from the roster and other sources.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use endpoint_discovery::{
    Action, Assertion, Endpoint, EndpointView, Event, Freshness, Lifecycle, Removal, SourceId,
    SourcePolicy, SourceUpdate,
};

use crate::node::admin::log;
use crate::node::clock::Alarm;
use crate::node::config::HostList;
use crate::node::discovery::roster;
use crate::node::driver::Driver;

/// The roster's place among the sources.
const ROSTER: SourceId = 0;

/// Takes what the sources say and brings the driver what changes.
pub struct ServerMembers {
    driver: Rc<Driver>,
    view: Option<View>,
}

struct View {
    membership: RefCell<EndpointView>,
    alarm: Alarm,
    /// What the roster named last, and in which version and history.
    named: RefCell<HashSet<String>>,
    generation: Cell<u64>,
    history: Cell<u64>,
}

impl ServerMembers {
    /// The roster alone, as it comes.
    #[must_use]
    pub fn roster_alone(driver: Rc<Driver>) -> Rc<Self> {
        Rc::new(Self { driver, view: None })
    }

    /// A view of several sources, which begins with the roster as last known. The driver knows that already.
    #[must_use]
    pub fn merged(driver: Rc<Driver>, roster: SourcePolicy, known: &HostList) -> Rc<Self> {
        let view = View {
            membership: RefCell::new(EndpointView::new(vec![roster])),
            alarm: Alarm::new(),
            named: RefCell::default(),
            generation: Cell::new(0),
            history: Cell::new(0),
        };
        let members = Rc::new(Self {
            driver,
            view: Some(view),
        });
        if !known.instances.is_empty() {
            members.listed(known, Freshness::Outdated);
        }
        tokio::task::spawn_local(Rc::clone(&members).wake_up());
        members
    }

    /// Who is told of the servers.
    #[must_use]
    pub fn driver(&self) -> &Rc<Driver> {
        &self.driver
    }

    /// Takes a list from the roster, or a change of it.
    pub fn roster(&self, list: &HostList) {
        if self.view.is_some() {
            return self.listed(list, Freshness::Current);
        }
        let hosts = roster::read_all(list);
        if list.reset {
            self.driver.list(&hosts);
        } else {
            self.driver.changes(&hosts);
        }
    }

    /// The roster is out of touch.
    pub fn roster_lost(&self) {
        self.feed(Event::SourceLost { source: ROSTER });
    }

    /// One more source.
    ///
    /// # Panics
    ///
    /// The roster is followed alone.
    #[must_use]
    pub fn add_source(&self, trust: SourcePolicy) -> SourceId {
        let view = self.view.as_ref().expect("sources are added to a view");
        view.membership.borrow_mut().add_source(trust)
    }

    /// Something has happened to a source.
    pub fn feed(&self, event: Event) {
        let Some(view) = &self.view else { return };
        let mut actions = Vec::new();
        let is_roster = matches!(&event, Event::SourceUpdated { source: ROSTER, .. });
        view.membership
            .borrow_mut()
            .handle(self.driver.now_ms(), event, &mut actions);
        // The driver hears of every list: that it comes matters, too, where lists are asked for.
        if is_roster
            && !actions
                .iter()
                .any(|action| matches!(action, Action::Publish(_)))
        {
            self.driver.changes(&[]);
        }
        for action in actions {
            match action {
                Action::Publish(hosts) => self.driver.changes(&hosts),
                Action::SetTimer(at) => view.alarm.set(at),
                Action::Log(note) => log::line(note),
            }
        }
    }

    fn listed(&self, list: &HostList, freshness: Freshness) {
        let Some(view) = &self.view else { return };
        // Guards against a roster that has begun anew: what it says now is older by its number alone.
        if list.generation < view.generation.replace(list.generation) {
            view.history.set(view.history.get() + 1);
        }
        let hosts = roster::read_all(list);
        let left = view.note_names(&hosts, list.reset);
        let left = left
            .into_iter()
            .map(|key| Removal {
                key,
                version: list.generation,
            })
            .collect();
        let word = |host: Endpoint| Assertion {
            key: host.id.clone(),
            lifecycle: host.lifecycle,
            version: list.generation,
            endpoint: Some(host).filter(|host| host.lifecycle != Lifecycle::Gone),
        };
        let words = hosts.into_iter().map(word).collect();
        let update = SourceUpdate {
            freshness,
            epoch: view.history.get(),
            assertions: words,
            removals: left,
        };
        self.feed(Event::SourceUpdated {
            source: ROSTER,
            update,
        });
    }

    async fn wake_up(self: Rc<Self>) {
        let Some(view) = &self.view else { return };
        loop {
            view.alarm.rings(|| self.driver.now_ms()).await;
            self.feed(Event::TimerExpired);
        }
    }
}

impl View {
    /// Keeps in mind whom the roster names; tells whom a whole list leaves out.
    fn note_names(&self, hosts: &[Endpoint], whole: bool) -> Vec<String> {
        let mut named = self.named.borrow_mut();
        let mut left = Vec::new();
        if whole {
            let listed: HashSet<_> = hosts.iter().map(|host| host.id.as_str()).collect();
            left = named
                .iter()
                .filter(|id| !listed.contains(id.as_str()))
                .cloned()
                .collect();
            named.clear();
        }
        for host in hosts {
            if host.lifecycle == Lifecycle::Gone {
                named.remove(&host.id);
            } else {
                named.insert(host.id.clone());
            }
        }
        left
    }
}
