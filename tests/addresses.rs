//! Servers with several addresses: the program on real sockets, over IPv4, IPv6 and Unix domain sockets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use testkit::link::{Fault, Link, Plan};
use testkit::{
    config, endpoint_list, post_request, read_request, response, settings, wait_until,
    AddressFamily, Client, Discovery, Endpoint, Node, Reply, Server,
};

/// An operator configuration in which each server has these addresses alone, preferred in this order.
fn operators(servers: &[(&str, &[String])]) -> String {
    let server = |(id, addresses): &(&str, &[String])| {
        let address =
            |(at, text): (usize, &String)| format!("{{address = \"{text}\", preference = {at}}}");
        let all: Vec<_> = addresses.iter().enumerate().map(address).collect();
        format!(
            "[[server]]\nid = \"{id}\"\nonly = true\naddresses = [{}]\n",
            all.join(", ")
        )
    };
    servers.iter().map(server).collect()
}

/// A node with these servers at these addresses, which makes at most so many attempts.
fn node(servers: &[(&str, &[String])], deadline_ms: u64, attempts: usize) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let entries: Vec<_> = servers
        .iter()
        .map(|(id, _)| testkit::endpoint_entry(id, nowhere, "ready"))
        .collect();
    let settings = settings(deadline_ms)
        .replace(
            "\"max_attempts\":3",
            &format!("\"max_attempts\":{attempts}"),
        )
        .replace("\"dial_timeout_ms\":2000.0", "\"dial_timeout_ms\":800.0");
    let config = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings,
    );
    (
        Node::start_with_operators_file(&config, Some(&operators(servers))),
        discovery,
    )
}

fn ok(_: &testkit::Message) -> Reply {
    Reply::ok("yes")
}

/// An idempotent request with an idempotency key of its own.
fn idempotent_post(id: &str) -> String {
    post_request(id, "hold", &format!("Idempotency-Key: {id}\r\n"), "x")
}

/// How often each request id arrived completely, over all addresses of all servers.
fn arrivals<'a>(servers: impl IntoIterator<Item = &'a Server>) -> HashMap<String, usize> {
    let mut arrivals = HashMap::new();
    for request in servers.into_iter().flat_map(Server::requests) {
        *arrivals
            .entry(request.header("req-id").expect("an id").to_owned())
            .or_default() += 1;
    }
    arrivals
}

#[test]
fn server_on_each_address_family_serves_over_one_connection() {
    for kind in AddressFamily::available() {
        let (server, endpoint) = Server::start_on(kind, ok);
        let (node, _discovery) = node(&[("s-0", &[endpoint.to_string()])], 2_000, 1);
        for (at, text) in [
            read_request("1", "900m"),
            idempotent_post("2"),
            post_request("3", "pay", "", "x"),
        ]
        .iter()
        .enumerate()
        {
            assert_eq!(node.request(text).status(), 200, "{kind:?}, {at}");
        }
        assert_eq!(server.request_count(), 3);
        assert_eq!(
            server.accepted_connections(),
            1,
            "one connection carries them"
        );
    }
}

/// To the balancer all addresses are one server, and its only attempt may use any of them.
#[test]
fn address_that_is_down_costs_no_attempt_while_another_is_up() {
    let (server, up) = Server::start_on(AddressFamily::ipv6_or_ipv4(), ok);
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "no socket").expect("a file");
    let down = testkit::Unreachable::reserve();
    let addresses = [
        format!("unix:{}", folder.path().join("missing").display()),
        format!("unix:{}", file.display()),
        down.address.to_string(),
        up.to_string(),
    ];
    let (node, _discovery) = node(&[("s-0", &addresses)], 2_000, 1);
    for id in 0..10 {
        assert_eq!(
            node.request(&post_request(&id.to_string(), "pay", "", "x"))
                .status(),
            200,
            "{id}"
        );
    }
    assert_eq!(server.request_count(), 10);
    let reported = node
        .log()
        .iter()
        .filter(|line| line.contains("is down"))
        .count();
    assert_eq!(reported, 3, "each is reported once");
}

/// The first address accepts connections and then stalls at some byte. A request that was sent completely may have run
/// and is not sent by the other address; its client gets a response within its deadline.
#[test]
fn request_that_may_have_run_is_not_retried_by_another_address() {
    for kind in AddressFamily::available() {
        let (server, up) = Server::start_on(AddressFamily::V4, ok);
        for byte in [0, 60, 100_000] {
            let fault = if byte == 100_000 {
                Plan::fault_free()
            } else {
                Plan::at(byte, Fault::Stall)
            };
            // Responses are lost too, so that in the last case the request arrives and its response does not.
            let plans = move |_| (fault.clone(), Plan::at(0, Fault::Stall));
            let (_link, stalled) = Link::start_on(kind, up.clone(), plans);
            let (node, _discovery) =
                node(&[("s-0", &[stalled.to_string(), up.to_string()])], 300, 1);
            for text in [
                post_request("1", "pay", "", "x"),
                idempotent_post("2"),
                read_request("3", "250m"),
            ] {
                let before = server.request_count();
                assert_ne!(node.request(&text).status(), 200, "{kind:?}, {byte}");
                assert!(
                    server.request_count() - before <= usize::from(byte == 100_000),
                    "{kind:?}, {byte}"
                );
            }
        }
    }
}

/// The faults of one connection, by seed: of the dial, of the bytes sent, of the bytes received.
fn plans(seed: u64, connection: usize) -> (Plan, Plan) {
    let mut random = fastrand::Rng::with_seed(seed ^ (connection as u64) << 20);
    let byte = random.usize(..1_500);
    let stage = random.u8(..16);
    if stage > 9 {
        return (Plan::closed(), Plan::fault_free());
    }
    let there = match stage {
        0 | 1 => Plan::at(byte, Fault::Cut),
        2 => Plan::at(byte, Fault::Stall),
        3 => Plan::at(byte, Fault::Delay(Duration::from_millis(random.u64(1..20)))),
        _ => Plan::fault_free(),
    };
    let back = match stage {
        4 | 5 => Plan::at(byte, Fault::Cut),
        6 => Plan::at(byte, Fault::Stall),
        7 => Plan::at(byte, Fault::Delay(Duration::from_millis(random.u64(1..20)))),
        8 => Plan::at(byte, Fault::Repeat(random.usize(1..200))),
        _ => Plan::fault_free(),
    };
    (there, back)
}

/// Servers at one address of each family, every address behind a link with the faults of [`plans`].
struct FaultyServers {
    servers: Vec<Server>,
    links: Vec<Link>,
    /// The addresses of each server, each family being the preferred one of some server. They own the socket files.
    addresses: Vec<Vec<Endpoint>>,
}

/// Closes the connection after every other response without announcing it.
fn close_after_every_other(request: &testkit::Message) -> Reply {
    let closes = request
        .header("req-id")
        .is_some_and(|id| id.ends_with(['0', '2', '4', '6', '8']));
    let answer = response("200 OK", "", "yes");
    if closes {
        Reply::SendAndClose(answer)
    } else {
        Reply::Send(answer)
    }
}

fn start_faulty_servers(count: usize) -> FaultyServers {
    let (mut servers, mut links, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
    for index in 0..count {
        let (server, first) = Server::start_on(AddressFamily::V4, close_after_every_other);
        let own = [
            first,
            server.add_address(AddressFamily::ipv6_or_ipv4()),
            server.add_address(AddressFamily::Unix),
        ];
        let mut listed = Vec::new();
        for (nth, (kind, to)) in [
            AddressFamily::V4,
            AddressFamily::ipv6_or_ipv4(),
            AddressFamily::Unix,
        ]
        .into_iter()
        .zip(own)
        .enumerate()
        {
            let seed = (index * 10 + nth) as u64;
            let (link, endpoint): (Link, Endpoint) =
                Link::start_on(kind, to, move |connection| plans(seed, connection));
            links.push(link);
            listed.push(endpoint);
        }
        listed.rotate_left(index);
        addresses.push(listed);
        servers.push(server);
    }
    FaultyServers {
        servers,
        links,
        addresses,
    }
}

/// Sends requests of all three classes on one connection. Returns how many were answered, and how many of them served.
fn run_client(node: SocketAddr, client: u64, requests: u64) -> (u64, u64) {
    let mut connection = Client::connect(node);
    let (mut answered, mut served) = (0, 0);
    for number in 0..requests {
        let id = format!("{client}-{number}");
        let text = match number % 3 {
            0 => idempotent_post(&id),
            1 => post_request(&id, "pay", "", "x"),
            _ => read_request(&id, "140m"),
        };
        connection.send(&text);
        let answer = connection.read_response().expect("exactly one answer");
        answered += 1;
        served += u64::from(answer.status() == 200);
    }
    assert!(connection.is_silent(), "and nothing after the last");
    (answered, served)
}

/// Three servers, each at three addresses of three families with faults at every stage, and one attempt per request:
/// no request arrives twice over any addresses, and each gets exactly one response.
#[test]
fn requests_over_faulty_addresses_arrive_at_most_once_and_get_one_response() {
    const SERVERS: usize = 3;
    const CLIENTS: u64 = 8;
    const REQUESTS_PER_CLIENT: u64 = 400;
    let FaultyServers {
        servers,
        links,
        addresses,
    } = start_faulty_servers(SERVERS);
    let texts: Vec<Vec<String>> = addresses
        .iter()
        .map(|all| all.iter().map(ToString::to_string).collect())
        .collect();
    let ids = ["s-0", "s-1", "s-2"];
    let listed: Vec<(&str, &[String])> = ids
        .into_iter()
        .zip(texts.iter().map(Vec::as_slice))
        .collect();
    let (node, _discovery) = node(&listed, 150, 1);
    let address = node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || run_client(address, client, REQUESTS_PER_CLIENT)))
        .collect();
    let (mut answered, mut served) = (0, 0);
    for client in clients {
        let (client_answered, client_served) =
            client.join().expect("a client that had its answers");
        answered += client_answered;
        served += client_served;
    }
    let arrivals = arrivals(&servers);
    let twice: Vec<_> = arrivals.iter().filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "arrived twice: {twice:?}");
    assert_eq!(answered, CLIENTS * REQUESTS_PER_CLIENT);
    let connections: usize = links.iter().map(Link::connections).sum();
    eprintln!(
        "{answered} requests, {} arrivals, {served} served, {connections} connections",
        arrivals.len()
    );
    let each: Vec<_> = links.iter().map(Link::connections).collect();
    assert!(
        each.iter().all(|count| *count > 0),
        "every address was in use: {each:?}"
    );
    assert!(
        arrivals.len() > 1_000 && served > 500 && connections > 200,
        "the faults took effect on enough requests"
    );
}

/// The addresses change while requests are in flight and connections are idle: families come and go, servers trade
/// addresses, one address loses its server.
#[test]
fn address_changes_under_load_lose_and_duplicate_no_request() {
    let (first, v4) = Server::start_on(AddressFamily::V4, ok);
    let (v6, path) = (
        first.add_address(AddressFamily::ipv6_or_ipv4()),
        first.add_address(AddressFamily::Unix),
    );
    let (second, other) = Server::start_on(AddressFamily::V4, ok);
    let endpoints = [v4, v6, path, other];
    let [v4, v6, path, other] = endpoints.each_ref().map(ToString::to_string);
    let own = [v4.clone(), v6.clone(), path.clone()];
    let (node, _discovery) = node(
        &[("s-0", &own), ("s-1", std::slice::from_ref(&other))],
        2_000,
        1,
    );
    let load = testkit::Load::start(node.address, 6, Duration::ZERO);
    let one = |address: &String| vec![address.clone()];
    let two = |first: &String, second: &String| vec![first.clone(), second.clone()];
    let lists = [
        (one(&path), one(&other)),
        (two(&v6, &other), one(&v4)),
        (two(&v4, &path), one(&v6)),
        (one(&other), one(&path)),
        (own.to_vec(), one(&other)),
    ];
    for (nth, (zero, one)) in lists.iter().cycle().take(15).enumerate() {
        node.reload_operators_file(&operators(&[
            ("s-0", zero.as_slice()),
            ("s-1", one.as_slice()),
        ]));
        let before = first.request_count() + second.request_count();
        wait_until("requests are served again", || {
            first.request_count() + second.request_count() > before + 20
        });
        assert!(
            !node.log().iter().any(|line| line.contains("not used")),
            "list {nth}"
        );
    }
    let totals = load.finish();
    assert_eq!(totals.lost, 0);
    assert_eq!(
        totals.with_status(200),
        totals.sent,
        "{:?}",
        totals.responses
    );
    let arrivals = arrivals([&first, &second]);
    assert!(
        arrivals.values().all(|times| *times == 1),
        "a request arrived twice"
    );
}

/// The socket file is removed and created again, as by a server that restarts.
#[test]
fn unix_socket_that_is_recreated_is_dialed_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("s");
    let address = format!("unix:{}", path.display());
    let (node, _discovery) = node(&[("s-0", &[address])], 2_000, 1);
    for round in 0..3 {
        let closing = |_: &testkit::Message| Reply::SendAndClose(response("200 OK", "", ""));
        let (server, endpoint) = Server::start_on(AddressFamily::Unix, closing);
        let Endpoint::Unix(real, _) = &endpoint else {
            panic!("a path")
        };
        std::fs::rename(real, &path).expect("it takes the place of the previous one");
        wait_until("the new socket serves", || {
            let answer = node.request(&read_request(
                &format!("{round}-{}", server.request_count()),
                "900m",
            ));
            answer.status() == 200 && server.request_count() > 0
        });
        std::fs::remove_file(&path).expect("its file");
    }
}
