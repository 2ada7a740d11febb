//! Discovery as the platform has it, on a script.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

use crate::message::Message;
use crate::PATIENCE;

/// An entry of a list: a server in its zone, machine kind and cell, with its lifecycle.
#[must_use]
pub fn entry(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"z","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A list, whole or of changes.
#[must_use]
pub fn list(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

/// A discovery whose watch says what it is told to.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// A discovery that takes watches and says nothing.
    #[must_use]
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, watches): (Sender<(String, TcpStream)>, _) = channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut input = BufReader::new(stream.try_clone().expect("a socket"));
                let Some(request) = Message::read(&mut input) else { continue };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(head.as_bytes()).is_err() || sender.send((request.first, stream)).is_err()
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
        let (asked, stream) = self.watches.recv_timeout(PATIENCE).expect("a watch");
        Watch { asked, stream }
    }
}

/// An open watch; dropping it ends it.
pub struct Watch {
    /// The first line of the request.
    pub asked: String,
    stream: TcpStream,
}

impl Watch {
    /// Sends text as one chunk, whether or not it is a whole line.
    pub fn say(&mut self, text: &str) {
        self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).expect("an open watch");
    }

    /// Keeps it alive with an empty line each second, as discovery does, until it ends.
    #[must_use]
    pub fn kept_alive(self) -> Self {
        let mut stream = self.stream.try_clone().expect("a socket");
        thread::spawn(move || {
            while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                thread::sleep(Duration::from_secs(1));
            }
        });
        self
    }

    /// Whether the node has ended it.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        match self.stream.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}
