//! The record of an id in a shared table, and its encoding.

use crate::IdHash;

/// Time for which the id of a request that may have run is retained after its end, in milliseconds.
pub const RETENTION_MS: u64 = 60_000;

/// Size of an entry in a bucket.
pub(crate) const ENTRY_BYTES: usize = 16;

const KIND_BITS: u32 = 4;
const OWNER_BITS: u32 = 16;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;
const KIND_OPEN_REPEATABLE: u64 = 0;
const KIND_OPEN: u64 = 1;
const KIND_RETAINED: u64 = 2;

/// Whether a request may run again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Its repeat is harmless.
    Repeatable,
    /// It must not run again.
    RunOnce,
}

/// Number of a process that uses, or has used, a shared table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerId(pub u16);

/// State of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Its request is open at this process.
    Open {
        owner: OwnerId,
        policy: RepeatPolicy,
    },
    /// Its request has ended, may have run and must not run again.
    Retained,
}

/// The effect of an entry at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryStatus {
    /// The id is rejected.
    InUse,
    /// The id is rejected. It was open at a process that has ended, so the entry becomes [`State::Retained`].
    Orphaned,
    /// The entry has no effect any more.
    Expired,
}

/// An id and its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) id: IdHash,
    pub(crate) state: State,
    /// When it entered the state, in milliseconds of the clock that all processes of the machine share.
    pub(crate) since_ms: u64,
}

impl Entry {
    /// Returns the status of the entry at `now_ms`. `is_running` tells whether a process is still running.
    pub(crate) fn status(
        &self,
        now_ms: u64,
        is_running: impl FnOnce(OwnerId) -> bool,
    ) -> EntryStatus {
        match self.state {
            State::Retained if self.is_past_retention(now_ms) => EntryStatus::Expired,
            State::Retained => EntryStatus::InUse,
            State::Open { owner, policy } => match policy {
                _ if is_running(owner) => EntryStatus::InUse,
                RepeatPolicy::RunOnce => EntryStatus::Orphaned,
                RepeatPolicy::Repeatable => EntryStatus::Expired,
            },
        }
    }

    /// Whether the id was retained for [`RETENTION_MS`].
    pub(crate) fn is_past_retention(&self, now_ms: u64) -> bool {
        self.state == State::Retained && now_ms.saturating_sub(self.since_ms) >= RETENTION_MS
    }

    /// Returns an entry that retains the id from `now_ms` on.
    pub(crate) fn retained_since(self, now_ms: u64) -> Self {
        Self {
            state: State::Retained,
            since_ms: now_ms,
            ..self
        }
    }

    pub(crate) fn encode(self) -> [u8; ENTRY_BYTES] {
        let (kind, owner) = match self.state {
            State::Open { owner, policy } => match policy {
                RepeatPolicy::Repeatable => (KIND_OPEN_REPEATABLE, owner.0),
                RepeatPolicy::RunOnce => (KIND_OPEN, owner.0),
            },
            State::Retained => (KIND_RETAINED, 0),
        };
        let state =
            self.since_ms << (KIND_BITS + OWNER_BITS) | u64::from(owner) << KIND_BITS | kind;
        let mut bytes = [0; ENTRY_BYTES];
        bytes[..8].copy_from_slice(&self.id.value().to_le_bytes());
        bytes[8..].copy_from_slice(&state.to_le_bytes());
        bytes
    }

    /// Decodes an entry; `None` for a free slot. An unknown state counts as retained.
    pub(crate) fn decode(bytes: &[u8; ENTRY_BYTES]) -> Option<Self> {
        let value = u128::from_le_bytes(*bytes);
        let id = IdHash::from_value(value as u64)?;
        let state = (value >> 64) as u64;
        let owner = OwnerId((state >> KIND_BITS) as u16);
        let open = |policy| State::Open { owner, policy };
        Some(Self {
            id,
            state: match state & KIND_MASK {
                KIND_OPEN_REPEATABLE => open(RepeatPolicy::Repeatable),
                KIND_OPEN => open(RepeatPolicy::RunOnce),
                _ => State::Retained,
            },
            since_ms: state >> (KIND_BITS + OWNER_BITS),
        })
    }
}
