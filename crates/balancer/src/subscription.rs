//! Following the server list: applying updates, subscribing to changes, and polling again with
//! backoff after a failure.

use crate::action::{Action, LogEvent};
use crate::balancer::Balancer;
use crate::server::Server;
use crate::server_list::{Availability, ServerEntry, ServerListUpdate};
use crate::settings::DiscoveryMode;
use crate::timer::Timer;

/// The longest wait before a new subscription, as a share of the longest interval between polls that
/// is allowed; the shortest is a sixteenth of that.
const MAX_RESUBSCRIBE_SHARE: f64 = 0.25;
/// Failed polls after which the backoff does not grow any more.
const MAX_BACKOFF_DOUBLINGS: i32 = 4;
/// The longest wait before a new subscription, in milliseconds.
///
/// A change counts as known 6 s after discovery could be reached; in that time a poll that was given
/// up, this wait and the next poll must be over.
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
        self.servers.retain(|_, server| !server.is_forgettable());
        self.rebuild_ring();
        self.index_servers();
    }

    fn update_server(&mut self, entry: ServerEntry) {
        let server_id = entry.server;
        match self.servers.get_mut(&server_id) {
            Some(server) if server.entry.started_at_ms == entry.started_at_ms => {
                server.entry = entry;
            }
            // What was learned of a process does not hold for its successor.
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

    /// Orders the ready servers alike on all nodes, turned so that each node starts elsewhere, evenly
    /// along the ring. A node keeps to the first servers that may be used, so that not every node
    /// connects to every server; a change of the list moves few of them.
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

    /// Schedules a new subscription: without one the node would send to servers long gone. The wait
    /// grows with each failure and is drawn at random, so that many nodes do not call at once.
    fn schedule_resubscribe(&mut self) {
        if self.subscription.failed_polls == 0 {
            self.actions
                .push(Action::Log(LogEvent::ServerListUnavailable));
        }
        self.subscription.retry_scheduled = true;
        let share_ms = self.settings.max_poll_interval_ms * MAX_RESUBSCRIBE_SHARE;
        let max_ms = share_ms.min(MAX_RESUBSCRIBE_DELAY_MS);
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
