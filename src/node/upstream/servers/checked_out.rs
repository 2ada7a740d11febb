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
use crate::node::upstream::{AttemptOutcome, Exchange, ExchangeError, ServerConnection};

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

/// An exchange that failed before a response head arrived, and its consequence.
pub(super) struct FailedExchange {
    pub(super) error: ExchangeError,
    /// Whether the connection had been idle.
    pub(super) age: ConnectionAge,
    pub(super) recovery: Recovery,
    /// The route of the failed connection, if the pool still has the connection.
    pub(super) route: Option<RouteId>,
}

/// A connection that one attempt has checked out. If it is dropped before its exchange has begun, it is returned to
/// the pool.
pub(super) struct CheckedOutConnection {
    servers: Rc<Servers>,
    id: ConnectionId,
    /// `None` once the exchange has begun, which consumes it.
    socket: Option<PooledConnection>,
}

impl CheckedOutConnection {
    /// Performs the connection's only exchange, and reports the close of the connection to the pool.
    ///
    /// # Errors
    ///
    /// The exchange failed before a response head arrived.
    pub(super) async fn exchange(
        mut self,
        exchange: Exchange<'_>,
    ) -> Result<AttemptOutcome, FailedExchange> {
        let route = self.servers.pool.borrow().route_of(self.id);
        let socket = self
            .socket
            .take()
            .expect("only the exchange takes the socket, and it consumes the checkout");
        let mut usage = ConnectionUse {
            servers: Rc::clone(&self.servers),
            id: self.id,
            idle_since_ms: socket.idle_since_ms,
            close: ConnectionClose::InUse(CloseReason::Finished),
        };
        let result = socket.connection.exchange(exchange).await;
        result.map_err(|error| {
            let recovery = recovery(socket.age, error.bytes_sent, error.error);
            if error.has_unsolicited_bytes {
                self.servers.metrics.unsolicited_bytes.increment();
            }
            usage.close = match recovery {
                _ if error.has_unsolicited_bytes => {
                    ConnectionClose::InUse(CloseReason::UnsolicitedBytes)
                }
                Recovery::AnyConnection => ConnectionClose::Stale(CloseReason::ByPeer),
                Recovery::OtherAddress => ConnectionClose::InUse(CloseReason::Broken),
                Recovery::Reset | Recovery::Malformed => {
                    ConnectionClose::InUse(CloseReason::Finished)
                }
            };
            FailedExchange {
                error,
                age: socket.age,
                recovery,
                route,
            }
        })
    }
}

impl Drop for CheckedOutConnection {
    fn drop(&mut self) {
        let Some(PooledConnection { connection, .. }) = self.socket.take() else {
            return;
        };
        self.servers.store_idle(self.id, connection);
        let id = self.id;
        self.servers
            .with_pool(|pool, now_ms, actions| pool.check_in_unused(now_ms, id, actions));
    }
}

/// How the pool learns of the close of a connection.
#[derive(Clone, Copy)]
enum ConnectionClose {
    /// It was closed in use.
    InUse(CloseReason),
    /// It turned out to have been closed while it was idle.
    Stale(CloseReason),
}

/// The use of a connection by its exchange. Dropping it reports the close of the connection to the pool, also if the
/// exchange was aborted.
struct ConnectionUse {
    servers: Rc<Servers>,
    id: ConnectionId,
    idle_since_ms: f64,
    close: ConnectionClose,
}

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        let (id, idle_since_ms) = (self.id, self.idle_since_ms);
        match self.close {
            ConnectionClose::InUse(reason) => self.servers.with_pool(|pool, now_ms, actions| {
                pool.connection_closed(now_ms, id, reason, actions);
            }),
            ConnectionClose::Stale(reason) => self.servers.with_pool(|pool, now_ms, actions| {
                pool.found_stale(now_ms, id, reason, now_ms - idle_since_ms, actions);
            }),
        }
    }
}
