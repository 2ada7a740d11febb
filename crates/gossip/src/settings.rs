//! What a node is configured with at its start.

use crate::cluster_key::ClusterKey;

/// Configuration of one node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name; see [`is_valid_node_name`](crate::is_valid_node_name).
    pub name: String,
    /// A random number that identifies this process, not 0.
    pub process_id: u64,
    /// The first incarnation: preferably the Unix time in milliseconds, so that the incarnations of a process are higher
    /// than those of the process before it. A wrong clock only costs one more exchange.
    pub incarnation: u64,
    /// Authenticates the cluster's datagrams.
    pub key: ClusterKey,
    /// Seed of the random choices.
    pub seed: u64,
    /// How often the node probes its observers, in milliseconds.
    pub probe_interval_ms: f64,
    /// For how long nothing must have been received from a node before it is suspected, in milliseconds. Shorter pauses
    /// are tolerated.
    pub suspicion_timeout_ms: f64,
    /// How many observers a node has.
    pub observer_count: usize,
    /// A fault for the tests to find.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}

impl Settings {
    /// Settings with the default timings, and the process id as seed.
    #[must_use]
    pub fn new(name: &str, process_id: u64, incarnation: u64, key: ClusterKey) -> Self {
        Self {
            name: name.to_owned(),
            process_id,
            incarnation,
            key,
            seed: process_id,
            probe_interval_ms: 500.0,
            suspicion_timeout_ms: 2_500.0,
            observer_count: 6,
            injected_fault: InjectedFault::None,
        }
    }
}

/// A protocol fault that is injected to show that the tests detect it. Without the feature `injected-fault`, which no
/// product enables, every value behaves like [`InjectedFault::None`].
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    None,
    /// A node that was declared dead stays dead when the same process refutes it.
    RefutationIgnored,
    /// An equal incarnation counts as a later one.
    EqualIncarnationAccepted,
    /// A pause of this process is not detected, so that it counts as silence of the other nodes.
    PauseNotDetected,
    /// Every suspicion is confirmed without a quorum, and a node that receives nothing may still vote.
    QuorumBypassed,
}
