//! Typed log events of the view, with their text for operators.

use std::fmt;

use crate::endpoint::{Lifecycle, MAX_ENDPOINTS};
use crate::merge::MergeOutcome;

/// What one source asserts about an endpoint, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceLifecycle {
    /// The source's name.
    pub source: String,
    /// The lifecycle that it asserts; `None` if it does not list the endpoint.
    pub lifecycle: Option<Lifecycle>,
}

/// A line for the operators' log; `docs/endpoint-discovery/operate.md` explains each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// Sources disagree about an endpoint.
    Disagreement {
        /// The endpoint's id.
        id: String,
        /// What each source asserts.
        source_lifecycles: Vec<SourceLifecycle>,
        /// What the merge made of it.
        outcome: MergeOutcome,
    },
    /// Further disagreements in the same step, beyond those that are logged one by one.
    MoreDisagreements(usize),
    /// A source removes so many of its endpoints within a short time that the removals are deferred.
    MassRemovalDeferred {
        /// The source's name.
        source: String,
        /// Endpoints that it removes.
        removed: usize,
        /// Endpoints that it had before.
        total: usize,
    },
    /// The deferred removals have taken effect, or the source has revoked them.
    MassRemovalResolved {
        /// The source's name.
        source: String,
    },
    /// No endpoint would be left: those are used that one source removed and another calls ready.
    LastResortStarted {
        /// How many.
        endpoints: usize,
    },
    /// Other endpoints are ready again, and the last resort has ended.
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
    /// A source has been stale for longer than its assertions are retained: its removals no longer
    /// count.
    SourceExpired {
        /// The source's name.
        source: String,
    },
    /// A source lists more than [`MAX_ENDPOINTS`]; the rest is ignored.
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
            Self::Unlisted => "not used, as no source that may add endpoints lists it",
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
                for (position, SourceLifecycle { source, lifecycle }) in source_lifecycles.iter().enumerate() {
                    let separator = if position == 0 { "" } else { "," };
                    let lifecycle = lifecycle_text(*lifecycle);
                    write!(f, "{separator} {source} says {lifecycle}")?;
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
                write!(f, "view: the mass removal by {source} is settled")
            }
            Self::LastResortStarted { endpoints } => write!(
                f,
                "view: no endpoint would be left; {endpoints} that one source removed are used as the last resort"
            ),
            Self::LastResortEnded => write!(f, "view: endpoints are ready again; last resort ended"),
            Self::SourceLive { source } => write!(f, "view: {source} is live"),
            Self::SourceStale { source } => write!(
                f,
                "view: {source} is unreachable or stale; its last state is retained"
            ),
            Self::SourceExpired { source } => write!(
                f,
                "view: {source} has been stale for too long and expired; its removals no longer count"
            ),
            Self::TooManyEndpoints { source } => {
                write!(f, "view: {source} lists more than {MAX_ENDPOINTS} endpoints")
            }
        }
    }
}
