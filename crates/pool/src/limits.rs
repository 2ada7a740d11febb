//! Limits of the pool. What happens at each is stated with it.

/// Maximum number of addresses of a server: two of each of three families, and some to spare. Of more
/// addresses, the first in their order count.
pub const MAX_ADDRESSES: usize = 8;

/// What the pool may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of connections, dials included. At the limit the connection that has been idle
    /// longest is closed; without one, checkouts fail.
    pub max_connections: usize,
    /// Maximum number of them to one server, over all its addresses. At the limit checkouts fail.
    pub max_connections_per_server: usize,
    /// Maximum number of dial races to one server at a time. At the limit checkouts wait.
    pub max_races_per_server: usize,
    /// How long all addresses of a server together may take to be reached, in milliseconds.
    pub dial_timeout_ms: f64,
    /// How long the server keeps an idle connection, in milliseconds.
    pub idle_timeout_ms: f64,
    /// Dials per second to a server that is warming up: each of them costs it work.
    pub slow_start_dials_per_s: f64,
    /// Whether one connection more than needed is dialed while the load rises.
    pub dial_ahead: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_connections_per_server: 1_024,
            max_races_per_server: 256,
            dial_timeout_ms: 1_000.0,
            idle_timeout_ms: 60_000.0,
            slow_start_dials_per_s: 100.0,
            dial_ahead: false,
        }
    }
}
