//! The layout of a shared table: a header, followed by buckets.

use std::fmt;

use crate::{HashKey, IdHash, OwnerId, BUCKET_BYTES};

/// Size of the header, and offset of the first bucket.
pub const HEADER_BYTES: usize = BUCKET_BYTES;

const MAGIC: &[u8; 8] = b"reqids\0\0";
/// Version of the layout. Processes share a table only if they know its version.
const VERSION: u64 = 1;
/// Maximum number of buckets that a process accepts in the header of a table that another one has created.
const MAX_BUCKETS: u64 = 1 << 20;
/// Offset of the first byte that a process locks: larger than the offset of any bucket.
const OWNER_LOCKS_OFFSET: u64 = 1 << 40;

const MAGIC_AT: usize = 0;
const VERSION_AT: usize = 8;
const BUCKET_COUNT_AT: usize = 16;
const KEY_AT: usize = 24;
const NEXT_OWNER_AT: usize = 40;

/// Error in the header of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The file does not begin with a header.
    NotATable,
    /// The layout has a version that this program does not know.
    UnknownVersion(u64),
    /// The number of buckets is out of range.
    InvalidLength,
}

impl fmt::Display for HeaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotATable => f.write_str("not a table of request ids"),
            Self::UnknownVersion(version) => {
                write!(f, "unknown version {version} of the table of request ids")
            }
            Self::InvalidLength => f.write_str("invalid length of the table of request ids"),
        }
    }
}

impl std::error::Error for HeaderError {}

/// Positions of the parts of a table in its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    bucket_count: u64,
}

impl Layout {
    /// The largest table in this number of bytes, with at least one bucket.
    #[must_use]
    pub fn within(bytes: usize) -> Self {
        let buckets = (bytes.saturating_sub(HEADER_BYTES) / BUCKET_BYTES) as u64;
        Self {
            bucket_count: buckets.clamp(1, MAX_BUCKETS),
        }
    }

    /// Length of the file, in bytes.
    #[must_use]
    pub fn file_bytes(self) -> u64 {
        HEADER_BYTES as u64 + self.bucket_count * BUCKET_BYTES as u64
    }

    /// Offset of the bucket of an id. The byte at this offset is locked for an access to the bucket.
    #[must_use]
    pub fn bucket_offset(self, id: IdHash) -> u64 {
        HEADER_BYTES as u64 + id.value() % self.bucket_count * BUCKET_BYTES as u64
    }

    /// Offset of the byte that a process locks for as long as it runs.
    #[must_use]
    pub fn owner_lock_offset(owner: OwnerId) -> u64 {
        OWNER_LOCKS_OFFSET + u64::from(owner.0)
    }
}

/// The header of a table. Its first byte is locked for an access to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Positions of the parts of the table.
    pub layout: Layout,
    /// The key of the hashes.
    pub key: HashKey,
    /// The number of the next process that uses the table.
    pub next_owner: OwnerId,
}

impl Header {
    /// The header of a new table.
    #[must_use]
    pub fn new(layout: Layout, key: HashKey) -> Self {
        Self {
            layout,
            key,
            next_owner: OwnerId(0),
        }
    }

    /// Takes the number of a process that begins to use the table.
    pub fn take_owner(&mut self) -> OwnerId {
        let owner = self.next_owner;
        self.next_owner = OwnerId(owner.0.wrapping_add(1));
        owner
    }

    /// Encodes the header.
    #[must_use]
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[MAGIC_AT..MAGIC_AT + 8].copy_from_slice(MAGIC);
        let [first, second] = self.key.0;
        for (at, value) in [
            (VERSION_AT, VERSION),
            (BUCKET_COUNT_AT, self.layout.bucket_count),
            (KEY_AT, first),
            (KEY_AT + 8, second),
            (NEXT_OWNER_AT, u64::from(self.next_owner.0)),
        ] {
            bytes[at..at + 8].copy_from_slice(&value.to_le_bytes());
        }
        bytes
    }

    /// Decodes the header of a file of this length.
    ///
    /// # Errors
    ///
    /// See [`HeaderError`].
    pub fn decode(bytes: &[u8; HEADER_BYTES], file_bytes: u64) -> Result<Self, HeaderError> {
        let value = |at: usize| {
            bytes[at..]
                .first_chunk()
                .copied()
                .map_or(0, u64::from_le_bytes)
        };
        if &bytes[MAGIC_AT..MAGIC_AT + 8] != MAGIC {
            return Err(HeaderError::NotATable);
        }
        if value(VERSION_AT) != VERSION {
            return Err(HeaderError::UnknownVersion(value(VERSION_AT)));
        }
        let layout = Layout {
            bucket_count: value(BUCKET_COUNT_AT),
        };
        let is_in_range = (1..=MAX_BUCKETS).contains(&layout.bucket_count);
        if !is_in_range || layout.file_bytes() != file_bytes {
            return Err(HeaderError::InvalidLength);
        }
        Ok(Self {
            layout,
            key: HashKey([value(KEY_AT), value(KEY_AT + 8)]),
            next_owner: OwnerId(value(NEXT_OWNER_AT) as u16),
        })
    }
}
