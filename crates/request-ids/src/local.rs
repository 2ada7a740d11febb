//! The table of a process that accepts its clients alone.

use std::collections::hash_map::Entry as MapEntry;
use std::collections::{HashMap, VecDeque};

use crate::{IdHash, RequestEnd, ReserveError, RETENTION_MS};

/// State of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Kept,
}

/// The ids of a process, up to a maximum number.
#[derive(Debug)]
pub struct LocalTable {
    max_ids: usize,
    ids: HashMap<IdHash, State>,
    /// The kept ids and when each was, in milliseconds; the oldest first.
    kept: VecDeque<(u64, IdHash)>,
}

impl LocalTable {
    /// An empty table with room for this number of ids.
    #[must_use]
    pub fn new(max_ids: usize) -> Self {
        Self {
            max_ids,
            ids: HashMap::new(),
            kept: VecDeque::new(),
        }
    }

    /// Number of open and kept ids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is open or kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Reserves the id of a request.
    ///
    /// # Errors
    ///
    /// The id is open or kept, or there is no room for it.
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
        if *entry.get() == State::Kept {
            return;
        }
        match end {
            RequestEnd::Released => {
                entry.remove();
            }
            RequestEnd::MayHaveRun => {
                entry.insert(State::Kept);
                self.kept.push_back((now_ms, id));
            }
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((since_ms, id)) = self.kept.front().copied() {
            if now_ms.saturating_sub(since_ms) < RETENTION_MS {
                return;
            }
            self.kept.pop_front();
            self.ids.remove(&id);
        }
    }
}
