//! The table of a process that accepts its clients alone.

use std::collections::hash_map::Entry as MapEntry;
use std::collections::{HashMap, VecDeque};

use crate::{IdHash, RequestEnd, ReserveError, RETENTION_MS};

/// State of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Retained,
}

/// The ids of a process, up to a maximum number.
#[derive(Debug)]
pub struct LocalTable {
    max_ids: usize,
    ids: HashMap<IdHash, State>,
    /// The retained ids and the time in milliseconds since which each is; the oldest first.
    retained: VecDeque<(u64, IdHash)>,
}

impl LocalTable {
    /// Creates an empty table of at most this number of ids.
    #[must_use]
    pub fn new(max_ids: usize) -> Self {
        Self {
            max_ids,
            ids: HashMap::new(),
            retained: VecDeque::new(),
        }
    }

    /// Number of open and retained ids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is open or retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Reserves the id of a request.
    ///
    /// # Errors
    ///
    /// The id is open or retained, or the table is full.
    pub fn reserve(&mut self, id: IdHash, now_ms: u64) -> Result<(), ReserveError> {
        self.remove_expired(now_ms);
        let is_full = self.ids.len() >= self.max_ids;
        match self.ids.entry(id) {
            MapEntry::Occupied(_) => Err(ReserveError::InUse),
            MapEntry::Vacant(_) if is_full => Err(ReserveError::Full),
            MapEntry::Vacant(vacant) => {
                vacant.insert(State::Open);
                Ok(())
            }
        }
    }

    /// Ends the request that has reserved an id.
    pub fn end(&mut self, id: IdHash, end: RequestEnd, now_ms: u64) {
        let MapEntry::Occupied(mut entry) = self.ids.entry(id) else {
            return;
        };
        if *entry.get() == State::Retained {
            return;
        }
        match end {
            RequestEnd::Released => {
                entry.remove();
            }
            RequestEnd::MayHaveRun => {
                entry.insert(State::Retained);
                self.retained.push_back((now_ms, id));
            }
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((since_ms, id)) = self.retained.front().copied() {
            if now_ms.saturating_sub(since_ms) < RETENTION_MS {
                return;
            }
            self.retained.pop_front();
            self.ids.remove(&id);
        }
    }
}
