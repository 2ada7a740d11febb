//! A load-balancing node. `ROUTER_CONFIG` names its configuration.

use std::process::ExitCode;

use silverthread::net::{config::Config, run};

fn main() -> ExitCode {
    end_on_panic();
    match Config::from_environment().map_err(Into::into).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("silverthread: {}", silverthread::wire::one_line(&error.to_string()));
            ExitCode::FAILURE
        }
    }
}

/// Guards against a node that lives on with its driver broken: it would hold requests and answer none. One that
/// has ended is started again.
fn end_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(101);
    }));
}
