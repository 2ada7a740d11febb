//! A load-balancing node: the [`node`] on real sockets, and the [`simulator`]'s line protocol.
//!
//! Both are driven by the decisions of the crate [`balancer`], whose items are re-exported here.

#![allow(
    clippy::match_same_arms,
    clippy::needless_for_each,
    clippy::needless_pass_by_value,
    clippy::option_option,
    clippy::struct_field_names,
    clippy::too_many_lines,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

pub mod node;
pub mod settings;
pub mod simulator;
pub mod text;

pub use balancer::*;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
