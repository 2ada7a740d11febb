//! The simulator's line protocol: parses its messages into events of a balancer, and formats the
//! balancer's actions. The balancer makes the decisions, and the program
//! `silverthread-simulator-adapter` does the I/O.
//!
//! The terms of the protocol, such as `REGISTRY`, `txn` or `grade`, are defined by the simulator and
//! appear here only as string literals.

mod error;
mod instance;
mod line;
mod reply;
mod server_list;

pub use error::ProtocolError;
pub use instance::Instance;
pub use line::Line;
pub use server_list::{ListedServer, ServerLists, MAX_LISTS};

use reply::append_action_line;
