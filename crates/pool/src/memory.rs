//! What is remembered of an address: when it failed, when it is tried again, and how long its connections stand idle.

/// An address that has failed is put behind the others for the first of these, doubled with each further failure, up
/// to the second.
const BACKOFF_MS: [f64; 2] = [1_000.0, 60_000.0];
/// Failures that are counted at the most: the wait is at its longest long before.
const MOST_FAILURES: u32 = 16;
/// Closes of one address within this time of one another are a burst (a restart), and tell nothing of idle time ...
const BURST_MS: f64 = 100.0;
/// ... from so many on.
const BURST: u32 = 3;
/// A connection closed younger than this was closed for another reason than standing idle.
const LEAST_IDLE_MS: f64 = 200.0;
/// A connection is retired after this part of the time that it may stand idle: it must not be closed under a request.
const IDLE_PART: f64 = 0.8;
/// What was learnt grows by this factor in each minute: a close may have had another reason.
const GROWTH: f64 = 1.1;

/// Failures of an address.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Memory {
    failures: u32,
    until: f64,
    /// Whether one attempt is testing it now.
    testing: bool,
}

/// How an address stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// Nothing is known against it.
    Sound,
    /// It has failed, and its time has passed: one attempt may test it.
    Due,
    /// It has failed of late.
    Failed,
}

impl Memory {
    pub(crate) fn standing(&self, now: f64) -> Standing {
        match self.failures {
            0 => Standing::Sound,
            _ if now >= self.until && !self.testing => Standing::Due,
            _ => Standing::Failed,
        }
    }

    /// It could not be reached, or connections to it break before a request is out.
    pub fn failed(&mut self, now: f64) {
        self.failures = (self.failures + 1).min(MOST_FAILURES);
        let wait = BACKOFF_MS[0] * f64::from(self.failures - 1).exp2();
        (self.until, self.testing) = (now + wait.min(BACKOFF_MS[1]), false);
    }

    /// It was reached.
    pub fn worked(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn tests(&mut self, testing: bool) {
        self.testing = testing;
    }

    /// Failures in a row.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// How long connections to an address may stand idle, learnt from the closes seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleMemory {
    most_ms: f64,
    learnt_ms: f64,
    learnt_at: f64,
    /// The latest closes: the first of them, how many, and what held before.
    burst: (f64, u32, f64),
}

impl IdleMemory {
    /// Nothing is learnt yet; a connection may stand idle for `most_ms`.
    #[must_use]
    pub fn new(most_ms: f64) -> Self {
        let most_ms = most_ms * IDLE_PART;
        Self {
            most_ms,
            learnt_ms: most_ms,
            learnt_at: 0.0,
            burst: (f64::NEG_INFINITY, 0, most_ms),
        }
    }

    /// How long a connection may stand idle.
    #[must_use]
    pub fn limit_ms(&self, now: f64) -> f64 {
        if self.learnt_ms >= self.most_ms {
            return self.most_ms;
        }
        let minutes = (now - self.learnt_at).max(0.0) / 60_000.0;
        (self.learnt_ms * GROWTH.powf(minutes)).min(self.most_ms)
    }

    /// The other side closed a connection that had stood idle for so long.
    pub fn closed(&mut self, now: f64, idle_ms: f64) {
        let (first, count, before) = self.burst;
        if now - first <= BURST_MS {
            self.burst.1 = count + 1;
            if count + 1 >= BURST {
                // What one of them was taken to teach is taken back.
                self.learnt_ms = before;
                return;
            }
        } else {
            self.burst = (now, 1, self.limit_ms(now));
        }
        if idle_ms >= LEAST_IDLE_MS {
            let learnt = (idle_ms * IDLE_PART).min(self.limit_ms(now));
            (self.learnt_ms, self.learnt_at) = (learnt, now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_address_that_fails_is_put_back_longer_each_time_and_tested_by_one() {
        let mut memory = Memory::default();
        assert_eq!(memory.standing(0.0), Standing::Sound);
        for (failure, wait) in [
            1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0, 32_000.0, 60_000.0, 60_000.0,
        ]
        .into_iter()
        .enumerate()
        {
            let now = failure as f64 * 1e6;
            memory.failed(now);
            assert_eq!(memory.standing(now + wait - 1.0), Standing::Failed);
            assert_eq!(memory.standing(now + wait), Standing::Due);
            memory.tests(true);
            assert_eq!(
                memory.standing(now + wait),
                Standing::Failed,
                "one is testing it"
            );
        }
        memory.worked();
        assert_eq!(memory.standing(0.0), Standing::Sound);
    }

    #[test]
    fn idle_time_is_learnt_from_single_closes_and_not_from_a_burst() {
        let mut idle = IdleMemory::new(60_000.0);
        let close =
            |limit: f64, want: f64| assert!((limit - want).abs() < 1e-6, "{limit} for {want}");
        close(idle.limit_ms(0.0), 48_000.0);
        idle.closed(1_000.0, 10_000.0);
        close(idle.limit_ms(1_000.0), 8_000.0);
        for _ in 0..50 {
            idle.closed(20_000.0, 300.0);
        }
        assert!(
            idle.limit_ms(20_000.0) >= 8_000.0,
            "a restart teaches nothing"
        );
        idle.closed(30_000.0, 5.0);
        assert!(
            idle.limit_ms(30_000.0) >= 8_000.0,
            "nor does a close right behind an answer"
        );
        close(idle.limit_ms(1e9), 48_000.0);
    }
}
