//! Takes a new configuration while the node runs: SIGHUP makes it read its file again.
//!
//! What can change without a restart is where discovery answers, and of the operators' file which services are
//! followed in Consul, at which addresses servers are reached, where and how often other nodes are probed, and who keeps leases. All else in the
//! files holds from the next start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::node::admin::log;
use crate::node::admin::operators::Operators;
use crate::node::cluster::Cluster;
use crate::node::config::Config;
use crate::node::discovery::Sources;

/// Reads the file again at each signal and tells where discovery answers now. A file that cannot be used is logged
/// and the configuration held stands: a slip of the pen must not end a node that serves.
pub async fn follow(
    mut signals: Signal,
    discovery: watch::Sender<SocketAddr>,
    operators: Option<(PathBuf, Rc<Sources>)>,
    fleet: Option<Rc<Cluster>>,
) {
    // Signals that come while one is dealt with are one more: the file is read after the last of them.
    while signals.recv().await.is_some() {
        let config = Config::from_environment();
        match &config {
            Ok(config) => {
                log::line(format_args!(
                    "the configuration is read again: discovery at {}",
                    config.discovery
                ));
                discovery.send_if_modified(|address| {
                    std::mem::replace(address, config.discovery) != config.discovery
                });
            }
            Err(error) => log::line(format_args!("the new configuration is not used: {error}")),
        }
        if let Some((file, sources)) = &operators {
            follow_again(file, sources, fleet.as_ref(), config.as_ref().ok());
        }
    }
}

fn follow_again(
    file: &Path,
    sources: &Sources,
    fleet: Option<&Rc<Cluster>>,
    config: Option<&Config>,
) {
    match Operators::read(file) {
        Ok(operators) => {
            sources.follow(
                &operators
                    .membership
                    .map(|merged| merged.consul)
                    .unwrap_or_default(),
            );
            sources.driver().say_addresses(operators.addresses);
            if let (Some(fleet), Some(instances)) = (fleet, &operators.instances) {
                fleet.reconfigure(config, instances, operators.leases.as_ref());
            }
        }
        Err(error) => log::line(format_args!("the operators' file is not used: {error}")),
    }
}
