//! A memory budget that all buffered bodies share.
//!
//! Owns the number of bytes that can still be reserved. Invariant: the bytes of all live reservations
//! and the available bytes add up to the size of the budget.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

/// A budget of bytes from which memory for buffers is reserved. Clones share one budget.
///
/// It bounds memory even when an ordinary number of messages arrives but each of them is long.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<AtomicUsize>);

impl MemoryBudget {
    /// Creates a budget of `bytes`, all of them available.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Reserves `bytes` until the reservation is dropped; `None` if fewer are available.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let subtract = |available: usize| available.checked_sub(bytes);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .ok()?;
        Some(Reservation {
            budget: self.clone(),
            bytes,
        })
    }

    /// Returns how many bytes can still be reserved.
    #[must_use]
    pub fn available(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Bytes reserved from a [`MemoryBudget`], returned to it on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Returns how many bytes are reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `additional` more bytes. Returns `false` and leaves the reservation unchanged if fewer
    /// are available.
    #[must_use]
    pub fn try_grow(&mut self, additional: usize) -> bool {
        let Some(mut growth) = self.budget.try_reserve(additional) else {
            return false;
        };
        self.bytes += std::mem::take(&mut growth.bytes);
        true
    }

    /// Attaches the reservation to `body`: it is released when the last slice of the returned bytes is
    /// dropped.
    #[must_use]
    pub fn attach_to(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// A body that owns the reservation of its memory.
struct ReservedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

#[cfg(test)]
mod tests;
