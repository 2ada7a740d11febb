//! HTTP/1.1 connections to servers, one protocol of [`ServerConnection`](crate::node::upstream::ServerConnection).
//!
//! `connection` performs the exchanges, `request_body` supplies request bodies and `response_reader` reads response
//! bodies. `metered` wraps the socket and records in `progress` what is sent and received, which decides whether a
//! request may have run.

mod connection;
mod metered;
mod progress;
mod request_body;
mod response_reader;

pub use connection::Http1Connection;
