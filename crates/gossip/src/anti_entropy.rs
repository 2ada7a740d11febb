//! Anti-entropy: nodes whose member tables differ exchange the differing records, and the two sides
//! of a healed partition exchange the deaths that they declared.

use crate::event::PeerId;
use crate::member::State;
use crate::member_id::MemberId;
use crate::node::Gossip;
use crate::rate_limit::RateLimit;
use crate::wire::{Record, DIGEST_BUCKETS};

/// Rate limit of anti-entropy datagrams: the burst in datagrams, and the sustained rate in
/// datagrams per second.
const SYNC_BURST: f64 = 8.0;
const SYNCS_PER_S: f64 = 3.0;
/// Minimum interval between two notifications of one sender that is dead or has left in this node's
/// table, in milliseconds. Without the limit, two nodes whose tables list each other as dead would
/// answer each other endlessly.
const DEATH_NOTICE_INTERVAL_MS: f64 = 200.0;
/// Minimum interval between two transmissions of all death notices, over all receivers together, in
/// milliseconds, and the maximum number of datagrams in each transmission.
const DEATH_SYNC_INTERVAL_MS: f64 = 1_000.0;
const MAX_DEATH_SYNC_DATAGRAMS: usize = 6;

/// Rate limits of anti-entropy.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    sync_limit: RateLimit,
    last_death_sync_ms: f64,
}

impl AntiEntropy {
    pub fn new(now_ms: f64) -> Self {
        Self {
            sync_limit: RateLimit::new(now_ms, SYNC_BURST, SYNCS_PER_S),
            last_death_sync_ms: f64::NEG_INFINITY,
        }
    }
}

impl Gossip {
    /// Starts an exchange if the sender's table differs from this node's.
    pub(crate) fn receive_digest(&mut self, from: PeerId, remote_digest: u64) {
        let differs = remote_digest != self.table.digest();
        if differs && self.anti_entropy.sync_limit.try_acquire(self.now_ms) {
            let digests = Record::BucketDigests(self.table.bucket_digests());
            self.send(from, &[digests]);
        }
    }

    /// Continues an exchange: sends records of the buckets that differ. The other node does the
    /// same, until the tables are equal or the rate limits are reached.
    pub(crate) fn receive_bucket_digests(
        &mut self,
        from: PeerId,
        remote_digests: &[u16; DIGEST_BUCKETS],
    ) {
        let own = self.table.bucket_digests();
        if own == *remote_digests || !self.anti_entropy.sync_limit.try_acquire(self.now_ms) {
            return;
        }
        let mut records = vec![Record::BucketDigests(own)];
        records.extend(
            self.table
                .differing_records(remote_digests, self.now_ms, &mut self.rng),
        );
        self.send(from, &records);
    }

    /// Answers a datagram of a node that is dead or has left in this node's table. Notifies the
    /// sender, so that it can refute this, and sends it the notices of all deaths, as far as they
    /// fit in [`MAX_DEATH_SYNC_DATAGRAMS`]: after a partition, other nodes on the sender's side are
    /// likely to be listed as dead, too.
    pub(crate) fn notify_dead_sender(&mut self, from: PeerId) {
        let now_ms = self.now_ms;
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let is_limited = peer
            .last_death_notice_ms
            .is_some_and(|last| now_ms - last < DEATH_NOTICE_INTERVAL_MS);
        if is_limited {
            return;
        }
        peer.last_death_notice_ms = Some(now_ms);
        self.send(from, &[]); // `write_datagram` adds the receiver's own record.
        if now_ms - self.anti_entropy.last_death_sync_ms < DEATH_SYNC_INTERVAL_MS {
            return;
        }
        self.anti_entropy.last_death_sync_ms = now_ms;
        let records = self.death_records();
        let mut remaining = records.as_slice();
        for _ in 0..MAX_DEATH_SYNC_DATAGRAMS {
            if remaining.is_empty() {
                break;
            }
            let sent = self.send(from, remaining);
            remaining = &remaining[sent.max(1).min(remaining.len())..];
        }
    }

    /// Death notices of all dead nodes, the most recent death first.
    fn death_records(&self) -> Vec<Record> {
        let mut dead: Vec<_> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.state == State::Dead)
            .map(|(id, entry)| (entry.since_ms, id))
            .collect();
        dead.sort_by(|(a, _): &(f64, MemberId), (b, _)| b.total_cmp(a));
        dead.into_iter()
            .filter_map(|(_, id)| self.table.record(id, self.now_ms))
            .collect()
    }
}
