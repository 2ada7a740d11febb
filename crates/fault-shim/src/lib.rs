//! A library for `LD_PRELOAD` that makes system calls of a process fail for a moment or do less than asked, as Linux
//! documents for them. The plan is in the environment variable `FAULT_SHIM_PLAN` (see `Plan`); without it every call
//! passes unchanged. At its end the process prints on standard error how many faults it met.
//!
//! Each function replaces the C function of the same name and calls the next one of that name.

mod plan;

use std::ffi::{c_char, c_int, c_void};
use std::sync::atomic::{AtomicBool, AtomicPtr, Ordering};

use libc::{epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t};

use plan::{Call, Plan};

/// The function of a name in the libraries after this one.
struct Next {
    name: &'static [u8],
    address: AtomicPtr<c_void>,
}

impl Next {
    /// `name` ends with a zero byte.
    const fn new(name: &'static [u8]) -> Self {
        Self {
            name,
            address: AtomicPtr::new(std::ptr::null_mut()),
        }
    }

    fn address(&self) -> *mut c_void {
        let known = self.address.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name ends with a zero byte.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr().cast::<c_char>()) };
        self.address.store(found, Ordering::Relaxed);
        found
    }
}

/// Calls the next function of this name with the signature of the function that contains the call.
macro_rules! call_next {
    ($name:literal, fn($($argument:ident: $type:ty),*) -> $result:ty) => {{
        static NEXT: Next = Next::new(concat!($name, "\0").as_bytes());
        // SAFETY: the C library defines the function with this signature.
        let next: extern "C" fn($($type),*) -> $result = unsafe { std::mem::transmute(NEXT.address()) };
        next($($argument),*)
    }};
}

/// Whether a descriptor is a socket of the internet families. The runtime's own channels, which are Unix sockets, meet no
/// faults.
fn is_internet_socket(file: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length: socklen_t = 4; // The length of the option's value in bytes.
                                   // SAFETY: the option's value is an integer of this length.
    let result = unsafe {
        libc::getsockopt(
            file,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut domain).cast::<c_void>(),
            &raw mut length,
        )
    };
    result == 0 && matches!(domain, libc::AF_INET | libc::AF_INET6)
}

/// Number of descriptors whose connections can break; higher ones meet no such faults.
const MAX_DESCRIPTORS: usize = 4096;

/// Whether a descriptor was connected by this process, by descriptor.
static IS_CONNECTED: [AtomicBool; MAX_DESCRIPTORS] =
    [const { AtomicBool::new(false) }; MAX_DESCRIPTORS];

fn set_connected(file: c_int, is_connected: bool) {
    let entry = usize::try_from(file)
        .ok()
        .and_then(|file| IS_CONNECTED.get(file));
    if let Some(entry) = entry {
        entry.store(is_connected, Ordering::Relaxed);
    }
}

fn is_connected(file: c_int) -> bool {
    let entry = usize::try_from(file)
        .ok()
        .and_then(|file| IS_CONNECTED.get(file));
    entry.is_some_and(|entry| entry.load(Ordering::Relaxed))
}

/// Errors of a connection that is broken, as a read reports them.
const BROKEN_RECEIVE: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
/// Errors of a connection that is broken, as a write reports them.
const BROKEN_SEND: [c_int; 4] = [
    libc::ETIMEDOUT,
    libc::EHOSTUNREACH,
    libc::ECONNRESET,
    libc::EPIPE,
];

fn fail(error: c_int) -> c_int {
    // SAFETY: the location is the calling thread's.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Receives from a socket.
#[no_mangle]
pub extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let plan = Plan::get();
    let is_internet = is_internet_socket(socket);
    if is_internet && plan.injects(Call::InterruptedReceive) {
        return fail(libc::EINTR) as ssize_t;
    }
    if is_connected(socket) && plan.injects(Call::BrokenReceive) {
        return fail(plan.error(&BROKEN_RECEIVE)) as ssize_t;
    }
    let mut length = length;
    let can_be_short = is_internet && length > 1 && flags & libc::MSG_PEEK == 0;
    if can_be_short && plan.injects(Call::ShortReceive) {
        length = plan.shorter(length.min(64));
    }
    call_next!(
        "recv",
        fn(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t
    )
}

/// Sends to a socket.
#[no_mangle]
pub extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let plan = Plan::get();
    let is_internet = is_internet_socket(socket);
    if is_internet && plan.injects(Call::InterruptedSend) {
        return fail(libc::EINTR) as ssize_t;
    }
    if is_connected(socket) && plan.injects(Call::BrokenSend) {
        return fail(plan.error(&BROKEN_SEND)) as ssize_t;
    }
    let mut length = length;
    if is_internet && length > 1 && plan.injects(Call::ShortSend) {
        length = plan.shorter(length);
    }
    call_next!(
        "send",
        fn(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t
    )
}

/// Writes several buffers.
#[no_mangle]
pub extern "C" fn writev(file: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let plan = Plan::get();
    let is_internet = is_internet_socket(file);
    if is_internet && plan.injects(Call::InterruptedSend) {
        return fail(libc::EINTR) as ssize_t;
    }
    if is_connected(file) && plan.injects(Call::BrokenSend) {
        return fail(plan.error(&BROKEN_SEND)) as ssize_t;
    }
    let mut count = count;
    if is_internet && count > 1 && plan.injects(Call::ShortSend) {
        count = 1;
    }
    call_next!(
        "writev",
        fn(file: c_int, buffers: *const iovec, count: c_int) -> ssize_t
    )
}

/// Accepts a connection.
#[no_mangle]
pub extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let plan = Plan::get();
    if plan.injects(Call::Accept) {
        return fail(plan.error(&[
            libc::ECONNABORTED,
            libc::ENFILE,
            libc::ENOBUFS,
            libc::EPROTO,
            libc::EINTR,
        ]));
    }
    let accepted = call_next!(
        "accept4",
        fn(socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int
    );
    set_connected(accepted, false);
    accepted
}

/// Connects a socket.
#[no_mangle]
pub extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let plan = Plan::get();
    if plan.injects(Call::Connect) {
        return fail(plan.error(&[
            libc::EADDRNOTAVAIL,
            libc::ENETUNREACH,
            libc::EHOSTUNREACH,
            libc::ETIMEDOUT,
            libc::EAGAIN,
        ]));
    }
    set_connected(socket, is_internet_socket(socket));
    call_next!(
        "connect",
        fn(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int
    )
}

/// Creates a socket.
#[no_mangle]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let plan = Plan::get();
    if plan.injects(Call::Socket) {
        return fail(plan.error(&[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]));
    }
    call_next!(
        "socket",
        fn(domain: c_int, kind: c_int, protocol: c_int) -> c_int
    )
}

/// Waits for events.
#[no_mangle]
pub extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    count: c_int,
    timeout: c_int,
) -> c_int {
    let plan = Plan::get();
    if plan.injects(Call::Wait) {
        return fail(libc::EINTR);
    }
    call_next!(
        "epoll_wait",
        fn(epoll: c_int, events: *mut epoll_event, count: c_int, timeout: c_int) -> c_int
    )
}
