//! The placement of shards: rendezvous hashing over the nodes that are considered alive. It decides
//! which node claims a shard first and where shards are moved. Safety does not depend on it.

use stable_hash::mix;

use crate::event::NodeHealth;
use crate::identity::{NodeId, Shard};
use crate::manager::LeaseManager;

/// Time in milliseconds for which another node has to be preferred before it is offered the shard,
/// so that nodes that join and leave within a short time cause no transfers.
const STABLE_PREFERENCE_MS: f64 = 10_000.0;
/// Minimum interval between two offers of misplaced shards, in milliseconds.
const TRANSFER_INTERVAL_MS: f64 = 500.0;

/// The rendezvous hash: the node with the highest hash should own the shard.
fn rendezvous_hash(shard: Shard, node: NodeId) -> u64 {
    mix(node.0 ^ mix(u64::from(shard) + 1))
}

/// The preferred owner of a shard among these nodes.
pub(super) fn preferred_owner(shard: Shard, nodes: impl Iterator<Item = NodeId>) -> Option<NodeId> {
    nodes.max_by_key(|node| (rendezvous_hash(shard, *node), *node))
}

impl LeaseManager {
    pub(super) fn set_candidates(&mut self, candidates: &[NodeId], health: NodeHealth) {
        self.candidates = candidates.to_vec();
        self.health = health;
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let shard = shard as Shard;
            let priority = |node: NodeId| (rendezvous_hash(shard, node), node);
            let own_priority = priority(self.settings.node);
            let rank = candidates
                .iter()
                .filter(|node| priority(**node) > own_priority)
                .count();
            state.rank = Some(rank);
            let preferred = preferred_owner(shard, candidates.iter().copied());
            if state.preferred != preferred {
                state.preferred = preferred;
                state.preferred_since_ms = self.now_ms;
            }
        }
    }

    /// Offers one owned shard to its preferred owner, if that has been the same other node for
    /// [`STABLE_PREFERENCE_MS`].
    pub(super) fn transfer_misplaced_shard(&mut self) {
        if self.now_ms < self.next_transfer_ms {
            return;
        }
        if let Some((shard, to)) = self.misplaced_shard() {
            self.next_transfer_ms = self.now_ms + TRANSFER_INTERVAL_MS;
            self.offer_transfer(shard, to);
        }
    }

    fn misplaced_shard(&self) -> Option<(Shard, NodeId)> {
        self.shards.iter().enumerate().find_map(|(shard, state)| {
            let preferred = state
                .preferred
                .filter(|preferred| *preferred != self.settings.node)?;
            let is_stable = self.now_ms - state.preferred_since_ms >= STABLE_PREFERENCE_MS;
            (state.lease.is_some() && is_stable).then_some((shard as Shard, preferred))
        })
    }
}
