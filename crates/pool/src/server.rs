//! State of one server in the pool: its routes, idle connections, pending checkouts and dial races.
//!
//! The methods leave the pool's totals unchanged, except [`ServerState::take_idle`], which updates the total
//! of open connections that it is given.

use std::collections::VecDeque;

use crate::action::{Action, CheckoutId, CloseReason, ConnectionId, RouteId, ServerKey};
use crate::address::Route;
use crate::dial::DialRace;
use crate::idle_timeout::IdleTimeout;
use crate::route_health::{RouteHealth, RouteState};

/// Capacity of the token bucket of dials to a server that is warming up, in dials; its refill rate is
/// [`Limits::slow_start_dials_per_s`](crate::Limits::slow_start_dials_per_s).
const SLOW_START_DIAL_BURST: f64 = 8.0;
/// Minimum wait for the next dial token, as a fraction of the time per dial.
const MIN_MISSING_TOKENS: f64 = 0.01;
/// Minimum refill rate of dial tokens, in dials per second, even if the configured limit is lower.
const MIN_SLOW_START_DIALS_PER_S: f64 = 0.1;
/// Half-life, in milliseconds, of the count of checkouts that had to wait, which indicates a rising load.
const RISING_LOAD_HALF_LIFE_MS: f64 = 100.0;
/// Minimum decayed count of checkouts that had to wait at which the load counts as rising.
const MIN_RISING_LOAD_WAITS: f64 = 4.0;
const MS_PER_S: f64 = 1e3;

/// A route of the server, with the state that is kept while its address is listed.
#[derive(Clone, Debug)]
pub(crate) struct RouteEntry {
    pub id: RouteId,
    pub route: Route,
    pub health: RouteHealth,
    pub idle_timeout: IdleTimeout,
    /// Whether the last report on the route was [`Action::RouteDown`].
    pub is_reported_down: bool,
}

impl RouteEntry {
    pub fn new(id: RouteId, route: Route, idle_timeout_ms: f64) -> Self {
        Self {
            id,
            route,
            health: RouteHealth::default(),
            idle_timeout: IdleTimeout::new(idle_timeout_ms),
            is_reported_down: false,
        }
    }
}

/// An idle connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleConnection {
    pub connection: ConnectionId,
    pub route: RouteId,
    pub since_ms: f64,
}

/// A connection in use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InUse {
    pub server: ServerKey,
    pub route: RouteId,
    /// [`ServerState::incarnation`] of the server that the connection belongs to.
    pub incarnation: u64,
}

/// A checkout that waits for a connection.
#[derive(Clone, Debug)]
pub(crate) struct PendingCheckout {
    pub checkout: CheckoutId,
    /// Time from which the checkout fails unless it has a dial race, in milliseconds.
    pub deadline_ms: f64,
    /// Whether a dial race is assigned to the checkout.
    pub has_race: bool,
    /// Routes that its connection must not use.
    pub avoid: Vec<RouteId>,
}

/// Token bucket of dials to a server that is warming up.
#[derive(Clone, Copy, Debug)]
struct DialTokenBucket {
    tokens: f64,
    updated_ms: f64,
}

/// A decaying count of checkouts that had to wait.
#[derive(Clone, Copy, Debug)]
struct WaitCount {
    count: f64,
    updated_ms: f64,
}

impl WaitCount {
    fn decayed(&self, now_ms: f64) -> f64 {
        self.count * (-(now_ms - self.updated_ms) / RISING_LOAD_HALF_LIFE_MS).exp2()
    }
}

/// State of one server.
#[derive(Debug)]
pub(crate) struct ServerState {
    /// Distinguishes servers that have had the same key, one after the other.
    pub incarnation: u64,
    /// Routes in dial order.
    pub routes: Vec<RouteEntry>,
    /// Idle connections, the one that became idle last at the end.
    pub idle: Vec<IdleConnection>,
    pub in_use: usize,
    pub pending: VecDeque<PendingCheckout>,
    pub races: Vec<DialRace>,
    pub warming_up_until_ms: f64,
    dial_tokens: DialTokenBucket,
    waits: WaitCount,
}

impl ServerState {
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            routes: Vec::new(),
            idle: Vec::new(),
            in_use: 0,
            pending: VecDeque::new(),
            races: Vec::new(),
            warming_up_until_ms: f64::NEG_INFINITY,
            dial_tokens: DialTokenBucket {
                tokens: SLOW_START_DIAL_BURST,
                updated_ms: f64::NEG_INFINITY,
            },
            waits: WaitCount {
                count: 0.0,
                updated_ms: f64::NEG_INFINITY,
            },
        }
    }

    pub fn begin_use(&mut self, server: ServerKey, route: RouteId) -> InUse {
        self.in_use += 1;
        InUse {
            server,
            route,
            incarnation: self.incarnation,
        }
    }

    /// Returns the number of connections that are open or being dialed.
    pub fn open_connections(&self) -> usize {
        let dials: usize = self.races.iter().map(|race| race.dials.len()).sum();
        self.idle.len() + self.in_use + dials
    }

    pub fn has_route(&self, route: RouteId) -> bool {
        self.routes.iter().any(|entry| entry.id == route)
    }

    pub fn route_mut(&mut self, route: RouteId) -> Option<&mut RouteEntry> {
        self.routes.iter_mut().find(|entry| entry.id == route)
    }

    pub fn pending_mut(&mut self, checkout: Option<CheckoutId>) -> Option<&mut PendingCheckout> {
        self.pending
            .iter_mut()
            .find(|pending| Some(pending.checkout) == checkout)
    }

    pub fn remove_pending(&mut self, checkout: CheckoutId) {
        self.pending.retain(|pending| pending.checkout != checkout);
    }

    /// Updates the route's health or idle timeout after a connection was closed. `idle_ms` is how long the
    /// connection had been idle, if it was.
    pub fn record_close(
        &mut self,
        now_ms: f64,
        route: RouteId,
        reason: CloseReason,
        idle_ms: Option<f64>,
    ) {
        match (reason, idle_ms) {
            (CloseReason::UnsolicitedBytes | CloseReason::Broken, _) => {
                if let Some(entry) = self.route_mut(route) {
                    entry.health.record_failure(now_ms);
                }
            }
            (CloseReason::ByPeer, Some(idle_ms)) => {
                if let Some(entry) = self.route_mut(route) {
                    entry.idle_timeout.record_peer_close(now_ms, idle_ms);
                }
            }
            (CloseReason::ByPeer, None) | (CloseReason::Finished, _) => {}
        }
    }

    pub fn record_dial_failure(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        route: RouteId,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.route_mut(route) else {
            return;
        };
        entry.health.record_failure(now_ms);
        if !std::mem::replace(&mut entry.is_reported_down, true) {
            let route = entry.route.clone();
            actions.push(Action::RouteDown { server, route });
        }
    }

    pub fn record_dial_success(
        &mut self,
        server: ServerKey,
        route: RouteId,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.route_mut(route) else {
            return;
        };
        entry.health.record_success();
        if std::mem::take(&mut entry.is_reported_down) {
            let route = entry.route.clone();
            actions.push(Action::RouteUp { server, route });
        }
    }

    /// Returns the routes that are not in `avoid` in dial order, those that are backing off last.
    pub fn dial_order(&self, now_ms: f64, avoid: &[RouteId]) -> Vec<RouteId> {
        let is_backing_off =
            |entry: &&RouteEntry| entry.health.state(now_ms) == RouteState::BackingOff;
        let allowed = || {
            self.routes
                .iter()
                .filter(|entry| !avoid.contains(&entry.id))
        };
        let available = allowed().filter(|entry| !is_backing_off(entry));
        available
            .chain(allowed().filter(is_backing_off))
            .map(|entry| entry.id)
            .collect()
    }

    /// Takes an idle connection: the one that became idle last, over the first route in order that has any.
    /// Expired connections found on the way are closed.
    pub fn take_idle(
        &mut self,
        now_ms: f64,
        avoid: &[RouteId],
        open_connections: &mut usize,
        actions: &mut Vec<Action>,
    ) -> Option<IdleConnection> {
        loop {
            let index = self.best_idle(avoid)?;
            let idle = self.idle.remove(index);
            if !self.is_expired(&idle, now_ms) {
                return Some(idle);
            }
            *open_connections -= 1;
            actions.push(Action::Close {
                connection: idle.connection,
            });
        }
    }

    fn best_idle(&self, avoid: &[RouteId]) -> Option<usize> {
        let mut best: Option<(usize, usize)> = None;
        for (index, idle) in self.idle.iter().enumerate().rev() {
            if avoid.contains(&idle.route) {
                continue;
            }
            let rank = self
                .routes
                .iter()
                .position(|entry| entry.id == idle.route)
                .unwrap_or(usize::MAX);
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, index));
            }
            if rank == 0 {
                break;
            }
        }
        best.map(|(_, index)| index)
    }

    /// Whether an idle connection has been idle for too long, or its route is no longer listed.
    pub fn is_expired(&self, idle: &IdleConnection, now_ms: f64) -> bool {
        is_expired(&self.routes, idle, now_ms)
    }

    /// Refills the dial tokens and returns whether the server may be dialed. Only a server that is warming up
    /// is limited, because each connection costs it work.
    pub fn may_dial(&mut self, now_ms: f64, dials_per_s: f64) -> bool {
        if now_ms >= self.warming_up_until_ms {
            return true;
        }
        let DialTokenBucket { tokens, updated_ms } = self.dial_tokens;
        let refilled = if updated_ms.is_finite() {
            (now_ms - updated_ms).max(0.0) * dials_per_s.max(MIN_SLOW_START_DIALS_PER_S) / MS_PER_S
        } else {
            0.0
        };
        self.dial_tokens = DialTokenBucket {
            tokens: (tokens + refilled).min(SLOW_START_DIAL_BURST),
            updated_ms: now_ms,
        };
        self.dial_tokens.tokens >= 1.0
    }

    pub fn take_dial_token(&mut self) {
        self.dial_tokens.tokens -= 1.0;
    }

    pub fn record_wait(&mut self, now_ms: f64) {
        self.waits = WaitCount {
            count: self.waits.decayed(now_ms) + 1.0,
            updated_ms: now_ms,
        };
    }

    /// Whether one connection more than needed should be dialed because the load rises.
    pub fn should_dial_ahead(&self, now_ms: f64) -> bool {
        self.waits.decayed(now_ms) >= MIN_RISING_LOAD_WAITS
            && now_ms >= self.warming_up_until_ms
            && self.idle.is_empty()
            && self.races.iter().all(|race| race.checkout.is_some())
    }

    /// Returns the time at which this server next has to be processed, in milliseconds; infinity for never.
    pub fn next_wake_ms(&self, now_ms: f64, dials_per_s: f64, max_races: usize) -> f64 {
        let next_race_ms = self
            .races
            .iter()
            .map(DialRace::next_wake_ms)
            .fold(f64::INFINITY, f64::min);
        next_race_ms
            .min(self.next_deadline_ms(now_ms))
            .min(self.next_allowed_dial_ms(now_ms, dials_per_s, max_races))
    }

    /// Returns the next deadline of a pending checkout. The queue is in the order of the deadlines.
    fn next_deadline_ms(&self, now_ms: f64) -> f64 {
        self.pending
            .iter()
            .map(|pending| pending.deadline_ms)
            .find(|deadline_ms| *deadline_ms > now_ms)
            .unwrap_or(f64::INFINITY)
    }

    /// Returns when a server that is warming up may be dialed again if a checkout waits for that, otherwise
    /// infinity.
    fn next_allowed_dial_ms(&self, now_ms: f64, dials_per_s: f64, max_races: usize) -> f64 {
        let is_throttled = now_ms < self.warming_up_until_ms
            && self.pending.len() > self.races.len()
            && self.races.len() < max_races;
        if !is_throttled {
            return f64::INFINITY;
        }
        let missing_tokens = (1.0 - self.dial_tokens.tokens).max(MIN_MISSING_TOKENS);
        now_ms + missing_tokens * MS_PER_S / dials_per_s.max(MIN_SLOW_START_DIALS_PER_S)
    }
}

/// Whether an idle connection has been idle for too long, or its route is no longer listed.
pub(crate) fn is_expired(routes: &[RouteEntry], idle: &IdleConnection, now_ms: f64) -> bool {
    routes
        .iter()
        .find(|entry| entry.id == idle.route)
        .is_none_or(|entry| now_ms - idle.since_ms >= entry.idle_timeout.timeout_ms(now_ms))
}
