//! The way in: clients with their places, where a message ends, and messages that pass through as they come.

pub mod clients;
mod connections;
mod framing;
pub(in crate::node) mod inherited;
pub(in crate::node) mod passing;
mod socket;
