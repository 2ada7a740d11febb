//! Framing of server responses (RFC 9112, section 6.3), with real node processes on loopback: a complete response is forwarded,
//! and a truncated one is not taken for complete.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use testkit::*;

const KIB: usize = 1024;
const CLASSES: [&str; 3] = ["read", "hold", "pay"];
/// Lengths on both sides of the limits at which a node buffers or streams a response.
const LENGTHS: [usize; 9] = [
    0,
    1,
    4 * KIB,
    4 * KIB + 1,
    64 * KIB - 1,
    64 * KIB,
    64 * KIB + 1,
    300 * KIB,
    3 * KIB * KIB,
];
const DEADLINE_MS: u64 = 15_000;
/// Number of servers, so that a request can be repeated.
const SERVERS: usize = 3;
/// Time for which a server that resets its connection waits first, so that the node has read what came before.
const TIME_TO_READ: Duration = Duration::from_millis(30);

/// Time between the last byte of a response and a late close of its connection.
const LATE_CLOSE: Duration = Duration::from_millis(500);

/// How a server ends the connection of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// With a FIN behind the last byte.
    InOrder,
    /// With a FIN some time behind the last byte.
    InOrderLate(Duration),
    /// With a reset behind this part of the body, in percent.
    Reset(usize),
    /// With a FIN in the middle of the head.
    InOrderWithinHead,
}

/// A response, and how its connection ends.
#[derive(Clone, Debug)]
struct Plan {
    class: &'static str,
    /// The status line's version.
    version: &'static str,
    /// Header lines of the response.
    headers: &'static str,
    body: Vec<u8>,
    /// The body as it is written.
    encoded_body: Vec<u8>,
    end: End,
    /// Whether the client sends `Connection: close`.
    client_closes: bool,
}

impl Plan {
    fn new(class: &'static str, headers: &'static str, length: usize) -> Self {
        let body: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
        Self {
            class,
            version: "HTTP/1.1",
            headers,
            encoded_body: body.clone(),
            body,
            end: End::InOrder,
            client_closes: false,
        }
    }

    fn describe(&self) -> String {
        format!(
            "{} {} {:?}, {} bytes, {:?}, client closes: {}",
            self.class,
            self.version,
            self.headers,
            self.body.len(),
            self.end,
            self.client_closes
        )
    }

    /// Writes the response to its request, and ends the connection. `None` if the node has closed it.
    fn respond(&self, stream: &mut TcpStream) -> Option<()> {
        let head = format!("{} 200 OK\r\n{}\r\n", self.version, self.headers);
        match self.end {
            End::InOrder => {
                stream.write_all(head.as_bytes()).ok()?;
                stream.write_all(&self.encoded_body).ok()?;
            }
            End::InOrderLate(delay) => {
                stream.write_all(head.as_bytes()).ok()?;
                stream.write_all(&self.encoded_body).ok()?;
                thread::sleep(delay);
            }
            End::Reset(percent) => {
                let length = self.encoded_body.len() * percent / 100;
                stream.write_all(head.as_bytes()).ok()?;
                stream.write_all(&self.encoded_body[..length]).ok()?;
                thread::sleep(TIME_TO_READ);
                let socket = SockRef::from(&*stream);
                return socket.set_linger(Some(Duration::ZERO)).ok();
            }
            End::InOrderWithinHead => stream.write_all(&head.as_bytes()[..head.len() / 2]).ok()?,
        }
        stream.shutdown(Shutdown::Write).ok()?;
        // The node closes the connection, so that nothing is reset.
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        stream.read(&mut [0]).ok().map(|_| ())
    }
}

/// Starts a server that responds to the request `N` as the `N`th plan says.
fn start_server(plans: Arc<Vec<Plan>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let plans = Arc::clone(&plans);
            thread::spawn(move || {
                let request = Message::read(&mut BufReader::new(&stream))?;
                let number: usize = request.header("req-id")?.parse().ok()?;
                plans[number].respond(&mut stream)
            });
        }
    });
    address
}

fn start_node(plans: &[Plan]) -> (Node, Discovery) {
    let plans = Arc::new(plans.to_vec());
    let discovery = Discovery::start();
    let endpoints = ready_servers((0..SERVERS).map(|_| start_server(Arc::clone(&plans))));
    let text = config(discovery.address, &endpoints, &settings(DEADLINE_MS));
    (Node::start(&text), discovery)
}

fn request(id: &str, class: &str, client_closes: bool) -> String {
    let request = match class {
        "read" => read_request(id, &format!("{DEADLINE_MS}m")),
        "hold" => post_request(id, class, &format!("Idempotency-Key: {id}\r\n"), ""),
        _ => post_request(id, class, "", ""),
    };
    if client_closes {
        request.replacen("\r\n", "\r\nConnection: close\r\n", 1)
    } else {
        request
    }
}

/// Sends the request of each plan on a new connection. Returns the responses; `None` for an incomplete one.
fn responses(plans: &[Plan]) -> Vec<Option<Message>> {
    let (node, _discovery) = start_node(plans);
    plans
        .iter()
        .enumerate()
        .map(|(number, plan)| {
            let mut client = node.connect();
            client.send(&request(
                &number.to_string(),
                plan.class,
                plan.client_closes,
            ));
            client.read_response()
        })
        .collect()
}

fn is_forwarded(plan: &Plan, response: Option<&Message>) -> bool {
    response.is_some_and(|response| response.status() == 200 && response.body == plan.body)
}

/// Asserts that each client gets the complete response of its plan.
fn assert_all_are_forwarded(plans: &[Plan]) {
    let responses = responses(plans);
    let failures: Vec<_> = plans
        .iter()
        .zip(&responses)
        .filter(|(plan, response)| !is_forwarded(plan, response.as_ref()))
        .map(|(plan, response)| {
            let status = response.as_ref().map(Message::status);
            format!("{}: {status:?}", plan.describe())
        })
        .collect();
    assert!(
        failures.is_empty(),
        "{} of {}: {failures:#?}",
        failures.len(),
        plans.len()
    );
}

/// Guards against giving up complete responses that end with their connection.
#[test]
fn response_that_ends_with_its_connection_is_forwarded() {
    let mut plans = Vec::new();
    for class in CLASSES {
        for headers in [
            "",
            "Connection: close\r\n",
            "Connection: keep-alive\r\n",
            "Connection: close, x-other\r\n",
            "Transfer-Encoding: identity\r\n",
        ] {
            for length in LENGTHS {
                plans.push(Plan::new(class, headers, length));
            }
        }
        for length in [1, 300 * KIB] {
            plans.push(Plan {
                end: End::InOrderLate(LATE_CLOSE),
                ..Plan::new(class, "", length)
            });
        }
        for length in LENGTHS {
            plans.push(Plan {
                client_closes: true,
                ..Plan::new(class, "", length)
            });
            plans.push(Plan {
                version: "HTTP/1.0",
                ..Plan::new(class, "", length)
            });
        }
    }
    assert_all_are_forwarded(&plans);
}

/// Asserts that no client gets a response of status 200 that looks complete.
fn assert_none_is_complete(plans: &[Plan]) {
    let responses = responses(plans);
    let failures: Vec<_> = plans
        .iter()
        .zip(&responses)
        .filter(|(_, response)| response.as_ref().is_some_and(|r| r.status() == 200))
        .map(|(plan, _)| plan.describe())
        .collect();
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Guards against taking a reset connection for the end of its response.
#[test]
fn response_whose_connection_is_reset_is_not_complete() {
    let mut plans = Vec::new();
    for class in CLASSES {
        for headers in ["", "Connection: close\r\n"] {
            for length in LENGTHS {
                for end in [End::Reset(0), End::Reset(50), End::Reset(100)] {
                    plans.push(Plan {
                        end,
                        ..Plan::new(class, headers, length)
                    });
                }
            }
        }
        plans.push(Plan {
            end: End::InOrderWithinHead,
            ..Plan::new(class, "", 1)
        });
    }
    assert_none_is_complete(&plans);
}

/// Guards against forwarding a body that is still encoded as the body itself.
#[test]
fn response_with_an_unsupported_transfer_coding_is_not_forwarded() {
    let mut plans = Vec::new();
    for class in CLASSES {
        plans.push(Plan::new(class, "Transfer-Encoding: gzip\r\n", 100));
        for headers in [
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        ] {
            plans.push(Plan {
                encoded_body: b"3\r\nabc\r\n0\r\n\r\n".to_vec(),
                ..Plan::new(class, headers, 3)
            });
        }
    }
    assert_none_is_complete(&plans);
}

/// Guards against rejecting chunked responses, with and without a close, for their spelling.
#[test]
fn chunked_response_is_forwarded() {
    let mut plans = Vec::new();
    for class in CLASSES {
        for headers in [
            "Transfer-Encoding: chunked\r\n",
            "Transfer-Encoding: Chunked\r\nConnection: close\r\n",
        ] {
            plans.push(Plan {
                body: b"abc".to_vec(),
                encoded_body: b"3\r\nabc\r\n0\r\n\r\n".to_vec(),
                ..Plan::new(class, headers, 3)
            });
        }
    }
    assert_all_are_forwarded(&plans);
}
