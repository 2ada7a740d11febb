//! The program `silverthread`: runs a load-balancing node, or queries one that runs.
//!
//! `ROUTER_CONFIG` names the platform's configuration. An operators' file may be named beside it, by `--config` or by
//! `SILVERTHREAD_CONFIG`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use silverthread::node::admin::client::{self, Query};
use silverthread::node::admin::config_file::OperatorConfig;
use silverthread::node::cluster::ClusterError;
use silverthread::node::{config::Config, run, NodeError, NodeOptions};
use silverthread::text::one_line;

/// The environment variable that names the operators' file where the command line does not.
const CONFIG_FILE_VARIABLE: &str = "SILVERTHREAD_CONFIG";
/// Exit code: the node cannot start or go on, or a query has no result.
const EXIT_FAILURE: u8 = 1;
/// Exit code: wrong command line or operators' file.
const EXIT_USAGE: u8 = 2;
/// Exit code of a panic, as the standard library has it.
const EXIT_PANIC: i32 = 101;

/// A load-balancing node. `ROUTER_CONFIG` names the platform's configuration; without arguments the node runs by that
/// alone.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    /// The operators' file; `SILVERTHREAD_CONFIG` names it, too.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Prints the other nodes of the cluster and their states, as a running node knows them.
    Members(QueryArguments),
    /// Prints the lease holder of each shard, as a running node knows it.
    Owners(QueryArguments),
    /// Prints the servers that nodes report as outliers, as a running node knows them.
    Hints(QueryArguments),
    /// Validates an operators' file: prints what is wrong with it, or what it turns on.
    Check {
        /// The file.
        file: PathBuf,
    },
}

#[derive(Args)]
struct QueryArguments {
    /// The node's admin address.
    #[arg(long = "at", value_name = "ADDRESS")]
    address: SocketAddr,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let line = CommandLine::parse();
    match line.command {
        Some(Command::Check { file }) => check(&file),
        Some(Command::Members(arguments)) => query(&client::MEMBERS, &arguments),
        Some(Command::Owners(arguments)) => query(&client::OWNERS, &arguments),
        Some(Command::Hints(arguments)) => query(&client::HINTS, &arguments),
        None => run_node(line.config.or_else(config_file_from_environment)),
    }
}

fn config_file_from_environment() -> Option<PathBuf> {
    let file = std::env::var_os(CONFIG_FILE_VARIABLE)?;
    (!file.is_empty()).then(|| PathBuf::from(file))
}

fn run_node(config_path: Option<PathBuf>) -> ExitCode {
    exit_on_panic();
    let operator_config = match config_path.as_deref().map(OperatorConfig::read).transpose() {
        Ok(config) => config.unwrap_or_default(),
        Err(error) => return fail(&error, EXIT_USAGE),
    };
    let options = NodeOptions {
        operator_config,
        config_path,
    };
    let result = Config::from_environment()
        .map_err(NodeError::from)
        .and_then(|config| run(config, options));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ NodeError::Cluster(ClusterError::MissingSetting(_))) => {
            fail(&error, EXIT_USAGE)
        }
        Err(error) => fail(&error, EXIT_FAILURE),
    }
}

fn check(file: &Path) -> ExitCode {
    match OperatorConfig::read(file) {
        Ok(config) => {
            println!("{}: valid", file.display());
            for line in config.summary() {
                println!("  {line}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error, EXIT_USAGE),
    }
}

fn query(query: &'static Query, arguments: &QueryArguments) -> ExitCode {
    match query.send(arguments.address) {
        Ok(response) if arguments.json => println!("{}", response.to_json()),
        Ok(response) => print!("{}", response.to_table()),
        Err(error) => return fail(&error, EXIT_FAILURE),
    }
    ExitCode::SUCCESS
}

fn fail(error: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("silverthread: {}", one_line(&error.to_string()));
    code.into()
}

/// Makes a panic end the process. A node whose event loop is broken would hold requests without answering any; a process
/// that has ended is started again by the platform.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::exit(EXIT_PANIC);
    }));
}
