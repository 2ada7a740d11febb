//! The course of a drain: a node that goes on serving while its clients move to other nodes, and may accept them again.

/// How long after the begin of a drain responses leave their connections open. The platform's front proxy polls the
/// node's readiness ten times a second and goes on assigning new connections for a while after the first negative
/// answer: a client sent away at once would come straight back.
pub const CLOSE_AFTER_RESPONSE_DELAY_MS: f64 = 400.0;

/// How long after the begin of a drain idle connections are closed, too. By then all clients that send requests have
/// had their last response. No request may be accepted on an old connection later than 2 s after the begin; the rest
/// is margin.
pub const CLOSE_IDLE_DELAY_MS: f64 = 1_400.0;

/// How long a client's connection may stay open. Ordered: a greater policy closes connections sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPolicy {
    /// As long as the client wants.
    KeepAlive,
    /// Until the next response.
    CloseAfterResponse,
    /// Until the response to the request that is in flight; an idle connection is closed at once.
    CloseIdle,
}

/// How far a drain is. The default: the node does not drain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drain {
    began_ms: Option<f64>,
}

impl Drain {
    /// Begins to send clients away. A drain that is under way goes on and does not start anew.
    pub fn begin(&mut self, now_ms: f64) {
        self.began_ms.get_or_insert(now_ms);
    }

    /// Ends the drain: clients are accepted again.
    pub fn cancel(&mut self) {
        self.began_ms = None;
    }

    /// Whether new clients should be sent to this node.
    #[must_use]
    pub fn accepts_new_clients(&self) -> bool {
        self.began_ms.is_none()
    }

    /// How long clients' connections may stay open.
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
