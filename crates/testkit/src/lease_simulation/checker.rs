//! Checks of the simulated leases: a register that checks fencing tokens, and the violations that
//! it and the observation of permits detect. They rely only on the observed actions of nodes and
//! share no code with the leases.

use std::collections::BTreeMap;
use std::fmt;

use lease::{FencingToken, ReconfigurationError, Shard};

/// Two or more nodes had a permit for a shard at the same moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlap {
    /// The shard.
    pub shard: Shard,
    /// Simulation time, in milliseconds.
    pub at_ms: f64,
    /// The nodes with a permit.
    pub nodes: Vec<usize>,
}

/// An effect that violates the guarantees of fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectViolation {
    /// Two processes acted on a shard under the same token.
    SharedToken {
        /// The shard.
        shard: Shard,
        /// The token.
        token: FencingToken,
    },
    /// A node accepted a published effect after one with a higher token.
    StaleEffectAccepted {
        /// The shard.
        shard: Shard,
        /// The lower token.
        token: FencingToken,
    },
}

impl fmt::Display for EffectViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SharedToken { shard, token } => {
                write!(f, "shard {shard}: two processes acted under token {token}")
            }
            Self::StaleEffectAccepted { shard, token } => {
                write!(
                    f,
                    "shard {shard}: effect under token {token} accepted after a higher one"
                )
            }
        }
    }
}

/// A violation of the guarantees of leases, and the seed that reproduces it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipError {
    /// Seed of the simulation.
    pub seed: u64,
    /// The violation.
    pub violation: Violation,
}

/// A violation of the guarantees of leases.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A shard had several owners at the same time.
    TwoOwners {
        /// The first observation.
        first: Overlap,
        /// Number of further observations.
        more: usize,
    },
    /// An effect violated the guarantees of fencing tokens.
    Effect(EffectViolation),
    /// A shard was acquired under a token that is not greater than the previous owner's.
    TokenNotIncreasing {
        /// The shard.
        shard: Shard,
        /// The token.
        token: FencingToken,
        /// The process that acquired it.
        process_id: u64,
    },
    /// Some shards had no owner when the timeout expired.
    Unowned {
        /// The owner of each shard, if any.
        owners: Vec<Option<usize>>,
        /// Timeout, in milliseconds.
        timeout_ms: f64,
    },
    /// A shard had an owner while earlier grants could still be valid.
    OwnedDuringQuarantine,
    /// A node rejected a safe reconfiguration.
    Reconfiguration {
        /// The node.
        node: usize,
        /// The reason that the node gave.
        error: ReconfigurationError,
    },
}

impl fmt::Display for OwnershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}: {}", self.seed, self.violation)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoOwners { first, more } => {
                let Overlap {
                    shard,
                    at_ms,
                    nodes,
                } = first;
                write!(
                    f,
                    "shard {shard} at {at_ms:.0} ms: owned by nodes {nodes:?}; {more} more overlaps"
                )
            }
            Self::Effect(violation) => violation.fmt(f),
            Self::TokenNotIncreasing {
                shard,
                token,
                process_id,
            } => write!(
                f,
                "shard {shard}: token {token} of process {process_id} is not above the previous one"
            ),
            Self::Unowned { owners, timeout_ms } => {
                write!(
                    f,
                    "not all shards have an owner after {timeout_ms} ms: {owners:?}"
                )
            }
            Self::OwnedDuringQuarantine => {
                write!(
                    f,
                    "a shard has an owner before all earlier grants have expired"
                )
            }
            Self::Reconfiguration { node, error } => {
                write!(f, "n{node} rejected a safe reconfiguration: {error}")
            }
        }
    }
}

impl std::error::Error for OwnershipError {}

/// The last effect on a shard that a [`Register`] accepted.
#[derive(Clone, Copy, Default)]
struct AcceptedEffect {
    token: FencingToken,
    process_id: u64,
}

/// A resource that checks fencing tokens: it rejects an effect whose token is lower than the
/// highest accepted one.
#[derive(Default)]
pub(super) struct Register {
    last_accepted: BTreeMap<Shard, AcceptedEffect>,
    pub rejected: u64,
    pub violations: Vec<EffectViolation>,
}

impl Register {
    pub fn apply(&mut self, shard: Shard, token: FencingToken, process_id: u64) {
        let last = self.last_accepted.get(&shard).copied().unwrap_or_default();
        if token < last.token {
            self.rejected += 1;
            return;
        }
        if token == last.token && last.process_id != process_id {
            self.violations
                .push(EffectViolation::SharedToken { shard, token });
        }
        self.last_accepted
            .insert(shard, AcceptedEffect { token, process_id });
    }
}
