//! Faults and repairs, with their text form.

use std::fmt;
use std::str::FromStr;

use crate::link::{Burst, Link};
use crate::NodeId;

/// A fault to inject, or a repair.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Drops all datagrams from one node to another. The other direction is not affected.
    Cut {
        /// The sender.
        from: NodeId,
        /// The receiver.
        to: NodeId,
    },
    /// Ends a [`Cut`](Self::Cut).
    Restore {
        /// The sender.
        from: NodeId,
        /// The receiver.
        to: NodeId,
    },
    /// Replaces the properties of one link.
    Link {
        /// The sender.
        from: NodeId,
        /// The receiver.
        to: NodeId,
        /// The link's new properties.
        link: Link,
    },
    /// Replaces the properties of all links.
    AllLinks {
        /// The links' new properties.
        link: Link,
    },
    /// Repairs all links.
    HealAll,
    /// Suspends a process, as `SIGSTOP` does.
    Pause {
        /// The process's node.
        node: NodeId,
        /// Duration of the pause, in milliseconds.
        ms: f64,
    },
    /// Kills a process.
    Kill {
        /// The process's node.
        node: NodeId,
    },
    /// Starts or restarts a process.
    Start {
        /// The process's node.
        node: NodeId,
    },
}

/// Error for a text that is not a valid fault or scheduled fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseFaultError {
    /// The text that could not be parsed.
    pub text: String,
}

impl ParseFaultError {
    pub(crate) fn new(text: &str) -> Self {
        Self {
            text: text.to_owned(),
        }
    }
}

impl fmt::Display for ParseFaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid fault: {}", self.text)
    }
}

impl std::error::Error for ParseFaultError {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut { from, to } => write!(f, "cut {from} {to}"),
            Self::Restore { from, to } => write!(f, "mend {from} {to}"),
            Self::Link { from, to, link } => {
                write!(f, "link {from} {to} ")?;
                write_link(f, link)
            }
            Self::AllLinks { link } => {
                write!(f, "all ")?;
                write_link(f, link)
            }
            Self::HealAll => write!(f, "heal"),
            Self::Pause { node, ms } => write!(f, "pause {node} {ms}"),
            Self::Kill { node } => write!(f, "kill {node}"),
            Self::Start { node } => write!(f, "start {node}"),
        }
    }
}

fn write_link(f: &mut fmt::Formatter<'_>, link: &Link) -> fmt::Result {
    let Link {
        cut,
        loss,
        burst: Burst {
            probability,
            duration_ms,
        },
        delay_ms,
        jitter_ms,
        duplication,
        corruption,
        replay,
    } = link;
    let cut = u8::from(*cut);
    write!(
        f,
        "{cut} {loss} {probability} {duration_ms} {delay_ms} {jitter_ms} {duplication} {corruption} {replay}"
    )
}

/// The numbers that follow a fault's keyword, and the whole text, which is quoted in parse errors.
struct Arguments<'a> {
    text: &'a str,
    numbers: Vec<f64>,
}

impl Arguments<'_> {
    fn error(&self) -> ParseFaultError {
        ParseFaultError::new(self.text)
    }

    fn number(&self, index: usize) -> Result<f64, ParseFaultError> {
        self.numbers.get(index).copied().ok_or_else(|| self.error())
    }

    fn node(&self, index: usize) -> Result<NodeId, ParseFaultError> {
        self.number(index).map(|number| number as NodeId)
    }

    /// Parses all numbers from this index on as the properties of a link.
    fn link(&self, index: usize) -> Result<Link, ParseFaultError> {
        let Some(
            [cut, loss, probability, duration_ms, delay_ms, jitter_ms, duplication, corruption, replay],
        ) = self.numbers.get(index..)
        else {
            return Err(self.error());
        };
        Ok(Link {
            cut: *cut > 0.0,
            loss: *loss,
            burst: Burst {
                probability: *probability,
                duration_ms: *duration_ms,
            },
            delay_ms: *delay_ms,
            jitter_ms: *jitter_ms,
            duplication: *duplication,
            corruption: *corruption,
            replay: *replay,
        })
    }
}

impl FromStr for Fault {
    type Err = ParseFaultError;

    /// Parses the text form that [`Display`](fmt::Display) writes.
    fn from_str(text: &str) -> Result<Self, ParseFaultError> {
        let mut words = text.split_whitespace();
        let keyword = words.next().unwrap_or_default();
        let numbers = words
            .map(str::parse)
            .collect::<Result<_, _>>()
            .map_err(|_| ParseFaultError::new(text))?;
        let arguments = Arguments { text, numbers };
        Ok(match keyword {
            "cut" => Self::Cut {
                from: arguments.node(0)?,
                to: arguments.node(1)?,
            },
            "mend" => Self::Restore {
                from: arguments.node(0)?,
                to: arguments.node(1)?,
            },
            "link" => Self::Link {
                from: arguments.node(0)?,
                to: arguments.node(1)?,
                link: arguments.link(2)?,
            },
            "all" => Self::AllLinks {
                link: arguments.link(0)?,
            },
            "heal" => Self::HealAll,
            "pause" => Self::Pause {
                node: arguments.node(0)?,
                ms: arguments.number(1)?,
            },
            "kill" => Self::Kill {
                node: arguments.node(0)?,
            },
            "start" => Self::Start {
                node: arguments.node(0)?,
            },
            _ => return Err(arguments.error()),
        })
    }
}
