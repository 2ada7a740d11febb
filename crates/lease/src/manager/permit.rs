//! The permission to act on a shard, checked at the moment of acting.

use std::marker::PhantomData;

use crate::identity::{FencingToken, Shard};
use crate::manager::LeaseManager;

/// The permission to act on a shard now. It is requested again before each step with an effect.
///
/// It cannot be made outside of this crate and lives no longer than the borrow of the manager that
/// gave it, so no event can be handled while a permit exists.
///
/// ```compile_fail,E0502
/// fn act(leases: &mut lease::LeaseManager) {
///     let permit = leases.permit(0.0, 0);
///     leases.handle(1.0, lease::Event::TimerExpired, &mut Vec::new());
///     drop(permit); // It would outlive what may have ended it.
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

    /// When the effect has to be complete, by this node's clock in milliseconds.
    #[must_use]
    pub fn expires_ms(&self) -> f64 {
        self.expires_ms
    }

    /// Whether the lease is still valid at this time, by this node's clock in milliseconds: checked
    /// right before what cannot be undone.
    #[must_use]
    pub fn is_valid_at(&self, now_ms: f64) -> bool {
        now_ms < self.expires_ms
    }
}
