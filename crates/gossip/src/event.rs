//! Inputs and outputs of the state machine: events, actions, membership changes and log events.

use std::fmt;

use crate::member::{Health, State};
use crate::member_id::MemberId;

/// The number that the driver assigned to a peer address. A number is never reused for another
/// address.
pub type PeerId = usize;

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A datagram was received from a peer's address.
    Datagram {
        /// The address that the datagram was sent from.
        from: PeerId,
        /// The datagram.
        bytes: &'a [u8],
    },
    /// The time of the last [`Action::WakeAt`] was reached. It is harmless if this event is early
    /// or late.
    Timer,
    /// Replaces the peers' addresses. The node's own address may be among them.
    SetPeers(Vec<PeerId>),
    /// Replaces the timings, in milliseconds.
    SetTimings {
        /// See [`Settings::probe_interval_ms`](crate::Settings::probe_interval_ms).
        probe_interval_ms: f64,
        /// See [`Settings::suspicion_timeout_ms`](crate::Settings::suspicion_timeout_ms).
        suspicion_timeout_ms: f64,
    },
    /// The process is about to exit: other nodes are notified that this node leaves.
    Leave,
    /// Sends bytes of another subsystem to a node. They are sealed and protected against replay
    /// like any record, and may be lost like any record.
    SendPayload {
        /// The receiver.
        to: MemberId,
        /// The payload; bytes beyond [`MAX_PAYLOAD_BYTES`](crate::MAX_PAYLOAD_BYTES) are cut off.
        bytes: &'a [u8],
    },
}

/// An output of the state machine. The driver executes actions in the order in which they are
/// emitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: PeerId,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Deliver [`Event::Timer`] at this time, in milliseconds since boot. Replaces the previous
    /// wake-up time.
    WakeAt(f64),
    /// The state of another node has changed.
    Changed(Change),
    /// The local health has changed.
    Health(Health),
    /// Write a log line.
    Log(LogEvent),
    /// Deliver bytes that another node sent with [`Event::SendPayload`]. Both the sender's process
    /// and this one were running when they were sent, and they are delivered at most once.
    Payload {
        /// The sender.
        from: MemberId,
        /// The process id of the sender.
        process_id: u64,
        /// The payload.
        bytes: Vec<u8>,
    },
}

/// Why a node's state has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeCause {
    /// This node received a datagram from the node.
    Received,
    /// Another node reported the change.
    Reported {
        /// Name of the reporting node.
        by: String,
    },
    /// This node has received nothing from the node for the suspicion timeout.
    Silent {
        /// Time since the last datagram from the node, in milliseconds.
        silence_ms: f64,
    },
    /// A quorum of votes confirmed that the node is dead.
    Confirmed {
        /// Time since this node received the last datagram from the node, in milliseconds.
        silence_ms: f64,
        /// Number of votes that the node is unreachable, this node's own among them.
        unreachable_votes: usize,
        /// Number of votes that the node is reachable.
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
                "confirmed by quorum with {unreachable_votes} unreachable and {reachable_votes} \
                 reachable votes; this node received nothing for {silence_ms:.0} ms"
            ),
        }
    }
}

/// A change of another node's state.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the node.
    pub name: String,
    /// The previous state; `None` if the node was unknown.
    pub from: Option<State>,
    /// The new state.
    pub to: State,
    /// The current incarnation of the node.
    pub incarnation: u64,
    /// The cause of the change.
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

/// A log entry about this node itself.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// This process was paused.
    ResumedAfterPause {
        /// Length of the pause, in milliseconds.
        pause_ms: f64,
    },
    /// Other nodes declared this node dead, or report that it has left.
    DeclaredDead {
        /// Name of the node that reported it.
        by: String,
    },
    /// This node has refuted its death.
    Refuted {
        /// The new incarnation of this node.
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
    /// The member table is full of live nodes.
    TableFull,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ResumedAfterPause { pause_ms } => write!(
                f,
                "this process was paused for {pause_ms:.0} ms; silence during the pause is not \
                 counted"
            ),
            Self::DeclaredDead { by } => {
                write!(f, "{by} reported that this node is dead or has left")
            }
            Self::Refuted { incarnation } => {
                write!(
                    f,
                    "this node refuted its death with incarnation {incarnation}"
                )
            }
            Self::NameConflict {
                other_incarnation,
                own_incarnation,
                is_superseded,
            } => {
                let outcome = if *is_superseded {
                    "this process stops using the name"
                } else {
                    "this process keeps the name"
                };
                write!(
                    f,
                    "two processes have this node's name: incarnation {other_incarnation} of the \
                     other process, {own_incarnation} of this one; {outcome}"
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
