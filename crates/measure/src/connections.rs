//! What reusing connections costs: the node beside a plain proxy, in turn.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use testkit::{config, endpoint_list, settings, Discovery, Load, Node, Reply, Server};

use crate::system::{count, cpu, quantile, time};

const SERVERS: usize = 12;
const CONNECTIONS: [usize; 6] = [1, 8, 64, 200, 256, 512];
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_secs(2);

struct Proxy {
    child: Child,
    address: SocketAddr,
}

impl Proxy {
    fn start(servers: &[Server]) -> Self {
        let own = std::env::current_exe().expect("a program");
        let addresses = servers.iter().map(|server| server.address.to_string());
        let mut command = Command::new(own);
        command
            .arg(crate::PLAIN_PROXY)
            .args(addresses)
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("it starts");
        let mut line = String::new();
        BufReader::new(child.stderr.take().expect("piped"))
            .read_line(&mut line)
            .expect("a line");
        let address = line
            .trim_end()
            .rsplit(' ')
            .next()
            .and_then(|at| at.parse().ok());
        Self {
            child,
            address: address.expect("an address"),
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints the table.
pub fn measure() {
    println!(
        "\n{SERVERS} servers that answer at once; {ROUNDS} rounds of {} s each, in turn; medians",
        ROUND.as_secs()
    );
    println!(
        "{:<12} {:<18} {:>10} {:>8} {:>8} {:>8}",
        "connections", "", "requests/s", "p50 ms", "p99 ms", "CPU us"
    );
    let sound: Vec<_> = (0..SERVERS)
        .map(|_| Server::start(|_| Reply::ok("rooms: 3\n")).without_recording())
        .collect();
    let (node, proxy) = (node(&sound), Proxy::start(&sound));
    for connections in CONNECTIONS {
        let mut all = [(); 2].map(|()| [(); 4].map(|()| Vec::new()));
        for _ in 0..count(ROUNDS, 1) {
            let [of_node, of_proxy] = &mut all;
            round(node.0.address, node.0.process_id(), connections, of_node);
            round(proxy.address, proxy.child.id(), connections, of_proxy);
        }
        let [node, proxy] = all.map(|mut all| all.each_mut().map(|one| quantile(one, 0.5)));
        for (what, figures) in [("node", node), ("plain proxy", proxy)] {
            row(connections, what, figures, 0);
        }
        row(
            connections,
            "ratio",
            [0, 1, 2, 3].map(|at| node[at] / proxy[at]),
            3,
        );
    }
}

/// What a server in ten that brings bytes behind each answer costs the other nine, and sockets of the other kinds.
pub fn measure_kinds() {
    const CONNECTIONS: usize = 32;
    let sound = || Server::start(|_| Reply::ok("rooms: 3\n")).without_recording();
    println!(
        "\nten servers, {CONNECTIONS} connections; {ROUNDS} rounds of {} s each, in turn; medians",
        ROUND.as_secs()
    );
    println!(
        "{:<20} {:>10} {:>8} {:>8} {:>8}",
        "", "requests/s", "p50 ms", "p99 ms", "CPU us"
    );
    let all_sound: Vec<_> = (0..10).map(|_| sound()).collect();
    let nine: Vec<_> = (0..9).map(|_| sound()).collect();
    let odd = Server::start(|_| {
        let after = testkit::response("200 OK", "", "rooms: 3\n");
        Reply::SendInTwoParts(after, Duration::from_millis(1), b"x".to_vec())
    });
    let with_odd: Vec<_> = nine.into_iter().chain([odd.without_recording()]).collect();
    let by_path: Vec<_> = (0..10)
        .map(|_| {
            let mut server = sound();
            server.unix_endpoint = Some(server.add_address(testkit::AddressFamily::Unix));
            server
        })
        .collect();
    let nodes = [
        ("TCP", &all_sound),
        ("one odd", &with_odd),
        ("Unix", &by_path),
    ];
    let nodes = nodes.map(|(what, servers)| {
        (
            what,
            Node::start_with_servers(&servers.iter().collect::<Vec<_>>(), 15_000),
            servers,
        )
    });
    let mut all = [(); 3].map(|()| [(); 4].map(|()| Vec::new()));
    let mut shares = Vec::new();
    for _ in 0..count(ROUNDS, 1) {
        for ((what, (node, ..), servers), figures) in nodes.iter().zip(&mut all) {
            let before: Vec<_> = servers.iter().map(Server::request_count).collect();
            round(node.address, node.process_id(), CONNECTIONS, figures);
            if *what == "one odd" {
                let came: Vec<_> = servers
                    .iter()
                    .zip(before)
                    .map(|(s, before)| s.request_count() - before)
                    .collect();
                let all: usize = came.iter().sum();
                shares.push(came[9] as f64 / all as f64);
            }
        }
    }
    let medians = all.map(|mut all| all.each_mut().map(|one| quantile(one, 0.5)));
    for ((what, ..), figures) in nodes.iter().zip(medians) {
        kind_row(what, figures, 0);
    }
    for (what, at) in [("one odd / TCP", 1), ("Unix / TCP", 2)] {
        kind_row(
            what,
            [0, 1, 2, 3].map(|figure| medians[at][figure] / medians[0][figure]),
            3,
        );
    }
    println!(
        "share of the requests that the odd one has: {:.3}",
        quantile(&mut shares, 0.5)
    );
}

fn kind_row(what: &str, [rate, p50, p99, cpu]: [f64; 4], digits: usize) {
    println!("{what:<20} {rate:>10.digits$} {p50:>8.2} {p99:>8.2} {cpu:>8.2}");
}

fn row(connections: usize, what: &str, [rate, p50, p99, cpu]: [f64; 4], digits: usize) {
    println!("{connections:<12} {what:<18} {rate:>10.digits$} {p50:>8.2} {p99:>8.2} {cpu:>8.2}");
}

fn node(servers: &[Server]) -> (Node, Discovery, testkit::Watch) {
    let discovery = Discovery::start();
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, s)| s.endpoint_entry(&format!("s-{at}"), "ready"))
        .collect();
    let node = Node::start(&config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(15_000),
    ));
    let watch = discovery.watch();
    (node, discovery, watch)
}

fn round(address: SocketAddr, process: u32, connections: usize, figures: &mut [Vec<f64>; 4]) {
    let (start, before) = (Instant::now(), cpu(process));
    let load = Load::start(address, connections, Duration::ZERO);
    thread::sleep(time(ROUND));
    let totals = load.finish();
    let cpu = (cpu(process) - before).as_secs_f64();
    assert_eq!(totals.lost, 0, "no request is lost");
    figures[0].push(totals.sent as f64 / start.elapsed().as_secs_f64());
    figures[1].push(totals.latency_quantile(0.5).as_secs_f64() * 1e3);
    figures[2].push(totals.latency_quantile(0.99).as_secs_f64() * 1e3);
    figures[3].push(cpu * 1e6 / totals.sent as f64);
}
