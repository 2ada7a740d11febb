//! A load-balancing node: the [`node`] on real sockets, and the [`simulator`]'s line protocol.
//!
//! Both are driven by the decisions of the crate [`balancer`], whose items are re-exported here.

#![allow(
    clippy::match_same_arms,
    reason = "only node::downstream, which is still to be rewritten: docs/ROADMAP.md, Readability"
)]

pub mod node;
pub mod settings;
pub mod simulator;
pub mod text;

pub use balancer::*;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
