//! Identifiers, checkout results and actions of the pool.

use crate::address::Route;

/// Identifier of a server, assigned by the pool's caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey(pub usize);

/// Identifier of a connection. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Identifier of a dial. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DialId(pub u64);

/// Identifier of a checkout that waits for a connection. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CheckoutId(pub u64);

/// Identifier of one of a server's routes. An address that is removed from the server's list and listed again
/// gets a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteId(pub u64);

/// Result of a checkout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// The idle connection that was checked out.
    Ready(ConnectionId),
    /// The checkout waits for a later [`Action::Grant`] or [`Action::Fail`].
    Pending(CheckoutId),
    /// No connection can be provided.
    Failed(CheckoutError),
}

/// Reason why a checkout failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// The server is unknown or was removed, or has no route that the checkout may use.
    NoRoute,
    /// None of the server's addresses could be reached.
    Unreachable,
    /// A limit on connections or dials is reached.
    LimitReached,
}

/// Reason why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it while it was idle.
    ByPeer,
    /// The peer sent bytes before the last byte of a request was written.
    UnsolicitedBytes,
    /// An exchange failed before the last byte of its request was written.
    Broken,
    /// Any other reason: its exchange is complete, was abandoned, or failed after the complete request was
    /// written.
    Finished,
}

/// An instruction or a report to the pool's caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to an address, and report the result to
    /// [`Pool::dial_succeeded`](crate::Pool::dial_succeeded) or
    /// [`Pool::dial_failed`](crate::Pool::dial_failed).
    Dial {
        /// The dial.
        dial: DialId,
        /// The server.
        server: ServerKey,
        /// The address with its configuration.
        route: Route,
    },
    /// Abort a dial.
    AbortDial {
        /// The dial.
        dial: DialId,
    },
    /// A pending checkout is granted a connection.
    Grant {
        /// The checkout.
        checkout: CheckoutId,
        /// The connection.
        connection: ConnectionId,
    },
    /// A dial connected and no checkout waits for the connection: keep it open as idle.
    KeepIdle {
        /// The connection.
        connection: ConnectionId,
    },
    /// A pending checkout has failed.
    Fail {
        /// The checkout.
        checkout: CheckoutId,
        /// The reason.
        error: CheckoutError,
    },
    /// Close a connection that is idle or was just checked in.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// An address has become unreachable. Reported once, until the address is reachable again.
    RouteDown {
        /// The server.
        server: ServerKey,
        /// The address with its configuration.
        route: Route,
    },
    /// An address that was reported down is reachable again.
    RouteUp {
        /// The server.
        server: ServerKey,
        /// The address with its configuration.
        route: Route,
    },
    /// Call [`Pool::handle_timer`](crate::Pool::handle_timer) at this time, in milliseconds. Replaces the
    /// time of an earlier `WakeAt`.
    WakeAt(f64),
}
