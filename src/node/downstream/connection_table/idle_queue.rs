//! Idle connections in the order in which they became idle.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use crate::node::downstream::connection_table::eviction::MIN_IDLE_BEFORE_CLOSE;
use crate::node::downstream::connection_table::tracked_connection::TrackedConnection;

/// A connection and the time at which it became idle.
struct IdleEntry {
    connection: Rc<TrackedConnection>,
    since: Instant,
}

/// Connections in the order in which they became idle. An entry is stale if its connection has been active since; stale
/// entries are skipped when they are reached.
#[derive(Default)]
pub(super) struct IdleQueue(VecDeque<IdleEntry>);

impl IdleQueue {
    /// Adds a connection that has just become idle. Once there are twice `max_connections` entries, stale ones are removed.
    pub(super) fn push(&mut self, connection: &Rc<TrackedConnection>, max_connections: usize) {
        if self.0.len() >= 2 * max_connections {
            self.0
                .retain(|entry| entry.connection.has_idled_since(entry.since));
        }
        self.0.push_back(IdleEntry {
            connection: Rc::clone(connection),
            since: connection.stage_since(),
        });
    }

    /// Removes and returns the connection that has been idle for longest, among those that have not been asked to close.
    /// Returns `None` if there is none, or if it has been idle for less than [`MIN_IDLE_BEFORE_CLOSE`].
    pub(super) fn pop_longest_idle(&mut self, now: Instant) -> Option<Rc<TrackedConnection>> {
        while let Some(IdleEntry { connection, since }) = self.0.front() {
            let is_candidate =
                connection.has_idled_since(*since) && !connection.is_close_requested();
            if is_candidate && now.saturating_duration_since(*since) < MIN_IDLE_BEFORE_CLOSE {
                return None;
            }
            let entry = self.0.pop_front()?;
            if is_candidate {
                return Some(entry.connection);
            }
        }
        None
    }
}
