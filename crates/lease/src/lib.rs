//! Leases with fencing tokens, granted by a majority of acceptors.
//!
//! The work that all nodes of a fleet have in common is cut into shards. A process owns a shard
//! while it holds grants for it from a majority of a fixed set of acceptors, each for a limited
//! time. Two majorities have an acceptor in common, and an acceptor grants a shard to one process
//! at a time, so a shard never has two owners. Each ownership carries a [`FencingToken`] that only
//! rises, by which a resource rejects the effects of an earlier owner.
//!
//! An owner counts its lease from when it **sent** the request and shortens it by the clock drift
//! that two nodes may have. An acceptor that has restarted has lost its grants and grants nothing
//! until all that it may have granted has expired. Safety never rests on which nodes are believed
//! to be alive: that only decides which node requests a shard first.
//!
//! The crate has no I/O and no clock: [`Event`]s and the time go into [`LeaseManager::handle`],
//! [`Action`]s come out. Times are milliseconds of the node's own clock since boot, suspend
//! included. See `docs/lease/design.md`.

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
