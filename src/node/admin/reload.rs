//! Reload on SIGHUP: applies a changed configuration while the node runs.
//!
//! These settings can change without a restart: in the platform's configuration, the address of discovery and the
//! addresses of other nodes; in the operators' file, the services that are watched in Consul, the addresses of servers,
//! the addresses of other nodes and the timing of their probes, and the acceptors of leases. All other settings take
//! effect at the next start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::node::admin::config_file::OperatorConfig;
use crate::node::admin::log;
use crate::node::cluster::Cluster;
use crate::node::config::Config;
use crate::node::discovery::ConsulFollowers;

/// An operators' file, and the sources to which a reload of it applies.
pub struct ReloadableFile {
    /// The path of the file.
    pub path: PathBuf,
    /// The Consul services that the node follows.
    pub sources: Rc<ConsulFollowers>,
}

/// Reads the platform's configuration and the operators' file again at each signal, and applies the settings that can
/// change. If a file is invalid, logs the error and keeps the previous settings, so that a typing error does not stop a
/// running node.
///
/// The future completes only if no further signals can be received. Dropping it ends the handling of signals and
/// changes nothing else.
pub async fn reload_on_signal(
    mut signals: Signal,
    discovery: watch::Sender<SocketAddr>,
    file: Option<ReloadableFile>,
    cluster: Option<Rc<Cluster>>,
) {
    // Signals that arrive during a reload are merged into one, so the files are read again after the last signal.
    while signals.recv().await.is_some() {
        let config = reload_platform_config(&discovery);
        if let Some(file) = &file {
            reload_operator_config(file, cluster.as_ref(), config.as_ref());
        }
    }
}

fn reload_platform_config(discovery: &watch::Sender<SocketAddr>) -> Option<Config> {
    match Config::from_environment() {
        Ok(config) => {
            log::line(format_args!(
                "configuration reloaded: discovery at {}",
                config.discovery
            ));
            discovery.send_if_modified(|address| {
                std::mem::replace(address, config.discovery) != config.discovery
            });
            Some(config)
        }
        Err(error) => {
            log::line(format_args!("the new configuration is not used: {error}"));
            None
        }
    }
}

fn reload_operator_config(
    file: &ReloadableFile,
    cluster: Option<&Rc<Cluster>>,
    platform: Option<&Config>,
) {
    match OperatorConfig::read(&file.path) {
        Ok(config) => apply(config, &file.sources, cluster, platform),
        Err(error) => log::line(format_args!(
            "the operators' file is not used, the previous settings stay in effect: {error}"
        )),
    }
}

fn apply(
    config: OperatorConfig,
    sources: &ConsulFollowers,
    cluster: Option<&Rc<Cluster>>,
    platform: Option<&Config>,
) {
    let consul = config
        .endpoint_sources
        .map(|sources| sources.consul)
        .unwrap_or_default();
    sources.follow(&consul);
    sources
        .dispatcher()
        .set_configured_addresses(config.addresses);
    if let (Some(cluster), Some(settings)) = (cluster, &config.cluster) {
        cluster.reconfigure(platform, settings, config.leases.as_ref());
    }
}
