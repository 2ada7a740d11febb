//! By when a peer must have gone on.

/// The least pace of a body from a client, in bytes a millisecond: three quarters of what the slowest clients have.
const SENDING_BYTES_PER_MS: f64 = 48.0;
/// Time given ahead of it, for clients that begin late.
const SENDING_GIVEN_MS: f64 = 1_500.0;
/// The least pace of a long body between two peers that each may be slow: an eighth of what the slowest clients have. The
/// longest that is passed on is through within two hours, whatever a peer does.
const PASSING_BYTES_PER_MS: f64 = 8.0;
/// Time given ahead of it: a peer may stop for some seconds.
const PASSING_GIVEN_MS: f64 = 5_000.0;
/// How long an answer that has begun may stand still at the least: several trips between data centres.
pub const LEAST_STALL_MS: f64 = 250.0;
/// And at the most: a server that has written nothing for so long has stopped, whatever time is left.
pub const MOST_STALL_MS: f64 = 1_500.0;
/// Of a request's time so much may be spent on an answer that stands still; the rest is for another attempt.
const STALL_PART: f64 = 1.0 / 3.0;

/// How long an answer may stand still before it is given up, where nothing of it has been passed on and the request has
/// `left_ms` of its time. Guards against answers that do not end, which would leave no time for another attempt, and
/// against giving up servers that only write slowly.
#[must_use]
pub fn answer_stall_ms(left_ms: f64) -> f64 {
    (left_ms * STALL_PART).clamp(LEAST_STALL_MS, MOST_STALL_MS)
}

/// The least pace of a body: so many bytes a millisecond on the whole, with some time given ahead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    due_ms: f64,
    bytes_per_ms: f64,
}

impl Pace {
    /// A body that begins now, with `given_ms` ahead of the pace.
    ///
    /// # Panics
    ///
    /// The pace is not above zero.
    #[must_use]
    pub fn begin(now_ms: f64, given_ms: f64, bytes_per_ms: f64) -> Self {
        assert!(bytes_per_ms > 0.0, "a pace is above zero");
        Self {
            due_ms: now_ms + given_ms,
            bytes_per_ms,
        }
    }

    /// Of a body that a client sends.
    #[must_use]
    pub fn of_sending(now_ms: f64) -> Self {
        Self::begin(now_ms, SENDING_GIVEN_MS, SENDING_BYTES_PER_MS)
    }

    /// Of a long body that a peer gives or takes.
    #[must_use]
    pub fn of_passing(now_ms: f64) -> Self {
        Self::begin(now_ms, PASSING_GIVEN_MS, PASSING_BYTES_PER_MS)
    }

    /// So many bytes have passed.
    pub fn moved(&mut self, bytes: usize) {
        self.due_ms += bytes as f64 / self.bytes_per_ms;
    }

    /// For so long it was not the peer that was waited for.
    pub fn held_up(&mut self, for_ms: f64) {
        self.due_ms += for_ms.max(0.0);
    }

    /// When more must have passed.
    #[must_use]
    pub fn due_ms(&self) -> f64 {
        self.due_ms
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn an_answer_that_stands_still_leaves_time_for_another_attempt() {
        assert_eq!(answer_stall_ms(300.0), LEAST_STALL_MS);
        assert_eq!(answer_stall_ms(1_500.0), 500.0);
        assert_eq!(answer_stall_ms(6_000.0), MOST_STALL_MS);
        assert_eq!(answer_stall_ms(f64::INFINITY), MOST_STALL_MS);
    }

    proptest! {
        /// Guards the promise: who keeps to the pace is never due, however the bytes come in pieces; who stops is.
        #[test]
        fn who_keeps_the_pace_is_waited_for(
            pieces in proptest::collection::vec(1..100_000_usize, 1..100),
            slower in 0.1..1.0_f64,
        ) {
            let (rate, given) = (64.0, 1_000.0);
            let mut pace = Pace::begin(0.0, given, rate);
            let mut now = 0.0;
            for bytes in &pieces {
                now += *bytes as f64 / rate;
                pace.moved(*bytes);
                prop_assert!((pace.due_ms() - now - given).abs() < 1e-3, "what is given is not used up");
            }
            // One that is slower for long enough is due.
            let mut slow = Pace::begin(0.0, given, rate);
            let (mut now, mut steps) = (0.0, 0);
            while now <= slow.due_ms() && steps < 1_000_000 {
                now += 100.0;
                slow.moved((100.0 * rate * slower * 0.9) as usize);
                steps += 1;
            }
            prop_assert!(steps < 1_000_000, "it is due in the end");
        }
    }
}
