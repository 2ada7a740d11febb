//! A queue of events in virtual time, ordered by time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event in the queue. Ordered by time, then by the order of insertion.
struct QueuedEvent<T> {
    at_ms: f64,
    serial: u64,
    event: T,
}

impl<T> PartialEq for QueuedEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for QueuedEvent<T> {}

impl<T> PartialOrd for QueuedEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedEvent<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at_ms
            .total_cmp(&other.at_ms)
            .then(self.serial.cmp(&other.serial))
    }
}

/// Pending events and the virtual time.
pub struct EventQueue<T> {
    /// Time of the last event taken, in milliseconds.
    pub now_ms: f64,
    next_serial: u64,
    events: BinaryHeap<Reverse<QueuedEvent<T>>>,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            now_ms: 0.0,
            next_serial: 0,
            events: BinaryHeap::new(),
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event that becomes due `after_ms` after the current time.
    pub fn push(&mut self, after_ms: f64, event: T) {
        self.next_serial += 1;
        self.events.push(Reverse(QueuedEvent {
            at_ms: self.now_ms + after_ms,
            serial: self.next_serial,
            event,
        }));
    }

    /// Takes the next event that is due at or before `end_ms` and advances the time to it. Returns `None` if there is no such
    /// event; a later event may then have been dropped, so the queue must not be used any more.
    pub fn next_until(&mut self, end_ms: f64) -> Option<T> {
        let Reverse(next) = self.events.pop()?;
        if next.at_ms > end_ms {
            return None;
        }
        self.now_ms = next.at_ms;
        Some(next.event)
    }
}
