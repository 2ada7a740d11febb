//! One node's part in outlier detection: what it reports about servers, and what it concludes from the reports of others.
//!
//! The detector owns the state of each server of the node's endpoint list. Every `interval_ms` it reports and evaluates;
//! the first failure after a quiet interval and each report of another node are evaluated at once.

use std::collections::{BTreeMap, BTreeSet};

use crate::attempt_stats::AttemptCounts;
use crate::report::{FailureKind, Report, ReportEntry, ServerKey};
use crate::server_state::{Evaluation, ServerState, Trigger, Verdict, WeightContext, MIN_ATTEMPTS};
use crate::settings::{Settings, SettingsError};
use crate::wire::{decode_report, encode_report, MAX_ENTRIES};

/// Servers whose state is kept: the largest endpoint list that the node accepts. Any further servers are not judged.
const MAX_SERVERS: usize = 8_192;
/// The weights of an outlier on all nodes add up to this, so that many nodes notice its recovery. Few do by chance alone. A
/// fixed weight of 0.05 on each node cost more failures than nodes that judge alone
/// (`docs/outlier-detection/measured.md`).
const OUTLIER_WEIGHT_OF_ALL_NODES: f64 = 0.9;
/// The lowest weight of an outlier on one node.
const MIN_OUTLIER_WEIGHT: f64 = 0.003;
/// For how many intervals no server is an outlier once too many would be: long enough that no server alternates between
/// both.
const PANIC_INTERVALS: f64 = 30.0;
/// One failing server is plausible, whatever fraction of the servers it is.
const MIN_PLAUSIBLE_OUTLIERS: f64 = 1.0;
/// Two nodes have to report a server as failing even in the smallest cluster.
const MIN_REPORTERS: usize = 2;

/// A node, by a number that is derived from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub u64);

/// What happens to a node.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The endpoint list of this node now has these servers.
    ServersChanged(&'a [ServerKey]),
    /// An attempt of this node ended.
    AttemptEnded {
        /// The server that was tried.
        server: ServerKey,
        /// How the attempt failed, if it did.
        failure: Option<FailureKind>,
    },
    /// A report of another node arrived.
    ReportReceived {
        /// The node that sent it.
        from: NodeKey,
        /// The encoded report.
        bytes: &'a [u8],
    },
    /// The number of live nodes in the cluster, with this one.
    ClusterSize(usize),
    /// The time of the last [`Action::WakeAt`] has come.
    TimerFired,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this report to all other nodes.
    Broadcast(Vec<u8>),
    /// Change the weight of a server.
    SetWeight {
        /// The server.
        server: ServerKey,
        /// The fraction of its ordinary share of requests that it should get; 1 for a server that is not an outlier.
        weight: f64,
    },
    /// Call again at this time, in milliseconds, at the latest.
    WakeAt(f64),
}

/// A server that nodes report as failing, or that recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedServer {
    /// The server.
    pub server: ServerKey,
    /// The most frequent kind of failure.
    pub failure_kind: FailureKind,
    /// How many nodes report it as failing now.
    pub reporters: usize,
    /// For how long it has had this status, in milliseconds.
    pub age_ms: f64,
    /// The fraction of its ordinary share of requests that it should get.
    pub weight: f64,
}

/// Counts since the detector was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reports that this node sent.
    pub reports_sent: u64,
    /// Reports of other nodes that were accepted.
    pub reports_accepted: u64,
    /// Reports that could not be decoded, and entries about servers that are not in this node's endpoint list.
    pub unknown: u64,
    /// Reports that find too many servers failing: those of other nodes, and those of this node, which it did not send.
    pub implausible_reports: u64,
    /// Servers that became outliers.
    pub ejections: u64,
    /// Evaluations in which too many servers would have been outliers.
    pub panics: u64,
}

/// One node's outlier detector. See the crate's documentation.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: Settings,
    now_ms: f64,
    interval_end_ms: f64,
    cluster_size: usize,
    servers: BTreeMap<ServerKey, ServerState>,
    /// The servers with anything to evaluate: reports, failures, or a reduced weight.
    watched: BTreeSet<ServerKey>,
    reported_ms: f64,
    /// Whether this node's own attempts fail at so many servers that the fault is likely its own.
    is_own_report_implausible: bool,
    panic_until_ms: f64,
    counters: Counters,
    actions: Vec<Action>,
}

impl OutlierDetector {
    /// A detector without servers. `phase`, from 0 to 1, is the part of an interval after which it reports first, so that
    /// the nodes of a cluster do not all report at the same time.
    ///
    /// # Errors
    ///
    /// A setting is out of its range.
    pub fn new(now_ms: f64, settings: Settings, phase: f64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            settings,
            now_ms,
            interval_end_ms: now_ms + settings.interval_ms * phase,
            cluster_size: 1,
            servers: BTreeMap::new(),
            watched: BTreeSet::new(),
            reported_ms: f64::NEG_INFINITY,
            is_own_report_implausible: false,
            panic_until_ms: f64::NEG_INFINITY,
            counters: Counters::default(),
            actions: Vec::new(),
        })
    }

    /// Handles an event at a time, and appends what is to be done. A time before that of an earlier event counts as the
    /// latter.
    pub fn handle(&mut self, now_ms: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now_ms = self.now_ms.max(now_ms);
        match event {
            Event::ServersChanged(servers) => self.set_servers(servers),
            Event::AttemptEnded { server, failure } => self.record_attempt(server, failure),
            Event::ReportReceived { from, bytes } => match decode_report(bytes) {
                Some(report) => self.accept_report(from, &report),
                None => self.counters.unknown += 1,
            },
            Event::ClusterSize(nodes) => self.cluster_size = nodes.max(1),
            Event::TimerFired => {}
        }
        if self.now_ms >= self.interval_end_ms {
            // After a pause of the process there is one interval, not one for each that was missed.
            self.interval_end_ms = self.now_ms + self.settings.interval_ms;
            self.report();
            self.evaluate(Trigger::IntervalEnd);
        }
        actions.append(&mut self.actions);
        actions.push(Action::WakeAt(self.interval_end_ms));
    }

    /// The servers that nodes report as failing, and those with a reduced weight.
    pub fn reported_servers(&self) -> impl Iterator<Item = ReportedServer> + '_ {
        let reported = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_reported());
        reported.map(|(key, server)| ReportedServer {
            server: *key,
            failure_kind: server.failure_kind,
            reporters: server.failing_reporters,
            age_ms: self.now_ms - server.status_since_ms,
            weight: server.weight,
        })
    }

    /// Counts since the detector was created.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn set_servers(&mut self, servers: &[ServerKey]) {
        let listed: BTreeSet<_> = servers.iter().take(MAX_SERVERS).copied().collect();
        self.servers.retain(|key, _| listed.contains(key));
        self.watched.retain(|key| listed.contains(key));
        for key in listed {
            self.servers
                .entry(key)
                .or_insert_with(|| ServerState::new(self.now_ms));
        }
    }

    fn record_attempt(&mut self, key: ServerKey, failure: Option<FailureKind>) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server
            .own
            .record(self.now_ms, self.settings.half_life_ms, failure);
        if failure.is_none() {
            return;
        }
        self.watched.insert(key);
        // The first failure is reported at once: otherwise each other node would find out by a failure of its own.
        if self.now_ms - self.reported_ms >= self.settings.interval_ms {
            self.report();
            self.evaluate(Trigger::NewEvidence);
        }
    }

    /// Whether a node that finds this many of the servers that it tried failing is more likely at fault than the servers.
    fn is_implausible(&self, failing: usize, tried: usize) -> bool {
        let max_failing = self.settings.max_outlier_fraction * tried as f64;
        failing as f64 > max_failing.max(MIN_PLAUSIBLE_OUTLIERS)
    }

    fn accept_report(&mut self, from: NodeKey, report: &Report) {
        let failing = report.entries.iter().filter(|entry| entry.is_failing());
        // A node cannot have tried more servers than there are.
        let tried = usize::from(report.tried).min(self.servers.len());
        if self.is_implausible(failing.count(), tried) {
            self.counters.implausible_reports += 1;
            return;
        }
        self.counters.reports_accepted += 1;
        for entry in &report.entries {
            // Reports never add a server to those that this node's endpoint list names.
            let Some(server) = self.servers.get_mut(&entry.server) else {
                self.counters.unknown += 1;
                continue;
            };
            server.accept_report(self.now_ms, from, entry);
            self.watched.insert(entry.server);
        }
        self.evaluate(Trigger::NewEvidence);
    }

    /// Broadcasts how this node's own attempts ended, for the servers for which that matters; nothing if there are none, or
    /// if the report would be implausible.
    fn report(&mut self) {
        let own: Vec<_> = self
            .servers
            .iter()
            .map(|(key, server)| (*key, self.own_counts(server)))
            .collect();
        let tried = own
            .iter()
            .filter(|(_, counts)| counts.total() >= MIN_ATTEMPTS)
            .count();
        let failing = own
            .iter()
            .filter(|(_, counts)| {
                counts.failed >= MIN_ATTEMPTS && counts.failed >= counts.succeeded
            })
            .count();
        self.is_own_report_implausible = self.is_implausible(failing, tried);
        if self.is_own_report_implausible {
            self.counters.implausible_reports += 1;
            return;
        }
        let mut worth_reporting: Vec<_> = own
            .into_iter()
            .filter(|(key, counts)| self.is_worth_reporting(*key, counts))
            .collect();
        if worth_reporting.is_empty() {
            return;
        }
        worth_reporting.sort_by(|(_, a), (_, b)| b.failed.total_cmp(&a.failed));
        let entries = worth_reporting
            .into_iter()
            .take(MAX_ENTRIES)
            .map(|(key, counts)| self.report_entry(key, counts));
        let report = Report {
            tried: tried.min(usize::from(u16::MAX)) as u16,
            entries: entries.collect(),
        };
        self.counters.reports_sent += 1;
        self.reported_ms = self.now_ms;
        self.actions.push(Action::Broadcast(encode_report(&report)));
    }

    fn own_counts(&self, server: &ServerState) -> AttemptCounts {
        server.own.counts(self.now_ms, self.settings.half_life_ms)
    }

    /// Whether there are failures, or successes that are evidence against the failures that others report.
    fn is_worth_reporting(&self, key: ServerKey, counts: &AttemptCounts) -> bool {
        let needs_successes = || {
            self.servers
                .get(&key)
                .is_some_and(ServerState::needs_successes)
        };
        counts.failed >= MIN_ATTEMPTS || (counts.succeeded >= MIN_ATTEMPTS && needs_successes())
    }

    fn report_entry(&self, key: ServerKey, counts: AttemptCounts) -> ReportEntry {
        let last_success_ms = self
            .servers
            .get(&key)
            .map_or(f64::NEG_INFINITY, |server| server.own.last_success_ms());
        ReportEntry {
            server: key,
            failed_quarters: to_quarters(counts.failed),
            succeeded_quarters: to_quarters(counts.succeeded),
            failure_kind: counts.failure_kind,
            success_age_tenths: to_tenths_of_a_second(self.now_ms - last_success_ms),
        }
    }

    /// Determines the outliers and updates the weights.
    fn evaluate(&mut self, trigger: Trigger) {
        let outliers = self.outliers();
        let is_panic = self.update_panic(&outliers);
        let context = WeightContext {
            now_ms: self.now_ms,
            interval_ms: self.settings.interval_ms,
            outlier_weight: self.outlier_weight(),
            trigger,
        };
        let mut settled = Vec::new();
        for key in &self.watched {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            let verdict = if is_panic {
                Verdict::Panic
            } else if outliers.contains(key) {
                Verdict::Outlier
            } else {
                Verdict::Ordinary
            };
            let update = server.update_weight(verdict, &context);
            if update.is_ejection {
                self.counters.ejections += 1;
            }
            if update.is_changed {
                self.actions.push(Action::SetWeight {
                    server: *key,
                    weight: server.weight,
                });
            }
            if server.is_settled(self.now_ms, self.settings.half_life_ms) {
                settled.push(*key);
            }
        }
        for key in settled {
            self.watched.remove(&key);
        }
    }

    fn outliers(&mut self) -> BTreeSet<ServerKey> {
        let evaluation = Evaluation {
            now_ms: self.now_ms,
            settings: self.settings,
            min_reporters: self
                .settings
                .min_reporters
                .min(self.cluster_size.div_ceil(2))
                .max(MIN_REPORTERS),
            own_attempts_count: !self.is_own_report_implausible,
        };
        let mut outliers = BTreeSet::new();
        for key in &self.watched {
            if let Some(server) = self.servers.get_mut(key) {
                if server.evaluate(&evaluation) {
                    outliers.insert(*key);
                }
            }
        }
        outliers
    }

    /// Begins or extends a panic if too many servers would be outliers. Returns whether there is one.
    fn update_panic(&mut self, outliers: &BTreeSet<ServerKey>) -> bool {
        // A server with a low weight may still be failing, though hardly any node is left to report it.
        let recovering = self
            .watched
            .iter()
            .filter(|key| !outliers.contains(key))
            .filter_map(|key| self.servers.get(key))
            .filter(|server| server.has_low_weight())
            .count();
        if self.is_implausible(outliers.len() + recovering, self.servers.len()) {
            self.counters.panics += 1;
            self.panic_until_ms = self.now_ms + PANIC_INTERVALS * self.settings.interval_ms;
        }
        self.now_ms < self.panic_until_ms
    }

    /// The weight of an outlier on this node: the more nodes there are, the lower.
    fn outlier_weight(&self) -> f64 {
        (OUTLIER_WEIGHT_OF_ALL_NODES / self.cluster_size as f64)
            .max(MIN_OUTLIER_WEIGHT)
            .min(self.settings.max_outlier_weight)
    }
}

fn to_quarters(count: f64) -> u8 {
    (count * 4.0).round().min(f64::from(u8::MAX)) as u8
}

fn to_tenths_of_a_second(ms: f64) -> u8 {
    (ms / 100.0).min(f64::from(u8::MAX)) as u8
}
