//! What one node reports about servers.

/// One incarnation of a server: a number that every node derives in the same way from the server's id and start time, so
/// that reports about one incarnation say nothing about the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u64);

/// How an attempt failed. The discriminant is the number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureKind {
    /// The server responded with an error.
    ErrorResponse,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the response was malformed.
    ConnectionBroken,
    /// The server did not respond in time.
    TimedOut,
}

impl FailureKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 4] = [
        Self::ErrorResponse,
        Self::Unreachable,
        Self::ConnectionBroken,
        Self::TimedOut,
    ];

    /// The name in the admin protocol.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ErrorResponse => "error",
            Self::Unreachable => "unreachable",
            Self::ConnectionBroken => "broken",
            Self::TimedOut => "silent",
        }
    }
}

/// Weighted counts of failures by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureCounts([f64; FailureKind::ALL.len()]);

impl FailureCounts {
    pub fn add(&mut self, kind: FailureKind, count: f64) {
        self.0[kind as usize] += count;
    }

    pub fn scale(&mut self, factor: f64) {
        for count in &mut self.0 {
            *count *= factor;
        }
    }

    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// The kind with the highest count; of equal ones the last.
    pub fn most_frequent(&self) -> FailureKind {
        FailureKind::ALL
            .into_iter()
            .max_by(|a, b| self.0[*a as usize].total_cmp(&self.0[*b as usize]))
            .unwrap_or(FailureKind::ErrorResponse)
    }
}

/// What a node reports about one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportEntry {
    pub server: ServerKey,
    /// Recent attempts that failed, in quarters of an attempt.
    pub failed_quarters: u8,
    /// Recent attempts that succeeded, in quarters of an attempt.
    pub succeeded_quarters: u8,
    pub failure_kind: FailureKind,
    /// How long ago the last attempt succeeded, in tenths of a second; 255 stands for any longer time.
    pub success_age_tenths: u8,
}

impl ReportEntry {
    /// Whether the node finds the server failing: at least as many attempts failed as succeeded.
    pub fn is_failing(&self) -> bool {
        self.failed_quarters >= self.succeeded_quarters && self.failed_quarters > 0
    }
}

/// All that a node reports at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The number of servers that the node tried recently. The fraction of them that it finds failing tells whether its
    /// report is plausible.
    pub tried: u16,
    pub entries: Vec<ReportEntry>,
}
