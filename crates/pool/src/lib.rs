//! Pool of connections to servers, each of which may have several addresses.
//!
//! [`Pool`] decides which connection an attempt uses, when and where a new one is dialed, which one is
//! closed, and which state is kept for each address. It has no socket, clock or thread: it is called with
//! the time and appends [`Action`]s for its caller to carry out. An attempt that finds an idle connection
//! gets it immediately ([`Checkout::Ready`]); otherwise it holds a [`CheckoutId`] until a connection is
//! granted or the checkout fails. Server selection sees one server, however many addresses it has.
//!
//! A connection carries at most one exchange, so that no response can be taken for that of an earlier or
//! later request. Idle connections are those whose dial outlasted the checkout that it was started for.
//!
//! Dialing several addresses follows RFC 8305 (Happy Eyeballs): dials start in order, one stagger apart;
//! the first to connect is used and the others are aborted before any byte of a request is written.
//! The order is the operators' preference, then RFC 6724's precedence. Times are milliseconds on any
//! monotonic clock.
//!
//! ```
//! use pool::{Action, Address, Checkout, Limits, Pool, Route, ServerKey};
//!
//! let mut pool = Pool::new(Limits::default());
//! let (server, mut actions) = (ServerKey(0), Vec::new());
//! let routes = vec![Route::new(Address::Ip("127.0.0.1:80".parse()?))];
//! pool.update_routes(0.0, server, routes, &mut actions);
//! let Checkout::Pending(checkout) = pool.check_out(0.0, server, &[], &mut actions) else { panic!("a new pool has no idle connection") };
//! let Action::Dial { dial, .. } = actions.remove(0) else { panic!("{actions:?}") };
//! actions.clear();
//! pool.dial_succeeded(1.0, dial, &mut actions);
//! let Action::Grant { checkout: granted, connection } = actions.remove(0) else { panic!("{actions:?}") };
//! assert_eq!(checkout, granted);
//! // The attempt was canceled before its exchange; the next one gets the idle connection immediately.
//! pool.check_in_unused(2.0, connection, &mut actions);
//! assert_eq!(pool.check_out(2.0, server, &[], &mut actions), Checkout::Ready(connection));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod action;
mod address;
mod address_owners;
mod checkout;
mod dial;
mod idle;
mod idle_timeout;
mod limits;
mod pool;
mod recovery;
mod route_health;
mod server;

pub use action::{
    Action, Checkout, CheckoutError, CheckoutId, CloseReason, ConnectionId, DialId, RouteId,
    ServerKey,
};
pub use address::{
    connection_order, Address, AddressError, Family, Route, DEFAULT_PREFERENCE, MAX_UNIX_PATH_BYTES,
};
pub use address_owners::{AddressOwners, OwnershipChange};
pub use idle_timeout::IdleTimeout;
pub use limits::{Limits, MAX_ADDRESSES};
pub use pool::{Pool, RouteStatus};
pub use recovery::{recovery, BytesSent, ConnectionAge, ConnectionError, Recovery};
pub use route_health::RouteHealth;
