//! A load-balancing node: [`node`] serves requests on sockets, [`simulator`] translates the simulator's line protocol.
//!
//! In both, the crate [`balancer`] makes the decisions. Its items are re-exported here.

#![allow(
    clippy::match_same_arms,
    reason = "node::downstream::shutdown decides about each connection stage in arms of its own"
)]

pub mod node;
pub mod settings;
pub mod simulator;
pub mod text;

pub use balancer::*;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
