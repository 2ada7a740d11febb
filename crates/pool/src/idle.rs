//! Idle connections: expiry, closes by the peer, and eviction at the connection limit.

use std::collections::HashMap;

use crate::action::{Action, CloseReason, ConnectionId, ServerKey};
use crate::pool::Pool;
use crate::server::{is_expired, ServerState};

impl Pool {
    /// Returns the number of idle connections to a server.
    #[must_use]
    pub fn idle_count(&self, server: ServerKey) -> usize {
        self.servers
            .get(&server)
            .map_or(0, |state| state.idle.len())
    }

    /// Returns the idle connections to all servers.
    pub fn idle_connections(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.servers
            .values()
            .flat_map(|state| state.idle.iter().map(|idle| idle.connection))
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: ServerKey, actions: &mut Vec<Action>) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        self.open_connections -= state.idle.len();
        actions.extend(state.idle.drain(..).map(|idle| Action::Close {
            connection: idle.connection,
        }));
    }

    /// Reports that idle connections have ended, many at once if a server restarts, and that the caller has
    /// closed them.
    pub fn idle_closed(
        &mut self,
        now_ms: f64,
        closed: &HashMap<ConnectionId, CloseReason>,
        actions: &mut Vec<Action>,
    ) {
        for state in self.servers.values_mut() {
            let (ended, remaining) = std::mem::take(&mut state.idle)
                .into_iter()
                .partition::<Vec<_>, _>(|idle| closed.contains_key(&idle.connection));
            state.idle = remaining;
            self.open_connections -= ended.len();
            for idle in ended {
                let reason = closed[&idle.connection];
                let idle_ms = now_ms - idle.since_ms;
                state.record_close(now_ms, idle.route, reason, Some(idle_ms));
            }
        }
        self.serve_active_servers(now_ms, actions);
    }

    /// Closes idle connections whose idle timeout has passed or whose route is no longer listed.
    pub fn close_expired(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        for state in self.servers.values_mut() {
            let routes = &state.routes;
            state.idle.retain(|idle| {
                let is_kept = !is_expired(routes, idle, now_ms);
                if !is_kept {
                    self.open_connections -= 1;
                    actions.push(Action::Close {
                        connection: idle.connection,
                    });
                }
                is_kept
            });
        }
    }

    /// Returns whether one more connection to `server` may be dialed. At the total limit, closes the
    /// connection that has been idle longest, if there is one.
    pub(crate) fn ensure_capacity(&mut self, server: ServerKey, actions: &mut Vec<Action>) -> bool {
        let server_connections = self
            .servers
            .get(&server)
            .map_or(0, ServerState::open_connections);
        if server_connections >= self.limits.max_connections_per_server {
            return false;
        }
        if self.open_connections < self.limits.max_connections {
            return true;
        }
        let longest_idle = self
            .servers
            .values_mut()
            .filter(|state| !state.idle.is_empty())
            .min_by(|a, b| a.idle[0].since_ms.total_cmp(&b.idle[0].since_ms));
        let Some(state) = longest_idle else {
            return false;
        };
        let closed = state.idle.remove(0);
        actions.push(Action::Close {
            connection: closed.connection,
        });
        self.open_connections -= 1;
        true
    }
}
