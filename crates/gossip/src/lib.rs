//! SWIM-like membership among the nodes of a cluster: which other nodes are alive, as a hint with an age.
//!
//! Datagrams may be lost, late, duplicated, corrupted, replayed or reordered, and processes may stop for a while. Two nodes
//! may hold different views for as long as the network keeps them apart.
//!
//! [`Gossip`] is a state machine without socket, clock, thread or randomness of its own: it handles [`Event`]s at a time
//! since boot and emits [`Action`]s. Each node is observed by a few others (`observer_rings`), which it probes
//! periodically. An observer that receives nothing from it suspects it (`failure_detector`) and asks the others
//! (`quorum`, `indirect_probe`), and only their votes (`suspicion`) declare it dead. A node that learns of its own death refutes it with a higher incarnation
//! (`own_status`) once half of its observers acknowledge its probes. Updates go along with every datagram and are flooded
//! to the neighbours when they are new (`dissemination`); digests find what was missed (`anti_entropy`). `join` contacts
//! the configured addresses, `local_health` judges this node's own communication, `transport` accepts and sends datagrams,
//! and `wire` is their format.
//!
//! ```
//! use gossip::{Action, ClusterKey, Event, Gossip, Settings, State};
//!
//! let key = ClusterKey::new("production", b"sixteen bytes at least");
//! let start = |name: &str, process| Gossip::new(0.0, Settings::new(name, process, 1, key.clone()));
//! let (mut a, mut b) = (start("n1", 7), start("n2", 8));
//! let (mut of_a, mut of_b) = (Vec::new(), Vec::new());
//! a.handle(0.0, Event::SetPeers(vec![1]), &mut of_a);
//! b.handle(0.0, Event::SetPeers(vec![0]), &mut of_b);
//! for step in 0..400 {
//!     let now_ms = f64::from(step) * 10.0;
//!     let (from_a, from_b) = (std::mem::take(&mut of_a), std::mem::take(&mut of_b));
//!     let datagrams = |actions: Vec<Action>| actions.into_iter().filter_map(|action| match action {
//!         Action::Send { bytes, .. } => Some(bytes),
//!         _ => None,
//!     });
//!     for bytes in datagrams(from_a) {
//!         b.handle(now_ms, Event::Datagram { from: 0, bytes: &bytes }, &mut of_b);
//!     }
//!     for bytes in datagrams(from_b) {
//!         a.handle(now_ms, Event::Datagram { from: 1, bytes: &bytes }, &mut of_a);
//!     }
//!     a.handle(now_ms, Event::Timer, &mut of_a);
//!     b.handle(now_ms, Event::Timer, &mut of_b);
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

/// The most nodes in the member table, dead ones among them. Beyond it the node that has been dead for longest is removed;
/// if all are alive, new nodes are rejected and counted.
pub const MAX_MEMBERS: usize = 4_096;
