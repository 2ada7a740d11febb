//! Admin commands, drain state and request metrics of a running node.
//!
//! - [`Command`] is a parsed line of the admin protocol.
//! - [`Drain`] is the drain state of a node, whose clients move to other nodes while it drains; it determines the
//!   [`ConnectionPolicy`] for client connections.
//! - [`Metrics`] counts requests. At all times, the number of accepted requests equals the number of ended requests
//!   plus the number of requests in flight. [`UpstreamMetrics`] counts attempts and connections to servers.
//!
//! The crate performs no I/O and reads no clock. Times are milliseconds of any monotonic clock.
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
mod upstream_metrics;

pub use command::{Command, CommandError, NodeName, MAX_LINE_BYTES, MAX_NODE_NAME_BYTES};
pub use drain::{ConnectionPolicy, Drain, CLOSE_AFTER_RESPONSE_DELAY_MS, CLOSE_IDLE_DELAY_MS};
pub use metrics::{Counter, InFlightRequest, Metrics, RequestOutcome, ServerGauges};
pub use upstream_metrics::{AttemptEnd, UpstreamMetrics};
