//! Limits for message bodies that a node buffers or streams.
//!
//! A [`MemoryBudget`] is the memory that all buffered bodies share: each buffer holds a
//! [`Reservation`], which returns its bytes when it is dropped. A [`TransferDeadline`] is the time by
//! which a peer must have transferred more data. It distinguishes a slow peer, which may continue, from
//! a stalled one, which is abandoned. An [`UploadClock`] estimates since when a client waits whose
//! upload is held up.
//!
//! The crate uses no sockets and reads no clock. Times are milliseconds of any monotonic clock, or
//! instants.
//!
//! ```
//! use flow_control::{MemoryBudget, TransferDeadline};
//!
//! let budget = MemoryBudget::new(1024);
//! let reservation = budget.try_reserve(1000).expect("reserve 1000 of 1024 unused bytes");
//! assert!(budget.try_reserve(100).is_none(), "only 24 bytes are available");
//! drop(reservation);
//! assert!(budget.try_reserve(100).is_some(), "the drop returned 1000 bytes");
//!
//! // At least 64 bytes per millisecond, after a grace period of half a second.
//! let mut deadline = TransferDeadline::new(0.0, 500.0, 64.0);
//! assert_eq!(deadline.due_ms(), 500.0);
//! deadline.record_bytes(6_400);
//! assert_eq!(deadline.due_ms(), 600.0);
//! ```

mod memory_budget;
mod transfer_rate;
mod upload_clock;

pub use memory_budget::{MemoryBudget, Reservation};
pub use transfer_rate::{TransferDeadline, MAX_UPLOAD_STALL_MS};
pub use upload_clock::{UploadClock, MAX_UNSEEN_BYTES};
