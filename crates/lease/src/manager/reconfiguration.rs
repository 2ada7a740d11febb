//! Replacing the acceptors of a running fleet, one configuration after the other.
//!
//! [`JointQuorum`] decides whose grants count meanwhile; here is which steps an operator may take,
//! and how a node learns how far the others are.

use std::fmt;

use crate::acceptor::Acceptor;
use crate::action::{Action, LogEvent};
use crate::claim::MAX_ACCEPTORS;
use crate::identity::NodeId;
use crate::joint_quorum::JointQuorum;
use crate::manager::LeaseManager;
use crate::message::{ConfigurationIds, ConfigurationStatus, Message};
use crate::settings::{sorted, Settings, SettingsError};

/// The configuration of acceptors that a node should have.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationRequest<'a> {
    /// Its number.
    pub number: u32,
    /// Its acceptors.
    pub acceptors: &'a [NodeId],
    /// The acceptors of the configuration before.
    pub previous_acceptors: &'a [NodeId],
}

/// The configuration of acceptors that a node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationState {
    /// Its number.
    pub number: u32,
    /// Whether it decides without the configuration before. Until then acceptors cannot be replaced
    /// again.
    pub is_settled: bool,
}

/// What became of a [`ConfigurationRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconfigurationOutcome {
    /// The node has this configuration already.
    Unchanged,
    /// The node has this configuration from now on, at first together with the one before.
    Started,
}

/// Why a node keeps the acceptors that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconfigurationError {
    /// Other acceptors under the number of the present configuration.
    NumberInUse(u32),
    /// Not the number after the present one.
    NotNext {
        /// The number of the present configuration.
        current: u32,
        /// The number that was requested.
        requested: u32,
    },
    /// The configuration of this number does not decide alone yet: the one before it may.
    NotSettled(u32),
    /// The previous acceptors are not those of the present configuration.
    PreviousMismatch,
    /// The request is out of bounds.
    Settings(SettingsError),
}

impl fmt::Display for ReconfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NumberInUse(number) => write!(
                f,
                "set {number} has other keepers: other keepers need the next number"
            ),
            Self::NotNext { current, requested } => {
                write!(
                    f,
                    "set {requested} does not follow {current}: keepers change one set after the other"
                )
            }
            Self::NotSettled(number) => write!(
                f,
                "set {number} does not decide alone yet, the previous one may"
            ),
            Self::PreviousMismatch => {
                write!(f, "`before` has to name the present keepers of this node")
            }
            Self::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ReconfigurationError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Settings(error) => Some(error),
            _ => None,
        }
    }
}

impl LeaseManager {
    /// The configuration that this node has.
    #[must_use]
    pub fn configuration(&self) -> ConfigurationState {
        ConfigurationState {
            number: self.settings.configuration,
            is_settled: self.quorum.is_settled(),
        }
    }

    /// Replaces the acceptors by those of the next configuration.
    ///
    /// # Errors
    ///
    /// The step is not safe here and now. The node keeps the configuration that it has.
    pub fn reconfigure(
        &mut self,
        now_ms: f64,
        request: ConfigurationRequest<'_>,
    ) -> Result<ReconfigurationOutcome, ReconfigurationError> {
        let current = self.settings.configuration;
        let acceptors = sorted(&self.settings.acceptors);
        if request.number == current && sorted(request.acceptors) == acceptors {
            return self.check_unchanged(request);
        }
        if request.number == current {
            return Err(ReconfigurationError::NumberInUse(current));
        }
        if current.checked_add(1) != Some(request.number) {
            return Err(ReconfigurationError::NotNext {
                current,
                requested: request.number,
            });
        }
        if !self.quorum.is_settled() {
            return Err(ReconfigurationError::NotSettled(current));
        }
        if sorted(request.previous_acceptors) != acceptors {
            return Err(ReconfigurationError::PreviousMismatch);
        }
        let settings = Settings {
            configuration: request.number,
            acceptors: request.acceptors.to_vec(),
            previous_acceptors: request.previous_acceptors.to_vec(),
            ..self.settings.clone()
        };
        settings
            .validate()
            .map_err(ReconfigurationError::Settings)?;
        self.now_ms = self.now_ms.max(now_ms);
        self.start_reconfiguration(settings);
        Ok(ReconfigurationOutcome::Started)
    }

    /// The present configuration, requested again: its previous acceptors may differ only once they
    /// do not matter any more.
    fn check_unchanged(
        &self,
        request: ConfigurationRequest<'_>,
    ) -> Result<ReconfigurationOutcome, ReconfigurationError> {
        let previous = sorted(&self.settings.previous_acceptors);
        if sorted(request.previous_acceptors) == previous || self.quorum.is_settled() {
            Ok(ReconfigurationOutcome::Unchanged)
        } else {
            Err(ReconfigurationError::NotSettled(
                self.settings.configuration,
            ))
        }
    }

    /// Goes on with these settings, and keeps what the acceptors so far have granted.
    fn start_reconfiguration(&mut self, settings: Settings) {
        let quorum = JointQuorum::after_reconfiguration(self.now_ms, &settings);
        let previous_index: Vec<_> = quorum
            .acceptors()
            .iter()
            .map(|acceptor| self.quorum.index_of(*acceptor))
            .collect();
        let mut known_versions = [0; MAX_ACCEPTORS];
        for (to, from) in previous_index.iter().enumerate() {
            known_versions[to] = from.map_or(0, |from| self.polling.known_versions[from]);
        }
        for shard in &mut self.shards {
            for claim in [&mut shard.lease, &mut shard.claim].into_iter().flatten() {
                *claim = claim.remapped(&previous_index);
            }
        }
        self.pending_requests.clear();
        if self.acceptor.is_none() && quorum.index_of(settings.node).is_some() {
            self.acceptor = Some(Acceptor::new(self.now_ms, &settings));
        }
        self.polling.known_versions = known_versions;
        self.polling.last_polled = 0;
        self.quorum = quorum;
        self.settings = settings;
    }

    fn status_for(&self, configurations: ConfigurationIds) -> Option<ConfigurationStatus> {
        self.quorum.status_for(
            self.now_ms,
            &self.settings,
            configurations,
            self.highest_token(),
        )
    }

    /// Queries the acceptors, and another candidate each time, how far the reconfiguration is.
    pub(super) fn request_configuration_status(&mut self) {
        if self.quorum.is_settled() {
            return;
        }
        let configurations = self.quorum.ids();
        if let Some(own) = self.status_for(configurations) {
            self.on_configuration_status(self.settings.node, own);
        }
        let candidate = self.rng.usize(..self.candidates.len().max(1));
        let mut recipients = self.quorum.acceptors().to_vec();
        recipients.extend(self.candidates.get(candidate).copied());
        let message = Message::ConfigurationStatusRequest { configurations };
        self.broadcast(&recipients, &message);
    }

    pub(super) fn on_configuration_status_request(
        &mut self,
        requester: NodeId,
        configurations: ConfigurationIds,
    ) {
        if let Some(status) = self.status_for(configurations) {
            self.send(requester, &Message::ConfigurationStatus(status));
        }
    }

    pub(super) fn on_configuration_status(&mut self, from: NodeId, status: ConfigurationStatus) {
        // What was owned under an earlier configuration alone had no token above this.
        for shard in &mut self.shards {
            shard.observe_token(status.highest_token);
        }
        if !self.quorum.receive_status(from, status) {
            return;
        }
        let highest = self.highest_token();
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.observe_token(highest);
        }
        let number = self.settings.configuration;
        self.actions
            .push(Action::Log(LogEvent::ConfigurationSettled(number)));
    }
}
