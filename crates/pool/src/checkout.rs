//! Checking connections out and in.

use crate::action::{
    Action, Checkout, CheckoutError, CheckoutId, CloseReason, ConnectionId, RouteId, ServerKey,
};
use crate::pool::Pool;
use crate::server::{IdleConnection, InUse, PendingCheckout};

impl Pool {
    /// Checks out a connection to a server over a route that is not in `avoid`.
    pub fn check_out(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        avoid: &[RouteId],
        actions: &mut Vec<Action>,
    ) -> Checkout {
        let Some(state) = self.servers.get_mut(&server) else {
            return Checkout::Failed(CheckoutError::NoRoute);
        };
        if state.pending.is_empty() {
            let idle = state.take_idle(now_ms, avoid, &mut self.open_connections, actions);
            if let Some(idle) = idle {
                let in_use = state.begin_use(server, idle.route);
                self.in_use.insert(idle.connection, in_use);
                return Checkout::Ready(idle.connection);
            }
        }
        if state.routes.iter().all(|entry| avoid.contains(&entry.id)) {
            return Checkout::Failed(CheckoutError::NoRoute);
        }
        if !self.ensure_capacity(server, actions) {
            return Checkout::Failed(CheckoutError::LimitReached);
        }
        let checkout = CheckoutId(self.next_id());
        self.checkouts.insert(checkout, server);
        if let Some(state) = self.servers.get_mut(&server) {
            state.pending.push_back(PendingCheckout {
                checkout,
                deadline_ms: now_ms + self.limits.dial_timeout_ms,
                has_race: false,
                avoid: avoid.to_vec(),
            });
            state.record_wait(now_ms);
        }
        self.serve_checkouts(now_ms, server, actions);
        Checkout::Pending(checkout)
    }

    /// Cancels a pending checkout. After a grant, the caller checks the connection in instead.
    pub fn cancel(&mut self, now_ms: f64, checkout: CheckoutId, actions: &mut Vec<Action>) {
        let Some(server) = self.checkouts.remove(&checkout) else {
            return;
        };
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        state.remove_pending(checkout);
        self.release_race(server, checkout);
        self.serve_checkouts(now_ms, server, actions);
    }

    /// Checks in a connection that has carried no exchange.
    pub fn check_in_unused(
        &mut self,
        now_ms: f64,
        connection: ConnectionId,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_use) = self.in_use.remove(&connection) else {
            return;
        };
        let mut state = self
            .servers
            .get_mut(&in_use.server)
            .filter(|state| state.incarnation == in_use.incarnation);
        if let Some(state) = &mut state {
            state.in_use -= 1;
        }
        let Some(state) = state.filter(|state| state.has_route(in_use.route)) else {
            self.open_connections -= 1;
            return actions.push(Action::Close { connection });
        };
        state.idle.push(IdleConnection {
            connection,
            route: in_use.route,
            since_ms: now_ms,
        });
        if !state.pending.is_empty() {
            self.serve_checkouts(now_ms, in_use.server, actions);
        }
    }

    /// Reports that a connection in use has ended and that the caller has closed it.
    pub fn connection_closed(
        &mut self,
        now_ms: f64,
        connection: ConnectionId,
        reason: CloseReason,
        actions: &mut Vec<Action>,
    ) {
        self.end_use(now_ms, connection, reason, None, actions);
    }

    /// Reports that a checked-out connection turned out to be closed, or to hold unsolicited bytes, before
    /// anything was written to it. It had been idle for `idle_ms`. The caller has closed it.
    pub fn found_stale(
        &mut self,
        now_ms: f64,
        connection: ConnectionId,
        reason: CloseReason,
        idle_ms: f64,
        actions: &mut Vec<Action>,
    ) {
        self.end_use(now_ms, connection, reason, Some(idle_ms), actions);
    }

    fn end_use(
        &mut self,
        now_ms: f64,
        connection: ConnectionId,
        reason: CloseReason,
        idle_ms: Option<f64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(InUse {
            server,
            route,
            incarnation,
        }) = self.in_use.remove(&connection)
        else {
            return;
        };
        self.open_connections -= 1;
        let state = self
            .servers
            .get_mut(&server)
            .filter(|state| state.incarnation == incarnation);
        let Some(state) = state else { return };
        state.in_use -= 1;
        state.record_close(now_ms, route, reason, idle_ms);
        self.serve_checkouts(now_ms, server, actions);
    }

    /// Grants idle connections to pending checkouts, the oldest checkout first.
    pub(crate) fn grant_idle(&mut self, now_ms: f64, server: ServerKey, actions: &mut Vec<Action>) {
        let mut index = 0;
        loop {
            let Some(state) = self.servers.get_mut(&server) else {
                return;
            };
            let Some(avoid) = state.pending.get(index).map(|next| next.avoid.clone()) else {
                return;
            };
            let idle = state.take_idle(now_ms, &avoid, &mut self.open_connections, actions);
            let Some(idle) = idle else {
                index += 1;
                continue;
            };
            let Some(pending) = state.pending.remove(index) else {
                return;
            };
            self.grant(
                server,
                pending.checkout,
                idle.connection,
                idle.route,
                actions,
            );
        }
    }

    /// Grants a connection to a checkout that has been removed from the queue.
    pub(crate) fn grant(
        &mut self,
        server: ServerKey,
        checkout: CheckoutId,
        connection: ConnectionId,
        route: RouteId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(state) = self.servers.get_mut(&server) {
            let in_use = state.begin_use(server, route);
            self.in_use.insert(connection, in_use);
        }
        self.checkouts.remove(&checkout);
        self.release_race(server, checkout);
        actions.push(Action::Grant {
            checkout,
            connection,
        });
    }

    /// Fails a pending checkout.
    pub(crate) fn fail(
        &mut self,
        server: ServerKey,
        checkout: CheckoutId,
        error: CheckoutError,
        actions: &mut Vec<Action>,
    ) {
        self.checkouts.remove(&checkout);
        if let Some(state) = self.servers.get_mut(&server) {
            state.remove_pending(checkout);
        }
        actions.push(Action::Fail { checkout, error });
    }

    /// Fails checkouts that have waited for the dial timeout without a race: another server may have a free
    /// connection.
    pub(crate) fn fail_overdue_checkouts(
        &mut self,
        now_ms: f64,
        server: ServerKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let checkouts = &mut self.checkouts;
        state.pending.retain(|pending| {
            let is_kept = now_ms < pending.deadline_ms || pending.has_race;
            if !is_kept {
                checkouts.remove(&pending.checkout);
                actions.push(Action::Fail {
                    checkout: pending.checkout,
                    error: CheckoutError::LimitReached,
                });
            }
            is_kept
        });
    }
}
