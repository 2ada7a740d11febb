//! Connections to servers, each of which may have several addresses: which connection an attempt takes, when and where
//! another is dialled, which is closed, and what is remembered of each address.
//!
//! [`Pool`] has no socket, clock or thread. It is asked and told with the time, and pushes [`Action`]s. An attempt that
//! finds an idle connection has it at once ([`Taken::Now`]); otherwise it holds a ticket until one is granted or none
//! can be had. To whoever chooses servers, a server is one server, whatever its addresses.
//!
//! Dialling several addresses follows RFC 8305 (Happy Eyeballs): they are started in their order, a stagger apart; the
//! first that comes up is kept and the others are given up before any byte of a request. Their order is the operators'
//! preference, and where that says nothing RFC 6724's precedence. Times are milliseconds of any clock that never runs
//! backwards.
//!
//! ```
//! use pool::{Action, Address, Limits, Pool, Route, ServerKey, Taken};
//!
//! let mut pool = Pool::new(Limits::default());
//! let (server, mut actions) = (ServerKey(0), Vec::new());
//! let routes = vec![Route::new(Address::Ip("127.0.0.1:80".parse()?))];
//! pool.update(0.0, server, routes, &mut actions);
//! let Taken::Later(ticket) = pool.take(0.0, server, &[], &mut actions) else { panic!("nothing is idle yet") };
//! let Action::Dial { dial, .. } = actions.remove(0) else { panic!("{actions:?}") };
//! actions.clear();
//! pool.dialled(1.0, dial, true, &mut actions);
//! let Action::Grant { ticket: granted, conn } = actions.remove(0) else { panic!("{actions:?}") };
//! assert_eq!(ticket, granted);
//! // Its answer came; the next attempt has the connection at once.
//! pool.give_back(2.0, conn, &mut actions);
//! assert_eq!(pool.take(2.0, server, &[], &mut actions), Taken::Now(conn));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

#![allow(
    clippy::missing_panics_doc,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod address;
mod holders;
mod memory;
mod odd;
mod pool;
mod verdict;

pub use address::{order, Address, BadAddress, Family, Route, MOST_UNIX_PATH, ORDINARY_PREFERENCE};
pub use holders::{Changed, Holders};
pub use memory::{IdleMemory, Memory};
pub use odd::Oddness;
pub use pool::{
    Action, Closed, ConnId, DialId, Limits, Pool, RouteId, ServerKey, Taken, Ticket, Why,
    MOST_ADDRESSES,
};
pub use verdict::{judge, Age, Broke, Next, Sent};
