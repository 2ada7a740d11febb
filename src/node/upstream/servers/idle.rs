//! The sockets of idle connections, which have carried no exchange.

use std::collections::HashMap;
use std::rc::Rc;

use balancer::ServerId;
use pool::{ConnectionAge, ConnectionId, ServerKey};

use super::Servers;
use crate::node::upstream::ServerConnection;

/// The socket of a connection, idle or checked out, with the data that the pool needs if it turns out to be stale.
pub(super) struct PooledConnection {
    pub(super) connection: ServerConnection,
    /// The time at which it last became idle or was established, in milliseconds of the node's clock.
    pub(super) idle_since_ms: f64,
    pub(super) age: ConnectionAge,
}

impl Servers {
    /// Stores the socket of a connection that has become idle.
    pub(super) fn store_idle(&self, id: ConnectionId, connection: ServerConnection) {
        let idle = PooledConnection {
            connection,
            idle_since_ms: self.now_ms(),
            age: ConnectionAge::Idle,
        };
        self.idle_connections.borrow_mut().insert(id, idle);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(self: &Rc<Self>, server: ServerId) {
        self.with_pool(|pool, _, actions| pool.close_idle(ServerKey(server.0), actions));
    }

    /// Closes idle connections that have been idle for too long or that cannot be used, for example because their
    /// servers have closed them.
    pub fn close_expired(self: &Rc<Self>) {
        let mut closed = HashMap::new();
        for (id, idle) in self.idle_connections.borrow_mut().iter_mut() {
            if let Some(reason) = idle.connection.close_reason() {
                closed.insert(*id, reason);
            }
        }
        self.idle_connections
            .borrow_mut()
            .retain(|id, _| !closed.contains_key(id));
        self.with_pool(|pool, now_ms, actions| {
            if !closed.is_empty() {
                pool.idle_closed(now_ms, &closed, actions);
            }
            pool.close_expired(now_ms, actions);
        });
    }
}
