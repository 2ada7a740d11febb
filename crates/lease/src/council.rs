//! Which keepers decide: the set that the operators named last, and with it the one before until nobody can act by that alone.
//!
//! Majorities of two sets need not meet: of `a b c` and `a b d` those are `a c` and `b d`. So a node that goes by a new set
//! needs most of **both** at first. A keeper that goes by the new set grants nothing any more to who goes by the old one
//! alone; once most of the old set have done so for longer than any lease, nobody can act by it, and the new set decides
//! alone. That stays true for ever, so a node may take it from any other that knows it. What a node does not know it does not
//! assume: one that starts in the midst of a change owns nothing until it has been told how far the change is.

use crate::claims::{most_of, Quorum};
use crate::kinds::{Fence, NodeId, Planted, Settings};
use crate::wire::{Sets, Stand};

/// What a node knows of its set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decides {
    /// Whether sets earlier than the one before may still decide is not known.
    Unknown,
    /// Nobody acts by a set earlier than the one before.
    WithBefore,
    /// Nobody acts by an earlier set.
    Alone,
}

/// The keepers that a node asks, and how they decide.
#[derive(Clone, Debug)]
pub struct Council {
    /// All of them, in order. Their places in here are what claims go by.
    pub all: Vec<NodeId>,
    /// The sets, as nodes name them to each other.
    sets: Sets,
    now: u16,
    before: u16,
    decides: Decides,
    /// Since when this process goes by the set, in milliseconds.
    since_ms: f64,
    /// Those of the set before of which is known that they have sealed it.
    sealed: u16,
}

fn mask(all: &[NodeId], of: &[NodeId]) -> u16 {
    let at = |keeper: &NodeId| all.iter().position(|held| held == keeper);
    of.iter().filter_map(at).fold(0, |mask, at| mask | 1 << at)
}

impl Council {
    /// As the settings have it. `follows`: this process went by the set before until now, and that one decided alone.
    pub fn new(now: f64, settings: &Settings, follows: bool) -> Self {
        let mut all = [&settings.keepers[..], &settings.before].concat();
        all.sort_unstable();
        all.dedup();
        let decides = match (settings.before.is_empty(), follows) {
            (true, _) => Decides::Alone,
            _ if settings.planted == Planted::AloneAtOnce => Decides::Alone,
            (false, true) => Decides::WithBefore,
            (false, false) => Decides::Unknown,
        };
        Self {
            now: mask(&all, &settings.keepers),
            before: mask(&all, &settings.before),
            sets: Sets {
                now: settings.fingerprint(),
                before: settings.fingerprint_before(),
            },
            all,
            decides,
            since_ms: now,
            sealed: 0,
        }
    }

    /// Whose grants it takes to own something.
    pub fn quorum(&self) -> Quorum {
        match self.decides {
            Decides::Unknown => Quorum::Nobody,
            Decides::WithBefore => Quorum::Both(self.now, self.before),
            Decides::Alone => Quorum::Most(self.now),
        }
    }

    /// Whether the set decides alone.
    pub fn is_alone(&self) -> bool {
        self.decides == Decides::Alone
    }

    /// Whether this node may ask for anything.
    pub fn is_known(&self) -> bool {
        self.decides != Decides::Unknown
    }

    /// The sets that a question is asked under.
    pub fn sets(&self) -> Sets {
        Sets {
            before: if self.is_alone() { 0 } else { self.sets.before },
            ..self.sets
        }
    }

    /// Whether a keeper that goes by this set grants to who goes by those: by its own, or by the next together with it.
    pub fn serves(&self, by: Sets) -> bool {
        by.now == self.sets.now || (by.before != 0 && by.before == self.sets.now)
    }

    /// What this node can tell one that goes by those sets; none: nothing that helps it.
    pub fn stand(
        &self,
        now: f64,
        longest_ms: f64,
        me: NodeId,
        by: Sets,
        highest: Fence,
    ) -> Option<Stand> {
        let is_same = by.now == self.sets.now;
        let is_of_before = mask(&self.all, &[me]) & self.before != 0;
        let is_sealed = is_same
            && by.before == self.sets.before
            && is_of_before
            && now >= self.since_ms + longest_ms;
        let is_alone = is_same && self.is_alone();
        let is_next =
            (is_same && self.is_known()) || (by.before == self.sets.now && self.is_alone());
        (is_sealed || is_alone || is_next).then_some(Stand {
            set: by.now,
            is_sealed,
            is_alone,
            is_next,
            highest,
        })
    }

    /// What another node knows. Tells whether the set decides alone from here on.
    pub fn hear(&mut self, from: NodeId, stand: Stand) -> bool {
        if stand.set != self.sets.now || self.is_alone() {
            return false;
        }
        if stand.is_sealed {
            self.sealed |= mask(&self.all, &[from]) & self.before;
        }
        if stand.is_next && self.decides == Decides::Unknown {
            self.decides = Decides::WithBefore;
        }
        let sealed = self.sealed.count_ones() as usize >= most_of(self.before);
        if stand.is_alone || (sealed && self.decides == Decides::WithBefore) {
            self.decides = Decides::Alone;
        }
        self.is_alone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONGEST: f64 = 100.0;

    fn settings(set: u32, keepers: &[u64], before: &[u64]) -> Settings {
        let ids = |of: &[u64]| of.iter().copied().map(NodeId).collect::<Vec<_>>();
        Settings {
            set,
            before: ids(before),
            ..Settings::new(NodeId(1), 1, ids(keepers))
        }
    }

    fn stands(of: &Council, now: f64, me: u64, by: &Council) -> Option<Stand> {
        of.stand(now, LONGEST, NodeId(me), by.sets(), Fence(9))
    }

    #[test]
    fn a_set_decides_alone_once_most_of_the_one_before_have_sealed_it() {
        let old = Council::new(0.0, &settings(1, &[1, 2, 3], &[]), false);
        let next = settings(2, &[1, 2, 4], &[1, 2, 3]);
        let mut new = Council::new(50.0, &next, true);
        assert!(
            old.serves(new.sets()) && !new.serves(old.sets()),
            "the old one is sealed, the next is served"
        );
        assert_eq!(new.quorum(), Quorum::Both(0b1011, 0b0111));
        assert_eq!(
            stands(&new, 149.0, 2, &new).map(|stand| stand.is_sealed),
            Some(false),
            "a lease may last"
        );
        assert_eq!(
            stands(&new, 150.0, 4, &new).map(|stand| stand.is_sealed),
            Some(false),
            "not of the old set"
        );
        // One whose file names others before is not told that those are sealed.
        let other = Council::new(0.0, &settings(2, &[1, 2, 4], &[1, 2, 5]), true);
        assert_eq!(
            stands(&new, 150.0, 2, &other).map(|stand| stand.is_sealed),
            Some(false)
        );
        let sealed = stands(&new, 150.0, 2, &new).expect("it knows");
        assert!(
            !new.hear(NodeId(2), sealed)
                && !new.hear(NodeId(2), sealed)
                && !new.hear(NodeId(4), sealed)
        );
        assert!(new.hear(NodeId(3), sealed) && new.quorum() == Quorum::Most(0b1011));
    }

    /// Guards against a node that starts between two changes and takes the first of them for done.
    #[test]
    fn one_that_starts_in_the_midst_assumes_nothing() {
        let first = Council::new(0.0, &settings(1, &[1, 2, 3], &[]), false);
        let unsure = Council::new(0.0, &settings(2, &[1, 2, 4], &[1, 2, 3]), false);
        let mut second = Council::new(0.0, &settings(3, &[1, 4, 5], &[1, 2, 4]), false);
        assert_eq!(second.quorum(), Quorum::Nobody);
        assert_eq!(
            stands(&unsure, 10.0, 1, &second),
            None,
            "it does not know either"
        );
        assert_eq!(
            stands(&first, 10.0, 1, &second),
            None,
            "that is not the set before"
        );
        // Those that have sealed the set before say nothing of earlier ones.
        let sealed = Stand {
            is_next: false,
            ..stands(&second, 200.0, 1, &second).expect("sealed")
        };
        [1, 2, 4]
            .into_iter()
            .for_each(|from| assert!(!second.hear(NodeId(from), sealed)));
        assert_eq!(second.quorum(), Quorum::Nobody);
        let mut sure = unsure.clone();
        assert!(sure.hear(
            NodeId(7),
            Stand {
                set: sure.sets().now,
                is_alone: true,
                ..sealed
            }
        ));
        let next = stands(&sure, 300.0, 1, &second).expect("it knows");
        assert!(second.hear(NodeId(1), next), "all have sealed it");
    }
}
