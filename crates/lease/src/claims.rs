//! Who owns: what a process was granted, and until when it may act on it.

use crate::kinds::Fence;

/// Keepers of the largest set, and of two that both decide while one follows the other.
pub const MOST_OF_A_SET: usize = 7;
pub const MOST_KEEPERS: usize = 2 * MOST_OF_A_SET;

/// Whose grants it takes, by their places among all keepers that a node asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quorum {
    /// Whatever was granted counts for nothing: an earlier set may still decide.
    Nobody,
    /// Most of this set.
    Most(u16),
    /// Most of each.
    Both(u16, u16),
}

fn is_in(set: u16, keeper: usize) -> bool {
    set & (1 << keeper) != 0
}

/// Of so many most are more than half.
pub fn most_of(set: u16) -> usize {
    set.count_ones() as usize / 2 + 1
}

/// A shard that a process has asked for under a fence.
#[derive(Clone, Debug)]
pub struct Claim {
    pub fence: Fence,
    /// Whether the owner before gave it up.
    pub given: bool,
    pub began_ms: f64,
    pub asked_ms: f64,
    /// When another keeper granted it last.
    pub answered_ms: f64,
    /// Until when each keeper's grant lasts by this node's clock.
    until_ms: [f64; MOST_KEEPERS],
    /// Which keepers said no.
    refused: [bool; MOST_KEEPERS],
}

impl Claim {
    pub fn new(now: f64, fence: Fence, given: bool) -> Self {
        Self {
            fence,
            given,
            began_ms: now,
            asked_ms: f64::NEG_INFINITY,
            answered_ms: f64::NEG_INFINITY,
            until_ms: [f64::NEG_INFINITY; MOST_KEEPERS],
            refused: [false; MOST_KEEPERS],
        }
    }

    /// A keeper grants it until a time.
    pub fn granted(&mut self, keeper: usize, until_ms: f64) {
        self.until_ms[keeper] = self.until_ms[keeper].max(until_ms);
        self.refused[keeper] = false;
    }

    /// A keeper does not. Tells whether those that are left are too few.
    pub fn refused(&mut self, keeper: usize, quorum: Quorum) -> bool {
        self.refused[keeper] = true;
        let is_lost = |set: u16| {
            let refused = (0..MOST_KEEPERS)
                .filter(|at| is_in(set, *at) && self.refused[*at])
                .count();
            set.count_ones() as usize - refused < most_of(set)
        };
        match quorum {
            Quorum::Nobody => true,
            Quorum::Most(set) => is_lost(set),
            Quorum::Both(one, other) => is_lost(one) || is_lost(other),
        }
    }

    /// Until when as many keepers grant it as it takes.
    pub fn until_ms(&self, quorum: Quorum) -> f64 {
        let most = |set: u16| {
            let mut until = [f64::NEG_INFINITY; MOST_KEEPERS];
            let granted = (0..MOST_KEEPERS)
                .filter(|at| is_in(set, *at))
                .map(|at| self.until_ms[at]);
            until
                .iter_mut()
                .zip(granted)
                .for_each(|(to, granted)| *to = granted);
            until.sort_unstable_by(|a, b| b.total_cmp(a));
            until[most_of(set) - 1]
        };
        match quorum {
            Quorum::Nobody => f64::NEG_INFINITY,
            Quorum::Most(set) => most(set),
            Quorum::Both(one, other) => most(one).min(most(other)),
        }
    }

    /// The same with keepers at other places: where each of the new places was before.
    pub fn moved(&self, was: &[Option<usize>]) -> Self {
        let mut moved = Self::new(self.began_ms, self.fence, self.given);
        moved.answered_ms = self.answered_ms;
        for (to, from) in was.iter().enumerate() {
            let Some(from) = *from else { continue };
            (moved.until_ms[to], moved.refused[to]) = (self.until_ms[from], self.refused[from]);
        }
        moved
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const THREE: Quorum = Quorum::Most(0b111);

    #[test]
    fn a_claim_lasts_as_long_as_a_majority_does() {
        let mut claim = Claim::new(0.0, Fence(1), false);
        claim.granted(0, 900.0);
        assert!(claim.until_ms(THREE) < 0.0, "one of three");
        claim.granted(2, 700.0);
        assert_eq!(claim.until_ms(THREE), 700.0);
        claim.granted(1, 800.0);
        assert_eq!(
            (claim.until_ms(THREE), claim.until_ms(Quorum::Most(0b11111))),
            (800.0, 700.0)
        );
        claim.granted(1, 100.0);
        assert_eq!(
            claim.until_ms(THREE),
            800.0,
            "an answer that comes late takes nothing back"
        );
        assert!(!claim.refused(0, THREE) && !claim.refused(0, THREE) && claim.refused(2, THREE));
    }

    /// Of `a b c` and `a b d` the majorities `a c` and `b d` do not meet, so while both decide it takes both.
    #[test]
    fn two_sets_that_both_decide_have_to_grant_both() {
        let both = Quorum::Both(0b0111, 0b1011);
        let mut claim = Claim::new(0.0, Fence(1), false);
        [(0, 900.0), (2, 800.0)]
            .into_iter()
            .for_each(|(keeper, until)| claim.granted(keeper, until));
        assert_eq!(
            (claim.until_ms(THREE), claim.until_ms(both)),
            (800.0, f64::NEG_INFINITY)
        );
        claim.granted(3, 700.0);
        assert_eq!(
            (claim.until_ms(both), claim.until_ms(Quorum::Nobody)),
            (700.0, f64::NEG_INFINITY)
        );
        assert!(!claim.refused(1, both) && claim.refused(2, both));
        let moved = claim.moved(&[Some(3), None, Some(0)]);
        assert_eq!(
            (moved.until_ms(THREE), moved.until_ms(Quorum::Most(0b101))),
            (700.0, 700.0)
        );
    }
}
