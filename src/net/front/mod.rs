//! The way in: clients with their places, where a message ends, and messages that pass through as they come.

pub mod clients;
mod connections;
mod framing;
pub(in crate::net) mod inherited;
pub(in crate::net) mod passing;
mod socket;
