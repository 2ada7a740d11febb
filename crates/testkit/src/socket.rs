//! Listeners and connections over TCP on IPv4, TCP on IPv6 and Unix sockets, with one interface.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tempfile::TempDir;

/// An address family.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressFamily {
    /// IPv4, on 127.0.0.1.
    V4,
    /// IPv6, on \[`::1`\].
    V6,
    /// Unix socket in its own temporary directory.
    Unix,
}

impl AddressFamily {
    /// All families that this machine supports: IPv6 may be disabled.
    #[must_use]
    pub fn available() -> Vec<Self> {
        if TcpListener::bind("[::1]:0").is_err() {
            eprintln!("this machine has no IPv6: tests of IPv6 are skipped");
            return vec![Self::V4, Self::Unix];
        }
        vec![Self::V4, Self::V6, Self::Unix]
    }

    /// IPv6, or IPv4 on a machine without IPv6.
    #[must_use]
    pub fn ipv6_or_ipv4() -> Self {
        Self::available()
            .get(1)
            .copied()
            .filter(|family| *family == Self::V6)
            .unwrap_or(Self::V4)
    }

    /// The family of the servers of [`crate::Server::start`], from the environment variable `SILVERTHREAD_TEST_KIND`:
    /// `v4` (also if it is not set), `v6` or `unix`. It lets the same tests run over each family.
    #[must_use]
    pub fn from_environment() -> Self {
        match std::env::var("SILVERTHREAD_TEST_KIND").as_deref() {
            Ok("v6") => Self::ipv6_or_ipv4(),
            Ok("unix") => Self::Unix,
            Ok("v4") | Err(_) => Self::V4,
            Ok(other) => panic!("SILVERTHREAD_TEST_KIND is {other:?}, expected v4, v6 or unix"),
        }
    }
}

/// Address of a listener, displayed in the format of the operators' file.
#[derive(Clone, Debug)]
pub enum Endpoint {
    /// A TCP socket.
    Ip(SocketAddr),
    /// The path of a Unix socket, and its temporary directory, which is deleted with the last clone.
    Unix(PathBuf, Arc<TempDir>),
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ip(address) => address.fmt(f),
            Self::Unix(path, _) => write!(f, "unix:{}", path.display()),
        }
    }
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self::Ip(address)
    }
}

/// A listening socket.
pub enum Listener {
    /// Over TCP.
    Tcp(TcpListener),
    /// Over a Unix socket.
    Unix(UnixListener),
}

impl Listener {
    /// Listens on a free address of this family.
    #[must_use]
    pub fn bind(family: AddressFamily) -> (Self, Endpoint) {
        let unspecified_port = match family {
            AddressFamily::V4 => "127.0.0.1:0",
            AddressFamily::V6 => "[::1]:0",
            AddressFamily::Unix => {
                let directory = tempfile::tempdir().expect("create a temporary directory");
                let path = directory.path().join("s");
                let listener = UnixListener::bind(&path).expect("bind a Unix socket");
                return (
                    Self::Unix(listener),
                    Endpoint::Unix(path, Arc::new(directory)),
                );
            }
        };
        let listener = TcpListener::bind(unspecified_port).expect("bind a loopback socket");
        let address = listener.local_addr().expect("read the local address");
        (Self::Tcp(listener), Endpoint::Ip(address))
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    ///
    /// If the system cannot accept one, for example for lack of descriptors.
    pub fn accept(&self) -> io::Result<Stream> {
        match self {
            Self::Tcp(listener) => listener.accept().map(|(stream, _)| Stream::Tcp(stream)),
            Self::Unix(listener) => listener.accept().map(|(stream, _)| Stream::Unix(stream)),
        }
    }
}

/// A connection.
pub enum Stream {
    /// Over TCP.
    Tcp(TcpStream),
    /// Over a Unix socket.
    Unix(UnixStream),
}

impl Stream {
    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// If nothing listens there.
    pub fn connect(to: &Endpoint) -> io::Result<Self> {
        match to {
            Endpoint::Ip(address) => {
                let stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?; // Injected faults hit the intended bytes more exactly.
                Ok(Self::Tcp(stream))
            }
            Endpoint::Unix(path, _) => UnixStream::connect(path).map(Self::Unix),
        }
    }

    /// Returns another handle of the same socket.
    #[must_use]
    pub fn clone_handle(&self) -> Self {
        match self {
            Self::Tcp(stream) => Self::Tcp(stream.try_clone().expect("duplicate a socket")),
            Self::Unix(stream) => Self::Unix(stream.try_clone().expect("duplicate a socket")),
        }
    }

    /// Shuts down one direction of the connection, or both.
    pub fn shutdown(&self, how: Shutdown) {
        // An error means that it is already shut down.
        let _ = match self {
            Self::Tcp(stream) => stream.shutdown(how),
            Self::Unix(stream) => stream.shutdown(how),
        };
    }

    /// Sets the maximum time that a read waits.
    pub fn set_read_timeout(&self, time: Duration) {
        match self {
            Self::Tcp(stream) => stream.set_read_timeout(Some(time)),
            Self::Unix(stream) => stream.set_read_timeout(Some(time)),
        }
        .expect("set the read timeout");
    }
}

impl Read for Stream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Self::Tcp(stream) => stream.read(buffer),
            Self::Unix(stream) => stream.read(buffer),
        }
    }
}

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Self::Tcp(stream) => stream.write(bytes),
            Self::Unix(stream) => stream.write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
