//! Servers that answer as they are told and note what comes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::message::{answer, Message};

/// What a server does with a request.
#[derive(Clone)]
pub enum Reply {
    /// Writes this and keeps the connection.
    Say(Vec<u8>),
    /// Writes this and closes the connection without a word of it.
    SayAndClose(Vec<u8>),
    /// Writes this, and that so much later.
    SayThen(Vec<u8>, Duration, Vec<u8>),
    /// Closes the connection.
    Close,
    /// Says nothing.
    Silence,
}

impl Reply {
    /// 200 with a body.
    #[must_use]
    pub fn ok(body: &str) -> Self {
        Self::Say(answer("200 OK", "", body))
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

/// A server that notes what comes.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl Server {
    /// A server that answers each request as the function says.
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (seen, reply) = (Arc::<Mutex<Seen>>::default(), Arc::new(reply));
        let noted = Arc::clone(&seen);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (noted, reply) = (Arc::clone(&noted), Arc::clone(&reply));
                noted.lock().expect("sound").opened += 1;
                thread::spawn(move || {
                    Self::connection(stream, &noted, &*reply);
                    noted.lock().expect("sound").closed += 1;
                });
            }
        });
        Self { address, seen }
    }

    fn connection(mut stream: TcpStream, seen: &Mutex<Seen>, reply: &dyn Fn(&Message) -> Reply) {
        let mut input = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(request) = Message::read(&mut input) {
            {
                let mut seen = seen.lock().expect("sound");
                seen.count += 1;
                seen.last = Some(Instant::now());
                if !seen.quiet {
                    seen.requests.push(request.clone());
                    seen.arrivals.push(Instant::now());
                }
            }
            match reply(&request) {
                Reply::Say(text) => stream.write_all(&text).unwrap_or_default(),
                Reply::SayAndClose(text) => return stream.write_all(&text).unwrap_or_default(),
                Reply::SayThen(now, after, then) => {
                    stream.write_all(&now).unwrap_or_default();
                    thread::sleep(after);
                    stream.write_all(&then).unwrap_or_default();
                }
                Reply::Close => return,
                Reply::Silence => {}
            }
        }
    }

    /// Counts what comes, and keeps none of it: for long runs.
    #[must_use]
    pub fn quiet(self) -> Self {
        self.seen.lock().expect("sound").quiet = true;
        self
    }

    /// How many requests have come.
    #[must_use]
    pub fn count(&self) -> usize {
        self.seen.lock().expect("sound").count
    }

    /// When the last request came.
    #[must_use]
    pub fn last(&self) -> Option<Instant> {
        self.seen.lock().expect("sound").last
    }

    /// What has come, in its order.
    #[must_use]
    pub fn requests(&self) -> Vec<Message> {
        self.seen.lock().expect("sound").requests.clone()
    }

    /// When the requests' last bytes had come, in the same order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        self.seen.lock().expect("sound").arrivals.clone()
    }

    /// Connections that have come.
    #[must_use]
    pub fn opened(&self) -> usize {
        self.seen.lock().expect("sound").opened
    }

    /// Connections that have ended.
    #[must_use]
    pub fn closed(&self) -> usize {
        self.seen.lock().expect("sound").closed
    }

    /// Its entry in a list.
    #[must_use]
    pub fn entry(&self, id: &str, lifecycle: &str) -> String {
        crate::entry(id, self.address, lifecycle)
    }
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
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        Self { address: stream.local_addr().expect("an address"), _ends: (listener, stream) }
    }
}
