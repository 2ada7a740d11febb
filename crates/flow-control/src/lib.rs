//! How long messages pass through a node that cannot hold them all.
//!
//! [`Room`] is memory that messages share: what is taken from it is given back by being dropped. [`Pace`] says by when a
//! peer must have gone on, so that one that is slow is waited for and one that has stopped is not. Nothing here has a
//! socket or a clock; times are milliseconds of any clock that never runs backwards.
//!
//! ```
//! use flow_control::{Pace, Room};
//!
//! let room = Room::new(1024);
//! let share = room.take(1000).expect("it is empty");
//! assert!(room.take(100).is_none(), "whoever wants more must pass it on");
//! drop(share);
//! assert!(room.take(100).is_some());
//!
//! // 64 bytes a millisecond are asked for, and half a second is given.
//! let mut pace = Pace::begin(0.0, 500.0, 64.0);
//! assert_eq!(pace.due_ms(), 500.0);
//! pace.moved(6_400);
//! assert_eq!(pace.due_ms(), 600.0);
//! ```

mod pace;
mod room;

pub use pace::{answer_stall_ms, Pace, LEAST_STALL_MS, MOST_STALL_MS};
pub use room::{Room, Share};
