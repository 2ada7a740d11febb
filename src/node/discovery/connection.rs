//! An HTTP connection to a service that the node queries: discovery or a Consul agent.

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

use crate::node::level_triggered::LevelTriggered;

/// Maximum size of a response's head, and of a piece of its body that is read at once, in bytes. A
/// piece of this size is processed in a fraction of a millisecond, and other tasks run between two
/// pieces.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// An open connection. Dropping it closes the socket.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Connection {
    /// Opens a connection. `prepare` may set socket options before anything is written. Cancel safe:
    /// dropping the future closes the socket.
    ///
    /// # Errors
    ///
    /// The connection cannot be established or prepared.
    pub async fn open(
        address: SocketAddr,
        prepare: impl FnOnce(&TcpStream) -> io::Result<()>,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        prepare(&stream)?;
        let handshake = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(LevelTriggered::new(stream)))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await; // The response's future reports the same error.
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Sends a request and waits for the response's head. Not cancel safe: if the future is dropped
    /// before it completes, the connection must be dropped, too.
    ///
    /// # Errors
    ///
    /// The connection broke, or the response is not HTTP.
    pub async fn send(
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
