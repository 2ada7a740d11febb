//! Which acceptors decide: those of the current configuration, and with them the previous ones
//! until nobody can act by these alone.
//!
//! Majorities of two configurations need not intersect: of `a b c` and `a b d` those are `a c` and
//! `b d`. So a node with a new configuration needs a majority of **both** at first. An acceptor
//! with the new configuration grants nothing any more to nodes with only the previous one: it has
//! *sealed* that. Once a majority of the previous acceptors have sealed it for longer than any
//! lease, nobody can act by it, and the new configuration decides alone. That stays true for ever,
//! so a node may accept it from any other that knows it. A node assumes nothing that it does not
//! know: one that starts during a reconfiguration owns nothing until it has been told how far it
//! has come.

use crate::claim::{majority_of, AcceptorMask, Quorum};
use crate::identity::{FencingToken, NodeId};
use crate::message::{ConfigurationIds, ConfigurationStatus};
use crate::settings::{InjectedFault, Settings};

/// How far a reconfiguration is, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Configurations before the previous one may still decide.
    Unknown,
    /// No process can act under a configuration before the previous one.
    Joint,
    /// No process can act under an earlier configuration.
    Settled,
}

/// The acceptors that a node sends requests to, and whose grants make a quorum.
#[derive(Clone, Debug)]
pub struct JointQuorum {
    /// The acceptors of both configurations, sorted. Claims refer to them by index.
    acceptors: Vec<NodeId>,
    ids: ConfigurationIds,
    current: AcceptorMask,
    previous: AcceptorMask,
    phase: Phase,
    /// Since when this process has had the configuration, in milliseconds.
    since_ms: f64,
    /// The previous acceptors that are known to have sealed their configuration.
    sealed: AcceptorMask,
}

fn mask_of(all: &[NodeId], acceptors: &[NodeId]) -> AcceptorMask {
    acceptors
        .iter()
        .filter_map(|acceptor| all.iter().position(|other| other == acceptor))
        .fold(0, |mask, index| mask | 1 << index)
}

impl JointQuorum {
    /// The quorum of a process that starts, and knows no more than its settings.
    pub fn at_start(now_ms: f64, settings: &Settings) -> Self {
        Self::new(now_ms, settings, Phase::Unknown)
    }

    /// The quorum of a process whose previous configuration decided alone until now.
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
            since_ms: now_ms,
            sealed: 0,
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

    /// Whose grants it takes to own a shard.
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

    /// Whether this node may request leases.
    pub fn is_known(&self) -> bool {
        self.phase != Phase::Unknown
    }

    /// The configurations that requests are made under.
    pub fn ids(&self) -> ConfigurationIds {
        ConfigurationIds {
            previous: self.ids.previous.filter(|_| !self.is_settled()),
            ..self.ids
        }
    }

    /// Whether an acceptor with this configuration grants requests made under those: under its own,
    /// or under the next one together with it.
    pub fn accepts(&self, requested: ConfigurationIds) -> bool {
        requested.current == self.ids.current || requested.previous == Some(self.ids.current)
    }

    /// What this node can tell a node with those configurations; `None` where nothing helps it.
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
            && now_ms >= self.since_ms + settings.max_grant_ms();
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

    /// Accepts what another node knows. Returns whether the configuration decides alone from now
    /// on.
    pub fn receive_status(&mut self, from: NodeId, status: ConfigurationStatus) -> bool {
        if status.configuration_id != self.ids.current || self.is_settled() {
            return false;
        }
        if status.is_sealed {
            self.sealed |= mask_of(&self.acceptors, &[from]) & self.previous;
        }
        if status.is_previous_settled && self.phase == Phase::Unknown {
            self.phase = Phase::Joint;
        }
        let is_majority_sealed = self.sealed.count_ones() as usize >= majority_of(self.previous);
        if status.is_settled || (is_majority_sealed && self.phase == Phase::Joint) {
            self.phase = Phase::Settled;
        }
        self.is_settled()
    }
}

#[cfg(test)]
mod tests;
