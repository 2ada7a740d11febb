//! Identifiers, results and actions of the pool.

use crate::address::Route;

/// A server, numbered by the pool's caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey(pub usize);

/// A connection. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A dial. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DialId(pub u64);

/// An attempt that waits for a connection. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CheckoutId(pub u64);

/// One of a server's addresses, for as long as it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteId(pub u64);

/// Result of a checkout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// An idle connection is available.
    Ready(ConnectionId),
    /// A connection is granted, or the checkout fails, by a later [`Action`].
    Pending(CheckoutId),
    /// There is no connection to be had.
    Failed(CheckoutError),
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// The server is unknown, or has no address that may be used.
    NoRoute,
    /// None of its addresses could be reached.
    Unreachable,
    /// A limit on connections is reached.
    LimitReached,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it while it was idle.
    ByPeer,
    /// It delivered bytes that no request had asked for.
    UnsolicitedBytes,
    /// It broke before the last byte of a request was written.
    Broken,
    /// It was used up, abandoned, or broke later.
    Finished,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to an address, and report to [`Pool::dial_succeeded`](crate::Pool::dial_succeeded) or
    /// [`Pool::dial_failed`](crate::Pool::dial_failed).
    Dial {
        /// The dial.
        dial: DialId,
        /// The server.
        server: ServerKey,
        /// The address.
        route: Route,
    },
    /// Abort a dial.
    AbortDial {
        /// The dial.
        dial: DialId,
    },
    /// A pending checkout has its connection.
    Grant {
        /// The checkout.
        checkout: CheckoutId,
        /// The connection.
        connection: ConnectionId,
    },
    /// A dial came up and nobody waits for it: keep the connection, it is idle.
    KeepIdle {
        /// The connection.
        connection: ConnectionId,
    },
    /// A pending checkout has failed.
    Fail {
        /// The checkout.
        checkout: CheckoutId,
        /// Why.
        error: CheckoutError,
    },
    /// Close a connection that is idle or was just checked in.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// An address cannot be reached any more; reported once, until it can be reached again.
    RouteDown {
        /// The server.
        server: ServerKey,
        /// The address.
        route: Route,
    },
    /// An address that was reported down can be reached again.
    RouteUp {
        /// The server.
        server: ServerKey,
        /// The address.
        route: Route,
    },
    /// Call [`Pool::handle_timer`](crate::Pool::handle_timer) at this time, unless a later action names
    /// another.
    WakeAt(f64),
}
