//! What a node's own attempts at one server came to, of late.

use crate::wire::Kind;

/// How much less what was before counts with each attempt: whoever takes a server out after its first failure has no second
/// one to set against all that went well.
const GAIN: f64 = 0.5;

/// Attempts that ended well and that failed, each counting for half as much after a half-life, and after the next one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    ok: f64,
    failed: [f64; Kind::ALL.len()],
    at_ms: f64,
    /// When the last ended well.
    ok_ms: f64,
}

impl Tally {
    fn fade(&mut self, now: f64, half_life_ms: f64) {
        let left = 0.5_f64.powf((now - self.at_ms).max(0.0) / half_life_ms);
        self.at_ms = now;
        self.ok *= left;
        self.failed.iter_mut().for_each(|failed| *failed *= left);
    }

    /// One more attempt ended.
    pub fn add(&mut self, now: f64, half_life_ms: f64, failed: Option<Kind>) {
        self.fade(now, half_life_ms);
        self.ok *= GAIN;
        self.failed.iter_mut().for_each(|failed| *failed *= GAIN);
        match failed {
            Some(kind) => self.failed[kind as usize] += 1.0,
            None => (self.ok, self.ok_ms) = (self.ok + 1.0, now),
        }
    }

    /// When the last ended well, if any counts.
    pub fn ok_ms(&self) -> f64 {
        self.ok_ms
    }

    /// How many ended well and failed, as of now, and how most of these did.
    pub fn at(mut self, now: f64, half_life_ms: f64) -> (f64, f64, Kind) {
        self.fade(now, half_life_ms);
        let most = Kind::ALL.into_iter().max_by(|a, b| {
            let of = |kind: Kind| self.failed[kind as usize];
            of(*a).total_cmp(&of(*b))
        });
        (
            self.ok,
            self.failed.iter().sum(),
            most.unwrap_or(Kind::Error),
        )
    }
}
