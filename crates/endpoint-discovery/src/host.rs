//! What a host is: a server as the sources name it.

use std::net::SocketAddr;

/// The most servers that one source may name: four times the largest list that the tests play, and about 20 MB.
pub const MOST_SERVERS: usize = 20_000;

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has; nothing new may be sent.
    Draining,
    /// It has been removed, or its checks say that it is of no use.
    Gone,
}

/// A server, with what is known of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// The server's id, the same at every node.
    pub id: String,
    /// Where this node reaches it.
    pub address: Option<SocketAddr>,
    /// Where else this node reaches it.
    pub others: Vec<SocketAddr>,
    /// Whether it takes requests.
    pub state: State,
    /// Its zone's name; empty where nobody says.
    pub zone: String,
    /// Its machine kind's name; empty where nobody says.
    pub kind: String,
    /// Its cell, where somebody says.
    pub cell: Option<usize>,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub started_at_ms: f64,
    /// Its share beside others of its kind; 0 takes nothing new.
    pub weight: f64,
}

impl Host {
    /// A ready server of which nothing but the name is known.
    #[must_use]
    pub fn named(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            address: None,
            others: Vec::new(),
            state: State::Ready,
            zone: String::new(),
            kind: String::new(),
            cell: None,
            started_at_ms: 0.0,
            weight: 1.0,
        }
    }

    /// Takes from another account of the server what this one does not say.
    pub(crate) fn fill_from(&mut self, other: &Self) {
        self.address = self.address.or(other.address);
        if self.others.is_empty() {
            self.others.clone_from(&other.others);
        }
        self.cell = self.cell.or(other.cell);
        if self.zone.is_empty() {
            self.zone.clone_from(&other.zone);
        }
        if self.kind.is_empty() {
            self.kind.clone_from(&other.kind);
        }
        self.started_at_ms = self.started_at_ms.max(other.started_at_ms);
    }
}
