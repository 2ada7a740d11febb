//! What the operators are told of the view.

use std::fmt;

use crate::host::State;
use crate::rules::Verdict;

/// A line for the operators. The operators' page (`docs/endpoint-discovery/operate.md`) explains each.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// Sources disagree on a server.
    Disagreement {
        /// The server.
        id: String,
        /// Each source's name and word.
        said: Vec<(String, Option<State>)>,
        /// What is made of it.
        verdict: Verdict,
    },
    /// Further disagreements at the same time.
    MoreDisagreements(usize),
    /// A source withdraws so many of its servers within a short time that it is not believed yet.
    Withdrawal {
        /// The source's name.
        source: String,
        /// Servers that it withdraws, and how many it had.
        of: (usize, usize),
    },
    /// What a source withdrew is believed now, or it has taken it back.
    WithdrawalOver {
        /// The source's name.
        source: String,
    },
    /// No server would be left but for those that a source has removed and another calls ready: they are served by.
    LastStanding {
        /// How many.
        servers: usize,
    },
    /// Servers are left again without those.
    LastStandingOver,
    /// A source answers again, and what it says is of now.
    Fresh {
        /// The source's name.
        source: String,
    },
    /// A source is out of touch, or answers from a stale copy: its last word is held.
    Held {
        /// The source's name.
        source: String,
    },
    /// A source has been out of touch for longer than its word holds: what it removed is no longer removed by it.
    Aged {
        /// The source's name.
        source: String,
    },
    /// A source names more servers than are held; the rest is passed over.
    TooMany {
        /// The source's name.
        source: String,
    },
}

fn word(state: Option<State>) -> &'static str {
    match state {
        None => "nothing",
        Some(State::Ready) => "ready",
        Some(State::Draining) => "draining",
        Some(State::Gone) => "gone",
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Removed { .. } => "gone",
            Self::Unnamed => "not served by, as nobody who may name servers names it",
        })
    }
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disagreement { id, said, verdict } => {
                write!(f, "view: {id:?} is {verdict}:")?;
                said.iter().try_for_each(|(source, state)| {
                    write!(f, " {source} says {},", word(*state))
                })?;
                write!(f, " and the rules decide")
            }
            Self::MoreDisagreements(count) => {
                write!(f, "view: sources disagree on {count} more servers")
            }
            Self::Withdrawal {
                source,
                of: (count, all),
            } => {
                write!(
                    f,
                    "view: {source} withdraws {count} of {all} servers; not believed yet"
                )
            }
            Self::WithdrawalOver { source } => {
                write!(f, "view: the withdrawal by {source} is settled")
            }
            Self::LastStanding { servers } => {
                write!(f, "view: no server would be left; {servers} that one source removed are served by")
            }
            Self::LastStandingOver => write!(f, "view: servers are left again"),
            Self::Fresh { source } => write!(f, "view: {source} is in touch"),
            Self::Held { source } => {
                write!(
                    f,
                    "view: {source} is out of touch or stale; its last word is held"
                )
            }
            Self::Aged { source } => {
                write!(
                    f,
                    "view: {source} has been out of touch for too long; what it removed no longer counts"
                )
            }
            Self::TooMany { source } => {
                write!(
                    f,
                    "view: {source} names more than {} servers",
                    crate::host::MOST_SERVERS
                )
            }
        }
    }
}
