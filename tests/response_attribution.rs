//! Servers that send responses which no request asked for, with real node processes on loopback: each client gets the
//! response to its own request, and no request runs twice.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use testkit::{
    config, endpoint_entry, endpoint_list, post_request, read_request, response, settings,
    Discovery, Message, Node, Reply, Server, WAIT_TIMEOUT,
};

const SERVERS: usize = 6;
const NODES: usize = 2;
const CLIENTS_PER_NODE: usize = 6;
const REQUESTS_PER_CLIENT: usize = 40;
/// Minimum number of unsolicited responses without which a run provokes too little.
const MIN_UNSOLICITED_RESPONSES: usize = 50;
const SEEDS: [u64; 2] = [53, 54];

/// Delays of unsolicited responses: some arrive between two requests, others within the next one or a later one.
const DELAYS_MS: [u64; 8] = [0, 1, 4, 10, 25, 50, 100, 250];
/// Range of the time in which servers process a request.
const PROCESSING_MS: std::ops::Range<u64> = 10..40;

/// An execution of a request at a server.
#[derive(Clone, Copy)]
struct Execution {
    server: usize,
    started_at: Instant,
    /// `None` while the server processes the request.
    ended_at: Option<Instant>,
}

/// The executions of all requests, by request id.
#[derive(Clone, Default)]
struct Executions(Arc<Mutex<HashMap<String, Vec<Execution>>>>);

impl Executions {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<Execution>>> {
        self.0.lock().expect("no thread panics with the lock held")
    }

    /// Processes a request for this time.
    fn execute(&self, id: &str, server: usize, time: Duration) {
        let index = {
            let mut executions = self.lock();
            let of_request = executions.entry(id.to_owned()).or_default();
            of_request.push(Execution {
                server,
                started_at: Instant::now(),
                ended_at: None,
            });
            of_request.len() - 1
        };
        thread::sleep(time);
        let mut executions = self.lock();
        let of_request = executions.get_mut(id).expect("it was inserted above");
        of_request[index].ended_at = Some(Instant::now());
    }

    fn of_request(&self, id: &str) -> Vec<Execution> {
        self.lock().get(id).cloned().unwrap_or_default()
    }
}

/// The server's own response to a request: its body is the request's id.
fn own_response(request: &Message) -> Vec<u8> {
    let id = request.header("req-id").expect("each request has an id");
    response("200 OK", "", id)
}

/// A complete or partial response that repeats the one to `request` or has another status.
fn unsolicited_response(request: &Message, random: &mut fastrand::Rng) -> Vec<u8> {
    let declined = "Srv-Declined: 1\r\n";
    match random.u8(..6) {
        0 | 1 => own_response(request),
        2 => response("503 Service Unavailable", declined, ""),
        3 => response("504 Gateway Timeout", declined, ""),
        4 => response("500 Internal Server Error", "", ""),
        _ => b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\npart".to_vec(),
    }
}

/// Returns a function whose calls return generators that are drawn from one seed.
fn seeded_generators(seed: u64) -> impl Fn() -> fastrand::Rng {
    let generator = Mutex::new(fastrand::Rng::with_seed(seed));
    move || {
        let mut generator = generator
            .lock()
            .expect("no thread panics with the lock held");
        generator.fork()
    }
}

/// Starts a server that executes requests and sends an unsolicited response after every second one.
fn start_server_with_unsolicited_responses(
    index: usize,
    seed: u64,
    executions: &Executions,
) -> Server {
    let executions = executions.clone();
    let next_random = seeded_generators(seed ^ (index as u64) << 32);
    Server::start(move |request| {
        let mut random = next_random();
        let id = request.header("req-id").expect("each request has an id");
        let time = Duration::from_millis(random.u64(PROCESSING_MS));
        executions.execute(id, index, time);
        if random.bool() {
            return Reply::Send(own_response(request));
        }
        let delay = DELAYS_MS[random.usize(..DELAYS_MS.len())];
        Reply::SendWithUnsolicited {
            response: own_response(request),
            delay: Duration::from_millis(delay),
            unsolicited: unsolicited_response(request, &mut random),
        }
    })
}

/// Starts a server that declines a third of its requests, executes the others, and fails in a drawn way after half of those.
fn start_failing_server(index: usize, seed: u64, executions: &Executions) -> Server {
    let executions = executions.clone();
    let next_random = seeded_generators(seed ^ (index as u64) << 32);
    Server::start(move |request| {
        let mut random = next_random();
        let declined = response("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
        if random.u8(..3) == 0 {
            return Reply::SendWithUnsolicited {
                response: declined,
                delay: Duration::from_millis(random.u64(..30)),
                unsolicited: unsolicited_response(request, &mut random),
            };
        }
        let id = request.header("req-id").expect("each request has an id");
        executions.execute(id, index, Duration::from_millis(random.u64(PROCESSING_MS)));
        let own = own_response(request);
        match random.u8(..14) {
            0 => Reply::Close,
            1 => Reply::Send(response("500 Internal Server Error", "", "")),
            2 => Reply::Send(response("503 Service Unavailable", "", "")),
            3 => Reply::Send(response("429 Too Many Requests", "", "")),
            4 => Reply::SendAndClose(own[..random.usize(..own.len())].to_vec()),
            5 => Reply::Send([own.clone(), unsolicited_response(request, &mut random)].concat()),
            6 => {
                let (first, second) = own.split_at(random.usize(..own.len()));
                let delay = Duration::from_millis(random.u64(1..50));
                Reply::SendInTwoParts(first.to_vec(), delay, second.to_vec())
            }
            _ => Reply::Send(own),
        }
    })
}

/// Starts a node whose servers are each in a cell of their own, where keyed requests may be repeated only within a cell.
fn start_node(discovery: &Discovery, servers: &[Server]) -> Node {
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| {
            let entry = server.endpoint_entry(&format!("s-{index}"), "ready");
            entry.replace("\"cell\":0", &format!("\"cell\":{index}"))
        })
        .collect();
    let settings = settings(15_000).replace("\"group\":\"all\"", "\"group\":\"cell\"");
    Node::start(&config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings,
    ))
}

/// A class of the settings, by what its requests' repetition does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Idempotent,
    Keyed,
    NonIdempotent,
}

impl Class {
    fn request(self, id: &str) -> String {
        match self {
            Self::Idempotent => read_request(id, "15000m"),
            Self::Keyed => post_request(id, "hold", &format!("Idempotency-Key: {id}\r\n"), "x"),
            Self::NonIdempotent => post_request(id, "pay", "", "x"),
        }
    }
}

/// The rules that one request broke, given the response that its client got.
fn broken_rules(class: Class, id: &str, answer: &Message, executions: &[Execution]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut report = |rule: &str| broken.push(format!("{class:?} request {id}: {rule}"));
    if answer.status() == 200 && answer.body != id.as_bytes() {
        report("its client got a response that was not made for it");
    }
    let is_refused = matches!(answer.status(), 429 | 503);
    if is_refused && class != Class::Idempotent && !executions.is_empty() {
        report("it was refused and had run");
    }
    for (first, second) in executions.iter().zip(executions.iter().skip(1)) {
        match class {
            Class::Idempotent => {}
            Class::Keyed if first.server == second.server => {}
            Class::Keyed => report("it was sent again outside its group"),
            Class::NonIdempotent => report("it was sent again after it had run"),
        }
        if first.ended_at.is_none_or(|end| end > second.started_at) {
            report("two attempts were out at once");
        }
    }
    broken
}

/// Sends requests of all classes one after another on one connection, and returns the rules that were broken.
fn run_client(node: &Node, name: &str, executions: &Executions) -> Vec<String> {
    let classes = [Class::Idempotent, Class::Keyed, Class::NonIdempotent];
    let mut client = node.connect();
    let mut broken = Vec::new();
    for number in 0..REQUESTS_PER_CLIENT {
        let class = classes[number % classes.len()];
        let id = format!("{name}-{number}");
        client.send(&class.request(&id));
        let answer = client
            .read_response()
            .expect("the node answers each request");
        broken.extend(broken_rules(
            class,
            &id,
            &answer,
            &executions.of_request(&id),
        ));
        if answer.header("connection") == Some("close") {
            client = node.connect();
        }
    }
    broken
}

/// Sends requests of all classes through nodes with these servers, and asserts that no rule was broken.
fn check_rules(
    seed: u64,
    start_server: fn(usize, u64, &Executions) -> Server,
    min_unsolicited: usize,
) {
    let executions = Executions::default();
    let servers: Vec<_> = (0..SERVERS)
        .map(|index| start_server(index, seed, &executions))
        .collect();
    let discovery = Discovery::start();
    let nodes: Vec<_> = (0..NODES)
        .map(|_| start_node(&discovery, &servers))
        .collect();
    let broken = thread::scope(|scope| {
        let clients: Vec<_> = (0..NODES * CLIENTS_PER_NODE)
            .map(|index| {
                let (node, executions) = (&nodes[index % NODES], &executions);
                let name = format!("c{index}");
                scope.spawn(move || run_client(node, &name, executions))
            })
            .collect();
        clients
            .into_iter()
            .flat_map(|client| client.join().expect("the client thread does not panic"))
            .collect::<Vec<_>>()
    });
    let unsolicited: usize = servers.iter().map(Server::unsolicited_writes).sum();
    assert!(
        unsolicited >= min_unsolicited,
        "seed {seed}: only {unsolicited} unsolicited responses"
    );
    assert!(
        broken.is_empty(),
        "seed {seed}: {} broken rules with {unsolicited} unsolicited responses:\n{}",
        broken.len(),
        broken.join("\n")
    );
}

/// Guards against an unsolicited response that is taken for the response to another request on the same connection.
#[test]
fn unsolicited_response_is_not_taken_for_the_response_to_another_request() {
    for seed in SEEDS {
        check_rules(
            seed,
            start_server_with_unsolicited_responses,
            MIN_UNSOLICITED_RESPONSES,
        );
    }
}

/// Guards against repeats and refusals of requests that may have run, where servers decline, fail, break off and send
/// unsolicited responses in turn.
#[test]
fn failing_servers_cause_no_repeat_or_refusal_of_what_may_have_run() {
    for seed in SEEDS {
        check_rules(seed, start_failing_server, MIN_UNSOLICITED_RESPONSES);
    }
}

/// Length of an upload that a node forwards while it is received, in bytes.
const UPLOAD_BYTES: usize = 600_000;

/// Starts a server that writes `reply` on each connection when it has read this many bytes, and then reads on. Returns
/// its address, and a receiver of the number of bytes read until the end of each connection.
fn start_early_server(prefix_bytes: usize, reply: Vec<u8>) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    let (sender, read_bytes) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut bytes = Vec::new();
            let mut prefix = (&stream).take(prefix_bytes as u64);
            let _ = prefix.read_to_end(&mut bytes);
            let _ = stream.write_all(&reply);
            let _ = stream.read_to_end(&mut bytes);
            if sender.send(bytes.len()).is_err() {
                return;
            }
        }
    });
    (address, read_bytes)
}

/// Guards against a response that was sent before the server had the request and is taken for the response to it. The
/// server must not get the rest of the request either, since it would run without its client knowing.
#[test]
fn response_before_the_last_byte_of_a_request_is_not_forwarded() {
    let replies = [
        response("200 OK", "", "early"),
        response("200 OK", "", &"long".repeat(50_000)),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n".to_vec(),
        response("500 Internal Server Error", "", "early"),
        response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""),
    ];
    for reply in replies {
        for prefix_bytes in [1, 50_000] {
            let (address, read_bytes) = start_early_server(prefix_bytes, reply.clone());
            let discovery = Discovery::start();
            let entry = endpoint_entry("s-early", address, "ready");
            let endpoints = endpoint_list(1, true, &[entry]);
            let node = Node::start(&config(discovery.address, &endpoints, &settings(15_000)));
            let head = post_request("a", "pay", "", "").replace(
                "Content-Length: 0",
                &format!("Content-Length: {UPLOAD_BYTES}"),
            );
            let mut stream = TcpStream::connect(node.address).expect("connect to the node");
            let timeout = Some(WAIT_TIMEOUT);
            stream
                .set_read_timeout(timeout)
                .expect("set the read timeout");
            let first_half = [head.as_bytes(), &vec![b'x'; UPLOAD_BYTES / 2]].concat();
            stream.write_all(&first_half).expect("write the first half");
            let mut upload = stream.try_clone().expect("duplicate a socket");
            let rest = thread::spawn(move || {
                thread::sleep(Duration::from_millis(100));
                let _ = upload.write_all(&vec![b'x'; UPLOAD_BYTES / 2]);
            });
            let case = format!(
                "{} after {prefix_bytes} bytes",
                String::from_utf8_lossy(&reply[..30])
            );
            let answer = Message::read(&mut BufReader::new(stream));
            let status = answer.expect("the node answers the request").status();
            assert_ne!(status, 200, "{case}");
            let read_bytes = read_bytes.recv_timeout(WAIT_TIMEOUT);
            let read_bytes = read_bytes.expect("the node closes the connection");
            assert!(
                read_bytes < UPLOAD_BYTES,
                "{case}: the server got the request"
            );
            rest.join().expect("the uploading thread does not panic");
        }
    }
}
