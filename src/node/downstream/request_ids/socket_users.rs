//! The other processes to which the platform has passed the same listening socket, as the system's process directory shows
//! them. Works whether or not they respond.

use std::ffi::{OsStr, OsString};
use std::fs;
use std::io;
use std::os::fd::AsFd;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use rustix::fs::fstat;
use rustix::process::{geteuid, getpid};

use crate::node::downstream::inherited::DESCRIPTOR_VARIABLE;

const PROCESSES: &str = "/proc";
/// Suffix that the kernel appends to the path of a deleted program, and to the name of a file in memory.
const DELETED_SUFFIX: &str = " (deleted)";

/// Another process of this user that uses the listening socket, or did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SocketUser {
    pub(super) process_id: u32,
    /// Path through which its table of request ids can be opened, if it has one.
    pub(super) table: Option<PathBuf>,
}

/// Finds the processes that use one listening socket.
#[derive(Debug)]
pub(super) struct SocketUsers {
    socket_inode: u64,
}

impl SocketUsers {
    /// Finds the processes that use this socket.
    pub(super) fn new(listener: impl AsFd) -> io::Result<Self> {
        Ok(Self {
            socket_inode: fstat(listener)?.st_ino,
        })
    }

    /// Name of the table of request ids that belongs to the socket.
    pub(super) fn table_name(&self) -> String {
        format!("silverthread-request-ids-{}", self.socket_inode)
    }

    /// Returns the other processes of this user that have a table for the socket, and those that run this program and accept
    /// connections from the socket. Processes that end during the search are omitted.
    pub(super) fn find(&self) -> io::Result<Vec<SocketUser>> {
        let users = fs::read_dir(PROCESSES)?
            .flatten()
            .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
            .filter(|process_id| *process_id != own_process_id() && is_of_own_user(*process_id))
            .map(|process_id| self.inspect(process_id))
            .filter(|user| user.table.is_some() || self.accepts_connections(user.process_id));
        Ok(users.collect())
    }

    /// Returns the process with its table, if it has one open now.
    pub(super) fn inspect(&self, process_id: u32) -> SocketUser {
        let link = format!("/memfd:{}{DELETED_SUFFIX}", self.table_name());
        let descriptors = fs::read_dir(process_directory(process_id).join("fd"));
        let mut descriptors = descriptors.into_iter().flatten().flatten();
        let table = descriptors.find(|descriptor| links_to(&descriptor.path(), &link));
        SocketUser {
            process_id,
            table: table.map(|descriptor| descriptor.path()),
        }
    }

    /// Whether a process runs this program and has been passed the socket by the platform.
    fn accepts_connections(&self, process_id: u32) -> bool {
        runs_this_program(process_id)
            && passed_descriptor(process_id).is_some_and(|descriptor| {
                let path = process_directory(process_id).join("fd").join(descriptor);
                links_to(&path, &format!("socket:[{}]", self.socket_inode))
            })
    }
}

/// Whether a process runs a program of the same name as this one. A process that has ended runs none.
pub(super) fn runs_this_program(process_id: u32) -> bool {
    let own_program = program_name(own_process_id());
    own_program.is_some() && program_name(process_id) == own_program
}

fn own_process_id() -> u32 {
    getpid().as_raw_nonzero().get().unsigned_abs()
}

fn process_directory(process_id: u32) -> PathBuf {
    Path::new(PROCESSES).join(process_id.to_string())
}

fn is_of_own_user(process_id: u32) -> bool {
    fs::metadata(process_directory(process_id))
        .is_ok_and(|metadata| metadata.uid() == geteuid().as_raw())
}

fn links_to(path: &Path, target: &str) -> bool {
    fs::read_link(path).is_ok_and(|link| link.as_os_str() == OsStr::new(target))
}

/// The number of the listening socket in the environment with which a process was started.
fn passed_descriptor(process_id: u32) -> Option<OsString> {
    let environment = fs::read(process_directory(process_id).join("environ")).ok()?;
    let value = environment.split(|byte| *byte == 0).find_map(|variable| {
        variable
            .strip_prefix(DESCRIPTOR_VARIABLE.as_bytes())?
            .strip_prefix(b"=")
    })?;
    Some(OsStr::from_bytes(value).to_owned())
}

/// File name of the program that a process runs; `None` if the process has ended.
fn program_name(process_id: u32) -> Option<OsString> {
    let program = fs::read_link(process_directory(process_id).join("exe")).ok()?;
    let name = program.file_name()?.as_bytes();
    let name = name.strip_suffix(DELETED_SUFFIX.as_bytes()).unwrap_or(name);
    Some(OsStr::from_bytes(name).to_owned())
}
