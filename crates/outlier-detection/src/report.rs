//! Reports about servers that nodes send to each other.

/// Identifies one incarnation of a server. Every node derives the number in the same way from the server's id and start
/// time, so that reports about one incarnation do not apply to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u64);

/// How an attempt failed. The discriminant is the number in the encoded report.
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
    /// All kinds, in the order of their discriminants.
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

/// Decaying counts of failures by kind.
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

    /// The kind with the highest count; in a tie, the last of them in [`FailureKind::ALL`].
    pub fn most_frequent(&self) -> FailureKind {
        FailureKind::ALL
            .into_iter()
            .max_by(|a, b| self.0[*a as usize].total_cmp(&self.0[*b as usize]))
            .unwrap_or(FailureKind::ErrorResponse)
    }
}

/// The part of a report that concerns one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportEntry {
    pub server: ServerKey,
    /// Decayed count of failed attempts, in quarters of an attempt.
    pub failed_quarters: u8,
    /// Decayed count of succeeded attempts, in quarters of an attempt.
    pub succeeded_quarters: u8,
    pub failure_kind: FailureKind,
    /// Time since the last successful attempt, in tenths of a second; 255 also stands for any longer time.
    pub success_age_tenths: u8,
}

impl ReportEntry {
    /// Whether the entry reports the server as failing: some attempts failed, and at least as many as succeeded.
    pub fn is_failing(&self) -> bool {
        self.failed_quarters >= self.succeeded_quarters && self.failed_quarters > 0
    }
}

/// A report of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of servers at which the node recently made attempts. The report is implausible if it reports too large a
    /// fraction of them as failing.
    pub tried_servers: u16,
    pub entries: Vec<ReportEntry>,
}
