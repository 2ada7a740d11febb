//! The reported state of a node, and the health of this node.

use std::fmt;

use crate::event::PeerId;

/// The state of a node. [`Display`](fmt::Display) gives its name in the admin protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The node is running and reachable.
    Alive,
    /// An observer receives nothing from the node, and asks a quorum for votes.
    Suspect,
    /// The node was declared dead. The state lasts until the node is alive in a higher incarnation.
    /// Displayed as `gone`.
    Dead,
    /// The node announced that it leaves.
    Left,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "gone",
            Self::Left => "left",
        })
    }
}

/// Health of this node's own communication. Its discriminant is the value of the metric
/// `fleet_health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// This node receives from none of its subjects, or none of its observers acknowledges its
    /// probes, or it is not a live member of the cluster: its view of the other nodes is stale.
    Isolated,
    /// At least a quarter of its subjects are silent, or at least a quarter of its observers do not
    /// acknowledge its probes. A single such node is disregarded.
    Degraded,
    /// Neither isolated nor degraded.
    Well,
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Isolated => "isolated",
            Self::Degraded => "degraded",
            Self::Well => "well",
        })
    }
}

/// A node according to this node's latest information, which may be out of date.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the node.
    pub name: String,
    /// Whether it is this node.
    pub is_self: bool,
    /// State of the node.
    pub state: State,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// When this node's member table last recorded a change of the node's state or process, in
    /// milliseconds since boot.
    pub since_ms: f64,
    /// Time of the last datagram that this node received from it, in milliseconds since boot;
    /// `None` if there was none.
    pub last_received_ms: Option<f64>,
    /// Address of the node, if known.
    pub address: Option<PeerId>,
}
