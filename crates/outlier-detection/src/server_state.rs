//! State of one server on this node: the evidence of all reporters, and the weight that follows from it.
//!
//! A server is an outlier while enough nodes report it as failing and a large enough fraction of all reported attempts
//! failed. Its weight is then reduced at once, and rises again step by step while more attempts succeed than fail.

use crate::attempt_stats::{AttemptCounts, AttemptStats};
use crate::detector::NodeKey;
use crate::report::{FailureCounts, FailureKind, ReportEntry};
use crate::settings::Settings;

/// Minimum decayed count of attempts that is used as evidence about a server.
pub const MIN_ATTEMPTS: f64 = 0.5;
/// Maximum number of reports kept about one server. By default far fewer make it an outlier, so the oldest can be
/// dropped.
const MAX_STORED_REPORTS: usize = 24;
/// Time after which a report expires unless it is repeated, in intervals.
const REPORT_LIFETIME_INTERVALS: f64 = 3.5;
/// Maximum number of attempts that one reporter contributes to the evidence, so that neither a busy node nor a lying
/// one decides alone.
const MAX_ATTEMPTS_PER_REPORTER: f64 = 4.0;
/// Factor by which the weight rises in an interval in which more of all reported attempts succeeded than failed. The
/// weight does not rise to 1 at once, because all nodes receive the same reports at the same time and would
/// return to the server together.
const WEIGHT_GROWTH: f64 = 1.6;
/// Time in which the weight rises by the same factor while no attempts are reported, in intervals: few nodes may be
/// trying the server.
const GROWTH_INTERVALS_WITHOUT_REPORTS: f64 = 10.0;
/// Minimum duration of the first ejection, in intervals. It doubles with each recent ejection.
const BASE_EJECTION_INTERVALS: f64 = 2.0;
/// Upper bound of the minimum duration of an ejection, in intervals.
const MAX_EJECTION_INTERVALS: f64 = 32.0;
/// Upper bound of the count of recent ejections. From a count of 4 the duration of an ejection no longer grows.
const MAX_COUNTED_EJECTIONS: i32 = 8;
/// Time without being an outlier after which earlier ejections no longer count, in intervals.
const EJECTION_MEMORY_INTERVALS: f64 = 120.0;
/// Weight below which a server counts towards a panic even if it is not an outlier: it gets so few attempts that too few
/// nodes may report it as failing for it to be one.
const LOW_WEIGHT: f64 = 0.5;

/// The last report of another node about the server.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    from: NodeKey,
    received_ms: f64,
    counts: AttemptCounts,
    last_success_ms: f64,
}

/// Evidence about a server, its weight, and its recent ejections.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Results of this node's own attempts.
    pub own_attempts: AttemptStats,
    reports: Vec<PeerReport>,
    /// The fraction of its ordinary share of requests that the server should get.
    pub weight: f64,
    pub failure_kind: FailureKind,
    /// Number of nodes that report it as failing, including this one.
    pub failing_reporters: usize,
    /// Whether more of all reported attempts succeeded than failed.
    is_succeeding: bool,
    /// Whether the reported attempts reach [`MIN_ATTEMPTS`].
    has_attempts: bool,
    weight_raised_ms: f64,
    /// Time at which the first node began to report it as failing. Earlier successes are not evidence against the
    /// reports.
    first_failing_ms: f64,
    /// Time at which its last ejection began, or at which nodes began or ceased to report it as failing while it had
    /// its full weight.
    pub status_since_ms: f64,
    /// Time before which its weight does not rise step by step. A panic sets the weight to 1 even earlier.
    ejected_until_ms: f64,
    /// Number of recent ejections, at most [`MAX_COUNTED_EJECTIONS`].
    recent_ejections: i32,
    last_outlier_ms: f64,
}

/// Parameters of one evaluation that are the same for all servers.
#[derive(Clone, Copy, Debug)]
pub struct Evaluation {
    pub now_ms: f64,
    pub settings: Settings,
    /// Number of nodes that have to report a server as failing before it is an outlier.
    pub min_reporters: usize,
    /// Whether this node's own attempts are part of the evidence.
    pub include_own_attempts: bool,
}

/// Combined evidence of all reporters about one server.
#[derive(Default)]
struct Evidence {
    succeeded: f64,
    failed: f64,
    failing_reporters: usize,
    failures: FailureCounts,
}

impl Evidence {
    /// Adds the attempts of one reporter, scaled down to at most [`MAX_ATTEMPTS_PER_REPORTER`]. Its successes do not
    /// count if the last of them was before `first_failing_ms`.
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

/// Parameters of one update of the weights that are the same for all servers.
#[derive(Clone, Copy, Debug)]
pub struct WeightContext {
    pub now_ms: f64,
    pub interval_ms: f64,
    /// The weight of an outlier.
    pub outlier_weight: f64,
    pub trigger: Trigger,
}

/// Reason for an update of the weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// An interval ended. Only this trigger raises the weights of recovering servers.
    IntervalEnd,
    /// Within an interval, a report of another node was accepted or an attempt of this node failed.
    NewEvidence,
}

/// Result of an update of a weight.
pub struct WeightUpdate {
    pub is_changed: bool,
    /// Whether the update began a new ejection.
    pub is_ejection: bool,
}

/// Result of an evaluation for one server, which determines its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server is an outlier.
    Outlier,
    /// The server is not an outlier.
    Ordinary,
    /// Too many servers would be outliers, so none is treated as one.
    Panic,
}

impl ServerState {
    pub fn new(now_ms: f64) -> Self {
        Self {
            own_attempts: AttemptStats::default(),
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
            recent_ejections: 0,
            last_outlier_ms: now_ms,
        }
    }

    /// Stores a node's report in place of its previous one.
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
        if let Some(previous) = self.reports.iter_mut().find(|stored| stored.from == from) {
            *previous = report;
            return;
        }
        if self.reports.len() >= MAX_STORED_REPORTS {
            self.remove_oldest_report();
        }
        self.reports.push(report);
    }

    fn remove_oldest_report(&mut self) {
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

    /// Whether successes at this server have to be reported: they are evidence of its recovery, or against the failures
    /// that other nodes report.
    pub fn needs_successes(&self) -> bool {
        let is_failing = |report: &PeerReport| report.counts.failed >= report.counts.succeeded;
        self.weight < 1.0 || self.reports.iter().any(is_failing)
    }

    pub fn has_low_weight(&self) -> bool {
        self.weight < LOW_WEIGHT
    }

    /// Evaluates this node's own attempts and all reports that have not expired. Returns whether they make the server
    /// an outlier.
    pub fn evaluate(&mut self, evaluation: &Evaluation) -> bool {
        let Evaluation {
            now_ms, settings, ..
        } = *evaluation;
        let lifetime_ms = REPORT_LIFETIME_INTERVALS * settings.interval_ms;
        self.reports
            .retain(|report| now_ms - report.received_ms < lifetime_ms);
        let was_failing = self.failing_reporters > 0;
        let has_full_weight = self.weight >= 1.0;
        let was_healthy = !was_failing && has_full_weight;
        let first_failing_ms = if was_healthy {
            now_ms
        } else {
            self.first_failing_ms
        };
        let evidence = self.evidence(evaluation, first_failing_ms);
        let is_failing = evidence.failing_reporters > 0;
        if is_failing != was_failing && has_full_weight {
            self.status_since_ms = now_ms;
        }
        if was_healthy && is_failing {
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
        let own_attempts = if evaluation.include_own_attempts {
            self.own_attempts
                .counts(evaluation.now_ms, evaluation.settings.half_life_ms)
        } else {
            AttemptCounts::NONE
        };
        if own_attempts.total() >= MIN_ATTEMPTS {
            evidence.add(
                own_attempts,
                self.own_attempts.last_success_ms(),
                first_failing_ms,
            );
        }
        for report in &self.reports {
            evidence.add(report.counts, report.last_success_ms, first_failing_ms);
        }
        evidence
    }

    /// Updates the weight according to a verdict.
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
        if now_ms - self.last_outlier_ms >= EJECTION_MEMORY_INTERVALS * interval_ms {
            self.recent_ejections = 0;
        }
        WeightUpdate {
            is_changed: self.weight != before,
            is_ejection,
        }
    }

    fn begin_ejection(&mut self, now_ms: f64, interval_ms: f64) {
        let intervals = BASE_EJECTION_INTERVALS * 2.0_f64.powi(self.recent_ejections);
        self.ejected_until_ms = now_ms + interval_ms * intervals.min(MAX_EJECTION_INTERVALS);
        self.recent_ejections = (self.recent_ejections + 1).min(MAX_COUNTED_EJECTIONS);
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

    /// Whether the server needs no further evaluation: it has full weight, no recent ejections, no reports, and no
    /// recent failures of this node's own attempts.
    pub fn is_settled(&self, now_ms: f64, half_life_ms: f64) -> bool {
        let own_attempts = self.own_attempts.counts(now_ms, half_life_ms);
        self.weight >= 1.0
            && self.recent_ejections == 0
            && self.reports.is_empty()
            && own_attempts.failed < MIN_ATTEMPTS
    }
}
