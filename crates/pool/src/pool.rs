//! The pool: its servers, routes and timer.
//!
//! Owns all identifiers and the total of open connections. Invariant: that total is the number of idle
//! connections, connections in use and outstanding dials, and never exceeds the limit.

use std::collections::{BTreeSet, HashMap};

use crate::action::{Action, CheckoutError, CheckoutId, ConnectionId, DialId, RouteId, ServerKey};
use crate::address::{connection_order, Route};
use crate::limits::{Limits, MAX_ADDRESSES};
use crate::server::{InUse, RouteEntry, ServerState};

/// A route and its number of consecutive failures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteStatus {
    /// The route.
    pub route: Route,
    /// Number of consecutive failures.
    pub failures: u32,
}

/// Connections to all servers. See the [crate] documentation.
#[derive(Debug)]
pub struct Pool {
    pub(crate) limits: Limits,
    pub(crate) servers: HashMap<ServerKey, ServerState>,
    pub(crate) in_use: HashMap<ConnectionId, InUse>,
    pub(crate) dials: HashMap<DialId, ServerKey>,
    pub(crate) checkouts: HashMap<CheckoutId, ServerKey>,
    /// Servers with a race or a pending checkout.
    active: BTreeSet<ServerKey>,
    pub(crate) open_connections: usize,
    pub(crate) next_id: u64,
    wake_at_ms: f64,
}

impl Pool {
    /// Creates a pool without servers.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            servers: HashMap::new(),
            in_use: HashMap::new(),
            dials: HashMap::new(),
            checkouts: HashMap::new(),
            active: BTreeSet::new(),
            open_connections: 0,
            next_id: 0,
            wake_at_ms: f64::INFINITY,
        }
    }

    /// Returns the number of connections that are open or being dialed.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// Returns the routes of a server in the order in which they would be dialed now.
    #[must_use]
    pub fn route_statuses(&self, now_ms: f64, server: ServerKey) -> Vec<RouteStatus> {
        let Some(state) = self.servers.get(&server) else {
            return Vec::new();
        };
        state
            .dial_order(now_ms, &[])
            .into_iter()
            .filter_map(|id| state.routes.iter().find(|entry| entry.id == id))
            .map(|entry| RouteStatus {
                route: entry.route.clone(),
                failures: entry.health.failures(),
            })
            .collect()
    }

    /// Returns the route of a connection in use.
    #[must_use]
    pub fn route_of(&self, connection: ConnectionId) -> Option<RouteId> {
        self.in_use.get(&connection).map(|in_use| in_use.route)
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Sets the routes of a server, which is added if it is unknown.
    ///
    /// Idle connections over routes that are no longer listed are closed; connections in use are closed
    /// when they are checked in. The health and idle timeout of an address are kept while it is listed.
    pub fn update_routes(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        routes: Vec<Route>,
        actions: &mut Vec<Action>,
    ) {
        let incarnation = self.next_id();
        let state = self
            .servers
            .entry(server)
            .or_insert_with(|| ServerState::new(incarnation));
        if state.routes.iter().map(|entry| &entry.route).eq(&routes) {
            return;
        }
        let previous = std::mem::take(&mut state.routes);
        let previous_ids: Vec<RouteId> = previous.iter().map(|entry| entry.id).collect();
        let entries = self.route_entries(previous, routes);
        if let Some(state) = self.servers.get_mut(&server) {
            state.routes = entries;
        }
        self.close_unlisted_idle(server, actions);
        self.update_races(now_ms, server, &previous_ids, actions);
        self.serve_checkouts(now_ms, server, actions);
    }

    /// Builds the entries of `routes` in dial order, with the state of the addresses that are in `previous`.
    fn route_entries(
        &mut self,
        mut previous: Vec<RouteEntry>,
        routes: Vec<Route>,
    ) -> Vec<RouteEntry> {
        let mut distinct: Vec<Route> = Vec::new();
        for route in routes {
            if distinct.iter().all(|other| other.address != route.address) {
                distinct.push(route);
            }
        }
        let mut entries = Vec::with_capacity(distinct.len().min(MAX_ADDRESSES));
        for index in connection_order(&distinct).into_iter().take(MAX_ADDRESSES) {
            let route = distinct[index].clone();
            let previous_index = previous
                .iter()
                .position(|entry| entry.route.address == route.address);
            entries.push(if let Some(previous_index) = previous_index {
                RouteEntry {
                    route,
                    ..previous.remove(previous_index)
                }
            } else {
                let id = RouteId(self.next_id());
                RouteEntry::new(id, route, self.limits.idle_timeout_ms)
            });
        }
        entries
    }

    fn close_unlisted_idle(&mut self, server: ServerKey, actions: &mut Vec<Action>) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let routes = &state.routes;
        let mut closed = 0;
        state.idle.retain(|idle| {
            let is_listed = routes.iter().any(|entry| entry.id == idle.route);
            if !is_listed {
                closed += 1;
                actions.push(Action::Close {
                    connection: idle.connection,
                });
            }
            is_listed
        });
        self.open_connections -= closed;
    }

    /// Removes unlisted routes from the races of a server, and adds the new ones.
    fn update_races(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        previous_ids: &[RouteId],
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let routes = &state.routes;
        let is_listed = |id: RouteId| routes.iter().any(|entry| entry.id == id);
        let mut aborted = 0;
        for race in &mut state.races {
            race.remaining.retain(|id| is_listed(*id));
            race.dials.retain(|outstanding| {
                let is_kept = is_listed(outstanding.route);
                if !is_kept {
                    aborted += 1;
                    self.dials.remove(&outstanding.dial);
                    actions.push(Action::AbortDial {
                        dial: outstanding.dial,
                    });
                }
                is_kept
            });
            // A checkout that waits for an unlisted route is dialed over the new ones instead.
            if race.checkout.is_some() {
                let new_ids = routes.iter().map(|entry| entry.id);
                race.remaining
                    .extend(new_ids.filter(|id| !previous_ids.contains(id)));
            }
            if race.dials.is_empty() {
                race.next_dial_ms = now_ms;
            }
        }
        self.open_connections -= aborted;
    }

    /// Marks a server as warming up until `until_ms`: its dials are limited to the slow-start rate.
    pub fn set_warming_up(&mut self, server: ServerKey, until_ms: f64) {
        let incarnation = self.next_id();
        self.servers
            .entry(server)
            .or_insert_with(|| ServerState::new(incarnation))
            .warming_up_until_ms = until_ms;
    }

    /// Removes a server: idle connections are closed, pending checkouts fail, and connections in use are
    /// closed when they are checked in.
    pub fn remove_server(&mut self, now_ms: f64, server: ServerKey, actions: &mut Vec<Action>) {
        self.close_idle(server, actions);
        let Some(state) = self.servers.remove(&server) else {
            return;
        };
        for race in state.races {
            self.abort_race(race, actions);
        }
        for pending in state.pending {
            let error = CheckoutError::NoRoute;
            self.fail(server, pending.checkout, error, actions);
        }
        self.active.remove(&server);
        self.schedule_wake(now_ms, actions);
    }

    /// Processes the races and deadlines that are due. Called at the time of [`Action::WakeAt`].
    pub fn handle_timer(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.wake_at_ms = f64::INFINITY;
        self.serve_active_servers(now_ms, actions);
        self.schedule_wake(now_ms, actions);
    }

    pub(crate) fn serve_active_servers(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        for server in self.active.clone() {
            self.serve_checkouts(now_ms, server, actions);
        }
    }

    /// Grants idle connections to the pending checkouts of a server, and dials connections for the others.
    pub(crate) fn serve_checkouts(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        actions: &mut Vec<Action>,
    ) {
        self.grant_idle(now_ms, server, actions);
        self.run_races(now_ms, server, actions);
        self.fail_overdue_checkouts(now_ms, server, actions);
        self.start_races(now_ms, server, actions);
        let is_active = self
            .servers
            .get(&server)
            .is_some_and(|state| !state.races.is_empty() || !state.pending.is_empty());
        if is_active {
            self.active.insert(server);
        } else {
            self.active.remove(&server);
        }
        self.schedule_wake(now_ms, actions);
    }

    fn schedule_wake(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let dials_per_s = self.limits.slow_start_dials_per_s;
        let max_races = self.limits.max_races_per_server;
        let next_ms = self
            .active
            .iter()
            .filter_map(|server| self.servers.get(server))
            .map(|state| state.next_wake_ms(now_ms, dials_per_s, max_races))
            .fold(f64::INFINITY, f64::min);
        // A time in the past belongs to a server that has not been processed yet.
        let next_ms = next_ms.max(now_ms);
        if next_ms < self.wake_at_ms || (next_ms.is_finite() && self.wake_at_ms <= now_ms) {
            self.wake_at_ms = next_ms;
            actions.push(Action::WakeAt(next_ms));
        }
    }
}
