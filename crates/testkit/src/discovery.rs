//! Discovery as the platform has it, on a script.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::message::Message;
use crate::WAIT_TIMEOUT;

/// An entry of a list: a server in its zone, machine kind and cell, with its lifecycle.
#[must_use]
pub fn endpoint_entry(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"z","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A list, whole or of changes.
#[must_use]
pub fn endpoint_list(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(
        r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#,
        entries.join(",")
    )
}

/// How often a watch says that it is alive: discovery does so every 2 s at the latest.
const ALIVE: Duration = Duration::from_millis(500);

/// A discovery whose watch says what it is told to.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    watches: Receiver<Watch>,
}

impl Discovery {
    /// A discovery that takes watches and keeps them alive, and says nothing else.
    #[must_use]
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, watches): (Sender<Watch>, _) = channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut input = BufReader::new(stream.try_clone().expect("a socket"));
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

    /// The next watch that a node opens.
    #[must_use]
    pub fn watch(&self) -> Watch {
        self.watches.recv_timeout(WAIT_TIMEOUT).expect("a watch")
    }
}

/// How a watch stands between what it is told to say.
#[derive(Default)]
struct Between {
    /// Whether a part of a line has been said.
    in_line: bool,
    silent: bool,
}

/// An open watch; dropping it ends it. It is kept alive with empty lines, as discovery does, between whole lines.
pub struct Watch {
    /// The first line of the request.
    pub request_line: String,
    stream: TcpStream,
    between: Arc<Mutex<Between>>,
}

impl Watch {
    fn open(request_line: String, stream: TcpStream) -> Self {
        let between = Arc::<Mutex<Between>>::default();
        let (mut held, state) = (stream.try_clone().expect("a socket"), Arc::clone(&between));
        thread::spawn(move || loop {
            thread::sleep(ALIVE);
            let between = state.lock().expect("no panic");
            if between.silent || (!between.in_line && held.write_all(b"1\r\n\n\r\n").is_err()) {
                return;
            }
        });
        Self {
            request_line,
            stream,
            between,
        }
    }

    /// Sends text as one chunk, whether or not it is a whole line.
    pub fn send(&mut self, text: &str) {
        let mut between = self.between.lock().expect("no panic");
        between.in_line = !text.ends_with('\n');
        self.stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .expect("an open watch");
    }

    /// From now on it says nothing by itself, and stays open.
    pub fn stop_keep_alive(&mut self) {
        self.between.lock().expect("no panic").silent = true;
    }

    /// Whether the node has ended it.
    pub fn is_closed(&mut self) -> bool {
        self.stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a socket");
        match self.stream.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop_keep_alive();
        let _ = self.stream.shutdown(Shutdown::Both); // One that the node has ended is past it.
    }
}
