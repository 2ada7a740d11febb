//! A link between two sockets that passes bytes on until it reaches one where a fault is planted.
//!
//! Each connection that comes in is given a [`Plan`] for each direction; the plan's faults stand at byte offsets, so
//! that a test can walk through every offset of an exchange.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

use crate::socket::{AddressFamily, Endpoint, Listener, Stream};

/// What happens at a byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Both ends are closed in order before this byte is passed on.
    Cut,
    /// Nothing from this byte on is passed on, and nothing is closed.
    Stall,
    /// This byte and what follows is passed on so much later.
    Delay(Duration),
    /// So many of the bytes before this one are passed on once more.
    Repeat(usize),
}

/// The faults of one direction of one connection, each at the offset of a byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan(Vec<(usize, Fault)>, bool);

impl Plan {
    /// All is passed on as it comes.
    #[must_use]
    pub fn fault_free() -> Self {
        Self::default()
    }

    /// One fault.
    #[must_use]
    pub fn at(byte: usize, fault: Fault) -> Self {
        Self(vec![(byte, fault)], false)
    }

    /// The connection is closed as soon as it has come; of either direction.
    #[must_use]
    pub fn closed() -> Self {
        Self(Vec::new(), true)
    }

    /// One more fault.
    #[must_use]
    pub fn and(mut self, byte: usize, fault: Fault) -> Self {
        self.0.push((byte, fault));
        self.0.sort_by_key(|(byte, _)| *byte);
        self
    }

    /// A fault drawn from a seed, at a byte below `most`; one seed gives one plan.
    #[must_use]
    pub fn seeded(seed: u64, most: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let byte = random.usize(..most.max(1));
        let fault = match random.u8(..4) {
            0 => Fault::Cut,
            1 => Fault::Stall,
            2 => Fault::Delay(Duration::from_millis(random.u64(1..30))),
            _ => Fault::Repeat(random.usize(1..64)),
        };
        Self::at(byte, fault)
    }
}

/// The plans of a connection: from the side that connected, and back to it.
pub type Plans = (Plan, Plan);

/// A link that listens, and connects on to an address for each connection that comes.
pub struct Link {
    /// Where it listens, or where nobody does if that is a path.
    pub address: SocketAddr,
    connections: Arc<AtomicUsize>,
    open: Arc<Mutex<Vec<Weak<Ends>>>>,
}

impl Link {
    /// A link to `to`; the plans are asked for with the number of each connection, from zero.
    pub fn start(to: SocketAddr, plans: impl Fn(usize) -> Plans + Send + 'static) -> Self {
        Self::start_on(AddressFamily::V4, to.into(), plans).0
    }

    /// The same from one kind of address to another.
    pub fn start_on(
        kind: AddressFamily,
        to: Endpoint,
        plans: impl Fn(usize) -> Plans + Send + 'static,
    ) -> (Self, Endpoint) {
        let (listener, endpoint) = Listener::bind(kind);
        let (connections, open) = (
            Arc::<AtomicUsize>::default(),
            Arc::<Mutex<Vec<_>>>::default(),
        );
        let (count, all) = (Arc::clone(&connections), Arc::clone(&open));
        thread::spawn(move || {
            while let Ok(near) = listener.accept() {
                let plans = plans(count.fetch_add(1, Ordering::SeqCst));
                if plans.0 .1 || plans.1 .1 {
                    continue;
                }
                // Nobody at the far end: the near one is closed, as a refused connection would be.
                let Ok(far) = Stream::connect(&to) else {
                    continue;
                };
                let ends = Arc::new(Ends { near, far });
                let mut all = all.lock().expect("sound");
                all.retain(|ends: &Weak<Ends>| ends.strong_count() > 0);
                all.push(Arc::downgrade(&ends));
                join(&ends, plans);
            }
        });
        let address = match &endpoint {
            Endpoint::Ip(address) => *address,
            Endpoint::Unix(..) => SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        (
            Self {
                address,
                connections,
                open,
            },
            endpoint,
        )
    }

    /// How many connections have come.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Ends every connection that there is; new ones are taken.
    pub fn cut_all(&self) {
        for ends in self
            .open
            .lock()
            .expect("sound")
            .drain(..)
            .filter_map(|ends| ends.upgrade())
        {
            end(&ends.near, &ends.far);
        }
    }
}

/// A connection's two ends, for as long as either direction goes on.
struct Ends {
    near: Stream,
    far: Stream,
}

fn join(ends: &Arc<Ends>, (there, back): Plans) {
    let (near, far) = (&ends.near, &ends.far);
    for (from, to, plan) in [(near, far, there), (far, near, back)] {
        let (from, to, held) = (from.clone_handle(), to.clone_handle(), Arc::clone(ends));
        thread::spawn(move || {
            pass(from, to, plan);
            drop(held);
        });
    }
}

/// Maximum number of forwarded bytes that a [`Fault::Repeat`] can send again.
const MAX_REPEATED_BYTES: usize = 64 * 1024;

fn pass(mut from: Stream, mut to: Stream, plan: Plan) {
    let mut buffer = [0; 16 * 1024];
    let (mut passed, mut recent, mut faults) = (0, Vec::new(), plan.0.into_iter().peekable());
    while let Ok(n) = from.read(&mut buffer) {
        if n == 0 {
            break;
        }
        let mut left = &buffer[..n];
        while let Some((byte, fault)) = faults.next_if(|(byte, _)| *byte < passed + left.len()) {
            let (before, rest) = left.split_at(byte.saturating_sub(passed));
            if !write(&mut to, before, &mut recent) {
                return end(&from, &to);
            }
            (passed, left) = (passed + before.len(), rest);
            match fault {
                Fault::Cut => return end(&from, &to),
                Fault::Stall => return swallow(from),
                Fault::Delay(time) => thread::sleep(time),
                Fault::Repeat(count) => {
                    let again = recent[recent.len().saturating_sub(count)..].to_vec();
                    if to.write_all(&again).is_err() {
                        return end(&from, &to);
                    }
                }
            }
        }
        if !write(&mut to, left, &mut recent) {
            return end(&from, &to);
        }
        passed += left.len();
    }
    to.shutdown(Shutdown::Write); // The other direction goes on.
}

fn write(to: &mut Stream, bytes: &[u8], recent: &mut Vec<u8>) -> bool {
    recent.extend_from_slice(bytes);
    recent.drain(..recent.len().saturating_sub(MAX_REPEATED_BYTES));
    to.write_all(bytes).is_ok()
}

/// The sender must not notice that nothing arrives: what it writes is read and thrown away.
fn swallow(mut from: Stream) {
    let mut buffer = [0; 16 * 1024];
    while matches!(from.read(&mut buffer), Ok(n) if n > 0) {}
}

fn end(from: &Stream, to: &Stream) {
    from.shutdown(Shutdown::Both);
    to.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests;
