//! What the nodes of a fleet learn for each other: word of bad servers.
//!
//! A node's own attempts fail at a server; it says so to all others, and what enough of them say becomes a hint: the part of its
//! ordinary share that a server should have. A hint restricts or orders: it never adds a server and never decides, and it is
//! never about more than a part of all servers: beyond that it is the reporter who is suspect.
//!
//! No I/O and no clock: events and time go in, actions come out. Times are milliseconds of the node's own clock since boot. See
//! `docs/outlier-detection/design.md`.

#![allow(
    clippy::needless_for_each,
    clippy::single_match_else,
    clippy::too_many_lines,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod tally;
mod wire;
mod word;

pub use wire::{is_report, Kind, ServerKey, MOST_REPORT};
pub use word::{Action, Event, Figures, Hint, NodeKey, Settings, SettingsError, Word};
