//! Runs the fake Consul agent as a program, for experiments:
//! `cargo run -p testkit --bin fake-consul -- 127.0.0.1:8500`.
//!
//! It accepts registrations through the agent API, and commands as lines on standard input: `lag 500` (milliseconds),
//! `vanish` and `back` (unreachable and reachable again), and the faults `status 500`, `never` and `leader off`, which
//! `sound` ends.

use std::io::BufRead;
use std::time::Duration;

use testkit::consul::{Consul, Fault};

fn main() {
    let address = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:8500".into());
    let consul = address
        .parse()
        .map_err(|_| "not an IP address with a port".to_owned());
    let consul = match consul
        .and_then(|address| Consul::start_at(address).map_err(|error| error.to_string()))
    {
        Ok(consul) => consul,
        Err(error) => {
            eprintln!("fake-consul: {address}: {error}");
            std::process::exit(2);
        }
    };
    consul.stop_recording();
    println!("a fake Consul agent listens on {}", consul.address);
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match line.split_whitespace().collect::<Vec<_>>().as_slice() {
            ["lag", ms] => consul.set_lag(Duration::from_millis(ms.parse().unwrap_or(0))),
            ["vanish"] => consul.set_unreachable(true),
            ["back"] => consul.set_unreachable(false),
            ["status", status] => consul.set_fault(Fault::Status(status.parse().unwrap_or(500))),
            ["never"] => consul.set_fault(Fault::Never),
            ["leader", "off"] => consul.set_fault(Fault::NoLeader),
            ["sound"] => consul.set_fault(Fault::None),
            [] => {}
            other => println!("unknown command: {other:?}"),
        }
    }
    // The agent keeps running after the end of its input: a background process may have none.
    loop {
        std::thread::park();
    }
}
