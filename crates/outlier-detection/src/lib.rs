//! Cluster-wide outlier detection: the nodes of a cluster report to each other the servers at which their attempts
//! fail.
//!
//! Each node counts the results of its own attempts at each server, and broadcasts a report when some fail. From all
//! reports each node independently determines which servers are outliers and sets their weights. The weight of a server
//! is the fraction of its ordinary share of requests that it should get. Weights only reduce or reorder the use of
//! servers: they never add a server, and no weight is reduced while more than a certain fraction of all servers would
//! be outliers, because the reporters are then more likely at fault than the servers.
//!
//! - [`OutlierDetector`] is the state machine of one node: its inputs are [`Event`]s with their time, its outputs
//!   [`Action`]s.
//! - `server_state` evaluates the evidence of all reporters about one server, and owns its weight.
//! - `attempt_stats` counts the node's own attempts.
//! - `report` and `wire` define the reports between nodes and their encoding.
//!
//! The crate does no I/O and reads no clock. Times are milliseconds of the node's own clock since boot. See
//! `docs/outlier-detection/design.md`.

mod attempt_stats;
mod detector;
mod report;
mod server_state;
mod settings;
mod wire;

pub use detector::{Action, Counters, Event, NodeKey, OutlierDetector, ReportedServer};
pub use report::{FailureKind, ServerKey};
pub use settings::{Settings, SettingsError};
pub use wire::{is_report, MAX_REPORT_BYTES};
