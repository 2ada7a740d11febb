//! The permission to act on a shard, checked when the process acts.

use std::marker::PhantomData;

use crate::identity::{FencingToken, Shard};
use crate::manager::LeaseManager;

/// The permission to act on a shard now. The caller requests a new one before each step that has an
/// effect.
///
/// It cannot be constructed outside of this crate, and it borrows the manager that issued it, so no
/// event can be handled while a permit exists.
///
/// ```compile_fail,E0502
/// fn act(leases: &mut lease::LeaseManager) {
///     let permit = leases.permit(0.0, 0);
///     leases.handle(1.0, lease::Event::TimerExpired, &mut Vec::new());
///     drop(permit); // The event may have ended the ownership.
/// }
/// ```
///
/// ```compile_fail,E0451
/// let permit = lease::Permit {
///     shard: 0,
///     token: lease::FencingToken(1),
///     expires_ms: 1e9,
///     manager: std::marker::PhantomData,
/// };
/// ```
#[derive(Debug)]
pub struct Permit<'a> {
    shard: Shard,
    token: FencingToken,
    expires_ms: f64,
    manager: PhantomData<&'a LeaseManager>,
}

impl Permit<'_> {
    pub(super) fn new(shard: Shard, token: FencingToken, expires_ms: f64) -> Self {
        Self {
            shard,
            token,
            expires_ms,
            manager: PhantomData,
        }
    }

    /// The shard.
    #[must_use]
    pub fn shard(&self) -> Shard {
        self.shard
    }

    /// The token that the effect has to carry.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The time by which the effect has to be complete, in milliseconds of this node's clock.
    #[must_use]
    pub fn expires_ms(&self) -> f64 {
        self.expires_ms
    }

    /// Whether the lease is still valid at a time, in milliseconds of this node's clock. To be
    /// checked immediately before a step that cannot be undone.
    #[must_use]
    pub fn is_valid_at(&self, now_ms: f64) -> bool {
        now_ms < self.expires_ms
    }
}
