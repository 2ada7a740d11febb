//! The order in which connections are evicted when a new connection needs a slot.

use std::time::{Duration, Instant};

use crate::node::downstream::connection_table::tracked_connection::{
    Stage, TrackedConnection, REQUEST_ARRIVAL_TIME,
};

/// Time without received bytes after which a request's head has stalled. A client that writes a head slowly sends its chunks
/// at shorter intervals.
const HEAD_STALL_TIME: Duration = Duration::from_millis(500);
/// Minimum time that a connection must have been idle before it is closed without notice. Earlier, its client may be about
/// to send another request, which would cross the close; the close is announced in a response instead.
pub(super) const MIN_IDLE_BEFORE_CLOSE: Duration = Duration::from_secs(1);

/// Order of eviction: connections of the first variant are evicted first, and those that a client is more likely to need
/// follow later. A connection with a request in progress has no rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Lingering,
    /// No bytes have been received within [`REQUEST_ARRIVAL_TIME`] of the accept, or a head has been received in part and
    /// has stalled.
    Stalled,
    IdleAfterFirstRequest,
    IdleAfterReuse,
    JustConnected,
    /// A head makes progress. Ranked after new connections: many clients that connect must not evict clients that write
    /// slowly.
    ReceivingHead,
    SendingResponse,
}

/// Position in the order of eviction. Within a rank, the connection that has been in its stage for longest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    rank: Rank,
    stage_since: Instant,
}

impl EvictionOrder {
    /// Returns the position of a connection; `None` if it must not be evicted or has already been asked to close.
    pub(super) fn of(connection: &TrackedConnection, now: Instant) -> Option<Self> {
        if connection.is_close_requested() {
            return None;
        }
        let stage_since = connection.stage_since();
        let rank = match connection.stage() {
            Stage::ServingRequest => return None,
            Stage::Lingering => Rank::Lingering,
            Stage::New if now - stage_since >= REQUEST_ARRIVAL_TIME => Rank::Stalled,
            Stage::ReceivingHead if now - connection.last_received() >= HEAD_STALL_TIME => {
                Rank::Stalled
            }
            Stage::Idle if connection.request_count() <= 1 => Rank::IdleAfterFirstRequest,
            Stage::Idle => Rank::IdleAfterReuse,
            Stage::New => Rank::JustConnected,
            Stage::ReceivingHead => Rank::ReceivingHead,
            Stage::SendingResponse => Rank::SendingResponse,
        };
        Some(Self { rank, stage_since })
    }
}

/// Returns whether the connection may be closed without notice: it is not idle, or has been idle for at least
/// [`MIN_IDLE_BEFORE_CLOSE`].
pub(super) fn may_close_without_notice(connection: &TrackedConnection, now: Instant) -> bool {
    connection.stage() != Stage::Idle
        || now.saturating_duration_since(connection.stage_since()) >= MIN_IDLE_BEFORE_CLOSE
}
