//! The settings of a node's leases, and their validation.

use std::fmt;

use stable_hash::mix;

use crate::identity::{FencingToken, NodeId, Shard};

/// A fault in the algorithm that tests inject, to show that the checkers find it. Without the
/// feature `injected-fault` it has no effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// An acceptor grants right after its restart.
    NoQuarantine,
    /// A lease counts from the response in place of the request.
    LeaseFromResponse,
    /// An acceptor grants a token that equals the highest.
    EqualToken,
    /// An acceptor forgets the highest token once a grant has expired.
    ForgottenToken,
    /// A restarted acceptor begins at token 0.
    NoTokenFloor,
    /// An acceptor renews a lease that it has granted to another process since.
    StaleRenewal,
    /// A new configuration decides alone at once.
    NoJointQuorum,
}

/// What a node has to know from the start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub node: NodeId,
    /// This process of the node: a number that no other process has.
    pub process_id: u64,
    /// The acceptors, in no order: 3, 5 or 7.
    pub acceptors: Vec<NodeId>,
    /// The number of this configuration of acceptors: another one has another number.
    pub configuration: u32,
    /// The acceptors of configuration `configuration - 1`, while a running fleet moves from them to
    /// these; else empty.
    pub previous_acceptors: Vec<NodeId>,
    /// How many shards there are.
    pub shards: Shard,
    /// How long a lease lasts, in milliseconds. The same at all nodes.
    pub lease_ms: f64,
    /// By which fraction the rates of two clocks may differ.
    pub drift: f64,
    /// The lowest token that this acceptor grants, see [`FencingToken::floor`].
    pub token_floor: FencingToken,
    /// Up to which token this acceptor may have granted, as its fence file says. `None`: there is
    /// no fence file, and any token may be granted.
    pub reserved_token: Option<FencingToken>,
    /// The seed of all random draws.
    pub seed: u64,
    /// For tests only.
    pub injected_fault: InjectedFault,
}

/// Why settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Neither 3 nor 5 nor 7 acceptors, or one of them twice: how many names there are.
    Acceptors(usize),
    /// The first configuration has no previous acceptors.
    PreviousOfFirst,
    /// No shard, or more than [`Settings::MAX_SHARDS`].
    Shards(Shard),
    /// A lease time or a clock drift out of bounds.
    LeaseTimes,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Acceptors(count) => write!(
                f,
                "{count} keepers: there have to be 3, 5 or 7, each named once"
            ),
            Self::PreviousOfFirst => write!(
                f,
                "`before` names the keepers of the previous set: `set` is 2 or more"
            ),
            Self::Shards(count) => {
                let max = Settings::MAX_SHARDS;
                write!(f, "{count} shards: there have to be 1 to {max}")
            }
            Self::LeaseTimes => {
                let (min, max) = (Settings::MIN_LEASE_MS, Settings::MAX_LEASE_MS);
                let drift = Settings::MAX_DRIFT;
                write!(
                    f,
                    "a lease lasts {min} to {max} ms, and a drift is 0 to {drift}"
                )
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// The renewal of so many shards fits a few datagrams.
    pub const MAX_SHARDS: Shard = 128;
    /// The shortest lease, in milliseconds: several round trips and ticks fit a third of it.
    pub const MIN_LEASE_MS: f64 = 300.0;
    /// The longest lease, in milliseconds: a shard is unowned for so long after its owner has died.
    pub const MAX_LEASE_MS: f64 = 10_000.0;
    /// The largest drift: clocks that differ by more are broken.
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
    /// The first setting that is not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        validate_acceptors(&self.acceptors)?;
        if !self.previous_acceptors.is_empty() {
            validate_acceptors(&self.previous_acceptors)?;
            if self.configuration < 2 {
                return Err(SettingsError::PreviousOfFirst);
            }
        }
        if !(1..=Self::MAX_SHARDS).contains(&self.shards) {
            return Err(SettingsError::Shards(self.shards));
        }
        let is_lease = (Self::MIN_LEASE_MS..=Self::MAX_LEASE_MS).contains(&self.lease_ms);
        let is_drift = (0.0..=Self::MAX_DRIFT).contains(&self.drift);
        if !is_lease || !is_drift {
            return Err(SettingsError::LeaseTimes);
        }
        Ok(())
    }

    /// A hash of this configuration's number and acceptors, the shards and the times, by which
    /// nodes tell it from any other. Never 0.
    #[must_use]
    pub fn configuration_id(&self) -> u64 {
        self.id_of(self.configuration, &self.acceptors)
    }

    /// The same for the previous configuration, where there is one.
    #[must_use]
    pub fn previous_configuration_id(&self) -> Option<u64> {
        if self.previous_acceptors.is_empty() {
            return None;
        }
        let number = self.configuration.saturating_sub(1);
        Some(self.id_of(number, &self.previous_acceptors))
    }

    fn id_of(&self, configuration: u32, acceptors: &[NodeId]) -> u64 {
        let acceptors = sorted(acceptors);
        let numbers = acceptors.iter().map(|acceptor| acceptor.0);
        let rest = [
            u64::from(configuration),
            u64::from(self.shards),
            self.lease_ms.to_bits(),
            self.drift.to_bits(),
        ];
        // On the wire 0 stands for no configuration.
        numbers
            .chain(rest)
            .fold(0, |hash, number| mix(hash ^ number))
            .max(1)
    }

    /// How long a grant may last by the acceptor's own clock, which may be the faster one, in
    /// milliseconds.
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

/// In the order that all nodes agree on.
pub(crate) fn sorted(acceptors: &[NodeId]) -> Vec<NodeId> {
    let mut acceptors = acceptors.to_vec();
    acceptors.sort_unstable();
    acceptors
}

#[cfg(test)]
mod golden_tests;
