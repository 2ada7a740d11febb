//! Test utilities shared by the tests, the measurements and the demo: fake servers, discovery and clients on loopback,
//! the program run as a child process, and a [`link`] that injects network faults between two sockets.
//!
//! Sockets are bound to loopback addresses, by default on ports that the system assigns. Nothing here is used by the
//! node itself.
//!
//! ```
//! use testkit::{response, Reply, Server};
//!
//! let server = Server::start(|request| match request.header("req-kind") {
//!     Some("read") => Reply::Send(response("200 OK", "", "rooms: 3\n")),
//!     _ => Reply::Close,
//! });
//! assert!(server.address.ip().is_loopback());
//! ```

#![allow(
    clippy::items_after_statements,
    clippy::needless_for_each,
    clippy::needless_pass_by_value,
    reason = "fleet declares a static next to its use and resumes nodes by for_each; lease_model passes states by value"
)]
// Helpers panic when an operation fails, so that the calling test fails at the cause.
#![allow(clippy::missing_panics_doc)]

pub mod consul;
mod discovery;
mod fleet;
pub mod lease_model;
pub mod lease_simulation;
pub mod link;
mod load;
mod message;
mod node;
pub mod nodes;
mod process_memory;
mod register;
mod relay;
mod seeds;
mod server;
mod socket;

pub use discovery::{endpoint_entry, endpoint_list, ready_servers, Discovery, Watch};
pub use fleet::{Fleet, Member, Members};
pub use load::{Load, Totals};
pub use message::{post_request, read_request, response, Message};
pub use node::{
    config, pause_process_starts, program_command, program_path, settings,
    settings_with_latency_objective, write_temp_file, Client, Node,
};
pub use process_memory::{process_memory_kib, MemoryKind};
pub use register::{Effect, Register};
pub use seeds::run_seeds;
pub use server::{Reply, Server, Unreachable};
pub use simulation::{Burst, Fault, FaultSchedule, Link, ScheduleLimits};
pub use socket::{AddressFamily, Endpoint, Listener, Stream};

use std::thread;
use std::time::{Duration, Instant};

/// Time limit for what a test waits for: longer than anything takes on a busy machine, and short enough for a test that
/// fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition every 2 ms until it holds.
///
/// # Panics
///
/// If it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {description}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}
