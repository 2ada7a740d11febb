//! A listening socket that the platform holds and every process of a node is handed: whoever connects is taken by one
//! of them, and nobody is refused while one process replaces another.

use std::env;
use std::io;
use std::net::TcpListener;

use listenfd::ListenFd;

/// The variable that names the descriptor.
const VARIABLE: &str = "ROUTER_LISTEN_FD";
/// By these the library is told of it; systemd sets them in the same way.
const COUNT: &str = "LISTEN_FDS";
const FIRST: &str = "LISTEN_FDS_FIRST_FD";

/// The socket, where the platform holds one. To be called once, before there are threads: it sets variables.
///
/// # Errors
///
/// The variable names no descriptor, or one that is no listening TCP socket.
pub fn listener() -> io::Result<Option<TcpListener>> {
    let Some(descriptor) = env::var_os(VARIABLE).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let text = descriptor.to_string_lossy();
    let number = text
        .parse::<u16>()
        .map_err(|_| io::Error::other(format!("{VARIABLE} is no descriptor: {text}")))?;
    env::set_var(FIRST, number.to_string());
    env::set_var(COUNT, "1");
    env::remove_var("LISTEN_PID"); // Another program's, if it is there at all.
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    let listener =
        listener.ok_or_else(|| io::Error::other(format!("{VARIABLE} names no socket")))?;
    listener.set_nonblocking(true)?;
    Ok(Some(listener))
}
