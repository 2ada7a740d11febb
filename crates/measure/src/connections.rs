//! Cost of reusing connections: the node and a plain reverse proxy, measured in alternating rounds.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use testkit::{config, endpoint_list, settings, Discovery, Load, Node, Reply, Server};

use crate::system::{count, cpu_time, duration, quantile};

const SERVERS: usize = 12;
const CONNECTIONS: [usize; 6] = [1, 8, 64, 200, 256, 512];
const ROUNDS: usize = 5;
const ROUND_DURATION: Duration = Duration::from_secs(2);

struct Proxy {
    child: Child,
    address: SocketAddr,
}

impl Proxy {
    fn start(servers: &[Server]) -> Self {
        let program = std::env::current_exe().expect("the running program has a path");
        let addresses = servers.iter().map(|server| server.address.to_string());
        let mut command = Command::new(program);
        command
            .arg(crate::PLAIN_PROXY)
            .args(addresses)
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("start the proxy");
        let mut line = String::new();
        BufReader::new(child.stderr.take().expect("standard error is piped"))
            .read_line(&mut line)
            .expect("read the first line of the proxy");
        let address = line
            .trim_end()
            .rsplit(' ')
            .next()
            .and_then(|address| address.parse().ok());
        Self {
            child,
            address: address.expect("the first line ends with the address"),
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints the table by number of client connections.
pub fn measure() {
    println!(
        "\n{SERVERS} servers that respond without delay; {ROUNDS} alternating rounds of {} s each; medians; CPU time per request",
        ROUND_DURATION.as_secs()
    );
    println!(
        "{:<12} {:<18} {:>10} {:>8} {:>8} {:>8}",
        "connections", "", "requests/s", "p50 ms", "p99 ms", "CPU us"
    );
    let servers: Vec<_> = (0..SERVERS)
        .map(|_| Server::start(|_| Reply::ok("rooms: 3\n")).without_recording())
        .collect();
    let (node, proxy) = (start_node(&servers), Proxy::start(&servers));
    for connections in CONNECTIONS {
        let mut samples = [(); 2].map(|()| [(); 4].map(|()| Vec::new()));
        for _ in 0..count(ROUNDS, 1) {
            let [node_figures, proxy_figures] = &mut samples;
            measure_round(
                node.0.address,
                node.0.process_id(),
                connections,
                node_figures,
            );
            measure_round(proxy.address, proxy.child.id(), connections, proxy_figures);
        }
        let [node, proxy] =
            samples.map(|mut figures| figures.each_mut().map(|values| quantile(values, 0.5)));
        for (subject, figures) in [("node", node), ("plain proxy", proxy)] {
            print_row(connections, subject, figures, 0);
        }
        print_row(
            connections,
            "ratio",
            [0, 1, 2, 3].map(|figure| node[figure] / proxy[figure]),
            3,
        );
    }
}

/// Prints the effect of one server in ten that sends a surplus byte after each response, and the cost of Unix sockets.
pub fn measure_endpoint_kinds() {
    const CONNECTIONS: usize = 32;
    let start_server = || Server::start(|_| Reply::ok("rooms: 3\n")).without_recording();
    println!(
        "\nten servers, {CONNECTIONS} connections; {ROUNDS} alternating rounds of {} s each; medians; CPU time per request",
        ROUND_DURATION.as_secs()
    );
    println!(
        "{:<20} {:>10} {:>8} {:>8} {:>8}",
        "", "requests/s", "p50 ms", "p99 ms", "CPU us"
    );
    let all_correct: Vec<_> = (0..10).map(|_| start_server()).collect();
    let nine_correct: Vec<_> = (0..9).map(|_| start_server()).collect();
    let faulty = Server::start(|_| {
        let response = testkit::response("200 OK", "", "rooms: 3\n");
        Reply::SendInTwoParts(response, Duration::from_millis(1), b"x".to_vec())
    });
    let with_faulty: Vec<_> = nine_correct
        .into_iter()
        .chain([faulty.without_recording()])
        .collect();
    let with_unix_sockets: Vec<_> = (0..10)
        .map(|_| {
            let mut server = start_server();
            server.unix_endpoint = Some(server.add_address(testkit::AddressFamily::Unix));
            server
        })
        .collect();
    let nodes = [
        ("TCP", &all_correct),
        ("one faulty", &with_faulty),
        ("Unix", &with_unix_sockets),
    ];
    let nodes = nodes.map(|(subject, servers)| {
        (
            subject,
            Node::start_with_servers(&servers.iter().collect::<Vec<_>>(), 15_000),
            servers,
        )
    });
    let mut samples = [(); 3].map(|()| [(); 4].map(|()| Vec::new()));
    let mut shares = Vec::new();
    for _ in 0..count(ROUNDS, 1) {
        for ((subject, (node, ..), servers), figures) in nodes.iter().zip(&mut samples) {
            let before: Vec<_> = servers.iter().map(Server::request_count).collect();
            measure_round(node.address, node.process_id(), CONNECTIONS, figures);
            if *subject == "one faulty" {
                let received: Vec<_> = servers
                    .iter()
                    .zip(before)
                    .map(|(server, before)| server.request_count() - before)
                    .collect();
                let total: usize = received.iter().sum();
                shares.push(received[9] as f64 / total as f64);
            }
        }
    }
    let medians = samples.map(|mut figures| figures.each_mut().map(|values| quantile(values, 0.5)));
    for ((subject, ..), figures) in nodes.iter().zip(medians) {
        print_kind_row(subject, figures, 0);
    }
    for (subject, variant) in [("one faulty / TCP", 1), ("Unix / TCP", 2)] {
        print_kind_row(
            subject,
            [0, 1, 2, 3].map(|figure| medians[variant][figure] / medians[0][figure]),
            3,
        );
    }
    println!(
        "share of the requests that the faulty server received: {:.3}",
        quantile(&mut shares, 0.5)
    );
}

fn print_kind_row(subject: &str, [rate, p50, p99, cpu]: [f64; 4], decimals: usize) {
    println!("{subject:<20} {rate:>10.decimals$} {p50:>8.2} {p99:>8.2} {cpu:>8.2}");
}

fn print_row(connections: usize, subject: &str, [rate, p50, p99, cpu]: [f64; 4], decimals: usize) {
    println!(
        "{connections:<12} {subject:<18} {rate:>10.decimals$} {p50:>8.2} {p99:>8.2} {cpu:>8.2}"
    );
}

fn start_node(servers: &[Server]) -> (Node, Discovery, testkit::Watch) {
    let discovery = Discovery::start();
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, server)| server.endpoint_entry(&format!("s-{at}"), "ready"))
        .collect();
    let node = Node::start(&config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(15_000),
    ));
    let watch = discovery.watch();
    (node, discovery, watch)
}

fn measure_round(
    address: SocketAddr,
    process_id: u32,
    connections: usize,
    figures: &mut [Vec<f64>; 4],
) {
    let (start, before) = (Instant::now(), cpu_time(process_id));
    let load = Load::start(address, connections, Duration::ZERO);
    thread::sleep(duration(ROUND_DURATION));
    let totals = load.finish();
    let cpu = (cpu_time(process_id) - before).as_secs_f64();
    assert_eq!(totals.lost, 0, "the node or the proxy lost requests");
    figures[0].push(totals.sent as f64 / start.elapsed().as_secs_f64());
    figures[1].push(totals.latency_quantile(0.5).as_secs_f64() * 1e3);
    figures[2].push(totals.latency_quantile(0.99).as_secs_f64() * 1e3);
    figures[3].push(cpu * 1e6 / totals.sent as f64);
}
