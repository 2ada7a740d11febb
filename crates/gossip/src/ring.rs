//! Who listens to whom: each node is heard by the next node in each of some rings, in which all nodes stand in another
//! order, so that the same few nodes are never each other's only ears (Rapid's expander of K rings).

use stable_hash::mix;

use crate::wire::MemberId;

/// A node's place in a ring.
fn place(MemberId(id): MemberId, ring: usize) -> u64 {
    mix(id ^ mix(ring as u64))
}

/// Up to so many nodes each has as many observers as there are rings: with few nodes the same one is often next in several
/// rings, and three that listen where six should are soon too few to agree. With more it hardly happens, and to find out
/// would cost the square of their number.
const MOST_DISTINCT: usize = 512;

/// The rings of a fleet as one node sees it.
#[derive(Clone, Debug, Default)]
pub struct Rings {
    /// In each the nodes in the order of their places. These are worked out again where they are looked at: there are as
    /// many as nodes in each ring, and few looks.
    rings: Vec<Vec<MemberId>>,
    /// Whether who is an observer already is passed over.
    is_distinct: bool,
}

impl Rings {
    /// Of these nodes.
    #[must_use]
    pub fn new(members: &[MemberId], rings: usize) -> Self {
        let ring = |ring| {
            let mut places = members.to_vec();
            places.sort_by_cached_key(|id| (place(*id, ring), *id));
            places
        };
        Self {
            rings: (0..rings).map(ring).collect(),
            is_distinct: members.len() <= MOST_DISTINCT,
        }
    }

    /// Who listens to a node: the next in each ring, whether it is itself in the rings or not.
    #[must_use]
    pub fn observers(&self, of: MemberId) -> Vec<MemberId> {
        let mut found = Vec::with_capacity(self.rings.len());
        for (ring, places) in self.rings.iter().enumerate() {
            let at =
                places.partition_point(|held| (place(*held, ring), *held) < (place(of, ring), of));
            let after = places[at..].iter().chain(&places[..at]).copied();
            let fits = |id: &MemberId| *id != of && !(self.is_distinct && found.contains(id));
            found.extend(after.clone().find(fits));
        }
        found.sort_unstable();
        found.dedup();
        found
    }

    /// To whom a node listens: the one before in each ring.
    #[must_use]
    pub fn subjects(&self, of: MemberId) -> Vec<MemberId> {
        let mut found = Vec::with_capacity(self.rings.len());
        if self.is_distinct {
            let all = self.rings.first().into_iter().flatten().copied();
            found.extend(all.filter(|id| *id != of && self.observers(*id).contains(&of)));
        } else {
            for (ring, places) in self.rings.iter().enumerate() {
                let at = places
                    .partition_point(|held| (place(*held, ring), *held) < (place(of, ring), of));
                let before = places[..at].iter().rev().chain(places[at..].iter().rev());
                found.extend(before.copied().find(|id| *id != of));
            }
        }
        found.sort_unstable();
        found.dedup();
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_is_heard_and_who_listens_agree() {
        let members: Vec<_> = (0..600).map(|n| MemberId::of(&format!("n{n}"))).collect();
        for (count, least) in [(9, 6), (50, 6), (600, 5)] {
            let rings = Rings::new(&members[..count], 6);
            for id in &members[..count] {
                let observers = rings.observers(*id);
                assert!(
                    !observers.contains(id) && observers.len() >= least,
                    "{observers:?}"
                );
                assert!(observers
                    .iter()
                    .all(|observer| rings.subjects(*observer).contains(id)));
                let subjects = rings.subjects(*id);
                assert!(subjects
                    .iter()
                    .all(|subject| rings.observers(*subject).contains(id)));
            }
        }
        assert_eq!(Rings::new(&members[..1], 8).observers(members[0]), []);
    }
}
