//! The servers that attempts are sent to: their addresses, whether they drain, and the sockets of their connections.
//!
//! [`pool`] decides which connection an attempt gets and when another is dialed; `actions` executes these decisions.
//! `idle` and `checked_out` hold the sockets, each of which has exactly one owner. `attempt` performs one attempt
//! over the addresses of a server.

mod actions;
mod attempt;
mod checked_out;
mod idle;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::UpstreamMetrics;
use balancer::ServerId;
use endpoint_discovery::{Endpoint, Lifecycle};
use pool::{AddressOwners, CheckoutId, ConnectionId, DialId, Limits, Pool, ServerKey};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::node::clock::{Clock, Timer};
use crate::node::config::Config;
use crate::node::memory::NodeMemory;
use crate::node::start_times::StartTimes;
use crate::node::upstream::addresses::{routes, ConfiguredAddresses};

pub use attempt::RunningAttempt;
use checked_out::CheckoutResult;
use idle::PooledConnection;

/// An entry of the server table.
struct Server {
    endpoint: Endpoint,
    /// The latest main address from discovery; an update without an address leaves it unchanged.
    listed_address: Option<SocketAddr>,
    /// The time from which on a draining server gets no requests; `None` if the server is ready.
    drain_deadline: Option<Instant>,
}

/// Connection limits in the operators' file. [`Limits`] contains the defaults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLimits {
    /// Maximum number of connections to one server over all its addresses.
    pub max_connections_per_server: Option<usize>,
    /// Maximum number of concurrent dial races to one server.
    pub max_concurrent_dials: Option<usize>,
    /// Maximum number of dials per second to a server in slow start.
    pub slow_start_dials_per_s: Option<f64>,
    /// Whether one connection more than needed is dialed while the load rises.
    pub dial_ahead: bool,
}

/// All servers and the connections to them.
pub struct Servers {
    pool: RefCell<Pool>,
    idle_connections: RefCell<HashMap<ConnectionId, PooledConnection>>,
    pending_checkouts: RefCell<HashMap<CheckoutId, oneshot::Sender<CheckoutResult>>>,
    dials: RefCell<HashMap<DialId, AbortHandle>>,
    table: RefCell<BTreeMap<ServerId, Server>>,
    address_owners: RefCell<AddressOwners>,
    configured_addresses: RefCell<ConfiguredAddresses>,
    timer: Timer,
    slow_start_ms: f64,
    drain_grace: Duration,
    clock: Clock,
    metrics: Rc<UpstreamMetrics>,
    start_times: RefCell<StartTimes>,
    memory: Rc<NodeMemory>,
}

/// Displays the name of a server.
pub struct ServerLabel<'a> {
    servers: &'a Servers,
    server: ServerId,
}

impl fmt::Display for ServerLabel<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.servers.table.borrow().get(&self.server) {
            Some(server) => f.write_str(&server.endpoint.id),
            None => f.write_str("a removed server"),
        }
    }
}

impl Servers {
    /// Creates a table without servers. [`Servers::run_timer`] must run concurrently.
    #[must_use]
    pub fn new(
        config: &Config,
        configured_addresses: ConfiguredAddresses,
        pool_limits: PoolLimits,
        clock: Clock,
        metrics: Rc<UpstreamMetrics>,
    ) -> Rc<Self> {
        let as_ms = |time: Duration| time.as_secs_f64() * 1e3;
        let max_connections = config.limits.server_connections();
        let defaults = Limits::default();
        let limits = Limits {
            max_connections,
            max_connections_per_server: pool_limits
                .max_connections_per_server
                .unwrap_or(max_connections)
                .min(max_connections),
            max_races_per_server: pool_limits
                .max_concurrent_dials
                .unwrap_or(defaults.max_races_per_server),
            slow_start_dials_per_s: pool_limits
                .slow_start_dials_per_s
                .unwrap_or(defaults.slow_start_dials_per_s),
            dial_ahead: pool_limits.dial_ahead,
            dial_timeout_ms: as_ms(config.dial_timeout),
            idle_timeout_ms: as_ms(config.idle_timeout),
        };
        Rc::new(Self {
            pool: RefCell::new(Pool::new(limits)),
            idle_connections: RefCell::default(),
            pending_checkouts: RefCell::default(),
            dials: RefCell::default(),
            table: RefCell::default(),
            address_owners: RefCell::default(),
            configured_addresses: RefCell::new(configured_addresses),
            timer: Timer::new(),
            slow_start_ms: config.settings.slow_start_ms,
            drain_grace: config.drain_grace,
            clock,
            metrics,
            start_times: RefCell::default(),
            memory: Rc::new(NodeMemory::new(
                config.limits,
                config.cached_endpoints.instances.len(),
            )),
        })
    }

    /// The memory budgets of the node.
    #[must_use]
    pub fn memory(&self) -> Rc<NodeMemory> {
        Rc::clone(&self.memory)
    }

    fn now_ms(&self) -> f64 {
        self.clock.now_ms()
    }

    /// Applies an update of the endpoint list. Idle connections to a server that moved, restarted or drains are
    /// closed. Returns the displaced servers, whose addresses all belong to other servers now (an address belongs to
    /// the server that started last). Requests for a displaced server must not reach its successor.
    pub fn update(self: &Rc<Self>, endpoints: &[(ServerId, &Endpoint)]) -> Vec<ServerId> {
        let mut changed = BTreeSet::new();
        for (server, endpoint) in endpoints {
            self.update_server(*server, endpoint, &mut changed);
        }
        let resolved = self.address_owners.borrow().resolve(changed);
        self.update_routes(&resolved.rerouted);
        resolved
            .displaced
            .into_iter()
            .map(|displaced| ServerId(displaced.0))
            .collect()
    }

    /// Updates one table entry and claims its addresses. Adds the servers whose routes may have changed to `changed`.
    fn update_server(
        self: &Rc<Self>,
        server: ServerId,
        endpoint: &Endpoint,
        changed: &mut BTreeSet<ServerKey>,
    ) {
        let key = ServerKey(server.0);
        let is_ready = endpoint.lifecycle == Lifecycle::Ready;
        let previous = self.table.borrow_mut().remove(&server);
        let listed_address = endpoint.address.or(previous
            .as_ref()
            .and_then(|previous| previous.listed_address));
        let drain_deadline = (!is_ready).then(|| {
            previous
                .as_ref()
                .and_then(|previous| previous.drain_deadline)
                .unwrap_or_else(|| Instant::now() + self.drain_grace)
        });
        let entry = Server {
            endpoint: endpoint.clone(),
            listed_address,
            drain_deadline,
        };
        self.table.borrow_mut().insert(server, entry);
        let routes = routes(
            &self.configured_addresses.borrow(),
            endpoint,
            listed_address,
        );
        self.address_owners.borrow_mut().claim(
            key,
            routes,
            endpoint.started_at_ms,
            is_ready,
            changed,
        );
        let has_restarted = previous.is_some_and(|previous| {
            previous.endpoint.started_at_ms.to_bits() != endpoint.started_at_ms.to_bits()
        });
        if !is_ready || has_restarted {
            self.close_idle(server);
        }
        let started_at_ms = self.started_at_ms(endpoint);
        if let Some(started_at_ms) = started_at_ms.filter(|_| self.slow_start_ms > 0.0) {
            let warm_up_ends_at_ms = started_at_ms + self.slow_start_ms;
            self.with_pool(|pool, _, _| pool.set_warming_up(key, warm_up_ends_at_ms));
        }
    }

    fn update_routes(self: &Rc<Self>, servers: &BTreeSet<ServerKey>) {
        for server in servers {
            let routes = self.address_owners.borrow().routes(*server);
            self.with_pool(|pool, now_ms, actions| {
                pool.update_routes(now_ms, *server, routes, actions);
            });
        }
    }

    /// Replaces the configured addresses. If they differ from the previous ones, returns all known endpoints, whose
    /// routes may have changed, so that the caller passes them to [`Servers::update`].
    #[must_use]
    pub fn set_configured_addresses(&self, configured: ConfiguredAddresses) -> Vec<Endpoint> {
        if *self.configured_addresses.borrow() == configured {
            return Vec::new();
        }
        *self.configured_addresses.borrow_mut() = configured;
        self.table
            .borrow()
            .values()
            .map(|server| server.endpoint.clone())
            .collect()
    }

    /// Removes a server. New attempts cannot reach it, and its connections in use are closed after their responses.
    pub fn remove(self: &Rc<Self>, server: ServerId) {
        let key = ServerKey(server.0);
        let removed = self.table.borrow_mut().remove(&server);
        if let Some(removed) = removed {
            self.start_times.borrow_mut().remove(&removed.endpoint.id);
        }
        self.with_pool(|pool, now_ms, actions| pool.remove_server(now_ms, key, actions));
        let changed = self.address_owners.borrow_mut().remove(key);
        self.update_routes(&changed);
    }

    /// The name of a server, for log lines. It is looked up when it is displayed.
    #[must_use]
    pub fn label(&self, server: ServerId) -> ServerLabel<'_> {
        ServerLabel {
            servers: self,
            server,
        }
    }

    /// The time at which a server started, on the node's clock; `None` for long ago.
    pub fn started_at_ms(&self, endpoint: &Endpoint) -> Option<f64> {
        (endpoint.started_at_ms > 0.0).then(|| {
            self.start_times.borrow_mut().monotonic_start_ms(
                &endpoint.id,
                endpoint.started_at_ms,
                self.clock.read_both(),
            )
        })
    }

    /// Records the wall clock, so that a step is known before a server that starts after it is listed. Called at short
    /// intervals.
    pub fn observe_wall_clock(&self) {
        self.start_times
            .borrow_mut()
            .observe(self.clock.read_both());
    }

    /// Whether a request to a server may start now: the server is known and, if it drains, its grace period has not
    /// ended.
    fn accepts_requests(&self, server: ServerId) -> bool {
        self.table.borrow().get(&server).is_some_and(|server| {
            server
                .drain_deadline
                .is_none_or(|deadline| Instant::now() < deadline)
        })
    }
}

#[cfg(test)]
mod tests;
