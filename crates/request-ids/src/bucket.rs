//! A bucket of a shared table: the ids whose hashes select it.

use std::ops::Range;

use crate::entry::{Entry, EntryStatus, State, ENTRY_BYTES};
use crate::{IdHash, OwnerId, RepeatPolicy, RequestEnd, ReserveError};

/// Size of a bucket: a page, so that it is read with one call.
pub const BUCKET_BYTES: usize = 4096;
/// Maximum number of ids in a bucket.
pub const BUCKET_SLOTS: usize = BUCKET_BYTES / ENTRY_BYTES;

/// The place of an entry in its bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotIndex(usize);

/// A copy of a bucket, and which of its bytes have been changed. The caller holds the lock of the bucket from reading it until it
/// has written the changed bytes.
#[derive(Debug)]
pub struct Bucket {
    bytes: [u8; BUCKET_BYTES],
    changed: Range<usize>,
}

impl Bucket {
    /// A bucket with these bytes.
    #[must_use]
    pub fn new(bytes: [u8; BUCKET_BYTES]) -> Self {
        Self {
            bytes,
            changed: 0..0,
        }
    }

    /// The range of the bytes that have been changed since [`Bucket::new`], and these bytes. Empty if there are none.
    #[must_use]
    pub fn changed(&self) -> (usize, &[u8]) {
        (self.changed.start, &self.bytes[self.changed.clone()])
    }

    /// Reserves an id for a request of the process `owner`.
    ///
    /// `is_running` tells whether another process still runs. It is called for an entry of the same id, and for other entries
    /// only if all slots are in use.
    ///
    /// # Errors
    ///
    /// The id is open or retained, or all slots are in use.
    pub fn reserve(
        &mut self,
        id: IdHash,
        owner: OwnerId,
        policy: RepeatPolicy,
        now_ms: u64,
        is_running: impl Fn(OwnerId) -> bool,
    ) -> Result<SlotIndex, ReserveError> {
        let slot = match self.find(id) {
            Some((slot, existing)) => {
                self.check_expired(slot, existing, now_ms, &is_running)?;
                slot
            }
            None => self
                .free_slot(now_ms)
                .or_else(|| self.reclaim_slot(now_ms, &is_running))
                .ok_or(ReserveError::Full)?,
        };
        let entry = Entry {
            id,
            state: State::Open { owner, policy },
            since_ms: now_ms,
        };
        self.set(slot, Some(entry));
        Ok(slot)
    }

    /// Ends the request that has reserved an id in this slot.
    pub fn end(&mut self, slot: SlotIndex, id: IdHash, end: RequestEnd, now_ms: u64) {
        let Some(entry) = self.get(slot).filter(|entry| entry.id == id) else {
            return;
        };
        self.set(
            slot,
            match end {
                RequestEnd::Released => None,
                RequestEnd::MayHaveRun => Some(entry.retained_since(now_ms)),
            },
        );
    }

    /// Checks that the existing entry of an id has expired. Retains the id if its process ended with the request open.
    fn check_expired(
        &mut self,
        slot: SlotIndex,
        existing: Entry,
        now_ms: u64,
        is_running: &impl Fn(OwnerId) -> bool,
    ) -> Result<(), ReserveError> {
        match existing.status(now_ms, is_running) {
            EntryStatus::Expired => Ok(()),
            EntryStatus::InUse => Err(ReserveError::InUse),
            EntryStatus::Orphaned => {
                self.set(slot, Some(existing.retained_since(now_ms)));
                Err(ReserveError::InUse)
            }
        }
    }

    /// Returns a slot that is free, or whose id has been retained for long enough.
    fn free_slot(&self, now_ms: u64) -> Option<SlotIndex> {
        slots().find(|slot| {
            self.get(*slot)
                .is_none_or(|entry| entry.is_past_retention(now_ms))
        })
    }

    /// Returns a slot of a repeatable request whose process ended with it open. Other ids of ended processes are retained from
    /// now on.
    fn reclaim_slot(
        &mut self,
        now_ms: u64,
        is_running: &impl Fn(OwnerId) -> bool,
    ) -> Option<SlotIndex> {
        let mut reclaimed = None;
        for slot in slots() {
            let Some(entry) = self.get(slot) else {
                continue;
            };
            match entry.status(now_ms, is_running) {
                EntryStatus::InUse => {}
                EntryStatus::Orphaned => self.set(slot, Some(entry.retained_since(now_ms))),
                EntryStatus::Expired => reclaimed = Some(slot),
            }
        }
        reclaimed
    }

    fn find(&self, id: IdHash) -> Option<(SlotIndex, Entry)> {
        slots()
            .filter_map(|slot| Some((slot, self.get(slot)?)))
            .find(|(_, entry)| entry.id == id)
    }

    fn get(&self, slot: SlotIndex) -> Option<Entry> {
        let bytes = &self.bytes[slot.0 * ENTRY_BYTES..];
        bytes.first_chunk().and_then(Entry::decode)
    }

    fn set(&mut self, slot: SlotIndex, entry: Option<Entry>) {
        let range = slot.0 * ENTRY_BYTES..(slot.0 + 1) * ENTRY_BYTES;
        let bytes = entry.map_or([0; ENTRY_BYTES], Entry::encode);
        self.bytes[range.clone()].copy_from_slice(&bytes);
        self.changed = if self.changed.is_empty() {
            range
        } else {
            self.changed.start.min(range.start)..self.changed.end.max(range.end)
        };
    }
}

fn slots() -> impl Iterator<Item = SlotIndex> {
    (0..BUCKET_SLOTS).map(SlotIndex)
}
