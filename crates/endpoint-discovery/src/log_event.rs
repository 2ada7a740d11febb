//! Typed log events of the view, with their text for operators.

use std::fmt;

use crate::endpoint::{Lifecycle, MAX_ENDPOINTS};
use crate::merge::MergeOutcome;

/// The lifecycle that one source asserts for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceLifecycle {
    /// The source's name.
    pub source: String,
    /// The asserted lifecycle; `None` if the source does not list the endpoint.
    pub lifecycle: Option<Lifecycle>,
}

/// A line for the operators' log; `docs/endpoint-discovery/operate.md` explains each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// Sources disagree about an endpoint.
    Disagreement {
        /// The endpoint's id.
        id: String,
        /// The lifecycle that each source asserts.
        source_lifecycles: Vec<SourceLifecycle>,
        /// The merged outcome.
        outcome: MergeOutcome,
    },
    /// The number of further disagreements in the same step, which are not logged individually.
    MoreDisagreements(usize),
    /// A source's removals are deferred because they exceed its panic threshold.
    MassRemovalDeferred {
        /// The source's name.
        source: String,
        /// Number of endpoints that the source removes.
        removed: usize,
        /// Number of endpoints that the source had before.
        total: usize,
    },
    /// A mass removal is no longer deferred: each removal has taken effect or was revoked by the
    /// source.
    MassRemovalResolved {
        /// The source's name.
        source: String,
    },
    /// No endpoint is ready, so the disputed ones are used: one source removed them, and another
    /// reports them as ready.
    LastResortStarted {
        /// Number of disputed endpoints.
        endpoints: usize,
    },
    /// The last resort has ended: an endpoint is ready again, or none is disputed any longer.
    LastResortEnded,
    /// A source responds again, with current data.
    SourceLive {
        /// The source's name.
        source: String,
    },
    /// A source is unreachable or responds with outdated data: its last assertions are retained.
    SourceStale {
        /// The source's name.
        source: String,
    },
    /// A source has been stale for longer than its assertions are retained: its removals are
    /// ignored from now on.
    SourceExpired {
        /// The source's name.
        source: String,
    },
    /// A source lists more than [`MAX_ENDPOINTS`] endpoints; the others are ignored.
    TooManyEndpoints {
        /// The source's name.
        source: String,
    },
}

fn lifecycle_text(lifecycle: Option<Lifecycle>) -> &'static str {
    match lifecycle {
        None => "nothing",
        Some(Lifecycle::Ready) => "ready",
        Some(Lifecycle::Draining) => "draining",
        Some(Lifecycle::Gone) => "gone",
    }
}

impl fmt::Display for MergeOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Removed { .. } => "gone",
            Self::Unlisted => "not used because no source that may add endpoints lists it",
        })
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disagreement {
                id,
                source_lifecycles,
                outcome,
            } => {
                write!(f, "view: {id:?} is {outcome}; sources disagree:")?;
                for (position, SourceLifecycle { source, lifecycle }) in
                    source_lifecycles.iter().enumerate()
                {
                    let separator = if position == 0 { "" } else { "," };
                    let lifecycle = lifecycle_text(*lifecycle);
                    write!(f, "{separator} {source} reports {lifecycle}")?;
                }
                Ok(())
            }
            Self::MoreDisagreements(count) => {
                write!(f, "view: sources disagree on {count} more endpoints")
            }
            Self::MassRemovalDeferred {
                source,
                removed,
                total,
            } => write!(
                f,
                "view: {source} removes {removed} of {total} endpoints at once; deferred until confirmed"
            ),
            Self::MassRemovalResolved { source } => {
                write!(
                    f,
                    "view: the mass removal by {source} has taken effect or was revoked"
                )
            }
            Self::LastResortStarted { endpoints } => write!(
                f,
                "view: no endpoint is ready; last resort started with {endpoints} endpoints that one source removed and another reports as ready"
            ),
            Self::LastResortEnded => write!(f, "view: last resort ended"),
            Self::SourceLive { source } => write!(f, "view: {source} is live"),
            Self::SourceStale { source } => write!(
                f,
                "view: {source} is unreachable or stale; its last state is retained"
            ),
            Self::SourceExpired { source } => write!(
                f,
                "view: {source} has expired after being stale for too long; its removals are ignored"
            ),
            Self::TooManyEndpoints { source } => {
                write!(
                    f,
                    "view: {source} lists more than {MAX_ENDPOINTS} endpoints; the others are ignored"
                )
            }
        }
    }
}
