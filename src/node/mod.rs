//! The node: one process, one thread, real sockets around the balancer.
//!
//! [`downstream`] accepts requests, [`upstream`] sends attempts to servers, and [`discovery`] maintains the list of
//! servers. The [`dispatcher`] passes what they observe to the balancer as events, and executes the actions that the
//! balancer returns. Decisions about requests are made by the balancer alone: this module does not judge the health
//! of servers, select servers or decide on retries. [`admin`] is the operators' interface. [`cluster`] communicates
//! with other nodes, if the operators configured any.

pub mod admin;
mod clock;
pub mod cluster;
pub mod config;
pub mod discovery;
pub mod dispatcher;
pub mod downstream;
mod level_triggered;
pub mod memory;
mod shutdown;
mod start_times;
mod system_error;
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
use self::config::{Config, ConfigError, EndpointList};
use self::discovery::endpoint_list::{self, Delivery};
use self::discovery::updates::EndpointUpdates;
use self::discovery::ConsulFollowers;
use self::dispatcher::Dispatcher;
use self::downstream::inherited;
use self::downstream::request_ids::RequestIds;
use self::downstream::server::{self, Phase, ServerOptions};
use self::shutdown::{ShutdownSchedule, StopSignals};
use self::system_error::retry_at_start;

/// Error that prevents a node from starting.
#[derive(Debug)]
pub enum NodeError {
    /// The platform's configuration is missing or invalid.
    Config(ConfigError),
    /// The operators configured a cluster that cannot start.
    Cluster(ClusterError),
    /// A system call failed.
    System {
        /// The operation that failed, worded to follow "cannot".
        operation: &'static str,
        /// The operating system's error.
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
            // `Display` prints the message of the inner error, so the source chain continues after it.
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

/// The operators' configuration, which supplements the platform's. The default is empty.
#[derive(Clone, Debug, Default)]
pub struct NodeOptions {
    /// The content of the operators' configuration file.
    pub operator_config: OperatorConfig,
    /// The path of the operators' configuration file, which is reloaded on SIGHUP; `None` without such a file.
    pub config_path: Option<PathBuf>,
}

/// Runs a node until its graceful shutdown, started by SIGTERM or SIGINT, has finished. Blocks the calling thread.
///
/// # Errors
///
/// The configuration is invalid, the cluster cannot start, or a system call such as `listen` fails.
pub fn run(config: Config, options: NodeOptions) -> Result<(), NodeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(system_error("start the event loop"))?;
    LocalSet::new().block_on(&runtime, run_node(config, options))
}

async fn run_node(mut config: Config, options: NodeOptions) -> Result<(), NodeError> {
    let NodeOptions {
        operator_config,
        config_path,
    } = options;
    let signals = Signals::install_handlers()?;
    let ClientListener {
        listener,
        is_shared,
        request_ids,
    } = ClientListener::open(config.listen, config.limits.request_id_bytes()).await?;
    let address = local_address(&listener, LISTEN_FOR_CLIENT_CONNECTIONS)?;
    let dispatcher = Dispatcher::start_with(
        &config,
        operator_config.addresses.clone(),
        operator_config.pool,
    )?;
    log::line(format_args!("serves on {address}"));
    let (discovery_address, consul_followers) =
        follow_endpoints(&dispatcher, &config, &operator_config);
    config.cached_endpoints = EndpointList::default(); // All users of the cached list have it.
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
    let (phase_sender, phases) = watch::channel(Phase::Serving);
    let server_options = ServerOptions {
        is_listener_shared: is_shared,
        request_ids: Rc::clone(&request_ids),
        ..ServerOptions::for_unshared_listener(phases, config.limits.client_connections())
    };
    if let Some(address) = config.admin_listen {
        let server = AdminServer::new(
            Rc::clone(&dispatcher),
            server_options.clone(),
            cluster.clone(),
        );
        start_admin_server(address, server).await?;
    }
    tokio::task::spawn_local(async move { request_ids.wait_for_legacy_processes().await });
    let schedule = ShutdownSchedule::new(dispatcher.names.max_timeout());
    tokio::select! {
        () = server::serve(listener, Rc::clone(&dispatcher), server_options) => {}
        () = shutdown::run_phases(signals.stop, schedule, phase_sender, cluster) => {}
    }
    dispatcher.report_lateness();
    Ok(())
}

/// The signals that a node handles. SIGHUP terminates a process without a handler, so all handlers are installed
/// before the node reports that it serves.
struct Signals {
    stop: StopSignals,
    reload: Signal,
}

impl Signals {
    fn install_handlers() -> Result<Self, NodeError> {
        let terminate = signal(SignalKind::terminate()).map_err(system_error("handle SIGTERM"))?;
        let reload = signal(SignalKind::hangup()).map_err(system_error("handle SIGHUP"))?;
        let interrupt = signal(SignalKind::interrupt()).map_err(system_error("handle SIGINT"))?;
        Ok(Self {
            stop: StopSignals {
                terminate,
                interrupt,
            },
            reload,
        })
    }
}

const LISTEN_FOR_CLIENT_CONNECTIONS: &str = "listen for client connections";
const LISTEN_FOR_ADMIN_CONNECTIONS: &str = "listen for admin connections";

fn local_address(listener: &TcpListener, operation: &'static str) -> Result<SocketAddr, NodeError> {
    listener.local_addr().map_err(system_error(operation))
}

/// The listening socket for client connections.
struct ClientListener {
    listener: TcpListener,
    /// Whether it was inherited from the platform, so that other processes may accept connections from it, too.
    is_shared: bool,
    /// The ids of the requests that arrive on it.
    request_ids: Rc<RequestIds>,
}

impl ClientListener {
    /// Uses the socket inherited from the platform; without one, binds to `address`. The ids of requests may use
    /// `request_id_bytes` of memory.
    async fn open(address: SocketAddr, request_id_bytes: usize) -> Result<Self, NodeError> {
        let inherited =
            inherited::listener().map_err(system_error("use the inherited listening socket"))?;
        let is_shared = inherited.is_some();
        let (listener, request_ids) = match inherited {
            Some(inherited) => {
                let request_ids = RequestIds::shared(&inherited, request_id_bytes).await;
                let request_ids = request_ids.map_err(system_error("share the request ids"))?;
                (TcpListener::from_std(inherited), request_ids)
            }
            None => (
                retry_at_start(|| TcpListener::bind(address)).await,
                RequestIds::local(request_id_bytes),
            ),
        };
        Ok(Self {
            listener: listener.map_err(system_error(LISTEN_FOR_CLIENT_CONNECTIONS))?,
            is_shared,
            request_ids: Rc::new(request_ids),
        })
    }
}

/// Starts to watch the platform's endpoint list and the Consul services that the operators configured. Returns the
/// sender for changes of the platform's discovery address, and the followers of Consul services.
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
    let watch_task = endpoint_list::follow(updates, addresses, delivery, cached_generation);
    tokio::task::spawn_local(watch_task);
    (discovery_address, consul_followers)
}

/// Creates the path of endpoint updates to the dispatcher, and starts to follow the configured Consul services.
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

/// Starts the features that involve other nodes (membership, leases, outlier detection), as far as they are configured.
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
    let listener = retry_at_start(|| TcpListener::bind(address))
        .await
        .map_err(system_error(LISTEN_FOR_ADMIN_CONNECTIONS))?;
    let address = local_address(&listener, LISTEN_FOR_ADMIN_CONNECTIONS)?;
    log::line(format_args!("admin server listens on {address}"));
    tokio::task::spawn_local(admin_server::serve(listener, server));
    Ok(())
}
