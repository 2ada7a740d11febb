//! Servers that answer as they are told and note what comes.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::message::{response, Message};
use crate::socket::{AddressFamily, Endpoint, Listener, Stream};

/// What a server does with a request.
#[derive(Clone)]
pub enum Reply {
    /// Writes this and keeps the connection.
    Send(Vec<u8>),
    /// Writes this and closes the connection without a word of it.
    SendAndClose(Vec<u8>),
    /// Writes this, and that so much later.
    SendInTwoParts(Vec<u8>, Duration, Vec<u8>),
    /// Closes the connection.
    Close,
    /// Says nothing.
    NoResponse,
}

impl Reply {
    /// 200 with a body.
    #[must_use]
    pub fn ok(body: &str) -> Self {
        Self::Send(response("200 OK", "", body))
    }
}

#[derive(Default)]
struct Seen {
    requests: Vec<Message>,
    quiet: bool,
    count: usize,
    last: Option<Instant>,
    arrivals: Vec<Instant>,
    opened: usize,
    closed: usize,
}

type Replies = dyn Fn(&Message) -> Reply + Send + Sync;

/// A server that notes what comes.
pub struct Server {
    /// Where it listens, or where nobody does if it is reached at a path alone.
    pub address: SocketAddr,
    /// Where a node is to reach it instead, if that is not in its entry.
    pub unix_endpoint: Option<Endpoint>,
    seen: Arc<Mutex<Seen>>,
    reply: Arc<Replies>,
}

impl Server {
    /// A server that answers each request as the function says.
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let kind = AddressFamily::from_environment();
        if kind == AddressFamily::Unix {
            let mut server = Self::start_on(AddressFamily::V4, reply).0;
            server.unix_endpoint = Some(server.add_address(AddressFamily::Unix));
            return server;
        }
        Self::start_on(kind, reply).0
    }

    /// The same on another kind of address.
    pub fn start_on(
        kind: AddressFamily,
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> (Self, Endpoint) {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut server = Self {
            address: nowhere,
            unix_endpoint: None,
            seen: Arc::default(),
            reply: Arc::new(reply),
        };
        let endpoint = server.add_address(kind);
        if let Endpoint::Ip(address) = endpoint {
            server.address = address;
        }
        (server, endpoint)
    }

    /// One more address of the same server.
    #[must_use]
    pub fn add_address(&self, kind: AddressFamily) -> Endpoint {
        let (listener, endpoint) = Listener::bind(kind);
        let (seen, reply) = (Arc::clone(&self.seen), Arc::clone(&self.reply));
        thread::spawn(move || {
            while let Ok(stream) = listener.accept() {
                let (seen, reply) = (Arc::clone(&seen), Arc::clone(&reply));
                lock(&seen).opened += 1;
                thread::spawn(move || {
                    let held = stream.clone_handle();
                    Self::connection(stream, &seen, &*reply);
                    // A process that another test is about to start holds a copy of every socket for a moment, and with
                    // it open a connection that is merely dropped.
                    held.shutdown(Shutdown::Both);
                    lock(&seen).closed += 1;
                });
            }
        });
        endpoint
    }

    fn connection(mut stream: Stream, seen: &Mutex<Seen>, reply: &Replies) {
        let mut input = BufReader::new(stream.clone_handle());
        while let Some(request) = Message::read(&mut input) {
            {
                let mut seen = lock(seen);
                seen.count += 1;
                seen.last = Some(Instant::now());
                if !seen.quiet {
                    seen.requests.push(request.clone());
                    seen.arrivals.push(Instant::now());
                }
            }
            match reply(&request) {
                Reply::Send(text) => stream.write_all(&text).unwrap_or_default(),
                Reply::SendAndClose(text) => return stream.write_all(&text).unwrap_or_default(),
                Reply::SendInTwoParts(now, after, then) => {
                    stream.write_all(&now).unwrap_or_default();
                    thread::sleep(after);
                    stream.write_all(&then).unwrap_or_default();
                }
                Reply::Close => return,
                Reply::NoResponse => {}
            }
        }
    }

    /// Counts what comes, and keeps none of it: for long runs.
    #[must_use]
    pub fn without_recording(self) -> Self {
        lock(&self.seen).quiet = true;
        self
    }

    /// How many requests have come.
    #[must_use]
    pub fn request_count(&self) -> usize {
        lock(&self.seen).count
    }

    /// When the last request came.
    #[must_use]
    pub fn last_request_at(&self) -> Option<Instant> {
        lock(&self.seen).last
    }

    /// What has come, in its order.
    #[must_use]
    pub fn requests(&self) -> Vec<Message> {
        lock(&self.seen).requests.clone()
    }

    /// When the requests' last bytes had come, in the same order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.seen).arrivals.clone()
    }

    /// Connections that have come.
    #[must_use]
    pub fn accepted_connections(&self) -> usize {
        lock(&self.seen).opened
    }

    /// Connections that have ended.
    #[must_use]
    pub fn closed_connections(&self) -> usize {
        lock(&self.seen).closed
    }

    /// Its entry in a list.
    #[must_use]
    pub fn endpoint_entry(&self, id: &str, lifecycle: &str) -> String {
        crate::endpoint_entry(id, self.address, lifecycle)
    }
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().expect("sound")
}

/// An address where nobody listens, nor can another test while this lives: a connection has its port.
pub struct Unreachable {
    /// The address.
    pub address: SocketAddr,
    _ends: (TcpListener, TcpStream),
}

impl Unreachable {
    /// Takes an address.
    #[must_use]
    #[allow(clippy::new_without_default)]
    pub fn reserve() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream =
            TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        Self {
            address: stream.local_addr().expect("an address"),
            _ends: (listener, stream),
        }
    }
}
