//! A node as others see it.

use std::fmt;

use crate::event::PeerId;

/// The state of a node. Its [`Display`](fmt::Display) is the word that the admin protocol uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It is running and reachable.
    Alive,
    /// An observer receives nothing from it; a quorum is being asked.
    Suspect,
    /// It was declared dead, until it is seen in a later incarnation. Shown as `gone`.
    Dead,
    /// It has left on its own.
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

/// How well this node itself communicates. As a number it is the metric `fleet_health`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// It receives nothing, or no probe of its is acknowledged, or it was declared dead: its view of the others is stale.
    Isolated,
    /// It misses more than a quarter of the probes or of the acks that it should receive.
    Degraded,
    /// Neither.
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

/// What this node knows of one node: a hint with an age.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Whether it is this node.
    pub is_self: bool,
    /// Its state.
    pub state: State,
    /// Its incarnation.
    pub incarnation: u64,
    /// Since when it has this state, by this node's clock.
    pub since_ms: f64,
    /// When this node last received a datagram from it, if ever.
    pub last_received_ms: Option<f64>,
    /// Its address, if known.
    pub address: Option<PeerId>,
}
