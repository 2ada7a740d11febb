//! The delay between a response and the next query.

/// Number of responses that may follow one another without a delay. Each response lists every
/// instance, so the rate must be limited for a service that changes constantly and for an agent
/// that does not block.
const BURST: f64 = 5.0;
/// Maximum delay after responses without progress, in milliseconds.
const MAX_NO_PROGRESS_DELAY_MS: f64 = 2_000.0;
/// Delay between queries to an agent that returns no index to block on, in milliseconds.
const POLL_INTERVAL_MS: f64 = 1_000.0;

/// The kind of the last response, which determines the delay before the next query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseKind {
    /// It changed something or came after blocking; the next query blocks.
    Blocking,
    /// It came immediately and changed nothing, or is stale.
    NoProgress,
    /// It had an index that decreased. The next query does not block, so that it returns an index
    /// to block on.
    IndexReset,
    /// It had no index.
    NoIndex,
}

/// Token bucket for responses, with an increasing delay for an agent that does not block.
#[derive(Debug)]
pub(super) struct RateLimit {
    /// Refill interval: the delay between responses beyond the burst, in milliseconds.
    interval_ms: f64,
    tokens: f64,
    refilled_at_ms: f64,
    /// Delay after the last response without progress, in milliseconds; it doubles with each
    /// further one.
    no_progress_delay_ms: f64,
}

impl RateLimit {
    pub fn new(interval_ms: f64) -> Self {
        Self {
            interval_ms,
            tokens: BURST,
            refilled_at_ms: f64::NEG_INFINITY,
            no_progress_delay_ms: interval_ms,
        }
    }

    /// Takes the token of a query.
    pub fn consume(&mut self) {
        self.tokens -= 1.0;
    }

    /// The delay before the next query, in milliseconds, after a response completed at `now_ms`.
    pub fn delay_ms(&mut self, now_ms: f64, response_kind: ResponseKind) -> f64 {
        self.refill(now_ms);
        self.no_progress_delay_ms = if response_kind == ResponseKind::NoProgress {
            (self.no_progress_delay_ms * 2.0).min(MAX_NO_PROGRESS_DELAY_MS)
        } else {
            self.interval_ms
        };
        match response_kind {
            ResponseKind::NoProgress => self.no_progress_delay_ms,
            ResponseKind::IndexReset => self.interval_ms,
            ResponseKind::NoIndex => POLL_INTERVAL_MS,
            ResponseKind::Blocking => ((1.0 - self.tokens) * self.interval_ms).max(0.0),
        }
    }

    fn refill(&mut self, now_ms: f64) {
        let refilled = (now_ms - self.refilled_at_ms) / self.interval_ms;
        self.tokens = (self.tokens + refilled.max(0.0)).min(BURST);
        self.refilled_at_ms = now_ms;
    }
}
