//! Reload on SIGHUP: applies a changed configuration while the node runs.
//!
//! What can change without a restart: the address of discovery; and of the operators' file the services that are watched
//! in Consul, the addresses of servers, where and how often other nodes are probed, and the acceptors of leases.
//! Everything else takes effect at the next start.

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

/// An operators' file and the sources that it configures.
pub struct ReloadableFile {
    /// Where the file is.
    pub path: PathBuf,
    /// The sources of the endpoint view.
    pub sources: Rc<ConsulFollowers>,
}

/// Reads the configuration and the operators' file again at each signal and applies what can change. A file that is not
/// valid is logged, and the previous configuration stays in effect: a typing error must not end a node that serves.
///
/// Runs for as long as it is polled; dropping it has no other effect than that signals are no longer followed.
pub async fn reload_on_signal(
    mut signals: Signal,
    discovery: watch::Sender<SocketAddr>,
    file: Option<ReloadableFile>,
    cluster: Option<Rc<Cluster>>,
) {
    // Signals that arrive during a reload are merged into one: the files are read after the last of them.
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
        Err(error) => log::line(format_args!("the operators' file is not used: {error}")),
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
