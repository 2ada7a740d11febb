//! What operators can request of a running node, and what it reports to them.
//!
//! - [`Command`] is one line of the admin protocol, parsed.
//! - [`Drain`] is the course of a node that sends its clients away and may accept them again; it yields the
//!   [`ConnectionPolicy`] for client connections.
//! - [`Metrics`] counts requests. At every moment the requests that were accepted are those that have ended and those
//!   that are in flight.
//!
//! The crate does no I/O and reads no clock: times are milliseconds of any clock that never runs backwards.
//!
//! ```
//! use admin::{Command, ConnectionPolicy, Drain, CLOSE_AFTER_RESPONSE_DELAY_MS, CLOSE_IDLE_DELAY_MS};
//!
//! let mut drain = Drain::default();
//! assert_eq!(Command::parse(b"DRAIN\r\n"), Ok(Command::Drain));
//! drain.begin(1_000.0);
//! assert!(!drain.accepts_new_clients());
//! assert_eq!(
//!     drain.connection_policy(1_000.0 + CLOSE_AFTER_RESPONSE_DELAY_MS),
//!     ConnectionPolicy::CloseAfterResponse,
//! );
//! assert_eq!(drain.connection_policy(1_000.0 + CLOSE_IDLE_DELAY_MS), ConnectionPolicy::CloseIdle);
//! drain.cancel();
//! assert!(drain.accepts_new_clients());
//! ```

mod command;
mod drain;
mod metrics;

pub use command::{Command, CommandError, NodeName, MAX_LINE_BYTES, MAX_NODE_NAME_BYTES};
pub use drain::{ConnectionPolicy, Drain, CLOSE_AFTER_RESPONSE_DELAY_MS, CLOSE_IDLE_DELAY_MS};
pub use metrics::{Counter, InFlightRequest, Metrics, RequestOutcome, ServerGauges};
