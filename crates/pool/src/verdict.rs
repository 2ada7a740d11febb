//! What follows from an exchange that broke: whether the request may have run, and whether it may go another way.

/// How much of a request had been handed to the system when its exchange broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Sent {
    /// Not a byte.
    Nothing,
    /// Some bytes, without the last.
    Part,
    /// All of it.
    Whole,
}

/// What broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Broke {
    /// The connection ended or was found to have ended.
    Connection,
    /// The other side took nothing more of the request for too long.
    Stalled,
    /// What came is no answer to the request, does not go on, or is too large.
    Answer,
}

/// What a connection was when the exchange began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Age {
    /// It had just come up.
    Fresh,
    /// It had carried an exchange, or had stood idle.
    Used,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Next {
    /// Nothing has gone out, and nothing speaks against the address: the same attempt goes on, on any connection.
    Again,
    /// It cannot have run: the same attempt goes on by another address. Without one the server was not reached.
    Elsewhere,
    /// It may have run, and no answer came: the attempt is over.
    Reset,
    /// It may have run, and what came is of no use: the attempt is over.
    Spoilt,
}

impl Next {
    /// Whether the request may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Reset | Self::Spoilt)
    }
}

/// Judges an exchange that broke. A server runs a request once it has the last byte of it, and not before.
#[must_use]
pub fn judge(age: Age, sent: Sent, broke: Broke) -> Next {
    match (sent, broke, age) {
        // A connection that is found closed, or with bytes on it, says nothing of its address ...
        (Sent::Nothing, Broke::Connection | Broke::Answer, Age::Used) => Next::Again,
        // ... one that has just come up does, and so does one that takes nothing.
        (Sent::Nothing | Sent::Part, ..) => Next::Elsewhere,
        (Sent::Whole, Broke::Connection, _) => Next::Reset,
        (Sent::Whole, Broke::Answer | Broke::Stalled, _) => Next::Spoilt,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The table of the design note, cell by cell.
    #[test]
    fn every_cell_of_the_table() {
        use {Age::*, Broke::*, Sent::*};
        let table = [
            (Nothing, Connection, Fresh, Next::Elsewhere),
            (Nothing, Connection, Used, Next::Again),
            (Nothing, Stalled, Fresh, Next::Elsewhere),
            (Nothing, Stalled, Used, Next::Elsewhere),
            (Nothing, Answer, Fresh, Next::Elsewhere),
            (Nothing, Answer, Used, Next::Again),
            (Part, Connection, Fresh, Next::Elsewhere),
            (Part, Connection, Used, Next::Elsewhere),
            (Part, Stalled, Fresh, Next::Elsewhere),
            (Part, Stalled, Used, Next::Elsewhere),
            (Part, Answer, Fresh, Next::Elsewhere),
            (Part, Answer, Used, Next::Elsewhere),
            (Whole, Connection, Fresh, Next::Reset),
            (Whole, Connection, Used, Next::Reset),
            (Whole, Stalled, Fresh, Next::Spoilt),
            (Whole, Stalled, Used, Next::Spoilt),
            (Whole, Answer, Fresh, Next::Spoilt),
            (Whole, Answer, Used, Next::Spoilt),
        ];
        for (sent, broke, age, next) in table {
            assert_eq!(
                judge(age, sent, broke),
                next,
                "{sent:?}, {broke:?}, {age:?}"
            );
            assert_eq!(
                next.may_have_run(),
                sent == Whole,
                "the last byte alone decides"
            );
        }
        let cells: std::collections::HashSet<_> =
            table.iter().map(|(s, b, a, _)| (*s, *b, *a)).collect();
        assert_eq!(cells.len(), 18, "every cell once");
    }
}
