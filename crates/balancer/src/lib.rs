//! The decisions of a reverse proxy that spreads requests over HTTP servers.
//!
//! A [`Balancer`] is one node's decision logic, without clock, threads or I/O. It is built from
//! [`Settings`] and a seed, is fed events with the time they happened at, and pushes the actions
//! that the node is to carry out. Its core is HSQ (Islam, "Network Load Balancing Methods",
//! section IV.E): one array with a count per ready server, the lowest count gets the request.
//!
//! # Example
//!
//! A node's event loop calls [`Balancer::handle`] and carries out what it is told:
//!
//! ```
//! use balancer::{
//!     Action, Availability, Balancer, Class, Effect, Ending, Event, Listing, Outcome, Request,
//!     RequestId, ServerEntry, ServerId, Settings,
//! };
//!
//! let mut settings = Settings::new(vec![Class::new(200.0, 600.0, Effect::Safe)]);
//! settings.nodes = 3;
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // Discovery names two servers.
//! let servers = (0..2).map(|i| ServerEntry::new(ServerId(i), Availability::Ready)).collect();
//! balancer.handle(0.0, Event::Servers(Listing::Full(servers)), &mut actions);
//!
//! // A client asks; the balancer names the server to send to.
//! let request = Request::new(RequestId(7), 0, 600.0);
//! balancer.handle(1.0, Event::Request(request), &mut actions);
//! let Some(Action::Send { server, .. }) = actions.pop() else { panic!("nothing sent") };
//!
//! // The server answers, and its load report becomes its count.
//! let outcome = Outcome {
//!     request: RequestId(7),
//!     attempt: 0,
//!     elapsed_ms: 18.5,
//!     ending: Ending::Served,
//!     complete: true,
//!     report: None,
//! };
//! balancer.handle(19.5, Event::Outcome(outcome), &mut actions);
//! # let _ = server;
//! # Ok::<(), balancer::SettingsError>(())
//! ```

#![allow(
    clippy::missing_errors_doc,
    clippy::struct_excessive_bools,
    clippy::struct_field_names,
    clippy::too_many_lines,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod choice;
mod interface;
mod state;

pub use choice::{Balancer, LONGEST_RESUBSCRIBE_MS};
pub use interface::*;
