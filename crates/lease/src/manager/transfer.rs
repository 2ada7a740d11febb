//! The transfer of a shard to another node without waiting for its lease to expire.
//!
//! The owner offers the shard, and a healthy node accepts. The owner then ends its lease, sends the
//! next owner the token, and releases its grants. The next owner claims the shard under the
//! following token, for which acceptors replace the old grant. A node that leaves skips the offer.

use crate::action::{Action, OwnershipChange};
use crate::event::NodeHealth;
use crate::identity::{NodeId, Shard, ShardToken};
use crate::manager::placement::preferred_owner;
use crate::manager::shard_state::{ShardState, Transfer, TransferOffer};
use crate::manager::{lease_fraction, LeaseManager};
use crate::message::Message;

/// Time for which an offer can be accepted, in milliseconds.
const OFFER_TIMEOUT_MS: f64 = 2_000.0;

impl LeaseManager {
    /// The state of a shard, if the shard exists and `to` is another node.
    fn transferable(&mut self, shard: Shard, to: NodeId) -> Option<&mut ShardState> {
        let is_other = to != self.settings.node;
        self.shards.get_mut(usize::from(shard)).filter(|_| is_other)
    }

    /// Offers a shard to a node, which has to accept it before the transfer: a node that receives
    /// no messages would leave the shard unowned.
    pub(super) fn offer_transfer(&mut self, shard: Shard, to: NodeId) {
        let now_ms = self.now_ms;
        let Some(state) = self.transferable(shard, to) else {
            return;
        };
        let Some(token) = state.lease.as_ref().map(|lease| lease.token) else {
            return;
        };
        state.offer = Some(TransferOffer {
            to,
            offered_ms: now_ms,
        });
        let ownership = ShardToken { shard, token };
        self.send(to, &Message::TransferOffer(ownership));
    }

    pub(super) fn on_transfer_offer(&mut self, from: NodeId, ownership: ShardToken) {
        if !self.is_leaving && self.health == NodeHealth::Healthy {
            self.send(from, &Message::TransferAccepted(ownership));
        }
    }

    pub(super) fn on_transfer_accepted(&mut self, from: NodeId, ownership: ShardToken) {
        let now_ms = self.now_ms;
        let Some(state) = self.shards.get_mut(usize::from(ownership.shard)) else {
            return;
        };
        let is_offered = state
            .offer
            .is_some_and(|offer| offer.to == from && now_ms - offer.offered_ms < OFFER_TIMEOUT_MS);
        let is_owned = state
            .lease
            .as_ref()
            .is_some_and(|lease| lease.token == ownership.token);
        if is_offered && is_owned {
            state.offer = None;
            self.transfer(ownership.shard, from);
        }
    }

    /// Ends this process's lease of a shard, and transfers the shard to another node.
    fn transfer(&mut self, shard: Shard, to: NodeId) {
        let now_ms = self.now_ms;
        let Some(state) = self.transferable(shard, to) else {
            return;
        };
        state.claim = None;
        let Some(lease) = state.lease.take() else {
            return;
        };
        let token = lease.token;
        state.set_other_owner(to);
        state.owner_since_ms = now_ms;
        state.transfer = Some(Transfer {
            to,
            token,
            started_ms: now_ms,
            sent_ms: now_ms,
        });
        self.metrics.relinquished += 1;
        self.actions.push(Action::OwnershipChanged {
            shard,
            token,
            change: OwnershipChange::Transferred(to),
        });
        self.send_transfer(to, ShardToken { shard, token });
    }

    fn send_transfer(&mut self, to: NodeId, ownership: ShardToken) {
        self.send(to, &Message::Transfer(ownership));
        self.release(ownership);
    }

    /// Repeats the messages of each transfer until a higher token of the shard is known, but for at
    /// most half a lease.
    pub(super) fn repeat_transfers(&mut self) {
        let now_ms = self.now_ms;
        let retry_ms = self.lease_fraction_ms(lease_fraction::RETRY);
        let timeout_ms = self.lease_fraction_ms(lease_fraction::LOW_REMAINING);
        let mut due = Vec::new();
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let Some(transfer) = state.transfer.as_mut() else {
                continue;
            };
            let is_claimed = state.highest_token > transfer.token;
            if is_claimed || now_ms - transfer.started_ms >= timeout_ms {
                state.transfer = None;
            } else if now_ms - transfer.sent_ms >= retry_ms {
                transfer.sent_ms = now_ms;
                due.push((shard as Shard, *transfer));
            }
        }
        for (shard, Transfer { to, token, .. }) in due {
            self.send_transfer(to, ShardToken { shard, token });
        }
    }

    /// Claims a shard that its owner has transferred to this node.
    pub(super) fn on_transfer(&mut self, ownership: ShardToken) {
        let now_ms = self.now_ms;
        let may_claim = !self.is_leaving && self.quorum.is_known();
        let Some(state) = self.shards.get_mut(usize::from(ownership.shard)) else {
            return;
        };
        if !may_claim || state.lease.is_some() || state.highest_token > ownership.token {
            return;
        }
        state.highest_token = ownership.token;
        state.begin_claim(now_ms, true);
        self.request_claims();
    }

    /// Transfers every owned shard to its preferred owner among the other candidates, or releases
    /// it if there are none.
    pub(super) fn leave(&mut self) {
        self.is_leaving = true;
        let node = self.settings.node;
        for shard in 0..self.settings.shards {
            let others = self.candidates.iter().copied();
            match preferred_owner(shard, others.filter(|other| *other != node)) {
                Some(next) => self.transfer(shard, next),
                None => self.release_lease(shard),
            }
        }
    }

    fn release_lease(&mut self, shard: Shard) {
        let state = &mut self.shards[usize::from(shard)];
        let Some(lease) = state.lease.take() else {
            return;
        };
        let token = lease.token;
        state.owner = None;
        state.owner_since_ms = self.now_ms;
        self.metrics.relinquished += 1;
        self.actions.push(Action::OwnershipChanged {
            shard,
            token,
            change: OwnershipChange::Released,
        });
        self.release(ShardToken { shard, token });
    }
}
