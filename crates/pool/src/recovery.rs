//! Recovery from a failed exchange: whether the request may have run, and whether its attempt continues.
//!
//! A server runs a request once it has received the last byte, and not before. That byte alone therefore
//! decides whether the request may have run, for each address family and each protocol.

/// Amount of a request that had been written to the operating system when its exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BytesSent {
    /// No byte.
    None,
    /// Some bytes, but not the last.
    Partial,
    /// The complete request.
    Complete,
}

/// Failure of a connection during an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionError {
    /// The connection was closed, or turned out to be closed already.
    Closed,
    /// The peer did not read more of the request in time.
    Stalled,
    /// The received bytes are not a response to the request, or the response stalled or is too large.
    InvalidResponse,
}

/// State of a connection at the beginning of its exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionAge {
    /// It had just been established.
    New,
    /// It had been idle.
    Idle,
}

/// Consequence of a failed exchange for its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Recovery {
    /// Nothing was sent and the address is not at fault: the attempt continues on any connection.
    AnyConnection,
    /// The request cannot have run: the attempt continues over another address. Without another address the
    /// server is unreachable.
    OtherAddress,
    /// The request may have run and there is no response: the attempt has failed.
    Reset,
    /// The request may have run and the response is unusable: the attempt has failed.
    Malformed,
}

impl Recovery {
    /// Whether the request may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Reset | Self::Malformed)
    }
}

/// Returns the consequence of a failed exchange for its attempt.
#[must_use]
pub fn recovery(age: ConnectionAge, sent: BytesSent, error: ConnectionError) -> Recovery {
    match (sent, error, age) {
        // An idle connection that turns out to be closed, or to hold unsolicited bytes, says nothing about its
        // address.
        (
            BytesSent::None,
            ConnectionError::Closed | ConnectionError::InvalidResponse,
            ConnectionAge::Idle,
        ) => Recovery::AnyConnection,
        // A failure of a new connection counts against the address, and so does a peer that stops reading, a
        // connection that fails during the request, and a peer that responds before it has the request.
        (BytesSent::None | BytesSent::Partial, ..) => Recovery::OtherAddress,
        (BytesSent::Complete, ConnectionError::Closed, _) => Recovery::Reset,
        (BytesSent::Complete, ConnectionError::InvalidResponse | ConnectionError::Stalled, _) => {
            Recovery::Malformed
        }
    }
}

#[cfg(test)]
mod tests;
