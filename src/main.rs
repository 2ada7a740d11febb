//! The program `silverthread`: runs a load-balancing node, queries a running one, or validates an operators' file.
//!
//! `ROUTER_CONFIG` names the platform's configuration file. An optional operators' file is named by `--config` or,
//! without that flag, by `SILVERTHREAD_CONFIG`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use silverthread::node::admin::client::{self, Query};
use silverthread::node::admin::config_file::OperatorConfig;
use silverthread::node::cluster::ClusterError;
use silverthread::node::{config::Config, run, NodeError, NodeOptions};
use silverthread::text::one_line;

/// The environment variable that names the operators' file if `--config` is not given.
const CONFIG_FILE_VARIABLE: &str = "SILVERTHREAD_CONFIG";
/// Exit code if the node cannot start or fails, or a query has no result.
const EXIT_FAILURE: u8 = 1;
/// Exit code if the command line or the operators' file is invalid.
const EXIT_USAGE: u8 = 2;
/// Exit code after a panic, the one that the Rust runtime uses.
const EXIT_PANIC: i32 = 101;

/// A load-balancing node. Without a subcommand, runs the node; `ROUTER_CONFIG` names the platform's configuration file.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    /// The operators' file; the default is the value of `SILVERTHREAD_CONFIG`.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Prints the other nodes of the cluster and their states, as seen by a running node.
    Members(QueryArguments),
    /// Prints the lease holder of each shard, as seen by a running node.
    Owners(QueryArguments),
    /// Prints the servers that nodes of the cluster report as outliers, as seen by a running node.
    Hints(QueryArguments),
    /// Validates an operators' file: prints its error, or the features that it configures.
    Check {
        /// The operators' file to validate.
        file: PathBuf,
    },
}

#[derive(Args)]
struct QueryArguments {
    /// The node's admin address.
    #[arg(long = "at", value_name = "ADDRESS")]
    address: SocketAddr,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    match command_line.command {
        Some(Command::Check { file }) => check_operator_config(&file),
        Some(Command::Members(arguments)) => query(&client::MEMBERS, &arguments),
        Some(Command::Owners(arguments)) => query(&client::OWNERS, &arguments),
        Some(Command::Hints(arguments)) => query(&client::HINTS, &arguments),
        None => run_node(command_line.config.or_else(config_file_from_environment)),
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

fn check_operator_config(file: &Path) -> ExitCode {
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

/// Prints an error, and returns `code` as the exit code.
fn fail(error: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("silverthread: {}", one_line(&error.to_string()));
    code.into()
}

/// Makes a panic end the process. A node whose event loop has panicked would hold its requests without ever answering
/// them, whereas the platform restarts a process that has ended.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::exit(EXIT_PANIC);
    }));
}
