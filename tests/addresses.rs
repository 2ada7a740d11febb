//! Servers with several addresses: a node process over real IPv4, IPv6 and Unix domain sockets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use testkit::link::{Fault, Link, Plan};
use testkit::{
    config, endpoint_list, post_request, read_request, response, settings, wait_until,
    AddressFamily, Client, Discovery, Endpoint, Node, Reply, Server,
};

/// An operators' file in which each server has only these addresses, preferred in this order.
fn operators_file(servers: &[(&str, &[String])]) -> String {
    let server_section = |(id, addresses): &(&str, &[String])| {
        let entry = |(preference, address): (usize, &String)| {
            format!("{{address = \"{address}\", preference = {preference}}}")
        };
        let entries: Vec<_> = addresses.iter().enumerate().map(entry).collect();
        format!(
            "[[server]]\nid = \"{id}\"\nonly = true\naddresses = [{}]\n",
            entries.join(", ")
        )
    };
    servers.iter().map(server_section).collect()
}

/// Starts a node with these servers at these addresses. The node makes at most `max_attempts` attempts per request.
fn start_node(
    servers: &[(&str, &[String])],
    deadline_ms: u64,
    max_attempts: usize,
) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let unused_address = "127.0.0.1:1".parse().expect("the address is valid");
    let entries: Vec<_> = servers
        .iter()
        .map(|(id, _)| testkit::endpoint_entry(id, unused_address, "ready"))
        .collect();
    let settings = settings(deadline_ms)
        .replace(
            "\"max_attempts\":3",
            &format!("\"max_attempts\":{max_attempts}"),
        )
        .replace("\"dial_timeout_ms\":2000.0", "\"dial_timeout_ms\":800.0");
    let config = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings,
    );
    (
        Node::start_with_operators_file(&config, Some(&operators_file(servers))),
        discovery,
    )
}

fn reply_ok(_: &testkit::Message) -> Reply {
    Reply::ok("yes")
}

/// A request with its own idempotency key.
fn idempotent_post(id: &str) -> String {
    post_request(id, "hold", &format!("Idempotency-Key: {id}\r\n"), "x")
}

/// Number of complete arrivals of each request id, over all addresses of all servers.
fn arrival_counts<'a>(servers: impl IntoIterator<Item = &'a Server>) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for request in servers.into_iter().flat_map(Server::requests) {
        *counts
            .entry(
                request
                    .header("req-id")
                    .expect("a request has an id")
                    .to_owned(),
            )
            .or_default() += 1;
    }
    counts
}

#[test]
fn server_on_each_address_family_serves_each_request_on_its_own_connection() {
    for family in AddressFamily::available() {
        let (server, endpoint) = Server::start_on(family, reply_ok);
        let (node, _discovery) = start_node(&[("s-0", &[endpoint.to_string()])], 2_000, 1);
        for (index, request) in [
            read_request("1", "900m"),
            idempotent_post("2"),
            post_request("3", "pay", "", "x"),
        ]
        .iter()
        .enumerate()
        {
            assert_eq!(
                node.request(request).status(),
                200,
                "{family:?}, request {index}"
            );
        }
        assert_eq!(server.request_count(), 3, "{family:?}");
        assert_eq!(
            server.accepted_connections(),
            3,
            "{family:?}: a connection carries one request"
        );
    }
}

/// The balancer treats all addresses as one server, and a single attempt may try several of them.
#[test]
fn unreachable_address_costs_no_attempt_if_another_is_up() {
    let (server, up) = Server::start_on(AddressFamily::ipv6_or_ipv4(), reply_ok);
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let regular_file = folder.path().join("file");
    std::fs::write(&regular_file, "no socket").expect("write a regular file");
    let down = testkit::Unreachable::reserve();
    let addresses = [
        format!("unix:{}", folder.path().join("missing").display()),
        format!("unix:{}", regular_file.display()),
        down.address.to_string(),
        up.to_string(),
    ];
    let (node, _discovery) = start_node(&[("s-0", &addresses)], 2_000, 1);
    for id in 0..10 {
        assert_eq!(
            node.request(&post_request(&id.to_string(), "pay", "", "x"))
                .status(),
            200,
            "request {id}"
        );
    }
    assert_eq!(server.request_count(), 10);
    let count_down_reports = || {
        let lines = node.log();
        lines.iter().filter(|line| line.contains("is down")).count()
    };
    // Another thread collects the log, and may do so after the last response has arrived.
    testkit::wait_until("each address that is down is reported", || {
        count_down_reports() >= 3
    });
    let down_reports = count_down_reports();
    assert_eq!(
        down_reports, 3,
        "each address that is down is reported once"
    );
}

/// The first address accepts connections and stalls after some bytes, or only its responses are lost. A request that was
/// sent completely may have run and must not be sent to the other address; its client gets a response within its deadline.
#[test]
fn request_that_may_have_run_is_not_sent_to_another_address() {
    for family in AddressFamily::available() {
        let (server, up) = Server::start_on(AddressFamily::V4, reply_ok);
        for byte in [0, 60, 100_000] {
            let fault = if byte == 100_000 {
                Plan::fault_free()
            } else {
                Plan::at(byte, Fault::Stall)
            };
            // Responses stall from the first byte, so that in the last case the request arrives and its response does not.
            let plans = move |_| (fault.clone(), Plan::at(0, Fault::Stall));
            let (_link, stalled) = Link::start_on(family, up.clone(), plans);
            let (node, _discovery) =
                start_node(&[("s-0", &[stalled.to_string(), up.to_string()])], 300, 1);
            for request in [
                post_request("1", "pay", "", "x"),
                idempotent_post("2"),
                read_request("3", "250m"),
            ] {
                let arrived_before = server.request_count();
                assert_ne!(
                    node.request(&request).status(),
                    200,
                    "{family:?}, stall at byte {byte}"
                );
                assert!(
                    server.request_count() - arrived_before <= usize::from(byte == 100_000),
                    "{family:?}, stall at byte {byte}"
                );
            }
        }
    }
}

/// The faults of one connection, drawn from a seed: a refused connection, or a fault in the bytes sent or received.
fn connection_faults(seed: u64, connection: usize) -> (Plan, Plan) {
    let mut rng = fastrand::Rng::with_seed(seed ^ (connection as u64) << 20);
    let byte = rng.usize(..1_500);
    let stage = rng.u8(..16);
    if stage > 9 {
        return (Plan::closed(), Plan::fault_free());
    }
    let to_server = match stage {
        0 | 1 => Plan::at(byte, Fault::Cut),
        2 => Plan::at(byte, Fault::Stall),
        3 => Plan::at(byte, Fault::Delay(Duration::from_millis(rng.u64(1..20)))),
        _ => Plan::fault_free(),
    };
    let from_server = match stage {
        4 | 5 => Plan::at(byte, Fault::Cut),
        6 => Plan::at(byte, Fault::Stall),
        7 => Plan::at(byte, Fault::Delay(Duration::from_millis(rng.u64(1..20)))),
        8 => Plan::at(byte, Fault::Repeat(rng.usize(1..200))),
        _ => Plan::fault_free(),
    };
    (to_server, from_server)
}

/// Servers at one address of each family, every address behind a link with the faults of [`connection_faults`].
struct FaultyServers {
    servers: Vec<Server>,
    links: Vec<Link>,
    /// Addresses of each server in order of preference; each family is preferred by some server. They own the socket
    /// files.
    addresses: Vec<Vec<Endpoint>>,
}

/// Closes the connection without announcing it after responses to requests with an even number.
fn close_after_even_requests(request: &testkit::Message) -> Reply {
    let closes = request
        .header("req-id")
        .is_some_and(|id| id.ends_with(['0', '2', '4', '6', '8']));
    let reply = response("200 OK", "", "yes");
    if closes {
        Reply::SendAndClose(reply)
    } else {
        Reply::Send(reply)
    }
}

fn start_faulty_servers(count: usize) -> FaultyServers {
    let (mut servers, mut links, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..count {
        let (server, first) = Server::start_on(AddressFamily::V4, close_after_even_requests);
        let server_endpoints = [
            first,
            server.add_address(AddressFamily::ipv6_or_ipv4()),
            server.add_address(AddressFamily::Unix),
        ];
        let mut link_endpoints = Vec::new();
        for (family_index, (family, target)) in [
            AddressFamily::V4,
            AddressFamily::ipv6_or_ipv4(),
            AddressFamily::Unix,
        ]
        .into_iter()
        .zip(server_endpoints)
        .enumerate()
        {
            let seed = (index * 10 + family_index) as u64;
            let (link, endpoint): (Link, Endpoint) =
                Link::start_on(family, target, move |connection| {
                    connection_faults(seed, connection)
                });
            links.push(link);
            link_endpoints.push(endpoint);
        }
        link_endpoints.rotate_left(index);
        addresses.push(link_endpoints);
        servers.push(server);
    }
    FaultyServers {
        servers,
        links,
        addresses,
    }
}

/// Sends requests of all three classes on one connection. Returns the number of responses and the number with status 200.
fn run_client(node: SocketAddr, client: u64, request_count: u64) -> (u64, u64) {
    let mut connection = Client::connect(node);
    let (mut answered, mut served) = (0, 0);
    for number in 0..request_count {
        let id = format!("{client}-{number}");
        let request = match number % 3 {
            0 => idempotent_post(&id),
            1 => post_request(&id, "pay", "", "x"),
            _ => read_request(&id, "140m"),
        };
        connection.send(&request);
        let response = connection.read_response().expect("read the response");
        answered += 1;
        served += u64::from(response.status() == 200);
    }
    assert!(connection.is_silent(), "no data follows the last response");
    (answered, served)
}

/// Three servers, each with an address of each of three families and faults at every stage, and one attempt per request:
/// no request arrives twice over any addresses, and each gets exactly one response.
#[test]
fn requests_over_faulty_addresses_arrive_at_most_once() {
    const SERVERS: usize = 3;
    const CLIENTS: u64 = 8;
    const REQUESTS_PER_CLIENT: u64 = 400;
    /// Maximum number of rounds: on a busy machine more requests expire before they arrive.
    const MAX_ROUNDS: u64 = 6;
    let FaultyServers {
        servers,
        links,
        addresses,
    } = start_faulty_servers(SERVERS);
    let address_texts: Vec<Vec<String>> = addresses
        .iter()
        .map(|endpoints| endpoints.iter().map(ToString::to_string).collect())
        .collect();
    let ids = ["s-0", "s-1", "s-2"];
    let server_addresses: Vec<(&str, &[String])> = ids
        .into_iter()
        .zip(address_texts.iter().map(Vec::as_slice))
        .collect();
    let (node, _discovery) = start_node(&server_addresses, 150, 1);
    let address = node.address;
    let (mut answered, mut served, mut sent) = (0, 0, 0);
    let connection_count = || links.iter().map(Link::connections).sum::<usize>();
    let provokes_enough =
        |served| arrival_counts(&servers).len() > 1_000 && served > 500 && connection_count() > 200;
    for round in 0..MAX_ROUNDS {
        let clients: Vec<_> = (round * CLIENTS..(round + 1) * CLIENTS)
            .map(|client| thread::spawn(move || run_client(address, client, REQUESTS_PER_CLIENT)))
            .collect();
        for client in clients {
            let (client_answered, client_served) = client
                .join()
                .expect("the client got a response to each request");
            answered += client_answered;
            served += client_served;
            sent += REQUESTS_PER_CLIENT;
        }
        if provokes_enough(served) {
            break;
        }
    }
    let arrivals = arrival_counts(&servers);
    let duplicates: Vec<_> = arrivals.iter().filter(|(_, count)| **count > 1).collect();
    assert!(
        duplicates.is_empty(),
        "no request arrives more than once: {duplicates:?}"
    );
    assert_eq!(answered, sent, "each request gets a response");
    let connections = connection_count();
    eprintln!(
        "{answered} requests, {} arrivals, {served} served, {connections} connections",
        arrivals.len()
    );
    let connections_per_link: Vec<_> = links.iter().map(Link::connections).collect();
    assert!(
        connections_per_link.iter().all(|count| *count > 0),
        "every address got connections: {connections_per_link:?}"
    );
    assert!(
        provokes_enough(served),
        "the run has enough arrivals, served requests and connections for the faults to matter"
    );
}

/// The addresses of the servers change while requests are in flight and connections are idle: families are added and
/// removed, servers swap addresses, and an address is no longer listed.
#[test]
fn address_changes_under_load_lose_and_duplicate_no_request() {
    let (first, v4) = Server::start_on(AddressFamily::V4, reply_ok);
    let (v6, unix) = (
        first.add_address(AddressFamily::ipv6_or_ipv4()),
        first.add_address(AddressFamily::Unix),
    );
    let (second, second_v4) = Server::start_on(AddressFamily::V4, reply_ok);
    let endpoints = [v4, v6, unix, second_v4];
    let [v4, v6, unix, second_v4] = endpoints.each_ref().map(ToString::to_string);
    let first_addresses = [v4.clone(), v6.clone(), unix.clone()];
    let (node, _discovery) = start_node(
        &[
            ("s-0", &first_addresses),
            ("s-1", std::slice::from_ref(&second_v4)),
        ],
        2_000,
        1,
    );
    let load = testkit::Load::start(node.address, 6, Duration::ZERO);
    let one = |address: &String| vec![address.clone()];
    let two = |first: &String, second: &String| vec![first.clone(), second.clone()];
    let lists = [
        (one(&unix), one(&second_v4)),
        (two(&v6, &second_v4), one(&v4)),
        (two(&v4, &unix), one(&v6)),
        (one(&second_v4), one(&unix)),
        (first_addresses.to_vec(), one(&second_v4)),
    ];
    for (round, (zero, one)) in lists.iter().cycle().take(15).enumerate() {
        node.reload_operators_file(&operators_file(&[
            ("s-0", zero.as_slice()),
            ("s-1", one.as_slice()),
        ]));
        let served_before = first.request_count() + second.request_count();
        wait_until("more than 20 further requests reach the servers", || {
            first.request_count() + second.request_count() > served_before + 20
        });
        assert!(
            !node.log().iter().any(|line| line.contains("not used")),
            "the operators' file of round {round} is used"
        );
    }
    let totals = load.finish();
    assert_eq!(totals.lost, 0, "no request is lost");
    assert_eq!(
        totals.with_status(200),
        totals.sent,
        "all requests are served: {:?}",
        totals.responses
    );
    let arrivals = arrival_counts([&first, &second]);
    assert!(
        arrivals.values().all(|count| *count == 1),
        "each request that arrives does so once"
    );
}

/// A server that restarts removes its socket file and creates it again.
#[test]
fn recreated_unix_socket_is_dialed_again() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let path = folder.path().join("s");
    let address = format!("unix:{}", path.display());
    let (node, _discovery) = start_node(&[("s-0", &[address])], 2_000, 1);
    for round in 0..3 {
        let reply_and_close =
            |_: &testkit::Message| Reply::SendAndClose(response("200 OK", "", ""));
        let (server, endpoint) = Server::start_on(AddressFamily::Unix, reply_and_close);
        let Endpoint::Unix(socket_file, _) = &endpoint else {
            panic!("expected a Unix endpoint, got {endpoint}")
        };
        std::fs::rename(socket_file, &path).expect("move the socket file to the dialed path");
        wait_until("the new socket serves", || {
            let response = node.request(&read_request(
                &format!("{round}-{}", server.request_count()),
                "900m",
            ));
            response.status() == 200 && server.request_count() > 0
        });
        std::fs::remove_file(&path).expect("remove the socket file");
    }
}
