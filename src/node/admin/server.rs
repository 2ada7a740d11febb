//! The admin server: accepts operators' connections, each with one command line and one response.
//!
//! A response is either a line with a status (`200` or `400`) and a text, or rows that end with the line `EOF`.

use std::collections::VecDeque;
use std::error::Error;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use admin::{Command, CommandError, MAX_LINE_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::node::admin::log;
use crate::node::cluster::Cluster;
use crate::node::dispatcher::Dispatcher;
use crate::node::downstream::server::{Phase, ServerOptions, ACCEPT_RETRY_INTERVAL};
use crate::node::level_triggered::LevelTriggered;

/// Maximum duration of a connection, many times the duration of a command. It limits the time for which a client that
/// does not close its connection occupies a descriptor.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of open connections. Each occupies a descriptor in addition to those of the connections to clients
/// and servers. At the limit, the oldest connection is closed for a new one.
const MAX_CONNECTIONS: usize = 16;
/// The last line of a response that consists of rows.
const END_OF_ROWS: &str = "EOF\n";

/// Executes admin commands.
#[derive(Clone)]
pub struct AdminServer {
    dispatcher: Rc<Dispatcher>,
    options: ServerOptions,
    cluster: Option<Rc<Cluster>>,
}

impl AdminServer {
    /// Creates a server for the node of this dispatcher. `options` are those of the node's server for clients; the
    /// admin server begins and cancels their drain. `cluster` is the node's membership of a cluster, if it has one.
    #[must_use]
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        options: ServerOptions,
        cluster: Option<Rc<Cluster>>,
    ) -> Self {
        Self {
            dispatcher,
            options,
            cluster,
        }
    }

    fn respond(&self, line: &[u8]) -> String {
        let response = match Command::parse(line) {
            Ok(command) => self.execute(command),
            Err(error) => Err(Rejection::Command(error)),
        };
        response.unwrap_or_else(|rejection| format!("400 {rejection}\n"))
    }

    fn execute(&self, command: Command) -> Result<String, Rejection> {
        match command {
            Command::Ready => self.ready(),
            Command::Stats => Ok(self.stats()),
            Command::Members => self.members(),
            Command::Owners => self.owners(),
            Command::Hints => self.hints(),
            Command::Give { shard, receiver } => self.give(shard, receiver.as_str()),
            Command::Drain => {
                self.begin_drain();
                Ok("200 draining\n".to_owned())
            }
            Command::Undrain => {
                self.cancel_drain();
                Ok("200 serving\n".to_owned())
            }
        }
    }

    fn ready(&self) -> Result<String, Rejection> {
        match *self.options.phases.borrow() {
            Phase::Serving => Ok("200 ready\n".to_owned()),
            _ => Err(Rejection::NotServing),
        }
    }

    fn stats(&self) -> String {
        let mut rows = self
            .dispatcher
            .metrics
            .render(self.dispatcher.server_gauges());
        if let Some(cluster) = &self.cluster {
            rows.push_str(&cluster.metrics());
        }
        rows.push_str(&self.dispatcher.metrics.upstream.render());
        end_rows(rows)
    }

    fn members(&self) -> Result<String, Rejection> {
        let cluster = self.cluster.as_ref().ok_or(Rejection::NoCluster)?;
        Ok(end_rows(cluster.members()))
    }

    fn owners(&self) -> Result<String, Rejection> {
        let cluster = self.cluster.as_ref().ok_or(Rejection::NoLeases)?;
        let rows = cluster.owners().ok_or(Rejection::NoLeases)?;
        Ok(end_rows(rows))
    }

    fn hints(&self) -> Result<String, Rejection> {
        let cluster = self.cluster.as_ref().ok_or(Rejection::NoOutlierDetection)?;
        let rows = cluster.hints().ok_or(Rejection::NoOutlierDetection)?;
        Ok(end_rows(rows))
    }

    fn give(&self, shard: u8, receiver: &str) -> Result<String, Rejection> {
        let cluster = self.cluster.as_ref().ok_or(Rejection::NoLeases)?;
        cluster
            .transfer_shard(shard, receiver)
            .map_err(|error| Rejection::Transfer(error.into()))?;
        Ok("200 given\n".to_owned())
    }

    fn begin_drain(&self) {
        let previous = self.options.drain.get();
        let mut drain = previous;
        drain.begin(self.dispatcher.now_ms());
        if drain != previous {
            self.options.drain.set(drain);
            log::line("drain started: answering 503 on /up, closing client connections");
        }
    }

    fn cancel_drain(&self) {
        let previous = self.options.drain.get();
        let mut drain = previous;
        drain.cancel();
        if drain != previous {
            self.options.drain.set(drain);
            log::line("drain cancelled: answering 200 on /up, keeping client connections open");
        }
    }
}

fn end_rows(rows: String) -> String {
    rows + END_OF_ROWS
}

/// Reason for which a command is rejected. The display form is the reason in the `400` response.
#[derive(Debug)]
enum Rejection {
    /// The line is not a valid command.
    Command(CommandError),
    /// The node has received a stop signal.
    NotServing,
    /// The node takes no part in a cluster.
    NoCluster,
    /// The node takes no part in leases.
    NoLeases,
    /// The node takes no part in outlier detection.
    NoOutlierDetection,
    /// The lease cannot be transferred.
    Transfer(Box<dyn Error>),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Command(error) => error.fmt(f),
            Self::NotServing => f.write_str("not ready: it is on its way out"),
            Self::NoCluster => f.write_str("this node looks for no others"),
            Self::NoLeases => f.write_str("this node takes no part in leases"),
            Self::NoOutlierDetection => f.write_str("this node takes no word of servers"),
            Self::Transfer(error) => error.fmt(f),
        }
    }
}

/// Accepts and serves admin connections; never completes. Dropping the future stops accepting; open connections
/// continue until they end or time out.
pub async fn serve(listener: TcpListener, server: AdminServer) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                close_oldest_if_full(&mut connections);
                let connection = tokio::task::spawn_local(serve_connection(stream, server.clone()));
                connections.push_back(connection.abort_handle());
            }
            Err(error) => {
                log::line(format_args!("cannot accept an admin connection: {error}"));
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

fn close_oldest_if_full(connections: &mut VecDeque<AbortHandle>) {
    connections.retain(|connection| !connection.is_finished());
    if connections.len() >= MAX_CONNECTIONS {
        if let Some(oldest) = connections.pop_front() {
            oldest.abort();
        }
    }
}

async fn serve_connection(stream: TcpStream, server: AdminServer) {
    // An I/O error or a timeout affects only this client, so the result is ignored.
    let _ = tokio::time::timeout(
        CONNECTION_TIMEOUT,
        exchange(LevelTriggered::new(stream), &server),
    )
    .await;
}

async fn exchange(mut stream: LevelTriggered<TcpStream>, server: &AdminServer) -> io::Result<()> {
    let line = read_line(&mut stream).await?;
    if !line.is_empty() {
        stream.write_all(server.respond(&line).as_bytes()).await?;
    }
    stream.shutdown().await?;
    discard_rest(&mut stream).await
}

/// Reads up to and including the first line end. Stops at the end of the stream, or after one byte more than the
/// maximum length of a line.
async fn read_line(stream: &mut LevelTriggered<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES + 1);
    while !line.contains(&b'\n') && line.len() <= MAX_LINE_BYTES {
        let left = MAX_LINE_BYTES + 1 - line.len();
        if (&mut *stream).take(left as u64).read_buf(&mut line).await? == 0 {
            break;
        }
    }
    if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
        line.truncate(end + 1);
    }
    Ok(line)
}

/// Reads and discards data until the end of the stream. Closing a socket with unread data would reset the connection,
/// and the client could lose the response.
async fn discard_rest(stream: &mut LevelTriggered<TcpStream>) -> io::Result<()> {
    let mut discarded = [0; MAX_LINE_BYTES];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}
