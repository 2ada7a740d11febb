//! The configuration of a node at its start.

use crate::cluster_key::ClusterKey;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node; see [`is_valid_node_name`](crate::is_valid_node_name).
    pub name: String,
    /// Random nonzero number that identifies this process.
    pub process_id: u64,
    /// First incarnation: preferably the Unix time in milliseconds, so that the incarnations of a
    /// process are higher than those of earlier processes of the node. A wrong clock only costs one
    /// more exchange.
    pub incarnation: u64,
    /// Key that authenticates the cluster's datagrams.
    pub key: ClusterKey,
    /// Seed of the random choices.
    pub seed: u64,
    /// Interval at which the node probes its observers, in milliseconds.
    pub probe_interval_ms: f64,
    /// Time without a datagram from a node after which its observers suspect it, in milliseconds.
    /// Shorter pauses of a node are tolerated.
    pub suspicion_timeout_ms: f64,
    /// Number of observers of each node.
    pub observer_count: usize,
    /// Protocol fault that a test injects.
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

/// A protocol fault that a test injects to verify that the checker detects it. Without the feature
/// `injected-fault`, which is enabled only for tests, every value behaves like
/// [`InjectedFault::None`].
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
    /// Every suspicion is confirmed without a quorum, and a node that receives nothing may still
    /// vote.
    QuorumBypassed,
}
