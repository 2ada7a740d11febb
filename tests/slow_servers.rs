//! Servers that are sound and slow: they pause within a response, or read a request slowly. What they finish within their
//! clients' time is served by the first of them, and what they do not is answered in time.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;
use testkit::*;

const KIB: usize = 1024;
/// Time for which clients wait.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time of a response within which a server pauses once, of those for which clients wait.
const PAUSE_FRACTION: f64 = 0.6;
/// Time after its timeout from which on an answer counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Lengths on both sides of the limits at which a node buffers or streams a response.
const RESPONSE_LENGTHS: [usize; 8] = [
    1,
    4 * KIB,
    4 * KIB + 1,
    64 * KIB - 1,
    64 * KIB,
    64 * KIB + 1,
    147_183,
    293_538,
];
/// Lengths on both sides of the limits at which a node buffers or streams a request.
const REQUEST_LENGTHS: [usize; 8] = [
    60 * KIB,
    64 * KIB + 1,
    256 * KIB,
    256 * KIB + 1,
    300 * KIB,
    780_711,
    2_000_000,
    5_000_000,
];
/// Size of a segment on an Ethernet, in bytes. The much longer segments of the loopback device make the kernel's send buffers as
/// long as most requests.
const NETWORK_SEGMENT_BYTES: u32 = 1_448;
/// Size of the receive buffer of a server that reads slowly, in bytes.
const SLOW_READER_BUFFER_BYTES: usize = 16 * KIB;
const CLASSES: [&str; 3] = ["read", "hold", "pay"];
/// Number of servers that pause.
const PAUSING_SERVERS: usize = 16;
/// Number of nodes that run at a time.
const CONCURRENT_NODES: usize = 8;
/// Time between two reads of a server that reads at a limited speed.
const READ_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which the clients of requests to slow readers wait.
const SLOW_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How the end of a message is told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    ContentLength,
    Chunked,
    /// By the end of the connection; responses only.
    Close,
}

/// Where a server pauses within its response.
#[derive(Clone, Copy, Debug)]
enum Pause {
    WithinHead,
    AfterHead,
    WithinBody,
    BeforeLastByte,
}

const PAUSES: [Pause; 4] = [
    Pause::WithinHead,
    Pause::AfterHead,
    Pause::WithinBody,
    Pause::BeforeLastByte,
];

/// A response and its pause.
#[derive(Clone, Copy, Debug)]
struct SlowResponse {
    class: &'static str,
    framing: Framing,
    length: usize,
    pause: Pause,
}

impl SlowResponse {
    /// The parts before and behind the pause.
    fn parts(self) -> (Vec<u8>, Vec<u8>) {
        let framing = match self.framing {
            Framing::ContentLength => format!("Content-Length: {}\r\n", self.length),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Close => "Connection: close\r\n".to_owned(),
        };
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n").into_bytes();
        let body = encoded_body(self.framing, self.length);
        let head_bytes = head.len();
        let message = [head, body].concat();
        let split = match self.pause {
            Pause::WithinHead => head_bytes / 2,
            Pause::AfterHead => head_bytes,
            Pause::WithinBody => head_bytes + (message.len() - head_bytes) / 2,
            Pause::BeforeLastByte => message.len() - 1,
        };
        let (first, second) = message.split_at(split);
        (first.to_vec(), second.to_vec())
    }
}

fn encoded_body(framing: Framing, length: usize) -> Vec<u8> {
    let body = vec![b'y'; length];
    if framing != Framing::Chunked {
        return body;
    }
    let mut encoded = Vec::new();
    for chunk in body.chunks(16 * KIB) {
        encoded.extend(format!("{:x}\r\n", chunk.len()).bytes());
        encoded.extend(chunk);
        encoded.extend(b"\r\n");
    }
    encoded.extend(b"0\r\n\r\n");
    encoded
}

fn request(id: &str, class: &str, timeout: Duration, framing: Framing, length: usize) -> Vec<u8> {
    let key = if class == "hold" {
        format!("Idempotency-Key: {id}\r\n")
    } else {
        String::new()
    };
    let framing_header = match framing {
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
        Framing::ContentLength | Framing::Close => format!("Content-Length: {length}"),
    };
    let head = post_request(id, class, &key, "")
        .replace("Content-Length: 0", &framing_header)
        .replace("15000m", &format!("{}m", timeout.as_millis()))
        .replace("key=inn-7", &format!("key={id}"));
    let head = if class == "read" {
        head.replace("POST", "GET")
    } else {
        head
    };
    [head.into_bytes(), encoded_body(framing, length)].concat()
}

fn start_node(servers: &[SocketAddr], timeout: Duration) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let endpoints = ready_servers(servers.iter().copied());
    let text = config(
        discovery.address,
        &endpoints,
        &settings(timeout.as_millis() as u64),
    );
    (Node::start(&text), discovery)
}

/// Reads a response whose end may be told by the close of the connection. Returns its status and the length of its body;
/// `None` if it is not complete.
fn read_response(stream: &TcpStream) -> Option<(u16, usize)> {
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("set the read timeout");
    let response = Message::read(&mut BufReader::new(stream))?;
    Some((response.status(), response.body.len()))
}

/// Starts a server that responds to the request `N` as the `N`th plan says, and counts its attempts.
fn start_pausing_server(
    plans: Arc<Vec<SlowResponse>>,
    attempts: Arc<Vec<AtomicUsize>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (plans, attempts) = (Arc::clone(&plans), Arc::clone(&attempts));
            thread::spawn(move || {
                let request = Message::read(&mut BufReader::new(&stream))?;
                let number: usize = request.header("req-id")?.parse().ok()?;
                attempts[number].fetch_add(1, Ordering::SeqCst);
                let (first, second) = plans[number].parts();
                stream.write_all(&first).ok()?;
                thread::sleep(TIMEOUT.mul_f64(PAUSE_FRACTION));
                stream.write_all(&second).ok()
            });
        }
    });
    address
}

/// Runs `check` for each number below `count`, on as many threads as there are `workers`, and returns the failures that it describes.
fn failures(
    count: usize,
    workers: usize,
    check: impl Fn(usize) -> Option<String> + Sync,
) -> Vec<String> {
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        let workers: Vec<_> = (0..workers)
            .map(|_| {
                scope.spawn(|| {
                    let numbers = std::iter::repeat_with(|| next.fetch_add(1, Ordering::SeqCst));
                    numbers
                        .take_while(|number| *number < count)
                        .filter_map(&check)
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("the client does not panic"))
            .collect()
    })
}

/// Sends the requests of all plans at once to a node of its own, which does not shed them: it knows nothing of its servers yet.
fn check_slow_responses(plans: &[SlowResponse]) -> Vec<String> {
    let count = plans.len();
    let shared_plans = Arc::new(plans.to_vec());
    let attempts: Arc<Vec<_>> = Arc::new((0..count).map(|_| AtomicUsize::new(0)).collect());
    let servers: Vec<_> = (0..PAUSING_SERVERS)
        .map(|_| start_pausing_server(Arc::clone(&shared_plans), Arc::clone(&attempts)))
        .collect();
    let (node, _discovery) = start_node(&servers, TIMEOUT);
    failures(count, count, |number| {
        let plan = plans[number];
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        let id = number.to_string();
        let message = request(&id, plan.class, TIMEOUT, Framing::ContentLength, 0);
        stream.write_all(&message).expect("write the request");
        let response = read_response(&stream);
        let attempts = attempts[number].load(Ordering::SeqCst);
        let is_served = response == Some((200, plan.length)) && attempts == 1;
        (!is_served).then(|| format!("{plan:?}: {response:?} after {attempts} attempts"))
    })
}

/// Guards against giving up a response whose server pauses within the client's time.
#[test]
fn response_that_pauses_within_its_clients_time_is_served_by_its_first_server() {
    let mut failures = Vec::new();
    for class in CLASSES {
        for framing in [Framing::ContentLength, Framing::Chunked, Framing::Close] {
            let mut plans = Vec::new();
            for length in RESPONSE_LENGTHS {
                for pause in PAUSES {
                    plans.push(SlowResponse {
                        class,
                        framing,
                        length,
                        pause,
                    });
                }
            }
            failures.extend(check_slow_responses(&plans));
        }
    }
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Guards against cutting off a long response that a server goes on writing, slowly, beyond the request's deadline.
#[test]
fn long_response_that_is_written_slowly_past_the_deadline_is_complete() {
    const LENGTH: usize = 147_183;
    const PIECES: usize = 5;
    let mut plans = Vec::new();
    for class in CLASSES {
        for framing in [Framing::ContentLength, Framing::Chunked, Framing::Close] {
            plans.push((class, framing));
        }
    }
    let server_plans = plans.clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let server = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let server_plans = server_plans.clone();
            thread::spawn(move || {
                let request = Message::read(&mut BufReader::new(&stream))?;
                let number: usize = request.header("req-id")?.parse().ok()?;
                let (class, framing) = server_plans[number];
                let plan = SlowResponse {
                    class,
                    framing,
                    length: LENGTH,
                    pause: Pause::AfterHead,
                };
                let (head, body) = plan.parts();
                stream.write_all(&head).ok()?;
                // The first piece of a chunked body has to exceed what a node buffers, so that it is streamed.
                for piece in body.chunks(body.len() / 2 / (PIECES - 3)) {
                    thread::sleep(TIMEOUT.mul_f64(PAUSE_FRACTION));
                    stream.write_all(piece).ok()?;
                }
                Some(())
            });
        }
    });
    let (node, _discovery) = start_node(&[server], TIMEOUT);
    let failures = failures(plans.len(), plans.len(), |number| {
        let (class, framing) = plans[number];
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        let message = request(
            &number.to_string(),
            class,
            TIMEOUT,
            Framing::ContentLength,
            0,
        );
        stream.write_all(&message).expect("write the request");
        let response = read_response(&stream);
        (response != Some((200, LENGTH))).then(|| format!("{class} {framing:?}: {response:?}"))
    });
    assert!(failures.is_empty(), "{failures:#?}");
}

/// How a server reads a request.
#[derive(Clone, Copy, Debug)]
enum Reading {
    /// At this many bytes per second.
    Slow(usize),
    /// Nothing behind the head.
    Nothing,
}

/// Starts a server that reads the requests to it slowly, and answers those that it has read.
fn start_slow_reader(reading: Reading) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let socket = SockRef::from(&listener);
    socket
        .set_recv_buffer_size(SLOW_READER_BUFFER_BYTES)
        .expect("set the receive buffer's size");
    socket
        .set_tcp_mss(NETWORK_SEGMENT_BYTES)
        .expect("set the segment size");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let bytes_per_second = match reading {
                    Reading::Slow(bytes_per_second) => bytes_per_second,
                    Reading::Nothing => {
                        thread::sleep(WAIT_TIMEOUT);
                        return Some(());
                    }
                };
                // The request's end is not looked for: no request is read within its client's time.
                let mut piece = vec![0; bytes_per_second / 50];
                while stream.read(&mut piece).ok()? > 0 {
                    thread::sleep(Duration::from_millis(20));
                }
                Some(())
            });
        }
    });
    address
}

/// A long request to servers that read slowly.
#[derive(Clone, Copy, Debug)]
struct SlowRequest {
    reading: Reading,
    class: &'static str,
    framing: Framing,
    length: usize,
    /// Number of pieces that the client writes, with a pause before each if there are several.
    pieces: usize,
}

impl SlowRequest {
    /// All combinations, with the classes in turn.
    fn all() -> Vec<Self> {
        let mut requests = Vec::new();
        for reading in [Reading::Slow(115_863), Reading::Nothing] {
            for framing in [Framing::ContentLength, Framing::Chunked] {
                for length in REQUEST_LENGTHS {
                    for pieces in [1, 7] {
                        requests.push(Self {
                            reading,
                            class: CLASSES[requests.len() % CLASSES.len()],
                            framing,
                            length,
                            pieces,
                        });
                    }
                }
            }
        }
        requests
    }

    /// Sends the request to a node of its own, which knows nothing of the servers yet. Returns what is wrong with the answer.
    fn check(self) -> Option<String> {
        let servers = [
            start_slow_reader(self.reading),
            start_slow_reader(self.reading),
        ];
        let (node, _discovery) = start_node(&servers, SLOW_REQUEST_TIMEOUT);
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        let message = request(
            "slow",
            self.class,
            SLOW_REQUEST_TIMEOUT,
            self.framing,
            self.length,
        );
        let mut was_answered_early = false;
        for piece in message.chunks(message.len() / self.pieces + 1) {
            if self.pieces > 1 {
                thread::sleep(Duration::from_millis(100));
            }
            was_answered_early |= stream.write_all(piece).is_err();
        }
        let written_at = Instant::now();
        let response = read_response(&stream);
        let elapsed = written_at.elapsed();
        let is_late = elapsed > SLOW_REQUEST_TIMEOUT + MAX_LATENESS;
        let is_lost = response.is_none() && !was_answered_early;
        (is_late || is_lost).then(|| format!("{self:?}: {response:?} after {elapsed:?}"))
    }
}

/// Guards against answers that come after their time, to long requests that servers read slowly: the rest of such a request
/// waits in the kernel, where its client counts it as sent.
#[test]
fn long_request_that_a_server_reads_slowly_is_answered_in_time() {
    let requests = SlowRequest::all();
    let failures = failures(requests.len(), CONCURRENT_NODES, |number| {
        requests[number].check()
    });
    assert!(
        failures.is_empty(),
        "{} of {}: {failures:#?}",
        failures.len(),
        requests.len()
    );
}

/// Reads at a limited speed.
struct SlowReader {
    stream: TcpStream,
    bytes_per_second: usize,
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(READ_INTERVAL);
        let max_bytes = self.bytes_per_second / (1_000 / READ_INTERVAL.as_millis() as usize);
        let max_bytes = max_bytes.min(buffer.len());
        self.stream.read(&mut buffer[..max_bytes])
    }
}

/// Starts a server that reads requests at this speed and then serves them.
fn start_steady_reader(bytes_per_second: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    SockRef::from(&listener)
        .set_tcp_mss(NETWORK_SEGMENT_BYTES)
        .expect("set the segment size");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let reader = SlowReader {
                    stream: stream.try_clone().ok()?,
                    bytes_per_second,
                };
                let request = Message::read(&mut BufReader::with_capacity(64 * KIB, reader))?;
                let body = request.body.len().to_string();
                stream.write_all(&response("200 OK", "", &body)).ok()
            });
        }
    });
    address
}

/// Guards against failing a request early whose client is still sending it: its time begins with its last byte.
#[test]
fn long_request_that_its_client_sends_for_longer_than_its_timeout_is_served() {
    const LENGTH: usize = 3_000_000;
    const PIECES: usize = 75;
    const PIECE_INTERVAL: Duration = Duration::from_millis(40);
    let mut plans = Vec::new();
    for bytes_per_second in [3_000_000, 30_000_000] {
        for framing in [Framing::ContentLength, Framing::Chunked] {
            plans.extend(CLASSES.map(|class| (bytes_per_second, framing, class)));
        }
    }
    let failures = failures(plans.len(), plans.len(), |number| {
        let (bytes_per_second, framing, class) = plans[number];
        let server = start_steady_reader(bytes_per_second);
        let (node, _discovery) = start_node(&[server], SLOW_REQUEST_TIMEOUT);
        let mut stream = TcpStream::connect(node.address).expect("connect to the node");
        let message = request("slow", class, SLOW_REQUEST_TIMEOUT, framing, LENGTH);
        for piece in message.chunks(message.len() / PIECES + 1) {
            thread::sleep(PIECE_INTERVAL);
            let _ = stream.write_all(piece); // Fails if the node has answered early.
        }
        let response = Message::read(&mut BufReader::new(&stream));
        let body = response.map(|response| String::from_utf8_lossy(&response.body).into_owned());
        (body != Some(LENGTH.to_string()))
            .then(|| format!("{class} {framing:?} at {bytes_per_second} bytes/s: {body:?}"))
    });
    assert!(failures.is_empty(), "{failures:#?}");
}
