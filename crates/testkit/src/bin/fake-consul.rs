//! The fake Consul agent by itself, for experiments: `cargo run -p testkit --bin fake-consul -- 127.0.0.1:8500`.
//!
//! It accepts registrations by the agent API, and faults as lines on standard input: `lag 500`, `vanish`, `back`,
//! `status 500`, `never`, `leader off`, `sound`.

use std::io::BufRead;
use std::time::Duration;

use testkit::consul::{Consul, Fault};

fn main() {
    let address = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:8500".into());
    let consul = address
        .parse()
        .map_err(|_| "it is not an address".to_owned());
    let consul = match consul.and_then(|at| Consul::start_at(at).map_err(|error| error.to_string()))
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
            other => println!("not understood: {other:?}"),
        }
    }
    // The end of the input does not end the agent: it may have been started in the background.
    loop {
        std::thread::park();
    }
}
