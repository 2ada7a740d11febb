//! The server that accepts client connections: spawns a task for each, and returns once all of them are closed. Owns the
//! state that the connections share: the connection table and the ids of requests.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::{ConnectionPolicy, Drain};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::node::admin::log;
use crate::node::dispatcher::Dispatcher;
use crate::node::downstream::connection;
use crate::node::downstream::connection_table::ConnectionTable;
use crate::node::downstream::request_ids::RequestIds;
pub use crate::node::downstream::shutdown::Phase;
use crate::node::downstream::shutdown::{FINAL_WRITE_TIMEOUT, SHARED_ACCEPT_PERIOD};
use crate::node::memory::NodeMemory;
use crate::node::system_error::is_lost_connection;

/// Maximum number of connections that are accepted from the kernel's backlog at shutdown: as many as it holds. The bound
/// prevents clients that connect continuously from delaying the shutdown.
const MAX_BACKLOG: usize = 1_024;
/// Pause after a connection could not be accepted, for example because the process has no free descriptors.
pub const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a connection could not be accepted from the backlog at shutdown.
const BACKLOG_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Options of the server that accepts client connections.
#[derive(Clone)]
pub struct ServerOptions {
    /// Receiver of the phase of the node's shutdown.
    pub phases: watch::Receiver<Phase>,
    /// State of the drain that operators begin and cancel.
    pub drain: Rc<Cell<Drain>>,
    /// Whether the platform owns the listening socket, so that another process of this node may listen on it, too.
    pub is_listener_shared: bool,
    /// Limit on open connections.
    pub max_connections: usize,
    /// The ids of the requests.
    pub request_ids: Rc<RequestIds>,
}

impl ServerOptions {
    /// Creates options for a listening socket that only this process uses, without a drain.
    #[must_use]
    pub fn for_unshared_listener(phases: watch::Receiver<Phase>, max_connections: usize) -> Self {
        Self {
            phases,
            drain: Rc::default(),
            is_listener_shared: false,
            max_connections,
            request_ids: Rc::default(),
        }
    }
}

/// State that all client connections share.
pub(super) struct ServerState {
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) options: ServerOptions,
    pub(super) table: Rc<ConnectionTable>,
    pub(super) memory: Rc<NodeMemory>,
}

/// Serves clients until the node has stopped accepting connections and all connections are closed.
///
/// Returns no later than [`FINAL_WRITE_TIMEOUT`] after the shutdown deadline, so that a client that does not read its
/// response cannot delay the shutdown. Must run inside a [`tokio::task::LocalSet`]. Dropping the future stops accepting;
/// the tasks of open connections continue.
pub async fn serve(listener: TcpListener, dispatcher: Rc<Dispatcher>, options: ServerOptions) {
    let state = Rc::new(ServerState {
        memory: dispatcher.memory(),
        dispatcher,
        table: ConnectionTable::new(options.max_connections),
        options,
    });
    tokio::select! {
        () = accept_until_shutdown(listener, &state) => {}
        () = prepare_for_shutdown(&state) => {}
        () = state.table.enforce_limits(|| state.connection_policy()) => {}
    }
}

impl ServerState {
    /// Returns whether load balancers in front of the node should send new clients to it.
    pub(super) fn accepts_new_clients(&self) -> bool {
        self.options.drain.get().accepts_new_clients()
    }

    /// Returns the current phase of the shutdown.
    pub(super) fn phase(&self) -> Phase {
        *self.options.phases.borrow()
    }

    /// Returns the policy for client connections: the stricter of those that the drain and the shutdown require.
    pub(super) fn connection_policy(&self) -> ConnectionPolicy {
        let drain_policy = self
            .options
            .drain
            .get()
            .connection_policy(self.dispatcher.now_ms());
        let shutdown_policy = match self.phase() {
            Phase::ShuttingDown(_) => ConnectionPolicy::CloseIdle,
            Phase::Draining(_) if self.options.is_listener_shared => {
                ConnectionPolicy::CloseAfterResponse
            }
            _ => ConnectionPolicy::KeepAlive,
        };
        drain_policy.max(shutdown_policy)
    }

    /// Waits until the node must stop accepting connections.
    async fn stop_accepting(&self) {
        let mut phases = self.options.phases.clone();
        if self.options.is_listener_shared {
            let _ = phases.wait_for(|phase| *phase != Phase::Serving).await;
            return tokio::time::sleep(SHARED_ACCEPT_PERIOD).await;
        }
        let _ = phases.wait_for(Phase::is_shutting_down).await;
    }
}

async fn accept_until_shutdown(listener: TcpListener, state: &Rc<ServerState>) {
    accept_connections(&listener, state).await;
    if !state.options.is_listener_shared {
        accept_backlog(&listener, state).await;
    }
    drop(listener);
    let deadline = state.phase().deadline().unwrap_or_else(Instant::now);
    let all_closed = state.table.wait_until_empty();
    if tokio::time::timeout_at((deadline + FINAL_WRITE_TIMEOUT).into(), all_closed)
        .await
        .is_err()
    {
        log::line("client connections are still open after the shutdown deadline");
        state.dispatcher.report_unanswered();
    }
}

/// Once draining begins, passes the shutdown deadline to the dispatcher and, unless the listening socket is shared, retains
/// idle connections. Never returns.
async fn prepare_for_shutdown(state: &ServerState) {
    let mut phases = state.options.phases.clone();
    let deadline = phases
        .wait_for(|phase| *phase != Phase::Serving)
        .await
        .ok()
        .and_then(|phase| phase.deadline());
    if let Some(deadline) = deadline {
        state.dispatcher.limit_deadlines(deadline);
    }
    if !state.options.is_listener_shared {
        state.table.retain_connections();
    }
    std::future::pending::<()>().await;
}

async fn accept_connections(listener: &TcpListener, state: &Rc<ServerState>) {
    let mut stop_accepting = pin!(state.stop_accepting());
    loop {
        // Biased: a connection that the kernel has already given to this process would be reset if it were not accepted.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut stop_accepting => return,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, state).await,
            Err(error) if is_lost_connection(&error) => tokio::task::yield_now().await,
            Err(error) => {
                log::line(format_args!("cannot accept a connection: {error}"));
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Accepts the connections that remain in the kernel's backlog: the event loop may not have reported the latest ones yet.
async fn accept_backlog(listener: &TcpListener, state: &Rc<ServerState>) {
    for _ in 0..MAX_BACKLOG {
        match accept_without_event_loop(listener) {
            Ok(stream) => spawn_connection(stream, state).await,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) if is_lost_connection(&error) => {}
            // Connections that end meanwhile free descriptors. What stays in the backlog is reset by the kernel.
            Err(error) => {
                log::line(format_args!("cannot accept a connection: {error}"));
                tokio::time::sleep(BACKLOG_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Accepts a connection from the kernel's backlog without waiting. Fails if the backlog is empty.
fn accept_without_event_loop(listener: &TcpListener) -> io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    let stream = std::net::TcpStream::from(socket);
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

async fn spawn_connection(stream: TcpStream, state: &Rc<ServerState>) {
    let guard = state.table.reserve_slot().await;
    drop(tokio::task::spawn_local(connection::run(
        stream,
        Rc::clone(state),
        guard,
    )));
}
