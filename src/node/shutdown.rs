//! Graceful shutdown: the phases of a node from the stop signal to the end of the process.
//!
//! A node that receives a stop signal first drains: it serves as before, so that clients always find a node. In a rolling
//! restart, a node that was restarted earlier gets traffic only some time after it is ready; until then, this node serves
//! the clients that are connected to it. After the drain, the node accepts no new connections, and responds to all requests
//! that it has accepted.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use super::cluster::Cluster;
use super::downstream::server::Phase;

/// Time that is added to the longest timeout of a class: all requests must have a response within the sum, counted from the
/// stop signal. The platform kills a node 700 ms beyond that timeout. The remaining 100 ms are for writing the last
/// responses, in the worst case all at once, on the node's share of a core.
const COMPLETION_TIME: Duration = Duration::from_millis(600);
/// Longest timeout of a class for which the platform waits before it kills a node.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(3);
/// Fraction of the longest timeout that remains for responses once no new connections are accepted.
const RESPONSE_FRACTION: f64 = 0.5;

/// When the phases of a shutdown begin, counted from the signal.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownSchedule {
    /// When the node stops accepting connections.
    stop_accepting_after: Duration,
    /// When the node must have responded to all requests.
    complete_after: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule of a node whose classes have timeouts up to `max_timeout`.
    pub(super) fn new(max_timeout: Duration) -> Self {
        let max_timeout = max_timeout.min(MAX_REQUEST_TIME);
        let complete_after = COMPLETION_TIME + max_timeout;
        Self {
            stop_accepting_after: complete_after - max_timeout.mul_f64(RESPONSE_FRACTION),
            complete_after,
        }
    }
}

/// The signals that stop a node.
pub(super) struct StopSignals {
    pub(super) terminate: Signal,
    pub(super) interrupt: Signal,
}

impl StopSignals {
    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal, then leaves the cluster and publishes the phases of the shutdown one after the other. Never returns,
/// because dropping `phase` would end every wait for a phase: the caller drops this future once the server has stopped.
pub(super) async fn run_phases(
    mut signals: StopSignals,
    schedule: ShutdownSchedule,
    phase: watch::Sender<Phase>,
    cluster: Option<Rc<Cluster>>,
) {
    signals.wait().await;
    if let Some(cluster) = &cluster {
        cluster.leave();
    }
    let complete_by = Instant::now() + schedule.complete_after;
    phase.send_replace(Phase::Draining(complete_by));
    tokio::time::sleep(schedule.stop_accepting_after).await;
    phase.send_replace(Phase::ShuttingDown(complete_by));
    // Keeps the sender, which must not be dropped before all requests have a response.
    std::future::pending::<()>().await;
}

#[cfg(test)]
mod tests;
