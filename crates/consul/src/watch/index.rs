//! Tracking of Consul's index, on which blocking queries wait and which versions the responses.

/// Tracks the index of successive responses.
#[derive(Debug, Default)]
pub(super) struct IndexTracker {
    /// The index on which the next query blocks; with 0 it does not block.
    pub blocking_index: u64,
    /// The index of the last response.
    last_index: u64,
    /// Increased whenever indexes are not comparable with earlier ones.
    pub epoch: u64,
    /// Whether there has been a response.
    has_response: bool,
}

impl IndexTracker {
    /// Records the index of a response; returns whether it is valid. According to Consul's
    /// documentation, a valid index is greater than zero, and the query that follows a decreased
    /// index must start at zero again.
    pub fn record(&mut self, index: u64, has_changes: bool) -> bool {
        let has_decreased = index < self.last_index;
        let is_unchanged_despite_changes =
            index == self.last_index && has_changes && self.has_response;
        self.epoch += u64::from(has_decreased || is_unchanged_despite_changes);
        self.last_index = index;
        self.blocking_index = if has_decreased { 0 } else { index };
        self.has_response = true;
        !(has_decreased || is_unchanged_despite_changes || index == 0)
    }

    /// Makes the next query return immediately, without blocking.
    pub fn reset_blocking(&mut self) {
        self.blocking_index = 0;
    }

    /// Whether the last response had an index.
    pub fn has_index(&self) -> bool {
        self.last_index > 0
    }
}
