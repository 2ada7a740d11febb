//! Counters of the attempts that a process sends to servers, by their result, and of the connections that they use.

use std::fmt::Write;

use crate::metrics::Counter;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A successful response.
    Served,
    /// A response that reports a fault of the request.
    ClientError,
    /// An error response.
    Error,
    /// The server declined the request, which never ran.
    Declined,
    /// No response in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection broke after the request had been sent.
    Reset,
    /// The response is not valid.
    Malformed,
    /// The node cancelled the attempt.
    Cancelled,
    /// The request was not sent.
    NotSent,
}

impl AttemptEnd {
    const ALL: [Self; 10] = [
        Self::Served,
        Self::ClientError,
        Self::Error,
        Self::Declined,
        Self::TimedOut,
        Self::Unreachable,
        Self::Reset,
        Self::Malformed,
        Self::Cancelled,
        Self::NotSent,
    ];

    /// The name in metrics and log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::ClientError => "client_error",
            Self::Error => "error",
            Self::Declined => "declined",
            Self::TimedOut => "timed_out",
            Self::Unreachable => "unreachable",
            Self::Reset => "reset",
            Self::Malformed => "malformed",
            Self::Cancelled => "cancelled",
            Self::NotSent => "not_sent",
        }
    }
}

/// Counters of attempts and of connections to servers. They start at zero.
#[derive(Debug, Default)]
pub struct UpstreamMetrics {
    ended_attempts: [Counter; AttemptEnd::ALL.len()],
    /// Attempts after the first of their requests.
    pub retries: Counter,
    /// Connections that were established.
    pub connections: Counter,
    /// Connections on which bytes arrived before the last byte of a request was written.
    pub unsolicited_bytes: Counter,
}

impl UpstreamMetrics {
    /// Counts the end of an attempt.
    pub fn record_end(&self, end: AttemptEnd) {
        self.ended_attempts[end as usize].increment();
    }

    /// Number of attempts that ended in this way.
    #[must_use]
    pub fn ended(&self, end: AttemptEnd) -> u64 {
        self.ended_attempts[end as usize].get()
    }

    /// Renders the metrics in statsd format, one per line.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for end in AttemptEnd::ALL {
            let (name, value) = (end.name(), self.ended(end));
            let _ = writeln!(text, "edge_router.attempts_ended.{name}:{value}|c");
            // Writing to a string cannot fail.
        }
        let counters = [
            ("retries", &self.retries),
            ("server_connections", &self.connections),
            ("unsolicited_bytes", &self.unsolicited_bytes),
        ];
        for (name, counter) in counters {
            let value = counter.get();
            let _ = writeln!(text, "edge_router.{name}:{value}|c"); // Writing to a string cannot fail.
        }
        text
    }
}

#[cfg(test)]
mod tests;
