//! Locks on bytes of a file, which the kernel releases when their process ends, however it ends.

use std::fs::File;
use std::io;
use std::os::fd::BorrowedFd;

use nix::errno::Errno;
use nix::fcntl::{fcntl, FcntlArg};
use nix::libc;

/// A lock on one byte, held until it is dropped. Another open file description of the same file conflicts with it, in this
/// process or another one.
#[derive(Debug)]
pub(super) struct ByteLock<'a> {
    file: &'a File,
    offset: u64,
}

impl<'a> ByteLock<'a> {
    /// Locks the byte at this offset; `None` if another holder has locked it.
    pub(super) fn try_acquire(file: &'a File, offset: u64) -> io::Result<Option<Self>> {
        let lock = byte_range(libc::F_WRLCK, offset);
        match fcntl(file, FcntlArg::F_OFD_SETLK(&lock)) {
            Ok(_) => Ok(Some(Self { file, offset })),
            Err(Errno::EAGAIN | Errno::EACCES) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Keeps the lock until the file is closed.
    pub(super) fn keep(self) {
        std::mem::forget(self);
    }
}

impl Drop for ByteLock<'_> {
    fn drop(&mut self) {
        let lock = byte_range(libc::F_UNLCK, self.offset);
        // Unlocking a byte of an open file does not fail.
        let _ = fcntl(self.file, FcntlArg::F_OFD_SETLK(&lock));
    }
}

/// Whether another open file description has locked the byte at this offset.
pub(super) fn is_locked_elsewhere(file: &File, offset: u64) -> io::Result<bool> {
    let mut lock = byte_range(libc::F_WRLCK, offset);
    fcntl(file, FcntlArg::F_OFD_GETLK(&mut lock))?;
    Ok(lock.l_type != libc::F_UNLCK as libc::c_short)
}

/// A lock on an entire file, held by this process until it is dropped or the process closes any descriptor of the file. Another
/// process conflicts with it.
#[derive(Debug)]
pub(super) struct ProcessLock<'a> {
    file: BorrowedFd<'a>,
}

impl<'a> ProcessLock<'a> {
    /// Locks the file; `None` if another process has locked it.
    pub(super) fn try_acquire(file: BorrowedFd<'a>) -> io::Result<Option<Self>> {
        let lock = entire_file(libc::F_WRLCK);
        match fcntl(file, FcntlArg::F_SETLK(&lock)) {
            Ok(_) => Ok(Some(Self { file })),
            Err(Errno::EAGAIN | Errno::EACCES) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

impl Drop for ProcessLock<'_> {
    fn drop(&mut self) {
        // Unlocking an open file does not fail.
        let _ = fcntl(self.file, FcntlArg::F_SETLK(&entire_file(libc::F_UNLCK)));
    }
}

fn byte_range(lock_type: libc::c_int, offset: u64) -> libc::flock {
    libc::flock {
        l_type: lock_type as libc::c_short,
        l_whence: libc::SEEK_SET as libc::c_short,
        l_start: offset as libc::off_t,
        l_len: 1,
        l_pid: 0,
    }
}

fn entire_file(lock_type: libc::c_int) -> libc::flock {
    libc::flock {
        l_len: 0,
        ..byte_range(lock_type, 0)
    }
}
