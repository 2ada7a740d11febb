//! The delay between a response and the next query.

/// Responses that may follow one another without a delay. Each response lists every instance, so a
/// service that changes incessantly, or an agent that does not block, must be limited.
const BURST: f64 = 5.0;
/// The longest delay after responses that come at once and change nothing.
const MAX_IDLE_DELAY_MS: f64 = 2_000.0;
/// The delay between queries to an agent that returns no index to wait on.
const POLL_INTERVAL_MS: f64 = 1_000.0;

/// What the last response was like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It came after a while or changed something; the next query blocks.
    Blocking,
    /// It came at once and changed nothing, or is stale.
    Idle,
    /// It had an index that went back: the next query does not block, so that it returns one to wait
    /// on.
    IndexReset,
    /// It had no index.
    NoIndex,
}

/// A token bucket of responses, with a growing delay for an agent that does not block.
#[derive(Debug)]
pub(super) struct RateLimit {
    /// The delay between responses beyond the burst, in milliseconds.
    interval_ms: f64,
    tokens: f64,
    refilled_at_ms: f64,
    idle_delay_ms: f64,
}

impl RateLimit {
    pub fn new(interval_ms: f64) -> Self {
        Self {
            interval_ms,
            tokens: BURST,
            refilled_at_ms: f64::NEG_INFINITY,
            idle_delay_ms: interval_ms,
        }
    }

    /// Counts a query.
    pub fn consume(&mut self) {
        self.tokens -= 1.0;
    }

    /// The delay before the next query, in milliseconds, after a response that came at `now_ms`.
    pub fn delay_ms(&mut self, now_ms: f64, outcome: Outcome) -> f64 {
        self.refill(now_ms);
        self.idle_delay_ms = if outcome == Outcome::Idle {
            (self.idle_delay_ms * 2.0).min(MAX_IDLE_DELAY_MS)
        } else {
            self.interval_ms
        };
        match outcome {
            Outcome::Idle => self.idle_delay_ms,
            Outcome::IndexReset => self.interval_ms,
            Outcome::NoIndex => POLL_INTERVAL_MS,
            Outcome::Blocking => ((1.0 - self.tokens) * self.interval_ms).max(0.0),
        }
    }

    fn refill(&mut self, now_ms: f64) {
        let refilled = (now_ms - self.refilled_at_ms) / self.interval_ms;
        self.tokens = (self.tokens + refilled.max(0.0)).min(BURST);
        self.refilled_at_ms = now_ms;
    }
}
