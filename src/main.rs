//! A load-balancing node. `ROUTER_CONFIG` names its configuration.

use std::process::ExitCode;

use silverthread::net::{config::Config, run};

fn main() -> ExitCode {
    match Config::from_environment().map_err(Into::into).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("silverthread: {}", silverthread::wire::one_line(&error.to_string()));
            ExitCode::FAILURE
        }
    }
}
