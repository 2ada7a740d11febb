//! Faults of the watch on the endpoint list. After each of them, changes of the list must take effect
//! in time.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use silverthread::node::discovery::endpoint_list::PROPAGATION_DEADLINE;
use testkit::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Time within which a change must take effect after a SIGHUP that changes the address of discovery.
const ADDRESS_CHANGE_DEADLINE: Duration = Duration::from_secs(4);

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// How a watch fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The service accepts the connection and sends nothing.
    NoResponse,
    /// The service sends the head of the response and then nothing.
    HeadOnly,
    /// The service sends two empty lines and then nothing.
    Silent,
    /// The service sends a part of a line and then nothing.
    PartialLine,
    /// The service continues to send a line that does not end.
    EndlessLine,
    /// The service responds with 503.
    Unavailable,
    /// The service resets the connection within a line.
    Reset,
    /// The service sends a line that is not JSON.
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

    /// Sends the bytes of the fault. `Reset` then returns, and the connection is reset when the caller
    /// drops it; the other faults keep it open until the node closes it, for at most `WAIT_TIMEOUT`.
    fn inject(self, stream: &mut TcpStream) {
        self.send_initial_bytes(stream);
        self.continue_until_closed(stream);
    }

    fn send_initial_bytes(self, stream: &mut TcpStream) {
        let line = endpoint_list(2, false, &[]);
        let initial_bytes = match self {
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
        // The write fails if the node has already closed the watch because the address of discovery has changed.
        let _ = stream.write_all(initial_bytes.as_bytes());
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
            .expect("configure the socket");
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

/// Two servers that respond with their index, and settings with a drain grace period of 2 s and an
/// `ask_within_ms` of 10 s.
struct Cluster {
    servers: [Server; 2],
    settings: String,
}

impl Cluster {
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

    fn list(&self, generation: u64, is_full: bool, first: &str) -> String {
        let lifecycles = [first, "ready"];
        let entries =
            [0, 1].map(|n| self.servers[n].endpoint_entry(&format!("s-{n}"), lifecycles[n]));
        endpoint_list(generation, is_full, &entries)
    }

    /// The configuration of a node that starts with the list at this generation.
    fn config(&self, discovery: &TcpListener, generation: u64) -> String {
        let address = discovery.local_addr().expect("read the local address");
        config(
            address,
            &self.list(generation, true, "ready"),
            &self.settings,
        )
    }

    /// Sends a list in which the first server drains, and waits until that server gets no requests.
    fn drain_first_server(
        &self,
        watch: &mut TcpStream,
        node: &Node,
        generation: u64,
        is_full: bool,
    ) {
        let line = self.list(generation, is_full, "draining") + "\n";
        watch
            .write_all(format!("{HEAD}{}", chunk(&line)).as_bytes())
            .expect("write to the connection");
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
    discovery
        .set_nonblocking(true)
        .expect("configure the socket");
    let mut accepted = None;
    wait_until("the node opens a watch", || {
        accepted = discovery.accept().ok();
        accepted.is_some()
    });
    let (stream, _) = accepted.expect("`wait_until` returns once a connection is accepted");
    stream.set_nonblocking(false).expect("configure the socket");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("configure the socket");
    let request = Message::read(&mut BufReader::new(&stream)).expect("read the request");
    (stream, request.start_line)
}

/// Runs a node whose first watch fails and whose second one drains the first of two servers.
/// Returns the time from the first watch until the drain takes effect.
fn propagation_after_fault(fault: Fault, subscribed: bool) -> Duration {
    let cluster = Cluster::new(subscribed);
    let discovery = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let node = Node::start(&cluster.config(&discovery, 1));
    let (mut first, _) = next_watch(&discovery);
    let since = Instant::now();
    let injector = std::thread::spawn(move || fault.inject(&mut first));
    let (mut second, request_line) = next_watch(&discovery);
    let requests_whole_list = !request_line.contains("from=");
    assert_eq!(
        requests_whole_list,
        fault == Fault::Malformed,
        "expected a request for the whole list only after a malformed line; got {request_line}"
    );
    cluster.drain_first_server(&mut second, &node, 3, requests_whole_list);
    let elapsed = since.elapsed();
    injector
        .join()
        .expect("join the thread that injects the fault");
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
        let elapsed = run
            .join()
            .unwrap_or_else(|_| panic!("run with {fault:?} panicked"));
        assert!(
            elapsed < PROPAGATION_DEADLINE,
            "{fault:?}: the change took {elapsed:?}"
        );
    }
}

#[test]
fn change_after_a_failed_automatic_watch_takes_effect_in_time() {
    check_propagation_after_every_fault(false);
}

#[test]
fn change_after_a_failed_subscribed_watch_takes_effect_in_time() {
    check_propagation_after_every_fault(true);
}

/// Runs a node whose first watch fails and whose configured address of discovery changes, one right
/// after the other: `fault_first` selects the order. The new discovery drains the first of two
/// servers. Returns the time from the signal until the drain takes effect.
fn propagation_after_address_change(fault: Fault, subscribed: bool, fault_first: bool) -> Duration {
    let cluster = Cluster::new(subscribed);
    let discoveries =
        [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket"));
    let configs = discoveries
        .each_ref()
        .map(|discovery| cluster.config(discovery, 7));
    let node = Node::start(&configs[0]);
    let (first, request_line) = next_watch(&discoveries[0]);
    assert!(request_line.contains("from=7"), "{request_line}");
    // The second of the two events waits only until the first has happened.
    let barrier = Arc::new(Barrier::new(2));
    let injection_barrier = Arc::clone(&barrier);
    let injector = std::thread::spawn(move || {
        let mut first = Some(first);
        if !fault_first {
            injection_barrier.wait();
        }
        first
            .as_mut()
            .into_iter()
            .for_each(|stream| fault.send_initial_bytes(stream));
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
        "expected no generation in a request to the new discovery; got {request_line}"
    );
    cluster.drain_first_server(&mut second, &node, 2, true);
    let elapsed = since.elapsed();
    drop((second, discoveries, node));
    injector
        .join()
        .expect("join the thread that injects the fault");
    elapsed
}

/// Guards against a change of the address of discovery that is delayed by the old watch, which fails
/// just before or just after the change.
#[test]
fn discovery_move_around_a_watch_fault_takes_effect_in_time() {
    for subscribed in [false, true] {
        let cases = Fault::ALL
            .iter()
            .flat_map(|fault| [(*fault, true), (*fault, false)]);
        let runs: Vec<_> = cases
            .map(|case| {
                (
                    case,
                    std::thread::spawn(move || {
                        propagation_after_address_change(case.0, subscribed, case.1)
                    }),
                )
            })
            .collect();
        for (case, run) in runs {
            let elapsed = run.join().unwrap_or_else(|_| {
                panic!("run with {case:?}, subscribed: {subscribed}, panicked")
            });
            assert!(
                elapsed < ADDRESS_CHANGE_DEADLINE,
                "{case:?}, subscribed: {subscribed}: the change took {elapsed:?}"
            );
        }
    }
}

/// Guards against requesting from a new discovery the changes since a generation of the old one, if
/// the address changes while the node waits to subscribe again.
#[test]
fn new_discovery_receives_a_request_for_the_whole_list() {
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
    // Each watch fails immediately, so the node spends nearly all its time waiting to subscribe again.
    for _ in 0..6 {
        assert!(old.watch().request_line.contains("from=7"));
    }
    node.reload(&config(new.address, &known, &settings));
    assert!(
        !new.watch().request_line.contains("from="),
        "a generation of the old discovery was sent to the new one"
    );
}

/// Layout of a list as JSON text.
#[derive(Clone, Copy, Debug)]
enum Layout {
    /// Indented, with this line end.
    Indented(&'static str),
    /// Without a line end after it.
    Unterminated,
    /// Between two other lists, in one chunk.
    WithinSeveral,
    /// With more white space between two tokens than a list may have of other bytes.
    Spaced,
}

/// Division of a list into chunks.
#[derive(Clone, Copy, Debug)]
enum Division {
    OneChunk,
    SingleBytes,
}

impl Layout {
    const ALL: [Self; 6] = [
        Self::Indented("\n"),
        Self::Indented("\r\n"),
        Self::Indented("\r"),
        Self::Unterminated,
        Self::WithinSeveral,
        Self::Spaced,
    ];

    /// The list of generation 3 in this layout.
    fn write(self, list: &str) -> String {
        match self {
            Self::Indented(line_end) => {
                let value: serde_json::Value =
                    serde_json::from_str(list).expect("the list is valid JSON");
                format!("{value:#}\n").replace('\n', line_end)
            }
            Self::Unterminated => list.to_owned(),
            Self::WithinSeveral => {
                let [before, after] = [2, 4].map(|number| endpoint_list(number, false, &[]));
                format!("{before}{list}\n{after}")
            }
            Self::Spaced => list.replace(',', &format!(",{}", " ".repeat(1 << 20))),
        }
    }
}

/// Writes chunks of a watch whose head has been written. `None` if the node has closed the watch.
fn write_divided(stream: &mut TcpStream, text: &str, division: Division) -> Option<()> {
    match division {
        Division::OneChunk => stream.write_all(chunk(text).as_bytes()).ok(),
        Division::SingleBytes => {
            let chunks: String = text.chars().map(|byte| chunk(&byte.to_string())).collect();
            stream.write_all(chunks.as_bytes()).ok()
        }
    }
}

/// Guards against a watch that is closed, again and again, for the layout of its lists, so that no change takes effect.
#[test]
fn list_in_any_layout_takes_effect_without_another_watch() {
    for subscribed in [false, true] {
        for layout in Layout::ALL {
            for division in [Division::OneChunk, Division::SingleBytes] {
                if matches!((layout, division), (Layout::Spaced, Division::SingleBytes)) {
                    continue; // Millions of chunks would take longer than a list may take.
                }
                let case = format!("{layout:?}, {division:?}, subscribed: {subscribed}");
                let cluster = Cluster::new(subscribed);
                let discovery = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
                let node = Node::start(&cluster.config(&discovery, 1));
                let (mut watch, _) = next_watch(&discovery);
                watch.write_all(HEAD.as_bytes()).expect("write the head");
                let text = layout.write(&cluster.list(3, true, "draining"));
                write_divided(&mut watch, &text, division)
                    .unwrap_or_else(|| panic!("{case}: the watch was closed"));
                let mut id = 0;
                wait_until(&case, || {
                    (0..8).all(|_| {
                        id += 1;
                        node.request(&read_request(&format!("known-{id}"), "15000m"))
                            .body
                            == b"1"
                    })
                });
                let log = node.log().join("\n");
                assert!(!log.contains("invalid list"), "{case}: {log}");
            }
        }
    }
}

/// Guards against memory that grows with a list that never ends, and against a watch that is kept for one.
#[test]
fn watch_with_a_broken_or_endless_list_is_closed() {
    const MAX_GROWTH_KIB: usize = 16 * 1024;
    let list = endpoint_list(2, false, &[]);
    let endless = "x".repeat(64 * 1024);
    for (beginning, repeated) in [
        ("[", ""),
        ("{\"generation\":2}}", ""),
        ("{\"generation\":2,\"instances\":[}", ""),
        ("{\"generation\":2 3}", ""),
        ("{\"generation\n", ""),
        (&list[..20], ""),
        ("{\"generation\":\"", &endless),
        ("{\"generation\":[", &"[".repeat(64 * 1024)),
        ("{\"generation\":", &" \n".repeat(32 * 1024)),
    ] {
        let cluster = Cluster::new(false);
        let discovery = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
        let node = Node::start(&cluster.config(&discovery, 1));
        let (mut watch, _) = next_watch(&discovery);
        let memory_before = node.memory_kib(MemoryKind::Resident);
        watch
            .write_all(format!("{HEAD}{}", chunk(beginning)).as_bytes())
            .expect("write the beginning");
        watch
            .set_write_timeout(Some(WAIT_TIMEOUT))
            .expect("configure the socket");
        let repeated = chunk(repeated);
        let started_at = Instant::now();
        while repeated.len() > 10 && watch.write_all(repeated.as_bytes()).is_ok() {
            assert!(started_at.elapsed() < WAIT_TIMEOUT, "{beginning:?}");
        }
        let (mut second, request_line) = next_watch(&discovery);
        let elapsed = started_at.elapsed();
        assert!(elapsed < PROPAGATION_DEADLINE, "{beginning:?}: {elapsed:?}");
        let growth = node
            .memory_kib(MemoryKind::Resident)
            .saturating_sub(memory_before);
        assert!(growth < MAX_GROWTH_KIB, "{beginning:?}: {growth} KiB");
        let is_full = !request_line.contains("from=");
        cluster.drain_first_server(&mut second, &node, 5, is_full);
    }
}

/// Guards against requesting the whole list at full speed for as long as discovery sends broken ones.
#[test]
fn watch_with_broken_lists_is_reopened_with_backoff() {
    const PERIOD: Duration = Duration::from_secs(3);
    // An eighth of the drain grace of 2 s, and the first attempts, whose delays are shorter.
    const MAX_WATCHES: usize = 3 + 3_000 / 250;
    let cluster = Cluster::new(false);
    let discovery = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let node = Node::start(&cluster.config(&discovery, 1));
    let started_at = Instant::now();
    let mut watches = 0;
    while started_at.elapsed() < PERIOD {
        let (mut watch, _) = next_watch(&discovery);
        watches += 1;
        let _ = watch.write_all(format!("{HEAD}{}", chunk("{]\n")).as_bytes());
    }
    assert!(watches <= MAX_WATCHES, "{watches} watches in {PERIOD:?}");
    let (mut watch, _) = next_watch(&discovery);
    cluster.drain_first_server(&mut watch, &node, 3, true);
}
