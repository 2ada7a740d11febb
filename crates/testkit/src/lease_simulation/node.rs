//! A simulated node: its lease manager, and the effects that it has while it holds a permit.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use lease::{
    Action, Event, FencingToken, LeaseManager, NodeHealth, NodeId, OwnershipChange, Shard,
};
use simulation::{Clock, Outbox, Process};

use super::checker::{EffectViolation, Register};

/// Maximum delay until a repeated effect arrives at the register, in milliseconds.
const MAX_EFFECT_DELAY_MS: f64 = 5_000.0;
/// On average, one in this many effects is repeated after a delay and published to the other nodes.
const EFFECTS_PER_DELAYED: u32 = 20;

/// The acquisition of a shard by a process.
pub(super) struct Acquisition {
    pub shard: Shard,
    pub token: FencingToken,
    pub process_id: u64,
}

/// A repeated effect that has not arrived at the register yet.
pub(super) struct DelayedEffect {
    pub arrives_ms: f64,
    pub shard: Shard,
    pub token: FencingToken,
    pub process_id: u64,
}

/// The observed actions of all nodes.
#[derive(Default)]
pub(super) struct History {
    pub acquisitions: Vec<Acquisition>,
    pub register: Register,
    /// The token of the last published effect that each process accepted, by shard.
    accepted_tokens: BTreeMap<(u64, Shard), FencingToken>,
    /// Whether the nodes' effects are disabled.
    pub effects_disabled: bool,
    /// Number of published effects that nodes accepted.
    pub accepted_effects: u64,
    /// Repeated effects that have not arrived at the register yet.
    pub delayed: Vec<DelayedEffect>,
}

/// A simulated node with a lease manager.
pub struct Node {
    pub(super) leases: LeaseManager,
    pub(super) process_id: u64,
    pub(super) clock: Clock,
    pub(super) shards: Shard,
    pub(super) history: Rc<RefCell<History>>,
    pub(super) peers: Vec<NodeId>,
    /// Candidates that the lease manager has not received yet.
    pub(super) candidates: Option<Vec<NodeId>>,
    /// The node's fence file, which outlives the process.
    pub(super) fence_file: Rc<Cell<FencingToken>>,
    pub(super) rng: fastrand::Rng,
}

/// Checksum that stands in for the authentication of datagrams, so that corrupted ones are dropped.
fn checksum(bytes: &[u8]) -> [u8; 8] {
    bytes
        .iter()
        .fold(7, |sum: u64, byte| {
            (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        })
        .to_le_bytes()
}

impl Node {
    /// Handles an event.
    ///
    /// # Panics
    ///
    /// Panics if a message is too long or addressed to an unknown node.
    pub fn handle(&mut self, local_ms: f64, event: Event<'_>, outbox: &mut Outbox) {
        let mut actions = Vec::new();
        self.leases.handle(local_ms, event, &mut actions);
        for action in actions {
            self.execute(local_ms, action, outbox);
        }
        if !self.history.borrow().effects_disabled {
            self.act_on_owned_shards(local_ms, outbox);
        }
    }

    fn execute(&mut self, local_ms: f64, action: Action, outbox: &mut Outbox) {
        match action {
            Action::Send { to, bytes } => self.send(to, &bytes, outbox),
            Action::WakeAt(at_ms) => outbox.wake_at(at_ms),
            Action::OwnershipChanged {
                shard,
                token,
                change: OwnershipChange::Acquired,
            } => self.history.borrow_mut().acquisitions.push(Acquisition {
                shard,
                token,
                process_id: self.process_id,
            }),
            Action::OwnershipChanged { .. } | Action::Log(_) => {}
            Action::ReserveTokens(token) => {
                self.fence_file.set(self.fence_file.get().max(token));
                self.handle(local_ms, Event::TokensReserved(token), outbox);
            }
            Action::Effect { shard, token, .. } => self.check_accepted_effect(shard, token),
        }
    }

    fn send(&self, to: NodeId, bytes: &[u8], outbox: &mut Outbox) {
        assert!(
            bytes.len() <= lease::MAX_MESSAGE_BYTES,
            "lease message has {} bytes, more than the maximum of {}",
            bytes.len(),
            lease::MAX_MESSAGE_BYTES
        );
        let mut datagram = self.process_id.to_le_bytes().to_vec();
        datagram.extend_from_slice(bytes);
        datagram.extend_from_slice(&checksum(&datagram));
        let to = self
            .peers
            .iter()
            .position(|id| *id == to)
            .expect("messages are addressed to simulated nodes");
        outbox.send(to, datagram);
    }

    fn check_accepted_effect(&self, shard: Shard, token: FencingToken) {
        let mut history = self.history.borrow_mut();
        history.accepted_effects += 1;
        let previous = history
            .accepted_tokens
            .insert((self.process_id, shard), token);
        if previous.is_some_and(|previous| previous > token) {
            history
                .register
                .violations
                .push(EffectViolation::StaleEffectAccepted { shard, token });
        }
    }

    /// Acts on each shard for which the node has a permit. Repeats some effects after a delay and
    /// publishes them.
    fn act_on_owned_shards(&mut self, local_ms: f64, outbox: &mut Outbox) {
        let simulation_ms = (local_ms - self.clock.offset_ms) / (1.0 + self.clock.drift);
        let mut published = Vec::new();
        for shard in 0..self.shards {
            let Some(permit) = self.leases.permit(local_ms, shard) else {
                continue;
            };
            let token = permit.token();
            let mut history = self.history.borrow_mut();
            history.register.apply(shard, token, self.process_id);
            let arrives_ms = simulation_ms + self.rng.f64() * MAX_EFFECT_DELAY_MS;
            if self.rng.u32(..EFFECTS_PER_DELAYED) == 0 {
                history.delayed.push(DelayedEffect {
                    arrives_ms,
                    shard,
                    token,
                    process_id: self.process_id,
                });
                published.push(shard);
            }
        }
        for shard in published {
            let payload = b"done";
            self.handle(local_ms, Event::PublishEffect { shard, payload }, outbox);
        }
    }
}

impl Process for Node {
    fn wake(&mut self, local_ms: f64, outbox: &mut Outbox) {
        match self.candidates.take() {
            Some(candidates) => {
                let event = Event::Candidates(&candidates, NodeHealth::Healthy);
                self.handle(local_ms, event, outbox);
            }
            None => self.handle(local_ms, Event::TimerExpired, outbox),
        }
    }

    fn receive(&mut self, local_ms: f64, from: usize, datagram: &[u8], outbox: &mut Outbox) {
        let Some((content, sum)) = datagram.split_last_chunk::<8>() else {
            return;
        };
        let Some((process_id, bytes)) = content.split_first_chunk::<8>() else {
            return;
        };
        if checksum(content) != *sum {
            return;
        }
        let event = Event::Message {
            from: self.peers[from],
            process_id: u64::from_le_bytes(*process_id),
            bytes,
        };
        self.handle(local_ms, event, outbox);
    }
}
