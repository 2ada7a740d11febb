//! A load-balancing node. `ROUTER_CONFIG` names its configuration; an operators' file may be named beside it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use silverthread::node::admin::ask;
use silverthread::node::admin::operators::Operators;
use silverthread::node::cluster::ClusterError;
use silverthread::node::{config::Config, run, Extras, NodeError};
use silverthread::simulator::one_line;

/// The variable that names the operators' file where the command line does not.
const VARIABLE: &str = "SILVERTHREAD_CONFIG";
/// Wrong use or configuration.
const WRONG: u8 = 2;

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
    /// Prints which other nodes a running node knows, and what it believes of them.
    Members {
        /// The node's address for operators.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints who owns what of the work that all nodes have in common, as far as a running node knows.
    Owners {
        /// The node's address for operators.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints which servers other nodes complain of, as far as a running node believes it.
    Hints {
        /// The node's address for operators.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Reads an operators' file and says what is wrong with it or what it turns on.
    Check {
        /// The file.
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let line = CommandLine::parse();
    match line.command {
        Some(Command::Check { file }) => return check(&file),
        Some(Command::Members { at, json }) => return tell(&ask::MEMBERS, at, json),
        Some(Command::Owners { at, json }) => return tell(&ask::OWNERS, at, json),
        Some(Command::Hints { at, json }) => return tell(&ask::HINTS, at, json),
        None => {}
    }
    end_on_panic();
    let file = line.config.or_else(|| {
        std::env::var_os(VARIABLE)
            .filter(|f| !f.is_empty())
            .map(PathBuf::from)
    });
    let operators = match file.as_deref().map(Operators::read).transpose() {
        Ok(operators) => operators.unwrap_or_default(),
        Err(error) => return fail(&error, WRONG),
    };
    let extras = Extras { operators, file };
    match Config::from_environment()
        .map_err(Into::into)
        .and_then(|config| run(config, extras))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ NodeError::Cluster(ClusterError::MissingSetting(_))) => fail(&error, WRONG),
        Err(error) => fail(&error, 1),
    }
}

fn fail(error: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("silverthread: {}", one_line(&error.to_string()));
    code.into()
}

fn check(file: &Path) -> ExitCode {
    match Operators::read(file) {
        Ok(operators) => {
            println!("{}: sound", file.display());
            operators
                .summary()
                .iter()
                .for_each(|line| println!("  {line}"));
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error, WRONG),
    }
}

fn tell(layout: &'static ask::Layout, at: SocketAddr, json: bool) -> ExitCode {
    match layout.ask(at) {
        Ok(answer) if json => println!("{}", answer.json()),
        Ok(answer) => print!("{}", answer.table()),
        Err(error) => return fail(&error, 1),
    }
    ExitCode::SUCCESS
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
