//! Running estimates of latency and concurrency, from the results of attempts.
//!
//! The balancer keeps one estimate for each server, one for each machine kind and one for all servers
//! together. Estimates decay with time, so that a server is not judged by a fault that is long past.

/// Weight of a new sample in a running mean, which thus covers about the last 16 samples.
pub(crate) const GAIN: f64 = 1.0 / 16.0;
/// Weight of a new sample in a running mean to which many servers or a whole class contribute.
pub(crate) const SHARED_GAIN: f64 = GAIN / 4.0;
/// Number of samples after which a running mean is used on its own.
pub(crate) const CONFIDENT_SAMPLES: f64 = 1.0 / GAIN;
/// Weight of a prior, in samples, when an estimate is blended with it.
pub(crate) const PRIOR_SAMPLES: f64 = 4.0;
/// Half-life of the weight of samples, in mean latency objectives.
pub(crate) const HALF_LIFE_OBJECTIVES: f64 = 6.0;

/// A running mean and mean absolute deviation.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMean {
    pub mean: f64,
    pub deviation: f64,
    /// Effective number of samples, at most the inverse of the gain.
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

/// A latency and the number of requests in flight at which it was measured or is expected.
#[derive(Clone, Copy)]
pub(crate) struct LatencyAtDepth {
    /// Latency in milliseconds, of a class with average work.
    pub latency_ms: f64,
    /// Requests in flight at the server while the latency was measured.
    pub depth: f64,
}

impl LatencyAtDepth {
    /// Concurrent requests per millisecond of latency, a measure of capacity.
    #[inline]
    pub fn capacity(self) -> f64 {
        self.depth / self.latency_ms
    }
}

/// Running means of the latency and of the requests in flight while it was measured.
#[derive(Clone, Copy, Default)]
pub(crate) struct LatencyEstimate {
    pub latency: RunningMean,
    pub depth: RunningMean,
    pub updated_at_ms: f64,
}

impl LatencyEstimate {
    /// Weight of the estimate in samples, after its decay since the last one.
    #[inline]
    pub fn weight(&self, now_ms: f64, half_life_ms: f64) -> f64 {
        self.latency.samples * 0.5_f64.powf((now_ms - self.updated_at_ms) / half_life_ms)
    }

    #[inline]
    pub fn add(&mut self, now_ms: f64, half_life_ms: f64, sample: LatencyAtDepth, gain: f64) {
        self.latency.samples = self.weight(now_ms, half_life_ms);
        self.depth.samples = self.latency.samples;
        self.latency.add(sample.latency_ms, gain);
        self.depth.add(sample.depth, gain);
        self.updated_at_ms = now_ms;
    }

    /// The estimate blended with a prior that has the weight of [`PRIOR_SAMPLES`].
    #[inline]
    pub fn blend(&self, now_ms: f64, half_life_ms: f64, prior: LatencyAtDepth) -> LatencyAtDepth {
        let weight = self.weight(now_ms, half_life_ms);
        let mix = |own: f64, prior: f64| {
            (own * weight + prior * PRIOR_SAMPLES) / (weight + PRIOR_SAMPLES)
        };
        LatencyAtDepth {
            latency_ms: mix(self.latency.mean, prior.latency_ms),
            depth: mix(self.depth.mean, prior.depth),
        }
    }
}

/// The estimates that are not specific to one server.
#[derive(Default)]
pub(crate) struct LatencyModel {
    /// Latency of each class, as a multiple of the expected latency.
    pub by_class: Vec<RunningMean>,
    pub all: LatencyEstimate,
    pub by_kind: Vec<LatencyEstimate>,
}

/// The latency of one answer, or of a time-out that indicates the server's load.
pub(crate) struct LatencySample {
    pub now_ms: f64,
    /// Half-life of the estimates of one server and of one machine kind, in milliseconds.
    pub half_life_ms: f64,
    /// Half-life of the estimate of all servers together, in milliseconds.
    pub shared_half_life_ms: f64,
    pub class: usize,
    pub machine_kind: usize,
    pub elapsed_ms: f64,
    pub depth: f64,
    /// Expected latency when the attempt was sent, in milliseconds; zero without any estimate.
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
        let class_multiple = class.mean;
        // A multiple of a mean of few answers may be far too large. It would persist until later
        // answers outweigh it, and all requests would be rejected in the meantime.
        let has_confident_mean = self.all.weight(now_ms, shared_half_life_ms) >= CONFIDENT_SAMPLES;
        if sample.expected_ms > 0.0 && has_confident_mean {
            class.add(elapsed_ms / sample.expected_ms, SHARED_GAIN);
        }
        let measured = LatencyAtDepth {
            latency_ms: elapsed_ms,
            depth,
        };
        self.all
            .add(now_ms, shared_half_life_ms, measured, SHARED_GAIN);
        let normalized = LatencyAtDepth {
            latency_ms: elapsed_ms / class_multiple,
            depth,
        };
        server.add(now_ms, half_life_ms, normalized, GAIN);
        if let Some(kind) = self.by_kind.get_mut(sample.machine_kind) {
            kind.add(now_ms, half_life_ms, normalized, SHARED_GAIN);
        }
    }
}

/// The initial latency multiple of a class, with the weight of a confident mean. Half of an answer's
/// time is assumed to be the class's own work, in proportion to its latency objective, and half the
/// queueing that all classes share. Without this prior the first answer alone would determine the
/// multiple.
pub(crate) fn initial_class_multiple(relative_objective: f64) -> RunningMean {
    RunningMean {
        mean: f64::midpoint(1.0, relative_objective),
        deviation: 1.0,
        samples: CONFIDENT_SAMPLES,
    }
}
