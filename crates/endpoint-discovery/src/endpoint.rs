//! An endpoint: one server with the attributes that the sources report.

use std::net::SocketAddr;

/// Maximum number of endpoints per source: four times the largest list that the tests use, and
/// about 20 MB. Further endpoints are ignored.
pub const MAX_ENDPOINTS: usize = 20_000;

/// Whether an endpoint accepts requests.
///
/// In ascending order of severity: of two assertions with the same version, the more severe one
/// takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lifecycle {
    /// It accepts requests.
    Ready,
    /// It finishes its current requests and gets no new ones.
    Draining,
    /// It was removed, or its health checks fail.
    Gone,
}

/// An endpoint with its attributes.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's id, the same on every node.
    pub id: String,
    /// Its main address; `None` if unknown.
    pub address: Option<SocketAddr>,
    /// Additional addresses at which this node can reach it.
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
    /// Creates a ready endpoint with an id, a weight of 1 and no other known attribute.
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

    /// Fills unknown attributes from another source's description, and keeps the later of the two
    /// start times.
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
