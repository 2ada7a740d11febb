//! A node with five fake servers, a fake discovery and a fake Consul on loopback, under some load: `cargo run --release --example
//! demo`. It prints how to send requests to the node, and each second what it does; every ten seconds Consul drains
//! another server. Ctrl-C ends it.

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
/// How long each client pauses between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(2);
/// Interval at which Consul drains another server.
const DRAIN_INTERVAL_S: usize = 10;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let servers: Vec<_> = (0..SERVERS)
        .map(|_| Server::start(|_| Reply::ok("rooms: 3\n")).without_recording())
        .collect();
    let consul = Consul::start();
    for (at, server) in servers.iter().enumerate() {
        consul.register(Instance::new("holds", &format!("s-{at}"), server.address));
    }
    consul.stop_recording();
    let discovery = Discovery::start();
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, s)| s.endpoint_entry(&format!("s-{at}"), "ready"))
        .collect();
    let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let text = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(15_000),
    );
    let config = Config {
        listen: address,
        ..Config::parse(&text)?
    };
    let file = format!(
        "[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{}\"]\n",
        consul.address
    );
    let operator_config = OperatorConfig::parse("demo.toml".as_ref(), &file)?;
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
    runtime.block_on(watch(&load, &servers, &consul));
    let totals = load.finish();
    println!(
        "{} requests, {} lost, answers {:?}",
        totals.sent, totals.lost, totals.responses
    );
    println!("the node shuts down ...");
    node.join().map_err(|_| "the node panicked")??;
    Ok(())
}

/// Prints how to send requests to the node and how to drain a server.
fn print_usage(address: SocketAddr, consul: &Consul) {
    println!(
        "a node serves on {address}, and a fake Consul agent on {}",
        consul.address
    );
    println!("ask it:   curl -i -H 'Req-Id: me1' -H 'Req-Kind: read' -H 'Req-Deadline: 1000m' http://{address}/api");
    println!(
        "drain:    curl -X PUT 'http://{}/v1/agent/service/maintenance/s-0?enable=true'",
        consul.address
    );
}

/// Prints a line each second until Ctrl-C.
async fn watch(load: &Load, servers: &[Server], consul: &Consul) {
    let mut seconds = tokio::time::interval(Duration::from_secs(1));
    let mut before = (load.totals().sent, vec![0; servers.len()]);
    for second in 0_usize.. {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return,
            _ = seconds.tick() => {}
        }
        if second % DRAIN_INTERVAL_S == 0 {
            let at = second / DRAIN_INTERVAL_S;
            consul.set_maintenance(&format!("s-{}", (at + SERVERS - 1) % SERVERS), false);
            consul.set_maintenance(&format!("s-{}", at % SERVERS), true);
        }
        let totals = load.totals();
        let now: Vec<_> = servers.iter().map(Server::request_count).collect();
        let each: Vec<_> = now
            .iter()
            .zip(&before.1)
            .map(|(now, before)| now - before)
            .collect();
        println!(
            "{second:>4} s: {:>5} requests/s, p99 {:.1} ms, lost {}, by server {each:?}, draining s-{}",
            totals.sent - before.0,
            totals.latency_quantile(0.99).as_secs_f64() * 1e3,
            totals.lost,
            second / DRAIN_INTERVAL_S % SERVERS
        );
        before = (totals.sent, now);
    }
}
