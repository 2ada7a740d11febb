//! The acquisition of shards: when a free shard is claimed, how its lease is requested from the
//! acceptors, and how their answers are handled.

use crate::action::{Action, OwnershipChange};
use crate::claim::Claim;
use crate::event::NodeHealth;
use crate::identity::{FencingToken, Shard, ShardToken};
use crate::manager::shard_state::ShardState;
use crate::manager::table_polling::POLL_INTERVAL_MS;
use crate::manager::{lease_fraction, LeaseManager};
use crate::message::{LeaseRequest, Message, ShardStatus, MAX_LEASE_REQUESTS};
use crate::settings::InjectedFault;

/// Time in milliseconds without a message from another acceptor after which a node claims no
/// shards. Its requests may still arrive (one-way partition) and would block nodes that could own
/// the shard.
const RECEIVE_TIMEOUT_MS: f64 = 4.0 * POLL_INTERVAL_MS;
/// Delay in milliseconds between the claims to a free shard by two consecutive candidates, in the
/// shard's order of preference.
const RANK_DELAY_MS: f64 = 200.0;
/// Number of candidates, the most preferred ones, that claim a free shard.
const MAX_CLAIMING_RANKS: usize = 5;
/// Additional delay of the claims of a node whose health is degraded, in milliseconds.
const DEGRADED_DELAY_MS: f64 = 1_000.0;

/// An acceptor's grant of a lease.
struct GrantedLease {
    acceptor: usize,
    ownership: ShardToken,
    requested_ms: f64,
    ttl_ms: f64,
}

impl ShardState {
    /// Ends a claim that no quorum has granted within the length of a first grant, and returns its
    /// token.
    ///
    /// An owner's claim under a new token is kept: acceptors that have granted it do not renew the
    /// lease under the old token.
    fn take_timed_out_claim(&mut self, now_ms: f64, first_grant_ms: f64) -> Option<FencingToken> {
        if self.lease.is_some() {
            return None;
        }
        self.claim
            .take_if(|claim| now_ms - claim.started_ms >= first_grant_ms)
            .map(|claim| claim.token)
    }

    /// Whether the shard is free, unclaimed by this process, and due to be claimed by this node.
    fn is_claimable(&self, now_ms: f64, health_delay_ms: f64) -> bool {
        let Some(free_ms) = self.free_since_ms else {
            return false;
        };
        let Some(rank) = self.rank.filter(|rank| *rank < MAX_CLAIMING_RANKS) else {
            return false;
        };
        let claim_due_ms = free_ms + health_delay_ms + rank as f64 * RANK_DELAY_MS;
        let is_idle = self.lease.is_none() && self.claim.is_none();
        is_idle && now_ms >= claim_due_ms && now_ms >= self.claim_after_ms
    }
}

impl LeaseManager {
    /// Begins claims to free shards that are due to be claimed by this node, and abandons claims
    /// that timed out.
    pub(super) fn update_claims(&mut self) {
        let now_ms = self.now_ms;
        let first_grant_ms = self.lease_fraction_ms(lease_fraction::FIRST_GRANT);
        let may_claim = self.may_claim();
        let health_delay_ms = match self.health {
            NodeHealth::Healthy => 0.0,
            NodeHealth::Degraded | NodeHealth::Isolated => DEGRADED_DELAY_MS,
        };
        let mut abandoned = Vec::new();
        for (shard, state) in self.shards.iter_mut().enumerate() {
            if let Some(token) = state.take_timed_out_claim(now_ms, first_grant_ms) {
                let shard = shard as Shard;
                abandoned.push(ShardToken { shard, token });
                state.claim_after_ms = now_ms + self.rng.f64() * first_grant_ms;
            } else if may_claim && state.is_claimable(now_ms, health_delay_ms) {
                state.begin_claim(now_ms, false);
            }
        }
        for ownership in abandoned {
            self.release(ownership);
        }
    }

    fn may_claim(&self) -> bool {
        let is_receiving = self.now_ms - self.last_acceptor_message_ms < RECEIVE_TIMEOUT_MS;
        is_receiving && self.health != NodeHealth::Isolated && self.quorum.is_known()
    }

    /// Requests the claims that were not requested yet, or not within the retry interval. A claim
    /// to an owned shard whose lease was confirmed recently is requested for the full length of a
    /// lease, as that blocks no other node.
    pub(super) fn request_claims(&mut self) {
        let now_ms = self.now_ms;
        let retry_ms = self.lease_fraction_ms(lease_fraction::RETRY);
        let low_remaining_ms = self.lease_fraction_ms(lease_fraction::LOW_REMAINING);
        let (mut short_requests, mut full_requests) = (Vec::new(), Vec::new());
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let is_due = |claim: &&mut Claim| now_ms - claim.requested_ms >= retry_ms;
            let Some(claim) = state.claim.as_mut().filter(is_due) else {
                continue;
            };
            claim.requested_ms = now_ms;
            let is_confirmed = state
                .lease
                .as_ref()
                .is_some_and(|lease| now_ms - lease.confirmed_ms < low_remaining_ms);
            let requests = if is_confirmed {
                &mut full_requests
            } else {
                &mut short_requests
            };
            requests.push(LeaseRequest {
                shard: shard as Shard,
                token: claim.token,
                is_transfer: claim.is_transfer,
            });
        }
        self.send_requests(
            self.lease_fraction_ms(lease_fraction::FIRST_GRANT),
            &short_requests,
        );
        self.send_requests(self.settings.lease_ms, &full_requests);
    }

    /// Requests leases from all acceptors, including this node if it is one.
    pub(super) fn send_requests(&mut self, ttl_ms: f64, requests: &[LeaseRequest]) {
        if requests.is_empty() {
            return;
        }
        for acceptor in 0..self.quorum.acceptors().len() {
            if self.quorum.acceptors()[acceptor] == self.settings.node {
                self.request_from_self(acceptor, ttl_ms, requests);
            } else {
                self.request_from_peer(acceptor, ttl_ms, requests);
            }
        }
    }

    fn request_from_self(&mut self, index: usize, ttl_ms: f64, requests: &[LeaseRequest]) {
        let requester = self.requester();
        for request in requests {
            let now_ms = self.now_ms;
            let Some(acceptor) = self
                .acceptor
                .as_mut()
                .filter(|acceptor| !acceptor.is_quarantined(now_ms))
            else {
                return;
            };
            if acceptor.request(now_ms, requester, *request, ttl_ms) {
                self.metrics.grants += 1;
                self.accept_grant(&GrantedLease {
                    acceptor: index,
                    ownership: ShardToken {
                        shard: request.shard,
                        token: request.token,
                    },
                    requested_ms: now_ms,
                    ttl_ms,
                });
            } else {
                let status = acceptor.status(now_ms, request.shard);
                self.on_rejected(index, status);
            }
        }
    }

    fn request_from_peer(&mut self, index: usize, ttl_ms: f64, requests: &[LeaseRequest]) {
        let to = self.quorum.acceptors()[index];
        for requests in requests.chunks(MAX_LEASE_REQUESTS) {
            let message = Message::LeaseRequest {
                configurations: self.quorum.ids(),
                request_id: self.pending_requests.insert(index, self.now_ms, ttl_ms),
                // Fits 16 bits: the longest lease is 10 s.
                ttl_ms: ttl_ms as u16,
                requests: requests.to_vec(),
            };
            self.send(to, &message);
        }
    }

    pub(super) fn on_granted(&mut self, acceptor: usize, request_id: u32, granted: &[ShardToken]) {
        let Some(request) = self.pending_requests.find(acceptor, request_id) else {
            return;
        };
        for ownership in granted {
            self.accept_grant(&GrantedLease {
                acceptor,
                ownership: *ownership,
                requested_ms: request.sent_ms,
                // The request was encoded in integral milliseconds.
                ttl_ms: request.ttl_ms.trunc(),
            });
        }
    }

    /// Extends the lease if the grant renews it, or records the grant for the claim, which becomes
    /// a lease once a quorum has granted it.
    fn accept_grant(&mut self, grant: &GrantedLease) {
        let now_ms = self.now_ms;
        let from_ms = if self.settings.injected_fault == InjectedFault::LeaseFromResponse {
            now_ms
        } else {
            grant.requested_ms
        };
        // This node's clock may be slower than the acceptor's, and count fewer milliseconds until
        // the grant expires.
        let expires_ms = from_ms + grant.ttl_ms / (1.0 + self.settings.drift);
        let ShardToken { shard, token } = grant.ownership;
        let Some(state) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let is_granted = |claim: &&mut Claim| claim.token == token;
        if let Some(lease) = state.lease.as_mut().filter(is_granted) {
            lease.record_grant(grant.acceptor, expires_ms);
            if self.quorum.acceptors()[grant.acceptor] != self.settings.node {
                lease.confirmed_ms = now_ms;
            }
            return;
        }
        let Some(claim) = state.claim.as_mut().filter(is_granted) else {
            return;
        };
        claim.record_grant(grant.acceptor, expires_ms);
        if claim.expires_ms(self.quorum.quorum()) > now_ms {
            claim.confirmed_ms = now_ms;
            self.acquire(shard, token);
        }
    }

    /// Turns the claim into a lease, as a quorum has granted it: this process owns the shard.
    fn acquire(&mut self, shard: Shard, token: FencingToken) {
        let now_ms = self.now_ms;
        let state = &mut self.shards[usize::from(shard)];
        if state.lease.is_none() {
            state.owner_since_ms = now_ms;
        }
        state.lease = state.claim.take();
        state.owner = Some(self.settings.node);
        state.free_since_ms = None;
        state.observe_token(token);
        state.preferred_since_ms = now_ms;
        self.metrics.acquired += 1;
        self.actions.push(Action::OwnershipChanged {
            shard,
            token,
            change: OwnershipChange::Acquired,
        });
    }

    pub(super) fn on_rejected(&mut self, acceptor: usize, status: ShardStatus) {
        let Some(state) = self.shards.get_mut(usize::from(status.shard)) else {
            return;
        };
        state.observe_token(status.highest_token);
        if state.claim.is_some() {
            self.on_claim_rejected(acceptor, status);
        } else {
            self.replace_lost_lease(status);
        }
    }

    /// Records the rejection, and abandons the claim if no quorum can grant it any more.
    fn on_claim_rejected(&mut self, acceptor: usize, status: ShardStatus) {
        let node = self.settings.node;
        let state = &mut self.shards[usize::from(status.shard)];
        let Some(claim) = &mut state.claim else {
            return;
        };
        // An acceptor that has granted the claim rejects renewals of the lease under the old token.
        // Such a rejection does not concern the claim.
        let is_granted = status.highest_token == claim.token && status.owner == Some(node);
        if is_granted || !claim.record_rejection(acceptor, self.quorum.quorum()) {
            return;
        }
        let token = claim.token;
        state.claim = None;
        // Nodes with competing claims, each with grants from some acceptors, retry at different
        // times. If the shard has an owner, the backoff ends no later than its lease.
        let backoff_ms = self.rng.f64() * self.settings.lease_ms * lease_fraction::FIRST_GRANT;
        let other_owner = status.owner.filter(|owner| *owner != node);
        let wait_ms = match other_owner {
            Some(_) => f64::from(status.remaining_ms).min(backoff_ms),
            None => backoff_ms / 4.0,
        };
        state.claim_after_ms = self.now_ms + wait_ms;
        if state.lease.is_some() {
            return;
        }
        if let Some(owner) = other_owner {
            state.set_other_owner(owner);
        }
        self.release(ShardToken {
            shard: status.shard,
            token,
        });
    }

    /// Claims an owned shard under a new token if an acceptor has lost the lease, for example in a
    /// restart: that acceptor does not grant the current token again.
    fn replace_lost_lease(&mut self, status: ShardStatus) {
        let now_ms = self.now_ms;
        let node = self.settings.node;
        let state = &mut self.shards[usize::from(status.shard)];
        let is_outdated = state
            .lease
            .as_ref()
            .is_some_and(|lease| status.highest_token >= lease.token);
        let has_other_owner = status.owner.is_some_and(|owner| owner != node);
        if is_outdated && !has_other_owner && now_ms >= state.claim_after_ms {
            state.begin_claim(now_ms, false);
            state.claim_after_ms = now_ms + self.settings.lease_ms;
        }
    }

    /// Notifies all acceptors that this process gives up an ownership or a claim.
    pub(super) fn release(&mut self, ownership: ShardToken) {
        let requester = self.requester();
        for index in 0..self.quorum.acceptors().len() {
            let to = self.quorum.acceptors()[index];
            match &mut self.acceptor {
                Some(acceptor) if to == requester.node => {
                    acceptor.release(requester, ownership.shard, ownership.token);
                }
                _ => {
                    let released = vec![ownership];
                    self.send(to, &Message::Release { released });
                }
            }
        }
    }
}
