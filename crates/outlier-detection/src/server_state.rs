//! One server as a node sees it: the evidence of all reporters, and the weight that follows from it.
//!
//! A server is an outlier while enough nodes report it as failing and enough of all reported attempts failed. Its weight
//! then falls to a floor at once, and rises again step by step while more attempts succeed than fail.

use crate::attempt_stats::{AttemptCounts, AttemptStats};
use crate::detector::NodeKey;
use crate::report::{FailureCounts, FailureKind, ReportEntry};
use crate::settings::Settings;

/// The fewest attempts, as a weighted count, that say anything about a server.
pub const MIN_ATTEMPTS: f64 = 0.5;
/// Reporters of one server that are remembered: many times what it takes, so the oldest may be forgotten.
const MAX_REPORTERS: usize = 24;
/// A report that is not repeated for this many intervals counts no more.
const REPORT_LIFETIME_INTERVALS: f64 = 3.5;
/// The most attempts for which one reporter counts: neither a busy node nor one that lies decides alone.
const MAX_ATTEMPTS_PER_REPORTER: f64 = 4.0;
/// The weight rises by this factor in an interval in which more of all reported attempts succeeded than failed. It does
/// not rise to one at once, as all nodes receive the same reports at the same time.
const WEIGHT_GROWTH: f64 = 1.6;
/// Without any reported attempts the weight rises by the same factor in this many intervals, as few may try the server.
const GROWTH_INTERVALS_WITHOUT_REPORTS: f64 = 10.0;
/// How many intervals a server stays an outlier at least: the first time, and at most after repeated relapses.
const MIN_EJECTION_INTERVALS: f64 = 2.0;
const MAX_EJECTION_INTERVALS: f64 = 32.0;
/// Relapses that are counted; by then the time has reached its maximum.
const MAX_RELAPSES: i32 = 8;
/// After this many intervals without being an outlier the relapses are forgotten.
const RELAPSE_MEMORY_INTERVALS: f64 = 120.0;
/// A server with a lower weight gets hardly any attempts, so that few nodes are left to report it.
const LOW_WEIGHT: f64 = 0.5;

/// The last report of another node about the server.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    from: NodeKey,
    received_ms: f64,
    counts: AttemptCounts,
    last_success_ms: f64,
}

/// A server and all that is known about it.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// This node's own attempts.
    pub own: AttemptStats,
    reports: Vec<PeerReport>,
    /// The fraction of its ordinary share of requests that the server should get.
    pub weight: f64,
    pub failure_kind: FailureKind,
    /// How many nodes report it as failing.
    pub failing_reporters: usize,
    /// Whether more of all reported attempts succeeded than failed.
    is_succeeding: bool,
    /// Whether any attempts are reported.
    has_attempts: bool,
    weight_raised_ms: f64,
    /// When the first node began to report it as failing. A success before then is no evidence against the reports.
    first_failing_ms: f64,
    /// When its status last changed: reported as failing, an outlier, or neither.
    pub status_since_ms: f64,
    /// Until when it is an outlier at least.
    ejected_until_ms: f64,
    /// How often it became an outlier recently.
    relapses: i32,
    last_outlier_ms: f64,
}

/// What is the same for all servers at one evaluation.
#[derive(Clone, Copy, Debug)]
pub struct Evaluation {
    pub now_ms: f64,
    pub settings: Settings,
    /// How many nodes have to report a server as failing.
    pub min_reporters: usize,
    /// Whether this node's own attempts count.
    pub own_attempts_count: bool,
}

/// The evidence of all reporters about one server.
#[derive(Default)]
struct Evidence {
    succeeded: f64,
    failed: f64,
    failing_reporters: usize,
    failures: FailureCounts,
}

impl Evidence {
    /// Adds the attempts of one reporter. Successes before `first_failing_ms` do not count.
    fn add(&mut self, counts: AttemptCounts, last_success_ms: f64, first_failing_ms: f64) {
        if counts.failed >= counts.succeeded && counts.failed >= MIN_ATTEMPTS {
            self.failing_reporters += 1;
        }
        let succeeded = if last_success_ms >= first_failing_ms {
            counts.succeeded
        } else {
            0.0
        };
        let total = succeeded + counts.failed;
        if total < MIN_ATTEMPTS {
            return;
        }
        let scale = (MAX_ATTEMPTS_PER_REPORTER / total).min(1.0);
        self.succeeded += succeeded * scale;
        self.failed += counts.failed * scale;
        self.failures
            .add(counts.failure_kind, counts.failed * scale);
    }

    fn total(&self) -> f64 {
        self.succeeded + self.failed
    }
}

/// What is the same for all servers at one update of the weights.
#[derive(Clone, Copy, Debug)]
pub struct WeightContext {
    pub now_ms: f64,
    pub interval_ms: f64,
    /// The weight of an outlier.
    pub outlier_weight: f64,
    pub trigger: Trigger,
}

/// Why weights are updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// An interval ended. Weights may rise only then.
    IntervalEnd,
    /// A report or a failure arrived within an interval.
    NewEvidence,
}

/// What an update of the weight did.
pub struct WeightUpdate {
    pub is_changed: bool,
    /// Whether the server became an outlier.
    pub is_ejection: bool,
}

/// What decides on a server's weight at one evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server is an outlier.
    Outlier,
    /// It is not.
    Ordinary,
    /// Too many servers would be outliers: none is taken for one.
    Panic,
}

impl ServerState {
    pub fn new(now_ms: f64) -> Self {
        Self {
            own: AttemptStats::default(),
            reports: Vec::new(),
            weight: 1.0,
            failure_kind: FailureKind::ErrorResponse,
            failing_reporters: 0,
            is_succeeding: true,
            has_attempts: false,
            weight_raised_ms: now_ms,
            first_failing_ms: f64::NEG_INFINITY,
            status_since_ms: now_ms,
            ejected_until_ms: f64::NEG_INFINITY,
            relapses: 0,
            last_outlier_ms: now_ms,
        }
    }

    /// Stores a node's report; it replaces the previous one of the same node.
    pub fn accept_report(&mut self, now_ms: f64, from: NodeKey, entry: &ReportEntry) {
        let report = PeerReport {
            from,
            received_ms: now_ms,
            counts: AttemptCounts {
                succeeded: f64::from(entry.succeeded_quarters) / 4.0,
                failed: f64::from(entry.failed_quarters) / 4.0,
                failure_kind: entry.failure_kind,
            },
            last_success_ms: now_ms - f64::from(entry.success_age_tenths) * 100.0,
        };
        if let Some(previous) = self.reports.iter_mut().find(|held| held.from == from) {
            *previous = report;
            return;
        }
        if self.reports.len() >= MAX_REPORTERS {
            self.forget_oldest_report();
        }
        self.reports.push(report);
    }

    fn forget_oldest_report(&mut self) {
        let oldest = (0..self.reports.len()).min_by(|a, b| {
            let (a, b) = (&self.reports[*a], &self.reports[*b]);
            a.received_ms.total_cmp(&b.received_ms)
        });
        if let Some(oldest) = oldest {
            self.reports.swap_remove(oldest);
        }
    }

    /// Whether its weight is reduced, or any node reports it as failing.
    pub fn is_reported(&self) -> bool {
        self.weight < 1.0 || self.failing_reporters > 0
    }

    /// Whether successes at this server are worth a report: they are evidence against other reports.
    pub fn needs_successes(&self) -> bool {
        let is_failing = |report: &PeerReport| report.counts.failed >= report.counts.succeeded;
        self.weight < 1.0 || self.reports.iter().any(is_failing)
    }

    pub fn has_low_weight(&self) -> bool {
        self.weight < LOW_WEIGHT
    }

    /// Weighs all reports that still count. Returns whether they make the server an outlier.
    pub fn evaluate(&mut self, evaluation: &Evaluation) -> bool {
        let Evaluation {
            now_ms, settings, ..
        } = *evaluation;
        let lifetime_ms = REPORT_LIFETIME_INTERVALS * settings.interval_ms;
        self.reports
            .retain(|report| now_ms - report.received_ms < lifetime_ms);
        let was_failing = self.failing_reporters > 0;
        let has_full_weight = self.weight >= 1.0;
        let is_new = !was_failing && has_full_weight;
        let first_failing_ms = if is_new {
            now_ms
        } else {
            self.first_failing_ms
        };
        let evidence = self.evidence(evaluation, first_failing_ms);
        let is_failing = evidence.failing_reporters > 0;
        if is_failing != was_failing && has_full_weight {
            self.status_since_ms = now_ms;
        }
        if is_new && is_failing {
            self.first_failing_ms = now_ms;
        }
        self.failing_reporters = evidence.failing_reporters;
        self.failure_kind = evidence.failures.most_frequent();
        self.is_succeeding = evidence.succeeded > evidence.failed;
        self.has_attempts = evidence.total() >= MIN_ATTEMPTS;
        evidence.failing_reporters >= evaluation.min_reporters
            && evidence.failed >= settings.min_failed_fraction * evidence.total()
    }

    fn evidence(&self, evaluation: &Evaluation, first_failing_ms: f64) -> Evidence {
        let mut evidence = Evidence::default();
        let own = if evaluation.own_attempts_count {
            self.own
                .counts(evaluation.now_ms, evaluation.settings.half_life_ms)
        } else {
            AttemptCounts::NONE
        };
        if own.total() >= MIN_ATTEMPTS {
            evidence.add(own, self.own.last_success_ms(), first_failing_ms);
        }
        for report in &self.reports {
            evidence.add(report.counts, report.last_success_ms, first_failing_ms);
        }
        evidence
    }

    /// Applies a verdict to the weight.
    pub fn update_weight(&mut self, verdict: Verdict, context: &WeightContext) -> WeightUpdate {
        let WeightContext {
            now_ms,
            interval_ms,
            outlier_weight,
            trigger,
        } = *context;
        let before = self.weight;
        let mut is_ejection = false;
        match verdict {
            Verdict::Outlier => {
                is_ejection = self.weight > outlier_weight && self.ejected_until_ms <= now_ms;
                if is_ejection {
                    self.begin_ejection(now_ms, interval_ms);
                }
                self.weight = outlier_weight;
                self.last_outlier_ms = now_ms;
                self.weight_raised_ms = now_ms;
            }
            Verdict::Panic => self.weight = 1.0,
            Verdict::Ordinary => {
                if trigger == Trigger::IntervalEnd {
                    self.raise_weight(now_ms, interval_ms);
                }
            }
        }
        if now_ms - self.last_outlier_ms >= RELAPSE_MEMORY_INTERVALS * interval_ms {
            self.relapses = 0;
        }
        WeightUpdate {
            is_changed: self.weight != before,
            is_ejection,
        }
    }

    fn begin_ejection(&mut self, now_ms: f64, interval_ms: f64) {
        let intervals = MIN_EJECTION_INTERVALS * 2.0_f64.powi(self.relapses);
        self.ejected_until_ms = now_ms + interval_ms * intervals.min(MAX_EJECTION_INTERVALS);
        self.relapses = (self.relapses + 1).min(MAX_RELAPSES);
        self.status_since_ms = now_ms;
    }

    fn raise_weight(&mut self, now_ms: f64, interval_ms: f64) {
        if self.weight >= 1.0 || now_ms < self.ejected_until_ms {
            return;
        }
        let may_rise = if self.has_attempts {
            self.is_succeeding
        } else {
            now_ms - self.weight_raised_ms >= GROWTH_INTERVALS_WITHOUT_REPORTS * interval_ms
        };
        if may_rise {
            self.weight = (self.weight * WEIGHT_GROWTH).min(1.0);
            self.weight_raised_ms = now_ms;
        }
    }

    /// Whether there is nothing left to evaluate: full weight, no relapses, no reports, and no failures of its own.
    pub fn is_settled(&self, now_ms: f64, half_life_ms: f64) -> bool {
        let own = self.own.counts(now_ms, half_life_ms);
        self.weight >= 1.0
            && self.relapses == 0
            && self.reports.is_empty()
            && own.failed < MIN_ATTEMPTS
    }
}
