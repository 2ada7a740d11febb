//! Requests whose clients leave: nothing more is sent for them, and their ids do not run again.

use std::collections::HashSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;
use testkit::*;

const KIB: usize = 1024;
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(300);
/// Time after the close of a client's connection from which on no attempt may begin, with the margin of each time limit.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(150);
/// Classes whose repeat could do harm.
const NON_IDEMPOTENT_CLASSES: [&str; 2] = ["hold", "pay"];

/// When a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    WhileServerWorks,
    WithinLongResponse,
}

/// A request of a class, with a body of this length.
fn request(id: &str, class: &str, length: usize) -> Vec<u8> {
    let key = if class == "hold" {
        format!("Idempotency-Key: {id}\r\n")
    } else {
        String::new()
    };
    let body = "x".repeat(length);
    post_request(id, class, &key, &body).into_bytes()
}

/// Starts a server that responds after [`WORK`] with 300 KiB, the second half after [`WORK`] once more.
fn start_slow_server() -> Arc<Server> {
    Arc::new(Server::start(|_| {
        thread::sleep(WORK);
        let response = response("200 OK", "", &"y".repeat(300 * KIB));
        let (first, second) = response.split_at(150 * KIB);
        Reply::SendInTwoParts(first.to_vec(), WORK, second.to_vec())
    }))
}

fn start_node(servers: &[&Server], settings: &str) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let endpoints = ready_servers(servers.iter().map(|server| server.address));
    (
        Node::start(&config(discovery.address, &endpoints, settings)),
        discovery,
    )
}

fn settings_with_cancellation(is_allowed: bool) -> String {
    settings(5_000).replace("\"cancel\":true", &format!("\"cancel\":{is_allowed}"))
}

fn runs(servers: &[Arc<Server>], id: &str) -> usize {
    let requests = servers.iter().flat_map(|server| server.requests());
    requests
        .filter(|request| request.header("req-id") == Some(id))
        .count()
}

/// Sends a request on a connection of its own. Returns the response's status.
fn status_of(node: SocketAddr, message: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(node).expect("connect to the node");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("set the read timeout");
    stream.write_all(message).expect("write the request");
    Some(Message::read(&mut BufReader::new(stream))?.status())
}

/// Sends a request and leaves. Returns once the client's connection is closed.
fn send_and_leave(node: SocketAddr, message: &[u8], departure: Departure) {
    let mut stream = TcpStream::connect(node).expect("connect to the node");
    stream.write_all(message).expect("write the request");
    match departure {
        Departure::WhileServerWorks => thread::sleep(WORK / 2),
        Departure::WithinLongResponse => stream
            .read_exact(&mut vec![0; 10 * KIB])
            .expect("read the beginning of the response"),
    }
}

/// Guards against a second execution of a request that comes again, under its id, after its client has left: the first may
/// have run, or runs still.
#[test]
fn id_whose_client_left_does_not_run_again() {
    for cancels in [true, false] {
        let servers = [start_slow_server(), start_slow_server()];
        let (node, _discovery) = start_node(
            &[&servers[0], &servers[1]],
            &settings_with_cancellation(cancels),
        );
        for class in NON_IDEMPOTENT_CLASSES {
            for departure in [Departure::WhileServerWorks, Departure::WithinLongResponse] {
                let id = format!("{class}-{departure:?}");
                let message = request(&id, class, 100);
                send_and_leave(node.address, &message, departure);
                for pause in [Duration::ZERO, Duration::from_millis(100), 2 * WORK] {
                    thread::sleep(pause);
                    let status = status_of(node.address, &message);
                    assert_eq!(status, Some(409), "{id}, cancels: {cancels}, {pause:?}");
                }
                assert_eq!(runs(&servers, &id), 1, "{id}, cancels: {cancels}");
            }
        }
    }
}

/// Guards against serving a client under the id of a request whose response is still on its way.
#[test]
fn id_of_a_request_whose_long_response_is_on_its_way_is_rejected() {
    let servers = [start_slow_server(), start_slow_server()];
    let (node, _discovery) = start_node(&[&servers[0], &servers[1]], &settings(5_000));
    for class in ["read", "hold", "pay"] {
        let id = format!("open-{class}");
        let message = if class == "read" {
            read_request(&id, "5000m").into_bytes()
        } else {
            request(&id, class, 100)
        };
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        stream.write_all(&message).expect("write the request");
        stream
            .read_exact(&mut vec![0; 10 * KIB])
            .expect("read the beginning of the response");
        assert_eq!(status_of(node.address, &message), Some(409), "{class}");
        assert_eq!(runs(&servers, &id), 1, "{class}");
    }
}

/// How a client closes its connection.
#[derive(Clone, Copy, Debug)]
enum Close {
    InOrder,
    WithReset,
}

/// Guards against sending requests on whose client has closed its connection, with much still unread in the kernel.
#[test]
fn requests_behind_the_close_of_their_client_are_not_sent() {
    for close in [Close::InOrder, Close::WithReset] {
        for work in [WORK, Duration::from_millis(10)] {
            for body_bytes in [0, 1_000, 100 * KIB] {
                check_close(close, work, body_bytes);
            }
        }
    }
}

/// A client sends many requests at once, and closes its connection while the first ones are served.
fn check_close(close: Close, work: Duration, body_bytes: usize) {
    const REQUESTS: usize = 200;
    let server = Server::start(move |_| {
        thread::sleep(work);
        Reply::ok("yes")
    });
    let (node, _discovery) = start_node(&[&server], &settings(5_000));
    let mut stream = TcpStream::connect(node.address).expect("connect to the node");
    stream
        .set_write_timeout(Some(Duration::from_millis(60)))
        .expect("set the write timeout");
    let messages: Vec<u8> = (0..REQUESTS)
        .flat_map(|number| request(&format!("r-{number}"), "pay", body_bytes))
        .collect();
    let _ = stream.write_all(&messages); // Ends with the timeout if it does not fit into the kernel.
    thread::sleep(Duration::from_millis(60));
    let linger = match close {
        Close::InOrder => None,
        Close::WithReset => Some(Duration::ZERO),
    };
    SockRef::from(&stream)
        .set_linger(linger)
        .expect("set the linger time");
    let process_starts = pause_process_starts(); // A child would keep the connection open until it calls exec.
    drop(stream);
    let closed_at = Instant::now();
    drop(process_starts);
    thread::sleep(2 * WORK + 4 * work);
    let late: Vec<_> = server
        .arrivals()
        .into_iter()
        .map(|arrival| arrival.saturating_duration_since(closed_at))
        .filter(|delay| *delay > MAX_ATTEMPT_DELAY)
        .collect();
    assert!(
        late.is_empty(),
        "{close:?}, work {work:?}, bodies of {body_bytes}: attempts after {late:?}"
    );
}

/// Guards against a second execution at the other process of an upgrade: both accept connections from one listening socket.
#[test]
fn id_whose_client_left_does_not_run_again_at_the_other_process_of_an_upgrade() {
    let servers = [start_slow_server(), start_slow_server()];
    let discovery = Discovery::start();
    let endpoints = ready_servers(servers.iter().map(|server| server.address));
    let text = config(discovery.address, &endpoints, &settings(5_000));
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let old = Node::start_on(&text, &listener);
    let message = request("upgrade", "pay", 100);
    send_and_leave(old.address, &message, Departure::WhileServerWorks);
    let new = Node::start_on(&text, &listener);
    old.terminate();
    // By then the old process accepts no connections any more.
    thread::sleep(Duration::from_millis(400));
    let _ = status_of(new.address, &message);
    assert_eq!(runs(&servers, "upgrade"), 1);
}

/// Guards against dropping retained ids in favor of new ones: a process whose table is full rejects new ids.
#[test]
fn ids_of_clients_that_left_run_once_however_many_there_are() {
    const IDS: usize = 700;
    let seen = Mutex::new(HashSet::new());
    let server = Server::start(move |request| {
        let id = request.header("req-id").map(str::to_owned);
        let mut seen = seen.lock().expect("no thread panics with the lock held");
        if seen.insert(id) {
            Reply::NoResponse
        } else {
            Reply::ok("ran again")
        }
    });
    let discovery = Discovery::start();
    let list = endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]);
    let text = config(discovery.address, &list, &settings(5_000))
        .replace("\"memory_mb\":192", "\"memory_mb\":2");
    let node = Node::start(&text);
    let messages: Vec<_> = (0..IDS)
        .map(|number| request(&format!("left-{number}"), "pay", 1))
        .collect();
    let mut that_ran = Vec::new();
    for message in &messages {
        let before = server.request_count();
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        stream.write_all(message).expect("write the request");
        stream
            .set_nonblocking(true)
            .expect("configure the connection");
        wait_until("the request runs or is refused", || {
            let is_refused = stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0);
            is_refused || server.request_count() > before
        });
        if server.request_count() > before {
            that_ran.push(message);
        }
    }
    assert!(that_ran.len() < IDS, "the table is never full");
    for message in &that_ran[..200] {
        assert_eq!(status_of(node.address, message), Some(409));
    }
    assert_eq!(server.request_count(), that_ran.len(), "no id runs twice");
}
