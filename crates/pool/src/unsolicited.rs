//! Cool-down of connections to servers that send unsolicited bytes: bytes that no request asked for.
//!
//! Owns the decaying score of one server. Such bytes could be taken for the response to the next request, so
//! connections to a server with a sufficient score are reused only after a short cool-down.

/// Time between a response and the next use of its connection, in milliseconds, for a server that has sent
/// unsolicited bytes: those arrive right after a response. The delay of a longer cool-down would outweigh the
/// additional bytes detected.
const COOL_DOWN_MS: f64 = 5.0;
/// Half-life of the score, in milliseconds. Cool-downs apply for two minutes after a single event, and
/// for five minutes after many.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Minimum score at which connections have a cool-down.
const MIN_SCORE: f64 = 0.25;
/// Upper bound of the score.
const MAX_SCORE: f64 = 8.0;

/// Decaying count of the events in which a server sent unsolicited bytes. Without events there is no
/// cool-down.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UnsolicitedByteScore {
    score: f64,
    updated_ms: f64,
}

impl UnsolicitedByteScore {
    fn score(&self, now_ms: f64) -> f64 {
        self.score * (-(now_ms - self.updated_ms).max(0.0) / HALF_LIFE_MS).exp2()
    }

    /// Records an event in which the server sent unsolicited bytes.
    pub fn record(&mut self, now_ms: f64) {
        self.score = (self.score(now_ms) + 1.0).min(MAX_SCORE);
        self.updated_ms = now_ms;
    }

    /// Returns the cool-down of a connection after a response, in milliseconds.
    #[must_use]
    pub fn cool_down_ms(&self, now_ms: f64) -> f64 {
        if self.score == 0.0 || self.score(now_ms) < MIN_SCORE {
            0.0
        } else {
            COOL_DOWN_MS
        }
    }
}

#[cfg(test)]
mod tests;
