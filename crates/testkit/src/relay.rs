//! UDP relays between the nodes of a fleet, with one socket for each direction between two nodes. A relay applies the
//! faults of a [`Link`] to the datagrams of its direction.
//!
//! In the `peers` list of a node, the address of another node is that of a relay socket, which represents the other
//! node: the node sends datagrams for the other node there, and receives datagrams of the other node from there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use simulation::{Delivery, Fault, Link, LinkFaultCounts, LinkState};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Size of the receive buffer in bytes: more than a datagram may have, so that one that is too long is noticed.
const BUFFER_BYTES: usize = 65_536;

/// Totals of the datagrams that the relays of a fleet have received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTotals {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Sum of their lengths in bytes.
    pub bytes: u64,
    /// Length of the longest datagram in bytes.
    pub max_datagram_bytes: usize,
    /// Numbers of datagrams that link faults affected.
    pub faults: LinkFaultCounts,
}

#[derive(Default)]
struct State {
    default_link: Link,
    links: BTreeMap<(usize, usize), Link>,
    totals: RelayTotals,
}

/// The relays of a fleet.
pub struct Relays {
    /// By node, then by other node: the address at which the node reaches the other.
    pub peers: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relays {
    /// Starts relays between the nodes that receive datagrams at these addresses. Random faults derive from the seed.
    #[must_use]
    pub fn start(nodes: Vec<SocketAddr>, seed: u64) -> Self {
        let count = nodes.len();
        let mut sockets = BTreeMap::new();
        let mut peers = vec![Vec::new(); count];
        for at in 0..count {
            for other in 0..count {
                if at == other {
                    peers[at].push(nodes[at]); // The platform's list contains the node's own address.
                    continue;
                }
                let socket =
                    std::net::UdpSocket::bind("127.0.0.1:0").expect("bind a loopback socket");
                socket
                    .set_nonblocking(true)
                    .expect("make the socket non-blocking");
                peers[at].push(socket.local_addr().expect("read the local address"));
                sockets.insert((at, other), socket);
            }
        }
        let state = Arc::new(Mutex::new(State {
            default_link: undisturbed_link(),
            ..State::default()
        }));
        let (stop, stopped) = oneshot::channel();
        let shared_state = Arc::clone(&state);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("build a Tokio runtime");
            runtime.block_on(async move {
                let into_tokio = |(key, socket)| {
                    (
                        key,
                        Arc::new(
                            UdpSocket::from_std(socket)
                                .expect("register the socket with the runtime"),
                        ),
                    )
                };
                let sockets: BTreeMap<_, _> = sockets.into_iter().map(into_tokio).collect();
                for ((at, other), socket) in &sockets {
                    // Datagrams from `at` to `other` are sent from the socket that represents `at` at `other`.
                    let out = Arc::clone(&sockets[&(*other, *at)]);
                    let link_state =
                        LinkState::new(seed ^ ((*at as u64) << 32) ^ (*other as u64 + 1));
                    let (to, key, state) =
                        (nodes[*other], (*at, *other), Arc::clone(&shared_state));
                    tokio::spawn(relay(Arc::clone(socket), out, to, key, link_state, state));
                }
                let _ = stopped.await;
            });
        });
        Self {
            peers,
            state,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Totals of the datagrams received so far.
    #[must_use]
    pub fn totals(&self) -> RelayTotals {
        self.state().totals
    }

    /// Applies a fault of links, and ignores a fault of processes.
    pub fn apply(&self, fault: &Fault) {
        let mut state = self.state();
        let default_link = state.default_link.clone();
        match fault {
            Fault::Cut { from, to } => {
                state.links.entry((*from, *to)).or_insert(default_link).cut = true;
            }
            Fault::Restore { from, to } => {
                state.links.entry((*from, *to)).or_insert(default_link).cut = false;
            }
            Fault::Link { from, to, link } => {
                state.links.insert((*from, *to), link.clone());
            }
            Fault::AllLinks { link } => {
                state.links.clear();
                state.default_link = link.clone();
            }
            Fault::HealAll => {
                state.links.clear();
                state.default_link = undisturbed_link();
            }
            Fault::Pause { .. } | Fault::Kill { .. } | Fault::Start { .. } => {}
        }
    }
}

/// A link without faults that adds no delay to that of the machine itself.
fn undisturbed_link() -> Link {
    Link {
        delay_ms: 0.0,
        jitter_ms: 0.0,
        ..Link::default()
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join(); // A panic of the thread has already been printed.
        }
    }
}

/// Forwards the datagrams of one direction, which arrive at `socket`, from the socket `out` to the address `to`.
async fn relay(
    socket: Arc<UdpSocket>,
    out: Arc<UdpSocket>,
    to: SocketAddr,
    key: (usize, usize),
    mut link_state: LinkState,
    state: Arc<Mutex<State>>,
) {
    let start = Instant::now();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // ICMP errors of an unreachable receiver are reported here.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let link = {
            let mut state = state
                .lock()
                .expect("no thread panics while it holds the lock");
            state.totals.datagrams += 1;
            state.totals.bytes += length as u64;
            state.totals.max_datagram_bytes = state.totals.max_datagram_bytes.max(length);
            state.links.get(&key).unwrap_or(&state.default_link).clone()
        };
        let now = start.elapsed().as_secs_f64() * 1e3;
        let mut faults = LinkFaultCounts::default();
        let deliveries = link_state.transmit(now, &link, buffer[..length].to_vec(), &mut faults);
        state
            .lock()
            .expect("no thread panics while it holds the lock")
            .totals
            .faults += faults;
        for Delivery { after_ms, bytes } in deliveries {
            if after_ms <= 0.0 {
                let _ = out.send_to(&bytes, to).await; // A failed send is a lost datagram.
                continue;
            }
            let out = Arc::clone(&out);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs_f64(after_ms / 1e3)).await;
                let _ = out.send_to(&bytes, to).await;
            });
        }
    }
}
