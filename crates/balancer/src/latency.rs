//! Running estimates of latency and concurrency, from the results of attempts.
//!
//! Holds no state of its own: the balancer keeps one estimate for each server, each machine kind and
//! all servers together. Every estimate fades with time, so that a server is not judged by a fault
//! that is long past.

/// Weight of one more sample in a running mean: about the last sixteen count.
pub(crate) const GAIN: f64 = 1.0 / 16.0;
/// Weight of one more sample in a mean that many servers or a whole class contribute to.
pub(crate) const SHARED_GAIN: f64 = GAIN / 4.0;
/// Samples after which a mean is trusted on its own.
pub(crate) const CONFIDENT_SAMPLES: f64 = 1.0 / GAIN;
/// Samples that the estimate of a server's kind weighs as much as, beside the server's own.
pub(crate) const PRIOR_SAMPLES: f64 = 4.0;
/// Half-life of samples, in mean latency objectives: what is not confirmed is forgotten.
pub(crate) const HALF_LIFE_OBJECTIVES: f64 = 6.0;

/// A running mean and mean absolute deviation.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMean {
    pub mean: f64,
    pub deviation: f64,
    /// Samples that the mean rests on, at most the inverse of the gain.
    pub samples: f64,
}

impl RunningMean {
    #[inline]
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.samples = (self.samples + 1.0).min(1.0 / gain);
        self.deviation += ((sample - self.mean).abs() - self.deviation) / self.samples;
        self.mean += (sample - self.mean) / self.samples;
    }

    #[inline]
    pub fn is_confident(&self) -> bool {
        self.samples >= CONFIDENT_SAMPLES
    }
}

/// What a request is expected to meet.
#[derive(Clone, Copy)]
pub(crate) struct Expectation {
    /// Latency, in milliseconds of a class of average work.
    pub latency_ms: f64,
    /// Requests in flight there while the latency was measured.
    pub depth: f64,
}

impl Expectation {
    /// Requests that are served side by side for each millisecond of latency: a measure of capacity.
    #[inline]
    pub fn capacity(self) -> f64 {
        self.depth / self.latency_ms
    }
}

/// Latency, and how many requests were in flight meanwhile.
#[derive(Clone, Copy, Default)]
pub(crate) struct LatencyEstimate {
    pub latency: RunningMean,
    pub depth: RunningMean,
    pub updated_at_ms: f64,
}

impl LatencyEstimate {
    /// Samples that the estimate still weighs, by what has faded since the last one.
    #[inline]
    pub fn weight(&self, now_ms: f64, half_life_ms: f64) -> f64 {
        self.latency.samples * 0.5_f64.powf((now_ms - self.updated_at_ms) / half_life_ms)
    }

    #[inline]
    pub fn add(&mut self, now_ms: f64, half_life_ms: f64, sample: Expectation, gain: f64) {
        self.latency.samples = self.weight(now_ms, half_life_ms);
        self.depth.samples = self.latency.samples;
        self.latency.add(sample.latency_ms, gain);
        self.depth.add(sample.depth, gain);
        self.updated_at_ms = now_ms;
    }

    /// The estimate blended with what is known beyond it, which counts as [`PRIOR_SAMPLES`].
    #[inline]
    pub fn blend(&self, now_ms: f64, half_life_ms: f64, prior: Expectation) -> Expectation {
        let weight = self.weight(now_ms, half_life_ms);
        let mix = |own: f64, prior: f64| {
            (own * weight + prior * PRIOR_SAMPLES) / (weight + PRIOR_SAMPLES)
        };
        Expectation {
            latency_ms: mix(self.latency.mean, prior.latency_ms),
            depth: mix(self.depth.mean, prior.depth),
        }
    }
}

/// The estimates that do not belong to one server.
#[derive(Default)]
pub(crate) struct LatencyModel {
    /// Latency of each class, as a multiple of what was expected.
    pub by_class: Vec<RunningMean>,
    pub all: LatencyEstimate,
    pub by_kind: Vec<LatencyEstimate>,
}

/// One answer, or a time-out that tells of a server's load.
pub(crate) struct LatencySample {
    pub now_ms: f64,
    /// Half-life of what is learned of a server or a machine kind.
    pub half_life_ms: f64,
    /// Half-life of what is learned of all servers together.
    pub shared_half_life_ms: f64,
    pub class: usize,
    pub machine_kind: usize,
    pub elapsed_ms: f64,
    pub depth: f64,
    /// What was expected when the attempt was sent; zero if nothing was known.
    pub expected_ms: f64,
}

impl LatencyModel {
    /// Adds a sample to the estimates of its class, its server, its machine kind and all servers.
    #[inline]
    pub fn record(&mut self, sample: &LatencySample, server: &mut LatencyEstimate) {
        let LatencySample {
            now_ms,
            half_life_ms,
            shared_half_life_ms,
            elapsed_ms,
            depth,
            ..
        } = *sample;
        let class = &mut self.by_class[sample.class];
        let usual = class.mean;
        // A multiple of a mean that rests on a few answers may be far too large. It would stay for as
        // long as it takes to forget it, and all be rejected meanwhile.
        let known = self.all.weight(now_ms, shared_half_life_ms) >= CONFIDENT_SAMPLES;
        if sample.expected_ms > 0.0 && known {
            class.add(elapsed_ms / sample.expected_ms, SHARED_GAIN);
        }
        let measured = Expectation {
            latency_ms: elapsed_ms,
            depth,
        };
        self.all
            .add(now_ms, shared_half_life_ms, measured, SHARED_GAIN);
        let normalized = Expectation {
            latency_ms: elapsed_ms / usual,
            depth,
        };
        server.add(now_ms, half_life_ms, normalized, GAIN);
        if let Some(kind) = self.by_kind.get_mut(sample.machine_kind) {
            kind.add(now_ms, half_life_ms, normalized, SHARED_GAIN);
        }
    }
}

/// How long a class takes beside the others before answers show it, with the weight of a confident
/// mean: half of an answer's time is taken to be its own work, in proportion to the class's latency
/// objective, and half the queueing that all classes share. Without it a single first answer would
/// decide how long a class takes.
pub(crate) fn initial_class_share(relative_objective: f64) -> RunningMean {
    RunningMean {
        mean: f64::midpoint(1.0, relative_objective),
        deviation: 1.0,
        samples: CONFIDENT_SAMPLES,
    }
}
