//! Who the other nodes of the fleet are: a hint with an age, by datagrams that may be lost, late, doubled, changed or
//! held up, among processes that stop for a while.
//!
//! [`Gossip`] has no socket, clock, thread or randomness of its own: it is fed [`Event`]s with the time since boot and
//! pushes [`Action`]s. Each node is heard by a few others, its observers (`ring`); one that does not hear it asks the
//! rest, and only when nearly all of those that answer do not hear it either is it *gone*. A node that hears of its own
//! end while most of its observers answer it comes back as the next incarnation. What is said goes with every datagram
//! and is flooded along the rings as it changes.
//!
//! Nothing here is more than a hint: two nodes may hold different views for as long as the network likes.
//!
//! ```
//! use gossip::{Action, Event, Gossip, Seal, Settings, State};
//!
//! let seal = Seal::new("holds", b"sixteen bytes at the least");
//! let start = |name: &str, process| Gossip::new(0.0, Settings::new(name, process, 1, seal.clone()));
//! let (mut a, mut b) = (start("n1", 7), start("n2", 8));
//! let (mut of_a, mut of_b) = (Vec::new(), Vec::new());
//! a.handle(0.0, Event::Peers(vec![1]), &mut of_a);
//! b.handle(0.0, Event::Peers(vec![0]), &mut of_b);
//! for step in 0..400 {
//!     let now = f64::from(step) * 10.0;
//!     let (from_a, from_b) = (std::mem::take(&mut of_a), std::mem::take(&mut of_b));
//!     let sends = |actions: Vec<Action>| actions.into_iter().filter_map(|action| match action {
//!         Action::Send { bytes, .. } => Some(bytes),
//!         _ => None,
//!     });
//!     sends(from_a).for_each(|bytes| b.handle(now, Event::Datagram { from: 0, bytes: &bytes }, &mut of_b));
//!     sends(from_b).for_each(|bytes| a.handle(now, Event::Datagram { from: 1, bytes: &bytes }, &mut of_a));
//!     a.handle(now, Event::Due, &mut of_a);
//!     b.handle(now, Event::Due, &mut of_b);
//! }
//! assert!(a.members().any(|member| member.name == "n2" && member.state == State::Alive));
//! ```

#![allow(
    clippy::match_same_arms,
    clippy::needless_for_each,
    clippy::option_option,
    clippy::single_match_else,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod core;
mod kinds;
mod ring;
mod table;
#[cfg(test)]
mod tests;
mod verdict;
mod wire;

pub use core::Gossip;
pub use kinds::{
    Action, Cause, Change, Event, Figures, Health, Member, Note, PeerId, Planted, Settings, State,
};
pub use wire::{is_name, MemberId, Refused, Seal, LEAST_KEY, MOST_DATAGRAM, MOST_NAME, MOST_WORD};

/// The most nodes that are held, gone ones among them. Beyond it those that went first are forgotten, and where all are
/// there, newcomers are turned away and counted.
pub const MOST_MEMBERS: usize = 4_096;
