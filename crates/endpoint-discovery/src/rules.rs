//! The table: what the sources' words make of a server. `docs/endpoint-discovery/design.md` has it as a table; this is it as
//! code, and `tests/table.rs` holds one against the other, cell by cell.

use crate::host::State;

/// How old a source's word is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Age {
    /// The source answers, and what it answers is of now.
    Fresh,
    /// The source is out of touch, or answers from a stale copy: its last word is held.
    Held,
    /// It has been out of touch for longer than its word holds.
    Aged,
}

/// What one source says of a server, as far as that is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Said {
    /// Its word; `None`: it does not name the server and never has.
    pub state: Option<State>,
    /// How old the word is.
    pub age: Age,
    /// Whether the source may name servers that no other names.
    pub names: bool,
    /// Whether the server has started anew since the word.
    pub outlived: bool,
}

/// What is made of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It takes requests.
    Ready,
    /// It gets nothing new.
    Draining,
    /// A source's word removes it.
    Removed {
        /// Another source, whose word has not aged out, says that it is ready: should no server be left, this one
        /// is served by.
        vouched: bool,
    },
    /// Nobody who may name servers names it.
    Unnamed,
}

/// What a word amounts to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Weight {
    Names,
    Agrees,
    Drains,
    Removes,
    Silent,
}

impl Said {
    fn weight(self) -> Weight {
        let present = if self.names {
            Weight::Names
        } else {
            Weight::Agrees
        };
        match self.state {
            None => Weight::Silent,
            Some(State::Ready) => present,
            // What was said of a process does not hold for its successor.
            Some(State::Draining) if self.outlived => present,
            Some(State::Draining) => Weight::Drains,
            Some(State::Gone) if self.outlived || self.age == Age::Aged => Weight::Silent,
            Some(State::Gone) => Weight::Removes,
        }
    }

    fn is_present(self) -> bool {
        matches!(self.state, Some(State::Ready | State::Draining))
    }
}

/// Merges what the sources say of one server.
///
/// - A word of `Gone` from a source that may name servers removes it, whatever the others say, as long as the word
///   has not aged out and no newer start has outlived it.
/// - `Draining` from any source drains it. It never ages out: only the source's newer word or a newer start ends it.
/// - `Gone` from any other source removes it too, while it has not aged out.
/// - `Ready` lets it serve only where a source that may name servers names it, at any age: a source that is lost
///   takes nothing away.
#[must_use]
pub fn merge(words: &[Said]) -> Verdict {
    let weighs = |weight: Weight| words.iter().any(|said| said.weight() == weight);
    let removed_by_name = words
        .iter()
        .any(|said| said.names && said.weight() == Weight::Removes);
    let named = words.iter().any(|said| said.names && said.is_present());
    // Guards against a source that takes all servers away by itself: what another calls ready is kept in mind.
    let vouches = |said: &Said| {
        said.age != Age::Aged && matches!(said.weight(), Weight::Names | Weight::Agrees)
    };
    let vouched = words.iter().any(vouches) && !weighs(Weight::Drains);
    if removed_by_name {
        Verdict::Removed { vouched }
    } else if !named {
        Verdict::Unnamed
    } else if weighs(Weight::Drains) {
        Verdict::Draining
    } else if weighs(Weight::Removes) {
        Verdict::Removed { vouched }
    } else {
        Verdict::Ready
    }
}
