//! A node's role as an acceptor: it answers requests, requests the reservation of tokens on disk,
//! and queries the highest token after a restart.

use crate::action::{Action, LogEvent};
use crate::identity::{FencingToken, NodeId, Requester, ShardToken};
use crate::manager::LeaseManager;
use crate::message::{ConfigurationIds, LeaseRequest, Message, MAX_SHARD_STATUSES};

/// Interval at which an acceptor in quarantine queries the other acceptors for the highest token,
/// in milliseconds.
const TOKEN_QUERY_INTERVAL_MS: f64 = 200.0;

impl LeaseManager {
    pub(super) fn on_lease_request(
        &mut self,
        requester: Requester,
        configurations: ConfigurationIds,
        request_id: u32,
        ttl_ms: u16,
        requests: &[LeaseRequest],
    ) {
        let is_accepted = self.accepts_request(requester.node, configurations);
        let Some(acceptor) = self.acceptor.as_mut().filter(|_| is_accepted) else {
            return;
        };
        let ttl_ms = f64::from(ttl_ms).min(self.settings.lease_ms);
        let (mut granted, mut rejected) = (Vec::new(), Vec::new());
        for request in requests {
            if acceptor.request(self.now_ms, requester, *request, ttl_ms) {
                granted.push(ShardToken {
                    shard: request.shard,
                    token: request.token,
                });
            } else {
                rejected.push(acceptor.status(self.now_ms, request.shard));
            }
        }
        self.metrics.grants += granted.len() as u64;
        self.metrics.rejections += rejected.len() as u64;
        if !granted.is_empty() {
            let message = Message::Granted {
                request_id,
                granted,
            };
            self.send(requester.node, &message);
        }
        for statuses in rejected.chunks(MAX_SHARD_STATUSES) {
            let shards = statuses.to_vec();
            self.send(requester.node, &Message::Rejected { shards });
        }
    }

    pub(super) fn on_table_request(
        &mut self,
        requester: NodeId,
        configurations: ConfigurationIds,
        since_version: u64,
    ) {
        let is_accepted = self.accepts_request(requester, configurations);
        let Some(acceptor) = self.acceptor.as_mut().filter(|_| is_accepted) else {
            return;
        };
        let changes = acceptor.changes_since(self.now_ms, since_version, MAX_SHARD_STATUSES);
        let message = Message::Table {
            version: changes.version,
            shards: changes.shards,
        };
        self.send(requester, &message);
    }

    /// Whether this node is an acceptor, is not in quarantine, and accepts requests under these
    /// configurations. If they do not match its own, it notifies the requester.
    fn accepts_request(&mut self, requester: NodeId, configurations: ConfigurationIds) -> bool {
        let Some(acceptor) = &self.acceptor else {
            return false;
        };
        let is_quarantined = acceptor.is_quarantined(self.now_ms);
        if !self.quorum.accepts(configurations) {
            let message = Message::ConfigurationMismatch(self.settings.configuration);
            self.send(requester, &message);
            return false;
        }
        !is_quarantined
    }

    pub(super) fn on_release(&mut self, requester: Requester, released: &[ShardToken]) {
        let Some(acceptor) = &mut self.acceptor else {
            return;
        };
        for ownership in released {
            acceptor.release(requester, ownership.shard, ownership.token);
        }
    }

    /// Answers regardless of the requester's configuration: a token that is too high does no harm.
    pub(super) fn on_highest_token_request(&mut self, requester: NodeId) {
        let Some(acceptor) = &self.acceptor else {
            return;
        };
        let message = Message::HighestToken(acceptor.highest_token());
        self.send(requester, &message);
    }

    pub(super) fn on_highest_token(&mut self, token: FencingToken) {
        let now_ms = self.now_ms;
        if let Some(acceptor) = self
            .acceptor
            .as_mut()
            .filter(|acceptor| acceptor.is_quarantined(now_ms))
        {
            acceptor.observe_token(token);
        }
    }

    /// Requests that tokens be reserved on disk if a reservation is due. Logs the end of the
    /// quarantine, or queries the highest token during it.
    pub(super) fn tick_acceptor(&mut self) {
        let Some(acceptor) = &mut self.acceptor else {
            return;
        };
        if let Some(token) = acceptor.take_due_reservation() {
            self.actions.push(Action::ReserveTokens(token));
        }
        if !acceptor.is_quarantined(self.now_ms) {
            if !self.is_acceptor_ready {
                self.is_acceptor_ready = true;
                self.actions.push(Action::Log(LogEvent::AcceptorReady));
            }
            return;
        }
        if self.now_ms >= self.next_token_query_ms {
            self.next_token_query_ms = self.now_ms + TOKEN_QUERY_INTERVAL_MS;
            let message = Message::HighestTokenRequest {
                configuration_id: self.quorum.ids().current,
            };
            let acceptors = self.quorum.acceptors().to_vec();
            self.broadcast(&acceptors, &message);
        }
    }
}
