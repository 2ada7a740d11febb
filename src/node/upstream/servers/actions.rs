//! Executes the actions of the connection pool: dials, grants, closes and log lines.

use std::io;
use std::rc::Rc;

use balancer::ServerId;
use pool::{Action, Address, DialId, Pool, Route, ServerKey};

use super::Servers;
use crate::node::admin::log;
use crate::node::upstream::ServerConnection;

impl Servers {
    /// Calls the pool and executes the actions that it returns.
    pub(super) fn with_pool<R>(
        self: &Rc<Self>,
        call: impl FnOnce(&mut Pool, f64, &mut Vec<Action>) -> R,
    ) -> R {
        let mut actions = Vec::new();
        let result = call(&mut self.pool.borrow_mut(), self.now_ms(), &mut actions);
        for action in actions {
            self.execute(action, &mut None);
        }
        result
    }

    /// Runs the pool's timer. Never completes.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            self.timer.wait(|| self.now_ms()).await;
            self.with_pool(Pool::handle_timer);
            tokio::task::yield_now().await; // Lets other tasks run even if the timer is already due again.
        }
    }

    /// Executes one action. `dialed` is the connection whose dial caused the action, until an action takes it.
    fn execute(self: &Rc<Self>, action: Action, dialed: &mut Option<ServerConnection>) {
        match action {
            Action::Dial {
                dial,
                server: _,
                route,
            } => self.dial(dial, route.address),
            Action::AbortDial { dial } => {
                if let Some(task) = self.dials.borrow_mut().remove(&dial) {
                    task.abort();
                }
            }
            Action::Grant {
                checkout,
                connection,
            } => {
                if let Some(connection) = self.take_granted(connection, dialed) {
                    self.complete_checkout(checkout, Ok(connection));
                }
            }
            Action::KeepIdle { connection } => {
                if let Some(socket) = dialed.take() {
                    self.store_idle(connection, socket);
                }
            }
            Action::Fail { checkout, error } => self.complete_checkout(checkout, Err(error)),
            Action::Close { connection } => {
                let closed = self.idle_connections.borrow_mut().remove(&connection);
                drop(closed);
            }
            Action::RouteDown { server, route } => {
                self.log_route(server, &route, "is down");
            }
            Action::RouteUp { server, route } => self.log_route(server, &route, "is up again"),
            Action::WakeAt(at_ms) => self.timer.set(at_ms),
        }
    }

    fn log_route(&self, server: ServerKey, route: &Route, status: &str) {
        let id = self.label(ServerId(server.0));
        let label = route
            .label
            .as_deref()
            .map(|label| format!(" ({label})"))
            .unwrap_or_default();
        log::line(format_args!("{id}: {}{label} {status}", route.address));
    }

    fn dial(self: &Rc<Self>, dial: DialId, address: Address) {
        let servers = Rc::clone(self);
        let task = tokio::task::spawn_local(async move {
            let result = ServerConnection::dial(&address).await;
            servers.complete_dial(dial, result);
        });
        self.dials.borrow_mut().insert(dial, task.abort_handle());
    }

    fn complete_dial(self: &Rc<Self>, dial: DialId, result: io::Result<ServerConnection>) {
        self.dials.borrow_mut().remove(&dial);
        let mut actions = Vec::new();
        let now_ms = self.now_ms();
        let mut dialed = None;
        if let Ok(socket) = result {
            self.metrics.connections.increment();
            let is_used = self
                .pool
                .borrow_mut()
                .dial_succeeded(now_ms, dial, &mut actions);
            dialed = is_used.then_some(socket);
        } else {
            self.pool
                .borrow_mut()
                .dial_failed(now_ms, dial, &mut actions);
        }
        for action in actions {
            self.execute(action, &mut dialed);
        }
    }
}
