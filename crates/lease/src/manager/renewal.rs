//! The renewal of leases in time, and the loss of shards whose lease has expired.

use crate::action::{Action, OwnershipChange};
use crate::identity::Shard;
use crate::manager::{lease_fraction, LeaseManager};
use crate::message::LeaseRequest;

impl LeaseManager {
    /// Renews the leases whose renewal is due: for the full length if another acceptor has granted
    /// the lease recently, otherwise for the length of a first grant.
    pub(super) fn renew_leases(&mut self) {
        let now_ms = self.now_ms;
        let quorum = self.quorum.quorum();
        let renewal_ms = self.lease_fraction_ms(lease_fraction::RENEWAL);
        let retry_ms = self.lease_fraction_ms(lease_fraction::RETRY);
        let low_remaining_ms = self.lease_fraction_ms(lease_fraction::LOW_REMAINING);
        let (mut full_requests, mut short_requests) = (Vec::new(), Vec::new());
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let Some(lease) = &mut state.lease else {
                continue;
            };
            let remaining_ms = lease.expires_ms(quorum) - now_ms;
            let elapsed_ms = now_ms - lease.requested_ms;
            let is_retry_due = remaining_ms < low_remaining_ms && elapsed_ms >= retry_ms;
            if elapsed_ms < renewal_ms && !is_retry_due {
                continue;
            }
            lease.requested_ms = now_ms;
            let is_confirmed = now_ms - lease.confirmed_ms < low_remaining_ms;
            let requests = if is_confirmed {
                &mut full_requests
            } else {
                &mut short_requests
            };
            requests.push(LeaseRequest {
                shard: shard as Shard,
                token: lease.token,
                is_transfer: false,
            });
        }
        self.send_requests(self.settings.lease_ms, &full_requests);
        self.send_requests(
            self.lease_fraction_ms(lease_fraction::FIRST_GRANT),
            &short_requests,
        );
    }

    /// Gives up the shards whose lease was not renewed in time.
    pub(super) fn expire_leases(&mut self) {
        let now_ms = self.now_ms;
        let quorum = self.quorum.quorum();
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let Some(lease) = state
                .lease
                .take_if(|lease| lease.expires_ms(quorum) <= now_ms)
            else {
                continue;
            };
            state.owner = None;
            state.owner_since_ms = now_ms;
            state.free_since_ms = Some(now_ms);
            self.metrics.expired += 1;
            self.actions.push(Action::OwnershipChanged {
                shard: shard as Shard,
                token: lease.token,
                change: OwnershipChange::Expired,
            });
        }
    }
}
