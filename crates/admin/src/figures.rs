//! Counts of requests by class. What was taken has ended in one way or is open, at every moment: whoever takes a request
//! holds a [`Taken`], and that ends once.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// A count that several hands add to.
#[derive(Clone, Debug, Default)]
pub struct Counter(Rc<Cell<u64>>);

impl Counter {
    /// One more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// How many.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    fn less(&self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a server's answer.
    Served,
    /// Turned away; trying again is harmless.
    Refused,
    /// Otherwise.
    Failed,
}

/// The counts of one class.
#[derive(Debug, Default)]
struct OfClass {
    name: String,
    taken: Counter,
    served: Counter,
    refused: Counter,
    failed: Counter,
    /// The client left ahead of its answer.
    abandoned: Counter,
    open: Counter,
    /// Attempts whose last byte went to a server.
    attempts: Counter,
}

/// The counts of a process, from zero at its start.
#[derive(Debug, Default)]
pub struct Figures(Vec<Rc<OfClass>>);

impl Figures {
    /// Counts for the classes of these names.
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        let of = |name| {
            Rc::new(OfClass {
                name,
                ..OfClass::default()
            })
        };
        Self(names.into_iter().map(of).collect())
    }

    /// A request of a class is taken.
    ///
    /// # Panics
    ///
    /// There is no such class.
    #[must_use]
    pub fn take(&self, class: usize) -> Taken {
        let of = Rc::clone(&self.0[class]);
        of.taken.add();
        of.open.add();
        Taken { of, end: None }
    }

    /// The attempts of a class.
    ///
    /// # Panics
    ///
    /// There is no such class.
    #[must_use]
    pub fn attempts(&self, class: usize) -> &Counter {
        &self.0[class].attempts
    }

    /// Requests that are open.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.0.iter().map(|of| of.open.get()).sum()
    }

    /// Whether those taken are those that ended and those that are open, class by class.
    #[must_use]
    pub fn add_up(&self) -> bool {
        let ended = |of: &OfClass| {
            of.served.get()
                + of.refused.get()
                + of.failed.get()
                + of.abandoned.get()
                + of.open.get()
        };
        self.0.iter().all(|of| of.taken.get() == ended(of))
    }
}

/// A request that is open. Dropped without an end, its client has left.
#[derive(Debug)]
pub struct Taken {
    of: Rc<OfClass>,
    end: Option<End>,
}

impl Taken {
    /// It ends so.
    pub fn end(mut self, end: End) {
        self.end = Some(end);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.of.open.less();
        match self.end {
            Some(End::Served) => self.of.served.add(),
            Some(End::Refused) => self.of.refused.add(),
            Some(End::Failed) => self.of.failed.add(),
            None => self.of.abandoned.add(),
        }
    }
}

/// What is counted elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Servers in the list.
    pub servers_known: usize,
    /// Those of them that the node avoids.
    pub servers_excluded: usize,
}

/// The figures, a line each as collectors of the statsd kind read them: `NAME:VALUE|c` is a count since the process
/// started, `NAME:VALUE|g` a figure of this moment.
#[must_use]
pub fn render(figures: &Figures, now: Now) -> String {
    let mut text = String::with_capacity(64 * (4 * figures.0.len() + 3));
    let mut line = |name: std::fmt::Arguments<'_>, value: u64, kind: char| {
        let _ = writeln!(text, "edge_router.{name}:{value}|{kind}"); // Text grows without fail.
    };
    for of in &figures.0 {
        let counts = [
            ("served", &of.served),
            ("refused", &of.refused),
            ("failed", &of.failed),
            ("attempts", &of.attempts),
        ];
        for (what, count) in counts {
            line(format_args!("{what}.{}", of.name), count.get(), 'c');
        }
    }
    line(format_args!("in_flight"), figures.open(), 'g');
    line(format_args!("servers_known"), now.servers_known as u64, 'g');
    line(
        format_args!("servers_excluded"),
        now.servers_excluded as u64,
        'g',
    );
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_lines_are_as_collectors_read_them() {
        let figures = Figures::new(["avail-read".to_owned(), "hold-place".to_owned()]);
        figures.take(0).end(End::Served);
        figures.take(1).end(End::Refused);
        figures.take(1).end(End::Failed);
        drop(figures.take(0));
        figures.attempts(0).add();
        let _open = figures.take(1);
        let text = render(
            &figures,
            Now {
                servers_known: 12,
                servers_excluded: 2,
            },
        );
        let wanted = "edge_router.served.avail-read:1|c\nedge_router.refused.avail-read:0|c\n\
            edge_router.failed.avail-read:0|c\nedge_router.attempts.avail-read:1|c\n\
            edge_router.served.hold-place:0|c\nedge_router.refused.hold-place:1|c\n\
            edge_router.failed.hold-place:1|c\nedge_router.attempts.hold-place:0|c\n\
            edge_router.in_flight:1|g\nedge_router.servers_known:12|g\nedge_router.servers_excluded:2|g\n";
        assert_eq!(text, wanted);
    }

    proptest! {
        /// Guards the sum, in every order of beginnings and ends.
        #[test]
        fn taken_is_ended_and_open(steps in proptest::collection::vec((0..5_usize, 0..3_usize, any::<usize>()), 0..200)) {
            let figures = Figures::new((0..3).map(|class| format!("c{class}")));
            let mut open = Vec::new();
            for (step, class, which) in steps {
                if step == 0 || open.is_empty() {
                    open.push(figures.take(class));
                } else {
                    let at = which % open.len();
                    let taken = open.swap_remove(at);
                    match step {
                        1 => taken.end(End::Served),
                        2 => taken.end(End::Refused),
                        3 => taken.end(End::Failed),
                        _ => drop(taken),
                    }
                }
                prop_assert!(figures.add_up());
                prop_assert_eq!(figures.open(), open.len() as u64);
            }
        }
    }
}
