//! Reasons for which datagrams and nodes are rejected, and the names of their metrics.

/// The reason for which a datagram or a node was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The bytes do not have the layout of a datagram.
    Malformed,
    /// The datagram has an unknown version.
    UnsupportedVersion,
    /// The datagram is from another cluster.
    WrongCluster,
    /// The seal does not match: the sender has another key, or a byte was changed in transit.
    BadSeal,
    /// The sequence number was received before, or is too old to tell.
    Replayed,
    /// The datagram is not addressed to this process, or is not from the current process and
    /// incarnation of its sender. Also counts datagrams of this node itself, and first datagrams
    /// that do not introduce their sender.
    StaleIncarnation,
    /// The source address is not a peer's address.
    UnknownSender,
    /// The receive rate limit was reached and reading paused. Counted once for each pause.
    RateLimited,
    /// The member table is full of live nodes, so that a new node was rejected.
    TableFull,
}

impl RejectReason {
    /// All reasons, in the order of the counters in
    /// [`Metrics::rejected`](crate::Metrics::rejected).
    pub const ALL: [Self; 9] = [
        Self::Malformed,
        Self::UnsupportedVersion,
        Self::WrongCluster,
        Self::BadSeal,
        Self::Replayed,
        Self::StaleIncarnation,
        Self::UnknownSender,
        Self::RateLimited,
        Self::TableFull,
    ];

    /// The last part of the name of the metric that counts this reason. It is external, and does not
    /// follow the name of the variant.
    #[must_use]
    pub fn metric_name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnsupportedVersion => "version",
            Self::WrongCluster => "fleet",
            Self::BadSeal => "seal",
            Self::Replayed => "replayed",
            Self::StaleIncarnation => "other_life",
            Self::UnknownSender => "stranger",
            Self::RateLimited => "flood",
            Self::TableFull => "full",
        }
    }
}
