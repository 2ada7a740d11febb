//! The member table: every known node, including this one, and the queue of updates that are still
//! to be gossiped.
//!
//! Invariants: `alive_count` and `bucket_digests` always match the entries, so the state and
//! incarnation of an entry are changed only by [`MemberTable::update`] and
//! [`MemberTable::update_from_notice`]. An entry is in the queue if and only if its `transmissions`
//! is `Some`.

use std::collections::{BTreeMap, BTreeSet};

use stable_hash::mix;

use crate::event::PeerId;
use crate::member::State;
use crate::member_id::MemberId;
use crate::suspicion::Suspicion;
use crate::wire::{DeathNotice, Record, DEATH_AGE_UNIT_MS, DIGEST_BUCKETS};
use crate::MAX_MEMBERS;

/// Time for which a node that is dead or has left stays in the table, so that old updates cannot
/// resurrect it, in milliseconds. Updates circulate for seconds; an hour is many times longer than
/// a partition that operators would leave unrepaired.
const TOMBSTONE_MS: f64 = 3_600_000.0;

/// Number of transmissions of an update: a constant, and an amount for each doubling of the
/// cluster's size. To reach all nodes, gossip needs a small multiple of the logarithm of the
/// cluster's size, and some datagrams are lost.
const BASE_TRANSMISSIONS: u32 = 4;
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;
/// Number of transmissions of the announcement of a new node. Each node contacts every address
/// itself, so the announcement matters only to nodes that cannot reach the new one. With more
/// transmissions, announcements would be nearly all traffic when a whole cluster starts.
const NEW_MEMBER_TRANSMISSIONS: u32 = 4;

/// Maximum number of records that are offered for one anti-entropy datagram. More never fit.
const MAX_SYNC_RECORDS: usize = 12;

/// A reported death that takes effect after a delay, so that the node can refute it first.
#[derive(Clone, Debug)]
pub struct PendingDeath {
    /// Time at which the death takes effect.
    pub due_ms: f64,
    /// Incarnation of the node that was declared dead.
    pub incarnation: u64,
    /// Name of the node that reported the death.
    pub reported_by: String,
    /// Time at which the quorum decided.
    pub declared_ms: f64,
}

/// A node in the table.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    pub name: String,
    pub state: State,
    pub incarnation: u64,
    /// Process id of the node; 0 if unknown.
    pub process_id: u64,
    /// Time since which the node has been in its state, or has had its current process if that is
    /// later.
    pub since_ms: f64,
    /// Time of the last datagram from the node's current process.
    pub last_received_ms: Option<f64>,
    /// Time of the last ack from the node's current process.
    pub last_ack_ms: Option<f64>,
    /// Time at which the node last probed this node as one of its observers.
    pub last_observer_probe_ms: Option<f64>,
    /// Current address of the node, if known.
    pub peer: Option<PeerId>,
    /// Time since which this node has been an observer of the node; `None` if it is not.
    pub observed_since_ms: Option<f64>,
    /// This node's open suspicion against the node.
    pub suspicion: Option<Box<Suspicion>>,
    /// Time until which the node counts as suspected by another node.
    pub suspected_until_ms: f64,
    /// Reported death that has not taken effect yet.
    pub pending_death: Option<Box<PendingDeath>>,
    /// Time at which the node was last declared dead, by this node or another one.
    pub declared_dead_ms: f64,
    /// Transmissions of the node's latest update so far; `None` if no more are due.
    transmissions: Option<u32>,
}

impl MemberEntry {
    /// An entry for a live node.
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

    /// Whether the node is neither dead nor has left. A suspected node is alive.
    pub fn is_alive(&self) -> bool {
        self.state == State::Alive
    }

    pub fn was_received_within(&self, now_ms: f64, window_ms: f64) -> bool {
        self.last_received_ms
            .is_some_and(|received| now_ms - received < window_ms)
    }

    /// Drops all suspicions against the node, and its pending death.
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

/// The table is at its capacity, and all nodes in it are alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableFull;

/// All known nodes, and the queue of updates.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<MemberId, MemberEntry>,
    /// Nodes whose latest update is still to be gossiped, ordered by its transmissions so far.
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

    /// For changes of any field except state and incarnation.
    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut MemberEntry> {
        self.entries.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &MemberEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// For changes of any field except state and incarnation.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (MemberId, &mut MemberEntry)> {
        self.entries.iter_mut().map(|(id, entry)| (*id, entry))
    }

    /// Number of live nodes, including this one.
    pub fn alive_count(&self) -> usize {
        self.alive_count
    }

    pub fn is_alive(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(MemberEntry::is_alive)
    }

    pub fn peer_of(&self, id: MemberId) -> Option<PeerId> {
        self.get(id)?.peer
    }

    /// Digest of the whole table. It is equal on two nodes whose tables have the same states and
    /// incarnations.
    pub fn digest(&self) -> u64 {
        self.bucket_digests
            .iter()
            .fold(0, |digest, bucket| mix(digest ^ bucket))
    }

    /// Digests of the buckets, truncated to 16 bits.
    pub fn bucket_digests(&self) -> [u16; DIGEST_BUCKETS] {
        self.bucket_digests.map(|bucket| mix(bucket) as u16)
    }

    /// Adds an unknown node. If the table is full, removes and returns the node that has been dead
    /// or has left for longest.
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
            let oldest = self.oldest_dead_or_left().ok_or(TableFull)?;
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

    fn oldest_dead_or_left(&self) -> Option<MemberId> {
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

    /// Sets the state and incarnation of a node, clears suspicions against it and enqueues the
    /// update.
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

    /// Like [`update`](Self::update), for a notice that a node is dead or has left. Such a notice
    /// has no process id, and a higher incarnation may belong to a process other than the known
    /// one.
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

    /// Enqueues the current state of a node for the full number of transmissions.
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

    /// Whether the queue has an update that was never transmitted.
    pub fn has_unsent_update(&self) -> bool {
        self.queue
            .first()
            .is_some_and(|(transmissions, _)| *transmissions == 0)
    }

    /// The record that describes the current state of a node.
    pub fn record(&self, id: MemberId, now_ms: f64) -> Option<Record> {
        let entry = self.entries.get(&id)?;
        // A reported death is forwarded before it takes effect in this table.
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

    /// Adds queued updates to a datagram, the least often transmitted first, until `push` returns
    /// `false` because the next one does not fit.
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

    /// Records of nodes in the buckets whose digests differ from `remote_digests`, in random order;
    /// at most [`MAX_SYNC_RECORDS`].
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

    /// Removes and returns the nodes that have been dead or have left for longer than
    /// [`TOMBSTONE_MS`].
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
