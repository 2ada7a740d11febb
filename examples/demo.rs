//! Runs a node under load on loopback, with five fake servers, a fake endpoint discovery and a fake Consul agent:
//! `cargo run --release --example demo`.
//!
//! The program prints how to send requests to the node and, each second, the request rate and the latency. Every ten
//! seconds Consul drains another server. Ctrl-C ends the program.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use silverthread::node::admin::config_file::OperatorConfig;
use silverthread::node::config::Config;
use silverthread::node::{run, NodeOptions};
use testkit::consul::{Consul, Instance};
use testkit::{config, endpoint_list, settings, Discovery, Load, Reply, Server};

const SERVERS: usize = 5;
const CLIENTS: usize = 4;
/// Pause of each client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(2);
/// Interval at which Consul drains another server, in seconds.
const DRAIN_INTERVAL_S: usize = 10;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let servers: Vec<_> = (0..SERVERS)
        .map(|_| Server::start(|_| Reply::ok("rooms: 3\n")).without_recording())
        .collect();
    let consul = Consul::start();
    for (index, server) in servers.iter().enumerate() {
        consul.register(Instance::new(
            "holds",
            &format!("s-{index}"),
            server.address,
        ));
    }
    consul.stop_recording();
    let discovery = Discovery::start();
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.endpoint_entry(&format!("s-{index}"), "ready"))
        .collect();
    let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let config_text = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(15_000),
    );
    let config = Config {
        listen: address,
        ..Config::parse(&config_text)?
    };
    let operator_config_text = format!(
        "[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{}\"]\n",
        consul.address
    );
    let operator_config = OperatorConfig::parse("demo.toml".as_ref(), &operator_config_text)?;
    let options = NodeOptions {
        operator_config,
        config_path: None,
    };
    let node = thread::spawn(|| run(config, options).map_err(|error| error.to_string()));
    print_usage(address, &consul);
    let _watch = discovery.watch();
    let load = Load::start(address, CLIENTS, CLIENT_PAUSE);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(drain_servers_and_report(&load, &servers, &consul));
    let totals = load.finish();
    println!(
        "{} requests, {} lost, responses {:?}",
        totals.sent, totals.lost, totals.responses
    );
    println!("shutting down the node ...");
    node.join().map_err(|_| "the node panicked")??;
    Ok(())
}

/// Prints how to send requests to the node and how to drain a server.
fn print_usage(address: SocketAddr, consul: &Consul) {
    println!(
        "the node listens on {address}, the fake Consul agent on {}",
        consul.address
    );
    println!("send a request: curl -i -H 'Req-Id: me1' -H 'Req-Kind: read' -H 'Req-Deadline: 1000m' http://{address}/api");
    println!(
        "drain a server: curl -X PUT 'http://{}/v1/agent/service/maintenance/s-0?enable=true'",
        consul.address
    );
}

/// Prints a status line each second until Ctrl-C, and lets Consul drain one server after the other.
async fn drain_servers_and_report(load: &Load, servers: &[Server], consul: &Consul) {
    let mut seconds = tokio::time::interval(Duration::from_secs(1));
    let mut previous = (load.totals().sent, vec![0; servers.len()]);
    for second in 0_usize.. {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return,
            _ = seconds.tick() => {}
        }
        if second % DRAIN_INTERVAL_S == 0 {
            let index = second / DRAIN_INTERVAL_S;
            consul.set_maintenance(&format!("s-{}", (index + SERVERS - 1) % SERVERS), false);
            consul.set_maintenance(&format!("s-{}", index % SERVERS), true);
        }
        let totals = load.totals();
        let counts: Vec<_> = servers.iter().map(Server::request_count).collect();
        let requests_by_server: Vec<_> = counts
            .iter()
            .zip(&previous.1)
            .map(|(count, previous)| count - previous)
            .collect();
        println!(
            "{second:>4} s: {:>5} requests/s, p99 {:.1} ms, lost {}, by server {requests_by_server:?}, draining s-{}",
            totals.sent - previous.0,
            totals.latency_quantile(0.99).as_secs_f64() * 1e3,
            totals.lost,
            second / DRAIN_INTERVAL_S % SERVERS
        );
        previous = (totals.sent, counts);
    }
}
