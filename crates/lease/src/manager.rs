//! The leases of a node: the shards that this process owns or claims, and its acceptor role.
//!
//! [`LeaseManager`] owns all state and dispatches events and messages. Its other methods are in
//! modules by concern: `acceptor_role` answers requests, `table_polling` discovers free shards,
//! `claiming` acquires them, `renewal` renews their leases, `transfer` moves them between nodes,
//! `placement` selects the preferred owner of each shard, `effects` publishes the effects of
//! owners, `reconfiguration` replaces the acceptors.
//!
//! Invariant: a shard is owned only until the grants of a quorum expire, each counted from when it
//! was requested; [`LeaseManager::permit`] checks that against the current time.

mod acceptor_role;
mod claiming;
mod effects;
mod pending_requests;
mod permit;
mod placement;
mod reconfiguration;
mod renewal;
mod shard_state;
mod table_polling;
mod transfer;

use fastrand::Rng;

pub use permit::Permit;
pub use reconfiguration::{
    ConfigurationRequest, ConfigurationState, ReconfigurationError, ReconfigurationOutcome,
};

use crate::acceptor::Acceptor;
use crate::action::{Action, LogEvent, Metrics, ShardOwner};
use crate::claim::MAX_ACCEPTORS;
use crate::event::{Event, NodeHealth};
use crate::identity::{FencingToken, NodeId, Requester, Shard};
use crate::joint_quorum::JointQuorum;
use crate::message::Message;
use crate::settings::{InjectedFault, Settings, SettingsError};
use pending_requests::PendingRequests;
use shard_state::ShardState;
use table_polling::{TablePolling, POLL_INTERVAL_MS};

/// Interval between two checks for due work, in milliseconds.
const TICK_MS: f64 = 50.0;
/// Minimum interval between two log events about a configuration mismatch, in milliseconds.
const MISMATCH_LOG_INTERVAL_MS: f64 = 60_000.0;

/// Durations as fractions of the length of a lease.
mod lease_fraction {
    /// Length of a first grant. It is short, so that nodes with competing claims, each with grants
    /// from some acceptors, do not block the shard for long.
    pub const FIRST_GRANT: f64 = 1.0 / 4.0;
    /// Time between the last request of a lease and its renewal.
    pub const RENEWAL: f64 = 1.0 / 3.0;
    /// Time after which an unanswered request is sent again.
    pub const RETRY: f64 = 1.0 / 10.0;
    /// A lease with less remaining time than this is requested again after `RETRY`. If no other
    /// acceptor's grant of a lease has arrived for this long, the lease is requested only for the
    /// length of a first grant: the node's requests may arrive although it receives no answers,
    /// and the next owner has to wait until the grants expire.
    pub const LOW_REMAINING: f64 = 1.0 / 2.0;
}

/// The lease manager of one process: see the crate's documentation.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    settings: Settings,
    quorum: JointQuorum,
    rng: Rng,
    now_ms: f64,
    /// This node's state as an acceptor, if it is one.
    acceptor: Option<Acceptor>,
    is_acceptor_ready: bool,
    shards: Vec<ShardState>,
    pending_requests: PendingRequests,
    polling: TablePolling,
    next_tick_ms: f64,
    next_token_query_ms: f64,
    next_transfer_ms: f64,
    mismatch_logged_ms: f64,
    /// Time of the last message received from an acceptor.
    last_acceptor_message_ms: f64,
    is_leaving: bool,
    health: NodeHealth,
    candidates: Vec<NodeId>,
    metrics: Metrics,
    /// The actions that result from the event being handled.
    actions: Vec<Action>,
}

impl LeaseManager {
    /// Creates the lease manager of a process that owns no shard and has no information about the
    /// owners.
    ///
    /// # Errors
    ///
    /// The settings are out of bounds.
    pub fn new(now_ms: f64, mut settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        if !cfg!(feature = "injected-fault") {
            settings.injected_fault = InjectedFault::None;
        }
        let quorum = JointQuorum::at_start(now_ms, &settings);
        let mut rng = Rng::with_seed(settings.seed);
        let acceptor = quorum
            .index_of(settings.node)
            .map(|_| Acceptor::new(now_ms, &settings));
        // Recorded simulations depend on the order of these random draws.
        let last_polled = rng.usize(..quorum.acceptors().len());
        let pending_requests = PendingRequests::new(rng.u32(..));
        let next_poll_ms = now_ms + rng.f64() * POLL_INTERVAL_MS;
        let next_tick_ms = now_ms + rng.f64() * TICK_MS;
        Ok(Self {
            quorum,
            shards: vec![ShardState::new(now_ms); usize::from(settings.shards)],
            now_ms,
            acceptor,
            is_acceptor_ready: false,
            pending_requests,
            polling: TablePolling {
                known_versions: [0; MAX_ACCEPTORS],
                last_polled,
                next_ms: next_poll_ms,
            },
            next_tick_ms,
            next_token_query_ms: now_ms,
            next_transfer_ms: now_ms,
            mismatch_logged_ms: f64::NEG_INFINITY,
            last_acceptor_message_ms: f64::NEG_INFINITY,
            is_leaving: false,
            health: NodeHealth::Isolated,
            candidates: Vec::new(),
            metrics: Metrics::default(),
            actions: Vec::new(),
            rng,
            settings,
        })
    }

    /// Handles an event at a time, in milliseconds, and appends the actions that the caller has to
    /// carry out. If an earlier event had a later time, that time is used.
    pub fn handle(&mut self, now_ms: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.expire_leases();
        self.on_event(event);
        if self.now_ms >= self.next_tick_ms {
            self.on_tick();
            self.next_tick_ms = self.now_ms + TICK_MS;
        }
        actions.append(&mut self.actions);
        actions.push(Action::WakeAt(self.next_tick_ms));
    }

    fn on_event(&mut self, event: Event<'_>) {
        match event {
            Event::Message {
                from,
                process_id,
                bytes,
            } => match Message::decode(bytes) {
                Ok(message) => self.on_message(
                    Requester {
                        node: from,
                        process_id,
                    },
                    message,
                ),
                Err(_) => self.metrics.malformed_messages += 1,
            },
            Event::TimerExpired => {}
            Event::Candidates(candidates, health) => self.set_candidates(candidates, health),
            Event::TransferShard { shard, to } => self.offer_transfer(shard, to),
            Event::PublishEffect { shard, payload } => self.publish_effect(shard, payload),
            Event::TokensReserved(token) => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.confirm_reservation(token);
                }
            }
            Event::Leave => self.leave(),
        }
    }

    fn on_tick(&mut self) {
        self.tick_acceptor();
        self.pending_requests
            .discard_before(self.now_ms - self.settings.lease_ms);
        self.repeat_transfers();
        if self.is_leaving {
            return;
        }
        self.update_claims();
        self.request_claims();
        self.renew_leases();
        self.transfer_misplaced_shard();
        if self.now_ms >= self.polling.next_ms {
            self.polling.next_ms = self.now_ms + POLL_INTERVAL_MS;
            self.poll_next_acceptor();
            self.request_configuration_status();
        }
    }

    fn on_message(&mut self, from: Requester, message: Message) {
        let acceptor = self.quorum.index_of(from.node);
        if acceptor.is_some() {
            self.last_acceptor_message_ms = self.now_ms;
        }
        match message {
            Message::LeaseRequest {
                configurations,
                request_id,
                ttl_ms,
                requests,
            } => self.on_lease_request(from, configurations, request_id, ttl_ms, &requests),
            Message::Release { released } => self.on_release(from, &released),
            Message::TableRequest {
                configurations,
                since_version,
            } => self.on_table_request(from.node, configurations, since_version),
            Message::HighestTokenRequest { .. } => self.on_highest_token_request(from.node),
            Message::Transfer(ownership) => self.on_transfer(ownership),
            Message::TransferOffer(ownership) => self.on_transfer_offer(from.node, ownership),
            Message::TransferAccepted(ownership) => self.on_transfer_accepted(from.node, ownership),
            Message::ConfigurationStatusRequest { configurations } => {
                self.on_configuration_status_request(from.node, configurations);
            }
            Message::ConfigurationStatus(status) => {
                self.on_configuration_status(from.node, status);
            }
            Message::Effect { ownership, payload } => {
                self.accept_effect(from.node, ownership, payload);
            }
            Message::Granted { .. }
            | Message::Rejected { .. }
            | Message::Table { .. }
            | Message::HighestToken(_)
            | Message::ConfigurationMismatch(_) => {
                if let Some(acceptor) = acceptor {
                    self.on_acceptor_message(acceptor, message);
                }
            }
        }
    }

    /// Handles a message that is accepted only from an acceptor that this node has configured.
    fn on_acceptor_message(&mut self, acceptor: usize, message: Message) {
        match message {
            Message::Granted {
                request_id,
                granted,
            } => self.on_granted(acceptor, request_id, &granted),
            Message::Rejected { shards } => {
                for status in shards {
                    self.on_rejected(acceptor, status);
                }
            }
            Message::Table { version, shards } => self.on_table(acceptor, version, &shards),
            Message::HighestToken(token) => self.on_highest_token(token),
            Message::ConfigurationMismatch(configuration) => {
                self.on_configuration_mismatch(self.quorum.acceptors()[acceptor], configuration);
            }
            _ => {}
        }
    }

    fn on_configuration_mismatch(&mut self, acceptor: NodeId, configuration: u32) {
        if self.now_ms - self.mismatch_logged_ms < MISMATCH_LOG_INTERVAL_MS {
            return;
        }
        self.mismatch_logged_ms = self.now_ms;
        self.actions
            .push(Action::Log(LogEvent::ConfigurationMismatch {
                acceptor,
                configuration,
            }));
    }

    fn send(&mut self, to: NodeId, message: &Message) {
        let bytes = message.encode();
        self.metrics.sent_messages += 1;
        self.metrics.sent_bytes += bytes.len() as u64;
        self.actions.push(Action::Send { to, bytes });
    }

    /// Sends a message to each of the given nodes except this one.
    fn broadcast(&mut self, recipients: &[NodeId], message: &Message) {
        for node in recipients {
            if *node != self.settings.node {
                self.send(*node, message);
            }
        }
    }

    /// The identity under which acceptors grant leases to this process.
    fn requester(&self) -> Requester {
        Requester {
            node: self.settings.node,
            process_id: self.settings.process_id,
        }
    }

    fn lease_fraction_ms(&self, fraction: f64) -> f64 {
        self.settings.lease_ms * fraction
    }

    /// A permit to act on a shard at `now_ms`, if this process owns it.
    #[must_use]
    pub fn permit(&self, now_ms: f64, shard: Shard) -> Option<Permit<'_>> {
        let lease = self.shards.get(usize::from(shard))?.lease.as_ref()?;
        let expires_ms = lease.expires_ms(self.quorum.quorum());
        let is_valid = now_ms.max(self.now_ms) < expires_ms;
        is_valid.then_some(Permit::new(shard, lease.token, expires_ms))
    }

    /// The owner of each shard according to this node.
    pub fn owners(&self, now_ms: f64) -> impl Iterator<Item = ShardOwner> + '_ {
        self.shards.iter().enumerate().map(move |(shard, state)| {
            let shard = shard as Shard;
            let permit = self.permit(now_ms, shard);
            ShardOwner {
                shard,
                node: permit.as_ref().map(|_| self.settings.node).or(state.owner),
                token: permit.as_ref().map_or(state.highest_token, Permit::token),
                remaining_ms: permit.map_or(0.0, |permit| permit.expires_ms() - now_ms),
                since_ms: state.owner_since_ms,
            }
        })
    }

    /// The counters since the start of this process.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// The acceptors of the current configuration and of the previous one, if that is configured.
    #[must_use]
    pub fn acceptors(&self) -> &[NodeId] {
        self.quorum.acceptors()
    }

    /// Whether this node is an acceptor whose quarantine is over.
    #[must_use]
    pub fn is_granting(&self) -> bool {
        self.acceptor
            .as_ref()
            .is_some_and(|acceptor| !acceptor.is_quarantined(self.now_ms))
    }

    /// The highest token that this node has granted, claimed or received.
    #[must_use]
    pub fn highest_token(&self) -> FencingToken {
        let known = self
            .shards
            .iter()
            .map(|shard| shard.highest_token)
            .max()
            .unwrap_or_default();
        self.acceptor
            .as_ref()
            .map_or(known, |acceptor| acceptor.highest_token().max(known))
    }

    /// Hashes the state by which a model checker recognizes visited states: the quorum, the
    /// acceptor, the shards, the pending requests, whether the node is leaving, and the time of the
    /// last message from an acceptor.
    #[cfg(feature = "injected-fault")]
    pub fn hash_state(&self, hasher: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        let parts = (
            &self.quorum,
            &self.acceptor,
            &self.shards,
            self.pending_requests.queue(),
            self.is_leaving,
            self.last_acceptor_message_ms,
        );
        format!("{parts:?}").hash(hasher);
    }

    /// Encodes the message that requests an acceptor's entire table. For a model checker.
    #[cfg(feature = "injected-fault")]
    #[must_use]
    pub fn encode_table_request(&self) -> Vec<u8> {
        Message::TableRequest {
            configurations: self.quorum.ids(),
            since_version: 0,
        }
        .encode()
    }
}

#[cfg(test)]
mod tests;
