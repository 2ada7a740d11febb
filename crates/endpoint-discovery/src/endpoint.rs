//! An endpoint: one server, as the sources describe it.

use std::net::SocketAddr;

/// The most endpoints that one source may assert: four times the largest list that the tests use,
/// and about 20 MB. Further endpoints are ignored.
pub const MAX_ENDPOINTS: usize = 20_000;

/// Whether an endpoint accepts requests.
///
/// The order is that of severity: of two assertions with one version the greater lifecycle holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lifecycle {
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has and gets no new ones.
    Draining,
    /// It was removed, or its health checks fail.
    Gone,
}

/// An endpoint with its attributes.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's id, the same on every node.
    pub id: String,
    /// Its main address; `None` where no source knows one.
    pub address: Option<SocketAddr>,
    /// Further addresses at which this node reaches it.
    pub alternate_addresses: Vec<SocketAddr>,
    /// Whether it accepts requests.
    pub lifecycle: Lifecycle,
    /// Its zone's name; empty if unknown.
    pub zone: String,
    /// Its machine type's name; empty if unknown.
    pub machine_type: String,
    /// Its cell; `None` if unknown.
    pub cell: Option<usize>,
    /// When it last started, in milliseconds of Unix time; 0 if unknown or long ago.
    pub started_at_ms: f64,
    /// Its load-balancing weight among endpoints of its machine type; at 0 it gets no new requests.
    pub weight: f64,
}

impl Endpoint {
    /// A ready endpoint of which nothing but the id is known.
    #[must_use]
    pub fn new(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            address: None,
            alternate_addresses: Vec::new(),
            lifecycle: Lifecycle::Ready,
            zone: String::new(),
            machine_type: String::new(),
            cell: None,
            started_at_ms: 0.0,
            weight: 1.0,
        }
    }

    /// Fills the attributes that are unknown here from another source's description, and keeps the
    /// later of both start times.
    pub(crate) fn fill_missing_from(&mut self, other: &Self) {
        self.address = self.address.or(other.address);
        if self.alternate_addresses.is_empty() {
            self.alternate_addresses
                .clone_from(&other.alternate_addresses);
        }
        self.cell = self.cell.or(other.cell);
        if self.zone.is_empty() {
            self.zone.clone_from(&other.zone);
        }
        if self.machine_type.is_empty() {
            self.machine_type.clone_from(&other.machine_type);
        }
        self.started_at_ms = self.started_at_ms.max(other.started_at_ms);
    }
}
