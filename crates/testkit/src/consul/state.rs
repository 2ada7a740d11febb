//! State of a fake agent: versions of its catalog, faults, and recorded queries and responses.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Catalog, Fault, RecordedResponse};

/// A version of the catalog, with the time of its change; `None` for the initial version.
pub(super) struct Version {
    pub since: Option<Instant>,
    pub catalog: Arc<Catalog>,
}

#[derive(Default)]
pub(super) struct State {
    pub versions: VecDeque<Version>,
    pub fault: Fault,
    pub lag: Duration,
    pub is_unreachable: bool,
    pub token: Option<String>,
    pub queries: Vec<String>,
    pub query_count: usize,
    pub responses: Vec<RecordedResponse>,
    pub is_recording: bool,
    pub connections: Vec<TcpStream>,
}

impl State {
    pub fn newest(&self) -> &Arc<Catalog> {
        &self
            .versions
            .back()
            .expect("the history always contains a version")
            .catalog
    }

    /// Returns the catalog that queries see: the newest version that is at least as old as the lag, or else the oldest.
    pub fn visible(&self) -> &Arc<Catalog> {
        let is_visible = |version: &&Version| {
            version
                .since
                .is_none_or(|since| since.elapsed() >= self.lag)
        };
        let visible = self.versions.iter().rev().find(is_visible);
        let visible = visible.or(self.versions.front());
        &visible
            .expect("the history always contains a version")
            .catalog
    }
}
