//! The simulator's line protocol: parsing its messages into events of a balancer, and printing the
//! balancer's actions. Nothing here decides, reads or writes; `silverthread-simulator-adapter` does
//! the I/O.
//!
//! The words of the protocol, such as `REGISTRY`, `txn` or `grade`, are the simulator's and appear as
//! string literals only.

mod error;
mod instance;
mod line;
mod reply;
mod server_list;

pub use error::ProtocolError;
pub use instance::Instance;
pub use line::Line;
pub use server_list::{ListedServer, ServerLists, MAX_LISTS};

use reply::print_action;
