//! Servers as discovery names them.

/// A server, numbered by the embedding node; a number is never reused for another server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub usize);

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has; nothing new may be sent.
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
    /// Its position on the ring that all nodes share: a number that every node derives alike from the
    /// server's name, evenly distributed, such as a hash.
    pub ring_position: u64,
    /// Whether it accepts requests.
    pub availability: Availability,
    /// When it last started, in milliseconds; `None` means long ago.
    pub started_at_ms: Option<f64>,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: usize,
    /// Its machine kind.
    pub machine_kind: usize,
}

impl ServerEntry {
    /// A server of the first zone, cell and machine kind that started long ago.
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
    /// The complete list as last cached, perhaps long ago.
    Cached(Vec<ServerEntry>),
    /// A poll failed or the subscription broke; the previous list stands.
    Failed,
}
