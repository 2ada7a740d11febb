//! What operators ask of a running node, and what it tells them.
//!
//! A [`Call`] is one line of text. [`Drain`] is the course of a node that sends its clients away and may take them back.
//! [`Figures`] counts requests so that those taken are those that ended and those that are open, at every moment, and
//! [`render`] words the figures for a collector. Nothing here has a socket or a clock: times are milliseconds of any
//! clock that never runs backwards.
//!
//! ```
//! use admin::{Call, Drain, Stay, LAST_ANSWER_MS, LEAVE_MS};
//!
//! let mut drain = Drain::default();
//! assert_eq!(Call::read(b"DRAIN\r\n"), Ok(Call::Drain));
//! drain.begin(1_000.0);
//! assert!(!drain.admits());
//! assert_eq!(drain.stay(1_000.0 + LAST_ANSWER_MS), Stay::OneMore);
//! assert_eq!(drain.stay(1_000.0 + LEAVE_MS), Stay::Leave);
//! drain.end();
//! assert!(drain.admits());
//! ```

mod call;
mod drain;
mod figures;

pub use call::{BadCall, Call, NodeName, MOST_LINE, MOST_NAME};
pub use drain::{Drain, Stay, LAST_ANSWER_MS, LEAVE_MS};
pub use figures::{render, Counter, End, Figures, Now, Taken};
