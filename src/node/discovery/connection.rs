//! A connection to a service that the node itself asks: discovery, or a Consul agent.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// The most of an answer's head, and of its body that is read at a time: one piece is dealt with in a fraction of a
/// millisecond, and other tasks run between two.
const BUFFER: usize = 64 * 1024;

/// An open connection. Dropping it closes the socket.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Connection {
    /// Connects; `prepare` sees the socket before anything is written. Dropping the future midway leaves nothing open.
    ///
    /// # Errors
    ///
    /// There is no connection.
    pub async fn open(
        address: SocketAddr,
        prepare: impl FnOnce(&TcpStream) -> io::Result<()>,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        prepare(&stream)?;
        let handshake = Builder::new()
            .max_buf_size(BUFFER)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await; // What breaks here shows in the answer.
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether it can be asked now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Asks, and waits for the answer's head. A connection whose future was dropped midway must be dropped, too.
    ///
    /// # Errors
    ///
    /// The connection broke, or what came is no answer.
    pub async fn ask(
        &mut self,
        request: Request<Empty<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
