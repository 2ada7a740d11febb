//! Keeping the server list up to date: applying updates, subscribing to changes, and subscribing again
//! with backoff after a failure.

use crate::action::{Action, LogEvent};
use crate::balancer::Balancer;
use crate::server::Server;
use crate::server_list::{Availability, ServerEntry, ServerListUpdate};
use crate::settings::DiscoveryMode;
use crate::timer::Timer;

/// Longest delay before a new subscription, as a fraction of the longest allowed interval between
/// polls. The delay after the first failure is a sixteenth of it, before jitter.
const MAX_RESUBSCRIBE_FRACTION: f64 = 0.25;
/// Number of failed polls after which the backoff stops growing.
const MAX_BACKOFF_DOUBLINGS: i32 = 4;
/// Longest delay before a new subscription, in milliseconds.
///
/// A node is expected to have received a change 6 s after discovery is reachable again. A poll that
/// times out, this delay and the next poll must fit into that time.
pub const MAX_RESUBSCRIBE_DELAY_MS: f64 = 1_500.0;

/// The state of the subscription to the server list.
#[derive(Default)]
pub(crate) struct Subscription {
    subscribed: bool,
    /// Whether a timer for a new subscription is set.
    retry_scheduled: bool,
    failed_polls: i32,
}

impl Balancer {
    pub(crate) fn update_servers(&mut self, update: ServerListUpdate) {
        let (entries, complete) = match update {
            ServerListUpdate::Changes(entries) => (entries, false),
            ServerListUpdate::Full(entries) | ServerListUpdate::Cached(entries) => (entries, true),
            ServerListUpdate::Failed if self.subscription.retry_scheduled => return,
            ServerListUpdate::Failed => return self.schedule_resubscribe(),
        };
        if std::mem::take(&mut self.subscription.failed_polls) > 0 {
            self.actions
                .push(Action::Log(LogEvent::ServerListAvailable));
        }
        let must_subscribe = self.settings.discovery == DiscoveryMode::Subscribe;
        if must_subscribe && !std::mem::replace(&mut self.subscription.subscribed, true) {
            self.actions.push(Action::Subscribe);
        }
        if complete {
            for server in self.servers.values_mut() {
                server.entry.availability = Availability::Gone;
            }
        }
        for entry in entries {
            self.update_server(entry);
        }
        self.servers.retain(|_, server| !server.is_removable());
        self.rebuild_ring();
        self.index_servers();
    }

    fn update_server(&mut self, entry: ServerEntry) {
        let server_id = entry.server;
        match self.servers.get_mut(&server_id) {
            Some(server) if server.entry.started_at_ms == entry.started_at_ms => {
                server.entry = entry;
            }
            // State derived from one process does not apply to its successor.
            previous => {
                let server = Server {
                    in_flight: previous.map_or(0, |previous| previous.in_flight),
                    slow_start_threshold: self.random.f64(),
                    entry,
                    ..Server::default()
                };
                self.servers.insert(server_id, server);
            }
        }
    }

    /// Orders the ready servers identically on all nodes, and rotates the order so that the nodes start
    /// at evenly spaced positions of the ring. A node uses the first suitable servers, so that not every
    /// node connects to every server; a list update changes few of them.
    fn rebuild_ring(&mut self) {
        let ready = self.servers.iter().filter(|(_, server)| server.is_ready());
        let mut ring: Vec<_> = ready
            .map(|(server_id, server)| (server.entry.ring_position, *server_id))
            .collect();
        ring.sort_unstable();
        let start = self.settings.node_index * ring.len() / self.settings.nodes;
        ring.rotate_left(start);
        self.ring = ring.into_iter().map(|(_, server_id)| server_id).collect();
    }

    /// Schedules a new subscription; without one the node would send to servers that are long gone. The
    /// delay grows with each failure and has jitter, so that many nodes do not subscribe at once.
    fn schedule_resubscribe(&mut self) {
        if self.subscription.failed_polls == 0 {
            self.actions
                .push(Action::Log(LogEvent::ServerListUnavailable));
        }
        self.subscription.retry_scheduled = true;
        let fraction_ms = self.settings.max_poll_interval_ms * MAX_RESUBSCRIBE_FRACTION;
        let max_ms = fraction_ms.min(MAX_RESUBSCRIBE_DELAY_MS);
        let halvings = MAX_BACKOFF_DOUBLINGS - self.subscription.failed_polls;
        let after_ms = max_ms / 2_f64.powi(halvings) * (0.5 + 0.5 * self.random.f64());
        self.subscription.failed_polls =
            (self.subscription.failed_polls + 1).min(MAX_BACKOFF_DOUBLINGS);
        self.actions.push(Action::SetTimer {
            timer: Timer::Resubscribe.to_number(),
            after_ms,
        });
    }

    pub(crate) fn resubscribe_timer_expired(&mut self) {
        if std::mem::take(&mut self.subscription.retry_scheduled) {
            self.actions.push(Action::Subscribe);
        }
    }
}
