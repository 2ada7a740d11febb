//! Admission control: sheds requests under overload, so that answers that would be late do not take
//! capacity from answers that would be in time.
//!
//! A request is admitted while its answer is expected within its class's latency objective. The lower
//! the value of the class per unit of work, the sooner its requests are shed.

use crate::balancer::Balancer;
use crate::latency::{RunningMean, GAIN};
use crate::request::PendingRequest;
use crate::server_list::ServerId;

/// Fraction of its latency objective that an answer may be expected to take. The rest is a margin for
/// uncertainty, because counts are estimates between reports.
const OBJECTIVE_FRACTION: f64 = 0.45;
/// Fraction of its latency objective that an answer may be expected to take where servers are polled
/// before each send, so that counts are fresh.
const POLLED_OBJECTIVE_FRACTION: f64 = 0.8;
/// Factor that scales the objective fraction of a class whose relative value density approaches zero; the
/// class with the highest density has a factor of 1.
const MIN_PRIORITY_FACTOR: f64 = 0.5;
/// Admitted fraction of a class's requests below which other classes' objectives no longer limit its wait.
const MIN_ADMITTED_FRACTION: f64 = 0.3;
/// Number of consecutive rejections after which a request is sent regardless of the estimates, if the run
/// also lasts [`MAX_REJECTION_RUN_MS`]: only an attempt can refute the estimates. The platform does not
/// tolerate a node that rejects 15 requests over 4 s without an attempt.
const MAX_CONSECUTIVE_REJECTIONS: usize = 12;
/// Duration of such a run of rejections, in milliseconds.
const MAX_REJECTION_RUN_MS: f64 = 3_000.0;

/// A run of consecutive rejections.
#[derive(Clone, Copy, Default)]
struct RejectionRun {
    count: usize,
    since_ms: f64,
}

/// Recent admission history.
#[derive(Default)]
pub(crate) struct Admission {
    /// Running fraction of each class's requests that were admitted.
    admitted_fraction: Vec<RunningMean>,
    rejections: RejectionRun,
}

impl Admission {
    pub fn new(classes: usize) -> Self {
        Self {
            admitted_fraction: vec![RunningMean::default(); classes],
            rejections: RejectionRun::default(),
        }
    }

    /// Whether every request has been rejected for so long that one must be sent to test the estimates.
    fn trial_is_due(&self, now_ms: f64) -> bool {
        let RejectionRun { count, since_ms } = self.rejections;
        count >= MAX_CONSECUTIVE_REJECTIONS && now_ms - since_ms >= MAX_REJECTION_RUN_MS
    }

    fn record(&mut self, class: usize, admitted: bool, now_ms: f64) {
        let run = self.rejections;
        self.rejections = RejectionRun {
            count: if admitted { 0 } else { run.count + 1 },
            since_ms: if admitted || run.count == 0 {
                now_ms
            } else {
                run.since_ms
            },
        };
        self.admitted_fraction[class].add(f64::from(u8::from(admitted)), GAIN);
    }
}

impl Balancer {
    /// Selects a server for a request's first attempt; `None` if the request is shed.
    pub(crate) fn select_first(&mut self, request: &mut PendingRequest) -> Option<ServerId> {
        let max_wait_ms = self.admissible_wait_ms(request);
        let mut server = self.select(request, max_wait_ms);
        if server.is_none() && self.admission.trial_is_due(self.now_ms) {
            server = self.select(request, f64::INFINITY);
        }
        self.admission
            .record(request.class, server.is_some(), self.now_ms);
        server
    }

    /// The longest expected wait at which a request is admitted, in milliseconds. Objectives are normalized
    /// to a class with average work, except where servers are polled.
    pub(crate) fn admissible_wait_ms(&self, request: &PendingRequest) -> f64 {
        if self.latency.all.latency.samples == 0.0 {
            return f64::INFINITY; // There is no estimate before the first answer.
        }
        let fraction = self.objective_fraction(request.class);
        let remaining_ms = request.deadline_ms - self.now_ms;
        if self.health_checks.enabled {
            let objective_ms = self.settings.classes[request.class].latency_objective_ms;
            let due_ms = request.accepted_at_ms + objective_ms;
            return (due_ms.min(request.deadline_ms) - self.now_ms) * fraction;
        }
        // The short objective of a class of higher value must not starve this class: an objective that
        // causes so many rejections may be out of reach anyway.
        let admitted = self.admission.admitted_fraction[request.class];
        if admitted.is_confident() && admitted.mean < MIN_ADMITTED_FRACTION {
            let own_ms = self.normalized_objective_ms(request.class);
            return own_ms.min(remaining_ms) * self.usable_capacity() * OBJECTIVE_FRACTION;
        }
        self.shortest_objective_ms(request.class, remaining_ms) * fraction
    }

    /// The shortest normalized objective among the class itself and classes of higher value density,
    /// at most `remaining_ms`. A class of low value with a long objective must not fill the queues in
    /// which classes of higher value would be late.
    fn shortest_objective_ms(&self, class: usize, remaining_ms: f64) -> f64 {
        let own = self.value_density(class);
        (0..self.latency.by_class.len())
            .filter(|other| *other == class || self.value_density(*other) > own)
            .map(|class| self.normalized_objective_ms(class))
            .fold(remaining_ms, f64::min)
    }

    /// Value of a class's requests per unit of work.
    fn value_density(&self, class: usize) -> f64 {
        self.settings.classes[class].priority_weight / self.latency.by_class[class].mean
    }

    /// A class's latency objective in milliseconds, normalized to a class with average work.
    fn normalized_objective_ms(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective_ms / self.latency.by_class[class].mean
    }

    /// Fraction of the objective that an answer of the class may be expected to take.
    fn objective_fraction(&self, class: usize) -> f64 {
        let classes = 0..self.latency.by_class.len();
        let best = classes
            .map(|class| self.value_density(class))
            .fold(0.0, f64::max);
        let priority = if best > 0.0 {
            self.value_density(class) / best
        } else {
            1.0
        };
        let fraction = if self.health_checks.enabled {
            POLLED_OBJECTIVE_FRACTION
        } else {
            OBJECTIVE_FRACTION
        };
        self.usable_capacity()
            * fraction
            * (MIN_PRIORITY_FACTOR + (1.0 - MIN_PRIORITY_FACTOR) * priority)
    }

    /// The fraction of the servers' capacity that admission relies on. Where reports are stale it excludes
    /// the capacity that warming servers lack, as stale reports would show growing queues too late.
    fn usable_capacity(&self) -> f64 {
        if self.traffic.has_recent_reports || self.health_checks.enabled {
            1.0
        } else {
            self.warm_capacity.fraction
        }
    }
}
