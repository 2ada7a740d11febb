//! Fake servers that respond as a test specifies and record the requests.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::message::{response, Message};
use crate::socket::{AddressFamily, Endpoint, Listener, Stream};

/// Reaction of a server to a request.
#[derive(Clone)]
pub enum Reply {
    /// Writes these bytes and keeps the connection open.
    Send(Vec<u8>),
    /// Writes these bytes, without adding a `Connection: close`, and closes the connection.
    SendAndClose(Vec<u8>),
    /// Writes the first bytes, and after the delay the second; keeps the connection open.
    SendInTwoParts(Vec<u8>, Duration, Vec<u8>),
    /// Writes a response and serves the connection's next request; after the delay, writes bytes that no request asked
    /// for.
    SendWithUnsolicited {
        /// The response.
        response: Vec<u8>,
        /// Time between the response and the unsolicited bytes.
        delay: Duration,
        /// Bytes that no request asked for.
        unsolicited: Vec<u8>,
    },
    /// Closes the connection without a response.
    Close,
    /// Sends no response and keeps the connection open.
    NoResponse,
}

impl Reply {
    /// A response of status 200 with this body.
    #[must_use]
    pub fn ok(body: &str) -> Self {
        Self::Send(response("200 OK", "", body))
    }
}

#[derive(Default)]
/// Record of requests and connections.
struct Traffic {
    requests: Vec<Message>,
    /// Whether requests are only counted.
    counts_only: bool,
    request_count: usize,
    last_request_at: Option<Instant>,
    arrivals: Vec<Instant>,
    accepted_connections: usize,
    closed_connections: usize,
    unsolicited_writes: usize,
}

type ReplyFn = dyn Fn(&Message) -> Reply + Send + Sync;

/// A fake server that records the requests.
pub struct Server {
    /// Address that it listens on, or one without a listener if the server has only a Unix socket.
    pub address: SocketAddr,
    /// Unix socket at which a node must reach the server instead of at the address in its endpoint-list entry.
    pub unix_endpoint: Option<Endpoint>,
    traffic: Arc<Mutex<Traffic>>,
    reply: Arc<ReplyFn>,
}

impl Server {
    /// Starts a server of the address family of the test run, which handles each request as `reply` returns.
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let family = AddressFamily::from_environment();
        if family == AddressFamily::Unix {
            let mut server = Self::start_on(AddressFamily::V4, reply).0;
            server.unix_endpoint = Some(server.add_address(AddressFamily::Unix));
            return server;
        }
        Self::start_on(family, reply).0
    }

    /// Like [`Server::start`], on an address of this family; also returns the address.
    pub fn start_on(
        family: AddressFamily,
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> (Self, Endpoint) {
        let without_listener = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut server = Self {
            address: without_listener,
            unix_endpoint: None,
            traffic: Arc::default(),
            reply: Arc::new(reply),
        };
        let endpoint = server.add_address(family);
        if let Endpoint::Ip(address) = endpoint {
            server.address = address;
        }
        (server, endpoint)
    }

    /// Makes the server listen on one more address, of this family.
    #[must_use]
    pub fn add_address(&self, family: AddressFamily) -> Endpoint {
        let (listener, endpoint) = Listener::bind(family);
        let (traffic, reply) = (Arc::clone(&self.traffic), Arc::clone(&self.reply));
        thread::spawn(move || {
            while let Ok(stream) = listener.accept() {
                let (traffic, reply) = (Arc::clone(&traffic), Arc::clone(&reply));
                lock(&traffic).accepted_connections += 1;
                thread::spawn(move || {
                    let handle = stream.clone_handle();
                    Self::serve(stream, &traffic, &*reply);
                    // Between fork and exec, a process that another test starts has a copy of every socket. If this
                    // stream were only dropped, that copy would keep the connection open.
                    handle.shutdown(Shutdown::Both);
                    lock(&traffic).closed_connections += 1;
                });
            }
        });
        endpoint
    }

    fn serve(mut stream: Stream, traffic: &Arc<Mutex<Traffic>>, reply: &ReplyFn) {
        let mut input = BufReader::new(stream.clone_handle());
        while let Some(request) = Message::read(&mut input) {
            {
                let mut traffic = lock(traffic);
                traffic.request_count += 1;
                traffic.last_request_at = Some(Instant::now());
                if !traffic.counts_only {
                    traffic.requests.push(request.clone());
                    traffic.arrivals.push(Instant::now());
                }
            }
            match reply(&request) {
                Reply::Send(text) => stream.write_all(&text).unwrap_or_default(),
                Reply::SendAndClose(text) => return stream.write_all(&text).unwrap_or_default(),
                Reply::SendInTwoParts(first, delay, second) => {
                    stream.write_all(&first).unwrap_or_default();
                    thread::sleep(delay);
                    stream.write_all(&second).unwrap_or_default();
                }
                Reply::SendWithUnsolicited {
                    response,
                    delay,
                    unsolicited,
                } => {
                    stream.write_all(&response).unwrap_or_default();
                    let stream = stream.clone_handle();
                    let traffic = Arc::clone(traffic);
                    thread::spawn(move || {
                        send_unsolicited(stream, delay, &unsolicited, &traffic);
                    });
                }
                Reply::Close => return,
                Reply::NoResponse => {}
            }
        }
    }

    /// Counts requests without recording them, which long runs need.
    #[must_use]
    pub fn without_recording(self) -> Self {
        lock(&self.traffic).counts_only = true;
        self
    }

    /// Number of requests received.
    #[must_use]
    pub fn request_count(&self) -> usize {
        lock(&self.traffic).request_count
    }

    /// Time at which the last request was received.
    #[must_use]
    pub fn last_request_at(&self) -> Option<Instant> {
        lock(&self.traffic).last_request_at
    }

    /// Recorded requests, in order of arrival.
    #[must_use]
    pub fn requests(&self) -> Vec<Message> {
        lock(&self.traffic).requests.clone()
    }

    /// Time at which each recorded request was complete, in the same order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.traffic).arrivals.clone()
    }

    /// Number of connections accepted.
    #[must_use]
    pub fn accepted_connections(&self) -> usize {
        lock(&self.traffic).accepted_connections
    }

    /// Number of connections closed.
    #[must_use]
    pub fn closed_connections(&self) -> usize {
        lock(&self.traffic).closed_connections
    }

    /// Number of times that unsolicited bytes were written to a connection.
    #[must_use]
    pub fn unsolicited_writes(&self) -> usize {
        lock(&self.traffic).unsolicited_writes
    }

    /// Its entry in an endpoint list.
    #[must_use]
    pub fn endpoint_entry(&self, id: &str, lifecycle: &str) -> String {
        crate::endpoint_entry(id, self.address, lifecycle)
    }
}

/// Writes bytes after a delay, also to a connection that the node has closed meanwhile.
fn send_unsolicited(mut stream: Stream, delay: Duration, bytes: &[u8], traffic: &Mutex<Traffic>) {
    thread::sleep(delay);
    lock(traffic).unsolicited_writes += 1;
    stream.write_all(bytes).unwrap_or_default();
}

fn lock(traffic: &Mutex<Traffic>) -> MutexGuard<'_, Traffic> {
    traffic
        .lock()
        .expect("no thread panics while it holds the lock")
}

/// An address without a listener. No other test can listen on it until this is dropped, as an open connection occupies
/// its port.
pub struct Unreachable {
    /// Address that refuses connections.
    pub address: SocketAddr,
    _connection: (TcpListener, TcpStream),
}

impl Unreachable {
    /// Reserves an address.
    #[must_use]
    #[allow(clippy::new_without_default)]
    pub fn reserve() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
        let stream = TcpStream::connect(listener.local_addr().expect("read the local address"))
            .expect("connect to the listener");
        Self {
            address: stream.local_addr().expect("read the local address"),
            _connection: (listener, stream),
        }
    }
}
