//! Request counters by class, and their text form for collectors.
//!
//! Invariant: at every moment the accepted requests of a class are those that ended, in one of four ways, and those
//! that are in flight. It holds by construction: whoever accepts a request holds an [`InFlightRequest`], which ends once.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// A counter; its clones count into the same value.
#[derive(Clone, Debug, Default)]
pub struct Counter(Rc<Cell<u64>>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    fn decrement(&self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a server's response.
    Served,
    /// Rejected before it had any effect; a retry is harmless.
    Rejected,
    /// In any other way.
    Failed,
}

/// The counters of one class.
#[derive(Debug, Default)]
struct ClassMetrics {
    name: String,
    accepted: Counter,
    served: Counter,
    rejected: Counter,
    failed: Counter,
    /// The client left before its response.
    abandoned: Counter,
    in_flight: Counter,
    /// Attempts whose last byte was sent to a server.
    attempts: Counter,
}

impl ClassMetrics {
    fn ended(&self) -> u64 {
        [&self.served, &self.rejected, &self.failed, &self.abandoned]
            .map(Counter::get)
            .iter()
            .sum()
    }
}

/// Gauges that are measured outside of this crate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerGauges {
    /// Servers in the endpoint list.
    pub known: usize,
    /// Those of them to which the node sends no ordinary requests: draining or ejected.
    pub excluded: usize,
}

/// The request counters of a process, from zero at its start.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<Rc<ClassMetrics>>,
}

impl Metrics {
    /// Counters for classes of these names; the class of index `i` is the `i`-th name.
    pub fn new(class_names: impl IntoIterator<Item = String>) -> Self {
        let new_class = |name| {
            Rc::new(ClassMetrics {
                name,
                ..ClassMetrics::default()
            })
        };
        Self {
            classes: class_names.into_iter().map(new_class).collect(),
        }
    }

    /// Counts an accepted request, which is in flight until the returned guard is finished or dropped.
    ///
    /// # Panics
    ///
    /// Panics if there is no class of this index.
    #[must_use]
    pub fn begin_request(&self, class: usize) -> InFlightRequest {
        let class = Rc::clone(&self.classes[class]);
        class.accepted.increment();
        class.in_flight.increment();
        InFlightRequest {
            class,
            outcome: None,
        }
    }

    /// The counter of attempts whose last byte was sent to a server.
    ///
    /// # Panics
    ///
    /// Panics if there is no class of this index.
    #[must_use]
    pub fn attempts(&self, class: usize) -> &Counter {
        &self.classes[class].attempts
    }

    /// The number of requests in flight, over all classes.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.classes.iter().map(|class| class.in_flight.get()).sum()
    }

    /// Whether the module's invariant holds for each class.
    #[must_use]
    pub fn is_balanced(&self) -> bool {
        self.classes
            .iter()
            .all(|class| class.accepted.get() == class.ended() + class.in_flight.get())
    }

    /// The metrics as text, a line each, in the form that statsd collectors read: `NAME:VALUE|c` is a count since the
    /// start of the process, `NAME:VALUE|g` a gauge.
    #[must_use]
    pub fn render(&self, servers: ServerGauges) -> String {
        let mut text = String::with_capacity(64 * (4 * self.classes.len() + 3));
        for class in &self.classes {
            let counters = [
                ("served", &class.served),
                ("refused", &class.rejected),
                ("failed", &class.failed),
                ("attempts", &class.attempts),
            ];
            for (name, counter) in counters {
                let (class, value) = (&class.name, counter.get());
                let _ = writeln!(text, "edge_router.{name}.{class}:{value}|c"); // Writing to a string cannot fail.
            }
        }
        let gauges = [
            ("in_flight", self.in_flight()),
            ("servers_known", servers.known as u64),
            ("servers_excluded", servers.excluded as u64),
        ];
        for (name, value) in gauges {
            let _ = writeln!(text, "edge_router.{name}:{value}|g"); // Writing to a string cannot fail.
        }
        text
    }
}

/// Guard of a request in flight. Dropped without an outcome, it counts as abandoned: its client has left.
#[derive(Debug)]
pub struct InFlightRequest {
    class: Rc<ClassMetrics>,
    outcome: Option<RequestOutcome>,
}

impl InFlightRequest {
    /// Ends the request with this outcome.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.class.in_flight.decrement();
        let ended = match self.outcome {
            Some(RequestOutcome::Served) => &self.class.served,
            Some(RequestOutcome::Rejected) => &self.class.rejected,
            Some(RequestOutcome::Failed) => &self.class.failed,
            None => &self.class.abandoned,
        };
        ended.increment();
    }
}

#[cfg(test)]
mod tests;
