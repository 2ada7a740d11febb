//! Keyed hashes, which stand for ids in the tables.

use std::hash::Hasher;
use std::num::NonZeroU64;

use siphasher::sip::SipHasher24;

/// The hash of an id. It is never zero, which marks a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(NonZeroU64);

impl IdHash {
    /// The hash with this value; `None` for zero.
    pub(crate) fn from_value(value: u64) -> Option<Self> {
        NonZeroU64::new(value).map(Self)
    }

    /// The hash as a number.
    #[must_use]
    pub fn value(self) -> u64 {
        self.0.get()
    }
}

/// The random key of the hashes in a table, so that clients cannot choose ids with equal hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HashKey(pub [u64; 2]);

impl HashKey {
    /// Hashes an id, with `SipHash-2-4`.
    #[must_use]
    pub fn hash(self, id: &[u8]) -> IdHash {
        let [first, second] = self.0;
        let mut hasher = SipHasher24::new_with_keys(first, second);
        hasher.write(id);
        IdHash(NonZeroU64::new(hasher.finish()).unwrap_or(NonZeroU64::MIN))
    }
}
