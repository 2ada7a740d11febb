//! Why datagrams and nodes are rejected, and the metrics that count it.

/// Why a datagram, or a node, was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// It does not have the layout of a datagram.
    Malformed,
    /// Its version is unknown.
    UnsupportedVersion,
    /// It belongs to another cluster.
    WrongCluster,
    /// Its seal does not match: another key, or a byte changed in transit.
    BadSeal,
    /// Its sequence number was received before, or is too old to tell.
    Replayed,
    /// It is for or from an earlier process of a node, or for an earlier incarnation.
    StaleIncarnation,
    /// Its source address is not among the peers'.
    UnknownSender,
    /// The receive rate limit was reached and reading paused. Counted once for each pause.
    RateLimited,
    /// The member table is full.
    TableFull,
}

impl RejectReason {
    /// All reasons, in the order of [`Metrics::rejected`](crate::Metrics::rejected).
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

    /// The last part of its metric's name, which is external and does not follow the name of the variant.
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
