//! A server process dies, and another one comes up at its address: no request that may have run at the old one runs at the new
//! one, which does not know the old one's idempotency keys.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use socket2::SockRef;
use testkit::*;

/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(80);
/// Number of requests of a trial.
const REQUESTS: usize = 12;

/// A server process.
struct ServerProcess {
    address: SocketAddr,
    /// Ids of the requests that it has received completely.
    received: Arc<Mutex<Vec<String>>>,
    is_dead: Arc<AtomicBool>,
    accepting: Option<JoinHandle<()>>,
}

impl ServerProcess {
    fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("read the local address");
        listener
            .set_nonblocking(true)
            .expect("configure the listener");
        let (received, is_dead) = (Arc::default(), Arc::default());
        let process = (Arc::clone(&received), Arc::clone(&is_dead));
        let accepting = thread::spawn(move || accept(&listener, &process.0, &process.1));
        Self {
            address,
            received,
            is_dead,
            accepting: Some(accepting),
        }
    }

    /// Resets the connections, and listens no more.
    fn kill(&mut self) {
        self.is_dead.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            accepting.join().expect("the process does not panic");
        }
    }

    fn received(&self) -> Vec<String> {
        self.received.lock().expect("no thread panics").clone()
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn accept(listener: &TcpListener, received: &Arc<Mutex<Vec<String>>>, is_dead: &Arc<AtomicBool>) {
    let mut connections = Vec::new();
    while !is_dead.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream
            .set_nonblocking(false)
            .expect("configure the connection");
        connections.push(stream.try_clone().expect("duplicate a socket"));
        let (received, is_dead) = (Arc::clone(received), Arc::clone(is_dead));
        thread::spawn(move || serve(stream, &received, &is_dead));
    }
    for stream in connections {
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

fn serve(mut stream: TcpStream, received: &Mutex<Vec<String>>, is_dead: &AtomicBool) -> Option<()> {
    let request = Message::read(&mut BufReader::new(&stream))?;
    let id = request.header("req-id")?.to_owned();
    received.lock().expect("no thread panics").push(id);
    thread::sleep(WORK);
    if !is_dead.load(Ordering::SeqCst) {
        stream.write_all(&response("200 OK", "", "yes")).ok()?;
    }
    Some(())
}

fn entry(id: &str, address: SocketAddr, cell: usize, lifecycle: &str) -> String {
    endpoint_entry(id, address, lifecycle).replace("\"cell\":0", &format!("\"cell\":{cell}"))
}

/// When the node is told of the replacement, after the old process has died.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Never,
    At(Duration),
}

/// Runs a trial; the old process is in cell 0, and another server in `second_cell`. Returns the ids that ran at processes of different cells.
fn run_trial(class: &str, notice: Notice, second_cell: usize) -> Vec<String> {
    let listen = || TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let mut old = ServerProcess::start(listen());
    let others = [
        ServerProcess::start(listen()),
        ServerProcess::start(listen()),
    ];
    let discovery = Discovery::start();
    let entries = [
        entry("s-old", old.address, 0, "ready"),
        entry("s-1", others[0].address, second_cell, "ready"),
        entry("s-2", others[1].address, 1, "ready"),
    ];
    let settings = settings(3_000).replace("\"group\":\"all\"", "\"group\":\"cell\"");
    let node = Node::start(&config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings,
    ));
    let mut watch = discovery.watch();
    let address = node.address;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let key = if class == "hold" {
                format!("Idempotency-Key: k-{number}\r\n")
            } else {
                String::new()
            };
            let message = post_request(&format!("r-{number}"), class, &key, "body");
            thread::spawn(move || {
                let mut client = Client::connect(address);
                client.send(&message);
                client.read_response().map(|response| response.status())
            })
        })
        .collect();
    wait_until("the old process has requests", || {
        !old.received().is_empty()
    });
    thread::sleep(WORK / 4);
    old.kill();
    let listener = TcpListener::bind(old.address).expect("bind the address again");
    let new = ServerProcess::start(listener);
    if let Notice::At(delay) = notice {
        thread::sleep(delay);
        let changes = [
            entry("s-new", new.address, 1, "ready"),
            entry("s-old", old.address, 0, "gone"),
        ];
        watch.send(&format!("{}\n", endpoint_list(2, false, &changes)));
    }
    for client in clients {
        let status = client.join().expect("the client does not panic");
        assert!(status.is_some(), "a request had no answer");
    }
    let mut cells = [
        old.received(),
        [new.received(), others[1].received()].concat(),
    ];
    cells[second_cell].extend(others[0].received());
    let [first, second] = cells;
    first.into_iter().filter(|id| second.contains(id)).collect()
}

/// Guards against taking a new process at the address of one that has died for the old one.
#[test]
fn request_that_may_have_run_does_not_run_at_a_new_process_at_the_same_address() {
    let mut failures = Vec::new();
    for class in ["hold", "pay"] {
        for notice in [
            Notice::Never,
            Notice::At(Duration::ZERO),
            Notice::At(Duration::from_millis(20)),
        ] {
            for second_cell in [0, 1] {
                let repeated = run_trial(class, notice, second_cell);
                if !repeated.is_empty() {
                    failures.push(format!("{class}, {notice:?}, {second_cell}: {repeated:?}"));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
