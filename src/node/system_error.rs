//! Errors of system calls that may pass within a moment, as opposed to those that need a change.

use std::io;

use rustix::io::Errno;

/// Errors that concern one connection in the accept queue, which is gone; the next one can be accepted at once.
const LOST_CONNECTION: [Errno; 6] = [
    Errno::CONNABORTED,
    Errno::CONNRESET,
    Errno::PROTO,
    Errno::INTR,
    Errno::NETUNREACH,
    Errno::HOSTUNREACH,
];
/// Errors for lack of a resource, or of a route, that may be there a moment later.
const MOMENTARY: [Errno; 11] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::AGAIN,
    Errno::INTR,
    Errno::ADDRNOTAVAIL,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::HOSTUNREACH,
    Errno::TIMEDOUT,
];

fn is_one_of(error: &io::Error, errors: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errors.contains(&errno))
}

/// Whether an accept failed for the connection that it would have returned, and not for lack of a resource.
pub fn is_lost_connection(error: &io::Error) -> bool {
    is_one_of(error, &LOST_CONNECTION)
}

/// Whether a socket that could not be created, bound or connected may be had a moment later.
pub fn is_momentary(error: &io::Error) -> bool {
    is_one_of(error, &MOMENTARY)
}

/// Repeats a call that does not wait while it is interrupted.
///
/// # Errors
///
/// The call failed otherwise.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
