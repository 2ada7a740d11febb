//! Admission control: which requests are shed under overload, in which work that ends too late would
//! crowd out work in time.
//!
//! A request is admitted while its answer is expected within its class's latency objective; the less
//! its class is worth, the sooner it is shed.

use crate::balancer::Balancer;
use crate::latency::{RunningMean, GAIN};
use crate::request::PendingRequest;
use crate::server_list::ServerId;

/// Share of its latency objective that an answer may be expected to take. The rest allows for what is
/// not known: counts are guesses between reports.
const OBJECTIVE_SHARE: f64 = 0.45;
/// The same where the count is fresh, because servers are polled before each send.
const FRESH_OBJECTIVE_SHARE: f64 = 0.8;
/// The class of least worth gets this share of that.
const MIN_PRIORITY_SHARE: f64 = 0.5;
/// Share of a class's requests that is admitted below which the class goes by its own objective alone.
const MIN_ADMITTED_SHARE: f64 = 0.3;
/// Rejections in a row, and for how long, after which a request is sent all the same: the estimate
/// that rejects is refuted by an attempt alone. The platform does not tolerate a node that rejects
/// 15 requests over 4 s and tries none.
const MAX_CONSECUTIVE_REJECTIONS: usize = 12;
const MAX_REJECTING_MS: f64 = 3_000.0;

/// Requests shed in a row.
#[derive(Clone, Copy, Default)]
struct RejectionRun {
    count: usize,
    since_ms: f64,
}

/// What was admitted and shed of late.
#[derive(Default)]
pub(crate) struct Admission {
    /// Share of each class's requests that was sent.
    admitted_share: Vec<RunningMean>,
    rejections: RejectionRun,
}

impl Admission {
    pub fn new(classes: usize) -> Self {
        Self {
            admitted_share: vec![RunningMean::default(); classes],
            rejections: RejectionRun::default(),
        }
    }

    /// Whether the estimates have rejected everything for so long that they must be put to the test.
    fn must_probe(&self, now_ms: f64) -> bool {
        let RejectionRun { count, since_ms } = self.rejections;
        count >= MAX_CONSECUTIVE_REJECTIONS && now_ms - since_ms >= MAX_REJECTING_MS
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
        self.admitted_share[class].add(f64::from(u8::from(admitted)), GAIN);
    }
}

impl Balancer {
    /// Selects a server for a request's first attempt; `None` sheds it.
    pub(crate) fn select_first(&mut self, request: &mut PendingRequest) -> Option<ServerId> {
        let max_wait_ms = self.admissible_wait_ms(request);
        let mut server = self.select(request, max_wait_ms);
        if server.is_none() && self.admission.must_probe(self.now_ms) {
            server = self.select(request, f64::INFINITY);
        }
        self.admission
            .record(request.class, server.is_some(), self.now_ms);
        server
    }

    /// The wait up to which a request is admitted, in milliseconds of a class of average work.
    pub(crate) fn admissible_wait_ms(&self, request: &PendingRequest) -> f64 {
        if self.latency.all.latency.samples == 0.0 {
            return f64::INFINITY; // Without one answer there is nothing to reject by.
        }
        let share = self.objective_share(request.class);
        let remaining_ms = request.deadline_ms - self.now_ms;
        if self.health_checks.enabled {
            let objective_ms = self.settings.classes[request.class].latency_objective_ms;
            let due_ms = request.accepted_at_ms + objective_ms;
            return (due_ms.min(request.deadline_ms) - self.now_ms) * share;
        }
        // A class must not be starved by the near objective of a worthier one, to no gain of that.
        let admitted = self.admission.admitted_share[request.class];
        if admitted.is_confident() && admitted.mean < MIN_ADMITTED_SHARE {
            let own_ms = self.normalized_objective_ms(request.class);
            return own_ms.min(remaining_ms) * self.usable_capacity() * OBJECTIVE_SHARE;
        }
        self.nearest_objective_ms(request.class, remaining_ms) * share
    }

    /// The nearest objective among the class itself and worthier ones: a distant objective must not let
    /// low worth fill the queues in which worthier classes would be late.
    fn nearest_objective_ms(&self, class: usize, remaining_ms: f64) -> f64 {
        let own = self.value_density(class);
        (0..self.latency.by_class.len())
            .filter(|other| *other == class || self.value_density(*other) > own)
            .map(|class| self.normalized_objective_ms(class))
            .fold(remaining_ms, f64::min)
    }

    /// Value of a class's requests for each unit of work.
    fn value_density(&self, class: usize) -> f64 {
        self.settings.classes[class].priority_weight / self.latency.by_class[class].mean
    }

    /// A class's latency objective in milliseconds of a class of average work.
    fn normalized_objective_ms(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective_ms / self.latency.by_class[class].mean
    }

    /// Share of the objective that an answer may be expected to take.
    fn objective_share(&self, class: usize) -> f64 {
        let classes = 0..self.latency.by_class.len();
        let best = classes
            .map(|class| self.value_density(class))
            .fold(0.0, f64::max);
        let priority = if best > 0.0 {
            self.value_density(class) / best
        } else {
            1.0
        };
        let share = if self.health_checks.enabled {
            FRESH_OBJECTIVE_SHARE
        } else {
            OBJECTIVE_SHARE
        };
        self.usable_capacity()
            * share
            * (MIN_PRIORITY_SHARE + (1.0 - MIN_PRIORITY_SHARE) * priority)
    }

    /// The part of the servers' capacity to reckon with. What warms up cannot take its part of the work
    /// yet, and a node that hears of queues late must not let them grow meanwhile.
    fn usable_capacity(&self) -> f64 {
        if self.traffic.well_informed || self.health_checks.enabled {
            1.0
        } else {
            self.warm_capacity.fraction
        }
    }
}
