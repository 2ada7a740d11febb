//! Requests of all lengths and framings, with and without memory for their bodies: each runs at most once, none that has
//! run is refused, and the servers that served them are not ejected.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use testkit::*;

const KIB: usize = 1024;
/// Lengths around each limit at which a node reads, buffers or forwards a body in another way.
const LENGTHS: [usize; 14] = [
    0,
    1,
    8 * KIB - 1,
    8 * KIB,
    64 * KIB - 1,
    64 * KIB,
    64 * KIB + 1,
    70_000,
    128 * KIB,
    256 * KIB - 1,
    256 * KIB,
    256 * KIB + 1,
    300 * KIB,
    1_000_000,
];
/// The smallest memory limit of a node, in MiB.
const MEMORY_MB: &str = "\"memory_mb\":32";
/// Time that a request of the crowd takes, which uses up the memory for long bodies meanwhile.
const CROWD_WORK: Duration = Duration::from_millis(700);

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BodyFraming {
    ContentLength,
    /// In chunks of this many bytes.
    Chunked(usize),
}

const FRAMINGS: [BodyFraming; 4] = [
    BodyFraming::ContentLength,
    BodyFraming::Chunked(16 * KIB),
    BodyFraming::Chunked(64 * KIB),
    BodyFraming::Chunked(1 << 20),
];

fn request(id: &str, class: &str, length: usize, framing: BodyFraming) -> Vec<u8> {
    let key = format!("Idempotency-Key: {id}\r\n");
    let head = post_request(id, class, if class == "hold" { &key } else { "" }, "");
    let head = if class == "read" {
        head.replace("POST", "GET")
    } else {
        head
    };
    let body = vec![b'x'; length];
    let BodyFraming::Chunked(chunk_bytes) = framing else {
        let head = head.replace("Content-Length: 0", &format!("Content-Length: {length}"));
        return [head.as_bytes(), &body].concat();
    };
    let head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let mut message = head.into_bytes();
    for chunk in body.chunks(chunk_bytes) {
        message.extend(format!("{:x}\r\n", chunk.len()).bytes());
        message.extend(chunk);
        message.extend(b"\r\n");
    }
    message.extend(b"0\r\n\r\n");
    message
}

/// Sends a request on a connection of its own. Returns the response's status and body.
fn exchange(node: SocketAddr, message: &[u8]) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(node).expect("connect to the node");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("set the read timeout");
    // A node that turns the request away may close the connection before it has read the whole body.
    let _ = stream.write_all(message);
    let response = Message::read(&mut BufReader::new(stream))?;
    Some((response.status(), response.body))
}

/// A server that reports the length of each body that it has received, after this long for the ids of the crowd.
fn start_server() -> Arc<Server> {
    Arc::new(Server::start(|request| {
        if request
            .header("req-id")
            .is_some_and(|id| id.starts_with("crowd"))
        {
            thread::sleep(CROWD_WORK);
        }
        Reply::ok(&request.body.len().to_string())
    }))
}

fn start_node(servers: &[Arc<Server>]) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let endpoints = ready_servers(servers.iter().map(|server| server.address));
    let text = config(discovery.address, &endpoints, &settings(15_000))
        .replace("\"memory_mb\":192", MEMORY_MB);
    (Node::start(&text), discovery)
}

fn runs(servers: &[Arc<Server>], id: &str) -> usize {
    let ids = servers.iter().flat_map(|server| server.requests());
    ids.filter(|request| request.header("req-id") == Some(id))
        .count()
}

fn assert_no_ejection(node: &Node) {
    let log = node.log();
    let ejected = log.iter().find(|line| line.contains("outlier detection"));
    assert_eq!(ejected, None, "sound servers must not be ejected");
}

/// Guards against a request that runs several times and is refused as never run, because its length is a limit at which
/// the node treats bodies differently; and against a GET request that loses its body there.
#[test]
fn requests_of_all_lengths_and_framings_run_once_and_are_served() {
    let servers: Vec<_> = (0..3).map(|_| start_server()).collect();
    let (node, _discovery) = start_node(&servers);
    for class in ["pay", "hold", "read"] {
        for framing in FRAMINGS {
            for length in LENGTHS {
                let id = format!("{class}-{length}-{framing:?}");
                let response = exchange(node.address, &request(&id, class, length, framing));
                let expected = (200, length.to_string().into_bytes());
                assert_eq!(response, Some(expected), "{id}");
                assert_eq!(runs(&servers, &id), 1, "{id}");
            }
        }
    }
    assert_no_ejection(&node);
}

/// Guards against requests that run several times and are refused while the memory for long bodies is used up.
#[test]
fn requests_run_at_most_once_while_the_memory_for_bodies_is_used_up() {
    let servers: Vec<_> = (0..3).map(|_| start_server()).collect();
    let (node, _discovery) = start_node(&servers);
    let address = node.address;
    let crowd = (0..50).map(|number| (format!("crowd-{number}"), 250 * KIB));
    let lengths = LENGTHS.into_iter().filter(|length| *length > 8 * KIB);
    let others = lengths.map(|length| (format!("other-{length}"), length));
    let clients: Vec<_> = crowd
        .chain(others)
        .map(|(id, length)| {
            let is_in_crowd = id.starts_with("crowd");
            let client = thread::spawn(move || {
                let message = request(&id, "pay", length, BodyFraming::ContentLength);
                (id, length, exchange(address, &message))
            });
            if !is_in_crowd {
                thread::sleep(Duration::from_millis(10));
            }
            client
        })
        .collect();
    let mut served = 0;
    for client in clients {
        let (id, length, response) = client.join().expect("the client does not panic");
        let (status, body) = response.unwrap_or_else(|| panic!("{id} has no response"));
        let runs = runs(&servers, &id);
        match status {
            200 => assert_eq!((runs, body), (1, length.to_string().into_bytes()), "{id}"),
            _ => assert_eq!((runs, status), (0, 503), "{id}"),
        }
        served += usize::from(status == 200);
    }
    assert!(served >= 10, "only {served} requests were served");
    assert_no_ejection(&node);
}

/// A server that responds to each request once it has read this many bytes of it, and then reads on.
fn start_early_server(prefix_bytes: usize, reply: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let _ = stream.read_exact(&mut vec![0; prefix_bytes]);
                let _ = stream.write_all(reply.as_bytes());
                std::io::copy(&mut stream, &mut std::io::sink())
            });
        }
    });
    address
}

/// Guards against ejecting servers that turn a request away before they have read all of it: they are sound, and one
/// client could so have all servers ejected.
#[test]
fn servers_that_turn_a_long_request_away_early_are_not_ejected() {
    let replies = [
        (
            "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
            503,
        ),
        (
            "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n",
            502,
        ),
    ];
    for (reply, expected_status) in replies {
        let discovery = Discovery::start();
        let addresses = (0..3).map(|_| start_early_server(100_000, reply));
        let endpoints = ready_servers(addresses);
        let node = Node::start(&config(discovery.address, &endpoints, &settings(15_000)));
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        let head =
            post_request("a", "pay", "", "").replace("Content-Length: 0", "Content-Length: 600000");
        let first_part = [head.as_bytes(), &vec![b'x'; 300_000]].concat();
        stream.write_all(&first_part).expect("write the first part");
        let response = Message::read(&mut BufReader::new(&stream));
        let response = response.expect("the node answers the request");
        assert_eq!(response.status(), expected_status, "{reply}");
        assert_no_ejection(&node);
    }
}
