//! The socket between nodes: a receive loop with a rate limit, so that datagrams never starve requests, and sending.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gossip::{Event, PeerId, RejectReason, MAX_DATAGRAM_BYTES};

use super::{boot_ms, Cluster};

/// Datagrams that are read a second, whoever sends them: three times what a node of any cluster receives while all of them
/// start at once, and less than a hundredth of a core. More wait in the socket, and are lost there once it is full:
/// requests go first.
const READS_PER_S: f64 = 1_000.0;
/// How many of them may be read in a burst.
const READ_BURST: f64 = 250.0;
/// How many are read in a row before requests have their turn.
const READS_PER_TURN: usize = 16;
/// How long reading pauses once the burst is used up. The system wakes this thread for each datagram that the socket has
/// room for, so room is made seldom and in large steps.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// How many datagrams may still be read.
struct ReadBudget {
    remaining: f64,
    updated_ms: f64,
}

impl ReadBudget {
    fn new(now_ms: f64) -> Self {
        Self {
            remaining: READ_BURST,
            updated_ms: now_ms,
        }
    }

    fn refill(&mut self, now_ms: f64) {
        let refill = (now_ms - self.updated_ms) / 1e3 * READS_PER_S;
        self.remaining = (self.remaining + refill).min(READ_BURST);
        self.updated_ms = now_ms;
    }

    fn is_exhausted(&self) -> bool {
        self.remaining < 1.0
    }

    /// A turn may overdraw the budget by less than its length.
    fn spend_one(&mut self) {
        self.remaining -= 1.0;
    }
}

impl Cluster {
    /// Receives datagrams for as long as it is polled.
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
            self.receive_turn(&mut buffer, &mut budget);
            tokio::task::yield_now().await;
        }
    }

    fn receive_turn(self: &Rc<Self>, buffer: &mut [u8], budget: &mut ReadBudget) {
        for _ in 0..READS_PER_TURN {
            match self.socket.try_recv_from(buffer) {
                Ok((length, from)) => self.receive_datagram(from, &buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // Another node is not there (ICMP). The failure detector finds out by its silence.
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
            // A datagram that the system does not accept is lost, as any may be on its way.
            let _ = self.socket.try_send_to(bytes, address);
        }
    }
}
