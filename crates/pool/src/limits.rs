//! Limits of the pool, each with the behavior at the limit.

/// Maximum number of addresses of a server: two of each of the three families, and two spare ones. Of more
/// addresses, the first in dial order are used.
pub const MAX_ADDRESSES: usize = 8;

/// Limits on the pool's connections, dials and waiting times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of connections, dials included. At the limit the connection that has been idle
    /// longest is closed; without an idle connection, checkouts fail.
    pub max_connections: usize,
    /// Maximum number of connections to one server over all its addresses, dials included. At the limit
    /// checkouts fail.
    pub max_connections_per_server: usize,
    /// Maximum number of dial races to one server at a time. At the limit checkouts wait.
    pub max_races_per_server: usize,
    /// Maximum duration of a dial race over all addresses of a server, and of a checkout's wait for a race,
    /// in milliseconds. After it the checkout fails.
    pub dial_timeout_ms: f64,
    /// Time after which servers close an idle connection, in milliseconds. The pool closes it earlier.
    pub idle_timeout_ms: f64,
    /// Rate limit of dials to a server that is warming up, per second, because each connection costs it work.
    /// At the limit checkouts wait.
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
