//! Deterministic discrete-event simulation of processes that exchange datagrams.
//!
//! A [`Simulation`] runs in virtual time. It owns the event queue, one [`Clock`] per node and one [`Link`] per
//! direction between two nodes. Processes start, pause, are killed and restart. Links lose, delay, duplicate, reorder,
//! corrupt and replay datagrams; the two directions between a pair of nodes have independent faults.
//!
//! Any state machine that handles timer and datagram events and returns actions can be a [`Process`]; the simulation
//! does not depend on its protocol. Runs are reproducible: the same seed and the same [`FaultSchedule`] give the same
//! datagrams, byte for byte. Every link draws from a random number generator of its own.
//!
//! ```
//! use simulation::{Fault, Outbox, Process, Simulation};
//!
//! /// Sends a datagram to its peer, if it has one, once a second, and counts the datagrams that it receives.
//! struct Counter {
//!     peer: Option<usize>,
//!     received: u32,
//! }
//!
//! impl Process for Counter {
//!     fn wake(&mut self, local_ms: f64, outbox: &mut Outbox) {
//!         if let Some(peer) = self.peer {
//!             outbox.send(peer, vec![7]);
//!         }
//!         outbox.wake_at(local_ms + 1_000.0);
//!     }
//!     fn receive(&mut self, _: f64, _: usize, bytes: &[u8], _: &mut Outbox) {
//!         self.received += u32::from(bytes == [7]);
//!     }
//! }
//!
//! let mut simulation = Simulation::new(42, 2);
//! simulation.start(0, Counter { peer: Some(1), received: 0 });
//! simulation.start(1, Counter { peer: None, received: 0 });
//! simulation.apply(&Fault::Cut { from: 0, to: 1 });
//! simulation.run_until(10_000.0);
//! let received = |simulation: &Simulation<Counter>| simulation.process(1).map(|counter| counter.received);
//! assert_eq!(received(&simulation), Some(1)); // Sent before the cut.
//! simulation.apply(&Fault::HealAll);
//! simulation.run_until(20_000.0);
//! assert_eq!(received(&simulation), Some(10));
//! ```

mod clock;
mod fault;
mod fault_schedule;
mod link;
mod process;
mod simulation;

pub use clock::Clock;
pub use fault::{Fault, ParseFaultError};
pub use fault_schedule::{FaultSchedule, ScheduleLimits, ScheduledFault};
pub use link::{Burst, Delivery, Link, LinkFaultCounts, LinkState};
pub use process::{Outbox, Process};
pub use simulation::{Simulation, Totals, Traffic};

/// Index of a node in its simulation.
pub type NodeId = usize;
