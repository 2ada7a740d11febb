//! Checkouts of connections from the pool, and checked-out connections.

use std::rc::Rc;

use balancer::ServerId;
use pool::{
    recovery, Checkout, CheckoutError, CheckoutId, CloseReason, ConnectionAge, ConnectionId,
    Recovery, RouteId, ServerKey,
};
use tokio::sync::oneshot;

use super::idle::PooledConnection;
use super::Servers;
use crate::node::upstream::{AttemptOutcome, Exchange, ServerConnection};

/// The result of a checkout, as it is sent to the attempt that waits for it.
pub(super) type CheckoutResult = Result<CheckedOutConnection, CheckoutError>;

impl Servers {
    /// Checks out a connection on a route that is not excluded: an idle one or, if there is none, the first one that
    /// is checked in or dialed. Cancel safe: a connection granted to a dropped checkout is returned to the pool.
    pub(super) async fn check_out(
        self: &Rc<Self>,
        server: ServerId,
        excluded_routes: &[RouteId],
    ) -> CheckoutResult {
        let checkout = self.with_pool(|pool, now_ms, actions| {
            pool.check_out(now_ms, ServerKey(server.0), excluded_routes, actions)
        });
        match checkout {
            Checkout::Ready(connection) => self
                .take_granted(connection, &mut None)
                .ok_or(CheckoutError::NoRoute),
            Checkout::Pending(checkout) => {
                let (sender, receiver) = oneshot::channel();
                self.pending_checkouts.borrow_mut().insert(checkout, sender);
                PendingCheckout {
                    servers: self,
                    checkout,
                    receiver,
                }
                .result()
                .await
            }
            Checkout::Failed(error) => Err(error),
        }
    }

    /// Takes the socket of a connection that the pool has granted: an idle one or the one that has just been dialed.
    pub(super) fn take_granted(
        self: &Rc<Self>,
        id: ConnectionId,
        dialed: &mut Option<ServerConnection>,
    ) -> Option<CheckedOutConnection> {
        let idle = self.idle_connections.borrow_mut().remove(&id);
        let socket = idle.or_else(|| {
            let connection = dialed.take()?;
            Some(PooledConnection {
                connection,
                idle_since_ms: self.now_ms(),
                age: ConnectionAge::New,
            })
        })?;
        Some(CheckedOutConnection {
            servers: Rc::clone(self),
            id,
            socket: Some(socket),
            has_begun_exchange: false,
        })
    }

    /// Sends the result of a checkout to the attempt that waits for it. If the attempt no longer exists, the
    /// connection is dropped, which returns it to the pool.
    pub(super) fn complete_checkout(&self, checkout: CheckoutId, result: CheckoutResult) {
        let sender = self.pending_checkouts.borrow_mut().remove(&checkout);
        if let Some(sender) = sender {
            let _ = sender.send(result);
        }
    }
}

/// A checkout that waits for a connection. Dropping it cancels the checkout.
struct PendingCheckout<'a> {
    servers: &'a Rc<Servers>,
    checkout: CheckoutId,
    receiver: oneshot::Receiver<CheckoutResult>,
}

impl PendingCheckout<'_> {
    async fn result(mut self) -> CheckoutResult {
        (&mut self.receiver)
            .await
            .unwrap_or(Err(CheckoutError::NoRoute))
    }
}

impl Drop for PendingCheckout<'_> {
    fn drop(&mut self) {
        self.servers
            .pending_checkouts
            .borrow_mut()
            .remove(&self.checkout);
        self.servers
            .with_pool(|pool, now_ms, actions| pool.cancel(now_ms, self.checkout, actions));
    }
}

/// The consequence of an exchange that failed before a response head arrived.
pub(super) struct FailedExchange {
    pub(super) recovery: Recovery,
    /// The route of the failed connection, if the pool still has the connection.
    pub(super) route: Option<RouteId>,
}

/// A connection that one attempt has checked out. If it is dropped before its exchange has begun, it is returned to
/// the pool. If it is dropped later, it is closed, since a part of a request or response may be pending on it.
pub(super) struct CheckedOutConnection {
    servers: Rc<Servers>,
    id: ConnectionId,
    /// `None` once it has been closed or checked in.
    socket: Option<PooledConnection>,
    has_begun_exchange: bool,
}

impl CheckedOutConnection {
    /// Performs one exchange. On failure, closes the connection and reports that to the pool.
    pub(super) async fn exchange(
        &mut self,
        exchange: Exchange<'_>,
    ) -> Result<AttemptOutcome, FailedExchange> {
        self.has_begun_exchange = true;
        let Some(socket) = &mut self.socket else {
            return Err(FailedExchange {
                recovery: Recovery::AnyConnection,
                route: None,
            });
        };
        let result = socket.connection.exchange(exchange).await;
        let age = socket.age;
        result.map_err(|error| {
            let recovery = recovery(age, error.bytes_sent, error.error);
            let route = self.servers.pool.borrow().route_of(self.id);
            match recovery {
                _ if error.has_unsolicited_bytes => self.close(CloseReason::UnsolicitedBytes),
                Recovery::AnyConnection => self.close_as_stale(CloseReason::ByPeer),
                Recovery::OtherAddress => self.close(CloseReason::Broken),
                Recovery::Reset | Recovery::Malformed => self.close(CloseReason::Finished),
            }
            FailedExchange { recovery, route }
        })
    }

    /// Ends the checkout after a response: returns the connection to the pool if it can be reused, and closes it
    /// otherwise.
    pub(super) fn finish(mut self, server: ServerId) {
        let close_reason = self
            .socket
            .as_mut()
            .and_then(|socket| socket.connection.close_reason());
        match close_reason {
            Some(reason) => self.close(reason),
            None if self.servers.is_draining(server) => self.close(CloseReason::Finished),
            None => self.check_in(),
        }
    }

    /// Closes a reused connection that turned out to be closed by its peer, and reports its idle time to the pool.
    fn close_as_stale(&mut self, reason: CloseReason) {
        let Some(socket) = self.socket.take() else {
            return;
        };
        let id = self.id;
        self.servers.with_pool(|pool, now_ms, actions| {
            pool.found_stale(now_ms, id, reason, now_ms - socket.idle_since_ms, actions);
        });
    }

    fn close(&mut self, reason: CloseReason) {
        let closed = self.socket.take();
        if closed.is_some() {
            let id = self.id;
            self.servers.with_pool(|pool, now_ms, actions| {
                pool.connection_closed(now_ms, id, reason, actions);
            });
        }
    }

    fn check_in(&mut self) {
        let Some(PooledConnection { connection, .. }) = self.socket.take() else {
            return;
        };
        self.servers.store_idle(self.id, connection);
        let id = self.id;
        self.servers
            .with_pool(|pool, now_ms, actions| pool.check_in(now_ms, id, actions));
    }
}

impl Drop for CheckedOutConnection {
    fn drop(&mut self) {
        if self.has_begun_exchange {
            self.close(CloseReason::Finished);
        } else {
            self.check_in();
        }
    }
}
