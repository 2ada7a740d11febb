//! The discovery of free shards: a node polls the acceptors one after another for the changes of
//! their tables.

use crate::claim::MAX_ACCEPTORS;
use crate::manager::LeaseManager;
use crate::message::{Message, ShardStatus, MAX_SHARD_STATUSES};

/// Interval between two polls, in milliseconds. Each poll goes to the next acceptor.
pub(super) const POLL_INTERVAL_MS: f64 = 500.0;

/// The known version of each acceptor's table, the index of the last polled acceptor, and the time
/// of the next poll.
#[derive(Clone, Debug)]
pub(super) struct TablePolling {
    pub known_versions: [u64; MAX_ACCEPTORS],
    pub last_polled: usize,
    pub next_ms: f64,
}

impl LeaseManager {
    /// Requests the changes of the next acceptor's table.
    pub(super) fn poll_next_acceptor(&mut self) {
        let index = (self.polling.last_polled + 1) % self.quorum.acceptors().len();
        self.polling.last_polled = index;
        let since_version = self.polling.known_versions[index];
        let to = self.quorum.acceptors()[index];
        if to != self.settings.node {
            return self.request_table(index, since_version);
        }
        let now_ms = self.now_ms;
        let Some(acceptor) = self
            .acceptor
            .as_mut()
            .filter(|acceptor| !acceptor.is_quarantined(now_ms))
        else {
            return;
        };
        let changes = acceptor.changes_since(now_ms, since_version, usize::MAX);
        self.on_table(index, changes.version, &changes.shards);
    }

    fn request_table(&mut self, acceptor: usize, since_version: u64) {
        let message = Message::TableRequest {
            configurations: self.quorum.ids(),
            since_version,
        };
        self.send(self.quorum.acceptors()[acceptor], &message);
    }

    pub(super) fn on_table(&mut self, acceptor: usize, version: u64, shards: &[ShardStatus]) {
        self.polling.known_versions[acceptor] = version;
        for status in shards {
            self.observe_status(*status);
        }
        if shards.len() >= MAX_SHARD_STATUSES {
            // The message is full: the table may have further changes.
            self.request_table(acceptor, version);
        }
    }

    fn observe_status(&mut self, status: ShardStatus) {
        let now_ms = self.now_ms;
        let Some(state) = self.shards.get_mut(usize::from(status.shard)) else {
            return;
        };
        state.observe_token(status.highest_token);
        if state.lease.is_some() {
            return;
        }
        if state.owner != status.owner {
            state.owner_since_ms = now_ms;
        }
        state.owner = status.owner;
        state.free_since_ms = match status.owner {
            Some(_) => None,
            None => state.free_since_ms.or(Some(now_ms)),
        };
    }
}
