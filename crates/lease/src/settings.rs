//! The settings of a node's leases, and their validation.

use std::fmt;

use stable_hash::mix;

use crate::identity::{FencingToken, NodeId, Shard};

/// A fault that tests inject into the algorithm, to verify that the checkers detect it. Without the
/// feature `injected-fault` it has no effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// An acceptor grants leases immediately after its restart.
    NoQuarantine,
    /// A lease is counted from the response instead of the request.
    LeaseFromResponse,
    /// An acceptor grants a token that equals the highest.
    EqualToken,
    /// An acceptor forgets the highest token once a grant has expired.
    ForgottenToken,
    /// A restarted acceptor starts at token 0.
    NoTokenFloor,
    /// An acceptor renews a lease although it has since granted the shard to another process.
    StaleRenewal,
    /// A new configuration decides alone immediately.
    NoJointQuorum,
}

/// The settings of a node's leases.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub node: NodeId,
    /// The id of this process, which no other process of any node has.
    pub process_id: u64,
    /// The acceptors, in any order: 3, 5 or 7.
    pub acceptors: Vec<NodeId>,
    /// The number of this configuration of acceptors. Each configuration has a different number.
    pub configuration: u32,
    /// The acceptors of configuration `configuration - 1`, while a running cluster replaces them by
    /// `acceptors`; otherwise empty.
    pub previous_acceptors: Vec<NodeId>,
    /// The number of shards.
    pub shards: Shard,
    /// The length of a lease, in milliseconds. It has to be the same at all nodes.
    pub lease_ms: f64,
    /// The maximum clock drift: the fraction by which the rates of two nodes' clocks may differ.
    pub drift: f64,
    /// The token above which this acceptor grants leases, see [`FencingToken::floor`].
    pub token_floor: FencingToken,
    /// The highest token that this acceptor may have granted, according to its fence file. `None`:
    /// there is no fence file, and any token may be granted.
    pub reserved_token: Option<FencingToken>,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The fault to inject, for tests only.
    pub injected_fault: InjectedFault,
}

/// The reason why settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The number of acceptors, given here, is not 3, 5 or 7, or an acceptor is listed twice.
    Acceptors(usize),
    /// Previous acceptors are given for the first configuration, which cannot have any.
    PreviousAcceptorsOfFirst,
    /// The number of shards is 0 or more than [`Settings::MAX_SHARDS`].
    Shards(Shard),
    /// The length of a lease or the clock drift is out of bounds.
    LeaseTimes,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Acceptors(count) => write!(
                f,
                "{count} keepers configured: expected 3, 5 or 7, each named once"
            ),
            Self::PreviousAcceptorsOfFirst => write!(
                f,
                "`before` names the keepers of the previous set, so `set` must be 2 or more"
            ),
            Self::Shards(count) => {
                let max = Settings::MAX_SHARDS;
                write!(f, "{count} shards configured: expected 1 to {max}")
            }
            Self::LeaseTimes => {
                let (min, max) = (Settings::MIN_LEASE_MS, Settings::MAX_LEASE_MS);
                let drift = Settings::MAX_DRIFT;
                write!(
                    f,
                    "`lease_ms` must be {min} to {max} ms and `drift` must be 0 to {drift}"
                )
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// The maximum number of shards: their renewals fit into a few datagrams.
    pub const MAX_SHARDS: Shard = 128;
    /// The shortest lease, in milliseconds: a third of it allows for several round trips and ticks.
    pub const MIN_LEASE_MS: f64 = 300.0;
    /// The longest lease, in milliseconds: a shard can stay unowned for this long after its owner
    /// has failed.
    pub const MAX_LEASE_MS: f64 = 10_000.0;
    /// The largest clock drift: a clock that differs by more is faulty.
    pub const MAX_DRIFT: f64 = 0.1;

    /// Settings with the default times and 64 shards.
    #[must_use]
    pub fn new(node: NodeId, process_id: u64, acceptors: Vec<NodeId>) -> Self {
        Self {
            node,
            process_id,
            acceptors,
            configuration: 1,
            previous_acceptors: Vec::new(),
            shards: 64,
            lease_ms: 2_500.0,
            drift: 0.01,
            token_floor: FencingToken(0),
            reserved_token: None,
            seed: process_id,
            injected_fault: InjectedFault::None,
        }
    }

    /// Checks that the settings are within their bounds.
    ///
    /// # Errors
    ///
    /// The first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), SettingsError> {
        validate_acceptors(&self.acceptors)?;
        if !self.previous_acceptors.is_empty() {
            validate_acceptors(&self.previous_acceptors)?;
            if self.configuration < 2 {
                return Err(SettingsError::PreviousAcceptorsOfFirst);
            }
        }
        if !(1..=Self::MAX_SHARDS).contains(&self.shards) {
            return Err(SettingsError::Shards(self.shards));
        }
        let is_lease_in_bounds = (Self::MIN_LEASE_MS..=Self::MAX_LEASE_MS).contains(&self.lease_ms);
        let is_drift_in_bounds = (0.0..=Self::MAX_DRIFT).contains(&self.drift);
        if !is_lease_in_bounds || !is_drift_in_bounds {
            return Err(SettingsError::LeaseTimes);
        }
        Ok(())
    }

    /// A hash of this configuration's number and acceptors, the number of shards, the length of a
    /// lease and the drift, by which nodes distinguish configurations. Never 0.
    #[must_use]
    pub fn configuration_id(&self) -> u64 {
        self.hash_configuration(self.configuration, &self.acceptors)
    }

    /// The same hash for the previous configuration, if there is one.
    #[must_use]
    pub fn previous_configuration_id(&self) -> Option<u64> {
        if self.previous_acceptors.is_empty() {
            return None;
        }
        let number = self.configuration.saturating_sub(1);
        Some(self.hash_configuration(number, &self.previous_acceptors))
    }

    fn hash_configuration(&self, configuration: u32, acceptors: &[NodeId]) -> u64 {
        let acceptors = sorted(acceptors);
        let numbers = acceptors.iter().map(|acceptor| acceptor.0);
        let rest = [
            u64::from(configuration),
            u64::from(self.shards),
            self.lease_ms.to_bits(),
            self.drift.to_bits(),
        ];
        // On the wire 0 means that there is no configuration.
        numbers
            .chain(rest)
            .fold(0, |hash, number| mix(hash ^ number))
            .max(1)
    }

    /// The longest time for which a grant may be valid, in milliseconds of any node's clock, which
    /// may run faster than the acceptor's.
    #[must_use]
    pub fn max_grant_ms(&self) -> f64 {
        self.lease_ms * (1.0 + self.drift)
    }
}

fn validate_acceptors(acceptors: &[NodeId]) -> Result<(), SettingsError> {
    let mut distinct = sorted(acceptors);
    distinct.dedup();
    let is_valid = [3, 5, 7].contains(&distinct.len()) && distinct.len() == acceptors.len();
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError::Acceptors(acceptors.len()))
    }
}

/// The acceptors in ascending order, so that all nodes have them in the same order.
pub(crate) fn sorted(acceptors: &[NodeId]) -> Vec<NodeId> {
    let mut acceptors = acceptors.to_vec();
    acceptors.sort_unstable();
    acceptors
}

#[cfg(test)]
mod golden_tests;
