//! Outlier detection on the node: connects the detector of [`::outlier_detection`] to the dispatcher and to [`gossip`].
//!
//! The dispatcher reports the results of attempts, reports between nodes are payloads of gossip datagrams, and the
//! weights that the detector sets are passed to the balancer as hints. This module makes no decisions. It owns the
//! mapping from the detector's server keys to the dispatcher's server ids, and updates it when the dispatcher's
//! endpoint list changes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::{Rc, Weak};

use ::outlier_detection::{
    Action, Event, FailureKind, NodeKey, OutlierDetector, ReportedServer, ServerKey, Settings,
    SettingsError,
};
use balancer::{AttemptResult, ServerId};
use gossip::{Event as GossipEvent, MemberId, State};

use super::{boot_ms, metric_lines, Cluster};
use crate::node::admin::log;
use crate::node::clock::Timer;
use crate::node::dispatcher::Dispatcher;

/// State of a node that takes part in outlier detection.
pub struct OutlierDetection {
    detector: RefCell<OutlierDetector>,
    dispatcher: Rc<Dispatcher>,
    timer: Timer,
    /// The version of the endpoint list from which `server_ids` was built.
    endpoint_list_version: Cell<Option<u64>>,
    server_ids: RefCell<HashMap<ServerKey, ServerId>>,
    /// Maximum weight of an outlier.
    max_outlier_weight: f64,
}

/// What the result of an attempt indicates about the server.
#[derive(Clone, Copy)]
enum AttemptOutcome {
    Success,
    Failure(FailureKind),
    /// The server shed load, or the attempt was cancelled or never sent.
    NoEvidence,
}

impl From<AttemptResult> for AttemptOutcome {
    fn from(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Served | AttemptResult::ClientError => Self::Success,
            AttemptResult::Error => Self::Failure(FailureKind::ErrorResponse),
            AttemptResult::Unreachable => Self::Failure(FailureKind::Unreachable),
            AttemptResult::Reset | AttemptResult::Malformed => {
                Self::Failure(FailureKind::ConnectionBroken)
            }
            AttemptResult::TimedOut => Self::Failure(FailureKind::TimedOut),
            AttemptResult::Overloaded | AttemptResult::Cancelled | AttemptResult::NotSent => {
                Self::NoEvidence
            }
        }
    }
}

impl OutlierDetection {
    /// Creates the state of a node that starts at `now_ms` of the clock of [`boot_ms`].
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range.
    pub fn new(
        now_ms: f64,
        settings: Settings,
        dispatcher: Rc<Dispatcher>,
    ) -> Result<Self, SettingsError> {
        let detector = OutlierDetector::new(now_ms, settings, fastrand::f64())?;
        Ok(Self {
            detector: RefCell::new(detector),
            dispatcher,
            timer: Timer::new(),
            endpoint_list_version: Cell::new(None),
            server_ids: RefCell::default(),
            max_outlier_weight: settings.max_outlier_weight,
        })
    }

    fn handle(&self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update_servers(&mut actions);
        self.detector
            .borrow_mut()
            .handle(boot_ms(), event, &mut actions);
        actions
    }

    /// Passes the dispatcher's endpoint list to the detector if it has changed.
    fn update_servers(&self, actions: &mut Vec<Action>) {
        let version = self.dispatcher.endpoint_list_version();
        if self.endpoint_list_version.replace(Some(version)) == Some(version) {
            return;
        }
        let mut server_ids = HashMap::new();
        let mut keys = Vec::new();
        for (id, key) in self.dispatcher.server_keys() {
            keys.push(ServerKey(key));
            server_ids.insert(ServerKey(key), id);
        }
        self.server_ids.replace(server_ids);
        let event = Event::ServersChanged(&keys);
        self.detector.borrow_mut().handle(boot_ms(), event, actions);
    }

    fn server_id(&self, key: ServerKey) -> Option<ServerId> {
        self.server_ids.borrow().get(&key).copied()
    }

    fn set_weight(&self, key: ServerKey, weight: f64) {
        let Some(server) = self.server_id(key) else {
            return;
        };
        self.log_weight(server, weight);
        self.dispatcher.set_weight_hint(server, weight);
    }

    /// Logs each change of a weight to at most `max_outlier_weight`, and each change to full weight. In a cluster so large
    /// that an outlier's weight is lower than that, the first steps of its rise are logged, too.
    fn log_weight(&self, server: ServerId, weight: f64) {
        let name = self.dispatcher.server_name(server).unwrap_or_default();
        if weight >= 1.0 {
            log::line(format_args!(
                "outlier detection: {name} gets its full share of requests again"
            ));
        } else if weight <= self.max_outlier_weight {
            log::line(format_args!(
                "outlier detection: several nodes report {name} as failing; it gets fewer requests"
            ));
        }
    }

    /// One row of the response to `HINTS`.
    fn hint_row(&self, reported: &ReportedServer) -> String {
        let ReportedServer {
            server,
            failure_kind,
            reporters,
            age_ms,
            weight,
        } = reported;
        let id = self.server_id(*server);
        let name = id
            .and_then(|id| self.dispatcher.server_name(id))
            .unwrap_or_else(|| "-".to_owned());
        let kind = failure_kind.name();
        format!("{name} {kind} {reporters} {age_ms:.0} {weight:.2}")
    }
}

impl Cluster {
    /// Passes an event to the detector and executes the resulting actions. Does nothing on a node without outlier
    /// detection.
    pub(super) fn handle_outlier_event(self: &Rc<Self>, event: Event<'_>) {
        let Some(detection) = &self.outlier_detection else {
            return;
        };
        for action in detection.handle(event) {
            match action {
                Action::Broadcast(bytes) => self.broadcast(&bytes),
                Action::WakeAt(at_ms) => detection.timer.set(at_ms),
                Action::SetWeight { server, weight } => detection.set_weight(server, weight),
            }
        }
    }

    /// Sends a payload to all other live nodes.
    fn broadcast(self: &Rc<Self>, bytes: &[u8]) {
        let others: Vec<_> = {
            let gossip = self.gossip.borrow();
            let others = gossip
                .members()
                .filter(|member| !member.is_self && is_live(member.state));
            others.map(|member| MemberId::of(&member.name)).collect()
        };
        for to in others {
            self.handle_gossip_event(GossipEvent::SendPayload { to, bytes });
        }
    }

    /// Passes the number of live nodes, including this one, to the detector.
    pub(super) fn update_cluster_size(self: &Rc<Self>) {
        let live_nodes = {
            let gossip = self.gossip.borrow();
            gossip
                .members()
                .filter(|member| is_live(member.state))
                .count()
        };
        self.handle_outlier_event(Event::ClusterSize(live_nodes));
    }

    pub(super) fn receive_outlier_report(self: &Rc<Self>, from: MemberId, bytes: &[u8]) {
        let from = NodeKey(from.0);
        self.handle_outlier_event(Event::ReportReceived { from, bytes });
    }

    /// Passes the result of each attempt from now on, and timer events, to the detector. Runs for as long as the future
    /// is polled.
    pub(super) async fn run_outlier_detection(self: Rc<Self>) {
        let Some(detection) = &self.outlier_detection else {
            return;
        };
        let cluster: Weak<Self> = Rc::downgrade(&self);
        detection.dispatcher.observe_attempts(move |key, result| {
            if let Some(cluster) = cluster.upgrade() {
                cluster.record_attempt(ServerKey(key), result.into());
            }
        });
        detection.timer.set(0.0);
        loop {
            detection.timer.wait(boot_ms).await;
            self.handle_outlier_event(Event::TimerFired);
        }
    }

    fn record_attempt(self: &Rc<Self>, server: ServerKey, outcome: AttemptOutcome) {
        let failure = match outcome {
            AttemptOutcome::Success => None,
            AttemptOutcome::Failure(kind) => Some(kind),
            AttemptOutcome::NoEvidence => return,
        };
        self.handle_outlier_event(Event::AttemptEnded { server, failure });
    }

    /// The rows of the response to `HINTS`; `None` on a node without outlier detection.
    #[must_use]
    pub fn hints(&self) -> Option<String> {
        let detection = self.outlier_detection.as_ref()?;
        let detector = detection.detector.borrow();
        let reported: Vec<_> = detector.reported_servers().collect();
        let mut rows = format!("self {} {}\n", self.name, reported.len());
        for server in &reported {
            let _ = writeln!(rows, "{}", detection.hint_row(server)); // Writing to a string cannot fail.
        }
        Some(rows)
    }

    /// The metrics of outlier detection; empty on a node without it.
    pub(super) fn outlier_detection_metrics(&self) -> String {
        let Some(detection) = &self.outlier_detection else {
            return String::new();
        };
        let detector = detection.detector.borrow();
        let counters = detector.counters();
        let reduced = detector
            .reported_servers()
            .filter(|server| server.weight < 1.0)
            .count();
        let lines = [
            ("spared", reduced as u64, 'g'),
            ("told", counters.reports_sent, 'c'),
            ("heard", counters.reports_accepted, 'c'),
            ("unknown", counters.unknown, 'c'),
            ("void", counters.implausible_reports, 'c'),
            ("suspected", counters.ejections, 'c'),
            ("panics", counters.panics, 'c'),
        ];
        metric_lines("word", &lines)
    }
}

/// Whether a node in this state counts as live. A suspect does, because it may still refute the suspicion.
fn is_live(state: State) -> bool {
    matches!(state, State::Alive | State::Suspect)
}
