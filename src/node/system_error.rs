//! Errors of system calls that may pass within a moment, as opposed to those that need a change.

use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

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

/// Time for which a process that starts repeats a call that may succeed a moment later. The platform waits 30 s for it.
const START_RETRY_TIME: Duration = Duration::from_secs(8);
/// Pause between two such calls.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(50);

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

/// Repeats a call that a process makes at its start while it fails for a reason that may pass within a moment.
///
/// # Errors
///
/// The call failed for another reason, or for longer than a start may take.
pub async fn retry_at_start<T, F>(mut call: impl FnMut() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let started_at = Instant::now();
    loop {
        match call().await {
            Err(error) if is_momentary(&error) && started_at.elapsed() < START_RETRY_TIME => {
                tokio::time::sleep(START_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
