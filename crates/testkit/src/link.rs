//! A proxy that forwards bytes between two stream sockets and injects faults at given byte offsets.
//!
//! Each accepted connection has a [`Plan`] for each direction. The plan's faults are at byte offsets, so that a test
//! can inject a fault at every offset of an exchange.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

use crate::socket::{AddressFamily, Endpoint, Listener, Stream};

/// A fault at a byte of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Both ends are closed gracefully before this byte is forwarded.
    Cut,
    /// Neither this byte nor any later one is forwarded, and both ends stay open.
    Stall,
    /// This byte and all later ones are forwarded after this delay.
    Delay(Duration),
    /// Up to this number of the bytes before this one are forwarded a second time.
    Repeat(usize),
}

/// Faults of one direction of a connection, by byte offset, and whether the connection is closed when it is accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan(Vec<(usize, Fault)>, bool);

impl Plan {
    /// A plan that forwards all bytes unchanged.
    #[must_use]
    pub fn fault_free() -> Self {
        Self::default()
    }

    /// A plan with one fault at a byte offset.
    #[must_use]
    pub fn at(offset: usize, fault: Fault) -> Self {
        Self(vec![(offset, fault)], false)
    }

    /// A plan that closes the connection as soon as it is accepted. The plan of either direction suffices.
    #[must_use]
    pub fn closed() -> Self {
        Self(Vec::new(), true)
    }

    /// Adds a fault at a byte offset.
    #[must_use]
    pub fn with_fault(mut self, offset: usize, fault: Fault) -> Self {
        self.0.push((offset, fault));
        self.0.sort_by_key(|(offset, _)| *offset);
        self
    }

    /// A plan with a random fault at an offset below `offset_limit`. The same seed gives the same plan.
    #[must_use]
    pub fn seeded(seed: u64, offset_limit: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let offset = random.usize(..offset_limit.max(1));
        let fault = match random.u8(..4) {
            0 => Fault::Cut,
            1 => Fault::Stall,
            2 => Fault::Delay(Duration::from_millis(random.u64(1..30))),
            _ => Fault::Repeat(random.usize(1..64)),
        };
        Self::at(offset, fault)
    }
}

/// The plans of a connection: for the bytes from the client, and for the bytes back to it.
pub type Plans = (Plan, Plan);

/// A proxy that opens a connection to its target for each connection that it accepts.
pub struct Link {
    /// Address on which the link listens. If that is a Unix socket, an IP address on which nothing listens.
    pub address: SocketAddr,
    accepted_connections: Arc<AtomicUsize>,
    open_connections: Arc<Mutex<Vec<Weak<Ends>>>>,
}

impl Link {
    /// Starts a link to `to` on IPv4. `plans` returns the plans of a connection by its number, counted from zero.
    pub fn start(to: SocketAddr, plans: impl Fn(usize) -> Plans + Send + 'static) -> Self {
        Self::start_on(AddressFamily::V4, to.into(), plans).0
    }

    /// Starts a link to `to` that listens on this kind of address. Also returns the endpoint on which it listens.
    pub fn start_on(
        kind: AddressFamily,
        to: Endpoint,
        plans: impl Fn(usize) -> Plans + Send + 'static,
    ) -> (Self, Endpoint) {
        let (listener, endpoint) = Listener::bind(kind);
        let (accepted_connections, open_connections) = (
            Arc::<AtomicUsize>::default(),
            Arc::<Mutex<Vec<_>>>::default(),
        );
        let (accepted, open) = (
            Arc::clone(&accepted_connections),
            Arc::clone(&open_connections),
        );
        thread::spawn(move || {
            while let Ok(near) = listener.accept() {
                let plans = plans(accepted.fetch_add(1, Ordering::SeqCst));
                if plans.0 .1 || plans.1 .1 {
                    continue;
                }
                // The target refuses connections: the accepted one is closed, as if it had been refused as well.
                let Ok(far) = Stream::connect(&to) else {
                    continue;
                };
                let ends = Arc::new(Ends { near, far });
                let mut open = open.lock().expect("no thread panics with the lock held");
                open.retain(|ends: &Weak<Ends>| ends.strong_count() > 0);
                open.push(Arc::downgrade(&ends));
                start_forwarding(&ends, plans);
            }
        });
        let address = match &endpoint {
            Endpoint::Ip(address) => *address,
            Endpoint::Unix(..) => SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        (
            Self {
                address,
                accepted_connections,
                open_connections,
            },
            endpoint,
        )
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.accepted_connections.load(Ordering::SeqCst)
    }

    /// Closes all open connections. New ones are still accepted.
    pub fn cut_all(&self) {
        for ends in self
            .open_connections
            .lock()
            .expect("no thread panics with the lock held")
            .drain(..)
            .filter_map(|ends| ends.upgrade())
        {
            close(&ends.near, &ends.far);
        }
    }
}

/// The two ends of a connection, shared by the threads of both directions and dropped when both have ended.
struct Ends {
    /// The connection from the client.
    near: Stream,
    /// The connection to the target.
    far: Stream,
}

fn start_forwarding(ends: &Arc<Ends>, (plan_from_client, plan_to_client): Plans) {
    let (near, far) = (&ends.near, &ends.far);
    for (from, to, plan) in [(near, far, plan_from_client), (far, near, plan_to_client)] {
        let (from, to, ends) = (from.clone_handle(), to.clone_handle(), Arc::clone(ends));
        thread::spawn(move || {
            forward(from, to, plan);
            drop(ends);
        });
    }
}

/// Maximum number of forwarded bytes that a [`Fault::Repeat`] can send again.
const MAX_REPEATED_BYTES: usize = 64 * 1024;

fn forward(mut from: Stream, mut to: Stream, plan: Plan) {
    let mut buffer = [0; 16 * 1024];
    let (mut forwarded, mut recent, mut faults) = (0, Vec::new(), plan.0.into_iter().peekable());
    while let Ok(n) = from.read(&mut buffer) {
        if n == 0 {
            break;
        }
        let mut remaining = &buffer[..n];
        while let Some((offset, fault)) =
            faults.next_if(|(offset, _)| *offset < forwarded + remaining.len())
        {
            let (before, rest) = remaining.split_at(offset.saturating_sub(forwarded));
            if !write_and_record(&mut to, before, &mut recent) {
                return close(&from, &to);
            }
            (forwarded, remaining) = (forwarded + before.len(), rest);
            match fault {
                Fault::Cut => return close(&from, &to),
                Fault::Stall => return discard(from),
                Fault::Delay(delay) => thread::sleep(delay),
                Fault::Repeat(count) => {
                    let repeated = recent[recent.len().saturating_sub(count)..].to_vec();
                    if to.write_all(&repeated).is_err() {
                        return close(&from, &to);
                    }
                }
            }
        }
        if !write_and_record(&mut to, remaining, &mut recent) {
            return close(&from, &to);
        }
        forwarded += remaining.len();
    }
    to.shutdown(Shutdown::Write); // The other direction stays open.
}

fn write_and_record(to: &mut Stream, bytes: &[u8], recent: &mut Vec<u8>) -> bool {
    recent.extend_from_slice(bytes);
    recent.drain(..recent.len().saturating_sub(MAX_REPEATED_BYTES));
    to.write_all(bytes).is_ok()
}

/// Reads and discards all bytes, so that the sender does not notice that they are not forwarded.
fn discard(mut from: Stream) {
    let mut buffer = [0; 16 * 1024];
    while matches!(from.read(&mut buffer), Ok(n) if n > 0) {}
}

fn close(from: &Stream, to: &Stream) {
    from.shutdown(Shutdown::Both);
    to.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests;
