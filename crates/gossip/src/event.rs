//! The inputs and outputs of the state machine: events, actions, membership changes and log events.

use std::fmt;

use crate::member::{Health, State};
use crate::member_id::MemberId;

/// A peer address, as the driver numbers them. A number never stands for another address.
pub type PeerId = usize;

/// An input.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A datagram was received from a peer's address.
    Datagram {
        /// The address.
        from: PeerId,
        /// The datagram.
        bytes: &'a [u8],
    },
    /// The time of the last [`Action::WakeAt`] has come. An early or late event does no harm.
    Timer,
    /// The peers' addresses from now on. The node's own address may be among them.
    SetPeers(Vec<PeerId>),
    /// The timings from now on, in milliseconds.
    SetTimings {
        /// See [`Settings::probe_interval_ms`](crate::Settings::probe_interval_ms).
        probe_interval_ms: f64,
        /// See [`Settings::suspicion_timeout_ms`](crate::Settings::suspicion_timeout_ms).
        suspicion_timeout_ms: f64,
    },
    /// The process is about to end: the others are notified that the node leaves.
    Leave,
    /// Another subsystem sends bytes to a node. They are sealed and numbered like any record, and as easily lost.
    SendPayload {
        /// The receiver.
        to: MemberId,
        /// At most [`MAX_PAYLOAD_BYTES`](crate::MAX_PAYLOAD_BYTES).
        bytes: &'a [u8],
    },
}

/// An output, to be carried out by the driver in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: PeerId,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Deliver [`Event::Timer`] at this time, in milliseconds since boot. Replaces any earlier request.
    WakeAt(f64),
    /// The state of another node has changed.
    Changed(Change),
    /// The local health has changed.
    Health(Health),
    /// Something worth a line in the log.
    Log(LogEvent),
    /// Bytes from another node for another subsystem. Both processes were running when they were sent, and they are
    /// delivered at most once.
    Payload {
        /// The sender.
        from: MemberId,
        /// The sender's process id.
        process_id: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// Why a node's state has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeCause {
    /// This node received a datagram from it.
    Received,
    /// Another node reported it.
    Reported {
        /// The name of that node.
        by: String,
    },
    /// This node has received nothing from it for too long.
    Silent {
        /// For how long, in milliseconds.
        silence_ms: f64,
    },
    /// A quorum of its observers has received nothing from it.
    Confirmed {
        /// For how long this node has received nothing, in milliseconds.
        silence_ms: f64,
        /// Nodes that receive nothing from it, this one among them.
        unreachable_votes: usize,
        /// Nodes that do.
        reachable_votes: usize,
    },
}

impl fmt::Display for ChangeCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Received => f.write_str("a datagram was received from it"),
            Self::Reported { by } => write!(f, "reported by {by}"),
            Self::Silent { silence_ms } => write!(f, "nothing received for {silence_ms:.0} ms"),
            Self::Confirmed {
                silence_ms,
                unreachable_votes,
                reachable_votes,
            } => write!(
                f,
                "confirmed by quorum, {unreachable_votes} unreachable and {reachable_votes} reachable votes, after \
                 {silence_ms:.0} ms of silence here"
            ),
        }
    }
}

/// A change of another node's state.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the node.
    pub name: String,
    /// The state before; `None` if the node was unknown.
    pub from: Option<State>,
    /// The state now.
    pub to: State,
    /// Its incarnation now.
    pub incarnation: u64,
    /// Why it changed.
    pub cause: ChangeCause,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            from,
            to,
            incarnation,
            cause,
        } = self;
        write!(f, "{name} is {to}")?;
        if let Some(from) = from {
            write!(f, " (was {from})")?;
        }
        write!(f, ", incarnation {incarnation}: {cause}")
    }
}

/// A log line about this node itself.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// This process did not run for a while.
    ResumedAfterPause {
        /// For how long, in milliseconds.
        pause_ms: f64,
    },
    /// The others have declared this node dead.
    DeclaredDead {
        /// Name of the node that reported it.
        by: String,
    },
    /// This node has refuted its death.
    Refuted {
        /// Its new incarnation.
        incarnation: u64,
    },
    /// Another process uses this node's name.
    NameConflict {
        /// Incarnation of that process.
        other_incarnation: u64,
        /// Incarnation of this process.
        own_incarnation: u64,
        /// Whether this process stops using the name.
        is_superseded: bool,
    },
    /// The member table is full.
    TableFull,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ResumedAfterPause { pause_ms } => write!(
                f,
                "this process was paused for {pause_ms:.0} ms; silence during the pause is not counted"
            ),
            Self::DeclaredDead { by } => {
                write!(f, "this node was declared dead, reported by {by}")
            }
            Self::Refuted { incarnation } => {
                write!(f, "this node refutes its death as incarnation {incarnation}")
            }
            Self::NameConflict {
                other_incarnation,
                own_incarnation,
                is_superseded,
            } => {
                let outcome = if *is_superseded {
                    "this process gives way"
                } else {
                    "this process stays"
                };
                write!(
                    f,
                    "two processes have this node's name: incarnation {other_incarnation} beside {own_incarnation}; {outcome}"
                )
            }
            Self::TableFull => write!(
                f,
                "the member table is full with {} nodes; new nodes are rejected",
                crate::MAX_MEMBERS
            ),
        }
    }
}
