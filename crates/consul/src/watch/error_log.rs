//! Which errors are logged: the first of a kind, and then only after it has not occurred for a
//! while.

use std::collections::HashMap;
use std::mem::Discriminant;

use super::event::PollError;

/// An error of one kind at one agent is logged again once it has not occurred for this long. It is
/// more than the longest delay between queries, so that an agent that fails for an hour is logged
/// once.
const QUIET_MS: f64 = 60_000.0;

/// When each kind of error last occurred at each agent. There are at most as many entries as agents
/// times kinds.
#[derive(Debug, Default)]
pub(super) struct ErrorLog {
    last_ms: HashMap<(usize, Discriminant<PollError>), f64>,
}

impl ErrorLog {
    /// Records an error; returns whether it is to be logged.
    pub fn record(&mut self, now_ms: f64, agent: usize, error: &PollError) -> bool {
        let kind = (agent, std::mem::discriminant(error));
        let before_ms = self.last_ms.insert(kind, now_ms);
        before_ms.is_none_or(|before_ms| now_ms - before_ms > QUIET_MS)
    }
}
