//! What is due when, in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Time and number, by which what is due is in order.
struct At<T>(f64, u64, T);

impl<T> PartialEq for At<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for At<T> {}

impl<T> PartialOrd for At<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for At<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// What is due, in order of time and then of when it was asked for, and the time of what came last.
pub struct Agenda<T> {
    /// In milliseconds.
    pub now: f64,
    serial: u64,
    due: BinaryHeap<Reverse<At<T>>>,
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Self {
            now: 0.0,
            serial: 0,
            due: BinaryHeap::new(),
        }
    }
}

impl<T> Agenda<T> {
    /// Something is due so much later.
    pub fn push(&mut self, after_ms: f64, due: T) {
        self.serial += 1;
        self.due
            .push(Reverse(At(self.now + after_ms, self.serial, due)));
    }

    /// What is due next, if that is before the end; its time is now, then.
    pub fn next_before(&mut self, end_ms: f64) -> Option<T> {
        let Reverse(At(at, _, due)) = self.due.pop()?;
        if at > end_ms {
            return None;
        }
        self.now = at;
        Some(due)
    }
}
