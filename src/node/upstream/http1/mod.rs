//! HTTP/1.1 to servers: the first protocol of the seam [`upstream`](crate::node::back).

mod exchange;
mod metered;
mod sending;

pub use exchange::Conn;
