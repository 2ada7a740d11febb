//! Dial races: dialing the addresses of a server one stagger apart until one connects (RFC 8305).
//!
//! A race belongs to the checkout for which it was started. If that checkout gets another connection or is
//! canceled, the race continues for another checkout or for none: the server has already spent work on the
//! handshake.

use std::collections::VecDeque;

use crate::action::{Action, CheckoutError, CheckoutId, ConnectionId, DialId, RouteId, ServerKey};
use crate::pool::Pool;
use crate::route_health::RouteState;
use crate::server::{IdleConnection, ServerState};

/// Delay between two dials of a race, in milliseconds, as recommended by RFC 8305, section 5.
const STAGGER_MS: f64 = 250.0;
/// Delay after a dial that tests an address after its backoff, in milliseconds: short, because the test must
/// not slow down a request.
const TRIAL_STAGGER_MS: f64 = 20.0;

/// A dial that has not finished.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingDial {
    pub dial: DialId,
    pub route: RouteId,
    pub started_ms: f64,
}

/// Dials that compete to connect for one checkout.
#[derive(Debug)]
pub(crate) struct DialRace {
    /// The checkout that the race runs for; `None` if no checkout waits for it.
    pub checkout: Option<CheckoutId>,
    /// Routes that have not been dialed yet, in dial order.
    pub remaining: VecDeque<RouteId>,
    pub dials: Vec<OutstandingDial>,
    /// Time at which the next route is dialed, in milliseconds.
    pub next_dial_ms: f64,
    pub deadline_ms: f64,
}

impl DialRace {
    fn is_over(&self, now_ms: f64) -> bool {
        now_ms >= self.deadline_ms || (self.remaining.is_empty() && self.dials.is_empty())
    }

    /// Returns the time at which the race next has to be processed, in milliseconds.
    pub fn next_wake_ms(&self) -> f64 {
        if self.remaining.is_empty() {
            self.deadline_ms
        } else {
            self.next_dial_ms.min(self.deadline_ms)
        }
    }
}

impl Pool {
    /// Reports that a dial has connected. Returns whether the pool uses the connection: if so, an
    /// [`Action::Grant`] or [`Action::KeepIdle`] contains its identifier, otherwise the caller closes it.
    #[must_use]
    pub fn dial_succeeded(&mut self, now_ms: f64, dial: DialId, actions: &mut Vec<Action>) -> bool {
        let Some((server, race_index, finished)) = self.remove_dial(dial) else {
            return false;
        };
        let Some(state) = self.servers.get_mut(&server) else {
            return false;
        };
        state.record_dial_success(server, finished.route, actions);
        let race = state.races.remove(race_index);
        // A route that has not connected within a stagger, while another one has, is slow or a black hole.
        for outstanding in &race.dials {
            if now_ms - outstanding.started_ms >= STAGGER_MS {
                state.record_dial_failure(now_ms, server, outstanding.route, actions);
            }
        }
        let race_checkout = race.checkout;
        self.abort_race(race, actions);
        let connection = ConnectionId(self.next_id());
        self.assign_new_connection(
            now_ms,
            server,
            connection,
            finished.route,
            race_checkout,
            actions,
        );
        self.serve_checkouts(now_ms, server, actions);
        true
    }

    /// Reports that a dial has failed. The next route is dialed immediately.
    pub fn dial_failed(&mut self, now_ms: f64, dial: DialId, actions: &mut Vec<Action>) {
        let Some((server, race_index, finished)) = self.remove_dial(dial) else {
            return;
        };
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        self.open_connections -= 1;
        state.record_dial_failure(now_ms, server, finished.route, actions);
        state.races[race_index].next_dial_ms = now_ms;
        self.serve_checkouts(now_ms, server, actions);
    }

    /// Removes a finished dial from its race; returns the server, the race's index and the dial.
    fn remove_dial(&mut self, dial: DialId) -> Option<(ServerKey, usize, OutstandingDial)> {
        let server = self.dials.remove(&dial)?;
        let state = self.servers.get_mut(&server)?;
        for (race_index, race) in state.races.iter_mut().enumerate() {
            if let Some(index) = race
                .dials
                .iter()
                .position(|outstanding| outstanding.dial == dial)
            {
                return Some((server, race_index, race.dials.remove(index)));
            }
        }
        None
    }

    /// Grants a new connection to the first pending checkout that may use its route, or keeps it idle.
    /// `race_checkout` is the checkout that the connection's race ran for.
    fn assign_new_connection(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        connection: ConnectionId,
        route: RouteId,
        race_checkout: Option<CheckoutId>,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        if let Some(pending) = state.pending_mut(race_checkout) {
            // The race of this checkout has ended. If the connection is granted to another checkout with a
            // race, that race can be reassigned to this one.
            pending.has_race = false;
        }
        let receiver = state
            .pending
            .iter()
            .position(|pending| !pending.avoid.contains(&route));
        if let Some(pending) = receiver.and_then(|index| state.pending.remove(index)) {
            self.grant(server, pending.checkout, connection, route, actions);
            return;
        }
        state.idle.push(IdleConnection {
            connection,
            route,
            since_ms: now_ms,
        });
        actions.push(Action::KeepIdle { connection });
    }

    /// Aborts the outstanding dials of a race that has been removed from its server.
    pub(crate) fn abort_race(&mut self, race: DialRace, actions: &mut Vec<Action>) {
        for OutstandingDial { dial, route, .. } in race.dials {
            let server = self.dials.remove(&dial);
            let state = server.and_then(|server| self.servers.get_mut(&server));
            if let Some(entry) = state.and_then(|state| state.route_mut(route)) {
                entry.health.abort_trial();
            }
            self.open_connections -= 1;
            actions.push(Action::AbortDial { dial });
        }
    }

    /// Detaches the race of a checkout that was granted another connection or canceled. The race continues
    /// for a pending checkout that has no race, or without a checkout.
    pub(crate) fn release_race(&mut self, server: ServerKey, checkout: CheckoutId) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let index = state
            .races
            .iter()
            .position(|race| race.checkout == Some(checkout));
        let Some(index) = index else { return };
        let successor = state
            .pending
            .iter_mut()
            .find(|pending| !pending.has_race && pending.checkout != checkout);
        let race = &mut state.races[index];
        if let Some(successor) = successor {
            successor.has_race = true;
            race.checkout = Some(successor.checkout);
        } else if race.dials.is_empty() {
            state.races.remove(index);
        } else {
            // The server has spent work on the outstanding dials, so they continue for the next checkout. No
            // further route is dialed.
            race.checkout = None;
            race.remaining.clear();
        }
    }

    /// Starts the dials that are due in the races of a server, and ends races without routes or time left.
    pub(crate) fn run_races(&mut self, now_ms: f64, server: ServerKey, actions: &mut Vec<Action>) {
        let mut index = 0;
        while let Some(state) = self.servers.get_mut(&server) {
            let Some(race) = state.races.get(index) else {
                return;
            };
            if race.is_over(now_ms) {
                self.end_race(now_ms, server, index, actions);
            } else if now_ms >= race.next_dial_ms && !race.remaining.is_empty() {
                self.dial_next(now_ms, server, index, actions);
                // The same race is checked again: it is over if it has no routes and no dials left.
            } else {
                index += 1;
            }
        }
    }

    /// Ends a race that has not connected, and fails its checkout.
    fn end_race(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let race = state.races.remove(index);
        for dial in &race.dials {
            state.record_dial_failure(now_ms, server, dial.route, actions);
        }
        let checkout = race.checkout;
        self.abort_race(race, actions);
        if let Some(checkout) = checkout.filter(|checkout| self.checkouts.contains_key(checkout)) {
            self.fail(server, checkout, CheckoutError::Unreachable, actions);
        }
    }

    fn dial_next(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let is_at_limit = self.open_connections >= self.limits.max_connections;
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let race = &mut state.races[index];
        if is_at_limit {
            // No idle connection is closed for a further dial of a race. A race without an outstanding dial
            // ends; another one tries again after a stagger.
            if race.dials.is_empty() {
                race.remaining.clear();
            }
            race.next_dial_ms = now_ms + STAGGER_MS;
            return;
        }
        let Some(route) = race.remaining.pop_front() else {
            return;
        };
        let Some(entry) = state.routes.iter_mut().find(|entry| entry.id == route) else {
            return;
        };
        let is_trial = entry.health.state(now_ms) == RouteState::TrialDue;
        if is_trial {
            entry.health.begin_trial();
        }
        let address = entry.route.clone();
        self.next_id += 1;
        let dial = DialId(self.next_id);
        race.dials.push(OutstandingDial {
            dial,
            route,
            started_ms: now_ms,
        });
        race.next_dial_ms = now_ms
            + if is_trial {
                TRIAL_STAGGER_MS
            } else {
                STAGGER_MS
            };
        actions.push(Action::Dial {
            dial,
            server,
            route: address,
        });
        self.dials.insert(dial, server);
        self.open_connections += 1;
    }

    /// Assigns or starts a race for each pending checkout that needs one, as far as the limits allow.
    pub(crate) fn start_races(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        actions: &mut Vec<Action>,
    ) {
        loop {
            let limits = self.limits;
            let Some(state) = self.servers.get_mut(&server) else {
                return;
            };
            if state.races.len() >= limits.max_races_per_server
                || !state.may_dial(now_ms, limits.slow_start_dials_per_s)
            {
                return;
            }
            let Some(dial_need) = next_dial_need(state, now_ms, limits.dial_ahead) else {
                return;
            };
            if assign_existing_race(state, now_ms, &dial_need) {
                continue;
            }
            if !self.ensure_capacity(server, actions) {
                let Some(checkout) = dial_need.checkout else {
                    return;
                };
                self.fail(server, checkout, CheckoutError::LimitReached, actions);
                continue;
            }
            if let Some(state) = self.servers.get_mut(&server) {
                let remaining = state.dial_order(now_ms, &dial_need.avoid).into();
                state.take_dial_token();
                if let Some(pending) = state.pending_mut(dial_need.checkout) {
                    pending.has_race = true;
                }
                state.races.push(DialRace {
                    checkout: dial_need.checkout,
                    remaining,
                    dials: Vec::new(),
                    next_dial_ms: now_ms,
                    deadline_ms: now_ms + limits.dial_timeout_ms,
                });
            }
            self.run_races(now_ms, server, actions);
        }
    }
}

/// The need to dial a connection: for a checkout, or ahead of a rising load.
struct DialNeed {
    /// `None` for a dial ahead of a rising load.
    checkout: Option<CheckoutId>,
    /// Routes that the connection must not use.
    avoid: Vec<RouteId>,
}

/// Returns the need of the first pending checkout that no idle connection can serve, or of a dial ahead of a
/// rising load.
fn next_dial_need(state: &ServerState, now_ms: f64, dial_ahead: bool) -> Option<DialNeed> {
    let usable_idle_count = |avoid: &[RouteId]| {
        state
            .idle
            .iter()
            .filter(|idle| !avoid.contains(&idle.route))
            .count()
    };
    let unserved = state
        .pending
        .iter()
        .enumerate()
        .filter(|(_, pending)| !pending.has_race)
        .find(|(position, pending)| *position >= usable_idle_count(&pending.avoid));
    if let Some((_, pending)) = unserved {
        return Some(DialNeed {
            checkout: Some(pending.checkout),
            avoid: pending.avoid.clone(),
        });
    }
    let is_dial_ahead_due =
        dial_ahead && !state.routes.is_empty() && state.should_dial_ahead(now_ms);
    is_dial_ahead_due.then(|| DialNeed {
        checkout: None,
        avoid: Vec::new(),
    })
}

/// Assigns a race without a checkout, if there is one, to the checkout that needs a connection, in place of
/// a new race. Returns whether it did.
fn assign_existing_race(state: &mut ServerState, now_ms: f64, dial_need: &DialNeed) -> bool {
    if dial_need.checkout.is_none() {
        return false;
    }
    let mut remaining: VecDeque<RouteId> = state.dial_order(now_ms, &dial_need.avoid).into();
    let unassigned = state.races.iter_mut().find(|race| {
        race.checkout.is_none()
            && race
                .dials
                .iter()
                .all(|dial| !dial_need.avoid.contains(&dial.route))
    });
    let Some(race) = unassigned else { return false };
    remaining.retain(|route| race.dials.iter().all(|dial| dial.route != *route));
    race.checkout = dial_need.checkout;
    race.remaining = remaining;
    if let Some(pending) = state.pending_mut(dial_need.checkout) {
        pending.has_race = true;
    }
    true
}
