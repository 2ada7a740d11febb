//! The member table: every known node, this one among them, and the queue of updates that are still to be gossiped.
//!
//! Invariants: `alive_count` and `bucket_digests` always match the entries, so state and incarnation are changed only by
//! [`MemberTable::update`] and [`MemberTable::update_from_notice`]; an entry is in the queue exactly if its
//! `transmissions` is `Some`.

use std::collections::{BTreeMap, BTreeSet};

use stable_hash::mix;

use crate::event::PeerId;
use crate::member::State;
use crate::member_id::MemberId;
use crate::suspicion::Suspicion;
use crate::wire::{DeathNotice, Record, DEATH_AGE_UNIT_MS, DIGEST_BUCKETS};
use crate::MAX_MEMBERS;

/// How long a dead node is remembered, so that old updates cannot resurrect it, in milliseconds. Updates travel for
/// seconds; this is many times a partition that operators would wait out.
const TOMBSTONE_MS: f64 = 3_600_000.0;

/// How often an update is transmitted: gossip needs a small multiple of the logarithm of the cluster's size to reach all
/// nodes, and some datagrams are lost.
const BASE_TRANSMISSIONS: u32 = 4;
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;
/// How often a new node is announced. Each node contacts every address itself, so only nodes that cannot need the
/// announcement; when a whole cluster starts, announcements would otherwise be nearly all traffic.
const NEW_MEMBER_TRANSMISSIONS: u32 = 4;

/// Records that are offered for one anti-entropy datagram. More never fit.
const MAX_SYNC_RECORDS: usize = 12;

/// A reported death that takes effect later, so that the node can refute it.
#[derive(Clone, Debug)]
pub struct PendingDeath {
    /// When it takes effect.
    pub due_ms: f64,
    pub incarnation: u64,
    /// Name of the node that reported it.
    pub reported_by: String,
    /// When the quorum decided.
    pub declared_ms: f64,
}

/// A node in the table.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    pub name: String,
    pub state: State,
    pub incarnation: u64,
    /// 0 if unknown.
    pub process_id: u64,
    pub since_ms: f64,
    pub last_received_ms: Option<f64>,
    pub last_ack_ms: Option<f64>,
    /// When it last probed this node as one of its observers.
    pub last_observer_probe_ms: Option<f64>,
    pub peer: Option<PeerId>,
    /// Since when this node is one of its observers.
    pub observed_since_ms: Option<f64>,
    /// The open suspicion of this node against it.
    pub suspicion: Option<Box<Suspicion>>,
    /// Until when it counts as suspected by another node.
    pub suspected_until_ms: f64,
    pub pending_death: Option<Box<PendingDeath>>,
    /// When it was declared dead, by any node.
    pub declared_dead_ms: f64,
    /// How often its latest update was transmitted; `None` once that was often enough.
    transmissions: Option<u32>,
}

impl MemberEntry {
    /// A node that is alive.
    pub fn new(name: String, incarnation: u64, process_id: u64, now_ms: f64) -> Self {
        Self {
            name,
            state: State::Alive,
            incarnation,
            process_id,
            since_ms: now_ms,
            last_received_ms: None,
            last_ack_ms: None,
            last_observer_probe_ms: None,
            peer: None,
            observed_since_ms: None,
            suspicion: None,
            suspected_until_ms: f64::NEG_INFINITY,
            pending_death: None,
            declared_dead_ms: now_ms,
            transmissions: None,
        }
    }

    /// Whether it is neither dead nor left. A suspected node is alive.
    pub fn is_alive(&self) -> bool {
        self.state == State::Alive
    }

    pub fn was_received_within(&self, now_ms: f64, window_ms: f64) -> bool {
        self.last_received_ms
            .is_some_and(|received| now_ms - received < window_ms)
    }

    /// Drops whatever speaks against the node.
    pub fn clear_suspicion(&mut self) {
        self.suspicion = None;
        self.suspected_until_ms = f64::NEG_INFINITY;
        self.pending_death = None;
    }

    fn death_notice(&self, member: MemberId, now_ms: f64) -> DeathNotice {
        let (incarnation, declared_ms) = match &self.pending_death {
            Some(pending) if self.is_alive() => (pending.incarnation, pending.declared_ms),
            _ => (self.incarnation, self.declared_dead_ms),
        };
        let age = (now_ms - declared_ms) / DEATH_AGE_UNIT_MS;
        DeathNotice {
            member,
            incarnation,
            age_quarter_seconds: age.clamp(0.0, f64::from(u8::MAX)) as u8,
        }
    }
}

/// The table has no room: all nodes in it are alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableFull;

/// All known nodes.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<MemberId, MemberEntry>,
    /// Updates to be gossiped, by transmissions so far.
    queue: BTreeSet<(u32, MemberId)>,
    alive_count: usize,
    bucket_digests: [u64; DIGEST_BUCKETS],
}

fn bucket_of(MemberId(id): MemberId) -> usize {
    (id % DIGEST_BUCKETS as u64) as usize
}

fn entry_digest(id: MemberId, entry: &MemberEntry) -> u64 {
    mix(id.0 ^ mix(entry.incarnation ^ ((entry.state as u64) << 62)))
}

impl MemberTable {
    pub fn get(&self, id: MemberId) -> Option<&MemberEntry> {
        self.entries.get(&id)
    }

    /// For changes of anything but state and incarnation.
    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut MemberEntry> {
        self.entries.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &MemberEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// For changes of anything but state and incarnation.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (MemberId, &mut MemberEntry)> {
        self.entries.iter_mut().map(|(id, entry)| (*id, entry))
    }

    /// How many nodes are alive, this one among them.
    pub fn alive_count(&self) -> usize {
        self.alive_count
    }

    pub fn is_alive(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(MemberEntry::is_alive)
    }

    pub fn peer_of(&self, id: MemberId) -> Option<PeerId> {
        self.get(id)?.peer
    }

    /// Digest of the whole table; equal at nodes that know the same.
    pub fn digest(&self) -> u64 {
        self.bucket_digests
            .iter()
            .fold(0, |digest, bucket| mix(digest ^ bucket))
    }

    /// Truncated digests of the buckets.
    pub fn bucket_digests(&self) -> [u16; DIGEST_BUCKETS] {
        self.bucket_digests.map(|bucket| mix(bucket) as u16)
    }

    /// Adds an unknown node. If the table is full, the node that has been dead or has left for longest is removed and
    /// returned.
    ///
    /// # Errors
    ///
    /// The table is full and all nodes are alive.
    pub fn insert(
        &mut self,
        id: MemberId,
        entry: MemberEntry,
    ) -> Result<Option<MemberId>, TableFull> {
        let mut removed = None;
        if self.entries.len() >= MAX_MEMBERS {
            let oldest = self.longest_dead().ok_or(TableFull)?;
            self.remove(oldest);
            removed = Some(oldest);
        }
        self.alive_count += usize::from(entry.is_alive());
        self.bucket_digests[bucket_of(id)] ^= entry_digest(id, &entry);
        self.entries.insert(id, entry);
        let already_sent = self
            .max_transmissions()
            .saturating_sub(NEW_MEMBER_TRANSMISSIONS)
            .max(1);
        self.enqueue_with_transmissions(id, already_sent);
        Ok(removed)
    }

    fn longest_dead(&self) -> Option<MemberId> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.is_alive())
            .min_by(|(_, a), (_, b)| a.since_ms.total_cmp(&b.since_ms))
            .map(|(id, _)| *id)
    }

    fn remove(&mut self, id: MemberId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.alive_count -= usize::from(entry.is_alive());
        self.bucket_digests[bucket_of(id)] ^= entry_digest(id, &entry);
        if let Some(transmissions) = entry.transmissions {
            self.queue.remove(&(transmissions, id));
        }
    }

    /// Sets state and incarnation of a node, clears suspicions against it and has the update gossiped.
    pub fn update(&mut self, id: MemberId, now_ms: f64, state: State, incarnation: u64) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        self.alive_count -= usize::from(entry.is_alive());
        self.bucket_digests[bucket_of(id)] ^= entry_digest(id, entry);
        if entry.state != state {
            entry.since_ms = now_ms;
        }
        entry.state = state;
        entry.incarnation = incarnation;
        entry.clear_suspicion();
        self.alive_count += usize::from(entry.is_alive());
        self.bucket_digests[bucket_of(id)] ^= entry_digest(id, entry);
        self.enqueue_update(id);
    }

    /// Like [`update`](Self::update), for a notice of death or leave. These do not carry a process id, and a later
    /// incarnation need not be the known process.
    pub fn update_from_notice(
        &mut self,
        id: MemberId,
        now_ms: f64,
        state: State,
        incarnation: u64,
    ) {
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.incarnation < incarnation {
                entry.process_id = 0;
            }
        }
        self.update(id, now_ms, state, incarnation);
    }

    /// Has the current state of a node gossiped again.
    pub fn enqueue_update(&mut self, id: MemberId) {
        self.enqueue_with_transmissions(id, 0);
    }

    fn enqueue_with_transmissions(&mut self, id: MemberId, transmissions: u32) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if let Some(before) = entry.transmissions.replace(transmissions) {
            self.queue.remove(&(before, id));
        }
        self.queue.insert((transmissions, id));
    }

    fn max_transmissions(&self) -> u32 {
        let doublings = usize::BITS.saturating_sub(self.entries.len().leading_zeros());
        BASE_TRANSMISSIONS + TRANSMISSIONS_PER_DOUBLING * doublings
    }

    /// Whether there is an update that was never transmitted.
    pub fn has_unsent_update(&self) -> bool {
        self.queue
            .first()
            .is_some_and(|(transmissions, _)| *transmissions == 0)
    }

    /// What a datagram says about a node.
    pub fn record(&self, id: MemberId, now_ms: f64) -> Option<Record> {
        let entry = self.entries.get(&id)?;
        // A pending death is forwarded before it takes effect here.
        let is_dead = entry.state == State::Dead || entry.pending_death.is_some();
        Some(match entry.state {
            State::Left => Record::Left {
                member: id,
                incarnation: entry.incarnation,
            },
            _ if is_dead => Record::Dead(entry.death_notice(id, now_ms)),
            _ => Record::Alive {
                incarnation: entry.incarnation,
                process_id: entry.process_id,
                name: entry.name.clone(),
            },
        })
    }

    /// Adds the least often transmitted updates to a datagram, until `push` returns `false`: there is no more room.
    pub fn fill_datagram(&mut self, now_ms: f64, mut push: impl FnMut(&Record) -> bool) {
        let max_transmissions = self.max_transmissions();
        let mut pushed = Vec::new();
        for (transmissions, id) in &self.queue {
            let Some(record) = self.record(*id, now_ms) else {
                continue;
            };
            if !push(&record) {
                break;
            }
            pushed.push((*transmissions, *id));
        }
        for (transmissions, id) in pushed {
            self.queue.remove(&(transmissions, id));
            let remaining = Some(transmissions + 1).filter(|sent| *sent < max_transmissions);
            if let Some(sent) = remaining {
                self.queue.insert((sent, id));
            }
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.transmissions = remaining;
            }
        }
    }

    /// Records of nodes in buckets whose digest differs from `remote_digests`, in random order.
    pub fn differing_records(
        &self,
        remote_digests: &[u16; DIGEST_BUCKETS],
        now_ms: f64,
        rng: &mut fastrand::Rng,
    ) -> Vec<Record> {
        let own = self.bucket_digests();
        let differs = |id: &&MemberId| {
            let bucket = bucket_of(**id);
            own[bucket] != remote_digests[bucket]
        };
        let mut ids: Vec<_> = self.entries.keys().filter(differs).copied().collect();
        rng.shuffle(&mut ids);
        ids.truncate(MAX_SYNC_RECORDS);
        ids.into_iter()
            .filter_map(|id| self.record(id, now_ms))
            .collect()
    }

    /// Removes and returns nodes that have been dead, or have left, for longer than the tombstone time.
    pub fn remove_expired(&mut self, now_ms: f64) -> Vec<MemberId> {
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_alive() && now_ms - entry.since_ms > TOMBSTONE_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.remove(*id);
        }
        expired
    }
}
