//! The summary of a valid operators' file for `silverthread check`.

use super::OperatorConfig;
use crate::node::cluster::{ClusterSettings, LeaseSettings};
use crate::node::discovery::consul::ConsulSource;

impl OperatorConfig {
    /// Returns a line for each feature that the file enables. Empty without a file.
    #[must_use]
    pub fn summary(&self) -> Vec<String> {
        let Some(sources) = &self.endpoint_sources else {
            return Vec::new();
        };
        let mut lines: Vec<_> = sources.consul.iter().map(consul_line).collect();
        lines.extend(self.addresses_line());
        lines.extend(self.cluster.as_ref().map(cluster_line));
        lines.extend(self.leases.as_ref().map(leases_line));
        lines.extend(self.outlier_detection.as_ref().map(outlier_detection_line));
        lines
    }

    fn addresses_line(&self) -> Option<String> {
        let servers = self.addresses.len();
        let addresses: usize = self
            .addresses
            .values()
            .map(|server| server.routes.len())
            .sum();
        (addresses > 0).then(|| format!("{addresses} address(es) of {servers} server(s)"))
    }
}

fn consul_line(source: &ConsulSource) -> String {
    let (name, agents) = (&source.policy.name, source.agents.len());
    let service = &source.watch.query.service;
    let role = if source.policy.may_add_endpoints {
        "can add servers"
    } else {
        "cannot add servers"
    };
    format!("consul {name:?}: service {service:?}, {agents} agent(s), {role}")
}

fn cluster_line(settings: &ClusterSettings) -> String {
    let peers = match &settings.peers {
        Some(peers) => format!("{} peer(s)", peers.len()),
        None => "the platform's peers".to_owned(),
    };
    format!(
        "cluster {:?}: {peers}, probed every {} ms",
        settings.cluster, settings.probe_interval_ms
    )
}

fn leases_line(leases: &LeaseSettings) -> String {
    format!(
        "leases of {} shards, granted by acceptors {} (set {}), {} ms long",
        leases.shards,
        leases.acceptors.join(", "),
        leases.configuration,
        leases.lease_ms
    )
}

fn outlier_detection_line(settings: &outlier_detection::Settings) -> String {
    format!(
        "outlier detection: at least {} nodes must report a server, reports sent every {} ms",
        settings.min_reporters, settings.interval_ms
    )
}
