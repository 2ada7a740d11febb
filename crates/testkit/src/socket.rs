//! Sockets of three kinds, under one name: what listens and what connects on IPv4, IPv6 and at a path.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tempfile::TempDir;

/// A kind of address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressFamily {
    /// 127.0.0.1.
    V4,
    /// \[`::1`\].
    V6,
    /// A local socket in a folder of its own.
    Unix,
}

impl AddressFamily {
    /// All that this machine has: on some IPv6 is off.
    #[must_use]
    pub fn available() -> Vec<Self> {
        if TcpListener::bind("[::1]:0").is_err() {
            eprintln!("this machine has no IPv6: what concerns it is not tested");
            return vec![Self::V4, Self::Unix];
        }
        vec![Self::V4, Self::V6, Self::Unix]
    }

    /// IPv6, or IPv4 on a machine that has none.
    #[must_use]
    pub fn ipv6_or_ipv4() -> Self {
        Self::available()
            .get(1)
            .copied()
            .filter(|kind| *kind == Self::V6)
            .unwrap_or(Self::V4)
    }

    /// The kind that [`crate::Server::start`] and [`crate::Node::with`] use, from the variable
    /// `SILVERTHREAD_TEST_KIND` (`v4`, `v6`, `unix`): the tests that use them run unchanged over each.
    #[must_use]
    pub fn from_environment() -> Self {
        match std::env::var("SILVERTHREAD_TEST_KIND").as_deref() {
            Ok("v6") => Self::ipv6_or_ipv4(),
            Ok("unix") => Self::Unix,
            Ok("v4") | Err(_) => Self::V4,
            Ok(other) => panic!("there is no kind {other:?}"),
        }
    }
}

/// Where something listens. Displayed as the operators' file has it.
#[derive(Clone, Debug)]
pub enum Endpoint {
    /// By TCP.
    Ip(SocketAddr),
    /// At a path, in a folder that goes with the last that knows it.
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

/// Something that listens.
pub enum Listener {
    /// By TCP.
    Tcp(TcpListener),
    /// At a path.
    Unix(UnixListener),
}

impl Listener {
    /// Listens on a free address of a kind.
    #[must_use]
    pub fn bind(kind: AddressFamily) -> (Self, Endpoint) {
        let any = match kind {
            AddressFamily::V4 => "127.0.0.1:0",
            AddressFamily::V6 => "[::1]:0",
            AddressFamily::Unix => {
                let folder = tempfile::tempdir().expect("a folder");
                let path = folder.path().join("s");
                let listener = UnixListener::bind(&path).expect("a path of its own");
                return (Self::Unix(listener), Endpoint::Unix(path, Arc::new(folder)));
            }
        };
        let listener = TcpListener::bind(any).expect("a port");
        let address = listener.local_addr().expect("an address");
        (Self::Tcp(listener), Endpoint::Ip(address))
    }

    /// Takes the next connection.
    ///
    /// # Errors
    ///
    /// The system is out of descriptors, say.
    pub fn accept(&self) -> io::Result<Stream> {
        match self {
            Self::Tcp(listener) => listener.accept().map(|(stream, _)| Stream::Tcp(stream)),
            Self::Unix(listener) => listener.accept().map(|(stream, _)| Stream::Unix(stream)),
        }
    }
}

/// A connection.
pub enum Stream {
    /// By TCP.
    Tcp(TcpStream),
    /// At a path.
    Unix(UnixStream),
}

impl Stream {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Nobody listens there.
    pub fn connect(to: &Endpoint) -> io::Result<Self> {
        match to {
            Endpoint::Ip(address) => {
                let stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?; // Faults fall more exactly.
                Ok(Self::Tcp(stream))
            }
            Endpoint::Unix(path, _) => UnixStream::connect(path).map(Self::Unix),
        }
    }

    /// Another handle of it.
    #[must_use]
    pub fn clone_handle(&self) -> Self {
        match self {
            Self::Tcp(stream) => Self::Tcp(stream.try_clone().expect("a socket")),
            Self::Unix(stream) => Self::Unix(stream.try_clone().expect("a socket")),
        }
    }

    /// Ends a direction, or both.
    pub fn shutdown(&self, how: Shutdown) {
        // What has ended already is what is wanted.
        let _ = match self {
            Self::Tcp(stream) => stream.shutdown(how),
            Self::Unix(stream) => stream.shutdown(how),
        };
    }

    /// How long a read may wait.
    pub fn set_read_timeout(&self, time: Duration) {
        match self {
            Self::Tcp(stream) => stream.set_read_timeout(Some(time)),
            Self::Unix(stream) => stream.set_read_timeout(Some(time)),
        }
        .expect("a socket");
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
