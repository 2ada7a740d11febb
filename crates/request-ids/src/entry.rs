//! What a table knows of an id.

use crate::IdHash;

/// Time for which the id of a request that may have run is kept after its end, in milliseconds.
pub const RETENTION_MS: u64 = 60_000;

/// Size of an entry in a bucket.
pub(crate) const ENTRY_BYTES: usize = 16;

const KIND_BITS: u32 = 4;
const OWNER_BITS: u32 = 16;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;
const KIND_OPEN_REPEATABLE: u64 = 0;
const KIND_OPEN: u64 = 1;
const KIND_KEPT: u64 = 2;

/// Whether a request may run again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Its repeat is harmless.
    Repeatable,
    /// It must not run again.
    RunOnce,
}

/// The number of a process among those that have shared a table.
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
    Kept,
}

/// What an entry means for its id now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// The id is rejected.
    InUse,
    /// The id is rejected. It was open at a process that has ended, so the entry becomes [`State::Kept`].
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
    /// Returns what the entry means at `now_ms`. `is_running` tells whether a process is still running.
    pub(crate) fn standing(
        &self,
        now_ms: u64,
        is_running: impl FnOnce(OwnerId) -> bool,
    ) -> Standing {
        match self.state {
            State::Kept if self.is_past_retention(now_ms) => Standing::Expired,
            State::Kept => Standing::InUse,
            State::Open { owner, policy } => match policy {
                _ if is_running(owner) => Standing::InUse,
                RepeatPolicy::RunOnce => Standing::Orphaned,
                RepeatPolicy::Repeatable => Standing::Expired,
            },
        }
    }

    /// Whether the entry is of a kept id whose time is over.
    pub(crate) fn is_past_retention(&self, now_ms: u64) -> bool {
        self.state == State::Kept && now_ms.saturating_sub(self.since_ms) >= RETENTION_MS
    }

    /// The same id, kept from `now_ms` on.
    pub(crate) fn kept_since(self, now_ms: u64) -> Self {
        Self {
            state: State::Kept,
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
            State::Kept => (KIND_KEPT, 0),
        };
        let state =
            self.since_ms << (KIND_BITS + OWNER_BITS) | u64::from(owner) << KIND_BITS | kind;
        let mut bytes = [0; ENTRY_BYTES];
        bytes[..8].copy_from_slice(&self.id.value().to_le_bytes());
        bytes[8..].copy_from_slice(&state.to_le_bytes());
        bytes
    }

    /// Decodes an entry; `None` for a free slot. An unknown state counts as kept.
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
                _ => State::Kept,
            },
            since_ms: state >> (KIND_BITS + OWNER_BITS),
        })
    }
}
