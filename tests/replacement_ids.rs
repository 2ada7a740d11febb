//! Request ids while processes of a node replace one another on one listening socket: each process rejects the ids that are open
//! or retained at any of them.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use tempfile::TempDir;
use testkit::*;

/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(600);
/// Id of a request on which a server works for longer.
const LONG_REQUEST: &str = "long";
const LONG_WORK: Duration = Duration::from_secs(3);
/// Time after SIGTERM from which on a process accepts no connections any more.
const ACCEPT_PERIOD: Duration = Duration::from_millis(400);
/// Classes whose repeat could do harm.
const CLASSES: [&str; 2] = ["hold", "pay"];

/// Two servers, and what starts processes of one node on one listening socket.
struct Deployment {
    servers: [Server; 2],
    _discovery: Discovery,
    config: String,
    listener: TcpListener,
}

impl Deployment {
    fn new() -> Self {
        let servers = [0, 1].map(|_| {
            Server::start(|request| {
                let is_long = request.header("req-id") == Some(LONG_REQUEST);
                thread::sleep(if is_long { LONG_WORK } else { WORK });
                Reply::ok("yes")
            })
        });
        let discovery = Discovery::start();
        let list = ready_servers(servers.iter().map(|server| server.address));
        Self {
            servers,
            config: config(discovery.address, &list, &settings(5_000)),
            _discovery: discovery,
            listener: TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket"),
        }
    }

    fn start_process(&self) -> Node {
        Node::start_on(&self.config, &self.listener)
    }

    /// How often an id has run.
    fn runs(&self, id: &str) -> usize {
        let requests = self.servers.iter().flat_map(Server::requests);
        requests
            .filter(|request| request.header("req-id") == Some(id))
            .count()
    }

    /// Sends a request to one process while the others do not accept. Returns the connection once the request runs.
    fn open_at(&self, process: &Node, others: &[&Node], class: &str, id: &str) -> TcpStream {
        let stream = send_while_stopped(others, process, class, id);
        wait_until("the request runs", || self.runs(id) == 1);
        resume(others);
        stream
    }

    /// Asserts that an id is rejected by a process, and runs no second time.
    fn check_rejected(&self, process: &Node, others: &[&Node], class: &str, id: &str) {
        let status = status_at(process, others, class, id);
        assert_eq!(status, 409, "{id}");
        assert_eq!(self.runs(id), 1, "{id}");
    }
}

/// Sends a request to a process while the others do not accept.
fn send_while_stopped(others: &[&Node], process: &Node, class: &str, id: &str) -> TcpStream {
    for other in others {
        other.signal(Signal::STOP);
    }
    send(process, class, id)
}

/// Sends a request to a process while the others do not accept. Returns the status of its response.
fn status_at(process: &Node, others: &[&Node], class: &str, id: &str) -> u16 {
    let stream = send_while_stopped(others, process, class, id);
    let status = read_status(&stream);
    resume(others);
    status
}

fn resume(processes: &[&Node]) {
    for process in processes {
        process.signal(Signal::CONT);
    }
}

fn message(class: &str, id: &str) -> String {
    match class {
        "read" => read_request(id, "5000m"),
        "hold" => post_request(id, class, &format!("Idempotency-Key: {id}\r\n"), "x"),
        _ => post_request(id, class, "", "x"),
    }
}

fn send(process: &Node, class: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(process.address).expect("connect to the node");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("set the read timeout");
    stream
        .write_all(message(class, id).as_bytes())
        .expect("write the request");
    stream
}

fn read_status(stream: &TcpStream) -> u16 {
    let response = Message::read(&mut BufReader::new(stream));
    response.expect("the request is answered").status()
}

/// A stand-in for a process of an earlier version, which does not share its ids: a program with the node's name that has been passed the
/// listening socket. It ends when it is dropped.
struct LegacyProcess {
    child: Child,
    _directory: TempDir,
}

impl LegacyProcess {
    fn start(listener: &TcpListener) -> Self {
        let directory =
            TempDir::new_in(env!("CARGO_TARGET_TMPDIR")).expect("create a temporary directory");
        let program = directory.path().join("silverthread");
        // This program waits for input for as long as its standard input is open.
        let original = env!("CARGO_BIN_EXE_silverthread-simulator-adapter");
        std::fs::hard_link(original, &program).expect("give the program another name");
        let socket = listener.try_clone().expect("duplicate a socket");
        let child = Command::new(program)
            .env("ROUTER_LISTEN_FD", "1")
            .stdin(Stdio::piped())
            .stdout(OwnedFd::from(socket))
            .spawn()
            .expect("start a program");
        Self {
            child,
            _directory: directory,
        }
    }
}

impl Drop for LegacyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a second execution, at the other process, of an id that is open or whose client has left.
#[test]
fn id_of_one_process_of_an_upgrade_is_rejected_by_the_other() {
    let deployment = Deployment::new();
    let old = deployment.start_process();
    let early = deployment.open_at(&old, &[], "pay", "early");
    let new = deployment.start_process();
    deployment.check_rejected(&new, &[&old], "pay", "early");
    assert_eq!(read_status(&early), 200);
    for class in CLASSES {
        for (name, first, second) in [("old-new", &old, &new), ("new-old", &new, &old)] {
            let id = format!("{name}-{class}");
            let open = deployment.open_at(first, &[second], class, &id);
            deployment.check_rejected(second, &[first], class, &id);
            assert_eq!(read_status(&open), 200, "{id}");
            let id = format!("{name}-{class}-left");
            drop(deployment.open_at(first, &[second], class, &id));
            deployment.check_rejected(second, &[first], class, &id);
            thread::sleep(2 * WORK);
            deployment.check_rejected(second, &[first], class, &id);
        }
    }
    let open = deployment.open_at(&old, &[&new], "read", "read");
    deployment.check_rejected(&new, &[&old], "read", "read");
    assert_eq!(read_status(&open), 200);
}

/// Guards against an id that is lost with one of several processes that replace one another.
#[test]
fn id_is_rejected_by_the_last_of_several_replacements() {
    let deployment = Deployment::new();
    let first = deployment.start_process();
    drop(deployment.open_at(&first, &[], "pay", "left"));
    let open = deployment.open_at(&first, &[], "pay", "open");
    let second = deployment.start_process();
    let mut third = deployment.start_process();
    deployment.check_rejected(&third, &[&first, &second], "pay", "open");
    first.terminate();
    second.terminate();
    thread::sleep(ACCEPT_PERIOD);
    deployment.check_rejected(&third, &[], "pay", "open");
    assert_eq!(read_status(&open), 200);
    for mut ended in [first, second] {
        assert_eq!(ended.wait().code(), Some(0));
    }
    deployment.check_rejected(&third, &[], "pay", "left");
    let fourth = deployment.start_process();
    third.terminate();
    assert_eq!(third.wait().code(), Some(0));
    deployment.check_rejected(&fourth, &[], "pay", "left");
}

/// Guards against losing the ids of a process that has stopped accepting connections when its successor starts.
#[test]
fn id_open_at_a_shutting_down_process_is_rejected_by_its_successor() {
    let deployment = Deployment::new();
    let old = deployment.start_process();
    let open = deployment.open_at(&old, &[], "pay", LONG_REQUEST);
    old.terminate();
    thread::sleep(ACCEPT_PERIOD);
    let new = deployment.start_process();
    deployment.check_rejected(&new, &[], "pay", LONG_REQUEST);
    assert_eq!(read_status(&open), 200);
}

/// Guards against processes that start at the same moment and do not find one another.
#[test]
fn processes_that_start_at_once_share_their_ids() {
    let deployment = Deployment::new();
    let processes = thread::scope(|scope| {
        let (config, listener) = (&deployment.config, &deployment.listener);
        let starts = [0; 3].map(|_| scope.spawn(|| Node::start_on(config, listener)));
        starts.map(|start| start.join().expect("the process starts"))
    });
    let [first, second, third] = &processes;
    let rotations = [
        [first, second, third],
        [second, third, first],
        [third, first, second],
    ];
    for (index, [process, other, another]) in rotations.into_iter().enumerate() {
        // A process that takes a second to start is taken for one that shares no ids until then.
        let mut attempt = 0;
        wait_until("the process serves each class", || {
            attempt += 1;
            let id = format!("{index}-{attempt}");
            status_at(process, &[other, another], "pay", &id) == 200
        });
        let id = index.to_string();
        let open = deployment.open_at(process, &[other, another], "pay", &id);
        deployment.check_rejected(other, &[process, another], "pay", &id);
        deployment.check_rejected(another, &[process, other], "pay", &id);
        assert_eq!(read_status(&open), 200);
    }
}

/// Guards against a second execution of a request that was open at a killed process and may still be running at its server.
#[test]
fn id_of_a_killed_process_is_rejected() {
    let deployment = Deployment::new();
    let mut killed = deployment.start_process();
    let survivor = deployment.start_process();
    let open = ["hold", "pay", "read"].map(|class| {
        let id = format!("killed-{class}");
        deployment.open_at(&killed, &[&survivor], class, &id)
    });
    killed.signal(Signal::KILL);
    killed.wait();
    drop(open);
    for class in CLASSES {
        deployment.check_rejected(&survivor, &[], class, &format!("killed-{class}"));
    }
    let status = status_at(&survivor, &[], "read", "killed-read");
    assert_eq!(status, 200, "a request that may be repeated is served");
    let successor = deployment.start_process();
    for class in CLASSES {
        let id = format!("killed-{class}");
        deployment.check_rejected(&successor, &[&survivor], class, &id);
    }
}

/// Guards against a process that waits for another one that does not respond, or takes its ids for free.
#[test]
fn id_of_a_process_that_hangs_is_rejected_and_others_are_served() {
    let deployment = Deployment::new();
    let hanging = deployment.start_process();
    let _open = deployment.open_at(&hanging, &[], "pay", "open");
    drop(deployment.open_at(&hanging, &[], "pay", "left"));
    hanging.signal(Signal::STOP);
    let other = deployment.start_process();
    for id in ["open", "left"] {
        assert_eq!(read_status(&send(&other, "pay", id)), 409, "{id}");
        assert_eq!(deployment.runs(id), 1, "{id}");
    }
    assert_eq!(read_status(&send(&other, "pay", "other")), 200);
    drop(deployment.open_at(&other, &[&hanging], "pay", "left-other"));
    deployment.check_rejected(&hanging, &[&other], "pay", "left-other");
}

/// Guards against a second execution beside a process of an earlier version, which does not share its ids.
#[test]
fn non_idempotent_request_is_rejected_beside_a_process_of_an_earlier_version() {
    let deployment = Deployment::new();
    let legacy = LegacyProcess::start(&deployment.listener);
    let new = deployment.start_process();
    for class in CLASSES {
        let status = read_status(&send(&new, class, class));
        assert_eq!((status, deployment.runs(class)), (503, 0), "{class}");
    }
    assert_eq!(read_status(&send(&new, "read", "read")), 200);
    drop(legacy);
    for class in CLASSES {
        let id = format!("{class} later");
        wait_until("the request is served", || {
            read_status(&send(&new, class, &id)) == 200
        });
        assert_eq!(deployment.runs(&id), 1, "{class}");
    }
}

/// Guards against two processes that reserve an id at the same moment.
#[test]
fn id_that_several_clients_send_at_once_runs_once() {
    const IDS: usize = 40;
    const CLIENTS: usize = 6;
    let deployment = Deployment::new();
    let processes = [0; 3].map(|_| deployment.start_process());
    let barrier = Barrier::new(CLIENTS);
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let (processes, barrier) = (&processes, &barrier);
            scope.spawn(move || {
                for number in 0..IDS {
                    let connection = TcpStream::connect(processes[0].address);
                    let mut stream = connection.expect("connect to the node");
                    barrier.wait();
                    let class = CLASSES[number % CLASSES.len()];
                    let message = message(class, &number.to_string());
                    stream
                        .write_all(message.as_bytes())
                        .expect("write the request");
                    // The client that is served must not free the id before the others have sent theirs.
                    thread::sleep(Duration::from_millis(20));
                    drop(stream);
                }
            });
        }
    });
    let runs: Vec<_> = (0..IDS)
        .map(|number| deployment.runs(&number.to_string()))
        .collect();
    assert!(runs.iter().all(|runs| *runs == 1), "{runs:?}");
}
