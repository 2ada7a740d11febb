//! Watches on the endpoint list that fail in every way they can, and changes that must take effect
//! in time all the same.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use silverthread::node::discovery::endpoint_list::PROPAGATION_DEADLINE;
use testkit::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A change must take effect this long after a signal that moves discovery.
const MOVE_DEADLINE: Duration = Duration::from_secs(4);

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// How a watch fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The connection is accepted, and nothing is received.
    NoResponse,
    /// The response's head is received, and then nothing.
    HeadOnly,
    /// Empty lines are received, and then nothing.
    Silent,
    /// A part of a line is received, and then nothing.
    PartialLine,
    /// A line continues and does not end.
    EndlessLine,
    /// The service responds with 503.
    Unavailable,
    /// The connection is reset within a line.
    Reset,
    /// A line is not JSON.
    Malformed,
}

impl Fault {
    const ALL: [Self; 8] = [
        Self::NoResponse,
        Self::HeadOnly,
        Self::Silent,
        Self::PartialLine,
        Self::EndlessLine,
        Self::Unavailable,
        Self::Reset,
        Self::Malformed,
    ];

    /// Injects the fault into a watch and keeps it open for as long as the node does.
    fn inject(self, stream: &mut TcpStream) {
        self.begin(stream);
        self.continue_until_closed(stream);
    }

    fn begin(self, stream: &mut TcpStream) {
        let line = endpoint_list(2, false, &[]);
        let text = match self {
            Self::NoResponse => String::new(),
            Self::HeadOnly => HEAD.to_owned(),
            Self::Silent => format!("{HEAD}{}{}", chunk("\n"), chunk("\n")),
            Self::PartialLine | Self::EndlessLine | Self::Reset => {
                format!("{HEAD}{}", chunk(&line[..20]))
            }
            Self::Unavailable => {
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            Self::Malformed => format!("{HEAD}{}", chunk("{\"generation\":}\n")),
        };
        // The node may have closed it by now, if discovery has moved.
        let _ = stream.write_all(text.as_bytes());
        if self == Self::Reset {
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
    }

    fn continue_until_closed(self, stream: &mut TcpStream) {
        if self == Self::Reset {
            return;
        }
        stream
            .set_read_timeout(Some(Duration::from_millis(100)))
            .expect("a socket");
        let since = Instant::now();
        while since.elapsed() < WAIT_TIMEOUT
            && matches!(stream.read(&mut [0; 1]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
        {
            if self == Self::EndlessLine && stream.write_all(chunk(" ").as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Two servers that respond with their number, and settings under which a change of the list must
/// take effect within a grace.
struct Site {
    servers: [Server; 2],
    settings: String,
}

impl Site {
    fn new(subscribed: bool) -> Self {
        let servers = [0, 1].map(|n| Server::start(move |_| Reply::ok(&n.to_string())));
        let settings = settings(15_000).replace(
            "\"drain_grace_ms\":0.0",
            "\"drain_grace_ms\":2000.0,\"ask_within_ms\":10000.0",
        );
        let settings = if subscribed {
            settings.replace("automatic", "subscribe")
        } else {
            settings
        };
        Self { servers, settings }
    }

    fn list(&self, generation: u64, is_whole: bool, first: &str) -> String {
        let lifecycles = [first, "ready"];
        let entries =
            [0, 1].map(|n| self.servers[n].endpoint_entry(&format!("s-{n}"), lifecycles[n]));
        endpoint_list(generation, is_whole, &entries)
    }

    /// The configuration of a node that knows the list in this generation.
    fn config(&self, discovery: &TcpListener, generation: u64) -> String {
        let at = discovery.local_addr().expect("an address");
        config(at, &self.list(generation, true, "ready"), &self.settings)
    }

    /// Sends a list in which the first server drains, and waits until it gets no request.
    fn drain_first_server(
        &self,
        watch: &mut TcpStream,
        node: &Node,
        generation: u64,
        is_whole: bool,
    ) {
        let line = self.list(generation, is_whole, "draining") + "\n";
        watch
            .write_all(format!("{HEAD}{}", chunk(&line)).as_bytes())
            .expect("an open connection");
        let mut id = 0;
        wait_until("the change takes effect", || {
            (0..8).all(|_| {
                id += 1;
                node.request(&read_request(&format!("known-{id}"), "15000m"))
                    .body
                    == b"1"
            })
        });
    }
}

/// The node's next connection to discovery, and its request line.
fn next_watch(discovery: &TcpListener) -> (TcpStream, String) {
    discovery.set_nonblocking(true).expect("a socket");
    let mut accepted = None;
    wait_until("the node opens a watch", || {
        accepted = discovery.accept().ok();
        accepted.is_some()
    });
    let (stream, _) = accepted.expect("`until` has waited for it");
    stream.set_nonblocking(false).expect("a socket");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a socket");
    let request = Message::read(&mut BufReader::new(&stream)).expect("a request");
    (stream, request.start_line)
}

/// Runs a node whose first watch fails and whose second one drains the first of two servers.
/// Returns how long the drain takes to take effect, from the first watch on.
fn propagation_after_fault(fault: Fault, subscribed: bool) -> Duration {
    let site = Site::new(subscribed);
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let node = Node::start(&site.config(&discovery, 1));
    let (mut first, _) = next_watch(&discovery);
    let since = Instant::now();
    let injection = std::thread::spawn(move || fault.inject(&mut first));
    let (mut second, request_line) = next_watch(&discovery);
    let requests_whole_list = !request_line.contains("from=");
    assert_eq!(
        requests_whole_list,
        fault == Fault::Malformed,
        "only after a malformed list the whole one is requested: {request_line}"
    );
    site.drain_first_server(&mut second, &node, 3, requests_whole_list);
    let elapsed = since.elapsed();
    injection.join().expect("the fault is injected");
    elapsed
}

fn check_propagation_after_every_fault(subscribed: bool) {
    let runs = Fault::ALL.map(|fault| {
        (
            fault,
            std::thread::spawn(move || propagation_after_fault(fault, subscribed)),
        )
    });
    for (fault, run) in runs {
        let elapsed = run.join().unwrap_or_else(|_| panic!("{fault:?}"));
        assert!(elapsed < PROPAGATION_DEADLINE, "{fault:?}: {elapsed:?}");
    }
}

#[test]
fn change_after_a_failed_pushed_watch_takes_effect_in_time() {
    check_propagation_after_every_fault(false);
}

#[test]
fn change_after_a_failed_subscribed_watch_takes_effect_in_time() {
    check_propagation_after_every_fault(true);
}

/// Runs a node whose first watch fails and whose discovery moves, one right after the other:
/// `fault_first` says which comes first. The new discovery drains the first of two servers. Returns
/// how long the drain takes to take effect, from the signal on.
fn propagation_after_move(fault: Fault, subscribed: bool, fault_first: bool) -> Duration {
    let site = Site::new(subscribed);
    let discoveries = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let configs = discoveries
        .each_ref()
        .map(|discovery| site.config(discovery, 7));
    let node = Node::start(&configs[0]);
    let (first, request_line) = next_watch(&discoveries[0]);
    assert!(request_line.contains("from=7"), "{request_line}");
    // Whichever comes second waits until the first is done, and no longer.
    let barrier = Arc::new(Barrier::new(2));
    let injection_barrier = Arc::clone(&barrier);
    let injection = std::thread::spawn(move || {
        let mut first = Some(first);
        if !fault_first {
            injection_barrier.wait();
        }
        first
            .as_mut()
            .into_iter()
            .for_each(|stream| fault.begin(stream));
        // Dropping the stream resets the connection.
        let mut first = first.filter(|_| fault != Fault::Reset);
        if fault_first {
            injection_barrier.wait();
        }
        first
            .as_mut()
            .into_iter()
            .for_each(|stream| fault.continue_until_closed(stream));
    });
    if fault_first {
        barrier.wait();
        node.reload(&configs[1]);
    } else {
        node.reload(&configs[1]);
        barrier.wait();
    }
    let since = Instant::now();
    let (mut second, request_line) = next_watch(&discoveries[1]);
    assert!(
        !request_line.contains("from="),
        "generations are one discovery's own: {request_line}"
    );
    site.drain_first_server(&mut second, &node, 2, true);
    let elapsed = since.elapsed();
    drop((second, discoveries, node));
    injection.join().expect("the fault is injected");
    elapsed
}

/// Guards against a node that is delayed by its old watch when discovery moves, however that watch
/// fails just before or just after.
#[test]
fn move_of_discovery_beside_a_failed_watch_takes_effect_in_time() {
    for subscribed in [false, true] {
        let cases = Fault::ALL
            .iter()
            .flat_map(|fault| [(*fault, true), (*fault, false)]);
        let runs: Vec<_> = cases
            .map(|case| {
                (
                    case,
                    std::thread::spawn(move || propagation_after_move(case.0, subscribed, case.1)),
                )
            })
            .collect();
        for (case, run) in runs {
            let elapsed = run
                .join()
                .unwrap_or_else(|_| panic!("{case:?}, subscribed: {subscribed}"));
            assert!(
                elapsed < MOVE_DEADLINE,
                "{case:?}, subscribed: {subscribed}: {elapsed:?}"
            );
        }
    }
}

/// Guards against a node whose discovery moves while it waits to subscribe again, and that requests
/// from the new one the changes since a generation of the old one.
#[test]
fn new_discovery_is_asked_for_the_whole_list() {
    let settings = settings(15_000).replace("automatic", "subscribe").replace(
        "\"drain_grace_ms\":0.0",
        "\"drain_grace_ms\":0.0,\"ask_within_ms\":600000.0",
    );
    let known = endpoint_list(
        7,
        true,
        &[endpoint_entry(
            "s-0",
            Unreachable::reserve().address,
            "ready",
        )],
    );
    let (old, new) = (Discovery::start(), Discovery::start());
    let node = Node::start(&config(old.address, &known, &settings));
    // Each watch fails at once, so that the node waits between two of them nearly all the time.
    for _ in 0..6 {
        assert!(old.watch().request_line.contains("from=7"));
    }
    node.reload(&config(new.address, &known, &settings));
    assert!(
        !new.watch().request_line.contains("from="),
        "generations are one discovery's own"
    );
}
