//! Reports of a source: assertions about endpoints, with their versions.

use crate::endpoint::{Endpoint, Lifecycle};

/// Whether a source's report is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The report is current.
    Current,
    /// The report may be outdated. Its drains still take effect at once, and so do its first
    /// assertions about endpoints, except removals; everything else waits for a current report.
    Outdated,
}

/// A source's assertion about one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Assertion {
    /// The source's key for the endpoint; see [`MatchBy`](crate::MatchBy).
    pub key: String,
    /// The asserted lifecycle.
    pub lifecycle: Lifecycle,
    /// The assertion's version: within one epoch a greater one is newer.
    pub version: u64,
    /// The endpoint's attributes, if the source reports any.
    pub endpoint: Option<Endpoint>,
}

/// An endpoint that a source no longer lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removal {
    /// The source's key for the endpoint.
    pub key: String,
    /// The version at which the source no longer lists the endpoint.
    pub version: u64,
}

/// One report of a source: the changes since the last report, or the full state.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// Whether the report is current. A current report confirms every earlier assertion that it
    /// does not change.
    pub freshness: Freshness,
    /// Increased by the source's reader whenever versions are not comparable with earlier ones.
    pub epoch: u64,
    /// The new or changed assertions.
    pub assertions: Vec<Assertion>,
    /// The endpoints that are no longer listed.
    pub removals: Vec<Removal>,
}

/// A version with its epoch; ordered by epoch first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EpochVersion {
    pub epoch: u64,
    pub version: u64,
}

/// Time, version and freshness of a received assertion.
#[derive(Clone, Copy)]
pub(super) struct Receipt {
    /// Time of receipt, in milliseconds.
    pub now_ms: f64,
    pub version: EpochVersion,
    /// Whether the report that contained the assertion is current.
    pub is_current: bool,
}
