//! Whether a node that is not heard here is gone: what its other observers say.

use std::collections::BTreeMap;

use crate::wire::MemberId;

/// A silence that is being looked into.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Who is asked, and since when.
    pub panel: Vec<(MemberId, f64)>,
    /// Who answered what when: whether they hear it.
    pub votes: BTreeMap<MemberId, (f64, bool)>,
    /// Who was asked and never answered.
    pub mute: Vec<MemberId>,
    /// Others that said when that they hear it.
    pub hearers: BTreeMap<MemberId, f64>,
    /// When anybody said so last.
    pub heard_ms: f64,
    pub next_ask_ms: f64,
    /// How long until it is asked again: longer where others hear it.
    pub pause_ms: f64,
}

/// How many are remembered that were not asked to judge: one would do, two decide.
const MOST_HEARERS: usize = 16;

/// How many hear it, and how many do not, this node among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    pub silent: usize,
    pub hear: usize,
}

impl Case {
    pub fn new(now: f64, pause_ms: f64) -> Self {
        Self {
            panel: Vec::new(),
            votes: BTreeMap::new(),
            mute: Vec::new(),
            hearers: BTreeMap::new(),
            heard_ms: f64::NEG_INFINITY,
            next_ask_ms: now,
            pause_ms,
        }
    }

    /// The votes that are no older than this.
    pub fn count(&self, now: f64, fresh_ms: f64) -> Count {
        let fresh = self.votes.values().filter(|(at, _)| now - at <= fresh_ms);
        let hear = fresh.clone().filter(|(_, hears)| *hears).count();
        let others = self
            .hearers
            .values()
            .filter(|at| now - **at <= fresh_ms)
            .count();
        Count {
            silent: 1 + fresh.count() - hear,
            hear: hear + others,
        }
    }

    /// Somebody answers. Who was not asked to judge is believed that it hears, and nothing else.
    pub fn vote(&mut self, now: f64, by: MemberId, hears: bool) {
        if hears {
            self.heard_ms = now;
        }
        if self.panel.iter().any(|(of, _)| *of == by) {
            self.votes.insert(by, (now, hears));
        } else if hears && (self.hearers.len() < MOST_HEARERS || self.hearers.contains_key(&by)) {
            self.hearers.insert(by, now);
        }
    }

    /// Forgets who heard it longer ago than this.
    pub fn forget(&mut self, now: f64, fresh_ms: f64) {
        self.hearers.retain(|_, at| now - *at <= fresh_ms);
    }
}

/// Whether a node is gone. `judges` is how many could judge, this node among them; `silence` and `suspect` are for how
/// long it has not been heard here and for how long it must not have been.
///
/// Two in three must not hear it, and no more than one in seven may: a node that is cut off from a few is none of their
/// business. Where many judges do not answer at all, as when most of a fleet dies at once, twice the silence and two
/// judges do, as long as nobody hears it; `silence` then has to count from when anybody did last. One judge alone never does: it cannot tell its own deafness from the other's
/// end.
pub fn is_gone(count: Count, judges: usize, silence: f64, suspect: f64) -> bool {
    let most = (2 * judges).div_ceil(3).max(2);
    let by_most = count.silent >= most && count.hear <= judges / 7;
    let by_few = count.silent >= 2 && count.hear == 0 && silence >= 2.0 * suspect;
    by_most || by_few
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_verdict_takes_two_in_three() {
        let gone = |silent, hear, judges| is_gone(Count { silent, hear }, judges, 3_000.0, 2_500.0);
        assert!(gone(5, 1, 7) && gone(7, 0, 7) && gone(2, 0, 2) && gone(3, 0, 4));
        assert!(!gone(5, 2, 7), "two of seven hear it");
        assert!(!gone(4, 0, 7), "three have not answered");
        assert!(!gone(3, 1, 4), "one of four hears it");
        assert!(
            !gone(1, 0, 1) && !is_gone(Count { silent: 1, hear: 0 }, 1, 1e9, 2_500.0),
            "never alone"
        );
        assert!(
            is_gone(Count { silent: 2, hear: 0 }, 7, 5_000.0, 2_500.0),
            "most do not answer at all"
        );
    }
}
