//! Drain state: a draining node continues to serve while its clients move to other nodes. A drain can be cancelled.

/// Time from the start of a drain until responses close their connections, in milliseconds. The platform's front proxy
/// polls the node's readiness ten times a second and continues to assign new connections for a while after the first
/// negative answer. A client whose connection closed earlier would reconnect to this node.
pub const CLOSE_AFTER_RESPONSE_DELAY_MS: f64 = 400.0;

/// Time from the start of a drain until idle connections are closed as well, in milliseconds. By then, every client
/// that keeps sending requests has received a response that closes its connection. Requests on old connections must not
/// be accepted later than 2 s after the start; the difference is a margin.
pub const CLOSE_IDLE_DELAY_MS: f64 = 1_400.0;

/// Limit on the time for which a client's connection stays open. Variants are ordered: a greater policy closes
/// connections sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPolicy {
    /// As long as the client keeps it open.
    KeepAlive,
    /// Until the next response.
    CloseAfterResponse,
    /// Until the response to the request that is in flight; an idle connection is closed at once.
    CloseIdle,
}

/// Drain state of a node. By default, the node does not drain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    began_ms: Option<f64>,
}

impl Drain {
    /// Starts a drain. A drain in progress keeps its start time.
    pub fn begin(&mut self, now_ms: f64) {
        self.began_ms.get_or_insert(now_ms);
    }

    /// Cancels the drain: load balancers in front of the node should send new clients to it again, and connections are
    /// kept open.
    pub fn cancel(&mut self) {
        self.began_ms = None;
    }

    /// Whether load balancers in front of the node should send new clients to it.
    #[must_use]
    pub fn accepts_new_clients(&self) -> bool {
        self.began_ms.is_none()
    }

    /// The policy for client connections at `now_ms`.
    #[must_use]
    pub fn connection_policy(&self, now_ms: f64) -> ConnectionPolicy {
        match self.began_ms.map(|began_ms| now_ms - began_ms) {
            None => ConnectionPolicy::KeepAlive,
            Some(elapsed) if elapsed < CLOSE_AFTER_RESPONSE_DELAY_MS => ConnectionPolicy::KeepAlive,
            Some(elapsed) if elapsed < CLOSE_IDLE_DELAY_MS => ConnectionPolicy::CloseAfterResponse,
            Some(_) => ConnectionPolicy::CloseIdle,
        }
    }
}

#[cfg(test)]
mod tests;
