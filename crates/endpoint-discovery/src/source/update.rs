//! What a source reports: assertions about endpoints, with their versions.

use crate::endpoint::{Endpoint, Lifecycle};

/// Whether a source's report is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is.
    Current,
    /// It may be outdated. Its drains still take effect at once, and so do its first assertions
    /// about endpoints; everything else waits for a current report.
    Outdated,
}

/// What a source asserts about one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Assertion {
    /// The source's key for the endpoint; see [`MatchBy`](crate::MatchBy).
    pub key: String,
    /// The asserted lifecycle.
    pub lifecycle: Lifecycle,
    /// The assertion's version: within one epoch a greater one is newer.
    pub version: u64,
    /// The endpoint's attributes, as far as the source knows them.
    pub endpoint: Option<Endpoint>,
}

/// An endpoint that a source no longer lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removal {
    /// The source's key for the endpoint.
    pub key: String,
    /// The version at which the endpoint was missing.
    pub version: u64,
}

/// One report of a source: what changed since the last one, or everything.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// Whether it is current. A current report confirms every earlier assertion that it does not
    /// change.
    pub freshness: Freshness,
    /// Increased by the source's reader whenever versions are not comparable with earlier ones.
    pub epoch: u64,
    /// The assertions that changed.
    pub assertions: Vec<Assertion>,
    /// The endpoints that are no longer listed.
    pub removals: Vec<Removal>,
}

/// A version with its epoch, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EpochVersion {
    pub epoch: u64,
    pub version: u64,
}

/// How an assertion was received.
#[derive(Clone, Copy)]
pub(super) struct Receipt {
    pub now_ms: f64,
    pub version: EpochVersion,
    pub is_current: bool,
}
