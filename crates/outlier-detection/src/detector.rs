//! The outlier detector of one node: it reports about servers, and evaluates the reports of other nodes.
//!
//! The detector owns the state of each server of the node's endpoint list. It reports and evaluates every
//! `interval_ms`. It does so at once after a failure if it has sent no report for an interval, and it evaluates the
//! accepted reports of other nodes on arrival.

use std::collections::{BTreeMap, BTreeSet};

use crate::attempt_stats::AttemptCounts;
use crate::report::{FailureKind, Report, ReportEntry, ServerKey};
use crate::server_state::{Evaluation, ServerState, Trigger, Verdict, WeightContext, MIN_ATTEMPTS};
use crate::settings::{Settings, SettingsError};
use crate::wire::{decode_report, encode_report, MAX_ENTRIES};

/// Maximum number of servers whose state is kept. Further servers of the endpoint list are not evaluated.
const MAX_SERVERS: usize = 8_192;
/// Sum of an outlier's weights on all nodes, high enough that attempts of many nodes show its recovery; with a lower
/// sum, random selection would lead few nodes to it. A fixed weight of 0.05 on each node caused more failed requests
/// than nodes that evaluate only their own attempts (`docs/outlier-detection/measured.md`).
const TOTAL_OUTLIER_WEIGHT: f64 = 0.9;
/// Lower bound of an outlier's weight on one node, unless [`Settings::max_outlier_weight`] is lower.
const MIN_OUTLIER_WEIGHT: f64 = 0.003;
/// Duration of a panic, in intervals. During a panic no server is treated as an outlier, because too many would be. The
/// duration keeps servers from alternating between a reduced and the full weight.
const PANIC_INTERVALS: f64 = 30.0;
/// Maximum number of failing servers that is plausible whatever fraction of the servers it is.
const MAX_ALWAYS_PLAUSIBLE_FAILING_SERVERS: f64 = 1.0;
/// Number of nodes that have to report a server as failing even in the smallest cluster.
const MIN_REPORTERS: usize = 2;

/// Identifies a node by a number that is derived from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub u64);

/// An input of the detector.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// This node's endpoint list has changed to these servers.
    ServersChanged(&'a [ServerKey]),
    /// An attempt of this node ended.
    AttemptEnded {
        /// The server to which it was sent.
        server: ServerKey,
        /// How the attempt failed; `None` if it succeeded.
        failure: Option<FailureKind>,
    },
    /// A report of another node arrived.
    ReportReceived {
        /// The node that sent it.
        from: NodeKey,
        /// The encoded report.
        bytes: &'a [u8],
    },
    /// The number of live nodes in the cluster, including this one.
    ClusterSize(usize),
    /// The time of the last [`Action::WakeAt`] was reached.
    TimerFired,
}

/// An output of the detector, to be executed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this encoded report to all other nodes.
    Broadcast(Vec<u8>),
    /// Change the weight of a server.
    SetWeight {
        /// The server.
        server: ServerKey,
        /// The fraction of its ordinary share of requests that it should get; 1 if the share is not reduced.
        weight: f64,
    },
    /// Pass [`Event::TimerFired`] at this time, in milliseconds. Replaces any earlier time.
    WakeAt(f64),
}

/// A server that nodes report as failing, or whose weight is reduced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedServer {
    /// The server.
    pub server: ServerKey,
    /// The most frequent kind of failure.
    pub failure_kind: FailureKind,
    /// Number of nodes that currently report it as failing, including this one.
    pub reporters: usize,
    /// Time since its last ejection began, or since nodes began to report it as failing while it had its full weight,
    /// whichever is later, in milliseconds.
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
    /// Sum of the reports that could not be decoded and the entries of accepted reports about servers that are not in
    /// this node's endpoint list.
    pub unknown: u64,
    /// Rejected reports of other nodes that found too many servers failing, and reports that this node did not send for
    /// the same reason.
    pub implausible_reports: u64,
    /// Number of ejections that began.
    pub ejections: u64,
    /// Evaluations that started or extended a panic.
    pub panics: u64,
}

/// The outlier detector of one node. See the crate's documentation.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: Settings,
    now_ms: f64,
    interval_end_ms: f64,
    cluster_size: usize,
    servers: BTreeMap<ServerKey, ServerState>,
    /// The servers that need evaluation: those with reports, failures, a reduced weight, or recent ejections.
    watched: BTreeSet<ServerKey>,
    last_report_ms: f64,
    /// Whether this node's attempts fail at so many servers that the node itself is likely at fault.
    is_own_report_implausible: bool,
    panic_until_ms: f64,
    counters: Counters,
    actions: Vec<Action>,
}

impl OutlierDetector {
    /// Creates a detector without servers. `phase`, from 0 to 1, is the length of its first interval as a fraction of
    /// the others, so that the nodes of a cluster do not all report at the same time.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn new(now_ms: f64, settings: Settings, phase: f64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            settings,
            now_ms,
            interval_end_ms: now_ms + settings.interval_ms * phase,
            cluster_size: 1,
            servers: BTreeMap::new(),
            watched: BTreeSet::new(),
            last_report_ms: f64::NEG_INFINITY,
            is_own_report_implausible: false,
            panic_until_ms: f64::NEG_INFINITY,
            counters: Counters::default(),
            actions: Vec::new(),
        })
    }

    /// Handles an event that occurs at `now_ms`, and appends the resulting actions. If `now_ms` is before the time of
    /// an earlier event, that event's time is used instead.
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
            // After a suspension of the process only one interval ends, not each interval that was missed.
            self.interval_end_ms = self.now_ms + self.settings.interval_ms;
            self.send_report();
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
            .own_attempts
            .record(self.now_ms, self.settings.half_life_ms, failure);
        if failure.is_none() {
            return;
        }
        self.watched.insert(key);
        // A first failure is reported at once; otherwise each other node would detect the fault by a failure of its
        // own.
        if self.now_ms - self.last_report_ms >= self.settings.interval_ms {
            self.send_report();
            self.evaluate(Trigger::NewEvidence);
        }
    }

    /// Whether `failing` out of `tried` servers are too many to be plausible: the node that tried them is then more
    /// likely at fault than the servers.
    fn is_implausible(&self, failing: usize, tried: usize) -> bool {
        let max_failing = self.settings.max_outlier_fraction * tried as f64;
        failing as f64 > max_failing.max(MAX_ALWAYS_PLAUSIBLE_FAILING_SERVERS)
    }

    fn accept_report(&mut self, from: NodeKey, report: &Report) {
        let failing = report.entries.iter().filter(|entry| entry.is_failing());
        // The reported number is not trusted beyond the number of servers that this node knows of.
        let tried = usize::from(report.tried_servers).min(self.servers.len());
        if self.is_implausible(failing.count(), tried) {
            self.counters.implausible_reports += 1;
            return;
        }
        self.counters.reports_accepted += 1;
        for entry in &report.entries {
            // Reports never add a server to this node's endpoint list.
            let Some(server) = self.servers.get_mut(&entry.server) else {
                self.counters.unknown += 1;
                continue;
            };
            server.accept_report(self.now_ms, from, entry);
            self.watched.insert(entry.server);
        }
        self.evaluate(Trigger::NewEvidence);
    }

    /// Broadcasts the results of this node's attempts at the servers for which [`Self::is_reportable`] holds. Sends
    /// nothing if there are none, or if the report would be implausible.
    fn send_report(&mut self) {
        let own_attempts: Vec<_> = self
            .servers
            .iter()
            .map(|(key, server)| (*key, self.own_counts(server)))
            .collect();
        let tried = own_attempts
            .iter()
            .filter(|(_, counts)| counts.total() >= MIN_ATTEMPTS)
            .count();
        let failing = own_attempts
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
        let mut reportable: Vec<_> = own_attempts
            .into_iter()
            .filter(|(key, counts)| self.is_reportable(*key, counts))
            .collect();
        if reportable.is_empty() {
            return;
        }
        reportable.sort_by(|(_, a), (_, b)| b.failed.total_cmp(&a.failed));
        let entries = reportable
            .into_iter()
            .take(MAX_ENTRIES)
            .map(|(key, counts)| self.report_entry(key, counts));
        let report = Report {
            tried_servers: tried.min(usize::from(u16::MAX)) as u16,
            entries: entries.collect(),
        };
        self.counters.reports_sent += 1;
        self.last_report_ms = self.now_ms;
        self.actions.push(Action::Broadcast(encode_report(&report)));
    }

    fn own_counts(&self, server: &ServerState) -> AttemptCounts {
        server
            .own_attempts
            .counts(self.now_ms, self.settings.half_life_ms)
    }

    /// Whether there are failures to report, or successes that are evidence of a server's recovery or against the
    /// failures that other nodes report.
    fn is_reportable(&self, key: ServerKey, counts: &AttemptCounts) -> bool {
        let needs_successes = || {
            self.servers
                .get(&key)
                .is_some_and(ServerState::needs_successes)
        };
        counts.failed >= MIN_ATTEMPTS || (counts.succeeded >= MIN_ATTEMPTS && needs_successes())
    }

    fn report_entry(&self, key: ServerKey, counts: AttemptCounts) -> ReportEntry {
        let last_success_ms = self.servers.get(&key).map_or(f64::NEG_INFINITY, |server| {
            server.own_attempts.last_success_ms()
        });
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
        let outliers = self.find_outliers();
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

    fn find_outliers(&mut self) -> BTreeSet<ServerKey> {
        let evaluation = Evaluation {
            now_ms: self.now_ms,
            settings: self.settings,
            min_reporters: self
                .settings
                .min_reporters
                .min(self.cluster_size.div_ceil(2))
                .max(MIN_REPORTERS),
            include_own_attempts: !self.is_own_report_implausible,
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

    /// Starts or extends a panic if too many servers would be outliers. Returns whether a panic is in effect.
    fn update_panic(&mut self, outliers: &BTreeSet<ServerKey>) -> bool {
        // Servers with a low weight count, too: they may still be failing, but get so few attempts that too few nodes
        // report it.
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

    /// An outlier's weight on this node; the more nodes there are, the lower it is.
    fn outlier_weight(&self) -> f64 {
        (TOTAL_OUTLIER_WEIGHT / self.cluster_size as f64)
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
