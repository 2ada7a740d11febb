//! The table of request ids that the processes of a node share while they accept connections from one listening socket: a file in
//! memory, which lives as long as one of them has it open.
//!
//! Owns the open file and this process's number in it. A process that starts finds the table through the processes that have the
//! socket open, whether or not they respond. Each access to a bucket holds the bucket's lock; the kernel releases the locks of a
//! process that ends.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::fs::{self, File, Metadata, OpenOptions};
use std::io;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::Path;
use std::time::Duration;

use request_ids::{
    Bucket, HashKey, Header, HeaderError, IdHash, Layout, OwnerId, RepeatPolicy, RequestEnd,
    ReserveError, SlotIndex, BUCKET_BYTES, HEADER_BYTES,
};
use rustix::fs::{memfd_create, MemfdFlags};
use tokio::time::Instant;

use super::range_lock::{is_locked_elsewhere, ByteLock, ProcessLock};
use super::socket_users::{runs_this_program, SocketUser, SocketUsers};
use crate::node::admin::log;

/// Offset of the byte that is locked for an access to the header.
const HEADER_LOCK_OFFSET: u64 = 0;
/// Time for which a process that starts waits for another one that is starting, too.
const START_LOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two attempts to get a lock at the start.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two checks for the end of a process that does not share its ids.
const UNAWARE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Error of an access to the shared table.
#[derive(Debug)]
pub(super) enum AccessError {
    /// Another process holds the lock.
    Locked,
    /// A system call failed.
    System(io::Error),
}

impl fmt::Display for AccessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked => f.write_str("another process holds its lock"),
            Self::System(error) => error.fmt(f),
        }
    }
}

impl From<io::Error> for AccessError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

/// The end of a request that could not be recorded yet.
#[derive(Clone, Copy, Debug)]
struct UnrecordedEnd {
    id: IdHash,
    slot: SlotIndex,
    end: RequestEnd,
    at_ms: u64,
}

/// This process's access to the table.
#[derive(Debug)]
pub(super) struct SharedTable {
    file: File,
    socket_users: SocketUsers,
    layout: Layout,
    key: HashKey,
    owner: OwnerId,
    /// Ends of requests that wait for the lock of their bucket: as many as requests were open when the lock was taken, since no id
    /// is reserved there meanwhile. Until then the ids count as open.
    unrecorded_ends: RefCell<Vec<UnrecordedEnd>>,
    /// Other processes that accept connections from the socket and do not share the table.
    unaware_processes: RefCell<Vec<u32>>,
    has_logged_failure: Cell<bool>,
}

impl SharedTable {
    /// Opens the table of the processes that accept connections from this socket, or creates one of at most `max_bytes` with
    /// this key.
    pub(super) async fn open(
        listener: &TcpListener,
        max_bytes: usize,
        key: HashKey,
    ) -> io::Result<Self> {
        let start_lock = wait_for_start_lock(listener).await;
        let socket_users = SocketUsers::new(listener)?;
        let users = socket_users.find().unwrap_or_else(|error| {
            log::line(format_args!(
                "request ids: cannot look for other processes of this node: {error}"
            ));
            Vec::new()
        });
        let file = match open_existing(&users) {
            Some(file) => file,
            None => create(&socket_users.table_name(), Layout::within(max_bytes), key)?,
        };
        let unaware = users.iter().filter(|user| !shares_table(user, &file));
        let unaware: Vec<_> = unaware.map(|user| user.process_id).collect();
        let header = register_owner(&file).await?;
        drop(start_lock);
        let table = Self {
            layout: header.layout,
            key: header.key,
            owner: header.next_owner,
            file,
            socket_users,
            unrecorded_ends: RefCell::default(),
            unaware_processes: RefCell::new(unaware),
            has_logged_failure: Cell::default(),
        };
        table.wait_for_starting_processes().await;
        Ok(table)
    }

    /// Waits for a moment until processes that do not share the table do: they may be starting.
    async fn wait_for_starting_processes(&self) {
        let give_up_at = Instant::now() + START_LOCK_TIMEOUT;
        while self.has_unaware_processes() && Instant::now() < give_up_at {
            tokio::time::sleep(START_RETRY_INTERVAL).await;
            self.update_unaware_processes();
        }
    }

    /// Forgets the processes that have ended or share the table by now.
    fn update_unaware_processes(&self) {
        self.unaware_processes.borrow_mut().retain(|process_id| {
            let user = self.socket_users.look_at(*process_id);
            runs_this_program(*process_id) && !shares_table(&user, &self.file)
        });
    }

    /// The key of the hashes in the table.
    pub(super) fn key(&self) -> HashKey {
        self.key
    }

    /// Whether other processes accept connections from the socket and do not share the table.
    pub(super) fn has_unaware_processes(&self) -> bool {
        !self.unaware_processes.borrow().is_empty()
    }

    /// Waits until [`Self::has_unaware_processes`] is false.
    pub(super) async fn wait_for_unaware_processes(&self) {
        if !self.has_unaware_processes() {
            return;
        }
        log::line(format_args!(
            "request ids: processes {:?} accept connections and do not share them; requests that must not run twice are rejected until these have ended",
            self.unaware_processes.borrow()
        ));
        while self.has_unaware_processes() {
            tokio::time::sleep(UNAWARE_CHECK_INTERVAL).await;
            self.update_unaware_processes();
        }
        log::line("request ids: all processes that accept connections share them");
    }

    /// Reserves the id of a request.
    pub(super) fn reserve(
        &self,
        id: IdHash,
        policy: RepeatPolicy,
        now_ms: u64,
    ) -> Result<Result<SlotIndex, ReserveError>, AccessError> {
        self.record_ends();
        let is_running = |owner| self.is_running(owner);
        self.access(id, |bucket| {
            bucket.reserve(id, self.owner, policy, now_ms, is_running)
        })
    }

    /// Ends a request. If its bucket cannot be accessed, the id stays open until it can.
    pub(super) fn end(&self, id: IdHash, slot: SlotIndex, end: RequestEnd, now_ms: u64) {
        self.unrecorded_ends.borrow_mut().push(UnrecordedEnd {
            id,
            slot,
            end,
            at_ms: now_ms,
        });
        self.record_ends();
    }

    /// Logs the first failure of this process to access the table.
    pub(super) fn log_failure(&self, error: &AccessError) {
        if !self.has_logged_failure.replace(true) {
            log::line(format_args!(
                "request ids: cannot access the shared table: {error}"
            ));
        }
    }

    /// Records the ends of requests, except those whose bucket cannot be accessed.
    fn record_ends(&self) {
        self.unrecorded_ends.borrow_mut().retain(|ended| {
            let recorded = self.access(ended.id, |bucket| {
                bucket.end(ended.slot, ended.id, ended.end, ended.at_ms);
            });
            recorded.is_err()
        });
    }

    fn access<R>(
        &self,
        id: IdHash,
        action: impl FnOnce(&mut Bucket) -> R,
    ) -> Result<R, AccessError> {
        let offset = self.layout.bucket_offset(id);
        let _lock = ByteLock::try_acquire(&self.file, offset)?.ok_or(AccessError::Locked)?;
        let mut bytes = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bytes, offset)?;
        let mut bucket = Bucket::new(bytes);
        let result = action(&mut bucket);
        let (start, changed) = bucket.changed();
        self.file.write_all_at(changed, offset + start as u64)?;
        Ok(result)
    }

    /// Whether a process that has used the table runs. It does in case of doubt.
    fn is_running(&self, owner: OwnerId) -> bool {
        owner == self.owner
            || is_locked_elsewhere(&self.file, Layout::owner_lock_offset(owner)).unwrap_or(true)
    }
}

/// Waits until no other process of the node is starting. `None` if that cannot be known in time.
async fn wait_for_start_lock(listener: &TcpListener) -> Option<ProcessLock<'_>> {
    let give_up_at = Instant::now() + START_LOCK_TIMEOUT;
    loop {
        match ProcessLock::try_acquire(listener.as_fd()) {
            Ok(Some(lock)) => return Some(lock),
            Ok(None) if Instant::now() < give_up_at => {
                tokio::time::sleep(START_RETRY_INTERVAL).await;
            }
            Ok(None) => {
                log::line("request ids: another process of this node is starting and stalls");
                return None;
            }
            Err(error) => {
                log::line(format_args!(
                    "request ids: cannot lock the listening socket: {error}"
                ));
                return None;
            }
        }
    }
}

/// Opens the table of the first of these processes that has one.
fn open_existing(users: &[SocketUser]) -> Option<File> {
    users
        .iter()
        .filter_map(|user| user.table.as_deref())
        .find_map(|path| match open_table(path) {
            Ok(file) => Some(file),
            Err(error) => {
                let path = path.display();
                log::line(format_args!("request ids: cannot use {path}: {error}"));
                None
            }
        })
}

/// Whether a process has this file open as its table.
fn shares_table(user: &SocketUser, file: &File) -> bool {
    let inode = |metadata: io::Result<Metadata>| metadata.map(|metadata| metadata.ino()).ok();
    let own = inode(file.metadata());
    let path = user.table.as_deref();
    own.is_some() && path.is_some_and(|path| inode(fs::metadata(path)) == own)
}

fn open_table(path: &Path) -> io::Result<File> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    read_header(&file)?;
    Ok(file)
}

fn create(name: &str, layout: Layout, key: HashKey) -> io::Result<File> {
    let file = File::from(memfd_create(name, MemfdFlags::CLOEXEC)?);
    file.set_len(layout.file_bytes())?;
    file.write_all_at(&Header::new(layout, key).encode(), 0)?;
    Ok(file)
}

fn read_header(file: &File) -> io::Result<Header> {
    let mut bytes = [0; HEADER_BYTES];
    file.read_exact_at(&mut bytes, 0)?;
    let header = Header::decode(&bytes, file.metadata()?.len());
    header.map_err(|error: HeaderError| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Takes a number for this process, and locks it for as long as the process runs. Returns the header with that number.
async fn register_owner(file: &File) -> io::Result<Header> {
    let give_up_at = Instant::now() + START_LOCK_TIMEOUT;
    let _lock = loop {
        match ByteLock::try_acquire(file, HEADER_LOCK_OFFSET)? {
            Some(lock) => break lock,
            None if Instant::now() < give_up_at => {
                tokio::time::sleep(START_RETRY_INTERVAL).await;
            }
            None => return Err(io::ErrorKind::TimedOut.into()),
        }
    };
    let header = read_header(file)?;
    let mut next = header;
    // A number whose lock is held is in use by a process that has run since the numbers began anew.
    loop {
        let owner = next.take_owner();
        if let Some(lock) = ByteLock::try_acquire(file, Layout::owner_lock_offset(owner))? {
            lock.keep();
            file.write_all_at(&next.encode(), 0)?;
            return Ok(Header {
                next_owner: owner,
                ..header
            });
        }
    }
}
