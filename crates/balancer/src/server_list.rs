//! The server list as discovery reports it.

/// Id of a server, assigned by the embedding node and never reused for another server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub usize);

/// Availability of a server according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Ready,
    /// It finishes its current requests and must not be sent new ones.
    Draining,
    /// It was removed from the list, or never was on it.
    #[default]
    Gone,
}

/// One server of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Position on the ring that all nodes share: an evenly distributed number that every node derives
    /// identically from the server's name, such as a hash.
    pub ring_position: u64,
    /// Whether it accepts requests.
    pub availability: Availability,
    /// Time of its last start, in milliseconds; `None` means long ago.
    pub started_at_ms: Option<f64>,
    /// Index of its cell.
    pub cell: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its machine kind.
    pub machine_kind: usize,
}

impl ServerEntry {
    /// Creates an entry of a server of the first zone, cell and machine kind that started long ago.
    #[must_use]
    pub fn new(server: ServerId, availability: Availability) -> Self {
        Self {
            server,
            ring_position: server.0 as u64,
            availability,
            started_at_ms: None,
            cell: 0,
            zone: 0,
            machine_kind: 0,
        }
    }
}

/// An update from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerListUpdate {
    /// Only the servers that changed.
    Changes(Vec<ServerEntry>),
    /// The complete list: a server that is absent is gone.
    Full(Vec<ServerEntry>),
    /// The complete list from a cache, possibly old.
    Cached(Vec<ServerEntry>),
    /// A poll failed or the subscription broke; the previous list stays in use.
    Failed,
}
