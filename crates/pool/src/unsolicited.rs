//! Servers that send bytes that no request asked for.
//!
//! Owns the decaying score of one server. Such bytes could be taken for the response to the next request,
//! so connections to a server with a score rest for a moment before they are reused.

/// How long a connection rests after a response of a server that has sent unsolicited bytes: those arrive
/// right behind a response. A longer cool-down costs more than it detects.
const COOL_DOWN_MS: f64 = 5.0;
/// Half-life of the score. After one event too little is left for a cool-down after two minutes; after
/// many, after five.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Score from which on connections rest.
const MIN_SCORE: f64 = 0.25;
/// Upper bound of the score.
const MAX_SCORE: f64 = 8.0;

/// How often a server has sent unsolicited bytes recently. A server that never has pays no cool-down.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UnsolicitedBytes {
    score: f64,
    updated_ms: f64,
}

impl UnsolicitedBytes {
    fn score(&self, now_ms: f64) -> f64 {
        self.score * (-(now_ms - self.updated_ms).max(0.0) / HALF_LIFE_MS).exp2()
    }

    /// Records that the server has sent unsolicited bytes.
    pub fn record(&mut self, now_ms: f64) {
        self.score = (self.score(now_ms) + 1.0).min(MAX_SCORE);
        self.updated_ms = now_ms;
    }

    /// Returns how long a connection rests after a response, in milliseconds.
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
