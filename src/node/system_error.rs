//! Errors of system calls that may pass within a moment, as opposed to those that need a change.

use std::io;

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
