//! The node program as a child process, and its clients.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockWriteGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use crate::discovery::{endpoint_list, Discovery, Watch};
use crate::message::Message;
use crate::process_memory::{process_memory_kib, MemoryKind};
use crate::server::Server;
use crate::{wait_until, WAIT_TIMEOUT};

/// Platform settings with a class for each effect: `read` is `retryable`, `hold` is `dedup` and `pay` is `fragile`. The
/// latency objective is the deadline.
#[must_use]
pub fn settings(deadline_ms: u64) -> String {
    settings_with_latency_objective(deadline_ms, deadline_ms)
}

/// Like [`settings`], with a latency objective that is shorter than the deadline. A node discards its measurements of
/// a server after a few times the latency objective. It avoids a server that was slow once, as any may be on a busy
/// machine, for that long.
#[must_use]
pub fn settings_with_latency_objective(objective_ms: u64, deadline_ms: u64) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"all","dedup_window_ms":60000.0,"promise_ms":{objective_ms}.0,"deadline_ms":{deadline_ms}.0,"worth":1.0}}"#
        )
    };
    format!(
        r#"{{"classes":[{},{},{}],"zones":["z"],"kinds":["m"],"n_instances":1,"me":0,"az":0,"discovery":"automatic",
           "stats":{{"source":"inline","fields":["active","waiting"]}},
           "allowed":{{"cancel":true,"max_attempts":3,"dial_timeout_ms":2000.0,"conn_idle_ms":60000.0}},
           "rules":{{"drain_grace_ms":0.0,"cold_from":1.0,"cold_ms":0.0}}}}"#,
        class("read", "retryable"),
        class("hold", "dedup"),
        class("pay", "fragile"),
    )
}

/// The platform's configuration file for a node, with its initial endpoint list and its settings.
#[must_use]
pub fn config(discovery: SocketAddr, initial_endpoints: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0f","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{initial_endpoints},"settings":{settings}}}"#
    )
}

/// A running process of the node program.
pub struct Node {
    child: Child,
    /// Address at which it serves clients.
    pub address: SocketAddr,
    config_file: PathBuf,
    operators_file: Option<PathBuf>,
    log: Arc<Mutex<Vec<(Instant, String)>>>,
}

/// Writes a new temporary file and returns its path. The caller deletes it.
#[must_use]
pub fn write_temp_file(text: &str) -> PathBuf {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("silverthread-{}-{next}.json", std::process::id()));
    std::fs::write(&path, text).expect("write a temporary file");
    path
}

/// Path of the node program: in the directory of the running executable, or in its parent directory if that is a test.
///
/// # Panics
///
/// If the program has not been built.
#[must_use]
pub fn program_path() -> PathBuf {
    let executable = std::env::current_exe().expect("find the running executable");
    let name = format!("silverthread{}", std::env::consts::EXE_SUFFIX);
    let found = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(&name))
        .find(|path| path.is_file());
    found.unwrap_or_else(|| {
        panic!(
            "no {name} in the directory of {} or its parent: build it first",
            executable.display()
        )
    })
}

/// Locked for reading while a process is started, and for writing by [`pause_process_starts`].
static PROCESS_STARTS: RwLock<()> = RwLock::new(());

/// Keeps other tests of this test binary from starting processes until the guard is dropped.
///
/// Between fork and exec a child holds copies of all sockets of this process, so a connection that is closed here stays
/// open for its peer until then. A test that judges by the peer whether a connection is closed takes this guard. The
/// thread that holds it must not start a node itself.
pub fn pause_process_starts() -> RwLockWriteGuard<'static, ()> {
    PROCESS_STARTS
        .write()
        .unwrap_or_else(PoisonError::into_inner)
}

/// A command that runs the node program, without the environment variables that it reads.
#[must_use]
pub fn program_command() -> Command {
    let mut command = Command::new(program_path());
    command
        .env_remove("ROUTER_CONFIG")
        .env_remove("SILVERTHREAD_CONFIG");
    command
}

/// A command that runs a shell script, which replaces the shell with the node program by `exec "$0"`.
fn shell_command(script: &str) -> Command {
    let mut shell = Command::new("/bin/sh");
    shell
        .env_remove("ROUTER_CONFIG")
        .env_remove("SILVERTHREAD_CONFIG");
    shell.args(["-c", script]).arg(program_path());
    shell
}

impl Node {
    /// Starts a node and waits until it is ready.
    #[must_use]
    pub fn start(config: &str) -> Self {
        Self::start_with_operators_file(config, None)
    }

    /// Like [`Node::start`], with an operators' file of this text, if there is one.
    #[must_use]
    pub fn start_with_operators_file(config: &str, operators: Option<&str>) -> Self {
        Self::spawn(config, operators, program_command())
    }

    /// Like [`Node::start`], with these environment variables.
    #[must_use]
    pub fn start_with_environment(config: &str, variables: &[(&str, &str)]) -> Self {
        let mut command = program_command();
        command.envs(variables.iter().copied());
        Self::spawn(config, None, command)
    }

    /// Like [`Node::start`], with a listening socket that the platform passes to the process.
    #[must_use]
    pub fn start_on(config: &str, listener: &TcpListener) -> Self {
        let socket = listener.try_clone().expect("duplicate a socket");
        let mut shell = shell_command("exec \"$0\" 3<&0 </dev/null");
        shell
            .env("ROUTER_LISTEN_FD", "3")
            .stdin(OwnedFd::from(socket));
        Self::spawn(config, None, shell)
    }

    /// Like [`Node::start`], with a limit on open descriptors that the system enforces, whatever the configuration
    /// says.
    #[must_use]
    pub fn start_with_descriptor_limit(config: &str, descriptors: usize) -> Self {
        Self::spawn(
            config,
            None,
            shell_command(&format!("ulimit -n {descriptors}; exec \"$0\"")),
        )
    }

    fn spawn(config: &str, operators: Option<&str>, mut command: Command) -> Self {
        let config_file = write_temp_file(config);
        let operators_file = operators.map(write_temp_file);
        if let Some(operators_file) = &operators_file {
            command.arg("--config").arg(operators_file);
        }
        let start_guard = PROCESS_STARTS
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let mut child = command
            .env("ROUTER_CONFIG", &config_file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the node program");
        drop(start_guard);
        let mut input = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let mut line = String::new();
        input.read_line(&mut line).expect("read the first log line");
        let address = line
            .trim_end()
            .rsplit(' ')
            .next()
            .and_then(|word| word.parse().ok());
        let address = address.unwrap_or_else(|| {
            panic!("the first log line does not end with the serving address: {line}")
        });
        let log = Arc::<Mutex<Vec<(Instant, String)>>>::default();
        let shared_log = Arc::clone(&log);
        thread::spawn(move || {
            for line in input.lines().map_while(Result::ok) {
                eprintln!("{line}");
                shared_log
                    .lock()
                    .expect("no thread panics while it holds the lock")
                    .push((Instant::now(), line));
            }
        });
        let node = Self {
            child,
            address,
            config_file,
            operators_file,
            log,
        };
        wait_until("/up answers 200", || node.is_ready());
        node
    }

    /// Whether `/up` answers 200, on a connection that the node has closed when this returns.
    ///
    /// Dropping the connection would not be enough: a process that another test forks at that moment has a copy of
    /// the socket until it calls exec, so the node would see the close late and count one client too many.
    fn is_ready(&self) -> bool {
        let mut client = self.connect();
        client.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        let status = client.read_response().expect("/up has a response").status();
        client.shutdown_write();
        client.is_closed() && status == 200
    }

    /// Lines of its log so far, without the first.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log_with_times()
            .into_iter()
            .map(|(_, line)| line)
            .collect()
    }

    /// Like [`Node::log`], with the time at which each line was read.
    #[must_use]
    pub fn log_with_times(&self) -> Vec<(Instant, String)> {
        self.log
            .lock()
            .expect("no thread panics while it holds the lock")
            .clone()
    }

    /// Address of its admin server. Waits until the log contains it.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        let mut address = None;
        wait_until("the admin server listens", || {
            let log = self.log();
            let text = log
                .iter()
                .find_map(|line| line.rsplit_once("admin server listens on "))
                .map(|(_, text)| text);
            address = text.and_then(|text| text.parse().ok());
            address.is_some()
        });
        address.expect("wait_until returns once there is an address")
    }

    /// Sends an admin command and returns the response.
    #[must_use]
    pub fn admin_command(&self, line: &str) -> String {
        let mut stream =
            TcpStream::connect(self.admin_address()).expect("connect to the admin server");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("set the read timeout");
        stream
            .write_all(line.as_bytes())
            .expect("send the admin command");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("read the response to its end");
        response
    }

    /// Value of a metric in `STATS`, without the prefix `edge_router.` of its name.
    #[must_use]
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.admin_command("STATS\n");
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("edge_router.{name}:")));
        let value = line
            .and_then(|line| line.split_once('|'))
            .and_then(|(value, _)| value.parse().ok());
        value.unwrap_or_else(|| panic!("no metric {name} in {text}"))
    }

    /// Sends a signal to its process. The process is a child that has not been waited for, so no other process can
    /// have its ID.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal); // An error means that it has exited.
    }

    /// ID of its process, for reading system statistics.
    #[must_use]
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Memory of its process, in KiB.
    #[must_use]
    pub fn memory_kib(&self, kind: MemoryKind) -> usize {
        process_memory_kib(self.process_id(), kind).expect("the node runs")
    }

    /// Starts a discovery service and a node whose initial endpoint list contains these servers, and returns both
    /// with the watch that the node has opened. The node reaches a server that has a Unix socket only there.
    #[must_use]
    pub fn start_with_servers(servers: &[&Server], deadline_ms: u64) -> (Self, Discovery, Watch) {
        let discovery = Discovery::start();
        let entries: Vec<_> = servers
            .iter()
            .enumerate()
            .map(|(i, server)| server.endpoint_entry(&format!("s-{i}"), "ready"))
            .collect();
        let known = endpoint_list(1, true, &entries);
        let server_sections: String = servers
            .iter()
            .enumerate()
            .filter_map(|(i, server)| {
                let endpoint = server.unix_endpoint.as_ref()?;
                let addresses = format!("addresses = [{{address = \"{endpoint}\"}}]");
                Some(format!(
                    "[[server]]\nid = \"s-{i}\"\nonly = true\n{addresses}\n"
                ))
            })
            .collect();
        let operators = Some(server_sections.as_str()).filter(|text| !text.is_empty());
        let node = Self::start_with_operators_file(
            &config(discovery.address, &known, &settings(deadline_ms)),
            operators,
        );
        let watch = discovery.watch();
        (node, discovery, watch)
    }

    /// Opens a client connection to the node.
    #[must_use]
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a request on a new connection and returns the response.
    #[must_use]
    pub fn request(&self, request: &str) -> Message {
        let mut client = self.connect();
        client.send(request);
        client
            .read_response()
            .expect("the node sends a complete response")
    }

    /// Like [`Node::request`], repeated while the response has status 503: if the machine stood still for a while,
    /// the balancer may refuse requests because of its latency measurements. Tests of anything else must not depend
    /// on that.
    #[must_use]
    pub fn request_until_accepted(&self, request: &str) -> Message {
        let mut response = self.request(request);
        wait_until("a request is accepted", || {
            if response.status() == 503 {
                response = self.request(request);
            }
            response.status() != 503
        });
        response
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Replaces the platform's configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        replace(&self.config_file, config);
        self.signal(Signal::HUP);
    }

    /// Replaces the operators' file and sends SIGHUP.
    pub fn reload_operators_file(&self, operators: &str) {
        replace(
            self.operators_file
                .as_deref()
                .expect("the node was started with an operators' file"),
            operators,
        );
        self.signal(Signal::HUP);
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        let mut exit_status = None;
        wait_until("the node exits", || {
            exit_status = self.child.try_wait().expect("query the child process");
            exit_status.is_some()
        });
        exit_status.expect("wait_until returns once the process has exited")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
        self.operators_file.as_ref().map(std::fs::remove_file);
    }
}

/// Replaces a file atomically.
fn replace(file: &Path, text: &str) {
    let next = file.with_extension("next");
    std::fs::write(&next, text).expect("write a temporary file");
    std::fs::rename(&next, file).expect("rename the temporary file");
}

/// A client connection.
pub struct Client {
    input: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a node.
    #[must_use]
    pub fn connect(node: SocketAddr) -> Self {
        Self::try_connect(node).expect("connect to the node")
    }

    /// Like [`Client::connect`]; `None` if the node does not accept the connection.
    #[must_use]
    pub fn try_connect(node: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(node).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            input: BufReader::new(stream),
        })
    }

    /// Sends text unchanged; returns whether the connection accepted it.
    #[must_use]
    pub fn try_send(&mut self, text: &str) -> bool {
        self.input.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Sends text unchanged.
    pub fn send(&mut self, text: &str) {
        self.input
            .get_mut()
            .write_all(text.as_bytes())
            .expect("the connection is open");
    }

    /// Shuts down the sending direction; responses can still be read.
    pub fn shutdown_write(&self) {
        self.input
            .get_ref()
            .shutdown(std::net::Shutdown::Write)
            .expect("the connection is open");
    }

    /// Reads the next response; `None` if the connection ends or the time limit expires before its last byte.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Waits for the next byte or the end of the connection; returns whether it ended. An expired time limit counts
    /// as the end.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.input.read(&mut [0; 1]), Ok(0) | Err(_))
    }

    /// Whether the connection stays open and no byte is received for 50 ms.
    pub fn is_silent(&mut self) -> bool {
        let stream = self.input.get_ref();
        stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("set the read timeout");
        let result = self.input.read(&mut [0; 1]);
        self.input
            .get_ref()
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("set the read timeout");
        result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Waits for the next byte or the end of the connection; returns whether it ended in order and not by a reset.
    pub fn is_closed_without_reset(&mut self) -> bool {
        matches!(self.input.read(&mut [0; 1]), Ok(0))
    }
}
