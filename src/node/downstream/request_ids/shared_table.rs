//! The table of request ids that the processes of a node share while they accept connections from one listening socket: a file in
//! memory, which exists as long as one of them has it open.
//!
//! Owns the open file, and the number of this process in it. A process that starts finds the table through the processes that have the
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
/// Maximum time for which a process that starts waits for others that are starting.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two attempts to get a lock at the start.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two checks whether a process of an earlier version has ended.
const LEGACY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
struct PendingEnd {
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
    /// Ends of requests that wait for the lock of their bucket. Their number is bounded by the requests that were open when another
    /// process took the lock: no id is reserved in a locked bucket. The ids stay open until their ends are recorded.
    pending_ends: RefCell<Vec<PendingEnd>>,
    /// Ids of other processes that accept connections from the socket and do not share the table: those of earlier versions.
    legacy_processes: RefCell<Vec<u32>>,
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
        let legacy = users.iter().filter(|user| !shares_table(user, &file));
        let legacy: Vec<_> = legacy.map(|user| user.process_id).collect();
        let header = register_owner(&file).await?;
        drop(start_lock);
        let table = Self {
            layout: header.layout,
            key: header.key,
            owner: header.next_owner,
            file,
            socket_users,
            pending_ends: RefCell::default(),
            legacy_processes: RefCell::new(legacy),
            has_logged_failure: Cell::default(),
        };
        table.wait_for_starting_processes().await;
        Ok(table)
    }

    /// Waits up to [`START_TIMEOUT`] for processes that do not share the table yet, since they may be starting.
    async fn wait_for_starting_processes(&self) {
        let give_up_at = Instant::now() + START_TIMEOUT;
        while self.has_legacy_processes() && Instant::now() < give_up_at {
            tokio::time::sleep(START_RETRY_INTERVAL).await;
            self.update_legacy_processes();
        }
    }

    /// Forgets the processes that have ended or share the table by now.
    fn update_legacy_processes(&self) {
        self.legacy_processes.borrow_mut().retain(|process_id| {
            let user = self.socket_users.inspect(*process_id);
            runs_this_program(*process_id) && !shares_table(&user, &self.file)
        });
    }

    /// The key of the hashes in the table.
    pub(super) fn key(&self) -> HashKey {
        self.key
    }

    /// Whether processes of an earlier version accept connections from the socket.
    pub(super) fn has_legacy_processes(&self) -> bool {
        !self.legacy_processes.borrow().is_empty()
    }

    /// Waits until [`Self::has_legacy_processes`] returns `false`.
    pub(super) async fn wait_for_legacy_processes(&self) {
        if !self.has_legacy_processes() {
            return;
        }
        log::line(format_args!(
            "request ids: processes {:?} accept connections and do not share them; requests that must not run twice are rejected until these have ended",
            self.legacy_processes.borrow()
        ));
        while self.has_legacy_processes() {
            tokio::time::sleep(LEGACY_CHECK_INTERVAL).await;
            self.update_legacy_processes();
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
        self.flush_pending_ends();
        let is_running = |owner| self.is_running(owner);
        self.access(id, |bucket| {
            bucket.reserve(id, self.owner, policy, now_ms, is_running)
        })
    }

    /// Ends a request. If its bucket cannot be accessed, the id stays open until it can.
    pub(super) fn end(&self, id: IdHash, slot: SlotIndex, end: RequestEnd, now_ms: u64) {
        self.pending_ends.borrow_mut().push(PendingEnd {
            id,
            slot,
            end,
            at_ms: now_ms,
        });
        self.flush_pending_ends();
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
    fn flush_pending_ends(&self) {
        self.pending_ends.borrow_mut().retain(|ended| {
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
    let give_up_at = Instant::now() + START_TIMEOUT;
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
    let give_up_at = Instant::now() + START_TIMEOUT;
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
    // After 65,536 processes the numbers repeat; one whose lock is held belongs to a process that still runs.
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
