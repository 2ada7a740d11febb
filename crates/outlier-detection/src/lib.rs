//! Cluster-wide outlier detection: the nodes of a cluster report to each other at which servers their attempts fail.
//!
//! A node counts how its own attempts at each server end, and broadcasts a report when some fail. From all reports each
//! node derives for itself which servers are outliers, and gives those a weight: the fraction of a server's ordinary
//! share of requests that it should get. A weight reduces or orders; it never adds a server, and it never concerns more
//! than a fraction of all servers: beyond that the reporter is the likelier fault.
//!
//! - [`OutlierDetector`] is one node's part: [`Event`]s and time go in, [`Action`]s come out.
//! - `server_state` judges one server by the evidence of all reporters, and owns its weight.
//! - `attempt_stats` counts the node's own attempts.
//! - `report` and `wire` are the reports between nodes and their bytes.
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
