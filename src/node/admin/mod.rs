//! What operators see and say: their file, their calls, a new reading of the files, the log.

pub mod ask;
pub(in crate::node) mod calls;
pub(in crate::node) mod log;
pub mod operators;
pub(in crate::node) mod reload;
