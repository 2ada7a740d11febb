//! The admin server: accepts operators' connections, each with one command line and one response.
//!
//! A response is a line with a status (`200` or `400` and a reason), or rows that end with the line `EOF`.

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

/// How long a connection may take from its accept to its end: many times what a command needs. A client that does not
/// finish holds a descriptor no longer.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections at a time; beyond them the oldest is closed for the new one. Each holds a descriptor beside those of
/// clients and servers.
const MAX_CONNECTIONS: usize = 16;
/// The last line of a response of several lines.
const END_OF_ROWS: &str = "EOF\n";

/// Carries out admin commands.
#[derive(Clone)]
pub struct AdminServer {
    dispatcher: Rc<Dispatcher>,
    options: ServerOptions,
    cluster: Option<Rc<Cluster>>,
}

impl AdminServer {
    /// A server for the node of this dispatcher. `options` are those of the node's accept loop, whose drain the server
    /// starts and cancels; `cluster` is the node's part in the cluster, if it takes part in one.
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
            _ => Err(Rejection::ShuttingDown),
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
        let before = self.options.drain.get();
        let mut drain = before;
        drain.begin(self.dispatcher.now_ms());
        if drain != before {
            self.options.drain.set(drain);
            log::line("drain begins: clients are sent to other nodes");
        }
    }

    fn cancel_drain(&self) {
        let before = self.options.drain.get();
        let mut drain = before;
        drain.cancel();
        if drain != before {
            self.options.drain.set(drain);
            log::line("drain is cancelled: clients are accepted again");
        }
    }
}

fn end_rows(rows: String) -> String {
    rows + END_OF_ROWS
}

/// Why a command is not carried out. Its display form is the reason in the `400` response.
#[derive(Debug)]
enum Rejection {
    /// The line is not a command.
    Command(CommandError),
    /// The process accepts no requests any more.
    ShuttingDown,
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
            Self::ShuttingDown => f.write_str("not ready: it is on its way out"),
            Self::NoCluster => f.write_str("this node looks for no others"),
            Self::NoLeases => f.write_str("this node takes no part in leases"),
            Self::NoOutlierDetection => f.write_str("this node takes no word of servers"),
            Self::Transfer(error) => error.fmt(f),
        }
    }
}

/// Serves operators for as long as it is polled. Dropping it leaves open connections to their timeout.
pub async fn serve(listener: TcpListener, server: AdminServer) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                make_room(&mut connections);
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

fn make_room(connections: &mut VecDeque<AbortHandle>) {
    connections.retain(|connection| !connection.is_finished());
    if connections.len() >= MAX_CONNECTIONS {
        if let Some(oldest) = connections.pop_front() {
            oldest.abort();
        }
    }
}

async fn serve_connection(stream: TcpStream, server: AdminServer) {
    // A client that leaves or exceeds the timeout gets no response and sees that itself: nothing is left to report.
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, exchange(stream, &server)).await;
}

async fn exchange(mut stream: TcpStream, server: &AdminServer) -> io::Result<()> {
    let line = read_line(&mut stream).await?;
    if !line.is_empty() {
        stream.write_all(server.respond(&line).as_bytes()).await?;
    }
    stream.shutdown().await?;
    discard_rest(&mut stream).await
}

/// Reads up to and with the first line end, the end of the stream, or one byte more than the longest line.
async fn read_line(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES + 1);
    while !line.contains(&b'\n') && line.len() <= MAX_LINE_BYTES {
        let room = MAX_LINE_BYTES + 1 - line.len();
        if (&mut *stream).take(room as u64).read_buf(&mut line).await? == 0 {
            break;
        }
    }
    if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
        line.truncate(end + 1);
    }
    Ok(line)
}

/// Reads to the end of the stream. Closing a socket with unread data would reset the connection, and the client could
/// lose the response.
async fn discard_rest(stream: &mut TcpStream) -> io::Result<()> {
    let mut discarded = [0; MAX_LINE_BYTES];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}
