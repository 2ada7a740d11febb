//! The state of one acceptor: the current grant and the highest token of each shard.
//!
//! An acceptor grants a shard to one process at a time, and only under a token above the highest
//! one that it has granted for the shard. It keeps its grants in memory only, so a restarted
//! acceptor is *quarantined* until every grant of its previous process has expired.

use crate::identity::{FencingToken, Requester, Shard};
use crate::message::{LeaseRequest, ShardStatus};
use crate::settings::{InjectedFault, Settings};

/// Number of low bits of a table version that count changes; the others identify the process. After
/// a million changes the count carries into the process bits; a polling node is then sent the whole
/// table.
const CHANGE_COUNT_BITS: u32 = 20;

/// Number of tokens that are reserved on disk in advance, so that a grant hardly ever waits for the
/// disk: a million. The next ones are reserved when less than half of them are left.
const RESERVED_TOKENS: u64 = 1 << 20;

/// Value of [`Grant::expires_ms`] once the expiry has been recorded as a table change.
const EXPIRY_RECORDED: f64 = f64::NEG_INFINITY;

#[derive(Clone, Copy, Debug)]
struct Grant {
    holder: Requester,
    token: FencingToken,
    expires_ms: f64,
}

impl Grant {
    fn is_held_by(&self, requester: Requester, token: FencingToken) -> bool {
        self.holder == requester && self.token == token
    }
}

#[derive(Clone, Debug, Default)]
struct AcceptorShard {
    highest_token: FencingToken,
    grant: Option<Grant>,
    /// The table version of the last change to this shard.
    changed_version: u64,
}

/// Changed entries of an acceptor's table, and the version of the table that includes them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableChanges {
    pub version: u64,
    pub shards: Vec<ShardStatus>,
}

/// The grants of an acceptor.
#[derive(Clone, Debug)]
pub struct Acceptor {
    shards: Vec<AcceptorShard>,
    /// End of the quarantine. Until then nothing is granted, as grants of an earlier process may
    /// still be valid.
    quarantined_until_ms: f64,
    version: u64,
    /// Highest token that may be granted, as reserved on disk. `None`: no tokens are reserved, and
    /// any token may be granted.
    reserved_token: Option<FencingToken>,
    /// Highest token whose reservation has been requested.
    requested_reservation: FencingToken,
    injected_fault: InjectedFault,
}

impl Acceptor {
    /// Creates the acceptor of a process that has just started.
    pub fn new(now_ms: f64, settings: &Settings) -> Self {
        let injected_fault = settings.injected_fault;
        let floor = if injected_fault == InjectedFault::NoTokenFloor {
            FencingToken(0)
        } else {
            settings.token_floor
        };
        let quarantine_ms = if injected_fault == InjectedFault::NoQuarantine {
            0.0
        } else {
            settings.max_grant_ms()
        };
        // Distinguishes the table versions of this process from those of any other process.
        let version = settings.process_id << CHANGE_COUNT_BITS;
        // Every token up to the reserved one may have been granted by an earlier process.
        let highest_token = settings
            .reserved_token
            .map_or(floor, |reserved| reserved.max(floor));
        let shard = AcceptorShard {
            highest_token,
            grant: None,
            changed_version: version,
        };
        Self {
            shards: vec![shard; usize::from(settings.shards)],
            quarantined_until_ms: now_ms + quarantine_ms,
            version,
            reserved_token: settings.reserved_token,
            requested_reservation: settings.reserved_token.unwrap_or_default(),
            injected_fault,
        }
    }

    /// The token up to which to reserve on disk, if a reservation is due and not yet requested.
    pub fn take_due_reservation(&mut self) -> Option<FencingToken> {
        let highest = self.highest_token();
        let reserved = self.reserved_token?;
        let needed = FencingToken(highest.0.saturating_add(RESERVED_TOKENS / 2));
        if reserved >= needed || self.requested_reservation >= needed {
            return None;
        }
        self.requested_reservation = FencingToken(highest.0.saturating_add(RESERVED_TOKENS));
        Some(self.requested_reservation)
    }

    /// Records that a reservation has been written to disk.
    pub fn confirm_reservation(&mut self, token: FencingToken) {
        self.reserved_token = self.reserved_token.map(|reserved| reserved.max(token));
    }

    /// Whether grants of an earlier process may still be valid.
    pub fn is_quarantined(&self, now_ms: f64) -> bool {
        now_ms < self.quarantined_until_ms
    }

    /// The highest token of all shards.
    pub fn highest_token(&self) -> FencingToken {
        self.shards
            .iter()
            .map(|shard| shard.highest_token)
            .max()
            .unwrap_or_default()
    }

    /// Records a token that another node reported: no token up to it is granted any more, except to
    /// renew a lease.
    pub fn observe_token(&mut self, token: FencingToken) {
        for shard in &mut self.shards {
            shard.highest_token = shard.highest_token.max(token);
        }
    }

    /// Grants or renews a lease. A new lease requires that no other process holds the shard, unless
    /// that process has transferred it, and that the token is reserved and above the highest.
    /// Returns whether the lease was granted.
    pub fn request(
        &mut self,
        now_ms: f64,
        requester: Requester,
        request: LeaseRequest,
        ttl_ms: f64,
    ) -> bool {
        if self.is_quarantined(now_ms) || !self.is_grantable(now_ms, requester, request) {
            return false;
        }
        let Some(shard) = self.shards.get_mut(usize::from(request.shard)) else {
            return false;
        };
        let is_renewal = shard
            .grant
            .is_some_and(|grant| grant.is_held_by(requester, request.token));
        // A request for a shorter lease does not shorten an earlier grant to the same process.
        let earlier_expiry_ms = shard
            .grant
            .filter(|grant| grant.holder == requester)
            .map_or(0.0, |grant| grant.expires_ms);
        // A renewal is a change only if the grant has expired, as the table may show its expiry.
        if !is_renewal || earlier_expiry_ms <= now_ms {
            self.version += 1;
            shard.changed_version = self.version;
        }
        shard.highest_token = shard.highest_token.max(request.token);
        shard.grant = Some(Grant {
            holder: requester,
            token: request.token,
            expires_ms: earlier_expiry_ms.max(now_ms + ttl_ms),
        });
        true
    }

    fn is_grantable(&self, now_ms: f64, requester: Requester, request: LeaseRequest) -> bool {
        let Some(shard) = self.shards.get(usize::from(request.shard)) else {
            return false;
        };
        let is_renewal = shard
            .grant
            .is_some_and(|grant| grant.is_held_by(requester, request.token));
        let is_stale_renewal = self.injected_fault == InjectedFault::StaleRenewal
            && request.token < shard.highest_token
            && !request.is_transfer;
        if is_renewal || is_stale_renewal {
            return true;
        }
        // A transfer gives up the grant under the preceding token for good, but no later grant.
        let is_transferred =
            |grant: &Grant| request.is_transfer && grant.token.next() == request.token;
        let is_held_by_another = shard.grant.is_some_and(|grant| {
            grant.expires_ms > now_ms && grant.holder != requester && !is_transferred(&grant)
        });
        let is_reserved = self
            .reserved_token
            .is_none_or(|reserved| request.token <= reserved);
        !is_held_by_another && self.is_above_highest(now_ms, shard, request.token) && is_reserved
    }

    fn is_above_highest(&self, now_ms: f64, shard: &AcceptorShard, token: FencingToken) -> bool {
        let is_free = shard.grant.is_none_or(|grant| grant.expires_ms <= now_ms);
        match self.injected_fault {
            InjectedFault::ForgottenToken if is_free => token > FencingToken(0),
            InjectedFault::EqualToken => token >= shard.highest_token,
            _ => token > shard.highest_token,
        }
    }

    /// Removes a grant that its holder has given up, or never used.
    pub fn release(&mut self, requester: Requester, shard: Shard, token: FencingToken) {
        let Some(shard) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if shard
            .grant
            .is_some_and(|grant| grant.is_held_by(requester, token))
        {
            shard.grant = None;
            self.version += 1;
            shard.changed_version = self.version;
        }
    }

    /// The current grant and the highest token of a shard.
    pub fn status(&self, now_ms: f64, shard: Shard) -> ShardStatus {
        let state = self.shards.get(usize::from(shard));
        let grant = state
            .and_then(|state| state.grant)
            .filter(|grant| grant.expires_ms > now_ms);
        ShardStatus {
            shard,
            highest_token: state.map(|state| state.highest_token).unwrap_or_default(),
            owner: grant.map(|grant| grant.holder.node),
            // Fits 16 bits: the longest lease is 10 s.
            remaining_ms: grant.map_or(0.0, |grant| (grant.expires_ms - now_ms).ceil()) as u16,
        }
    }

    /// The table entries that have changed since a version, the least recent changes first and at
    /// most `max_entries` of them. The expiry of a grant is a change.
    pub fn changes_since(&mut self, now_ms: f64, version: u64, max_entries: usize) -> TableChanges {
        self.record_expiries(now_ms);
        let is_same_process = version >> CHANGE_COUNT_BITS == self.version >> CHANGE_COUNT_BITS;
        let since = if is_same_process { version } else { 0 };
        let mut changed: Vec<_> = self
            .shards
            .iter()
            .enumerate()
            .filter(|(_, shard)| shard.changed_version > since)
            .collect();
        changed.sort_by_key(|(_, shard)| shard.changed_version);
        let is_truncated = changed.len() > max_entries;
        changed.truncate(max_entries);
        let version = if is_truncated {
            changed
                .last()
                .map_or(since, |(_, shard)| shard.changed_version)
        } else {
            self.version
        };
        let shards = changed
            .iter()
            .map(|(shard, _)| self.status(now_ms, *shard as Shard))
            .collect();
        TableChanges { version, shards }
    }

    /// Records the expiry of each grant as a table change, once. The grant itself is kept, so that
    /// its holder can renew it as long as no other process is granted the shard.
    fn record_expiries(&mut self, now_ms: f64) {
        for shard in &mut self.shards {
            let Some(grant) = &mut shard.grant else {
                continue;
            };
            if grant.expires_ms <= now_ms && grant.expires_ms != EXPIRY_RECORDED {
                grant.expires_ms = EXPIRY_RECORDED;
                self.version += 1;
                shard.changed_version = self.version;
            }
        }
    }
}

#[cfg(test)]
mod tests;
