//! A load-balancing node: the [`node`] on real sockets, and the [`simulator`]'s line protocol.
//!
//! Both are driven by the decisions of the crate [`balancer`], whose items are re-exported here.

pub mod node;
pub mod simulator;

pub use balancer::*;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
