//! Relays between the nodes of a fleet: a socket for each direction between two, which does to what passes what a
//! [`Link`] says.
//!
//! A node sends to another at the address that its own `peers` has for it, and hears it from there: that is the relay's
//! socket which stands for the other one at this node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use simulation::{Done, Line, Link, Trouble};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Longer than any datagram that is allowed, to see that one is too long.
const BUFFER: usize = 65_536;

/// What has passed a fleet's relays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// Datagrams that came to a relay.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// The longest.
    pub longest: usize,
    /// What was done to them.
    pub done: Done,
}

#[derive(Default)]
struct State {
    ordinary: Link,
    links: BTreeMap<(usize, usize), Link>,
    passed: Passed,
}

/// The relays of a fleet.
pub struct Relays {
    /// By node, then by other node: where the node reaches the other.
    pub peers: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relays {
    /// Relays between nodes that hear at these addresses. Their random numbers come from the seed.
    #[must_use]
    pub fn start(nodes: Vec<SocketAddr>, seed: u64) -> Self {
        let count = nodes.len();
        let mut sockets = BTreeMap::new();
        let mut peers = vec![Vec::new(); count];
        for at in 0..count {
            for other in 0..count {
                if at == other {
                    peers[at].push(nodes[at]); // Its own among them, as the platform has it.
                    continue;
                }
                let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
                socket.set_nonblocking(true).expect("a socket");
                peers[at].push(socket.local_addr().expect("an address"));
                sockets.insert((at, other), socket);
            }
        }
        let state = Arc::new(Mutex::new(State {
            ordinary: good(),
            ..State::default()
        }));
        let (stop, stopped) = oneshot::channel();
        let of_thread = Arc::clone(&state);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async move {
                let adopt = |(key, socket)| {
                    (
                        key,
                        Arc::new(UdpSocket::from_std(socket).expect("a socket")),
                    )
                };
                let sockets: BTreeMap<_, _> = sockets.into_iter().map(adopt).collect();
                for ((at, other), socket) in &sockets {
                    // What `at` sends to `other` leaves where `other` has `at` among its peers.
                    let out = Arc::clone(&sockets[&(*other, *at)]);
                    let line = Line::new(seed ^ ((*at as u64) << 32) ^ (*other as u64 + 1));
                    let (to, key, state) = (nodes[*other], (*at, *other), Arc::clone(&of_thread));
                    tokio::spawn(relay(Arc::clone(socket), out, to, key, line, state));
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
        self.state.lock().expect("sound")
    }

    /// What has passed so far.
    #[must_use]
    pub fn passed(&self) -> Passed {
        self.state().passed
    }

    /// Does what a trouble says of links; others are none of its business.
    pub fn apply(&self, trouble: &Trouble) {
        let mut state = self.state();
        let ordinary = state.ordinary.clone();
        match trouble {
            Trouble::Cut { from, to } => {
                state.links.entry((*from, *to)).or_insert(ordinary).cut = true;
            }
            Trouble::Mend { from, to } => {
                state.links.entry((*from, *to)).or_insert(ordinary).cut = false;
            }
            Trouble::Link { from, to, link } => {
                state.links.insert((*from, *to), link.clone());
            }
            Trouble::All { link } => {
                state.links.clear();
                state.ordinary = link.clone();
            }
            Trouble::HealAll => {
                state.links.clear();
                state.ordinary = good();
            }
            Trouble::Pause { .. } | Trouble::Kill { .. } | Trouble::Start { .. } => {}
        }
    }
}

/// The machine's own delay does.
fn good() -> Link {
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
            let _ = thread.join(); // Its panic has been printed.
        }
    }
}

async fn relay(
    socket: Arc<UdpSocket>,
    out: Arc<UdpSocket>,
    to: SocketAddr,
    key: (usize, usize),
    mut line: Line,
    state: Arc<Mutex<State>>,
) {
    let start = Instant::now();
    let mut buffer = vec![0; BUFFER];
    loop {
        // An error is the other end's that is not there.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let link = {
            let mut state = state.lock().expect("sound");
            state.passed.datagrams += 1;
            state.passed.bytes += length as u64;
            state.passed.longest = state.passed.longest.max(length);
            state.links.get(&key).unwrap_or(&state.ordinary).clone()
        };
        let now = start.elapsed().as_secs_f64() * 1e3;
        let mut done = Done::default();
        let passed = line.pass(now, &link, buffer[..length].to_vec(), &mut done);
        state.lock().expect("sound").passed.done += done;
        for (after_ms, bytes) in passed {
            if after_ms <= 0.0 {
                let _ = out.send_to(&bytes, to).await; // Lost, as anywhere on the way.
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
