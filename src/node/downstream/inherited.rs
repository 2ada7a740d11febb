//! The listening socket that the platform owns and passes to every process of the node. While one process replaces another,
//! both accept connections from it, so that no connection is refused.

use std::env;
use std::io;
use std::net::TcpListener;

use listenfd::ListenFd;

/// Environment variable in which the platform passes the number of the file descriptor.
pub(super) const DESCRIPTOR_VARIABLE: &str = "ROUTER_LISTEN_FD";
/// Environment variables of systemd's socket activation protocol, which `listenfd` implements.
const COUNT_VARIABLE: &str = "LISTEN_FDS";
const FIRST_DESCRIPTOR_VARIABLE: &str = "LISTEN_FDS_FIRST_FD";
const PROCESS_ID_VARIABLE: &str = "LISTEN_PID";

/// Takes the listening socket; `None` if the platform passes none. Must be called once, before any thread is started,
/// because it sets environment variables.
///
/// # Errors
///
/// The variable is not the number of a file descriptor, or the descriptor is not a TCP socket. Whether the socket listens is
/// not checked.
pub fn listener() -> io::Result<Option<TcpListener>> {
    let Some(descriptor) = env::var_os(DESCRIPTOR_VARIABLE).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let text = descriptor.to_string_lossy();
    let number = text.parse::<u16>().map_err(|_| {
        io::Error::other(format!(
            "{DESCRIPTOR_VARIABLE} is not a descriptor number: {text}"
        ))
    })?;
    env::set_var(FIRST_DESCRIPTOR_VARIABLE, number.to_string());
    env::set_var(COUNT_VARIABLE, "1");
    env::remove_var(PROCESS_ID_VARIABLE); // If set, it is the id of another process, and listenfd would take no socket.
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    let listener = listener
        .ok_or_else(|| io::Error::other(format!("{DESCRIPTOR_VARIABLE} provides no socket")))?;
    listener.set_nonblocking(true)?;
    Ok(Some(listener))
}
