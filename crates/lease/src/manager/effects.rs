//! Effects that owners publish to all nodes with their fencing tokens. A receiver drops an effect
//! if it has accepted one of a later owner of the shard.

use crate::action::Action;
use crate::identity::{NodeId, Shard, ShardToken};
use crate::manager::LeaseManager;
use crate::message::{Message, MAX_EFFECT_BYTES};

impl LeaseManager {
    /// Sends an effect to all candidates, if this process owns the shard and the payload fits into
    /// a message.
    pub(super) fn publish_effect(&mut self, shard: Shard, payload: &[u8]) {
        let token = self.permit(self.now_ms, shard).map(|permit| permit.token());
        let Some(token) = token.filter(|_| payload.len() <= MAX_EFFECT_BYTES) else {
            return;
        };
        let ownership = ShardToken { shard, token };
        self.accept_effect(self.settings.node, ownership, payload.to_vec());
        let message = Message::Effect {
            ownership,
            payload: payload.to_vec(),
        };
        let candidates = self.candidates.clone();
        self.broadcast(&candidates, &message);
    }

    pub(super) fn accept_effect(&mut self, from: NodeId, ownership: ShardToken, payload: Vec<u8>) {
        let ShardToken { shard, token } = ownership;
        let Some(state) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if token < state.effect_token {
            self.metrics.stale_effects += 1;
            return;
        }
        state.effect_token = token;
        state.observe_token(token);
        self.metrics.effects += 1;
        self.actions.push(Action::Effect {
            from,
            shard,
            token,
            payload,
        });
    }
}
