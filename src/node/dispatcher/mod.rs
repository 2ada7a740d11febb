//! The dispatcher: connects the events and actions of the balancer to sockets and timers.
//!
//! [`Dispatcher`] owns the balancer, the queue of its events and the table of requests in flight. It passes each
//! event and the current time to the balancer, and executes the returned actions in order. Decisions about requests
//! are left to the balancer, but the dispatcher enforces these guarantees independently of it: no attempt starts
//! after the deadline of its request or beyond the maximum number of attempts, a request has at most one attempt in
//! flight, and a client gets exactly one final response.

mod attempts;
mod in_flight;
mod request_log;
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

pub use self::in_flight::{
    Arrival, FinalResponse, NewRequest, RequestHandle, UploadCompletion, UploadProgress,
};
pub use self::settings_names::{ClassRule, SettingNames};

use self::attempts::AttemptObserver;
use self::in_flight::InFlightRequest;
use self::server_ids::ServerIds;
use self::timers::TimerQueue;
use crate::node::admin::log;
use crate::node::clock::Clock;
use crate::node::config::{Config, ConfigError};
use crate::node::discovery::endpoint_list::decode::decode_endpoints;
use crate::node::memory::NodeMemory;
use crate::node::upstream::addresses::ConfiguredAddresses;
use crate::node::upstream::servers::{PoolLimits, Servers};
use crate::settings::SettingsFormatError;
use balancer::{Action, AttemptResult, Balancer, Event, ServerId};

/// Owns the balancer and executes its actions. See the [module](self).
pub struct Dispatcher {
    balancer: RefCell<Balancer>,
    clock: Clock,
    /// Counters of requests and their results.
    pub metrics: Metrics,
    /// The names that the settings define, and the rules of the request classes.
    pub names: SettingNames,
    servers: Rc<Servers>,
    server_ids: RefCell<ServerIds>,
    max_attempts: usize,
    max_in_flight: usize,
    next_request: Cell<u64>,
    in_flight: RefCell<HashMap<u64, InFlightRequest>>,
    /// Events to be handled after the current one.
    events: RefCell<VecDeque<Event>>,
    is_handling_event: Cell<bool>,
    timers: TimerQueue,
    /// Notified when the balancer requests a subscription to changes of the endpoint list.
    pub subscribe_requested: Notify,
    attempt_observer: RefCell<Option<AttemptObserver>>,
    /// The time by which all requests must have a final response; set when the node shuts down.
    shutdown_deadline: Cell<Option<Instant>>,
}

impl Dispatcher {
    /// Starts a dispatcher with the cached endpoint list of the configuration. Must be called in a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The balancer rejects the settings.
    pub fn start(config: &Config) -> Result<Rc<Self>, ConfigError> {
        Self::start_with(config, ConfiguredAddresses::new(), PoolLimits::default())
    }

    /// Like [`start`](Self::start), with the server addresses and connection limits that the operators configured.
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
        let metrics = Metrics::new(names.classes.in_order());
        let servers = Servers::new(
            config,
            configured_addresses,
            pool_limits,
            clock,
            Rc::clone(&metrics.upstream),
        );
        let dispatcher = Rc::new(Self {
            balancer: RefCell::new(balancer),
            clock,
            metrics,
            names,
            servers,
            server_ids: RefCell::default(),
            max_attempts: config.settings.max_attempts,
            max_in_flight: config.max_in_flight.min(config.limits.requests_in_flight()),
            next_request: Cell::new(0),
            in_flight: RefCell::default(),
            events: RefCell::default(),
            is_handling_event: Cell::new(false),
            timers: TimerQueue::default(),
            subscribe_requested: Notify::new(),
            attempt_observer: RefCell::default(),
            shutdown_deadline: Cell::default(),
        });
        dispatcher.use_cached_endpoints(&decode_endpoints(&config.cached_endpoints));
        tokio::task::spawn_local(Rc::clone(&dispatcher).run_timers());
        tokio::task::spawn_local(Rc::clone(&dispatcher).run_maintenance());
        tokio::task::spawn_local(Rc::clone(&dispatcher.servers).run_timer());
        Ok(dispatcher)
    }

    /// The memory budgets of the node.
    #[must_use]
    pub fn memory(&self) -> Rc<NodeMemory> {
        self.servers.memory()
    }

    /// The time of the dispatcher's monotonic clock, in milliseconds of Unix time.
    #[must_use]
    pub fn now_ms(&self) -> f64 {
        self.clock.now_ms()
    }

    /// Passes to the balancer the weight that other nodes' reports suggest for a server; see [`Event::Hint`].
    pub fn set_weight_hint(self: &Rc<Self>, server: ServerId, weight: f64) {
        self.handle_event(Event::Hint { server, weight });
    }

    /// Passes an event to the balancer. While another event is being handled, it is queued.
    fn handle_event(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.is_handling_event.replace(true) {
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
        self.is_handling_event.set(false);
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

    /// Reports a health check as not sent. The node does not implement health checks and disables them in the
    /// balancer's settings.
    fn reject_health_check(&self, server: ServerId) {
        self.events.borrow_mut().push_back(Event::HealthChecked {
            server,
            elapsed_ms: 0.0,
            result: AttemptResult::NotSent,
            report: None,
        });
    }
}
