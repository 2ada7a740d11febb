//! A world in virtual time, from a seed: processes that stop, are suspended, die and start again, each with a clock of
//! its own, and links between them that lose, delay, double, reorder, change and hold up what is sent, each way by itself.
//!
//! Whatever takes events with their time and gives actions can be a [`Process`] here; the world knows nothing of what it
//! does. The same seed and the same script give the same bytes, as every process and every link has a stream of random
//! numbers of its own.
//!
//! ```
//! use simulation::{Outbox, Process, Trouble, World};
//!
//! /// Speaks to another once a second, where there is one, and counts what it hears.
//! struct Counter(Option<usize>, u32);
//!
//! impl Process for Counter {
//!     fn wake(&mut self, now_ms: f64, out: &mut Outbox) {
//!         self.0.into_iter().for_each(|to| out.send(to, vec![7]));
//!         out.wake_at(now_ms + 1_000.0);
//!     }
//!     fn receive(&mut self, _: f64, _: usize, bytes: &[u8], _: &mut Outbox) {
//!         self.1 += u32::from(bytes == [7]);
//!     }
//! }
//!
//! let mut world = World::new(42, 2);
//! world.start(0, Counter(Some(1), 0));
//! world.start(1, Counter(None, 0));
//! world.apply(&Trouble::Cut { from: 0, to: 1 });
//! world.run_until(10_000.0);
//! assert_eq!(world.process(1).map(|counter| counter.1), Some(1)); // Sent before the cut.
//! world.apply(&Trouble::HealAll);
//! world.run_until(20_000.0);
//! assert_eq!(world.process(1).map(|counter| counter.1), Some(10));
//! ```

#![allow(
    clippy::items_after_statements,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod link;
mod script;
mod world;

pub use link::{Done, Line, Link};
pub use script::{draw, Bounds, Script, Trouble};
pub use world::{Clock, Outbox, Process, Totals, World};

/// A node's number in its world.
pub type NodeId = usize;
