//! The judges of the simulated leases: a register that checks fencing tokens, and what it and the
//! observer of permits found wrong. They read only what nodes did, and share no code with the
//! leases.

use std::collections::BTreeMap;
use std::fmt;

use lease::{FencingToken, ReconfigurationError, Shard};

/// Two or more nodes had a permit for a shard at the same moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlap {
    /// The shard.
    pub shard: Shard,
    /// When, in milliseconds of the simulation.
    pub at_ms: f64,
    /// The nodes.
    pub nodes: Vec<usize>,
}

/// An effect that must not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectViolation {
    /// Two processes act on a shard under the same token.
    SharedToken {
        /// The shard.
        shard: Shard,
        /// The token.
        token: FencingToken,
    },
    /// A node accepts a published effect after one with a higher token.
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
                write!(f, "shard {shard}: two processes act as {token}")
            }
            Self::StaleEffectAccepted { shard, token } => {
                write!(f, "shard {shard}: {token} is accepted after a later token")
            }
        }
    }
}

/// How a guarantee of the leases was broken, and under which seed.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipError {
    /// The seed that reproduces it.
    pub seed: u64,
    /// What was broken.
    pub violation: Violation,
}

/// How a guarantee of the leases was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A shard had two owners.
    TwoOwners {
        /// The first time.
        first: Overlap,
        /// How many more times that was observed.
        more: usize,
    },
    /// An effect that must not happen.
    Effect(EffectViolation),
    /// A shard was acquired under a token that is not above the one before.
    TokenNotRising {
        /// The shard.
        shard: Shard,
        /// The token.
        token: FencingToken,
        /// The process that acquired it.
        process_id: u64,
    },
    /// Some shards have no owner after a time.
    Unowned {
        /// The owner of each shard.
        owners: Vec<Option<usize>>,
        /// How long was waited, in milliseconds.
        timeout_ms: f64,
    },
    /// A shard has an owner while earlier grants may still be valid.
    OwnedDuringQuarantine,
    /// A node rejects a reconfiguration that is safe.
    Reconfiguration {
        /// The node.
        node: usize,
        /// Its reason.
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
                    "shard {shard} at {at_ms:.0}: owned by {nodes:?}, and {more} more"
                )
            }
            Self::Effect(violation) => violation.fmt(f),
            Self::TokenNotRising {
                shard,
                token,
                process_id,
            } => write!(
                f,
                "shard {shard} acquired as {token} by {process_id}, not above the token before"
            ),
            Self::Unowned { owners, timeout_ms } => {
                write!(f, "owners {owners:?} after {timeout_ms} ms")
            }
            Self::OwnedDuringQuarantine => {
                write!(f, "a shard is owned before all earlier grants have expired")
            }
            Self::Reconfiguration { node, error } => write!(f, "n{node}: {error}"),
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

/// A resource that checks fencing tokens: it accepts an effect unless its token is below the
/// highest.
#[derive(Default)]
pub(super) struct Register {
    highest: BTreeMap<Shard, AcceptedEffect>,
    pub rejected: u64,
    pub violations: Vec<EffectViolation>,
}

impl Register {
    pub fn act(&mut self, shard: Shard, token: FencingToken, process_id: u64) {
        let highest = self.highest.get(&shard).copied().unwrap_or_default();
        if token < highest.token {
            self.rejected += 1;
            return;
        }
        if token == highest.token && highest.process_id != process_id {
            self.violations
                .push(EffectViolation::SharedToken { shard, token });
        }
        self.highest
            .insert(shard, AcceptedEffect { token, process_id });
    }
}
