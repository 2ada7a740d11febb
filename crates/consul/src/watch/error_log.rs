//! Suppression of repeated errors in the log.

use std::collections::HashMap;
use std::mem::Discriminant;

use super::event::PollError;

/// Time for which a kind of error must not have occurred at an agent before it is logged again, in
/// milliseconds. It exceeds the longest delay between queries, so that an agent that fails for an
/// hour is logged once.
const RELOG_AFTER_MS: f64 = 60_000.0;

/// When each kind of error last occurred at each agent. It has at most one entry for each agent and
/// kind of error.
#[derive(Debug, Default)]
pub(super) struct ErrorLog {
    last_occurrence_ms: HashMap<(usize, Discriminant<PollError>), f64>,
}

impl ErrorLog {
    /// Records an error; returns whether the caller should log it.
    pub fn record(&mut self, now_ms: f64, agent: usize, error: &PollError) -> bool {
        let kind = (agent, std::mem::discriminant(error));
        let previous_ms = self.last_occurrence_ms.insert(kind, now_ms);
        previous_ms.is_none_or(|previous_ms| now_ms - previous_ms > RELOG_AFTER_MS)
    }
}
