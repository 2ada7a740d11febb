//! Who observes whom: each node is observed by its successor on each of several rings, on which the nodes stand in
//! different pseudo-random orders, so that the same few nodes do not observe only each other (the expander graph of K
//! rings from Rapid).

use stable_hash::mix;

use crate::member_id::MemberId;

#[cfg(test)]
mod tests;

/// Up to this many nodes, each has as many distinct observers as there are rings. In a small cluster the same node is
/// often the successor on several rings, and three observers where six are configured are soon too few for a quorum. In a
/// larger one that hardly happens, and detecting it would take time quadratic in the number of nodes.
const MAX_NODES_WITH_DISTINCT_OBSERVERS: usize = 512;

/// A node's position on a ring.
fn position(MemberId(id): MemberId, ring: usize) -> u64 {
    mix(id ^ mix(ring as u64))
}

/// The rings over the nodes that one node believes to be alive.
#[derive(Clone, Debug, Default)]
pub struct ObserverRings {
    /// The nodes of each ring, by position. Positions are recomputed on each lookup: lookups are few, and storing them
    /// would double the memory.
    rings: Vec<Vec<MemberId>>,
    has_distinct_observers: bool,
}

impl ObserverRings {
    /// Builds `ring_count` rings over `members`.
    #[must_use]
    pub fn new(members: &[MemberId], ring_count: usize) -> Self {
        let ring = |ring| {
            let mut ordered = members.to_vec();
            ordered.sort_by_cached_key(|id| (position(*id, ring), *id));
            ordered
        };
        Self {
            rings: (0..ring_count).map(ring).collect(),
            has_distinct_observers: members.len() <= MAX_NODES_WITH_DISTINCT_OBSERVERS,
        }
    }

    /// The observers of a node, sorted: its successor on each ring. The node itself need not be on the rings.
    #[must_use]
    pub fn observers(&self, of: MemberId) -> Vec<MemberId> {
        let mut observers = Vec::with_capacity(self.rings.len());
        for (ring, members) in self.rings.iter().enumerate() {
            let at = insertion_index(members, ring, of);
            let is_eligible = |id: &MemberId| {
                *id != of && !(self.has_distinct_observers && observers.contains(id))
            };
            let successor = members[at..]
                .iter()
                .chain(&members[..at])
                .copied()
                .find(is_eligible);
            observers.extend(successor);
        }
        sorted_and_distinct(observers)
    }

    /// The nodes that a node observes, sorted: the inverse of [`observers`](Self::observers).
    #[must_use]
    pub fn subjects(&self, of: MemberId) -> Vec<MemberId> {
        let mut subjects = Vec::with_capacity(self.rings.len());
        if self.has_distinct_observers {
            let members = self.rings.first().into_iter().flatten().copied();
            subjects.extend(members.filter(|id| *id != of && self.observers(*id).contains(&of)));
        } else {
            for (ring, members) in self.rings.iter().enumerate() {
                let at = insertion_index(members, ring, of);
                let predecessor = members[..at]
                    .iter()
                    .rev()
                    .chain(members[at..].iter().rev())
                    .copied()
                    .find(|id| *id != of);
                subjects.extend(predecessor);
            }
        }
        sorted_and_distinct(subjects)
    }
}

/// The index on a ring at which a node stands or would stand.
fn insertion_index(members: &[MemberId], ring: usize, of: MemberId) -> usize {
    let target = (position(of, ring), of);
    members.partition_point(|id| (position(*id, ring), *id) < target)
}

fn sorted_and_distinct(mut ids: Vec<MemberId>) -> Vec<MemberId> {
    ids.sort_unstable();
    ids.dedup();
    ids
}
