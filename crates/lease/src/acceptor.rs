//! The state of one acceptor: which process holds its grant of each shard, and the highest token.
//!
//! An acceptor grants a shard to one process at a time, and only under a token above all that it
//! has granted. Its memory ends with its process, so a restarted one is *quarantined* until all
//! that it may have granted before has expired.

use crate::identity::{FencingToken, Requester, Shard};
use crate::message::{LeaseRequest, ShardStatus};
use crate::settings::{InjectedFault, Settings};

/// The low bits of a table version count changes, the others identify the process. After a million
/// changes they reach into another process's versions; a polling node is then sent the whole table.
const CHANGE_COUNT_BITS: u32 = 20;

/// Tokens that are reserved on disk ahead, so that a grant hardly ever waits for the disk: a
/// million, and the next are reserved when half of them are left.
const RESERVED_TOKENS: u64 = 1 << 20;

/// The expiry of a grant whose end has been put into the table already.
const EXPIRY_PUBLISHED: f64 = f64::NEG_INFINITY;

#[derive(Clone, Copy, Debug)]
struct Grant {
    to: Requester,
    token: FencingToken,
    expires_ms: f64,
}

impl Grant {
    fn is_held_by(&self, requester: Requester, token: FencingToken) -> bool {
        self.to == requester && self.token == token
    }
}

#[derive(Clone, Debug, Default)]
struct AcceptorShard {
    highest_token: FencingToken,
    grant: Option<Grant>,
    /// The table version in which it changed last.
    changed_version: u64,
}

/// The entries of an acceptor's table that changed, and the version that they lead to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableChanges {
    pub version: u64,
    pub shards: Vec<ShardStatus>,
}

/// The grants of an acceptor.
#[derive(Clone, Debug)]
pub struct Acceptor {
    shards: Vec<AcceptorShard>,
    /// Until then it grants nothing: an earlier process may have.
    quarantined_until_ms: f64,
    version: u64,
    /// Up to which token it may grant, where that is stored on disk.
    reserved_token: Option<FencingToken>,
    /// Up to which token a reservation was requested.
    requested_reservation: FencingToken,
    injected_fault: InjectedFault,
}

impl Acceptor {
    /// An acceptor whose process has just started.
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
        // So that a version of another process is never taken for one of this.
        let version = settings.process_id << CHANGE_COUNT_BITS;
        // What was reserved may have been granted.
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

    /// Up to which token to reserve on disk, where that is due and was not requested yet.
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

    /// A reservation is on disk.
    pub fn confirm_reservation(&mut self, token: FencingToken) {
        self.reserved_token = self.reserved_token.map(|reserved| reserved.max(token));
    }

    /// Whether an earlier process's grants may still be valid.
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

    /// Another node knows of this token: nothing up to it is granted anew.
    pub fn observe_token(&mut self, token: FencingToken) {
        for shard in &mut self.shards {
            shard.highest_token = shard.highest_token.max(token);
        }
    }

    /// Grants or renews a lease, if no other process holds one and the token is the highest.
    /// Returns whether it did.
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
        // What this process was granted once stays granted, even if it requests less now.
        let earlier_expiry_ms = shard
            .grant
            .filter(|grant| grant.to == requester)
            .map_or(0.0, |grant| grant.expires_ms);
        // A grant whose expiry was published is published again.
        if !is_renewal || earlier_expiry_ms <= now_ms {
            self.version += 1;
            shard.changed_version = self.version;
        }
        shard.highest_token = shard.highest_token.max(request.token);
        shard.grant = Some(Grant {
            to: requester,
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
        // The owner before has given up its grant for ever; an owner after that one has not.
        let is_transferred =
            |grant: &Grant| request.is_transfer && grant.token.next() == request.token;
        let is_held_by_another = shard.grant.is_some_and(|grant| {
            grant.expires_ms > now_ms && grant.to != requester && !is_transferred(&grant)
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

    /// A process has given up a grant, or never used it.
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

    /// The grant of a shard.
    pub fn status(&self, now_ms: f64, shard: Shard) -> ShardStatus {
        let state = self.shards.get(usize::from(shard));
        let grant = state
            .and_then(|state| state.grant)
            .filter(|grant| grant.expires_ms > now_ms);
        ShardStatus {
            shard,
            highest_token: state.map(|state| state.highest_token).unwrap_or_default(),
            owner: grant.map(|grant| grant.to.node),
            // At most the longest lease, 10 s.
            remaining_ms: grant.map_or(0.0, |grant| (grant.expires_ms - now_ms).ceil()) as u16,
        }
    }

    /// At most so many entries of the table that have changed since a version. An expired grant is
    /// a change.
    pub fn changes_since(&mut self, now_ms: f64, version: u64, max_entries: usize) -> TableChanges {
        self.publish_expiries(now_ms);
        let is_of_this_process = version >> CHANGE_COUNT_BITS == self.version >> CHANGE_COUNT_BITS;
        let since = if is_of_this_process { version } else { 0 };
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

    /// Counts each expired grant as a change, once. The grant itself stays, so that its owner can
    /// renew it as long as no other process requests the shard.
    fn publish_expiries(&mut self, now_ms: f64) {
        for shard in &mut self.shards {
            let Some(grant) = &mut shard.grant else {
                continue;
            };
            if grant.expires_ms <= now_ms && grant.expires_ms != EXPIRY_PUBLISHED {
                grant.expires_ms = EXPIRY_PUBLISHED;
                self.version += 1;
                shard.changed_version = self.version;
            }
        }
    }
}

#[cfg(test)]
mod tests;
