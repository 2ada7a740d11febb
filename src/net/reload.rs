//! Takes a new configuration while the node runs: SIGHUP makes it read its file again.
//!
//! What can change without a restart is where discovery answers. All else in the file holds from the next start.

use std::net::SocketAddr;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use super::config::Config;
use super::log;

/// Reads the file again at each signal and tells where discovery answers now. A file that cannot be used is logged
/// and the configuration held stands: a slip of the pen must not end a node that serves.
pub async fn follow(mut signals: Signal, discovery: watch::Sender<SocketAddr>) {
    // Signals that come while one is dealt with are one more: the file is read after the last of them.
    while signals.recv().await.is_some() {
        match Config::from_environment() {
            Ok(config) => {
                log::line(format_args!("the configuration is read again: discovery at {}", config.discovery));
                discovery.send_if_modified(|address| {
                    std::mem::replace(address, config.discovery) != config.discovery
                });
            }
            Err(error) => log::line(format_args!("the new configuration is not used: {error}")),
        }
    }
}
