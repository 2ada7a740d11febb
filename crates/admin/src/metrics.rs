//! Request counters per class, and their text form for metrics collectors.
//!
//! Invariant: for each class, the number of accepted requests equals the number of ended requests (served, rejected,
//! failed or abandoned) plus the number of requests in flight. It holds by construction: each accepted request is
//! represented by an [`InFlightRequest`], which ends exactly once.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

use crate::upstream_metrics::UpstreamMetrics;

/// A counter whose clones share one value.
#[derive(Clone, Debug, Default)]
pub struct Counter(Rc<Cell<u64>>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Returns the current value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    fn decrement(&self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A server's response was returned.
    Served,
    /// The request was rejected before it had any effect; a retry is safe.
    Rejected,
    /// The request ended in any other way.
    Failed,
}

/// The counters of one class of requests.
#[derive(Debug, Default)]
struct ClassMetrics {
    name: String,
    accepted: Counter,
    served: Counter,
    rejected: Counter,
    failed: Counter,
    /// Requests whose client disconnected before the response.
    abandoned: Counter,
    in_flight: Counter,
    /// Attempts whose last byte was sent to a server.
    attempts: Counter,
}

impl ClassMetrics {
    fn ended_requests(&self) -> u64 {
        [&self.served, &self.rejected, &self.failed, &self.abandoned]
            .map(Counter::get)
            .iter()
            .sum()
    }
}

/// Numbers of servers, which the caller provides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerGauges {
    /// Number of servers in the endpoint list.
    pub known: usize,
    /// Number of those servers that receive no ordinary requests because they are draining or ejected.
    pub excluded: usize,
}

/// The request counters of a process. They start at zero.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<Rc<ClassMetrics>>,
    /// Counters of attempts and of connections to servers.
    pub upstream: Rc<UpstreamMetrics>,
}

impl Metrics {
    /// Creates counters for the named classes. The index of a class is the position of its name.
    pub fn new(class_names: impl IntoIterator<Item = String>) -> Self {
        let new_class = |name| {
            Rc::new(ClassMetrics {
                name,
                ..ClassMetrics::default()
            })
        };
        Self {
            classes: class_names.into_iter().map(new_class).collect(),
            upstream: Rc::default(),
        }
    }

    /// Counts an accepted request, which is in flight until the returned guard is finished or dropped.
    ///
    /// # Panics
    ///
    /// Panics if `class` is out of range.
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

    /// The counter of a class's attempts whose last byte was sent to a server.
    ///
    /// # Panics
    ///
    /// Panics if `class` is out of range.
    #[must_use]
    pub fn attempts(&self, class: usize) -> &Counter {
        &self.classes[class].attempts
    }

    /// The number of requests in flight in all classes.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.classes.iter().map(|class| class.in_flight.get()).sum()
    }

    /// Whether the module's invariant holds for each class.
    #[must_use]
    pub fn is_balanced(&self) -> bool {
        self.classes
            .iter()
            .all(|class| class.accepted.get() == class.ended_requests() + class.in_flight.get())
    }

    /// Renders the metrics in statsd format, one per line: `NAME:VALUE|c` is a count since the start of the process,
    /// `NAME:VALUE|g` a gauge.
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

/// Guard of a request in flight. If it is dropped without an outcome, the request counts as abandoned by its client.
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
        let counter = match self.outcome {
            Some(RequestOutcome::Served) => &self.class.served,
            Some(RequestOutcome::Rejected) => &self.class.rejected,
            Some(RequestOutcome::Failed) => &self.class.failed,
            None => &self.class.abandoned,
        };
        counter.increment();
    }
}

#[cfg(test)]
mod tests;
