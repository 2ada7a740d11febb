//! The operators' side of a node: their configuration file and its reload, the admin server and its client, the log.
//!
//! Nothing here decides anything about a request. Without an operators' file and an admin address none of it runs, but
//! for the log.

pub mod client;
pub mod config_file;
pub(in crate::node) mod log;
pub(in crate::node) mod reload;
pub(in crate::node) mod server;
