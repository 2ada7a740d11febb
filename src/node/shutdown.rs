//! Graceful shutdown: the phases of a node from SIGTERM to its end.
//!
//! A node that is told to stop first drains: it serves as before, so that clients do not find nobody. A node that was
//! restarted before this one gets traffic only a while after it is ready, and until then the clients that have a
//! connection here are served here. Then it accepts nothing new, and responds to all it has accepted.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use super::cluster::Cluster;
use super::downstream::server::Phase;

/// All requests are responded to this long after the longest timeout of a class. The platform kills a node 700 ms after
/// it: what is left is for writing the last responses, all at once at the worst, on its share of a core.
const COMPLETION_TIME: Duration = Duration::from_millis(600);
/// The longest timeout of a class that the platform waits for before it kills a node.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(3);
/// The fraction of the longest timeout that is left for responses once nothing new is accepted.
const RESPONSE_FRACTION: f64 = 0.5;

/// When the phases of a shutdown begin, counted from the signal.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownSchedule {
    /// When the node stops accepting requests.
    stop_accepting_after: Duration,
    /// By when it has responded to all requests.
    complete_after: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a node whose classes have timeouts up to `max_timeout`.
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

/// Waits for a signal, then leaves the cluster and takes the node through the phases of its shutdown. Never returns: the
/// node has ended when its last client is served.
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
    // The sender must live until all requests are responded to: dropping it would look like one more change.
    std::future::pending::<()>().await;
}

#[cfg(test)]
mod tests;
