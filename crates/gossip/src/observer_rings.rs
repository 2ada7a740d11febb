//! Assignment of observers: each node is observed by its successor on each of several rings. Each
//! ring has the nodes in a different pseudo-random order, so that no small group of nodes observes
//! only itself (the expander graph of K rings from Rapid).

use stable_hash::mix;

use crate::member_id::MemberId;

#[cfg(test)]
mod tests;

/// Size of the largest cluster, in nodes, in which each node has as many distinct observers as there
/// are rings. In a small cluster one node is often the successor on several rings, and three
/// observers where six are configured are easily too few for a quorum. In a larger cluster this is
/// rare, and determining the subjects of all nodes would take time quadratic in their number.
const MAX_NODES_WITH_DISTINCT_OBSERVERS: usize = 512;

/// The position of a node on a ring.
fn position(MemberId(id): MemberId, ring: usize) -> u64 {
    mix(id ^ mix(ring as u64))
}

/// Rings over the nodes that are alive in one node's member table.
#[derive(Clone, Debug, Default)]
pub struct ObserverRings {
    /// The nodes of each ring, ordered by position. Positions are recomputed on each lookup:
    /// lookups are rare, and storing the positions would double the memory.
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

    /// The observers of `subject`, sorted: its successor on each ring, or in clusters of up to
    /// [`MAX_NODES_WITH_DISTINCT_OBSERVERS`] the first successor that is not an observer yet. The
    /// subject itself need not be on the rings.
    #[must_use]
    pub fn observers(&self, subject: MemberId) -> Vec<MemberId> {
        let mut observers = Vec::with_capacity(self.rings.len());
        for (ring, members) in self.rings.iter().enumerate() {
            let index = insertion_index(members, ring, subject);
            let is_eligible = |id: &MemberId| {
                *id != subject && !(self.has_distinct_observers && observers.contains(id))
            };
            let successor = members[index..]
                .iter()
                .chain(&members[..index])
                .copied()
                .find(is_eligible);
            observers.extend(successor);
        }
        sorted_and_distinct(observers)
    }

    /// The nodes that `observer` observes, sorted: the inverse of [`observers`](Self::observers).
    #[must_use]
    pub fn subjects(&self, observer: MemberId) -> Vec<MemberId> {
        let mut subjects = Vec::with_capacity(self.rings.len());
        if self.has_distinct_observers {
            let members = self.rings.first().into_iter().flatten().copied();
            subjects.extend(
                members.filter(|id| *id != observer && self.observers(*id).contains(&observer)),
            );
        } else {
            for (ring, members) in self.rings.iter().enumerate() {
                let index = insertion_index(members, ring, observer);
                let predecessor = members[..index]
                    .iter()
                    .rev()
                    .chain(members[index..].iter().rev())
                    .copied()
                    .find(|id| *id != observer);
                subjects.extend(predecessor);
            }
        }
        sorted_and_distinct(subjects)
    }
}

/// The index of a node on a ring, or the index at which it would be inserted.
fn insertion_index(members: &[MemberId], ring: usize, member: MemberId) -> usize {
    let target = (position(member, ring), member);
    members.partition_point(|id| (position(*id, ring), *id) < target)
}

fn sorted_and_distinct(mut ids: Vec<MemberId>) -> Vec<MemberId> {
    ids.sort_unstable();
    ids.dedup();
    ids
}
