//! A watch on the list of servers that goes wrong in every way it can, and news that must come all the same.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use silverthread::node::discovery::endpoint_list::PROPAGATION_DEADLINE;
use testkit::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What becomes of a watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// It is accepted, and nothing more is heard.
    Unanswered,
    /// The answer's head comes, and then nothing.
    HeadAlone,
    /// Empty lines come, and then nothing.
    Quiet,
    /// A part of a line comes, and then nothing.
    HalfLine,
    /// A line goes on and does not end.
    EndlessLine,
    /// The call is refused by the service.
    Unavailable,
    /// The connection is reset in the midst of a line.
    Reset,
    /// A line makes no sense.
    Nonsense,
}

impl Fault {
    const ALL: [Self; 8] = [
        Self::Unanswered,
        Self::HeadAlone,
        Self::Quiet,
        Self::HalfLine,
        Self::EndlessLine,
        Self::Unavailable,
        Self::Reset,
        Self::Nonsense,
    ];

    /// Plays it on a watch, which is held open as long as the node holds it.
    fn play(self, stream: &mut TcpStream) {
        self.begin(stream);
        self.go_on(stream);
    }

    fn begin(self, stream: &mut TcpStream) {
        let line = list(2, false, &[]);
        let text = match self {
            Self::Unanswered => String::new(),
            Self::HeadAlone => HEAD.to_owned(),
            Self::Quiet => format!("{HEAD}{}{}", chunk("\n"), chunk("\n")),
            Self::HalfLine | Self::EndlessLine | Self::Reset => {
                format!("{HEAD}{}", chunk(&line[..20]))
            }
            Self::Unavailable => {
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            Self::Nonsense => format!("{HEAD}{}", chunk("{\"generation\":}\n")),
        };
        // One that is moved meanwhile may have been ended.
        let _ = stream.write_all(text.as_bytes());
        if self == Self::Reset {
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
    }

    fn go_on(self, stream: &mut TcpStream) {
        if self == Self::Reset {
            return;
        }
        stream
            .set_read_timeout(Some(Duration::from_millis(100)))
            .expect("a socket");
        let since = Instant::now();
        while since.elapsed() < PATIENCE
            && matches!(stream.read(&mut [0; 1]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
        {
            if self == Self::EndlessLine && stream.write_all(chunk(" ").as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Two servers that say which they are, and settings under which a change of the list must be known in a while.
struct World {
    servers: [Server; 2],
    text: String,
}

impl World {
    fn new(asked_for: bool) -> Self {
        let servers = [0, 1].map(|n| Server::start(move |_| Reply::ok(&n.to_string())));
        let text = settings(15_000).replace(
            "\"drain_grace_ms\":0.0",
            "\"drain_grace_ms\":2000.0,\"ask_within_ms\":10000.0",
        );
        let text = if asked_for {
            text.replace("automatic", "subscribe")
        } else {
            text
        };
        Self { servers, text }
    }

    fn list(&self, version: u64, is_whole: bool, first: &str) -> String {
        let states = [first, "ready"];
        let entries = [0, 1].map(|n| self.servers[n].entry(&format!("s-{n}"), states[n]));
        list(version, is_whole, &entries)
    }

    /// A node that knows the list in this version.
    fn config(&self, discovery: &TcpListener, version: u64) -> String {
        let at = discovery.local_addr().expect("an address");
        config(at, &self.list(version, true, "ready"), &self.text)
    }

    /// Says that the first server drains, and waits until no request goes there.
    fn drains(&self, watch: &mut TcpStream, node: &Node, version: u64, is_whole: bool) {
        let said = self.list(version, is_whole, "draining") + "\n";
        watch
            .write_all(format!("{HEAD}{}", chunk(&said)).as_bytes())
            .expect("an open connection");
        let mut id = 0;
        until("the change is known", || {
            (0..8).all(|_| {
                id += 1;
                node.ask(&read(&format!("known-{id}"), "15000m")).body == b"1"
            })
        });
    }
}

/// The next call of a node's, and its first line.
fn next_call(discovery: &TcpListener) -> (TcpStream, String) {
    discovery.set_nonblocking(true).expect("a socket");
    let mut came = None;
    until("the node calls", || {
        came = discovery.accept().ok();
        came.is_some()
    });
    let (stream, _) = came.expect("it came");
    stream.set_nonblocking(false).expect("a socket");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    let call = Message::read(&mut BufReader::new(&stream)).expect("a call");
    (stream, call.first)
}

/// A node whose first watch goes wrong; the second says that the first of two servers drains. Tells how long that took
/// from the first call on.
fn told_after(fault: Fault, asked_for: bool) -> Duration {
    let world = World::new(asked_for);
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let node = Node::start(&world.config(&discovery, 1));
    let (mut first, _) = next_call(&discovery);
    let since = Instant::now();
    let held = std::thread::spawn(move || fault.play(&mut first));
    let (mut second, call) = next_call(&discovery);
    let all_anew = !call.contains("from=");
    assert_eq!(
        all_anew,
        fault == Fault::Nonsense,
        "after what made no sense the whole list is asked for: {call}"
    );
    world.drains(&mut second, &node, 3, all_anew);
    let took = since.elapsed();
    held.join().expect("it has been played");
    took
}

fn all_are_told_in_time(asked_for: bool) {
    let played = Fault::ALL.map(|fault| {
        (
            fault,
            std::thread::spawn(move || told_after(fault, asked_for)),
        )
    });
    for (fault, told) in played {
        let took = told.join().unwrap_or_else(|_| panic!("{fault:?}"));
        assert!(took < PROPAGATION_DEADLINE, "{fault:?}: {took:?}");
    }
}

/// Guards the rule on when a change counts as told, whatever becomes of a watch.
#[test]
fn news_come_in_time_whatever_becomes_of_a_pushed_watch() {
    all_are_told_in_time(false);
}

#[test]
fn news_come_in_time_whatever_becomes_of_a_watch_that_is_asked_for() {
    all_are_told_in_time(true);
}

/// A change counts as told this long after a signal that moves discovery.
const MOVED: Duration = Duration::from_secs(4);

/// A node whose first watch goes wrong and that is told of another discovery, one right after the other: `fault_first` says
/// which. The other one says that the first of two servers drains. Tells how long that took from the signal on.
fn told_after_move(fault: Fault, asked_for: bool, fault_first: bool) -> Duration {
    let world = World::new(asked_for);
    let discoveries = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let texts = discoveries
        .each_ref()
        .map(|discovery| world.config(discovery, 7));
    let node = Node::start(&texts[0]);
    let (first, call) = next_call(&discoveries[0]);
    assert!(call.contains("from=7"), "{call}");
    // Whoever comes second is held up until the other has been done, and no longer.
    let both = Arc::new(Barrier::new(2));
    let meets = Arc::clone(&both);
    let held = std::thread::spawn(move || {
        let mut first = Some(first);
        if !fault_first {
            meets.wait();
        }
        first
            .as_mut()
            .into_iter()
            .for_each(|stream| fault.begin(stream));
        // It is dropped that is reset.
        let mut first = first.filter(|_| fault != Fault::Reset);
        if fault_first {
            meets.wait();
        }
        first
            .as_mut()
            .into_iter()
            .for_each(|stream| fault.go_on(stream));
    });
    if fault_first {
        both.wait();
        node.reload(&texts[1]);
    } else {
        node.reload(&texts[1]);
        both.wait();
    }
    let since = Instant::now();
    let (mut second, call) = next_call(&discoveries[1]);
    assert!(
        !call.contains("from="),
        "versions are one discovery's own: {call}"
    );
    world.drains(&mut second, &node, 2, true);
    let took = since.elapsed();
    drop((second, discoveries, node));
    held.join().expect("it has been played");
    took
}

/// Guards against a node that is held up by the watch it had when it is told of another discovery, whatever becomes of that
/// watch just before or just after.
#[test]
fn a_move_of_discovery_is_heard_beside_any_fault_of_the_watch_before() {
    for asked_for in [false, true] {
        let cases = Fault::ALL
            .iter()
            .flat_map(|fault| [(*fault, true), (*fault, false)]);
        let played: Vec<_> = cases
            .map(|case| {
                (
                    case,
                    std::thread::spawn(move || told_after_move(case.0, asked_for, case.1)),
                )
            })
            .collect();
        for (case, told) in played {
            let took = told
                .join()
                .unwrap_or_else(|_| panic!("{case:?}, asked for: {asked_for}"));
            assert!(took < MOVED, "{case:?}, asked for: {asked_for}: {took:?}");
        }
    }
}

/// Guards against a node that is told of another discovery while it waits to ask again, and asks that one for what has
/// changed since a version of the other.
#[test]
fn a_discovery_that_is_new_is_asked_for_the_whole_list() {
    let text = settings(15_000).replace("automatic", "subscribe").replace(
        "\"drain_grace_ms\":0.0",
        "\"drain_grace_ms\":0.0,\"ask_within_ms\":600000.0",
    );
    let known = list(
        7,
        true,
        &[entry("s-0", Unreachable::start().address, "ready")],
    );
    let (old, new) = (Discovery::start(), Discovery::start());
    let node = Node::start(&config(old.address, &known, &text));
    // One call after another fails at once, so that the node waits between two of them nearly all the time.
    for _ in 0..6 {
        assert!(old.watch().asked.contains("from=7"));
    }
    node.reload(&config(new.address, &known, &text));
    assert!(
        !new.watch().asked.contains("from="),
        "versions are one discovery's own"
    );
}
