//! The section `[leases]` of the operators' file.

use std::net::SocketAddr;
use std::path::PathBuf;

use gossip::MemberId;
use lease::{NodeId, Settings, Shard};

/// The section `[leases]` of the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSettings {
    /// The names of the acceptors (`keepers`): 3, 5 or 7.
    pub acceptors: Vec<String>,
    /// The number of this configuration of acceptors (`set`).
    pub configuration: u32,
    /// The names of the previous acceptors (`before`), while a running cluster is being
    /// reconfigured from them to `acceptors`.
    pub previous_acceptors: Vec<String>,
    /// See [`Settings::shards`].
    pub shards: Shard,
    /// See [`Settings::lease_ms`].
    pub lease_ms: f64,
    /// See [`Settings::drift`].
    pub drift: f64,
    /// The file in which an acceptor stores the highest fencing token that it may have granted.
    pub fence_file: Option<PathBuf>,
    /// The address of the register to which the owner of the fleet log appends lines.
    pub fleet_log: Option<SocketAddr>,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        let defaults = Settings::new(NodeId(0), 0, Vec::new());
        Self {
            acceptors: Vec::new(),
            configuration: defaults.configuration,
            previous_acceptors: Vec::new(),
            shards: defaults.shards,
            lease_ms: defaults.lease_ms,
            drift: defaults.drift,
            fence_file: None,
            fleet_log: None,
        }
    }
}

impl LeaseSettings {
    /// The settings for a process of the node with this name.
    #[must_use]
    pub fn for_process(&self, node: &str, process_id: u64) -> Settings {
        Settings {
            configuration: self.configuration,
            previous_acceptors: node_ids(&self.previous_acceptors),
            shards: self.shards,
            lease_ms: self.lease_ms,
            drift: self.drift,
            ..Settings::new(node_id(node), process_id, node_ids(&self.acceptors))
        }
    }
}

pub(super) fn node_id(name: &str) -> NodeId {
    NodeId(MemberId::of(name).0)
}

pub(super) fn node_ids(names: &[String]) -> Vec<NodeId> {
    names.iter().map(|name| node_id(name)).collect()
}
