//! Consul's index: what a blocking query waits on, and whether versions are comparable.

/// Follows the index of successive responses.
#[derive(Debug, Default)]
pub(super) struct IndexTracker {
    /// The index that the next query waits on; 0: it does not block.
    pub blocking_index: u64,
    /// The index of the last response.
    last_index: u64,
    /// Increased when versions are not comparable with earlier ones.
    pub epoch: u64,
    has_response: bool,
}

impl IndexTracker {
    /// Records the index of a response; returns whether it is valid. By Consul's published rules an
    /// index that goes back means that the next query starts at zero, and one that is not greater
    /// than zero is no index.
    pub fn record(&mut self, index: u64, has_changes: bool) -> bool {
        let went_back = index < self.last_index;
        let did_not_change = index == self.last_index && has_changes && self.has_response;
        self.epoch += u64::from(went_back || did_not_change);
        self.last_index = index;
        self.blocking_index = if went_back { 0 } else { index };
        self.has_response = true;
        !(went_back || did_not_change || index == 0)
    }

    /// Lets the next query return everything at once.
    pub fn reset_blocking(&mut self) {
        self.blocking_index = 0;
    }

    /// Whether the last response had an index at all.
    pub fn has_index(&self) -> bool {
        self.last_index > 0
    }
}
