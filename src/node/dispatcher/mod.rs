//! The dispatcher: connects the events and actions of the balancer to sockets and timers.
//!
//! [`Dispatcher`] owns the balancer, the queue of its events and the table of requests in flight. It passes each event to
//! the balancer with the time and executes the actions that result, in order. It decides nothing about a request, but
//! enforces the guarantees whatever the balancer decides: no attempt after the deadline or beyond the number allowed,
//! never two at once, and one final response.

mod attempts;
mod in_flight;
mod server_ids;
mod settings_names;
mod timers;
mod unanswered;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Instant;

use admin::Metrics;
use tokio::sync::Notify;

pub use self::in_flight::{FinalResponse, NewRequest, RequestHandle};
pub use self::settings_names::{ClassRule, SettingNames};

use self::attempts::AttemptObserver;
use self::in_flight::InFlightRequest;
use self::server_ids::ServerIds;
use self::timers::TimerQueue;
use crate::node::admin::log;
use crate::node::clock::Clock;
use crate::node::config::{Config, ConfigError};
use crate::node::discovery::endpoint_list::decode::decode_endpoints;
use crate::node::upstream::addresses::ConfiguredAddresses;
use crate::node::upstream::servers::{PoolLimits, Servers};
use crate::settings::SettingsFormatError;
use balancer::{Action, AttemptResult, Balancer, Event, ServerId};

/// Owns the balancer and carries out what it decides. See the [module](self).
pub struct Dispatcher {
    balancer: RefCell<Balancer>,
    clock: Clock,
    /// Counts what became of requests.
    pub metrics: Metrics,
    /// The names of the settings.
    pub names: SettingNames,
    servers: Rc<Servers>,
    server_ids: RefCell<ServerIds>,
    max_attempts: usize,
    max_in_flight: usize,
    next_request: Cell<u64>,
    in_flight: RefCell<HashMap<u64, InFlightRequest>>,
    /// Events that wait for the one that is being handled.
    events: RefCell<VecDeque<Event>>,
    is_handling: Cell<bool>,
    timers: TimerQueue,
    /// Notified when the balancer requests the changes of the endpoint list.
    pub subscribe_requested: Notify,
    observer: RefCell<Option<AttemptObserver>>,
    /// When a node that shuts down must have responded to all requests.
    shutdown_deadline: Cell<Option<Instant>>,
}

impl Dispatcher {
    /// Starts a dispatcher with the endpoint list that the configuration holds. Must be called in a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The balancer rejects the settings.
    pub fn start(config: &Config) -> Result<Rc<Self>, ConfigError> {
        Self::start_with(config, ConfiguredAddresses::new(), PoolLimits::default())
    }

    /// As [`start`](Self::start), with the addresses of servers and the limits of connections that the operators
    /// configured.
    ///
    /// # Errors
    ///
    /// The balancer rejects the settings.
    pub fn start_with(
        config: &Config,
        configured_addresses: ConfiguredAddresses,
        pool_limits: PoolLimits,
    ) -> Result<Rc<Self>, ConfigError> {
        let balancer = Balancer::new(config.settings.clone(), config.seed)
            .map_err(|error| ConfigError::Settings(SettingsFormatError::OutOfRange(error)))?;
        let clock = Clock::new();
        let names = SettingNames::new(config);
        let dispatcher = Rc::new(Self {
            balancer: RefCell::new(balancer),
            clock,
            metrics: Metrics::new(names.classes.in_order()),
            names,
            servers: Servers::new(config, configured_addresses, pool_limits, clock),
            server_ids: RefCell::default(),
            max_attempts: config.settings.max_attempts,
            max_in_flight: config.max_in_flight,
            next_request: Cell::new(0),
            in_flight: RefCell::default(),
            events: RefCell::default(),
            is_handling: Cell::new(false),
            timers: TimerQueue::default(),
            subscribe_requested: Notify::new(),
            observer: RefCell::default(),
            shutdown_deadline: Cell::default(),
        });
        dispatcher.use_cached_endpoints(&decode_endpoints(&config.cached_endpoints));
        tokio::task::spawn_local(Rc::clone(&dispatcher).run_timers());
        tokio::task::spawn_local(Rc::clone(&dispatcher).run_maintenance());
        tokio::task::spawn_local(Rc::clone(&dispatcher.servers).run_timer());
        Ok(dispatcher)
    }

    /// The time by the dispatcher's clock, in milliseconds of Unix time; it never runs backwards.
    #[must_use]
    pub fn now_ms(&self) -> f64 {
        self.clock.now_ms()
    }

    /// Passes on the weight that other nodes' reports suggest for a server: see [`Event::Hint`].
    pub fn set_weight_hint(self: &Rc<Self>, server: ServerId, weight: f64) {
        self.handle_event(Event::Hint { server, weight });
    }

    /// Passes an event to the balancer; if another is being handled, after that one.
    fn handle_event(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.is_handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.next_event() {
            self.balancer
                .borrow_mut()
                .handle(self.clock.now_ms(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(&action);
            }
        }
        self.is_handling.set(false);
    }

    fn next_event(&self) -> Option<Event> {
        self.events.borrow_mut().pop_front()
    }

    fn execute(self: &Rc<Self>, action: &Action) {
        match *action {
            Action::Send { request, server } => self.send(request.0, server),
            Action::Cancel { request, attempt } => self.cancel(request.0, attempt),
            Action::Reject {
                request,
                retry_after_ms,
            } => self.respond(request.0, FinalResponse::Rejected { retry_after_ms }),
            Action::Fail { request } => self.respond(request.0, FinalResponse::Failed),
            Action::SetTimer { timer, after_ms } => self.set_balancer_timer(timer, after_ms),
            Action::CloseIdle { server } => self.servers.close_idle(server),
            Action::Subscribe => self.subscribe_requested.notify_one(),
            Action::HealthCheck { server } => self.reject_health_check(server),
            Action::Log(ref event) => log::line(event),
        }
    }

    /// Reports a health check as not sent. This node cannot make any and has told the balancer so.
    fn reject_health_check(&self, server: ServerId) {
        self.events.borrow_mut().push_back(Event::HealthChecked {
            server,
            elapsed_ms: 0.0,
            result: AttemptResult::NotSent,
            report: None,
        });
    }
}
