//! Leases with fencing tokens, granted by a majority of acceptors.
//!
//! The work that all nodes of a cluster share is divided into shards. A process owns a shard while
//! it holds grants for it from a majority of a fixed set of acceptors, each for a limited time. Two
//! majorities have an acceptor in common, and an acceptor grants a shard to one process at a time,
//! so a shard never has two owners. Each ownership has a higher [`FencingToken`] than the ones
//! before it, so that a resource can reject the effects of an earlier owner.
//!
//! An owner counts its lease from when it **sent** the request, and shortens it by the maximum
//! clock drift between two nodes. A restarted acceptor has lost its grants, so it grants nothing
//! until every lease that it may have granted has expired. Safety does not depend on failure
//! detection, which only decides which node requests a shard first.
//!
//! The crate performs no I/O and reads no clock: the caller passes [`Event`]s and the time to
//! [`LeaseManager::handle`] and carries out the [`Action`]s that it appends. Times are milliseconds
//! since boot by the node's own clock, including suspend time. See `docs/lease/design.md`.

mod acceptor;
mod action;
mod claim;
mod event;
mod fence_file;
mod identity;
mod joint_quorum;
mod manager;
mod message;
mod settings;

pub use action::{Action, LogEvent, Metrics, OwnershipChange, ShardOwner};
pub use event::{Event, NodeHealth};
pub use fence_file::{decode_fence_file, encode_fence_file, FenceFileError, MAX_FENCE_FILE_BYTES};
pub use identity::{FencingToken, NodeId, Shard};
pub use manager::{
    ConfigurationRequest, ConfigurationState, LeaseManager, Permit, ReconfigurationError,
    ReconfigurationOutcome,
};
pub use message::{MAX_EFFECT_BYTES, MAX_MESSAGE_BYTES};
pub use settings::{InjectedFault, Settings, SettingsError};
