//! The interfaces for operators of a node: the operators' file, the reload of the configuration, the admin server, its
//! client, and the log.
//!
//! None of them takes part in the processing of requests. Without an operators' file and an admin address, only the log
//! and the reload of the platform's configuration are active.

pub mod client;
pub mod config_file;
pub(in crate::node) mod log;
pub(in crate::node) mod reload;
pub(in crate::node) mod server;
