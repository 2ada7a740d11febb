//! The replacement of the acceptors of a running cluster, one configuration after the other.
//!
//! [`JointQuorum`] decides which grants count meanwhile. This module checks which steps an operator
//! may take, and exchanges the status of the reconfiguration with other nodes.

use std::fmt;

use crate::acceptor::Acceptor;
use crate::action::{Action, LogEvent};
use crate::claim::MAX_ACCEPTORS;
use crate::identity::NodeId;
use crate::joint_quorum::JointQuorum;
use crate::manager::LeaseManager;
use crate::message::{ConfigurationIds, ConfigurationStatus, Message};
use crate::settings::{sorted, Settings, SettingsError};

/// The configuration of acceptors that an operator requests for a node.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationRequest<'a> {
    /// The number of the configuration.
    pub number: u32,
    /// The acceptors of the configuration.
    pub acceptors: &'a [NodeId],
    /// The acceptors of the previous configuration.
    pub previous_acceptors: &'a [NodeId],
}

/// The configuration of acceptors that a node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationState {
    /// The number of the configuration.
    pub number: u32,
    /// Whether the configuration decides without the previous one. Until then acceptors cannot be
    /// replaced again.
    pub is_settled: bool,
}

/// The outcome of a [`ConfigurationRequest`] that was not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconfigurationOutcome {
    /// The node has this configuration already.
    Unchanged,
    /// The node has adopted this configuration, which at first applies jointly with the previous one.
    Started,
}

/// The reason why a reconfiguration is rejected. The node keeps its acceptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconfigurationError {
    /// The current configuration, which has this number, has other acceptors.
    NumberInUse(u32),
    /// The requested number does not follow the current one.
    NotConsecutive {
        /// The number of the current configuration.
        current: u32,
        /// The number that was requested.
        requested: u32,
    },
    /// The configuration with this number is not settled: the previous one may still decide.
    NotSettled(u32),
    /// The previous acceptors of the request are not those of the current configuration.
    PreviousMismatch,
    /// The requested settings are out of bounds.
    Settings(SettingsError),
}

impl fmt::Display for ReconfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NumberInUse(number) => write!(
                f,
                "keeper set {number} is in use with other keepers: new keepers need the next number"
            ),
            Self::NotConsecutive { current, requested } => {
                write!(
                    f,
                    "keeper set {requested} does not follow {current}: set numbers increase by one"
                )
            }
            Self::NotSettled(number) => write!(
                f,
                "keeper set {number} does not decide alone yet: the previous one may be in use"
            ),
            Self::PreviousMismatch => {
                write!(f, "`before` must name the current keepers of this node")
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
    /// The step is not safe in the node's current state. The node keeps its configuration.
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
            return Err(ReconfigurationError::NotConsecutive {
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

    /// Checks a request for the current configuration. Its previous acceptors may differ only once
    /// the configuration is settled, as they have no influence then.
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

    /// Adopts the settings, and keeps the grants of the acceptors that stay configured.
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

    /// Requests the status of the reconfiguration from the acceptors and a random candidate.
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
        // Claims under this configuration need tokens above those granted under earlier ones.
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
