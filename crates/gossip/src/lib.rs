//! SWIM-like membership among the nodes of a cluster: which other nodes are alive, according to
//! this node's latest information, which may be out of date.
//!
//! Datagrams may be lost, delayed, duplicated, corrupted, replayed or reordered, and processes may
//! be paused. The views of two nodes may differ for as long as a partition separates them.
//!
//! [`Gossip`] is a state machine without socket, clock, thread or source of randomness other than
//! its seed: it handles [`Event`]s, each with the time since boot, and emits [`Action`]s.
//!
//! - Each node is observed by a few others (`observer_rings`), which it probes periodically.
//! - An observer that receives nothing from a node suspects it (`failure_detector`) and asks the
//!   node's other observers for their votes (`quorum`, `indirect_probe`). Only a quorum of votes
//!   (`suspicion`) declares a node dead.
//! - A node that receives a report of its own death refutes it with a higher incarnation once half
//!   of its observers acknowledge its probes (`own_status`).
//! - Updates are piggybacked on every datagram, and new ones are flooded to the neighbours
//!   (`dissemination`). Digests reveal updates that were missed (`anti_entropy`).
//! - `join` contacts the configured addresses, and `local_health` rates this node's own
//!   communication.
//! - `transport` accepts and sends datagrams, whose format is in `wire`.
//!
//! ```
//! use gossip::{Action, ClusterKey, Event, Gossip, Settings, State};
//!
//! let key = ClusterKey::new("production", b"sixteen bytes at least");
//! let node = |name: &str, process_id| {
//!     Gossip::new(0.0, Settings::new(name, process_id, 1, key.clone()))
//! };
//! let (mut a, mut b) = (node("n1", 7), node("n2", 8));
//! let (mut actions_a, mut actions_b) = (Vec::new(), Vec::new());
//! a.handle(0.0, Event::SetPeers(vec![1]), &mut actions_a);
//! b.handle(0.0, Event::SetPeers(vec![0]), &mut actions_b);
//! for step in 0..400 {
//!     let now_ms = f64::from(step) * 10.0;
//!     let (from_a, from_b) = (std::mem::take(&mut actions_a), std::mem::take(&mut actions_b));
//!     let datagrams = |actions: Vec<Action>| actions.into_iter().filter_map(|action| match action {
//!         Action::Send { bytes, .. } => Some(bytes),
//!         _ => None,
//!     });
//!     for bytes in datagrams(from_a) {
//!         b.handle(now_ms, Event::Datagram { from: 0, bytes: &bytes }, &mut actions_b);
//!     }
//!     for bytes in datagrams(from_b) {
//!         a.handle(now_ms, Event::Datagram { from: 1, bytes: &bytes }, &mut actions_a);
//!     }
//!     a.handle(now_ms, Event::Timer, &mut actions_a);
//!     b.handle(now_ms, Event::Timer, &mut actions_b);
//! }
//! assert!(a.members().any(|member| member.name == "n2" && member.state == State::Alive));
//! ```

mod anti_entropy;
mod cluster_key;
mod dissemination;
mod event;
mod failure_detector;
mod indirect_probe;
mod join;
mod local_health;
mod member;
mod member_id;
mod member_table;
mod metrics;
mod node;
mod observer_rings;
mod own_status;
mod peers;
mod quorum;
mod rate_limit;
mod reject_reason;
mod replay_window;
mod settings;
mod suspicion;
#[cfg(test)]
mod tests;
mod transport;
mod wire;

pub use cluster_key::{ClusterKey, MIN_KEY_BYTES};
pub use event::{Action, Change, ChangeCause, Event, LogEvent, PeerId};
pub use member::{Health, Member, State};
pub use member_id::{is_valid_node_name, MemberId, MAX_NAME_BYTES};
pub use metrics::{Metrics, Traffic};
pub use node::Gossip;
pub use reject_reason::RejectReason;
pub use settings::{InjectedFault, Settings};
pub use wire::{MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES};

/// Capacity of the member table in nodes, including dead ones and this node itself. When the table
/// is full, a new node replaces the one that has been dead or has left for longest; if all are
/// alive, new nodes are rejected and counted.
pub const MAX_MEMBERS: usize = 4_096;
