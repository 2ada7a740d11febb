//! HTTP/1.1 to servers, one protocol of [`ServerConnection`](crate::node::upstream::ServerConnection).
//!
//! `connection` makes the exchanges and `response_reader` reads their bodies. `metered` is the socket, which records
//! in `progress` what is sent and received: whether a request may have run depends on it.

mod connection;
mod metered;
mod progress;
mod request_body;
mod response_reader;

pub use connection::Http1Connection;
