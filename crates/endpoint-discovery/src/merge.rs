//! The merge table: combines the assertions of all sources about one endpoint into an outcome.
//!
//! `docs/endpoint-discovery/design.md` shows it as a table; `tests/merge_table.rs` checks the code
//! against it, entry by entry.

use crate::endpoint::Lifecycle;

/// Whether a source is reachable and current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SourceStatus {
    /// The source responds, with current data.
    Live,
    /// The source is unreachable or responds with outdated data: its last assertions are retained.
    Stale,
    /// The source has been stale for longer than the policy permits: its removals lapse, while its
    /// listings and drains remain in effect.
    Expired,
}

/// The effective assertion of one source about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EffectiveAssertion {
    /// The lifecycle; `None` if no assertion of the source is in effect.
    pub lifecycle: Option<Lifecycle>,
    /// The source's status.
    pub source_status: SourceStatus,
    /// Whether the source may add endpoints that no other source lists.
    pub may_add_endpoints: bool,
    /// Whether the server has restarted since the assertion was made.
    pub superseded_by_restart: bool,
}

/// The outcome of all sources' assertions about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MergeOutcome {
    /// The endpoint may get new requests.
    Ready,
    /// The endpoint gets no new requests.
    Draining,
    /// A source's assertion removes the endpoint.
    Removed {
        /// Whether a source that has not expired asserts that the endpoint is ready, and no source
        /// drains it.
        /// Disputed endpoints are used as the last resort if no endpoint is ready.
        disputed: bool,
    },
    /// No source that may add endpoints lists the endpoint.
    Unlisted,
}

/// Contribution of one assertion to the outcome.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Contribution {
    /// Ready, from a source that may add endpoints.
    Adds,
    /// Ready, from a source that may not add endpoints.
    Confirms,
    Drains,
    Removes,
    Nothing,
}

impl EffectiveAssertion {
    fn contribution(self) -> Contribution {
        let ready = if self.may_add_endpoints {
            Contribution::Adds
        } else {
            Contribution::Confirms
        };
        match self.lifecycle {
            None => Contribution::Nothing,
            Some(Lifecycle::Ready) => ready,
            // An assertion about a server's process does not apply after the server restarts.
            Some(Lifecycle::Draining) if self.superseded_by_restart => ready,
            Some(Lifecycle::Draining) => Contribution::Drains,
            Some(Lifecycle::Gone)
                if self.superseded_by_restart || self.source_status == SourceStatus::Expired =>
            {
                Contribution::Nothing
            }
            Some(Lifecycle::Gone) => Contribution::Removes,
        }
    }

    fn is_authoritative_removal(self) -> bool {
        self.may_add_endpoints && self.contribution() == Contribution::Removes
    }

    fn is_authoritative_listing(self) -> bool {
        self.may_add_endpoints
            && matches!(self.lifecycle, Some(Lifecycle::Ready | Lifecycle::Draining))
    }

    fn is_unexpired_ready(self) -> bool {
        self.source_status != SourceStatus::Expired
            && matches!(
                self.contribution(),
                Contribution::Adds | Contribution::Confirms
            )
    }
}

/// Merges the sources' assertions about one endpoint. The order of the assertions is irrelevant.
///
/// - `Gone` from a source that may add endpoints removes the endpoint, whatever the other sources
///   assert, until that source expires or the server restarts.
/// - `Draining` from any source drains it. A drain never expires: only a newer assertion of the
///   same source or a restart of the server ends it.
/// - `Gone` from any other source removes it too, until that source expires.
/// - `Ready` makes it accept requests only if a source that may add endpoints lists it, whatever
///   that source's status: losing a source removes no endpoint.
#[must_use]
pub fn merge(assertions: &[EffectiveAssertion]) -> MergeOutcome {
    let contributes = |contribution: Contribution| {
        assertions
            .iter()
            .any(|assertion| assertion.contribution() == contribution)
    };
    let any = |condition: fn(EffectiveAssertion) -> bool| assertions.iter().copied().any(condition);
    let drains = contributes(Contribution::Drains);
    // Recorded so that one source alone cannot empty the view.
    let disputed = any(EffectiveAssertion::is_unexpired_ready) && !drains;
    if any(EffectiveAssertion::is_authoritative_removal) {
        MergeOutcome::Removed { disputed }
    } else if !any(EffectiveAssertion::is_authoritative_listing) {
        MergeOutcome::Unlisted
    } else if drains {
        MergeOutcome::Draining
    } else if contributes(Contribution::Removes) {
        MergeOutcome::Removed { disputed }
    } else {
        MergeOutcome::Ready
    }
}
