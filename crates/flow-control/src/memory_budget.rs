//! A memory budget that buffers share.
//!
//! Owns the number of bytes that can still be reserved. Invariant: the bytes of all live reservations
//! and the available bytes add up to the size of the budget.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A budget of bytes from which memory for buffers is reserved. Clones share one budget.
///
/// It bounds memory even when an ordinary number of messages arrives but each of them is long.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// One permit for each byte that is available.
    available: Arc<Semaphore>,
    total_bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`, all of them available. A budget cannot exceed an eighth of the
    /// address space.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        let total_bytes = bytes.min(Semaphore::MAX_PERMITS);
        Self {
            available: Arc::new(Semaphore::new(total_bytes)),
            total_bytes,
        }
    }

    /// Reserves `bytes` until the reservation is dropped; `None` if fewer are available.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = u32::try_from(bytes).ok()?;
        let permit = Arc::clone(&self.available)
            .try_acquire_many_owned(permits)
            .ok()?;
        Some(Reservation {
            budget: self.clone(),
            permit,
        })
    }

    /// Waits until `bytes` can be reserved, after all who have waited for longer; `None` if they exceed
    /// the whole budget.
    ///
    /// Cancel safe: a dropped future gives up its place and reserves nothing.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = u32::try_from(bytes)
            .ok()
            .filter(|_| bytes <= self.total_bytes)?;
        let permit = Arc::clone(&self.available)
            .acquire_many_owned(permits)
            .await
            .ok()?;
        Some(Reservation {
            budget: self.clone(),
            permit,
        })
    }

    /// Returns the size of the budget in bytes.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total_bytes
    }

    /// Returns how many bytes can still be reserved.
    #[must_use]
    pub fn available(&self) -> usize {
        self.available.available_permits()
    }
}

/// Bytes reserved from a [`MemoryBudget`], returned to it on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    permit: OwnedSemaphorePermit,
}

impl Reservation {
    /// Returns how many bytes are reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.permit.num_permits()
    }

    /// Reserves `additional` more bytes. Returns `false` and leaves the reservation unchanged if fewer
    /// are available.
    #[must_use]
    pub fn try_grow(&mut self, additional: usize) -> bool {
        let Some(growth) = self.budget.try_reserve(additional) else {
            return false;
        };
        self.permit.merge(growth.permit);
        true
    }

    /// Returns all but `bytes` to the budget; no effect if fewer are reserved.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes().saturating_sub(bytes);
        drop(self.permit.split(excess));
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
