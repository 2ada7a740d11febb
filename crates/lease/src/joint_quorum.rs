//! The acceptors that decide: those of the current configuration, jointly with the previous ones
//! until no process can act under the previous configuration alone.
//!
//! Majorities of two configurations need not intersect: `a c` is a majority of `a b c`, and `b d`
//! is one of `a b d`. So a node with a new configuration needs a majority of **both** at first. An
//! acceptor with the new configuration no longer grants leases to nodes that have only the previous
//! one: it has *sealed* the previous configuration. Once a majority of the previous acceptors have
//! sealed it for longer than any lease, no process can act under it alone, and the new
//! configuration is *settled*: it decides alone. A settled configuration stays settled, so a node
//! may rely on any other node that reports it. A node makes no assumptions about the phase: one
//! that starts during a reconfiguration owns nothing until other nodes have reported it.

use crate::claim::{majority_of, AcceptorMask, Quorum};
use crate::identity::{FencingToken, NodeId};
use crate::message::{ConfigurationIds, ConfigurationStatus};
use crate::settings::{InjectedFault, Settings};

/// The phase of a reconfiguration, as far as it is proven to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Configurations before the previous one may still decide.
    Unknown,
    /// No process can act under a configuration before the previous one.
    Joint,
    /// No process can act under an earlier configuration.
    Settled,
}

/// The acceptors that a node sends requests to, and the quorum that has to grant them.
#[derive(Clone, Debug)]
pub struct JointQuorum {
    /// The acceptors of both configurations, sorted. Claims refer to them by index.
    acceptors: Vec<NodeId>,
    ids: ConfigurationIds,
    current: AcceptorMask,
    previous: AcceptorMask,
    phase: Phase,
    /// When this process adopted the configuration, in milliseconds.
    adopted_ms: f64,
    /// The previous acceptors that are known to have sealed their configuration.
    sealed_by: AcceptorMask,
}

fn mask_of(all_acceptors: &[NodeId], acceptors: &[NodeId]) -> AcceptorMask {
    acceptors
        .iter()
        .filter_map(|acceptor| all_acceptors.iter().position(|other| other == acceptor))
        .fold(0, |mask, index| mask | 1 << index)
}

impl JointQuorum {
    /// The quorum of a process that has just started and has received no status of other nodes.
    pub fn at_start(now_ms: f64, settings: &Settings) -> Self {
        Self::new(now_ms, settings, Phase::Unknown)
    }

    /// The quorum of a running process whose previous configuration decided alone until now.
    pub fn after_reconfiguration(now_ms: f64, settings: &Settings) -> Self {
        Self::new(now_ms, settings, Phase::Joint)
    }

    fn new(now_ms: f64, settings: &Settings, phase_with_previous: Phase) -> Self {
        let mut acceptors = [&settings.acceptors[..], &settings.previous_acceptors].concat();
        acceptors.sort_unstable();
        acceptors.dedup();
        let is_settled = settings.previous_acceptors.is_empty()
            || settings.injected_fault == InjectedFault::NoJointQuorum;
        Self {
            current: mask_of(&acceptors, &settings.acceptors),
            previous: mask_of(&acceptors, &settings.previous_acceptors),
            ids: ConfigurationIds {
                current: settings.configuration_id(),
                previous: settings.previous_configuration_id(),
            },
            acceptors,
            phase: if is_settled {
                Phase::Settled
            } else {
                phase_with_previous
            },
            adopted_ms: now_ms,
            sealed_by: 0,
        }
    }

    /// The acceptors of both configurations, sorted.
    pub fn acceptors(&self) -> &[NodeId] {
        &self.acceptors
    }

    /// The index of an acceptor.
    pub fn index_of(&self, node: NodeId) -> Option<usize> {
        self.acceptors.iter().position(|acceptor| *acceptor == node)
    }

    /// The grants that are required to own a shard.
    pub fn quorum(&self) -> Quorum {
        match self.phase {
            Phase::Unknown => Quorum::Unknown,
            Phase::Joint => Quorum::Joint(self.current, self.previous),
            Phase::Settled => Quorum::Majority(self.current),
        }
    }

    /// Whether the current configuration decides alone.
    pub fn is_settled(&self) -> bool {
        self.phase == Phase::Settled
    }

    /// Whether the quorum is known, so that this node may request leases.
    pub fn is_known(&self) -> bool {
        self.phase != Phase::Unknown
    }

    /// The configurations that this node's requests are made under.
    pub fn ids(&self) -> ConfigurationIds {
        ConfigurationIds {
            previous: self.ids.previous.filter(|_| !self.is_settled()),
            ..self.ids
        }
    }

    /// Whether an acceptor with this configuration answers a request made under the given ones: its
    /// own configuration, or the next one jointly with its own.
    pub fn accepts(&self, requested: ConfigurationIds) -> bool {
        requested.current == self.ids.current || requested.previous == Some(self.ids.current)
    }

    /// The status that this node reports to a node with the given configurations; `None` if it can
    /// confirm none of the phases of their reconfiguration.
    pub fn status_for(
        &self,
        now_ms: f64,
        settings: &Settings,
        requested: ConfigurationIds,
        highest_token: FencingToken,
    ) -> Option<ConfigurationStatus> {
        let is_same = requested.current == self.ids.current;
        let is_previous_acceptor = mask_of(&self.acceptors, &[settings.node]) & self.previous != 0;
        let is_sealed = is_same
            && requested.previous == self.ids.previous
            && is_previous_acceptor
            && now_ms >= self.adopted_ms + settings.max_grant_ms();
        let is_settled = is_same && self.is_settled();
        let is_previous_settled = (is_same && self.is_known())
            || (requested.previous == Some(self.ids.current) && self.is_settled());
        (is_sealed || is_settled || is_previous_settled).then_some(ConfigurationStatus {
            configuration_id: requested.current,
            is_sealed,
            is_settled,
            is_previous_settled,
            highest_token,
        })
    }

    /// Records the status that another node reported. Returns whether the configuration decides
    /// alone from now on.
    pub fn receive_status(&mut self, from: NodeId, status: ConfigurationStatus) -> bool {
        if status.configuration_id != self.ids.current || self.is_settled() {
            return false;
        }
        if status.is_sealed {
            self.sealed_by |= mask_of(&self.acceptors, &[from]) & self.previous;
        }
        if status.is_previous_settled && self.phase == Phase::Unknown {
            self.phase = Phase::Joint;
        }
        let is_majority_sealed = self.sealed_by.count_ones() as usize >= majority_of(self.previous);
        if status.is_settled || (is_majority_sealed && self.phase == Phase::Joint) {
            self.phase = Phase::Settled;
        }
        self.is_settled()
    }
}

#[cfg(test)]
mod tests;
