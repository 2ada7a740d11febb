//! One owner at a time for each share of the work that the fleet has in common.
//!
//! The work is cut into shards. A shard is owned by who holds grants of a majority of a fixed set of keepers, each for a
//! time; two majorities have a keeper in common, and a keeper grants a shard to one process at a time, so there are never
//! two. Each ownership has a number that only rises, its *fence*: whoever is acted upon can tell an old owner by it.
//!
//! An owner counts its lease from when it **sent** the question, and ends it earlier by what two clocks may differ in rate;
//! a keeper that has restarted knows nothing and grants nothing until all that it may have granted is over. Nothing rests on
//! who is believed to be there: that only says who asks first.
//!
//! No I/O and no clock: events and time go in, actions come out. Times are milliseconds of the node's own clock since boot,
//! suspend included. See `docs/lease/design.md`.

#![allow(
    clippy::needless_for_each,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod claims;
mod council;
mod keeper;
mod kinds;
mod node;
mod record;
mod wire;

pub use kinds::{
    Action, Change, ChangeError, Event, Fence, Figures, NodeId, Note, Owner, Planted, Settings,
    SettingsError, Shard, Standing,
};
pub use node::{Leases, Permit};
pub use record::{read_record, write_record, RecordError, MOST_RECORD};
pub use wire::{MOST_EFFECT, MOST_WORD};
