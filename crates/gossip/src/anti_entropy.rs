//! Anti-entropy: nodes whose member tables differ exchange what differs, and the two sides of a healed partition notify
//! each other of the deaths that they declared.

use crate::event::PeerId;
use crate::member::State;
use crate::member_id::MemberId;
use crate::node::Gossip;
use crate::rate_limit::RateLimit;
use crate::wire::{Record, DIGEST_BUCKETS};

/// How many datagrams of an exchange may follow each other, and how many a second are allowed after that.
const SYNC_BURST: f64 = 8.0;
const SYNCS_PER_S: f64 = 3.0;
/// How often a sender that is dead here is notified of that, in milliseconds. Two nodes that consider each other dead
/// would otherwise answer each other without end.
const DEATH_NOTICE_INTERVAL_MS: f64 = 200.0;
/// How often all deaths are sent to such a sender, in milliseconds, and in how many datagrams.
const HEAL_INTERVAL_MS: f64 = 1_000.0;
const MAX_HEAL_DATAGRAMS: usize = 6;

/// Limits of anti-entropy.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    sync_limit: RateLimit,
    last_heal_ms: f64,
}

impl AntiEntropy {
    pub fn new(now_ms: f64) -> Self {
        Self {
            sync_limit: RateLimit::new(now_ms, SYNC_BURST, SYNCS_PER_S),
            last_heal_ms: f64::NEG_INFINITY,
        }
    }
}

impl Gossip {
    /// Starts an exchange with a node whose table differs.
    pub(crate) fn receive_digest(&mut self, from: PeerId, theirs: u64) {
        let differs = theirs != self.table.digest();
        if differs && self.anti_entropy.sync_limit.try_acquire(self.now_ms) {
            let digests = Record::BucketDigests(self.table.bucket_digests());
            self.send(from, &[digests]);
        }
    }

    /// Continues an exchange: sends what is in the buckets that differ. The other node does the same, until nothing
    /// differs or the limits of both are reached.
    pub(crate) fn receive_bucket_digests(&mut self, from: PeerId, theirs: &[u16; DIGEST_BUCKETS]) {
        let own = self.table.bucket_digests();
        if own == *theirs || !self.anti_entropy.sync_limit.try_acquire(self.now_ms) {
            return;
        }
        let mut records = vec![Record::BucketDigests(own)];
        records.extend(
            self.table
                .differing_records(theirs, self.now_ms, &mut self.rng),
        );
        self.send(from, &records);
    }

    /// A node that is dead here has sent a datagram: it is notified, so that it can refute its death, and learns of all
    /// nodes that were declared dead when the two sides were partitioned.
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
        self.send(from, &[]); // Every datagram to a dead node carries its death notice.
        if now_ms - self.anti_entropy.last_heal_ms < HEAL_INTERVAL_MS {
            return;
        }
        self.anti_entropy.last_heal_ms = now_ms;
        let records = self.death_records();
        let mut remaining = records.as_slice();
        for _ in 0..MAX_HEAL_DATAGRAMS {
            if remaining.is_empty() {
                break;
            }
            let sent = self.send(from, remaining);
            remaining = &remaining[sent.max(1).min(remaining.len())..];
        }
    }

    /// All deaths, the latest first.
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
