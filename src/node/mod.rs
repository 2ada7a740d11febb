//! The node: one program on real sockets round the decision module, as one thread.
//!
//! The folders follow a request's way: [`downstream`] takes it, [`upstream`] carries attempts to the servers, and [`discovery`]
//! says who the servers are. All they see reaches [`dispatcher`] as an event, and it carries out what the balancer decides.
//! Nothing here decides anything of a request: no health, no retries, no choice of a server. [`admin`] is the
//! operators' side; what their file turns on stands beside the rest, and without it none of that runs.

pub mod admin;
mod clock;
pub mod cluster;
pub mod config;
pub mod discovery;
pub mod dispatcher;
pub mod downstream;
pub mod upstream;

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

use self::admin::config_file::OperatorConfig;
use self::admin::log;
use self::admin::reload::{self, WatchedFile};
use self::admin::server::{self as admin_server, AdminServer};
use self::cluster::{Cluster, ClusterError};
use self::discovery::endpoint_list::Delivery;
use self::discovery::updates::EndpointUpdates;
use self::discovery::{endpoint_list, ConsulFollowers};
use self::downstream::clients::{self, FrontOptions, Phase};
use self::downstream::inherited;
use config::{Config, ConfigError};
use dispatcher::Dispatcher;

/// A node that is told to stop is ended no sooner than the longest deadline, `LONGEST_WAIT` at the most, and 700 ms. All
/// is answered this long after the deadline: what is left is for writing the last answers, all at once at the worst, on
/// what it has of a core.
const BEFORE_THE_END: Duration = Duration::from_millis(600);
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// The part of the longest deadline that is left for answers once nothing new is taken.
const LAST_PART: f64 = 0.5;

/// How a node that is told to stop spends the time until it is ended: when it takes nothing new any more, and by when
/// all is answered. Guards against clients that find nobody: a node that was restarted before this one is let in by
/// the front a while after it is ready, and until then those who have a connection here are served here.
fn hand_over(longest: Duration) -> (Duration, Duration) {
    let longest = longest.min(LONGEST_WAIT);
    let answered = BEFORE_THE_END + longest;
    (answered - longest.mul_f64(LAST_PART), answered)
}

/// Why a node could not start or go on.
#[derive(Debug)]
pub enum NodeError {
    /// The configuration is missing or broken.
    Config(ConfigError),
    /// Other nodes are to be found, and something that it takes is missing.
    Cluster(ClusterError),
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
            Self::Cluster(error) => error.fmt(f),
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

/// What the operators add to the platform's configuration. The default adds nothing.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// The content of the operators' file.
    pub operator_config: OperatorConfig,
    /// The operators' file, so that SIGHUP can reload it; `None` if there is none.
    pub config_path: Option<PathBuf>,
}

/// Runs a node until SIGTERM (or SIGINT) and the hand-over after it.
///
/// # Errors
///
/// The configuration makes no sense, or the node cannot listen.
pub fn run(config: Config, options: NodeOptions) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(system("start the event loop"))?;
    LocalSet::new().block_on(&runtime, node(config, options))
}

async fn node(config: Config, options: NodeOptions) -> Result<(), NodeError> {
    let NodeOptions {
        operator_config,
        config_path,
    } = options;
    let mut terminate = signal(SignalKind::terminate()).map_err(system("listen for SIGTERM"))?;
    // SIGHUP ends a process that does not listen for it, so this stands before the node says that it is ready.
    let reload = signal(SignalKind::hangup()).map_err(system("listen for SIGHUP"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(system("listen for SIGINT"))?;
    let held =
        inherited::listener().map_err(system("use the listening socket that it is handed"))?;
    let is_shared = held.is_some();
    let listener = match held {
        Some(held) => TcpListener::from_std(held),
        None => TcpListener::bind(config.listen).await,
    };
    let listener = listener.map_err(system("listen for clients"))?;
    let address = listener
        .local_addr()
        .map_err(system("listen for clients"))?;
    let driver = Dispatcher::start_with(
        &config,
        operator_config.addresses.clone(),
        operator_config.pool,
    )?;
    log::line(format_args!("serves on {address}"));
    let known = Some(config.known.generation).filter(|_| !config.known.instances.is_empty());
    let (moves, addresses) = watch::channel(config.discovery);
    let (updates, consul_followers) = endpoint_updates(&driver, &config, &operator_config);
    let delivery = if config.push {
        Delivery::Pushed {
            grace: config.drain_grace,
        }
    } else {
        Delivery::Subscribed
    };
    tokio::task::spawn_local(endpoint_list::follow(updates, addresses, delivery, known));
    let fleet = Cluster::start(
        &config,
        operator_config.instances.as_ref(),
        operator_config.leases.as_ref(),
        operator_config.outlier_detection.as_ref(),
        &driver,
    )
    .await
    .map_err(NodeError::Cluster)?;
    let file = match (config_path, consul_followers) {
        (Some(path), Some(sources)) => Some(WatchedFile { path, sources }),
        _ => None,
    };
    tokio::task::spawn_local(reload::reload_on_signal(reload, moves, file, fleet.clone()));
    let (phase, phases) = watch::channel(Phase::Serving);
    let longest = driver.names.max_timeout();
    let most = config.limits.client_connections();
    let options = FrontOptions {
        is_shared,
        max_buffered_upload_bytes: config.limits.long_requests(),
        ..FrontOptions::own(phases, most)
    };
    if let Some(address) = config.control {
        let listener = TcpListener::bind(address)
            .await
            .map_err(system("listen for operators"))?;
        let at = listener
            .local_addr()
            .map_err(system("listen for operators"))?;
        log::line(format_args!("admin server listens on {at}"));
        let server = AdminServer::new(Rc::clone(&driver), options.clone(), fleet.clone());
        tokio::task::spawn_local(admin_server::serve(listener, server));
    }
    let clients = clients::serve(listener, Rc::clone(&driver), options);
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if let Some(fleet) = &fleet {
            fleet.leave();
        }
        let (closing, answered) = hand_over(longest);
        let by = Instant::now() + answered;
        phase.send_replace(Phase::Draining(by));
        tokio::time::sleep(closing).await;
        phase.send_replace(Phase::ShuttingDown(by));
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

/// The path of endpoint updates to the driver, with the Consul services that the operators' file
/// names.
fn endpoint_updates(
    driver: &Rc<Dispatcher>,
    config: &Config,
    operator_config: &OperatorConfig,
) -> (Rc<EndpointUpdates>, Option<Rc<ConsulFollowers>>) {
    let Some(configured) = &operator_config.endpoint_sources else {
        return (EndpointUpdates::direct(Rc::clone(driver)), None);
    };
    let updates =
        EndpointUpdates::merged(Rc::clone(driver), configured.roster.clone(), &config.known);
    let consul_followers = ConsulFollowers::new(Rc::clone(&updates), config.seed);
    consul_followers.follow(&configured.consul);
    (updates, Some(consul_followers))
}

#[cfg(test)]
mod tests;
