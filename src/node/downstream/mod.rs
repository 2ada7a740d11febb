//! The client side of the node: accepts connections, parses requests, and sends the final responses. [`server`] owns the
//! state that connections share; the connection table bounds their number and lifetime.

mod connection;
mod connection_table;
mod framing;
pub(in crate::node) mod inherited;
pub(in crate::node) mod passing;
mod request_body;
mod request_handler;
mod request_metadata;
mod response;
pub mod server;
pub mod shutdown;
mod socket;
