//! The ids of requests that must not run again: state machines without I/O, to which the time is passed.
//!
//! An id is *open* while its request is. It is *retained* for [`RETENTION_MS`] after a request that may have run and must not be
//! repeated, and whose client did not get a server's response. An open or retained id is rejected. A full table
//! refuses further ids and never drops one before its time.
//!
//! [`LocalTable`] serves a process that accepts its clients alone. Where several processes accept from one socket, they share a
//! file of [`Bucket`]s, which [`Layout`] and [`Header`] describe; each process reads and writes a bucket while it holds the
//! bucket's lock. An id that was open at a process that has ended is retained if its request must not be repeated.

mod bucket;
mod entry;
mod hash;
mod layout;
mod local;

pub use bucket::{Bucket, SlotIndex, BUCKET_BYTES, BUCKET_SLOTS};
pub use entry::{OwnerId, RepeatPolicy, RETENTION_MS};
pub use hash::{HashKey, IdHash};
pub use layout::{Header, HeaderError, Layout, HEADER_BYTES};
pub use local::LocalTable;

use std::fmt;

/// Reason for which an id is not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The id is open or retained.
    InUse,
    /// The table is full.
    Full,
}

impl fmt::Display for ReserveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InUse => "the request id is in use",
            Self::Full => "the table of request ids is full",
        })
    }
}

impl std::error::Error for ReserveError {}

/// How a request ended, as far as its id is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The id may be used again: the request has not run, may be repeated, or its client got a server's response.
    Released,
    /// The request may have run and must not be repeated.
    MayHaveRun,
}
