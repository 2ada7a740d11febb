//! The node: one program on real sockets round the decision module, as one thread.
//!
//! [`clients`] takes requests, [`servers`] carries attempts to the servers and [`discovery`] follows the list of
//! servers, at the address that the latest configuration names. All they see reaches [`driver`] as an event, and it carries out what the balancer decides. Nothing
//! here decides anything of a request: no health, no retries, no choice of a server.

pub mod clients;
pub mod config;
pub mod discovery;
pub mod driver;
mod framing;
mod log;
mod places;
mod reload;
pub mod servers;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

use clients::Phase;
use config::{Config, ConfigError};
use driver::Driver;

/// How long a node that is told to stop goes on taking new connections: the front may deal them out for 0.4 s.
const HAND_OVER: Duration = Duration::from_millis(500);

/// Why a node could not start or go on.
#[derive(Debug)]
pub enum NodeError {
    /// The configuration is missing or broken.
    Config(ConfigError),
    /// It could not listen, or the system failed it.
    System {
        /// What it tried.
        doing: &'static str,
        /// What the system said.
        error: io::Error,
    },
}

impl std::fmt::Display for NodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Config(error) => error.fmt(f),
            Self::System { doing, error } => write!(f, "cannot {doing}: {error}"),
        }
    }
}

impl std::error::Error for NodeError {}

impl From<ConfigError> for NodeError {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}

fn system(doing: &'static str) -> impl FnOnce(io::Error) -> NodeError {
    move |error| NodeError::System { doing, error }
}

/// Runs a node until SIGTERM (or SIGINT) and the hand-over after it.
///
/// # Errors
///
/// The configuration makes no sense, or the node cannot listen.
pub fn run(config: Config) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(system("start the event loop"))?;
    LocalSet::new().block_on(&runtime, node(config))
}

async fn node(config: Config) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(system("listen for SIGTERM"))?;
    // SIGHUP ends a process that does not listen for it, so this stands before the node says that it is ready.
    let reload = signal(SignalKind::hangup()).map_err(system("listen for SIGHUP"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(system("listen for SIGINT"))?;
    let listener = TcpListener::bind(config.listen).await.map_err(system("listen for clients"))?;
    let address = listener.local_addr().map_err(system("listen for clients"))?;
    let driver = Driver::start(&config)?;
    log::line(format_args!("serves on {address}"));
    let known = Some(config.known.generation).filter(|_| !config.known.instances.is_empty());
    let (moves, addresses) = watch::channel(config.discovery);
    tokio::task::spawn_local(discovery::follow(Rc::clone(&driver), addresses, config.push, known));
    tokio::task::spawn_local(reload::follow(reload, moves));
    let (phase, phases) = watch::channel(Phase::Serving);
    let last_answer = driver.names.rules.iter().map(|rule| rule.longest).max().unwrap_or_default();
    let places = config.limits.client_connections();
    let clients = clients::serve(listener, Rc::clone(&driver), phases, places, last_answer);
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        phase.send_replace(Phase::HandOver);
        tokio::time::sleep(HAND_OVER).await;
        phase.send_replace(Phase::Closing);
        // The sender must live until all is answered: its end would look like one more change.
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = clients => {}
        () = stop => {}
    }
    driver.report_lateness();
    Ok(())
}
