//! The client side of the node: accepts connections, parses requests, and sends the final responses. [`server`] owns the
//! state that connections share; the connection table bounds their number and how long they stay open.

pub(in crate::node) mod body_stream;
mod connection;
mod connection_table;
mod framing;
pub(in crate::node) mod inherited;
mod request_body;
mod request_handler;
pub mod request_ids;
mod request_metadata;
mod response;
pub mod server;
pub mod shutdown;
mod socket;
mod upload_end;
