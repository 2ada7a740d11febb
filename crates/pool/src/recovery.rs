//! What follows a failed exchange: whether the request may have run, and whether its attempt goes on.
//!
//! A server runs a request once it has its last byte, and not before. That alone decides whether the
//! request may have run, for each kind of address and each protocol.

/// How much of a request had been handed to the operating system when its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BytesSent {
    /// No byte.
    None,
    /// Some bytes, without the last.
    Partial,
    /// The complete request.
    Complete,
}

/// How a connection failed during an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionError {
    /// It ended, or was found to have ended.
    Closed,
    /// The peer read nothing more of the request for too long.
    Stalled,
    /// What arrived is no response to the request, stalled, or is too large.
    InvalidResponse,
}

/// What a connection was when the exchange began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionAge {
    /// It had just come up.
    New,
    /// It had carried an exchange, or had been idle.
    Reused,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Recovery {
    /// Nothing was sent and nothing speaks against the address: the attempt continues on any connection.
    AnyConnection,
    /// The request cannot have run: the attempt continues by another address. Without one the server is
    /// unreachable.
    OtherAddress,
    /// The request may have run and there is no response: the attempt is over.
    Reset,
    /// The request may have run and the response is unusable: the attempt is over.
    Malformed,
}

impl Recovery {
    /// Whether the request may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Reset | Self::Malformed)
    }
}

/// Decides what follows a failed exchange.
#[must_use]
pub fn recovery(age: ConnectionAge, sent: BytesSent, error: ConnectionError) -> Recovery {
    match (sent, error, age) {
        // A reused connection that is found closed, or with bytes on it, says nothing about its address ...
        (
            BytesSent::None,
            ConnectionError::Closed | ConnectionError::InvalidResponse,
            ConnectionAge::Reused,
        ) => Recovery::AnyConnection,
        // ... a new one does, and so does one on which the peer reads nothing.
        (BytesSent::None | BytesSent::Partial, ..) => Recovery::OtherAddress,
        (BytesSent::Complete, ConnectionError::Closed, _) => Recovery::Reset,
        (BytesSent::Complete, ConnectionError::InvalidResponse | ConnectionError::Stalled, _) => {
            Recovery::Malformed
        }
    }
}

#[cfg(test)]
mod tests;
