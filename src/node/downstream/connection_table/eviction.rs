//! Which connection is evicted first when a new one needs a slot.

use std::time::{Duration, Instant};

use crate::node::downstream::connection_table::tracked_connection::{
    Stage, TrackedConnection, REQUEST_ARRIVAL_TIME,
};

/// A head of which nothing has been received for this long has stalled; the chunks of one that is written slowly follow each
/// other sooner.
const HEAD_STALL_TIME: Duration = Duration::from_millis(500);
/// An idle connection is closed without notice only after this long. Earlier its client may be about to send another
/// request, which would cross the close; it is told in a response instead.
pub(super) const MIN_IDLE_BEFORE_CLOSE: Duration = Duration::from_secs(1);

/// Order of eviction, the first variant first: what a client may still want comes last. A connection with a request in
/// progress has no rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Lingering,
    /// Nothing, or only a part of a head, has arrived, and nothing follows.
    Stalled,
    IdleAfterFirstRequest,
    IdleAfterReuse,
    JustConnected,
    /// A head makes progress. It ranks above silent connections: a crowd of these must not evict clients that write slowly.
    ReceivingHead,
    SendingResponse,
}

/// Position in the order of eviction: within a rank, the connection that has been in its stage for longest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    rank: Rank,
    stage_since: Instant,
}

impl EvictionOrder {
    /// The position of a connection; `None` if it must not be evicted or has already been asked to close.
    pub(super) fn of(connection: &TrackedConnection, now: Instant) -> Option<Self> {
        if connection.is_close_requested() {
            return None;
        }
        let stage_since = connection.stage_since();
        let rank = match connection.stage() {
            Stage::Request => return None,
            Stage::Lingering => Rank::Lingering,
            Stage::Silent if now - stage_since >= REQUEST_ARRIVAL_TIME => Rank::Stalled,
            Stage::Head if now - connection.last_received() >= HEAD_STALL_TIME => Rank::Stalled,
            Stage::Idle if connection.request_count() <= 1 => Rank::IdleAfterFirstRequest,
            Stage::Idle => Rank::IdleAfterReuse,
            Stage::Silent => Rank::JustConnected,
            Stage::Head => Rank::ReceivingHead,
            Stage::Response => Rank::SendingResponse,
        };
        Some(Self { rank, stage_since })
    }
}

/// Whether a connection may be closed without notice, as far as its idle time is concerned.
pub(super) fn may_close_without_notice(connection: &TrackedConnection, now: Instant) -> bool {
    connection.stage() != Stage::Idle
        || now.saturating_duration_since(connection.stage_since()) >= MIN_IDLE_BEFORE_CLOSE
}
