//! The node: one process, one thread, real sockets around the balancer.
//!
//! The modules follow a request's way: [`downstream`] accepts it, [`upstream`] sends attempts to servers, and
//! [`discovery`] says who the servers are. All they observe reaches the [`dispatcher`] as an event, and it executes what
//! the balancer decides. Nothing here decides anything about a request: no health, no retries, no choice of a server.
//! [`admin`] is the operators' side. [`cluster`] connects to other nodes; it runs only where the operators configured
//! it.

pub mod admin;
mod clock;
pub mod cluster;
pub mod config;
pub mod discovery;
pub mod dispatcher;
pub mod downstream;
mod shutdown;
pub mod upstream;

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

use self::admin::config_file::OperatorConfig;
use self::admin::log;
use self::admin::reload::{self, ReloadableFile};
use self::admin::server::{self as admin_server, AdminServer};
use self::cluster::{Cluster, ClusterError};
use self::config::{Config, ConfigError};
use self::discovery::endpoint_list::{self, Delivery};
use self::discovery::updates::EndpointUpdates;
use self::discovery::ConsulFollowers;
use self::dispatcher::Dispatcher;
use self::downstream::inherited;
use self::downstream::server::{self, Phase, ServerOptions};
use self::shutdown::{ShutdownSchedule, StopSignals};

/// Why a node could not start.
#[derive(Debug)]
pub enum NodeError {
    /// The platform's configuration is missing or invalid.
    Config(ConfigError),
    /// The operators configured a cluster that cannot start.
    Cluster(ClusterError),
    /// A call of the operating system failed.
    System {
        /// What the node tried to do.
        operation: &'static str,
        /// The system's error.
        source: io::Error,
    },
}

impl std::fmt::Display for NodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Config(error) => error.fmt(f),
            Self::Cluster(error) => error.fmt(f),
            Self::System { operation, source } => write!(f, "cannot {operation}: {source}"),
        }
    }
}

impl Error for NodeError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            // Their messages are this error's own.
            Self::Config(error) => error.source(),
            Self::Cluster(error) => error.source(),
            Self::System { source, .. } => Some(source),
        }
    }
}

impl From<ConfigError> for NodeError {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}

fn system_error(operation: &'static str) -> impl Fn(io::Error) -> NodeError {
    move |source| NodeError::System { operation, source }
}

/// What the operators add to the platform's configuration. The default adds nothing.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// The content of the operators' configuration file.
    pub operator_config: OperatorConfig,
    /// The path of that file, so that SIGHUP can reload it; `None` if there is none.
    pub config_path: Option<PathBuf>,
}

/// Runs a node until SIGTERM or SIGINT and the graceful shutdown after it. Blocks the calling thread.
///
/// # Errors
///
/// The configuration is invalid, or the node cannot listen.
pub fn run(config: Config, options: NodeOptions) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(system_error("start the event loop"))?;
    LocalSet::new().block_on(&runtime, run_node(config, options))
}

async fn run_node(config: Config, options: NodeOptions) -> Result<(), NodeError> {
    let NodeOptions {
        operator_config,
        config_path,
    } = options;
    let signals = Signals::listen()?;
    let ClientListener {
        listener,
        is_shared,
    } = ClientListener::open(config.listen).await?;
    let address = local_address(&listener, LISTEN_FOR_CLIENTS)?;
    let dispatcher = Dispatcher::start_with(
        &config,
        operator_config.addresses.clone(),
        operator_config.pool,
    )?;
    log::line(format_args!("serves on {address}"));
    let (discovery_address, consul_followers) =
        follow_endpoints(&dispatcher, &config, &operator_config);
    let cluster = start_cluster(&config, &operator_config, &dispatcher).await?;
    let reloadable_file = config_path
        .zip(consul_followers)
        .map(|(path, sources)| ReloadableFile { path, sources });
    tokio::task::spawn_local(reload::reload_on_signal(
        signals.reload,
        discovery_address,
        reloadable_file,
        cluster.clone(),
    ));
    let (phase, phases) = watch::channel(Phase::Serving);
    let front_options = ServerOptions {
        is_listener_shared: is_shared,
        max_buffered_upload_bytes: config.limits.buffered_upload_bytes(),
        ..ServerOptions::for_unshared_listener(phases, config.limits.client_connections())
    };
    if let Some(address) = config.admin_listen {
        let server = AdminServer::new(
            Rc::clone(&dispatcher),
            front_options.clone(),
            cluster.clone(),
        );
        start_admin_server(address, server).await?;
    }
    let schedule = ShutdownSchedule::new(dispatcher.names.max_timeout());
    tokio::select! {
        () = server::serve(listener, Rc::clone(&dispatcher), front_options) => {}
        () = shutdown::run_phases(signals.stop, schedule, phase, cluster) => {}
    }
    dispatcher.report_lateness();
    Ok(())
}

/// The signals that a node handles. SIGHUP ends a process that does not listen for it, so all are listened for before the
/// node reports that it is ready.
struct Signals {
    stop: StopSignals,
    reload: Signal,
}

impl Signals {
    fn listen() -> Result<Self, NodeError> {
        let terminate =
            signal(SignalKind::terminate()).map_err(system_error("listen for SIGTERM"))?;
        let reload = signal(SignalKind::hangup()).map_err(system_error("listen for SIGHUP"))?;
        let interrupt =
            signal(SignalKind::interrupt()).map_err(system_error("listen for SIGINT"))?;
        Ok(Self {
            stop: StopSignals {
                terminate,
                interrupt,
            },
            reload,
        })
    }
}

const LISTEN_FOR_CLIENTS: &str = "listen for clients";
const LISTEN_FOR_OPERATORS: &str = "listen for operators";

fn local_address(listener: &TcpListener, operation: &'static str) -> Result<SocketAddr, NodeError> {
    listener.local_addr().map_err(system_error(operation))
}

/// The socket on which clients connect.
struct ClientListener {
    listener: TcpListener,
    /// Whether the platform handed it over, and other processes listen on it, too.
    is_shared: bool,
}

impl ClientListener {
    /// The socket that the platform handed over or, if it did not, one of the node's own.
    async fn open(address: SocketAddr) -> Result<Self, NodeError> {
        let inherited = inherited::listener()
            .map_err(system_error("use the listening socket that it is handed"))?;
        let is_shared = inherited.is_some();
        let listener = match inherited {
            Some(inherited) => TcpListener::from_std(inherited),
            None => TcpListener::bind(address).await,
        };
        Ok(Self {
            listener: listener.map_err(system_error(LISTEN_FOR_CLIENTS))?,
            is_shared,
        })
    }
}

/// Starts to follow the platform's endpoint list and the Consul services that the operators configured. Returns where to
/// send a changed address of the platform's discovery, and the followers of Consul.
fn follow_endpoints(
    dispatcher: &Rc<Dispatcher>,
    config: &Config,
    operator_config: &OperatorConfig,
) -> (watch::Sender<SocketAddr>, Option<Rc<ConsulFollowers>>) {
    let has_cached_list = !config.cached_endpoints.instances.is_empty();
    let cached_generation = has_cached_list.then_some(config.cached_endpoints.generation);
    let (discovery_address, addresses) = watch::channel(config.discovery);
    let (updates, consul_followers) = endpoint_updates(dispatcher, config, operator_config);
    let delivery = if config.is_discovery_pushed {
        Delivery::Pushed {
            drain_grace: config.drain_grace,
        }
    } else {
        Delivery::Subscribed
    };
    let follower = endpoint_list::follow(updates, addresses, delivery, cached_generation);
    tokio::task::spawn_local(follower);
    (discovery_address, consul_followers)
}

/// The path of endpoint updates to the dispatcher, with the Consul services that the operators configured.
fn endpoint_updates(
    dispatcher: &Rc<Dispatcher>,
    config: &Config,
    operator_config: &OperatorConfig,
) -> (Rc<EndpointUpdates>, Option<Rc<ConsulFollowers>>) {
    let dispatcher = Rc::clone(dispatcher);
    let Some(configured) = &operator_config.endpoint_sources else {
        return (EndpointUpdates::direct(dispatcher), None);
    };
    let updates = EndpointUpdates::merged(
        dispatcher,
        configured.endpoint_list.clone(),
        &config.cached_endpoints,
    );
    let consul_followers = ConsulFollowers::new(Rc::clone(&updates), config.seed);
    consul_followers.follow(&configured.consul);
    (updates, Some(consul_followers))
}

/// Starts what runs among several nodes, if the operators configured it.
async fn start_cluster(
    config: &Config,
    operator_config: &OperatorConfig,
    dispatcher: &Rc<Dispatcher>,
) -> Result<Option<Rc<Cluster>>, NodeError> {
    Cluster::start(
        config,
        operator_config.cluster.as_ref(),
        operator_config.leases.as_ref(),
        operator_config.outlier_detection.as_ref(),
        dispatcher,
    )
    .await
    .map_err(NodeError::Cluster)
}

async fn start_admin_server(address: SocketAddr, server: AdminServer) -> Result<(), NodeError> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(system_error(LISTEN_FOR_OPERATORS))?;
    let address = local_address(&listener, LISTEN_FOR_OPERATORS)?;
    log::line(format_args!("admin server listens on {address}"));
    tokio::task::spawn_local(admin_server::serve(listener, server));
    Ok(())
}
