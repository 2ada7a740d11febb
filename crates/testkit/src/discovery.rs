//! A fake of the platform's endpoint discovery; the test supplies the lines that its watches send.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::message::Message;
use crate::WAIT_TIMEOUT;

/// JSON of an endpoint list's entry: a server in zone `z`, of machine type `m` and in cell 0, with this lifecycle.
#[must_use]
pub fn endpoint_entry(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"z","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// JSON of the complete endpoint list of generation 1, with the ready servers `s-0`, `s-1` and so on at these addresses.
#[must_use]
pub fn ready_servers(addresses: impl IntoIterator<Item = SocketAddr>) -> String {
    let entries: Vec<_> = addresses
        .into_iter()
        .enumerate()
        .map(|(number, address)| endpoint_entry(&format!("s-{number}"), address, "ready"))
        .collect();
    endpoint_list(1, true, &entries)
}

/// JSON of an endpoint list: the complete list if `reset` is true, otherwise only the changed entries.
#[must_use]
pub fn endpoint_list(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(
        r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#,
        entries.join(",")
    )
}

/// Interval of the empty lines that keep a watch alive: discovery sends one at least every 2 s.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// A fake discovery service. Its watches send what the test sends, and empty lines that keep them alive.
pub struct Discovery {
    /// Address that it listens on.
    pub address: SocketAddr,
    watches: Receiver<Watch>,
}

impl Discovery {
    /// Starts a service that accepts watches and keeps them alive.
    #[must_use]
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
        let address = listener.local_addr().expect("read the local address");
        let (sender, watches): (Sender<Watch>, _) = channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut input = BufReader::new(stream.try_clone().expect("duplicate a socket"));
                let Some(request) = Message::read(&mut input) else {
                    continue;
                };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(head.as_bytes()).is_err()
                    || sender
                        .send(Watch::open(request.start_line, stream))
                        .is_err()
                {
                    return;
                }
            }
        });
        Self { address, watches }
    }

    /// Waits for the next watch that a node opens.
    #[must_use]
    pub fn watch(&self) -> Watch {
        self.watches
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a node opens a watch within the time limit")
    }
}

/// State of a watch that decides whether a keep-alive line may be sent.
#[derive(Default)]
struct WatchState {
    /// Whether the text sent last ended within a line.
    is_within_line: bool,
    /// Whether keep-alive lines have ended.
    is_silent: bool,
}

/// An open watch; dropping it closes it. As in discovery, empty lines keep it alive; none is sent within a line.
pub struct Watch {
    /// Request line of the request that opened it.
    pub request_line: String,
    stream: TcpStream,
    state: Arc<Mutex<WatchState>>,
}

impl Watch {
    fn open(request_line: String, stream: TcpStream) -> Self {
        let state = Arc::<Mutex<WatchState>>::default();
        let (mut output, shared_state) = (
            stream.try_clone().expect("duplicate a socket"),
            Arc::clone(&state),
        );
        thread::spawn(move || loop {
            thread::sleep(KEEP_ALIVE_INTERVAL);
            let state = shared_state
                .lock()
                .expect("the watch state is not poisoned");
            if state.is_silent
                || (!state.is_within_line && output.write_all(b"1\r\n\n\r\n").is_err())
            {
                return;
            }
        });
        Self {
            request_line,
            stream,
            state,
        }
    }

    /// Sends text as one chunk; it need not be a complete line.
    pub fn send(&mut self, text: &str) {
        let mut state = self.state.lock().expect("the watch state is not poisoned");
        state.is_within_line = !text.ends_with('\n');
        self.stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .expect("the watch is open");
    }

    /// Sends no more keep-alive lines, and leaves the watch open.
    pub fn stop_keep_alive(&mut self) {
        self.state
            .lock()
            .expect("the watch state is not poisoned")
            .is_silent = true;
    }

    /// Waits until the node closes the watch, and returns whether it did so within the time limit.
    pub fn is_closed(&mut self) -> bool {
        self.stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("set the read timeout");
        match self.stream.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop_keep_alive();
        let _ = self.stream.shutdown(Shutdown::Both); // An error means that it is already closed.
    }
}
