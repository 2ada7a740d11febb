//! Sends and receives datagrams between nodes. The receive loop is rate-limited, so that datagrams never starve
//! requests.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gossip::{Event, PeerId, RejectReason, MAX_DATAGRAM_BYTES};

use super::{boot_ms, Cluster};

/// Maximum number of datagrams that are read per second, whoever sends them. It is three times what a node receives
/// while all nodes of a cluster start at once, and takes less than a hundredth of a core. Further datagrams wait in the
/// socket's buffer, and are lost once it is full, because requests have priority.
const MAX_READS_PER_S: f64 = 1_000.0;
/// Maximum number of datagrams that are read in a burst.
const MAX_READ_BURST: f64 = 250.0;
/// Maximum number of datagrams that are read in a row before requests are handled again.
const READS_PER_BATCH: usize = 16;
/// Duration of a pause in reading, once the budget is exhausted or after waiting for a datagram failed. The system wakes
/// this thread for each datagram that it adds to the socket's buffer. During a pause the buffer can fill up, and the
/// system then drops further datagrams without waking the thread.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Token bucket that limits the rate at which datagrams are read.
struct ReadBudget {
    remaining: f64,
    updated_ms: f64,
}

impl ReadBudget {
    fn new(now_ms: f64) -> Self {
        Self {
            remaining: MAX_READ_BURST,
            updated_ms: now_ms,
        }
    }

    fn refill(&mut self, now_ms: f64) {
        let refill = (now_ms - self.updated_ms) / 1e3 * MAX_READS_PER_S;
        self.remaining = (self.remaining + refill).min(MAX_READ_BURST);
        self.updated_ms = now_ms;
    }

    fn is_exhausted(&self) -> bool {
        self.remaining < 1.0
    }

    /// Takes one datagram from the budget. The datagrams of a batch may overdraw it by fewer than [`READS_PER_BATCH`].
    fn spend_one(&mut self) {
        self.remaining -= 1.0;
    }
}

impl Cluster {
    /// Receives datagrams for as long as the future is polled.
    pub(super) async fn run_receive_loop(self: Rc<Self>) {
        // One byte more than the longest datagram, to detect a longer one.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut budget = ReadBudget::new(boot_ms());
        loop {
            if self.socket.readable().await.is_err() {
                tokio::time::sleep(READ_PAUSE).await;
                continue;
            }
            budget.refill(boot_ms());
            if budget.is_exhausted() {
                self.gossip
                    .borrow_mut()
                    .count_rejection(RejectReason::RateLimited);
                tokio::time::sleep(READ_PAUSE).await;
                continue;
            }
            self.receive_batch(&mut buffer, &mut budget);
            tokio::task::yield_now().await;
        }
    }

    fn receive_batch(self: &Rc<Self>, buffer: &mut [u8], budget: &mut ReadBudget) {
        for _ in 0..READS_PER_BATCH {
            match self.socket.try_recv_from(buffer) {
                Ok((length, from)) => self.receive_datagram(from, &buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // An ICMP error: another node is unreachable. The failure detector detects that by the missing
                // datagrams.
                Err(_) => {}
            }
            budget.spend_one();
        }
    }

    fn receive_datagram(self: &Rc<Self>, from: SocketAddr, bytes: &[u8]) {
        let from = self.addresses.borrow().id_of(from);
        match from {
            Some(from) => self.handle_gossip_event(Event::Datagram { from, bytes }),
            None => self
                .gossip
                .borrow_mut()
                .count_rejection(RejectReason::UnknownSender),
        }
    }

    pub(super) fn send_datagram(&self, to: PeerId, bytes: &[u8]) {
        let address = self.addresses.borrow().address_of(to);
        if let Some(address) = address {
            // A datagram that the system does not accept is lost, as any datagram may be in transit.
            let _ = self.socket.try_send_to(bytes, address);
        }
    }
}
