//! The program, run and signalled.

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
use crate::server::Server;
use crate::{wait_until, WAIT_TIMEOUT};

/// The settings of the tests: a safe, a keyed and an unsafe class.
#[must_use]
pub fn settings(deadline_ms: u64) -> String {
    settings_with_latency_objective(deadline_ms, deadline_ms)
}

/// The same, where answers are wanted within a time that is shorter. A node forgets what it saw of servers in
/// some such times: where one was slow once, as any may be on a machine that is busy, it is passed over for as long.
#[must_use]
pub fn settings_with_latency_objective(aim_ms: u64, deadline_ms: u64) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"all","dedup_window_ms":60000.0,"promise_ms":{aim_ms}.0,"deadline_ms":{deadline_ms}.0,"worth":1.0}}"#
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

/// A node's configuration.
#[must_use]
pub fn config(discovery: SocketAddr, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0f","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}

/// The program, running.
pub struct Node {
    child: Child,
    /// Where it serves.
    pub address: SocketAddr,
    config: PathBuf,
    operators: Option<PathBuf>,
    log: Arc<Mutex<Vec<(Instant, String)>>>,
}

/// Writes a file of its own for a test.
#[must_use]
pub fn write_temp_file(text: &str) -> PathBuf {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("silverthread-{}-{next}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// Where the program is: beside the one that asks, or above it where that is a test.
///
/// # Panics
///
/// It has not been built.
#[must_use]
pub fn program_path() -> PathBuf {
    let own = std::env::current_exe().expect("a program");
    let name = format!("silverthread{}", std::env::consts::EXE_SUFFIX);
    let found = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(&name))
        .find(|path| path.is_file());
    found.unwrap_or_else(|| {
        panic!(
            "there is no {name} beside {}: build it first",
            own.display()
        )
    })
}

/// Held shared while a process is started, and exclusively by [`pause_process_starts`].
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

/// The program, with none of the variables that it reads.
#[must_use]
pub fn program_command() -> Command {
    let mut command = Command::new(program_path());
    command
        .env_remove("ROUTER_CONFIG")
        .env_remove("SILVERTHREAD_CONFIG");
    command
}

/// A shell that is to put the program in its place.
fn by_shell(script: &str) -> Command {
    let mut shell = Command::new("/bin/sh");
    shell
        .env_remove("ROUTER_CONFIG")
        .env_remove("SILVERTHREAD_CONFIG");
    shell.args(["-c", script]).arg(program_path());
    shell
}

impl Node {
    /// Starts it and waits until it serves.
    #[must_use]
    pub fn start(config: &str) -> Self {
        Self::start_with_operators_file(config, None)
    }

    /// The same, with an operators' file.
    #[must_use]
    pub fn start_with_operators_file(config: &str, operators: Option<&str>) -> Self {
        Self::spawn(config, operators, program_command())
    }

    /// One process of a node whose listening socket the platform holds.
    #[must_use]
    pub fn start_on(config: &str, listener: &TcpListener) -> Self {
        let held = listener.try_clone().expect("a socket");
        let mut shell = by_shell("exec \"$0\" 3<&0 </dev/null");
        shell
            .env("ROUTER_LISTEN_FD", "3")
            .stdin(OwnedFd::from(held));
        Self::spawn(config, None, shell)
    }

    /// One that the system gives so many descriptors and no more, whatever its configuration says.
    #[must_use]
    pub fn start_with_descriptor_limit(config: &str, descriptors: usize) -> Self {
        Self::spawn(
            config,
            None,
            by_shell(&format!("ulimit -n {descriptors}; exec \"$0\"")),
        )
    }

    fn spawn(config: &str, operators: Option<&str>, mut command: Command) -> Self {
        let config = write_temp_file(config);
        let operators = operators.map(write_temp_file);
        if let Some(operators) = &operators {
            command.arg("--config").arg(operators);
        }
        let starting = PROCESS_STARTS
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let mut child = command
            .env("ROUTER_CONFIG", &config)
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        drop(starting);
        let mut input = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        input.read_line(&mut line).expect("a log");
        let address = line
            .trim_end()
            .rsplit(' ')
            .next()
            .and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| panic!("it did not say where it serves: {line}"));
        let log = Arc::<Mutex<Vec<(Instant, String)>>>::default();
        let lines = Arc::clone(&log);
        thread::spawn(move || {
            for line in input.lines().map_while(Result::ok) {
                eprintln!("{line}");
                lines.lock().expect("sound").push((Instant::now(), line));
            }
        });
        let node = Self {
            child,
            address,
            config,
            operators,
            log,
        };
        wait_until("/up answers 200", || node.is_ready());
        node
    }

    /// Whether `/up` answers 200, on a connection that the node has closed when this returns.
    ///
    /// Dropping the connection would not be enough: a process that another test forks at that moment has a copy of
    /// the socket until it calls exec, so the node would see the end late and count one more client than there is.
    fn is_ready(&self) -> bool {
        let mut client = self.connect();
        client.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        let status = client.read_response().expect("an answer").status();
        client.shutdown_write();
        client.is_closed() && status == 200
    }

    /// The lines of its log so far, but for the first.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log_with_times()
            .into_iter()
            .map(|(_, line)| line)
            .collect()
    }

    /// The same, with when each line was read.
    #[must_use]
    pub fn log_with_times(&self) -> Vec<(Instant, String)> {
        self.log.lock().expect("sound").clone()
    }

    /// Where its operators call.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        let mut address = None;
        wait_until("its admin server listens", || {
            let log = self.log();
            let at = log
                .iter()
                .find_map(|line| line.rsplit_once("admin server listens on "))
                .map(|(_, at)| at);
            address = at.and_then(|at| at.parse().ok());
            address.is_some()
        });
        address.expect("it said so")
    }

    /// An operator's call, and what it is answered.
    #[must_use]
    pub fn admin_command(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.admin_address()).expect("it listens");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a socket");
        stream
            .write_all(line.as_bytes())
            .expect("an open connection");
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .expect("an answer and its end");
        answer
    }

    /// One of its figures.
    #[must_use]
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.admin_command("STATS\n");
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("edge_router.{name}:")));
        let value = line
            .and_then(|line| line.split_once('|'))
            .and_then(|(value, _)| value.parse().ok());
        value.unwrap_or_else(|| panic!("no figure {name} in {text}"))
    }

    /// Sends its process a signal. It is a child that has not been waited for, so its number is no other's.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal); // One that has ended is past it.
    }

    /// Its process, for figures of the system.
    #[must_use]
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// A node that knows these servers, with its discovery and the open watch.
    #[must_use]
    pub fn start_with_servers(servers: &[&Server], deadline_ms: u64) -> (Self, Discovery, Watch) {
        let discovery = Discovery::start();
        let entries: Vec<_> = servers
            .iter()
            .enumerate()
            .map(|(i, s)| s.endpoint_entry(&format!("s-{i}"), "ready"))
            .collect();
        let known = endpoint_list(1, true, &entries);
        let at_paths: String = servers
            .iter()
            .enumerate()
            .filter_map(|(i, server)| {
                let path = server.unix_endpoint.as_ref()?;
                let addresses = format!("addresses = [{{address = \"{path}\"}}]");
                Some(format!(
                    "[[server]]\nid = \"s-{i}\"\nonly = true\n{addresses}\n"
                ))
            })
            .collect();
        let operators = Some(at_paths.as_str()).filter(|text| !text.is_empty());
        let node = Self::start_with_operators_file(
            &config(discovery.address, &known, &settings(deadline_ms)),
            operators,
        );
        let watch = discovery.watch();
        (node, discovery, watch)
    }

    /// A connection to it.
    #[must_use]
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// The answer to a request on a connection of its own.
    #[must_use]
    pub fn request(&self, request: &str) -> Message {
        let mut client = self.connect();
        client.send(request);
        client.read_response().expect("an answer")
    }

    /// The answer to a request, asked again for as long as it is refused: a balancer that has measured a machine
    /// which stood still for a while may refuse, and a test of something else must not depend on it.
    #[must_use]
    pub fn request_until_accepted(&self, request: &str) -> Message {
        let mut answer = self.request(request);
        wait_until("a request is taken", || {
            if answer.status() == 503 {
                answer = self.request(request);
            }
            answer.status() != 503
        });
        answer
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Replaces its configuration and tells it so.
    pub fn reload(&self, config: &str) {
        replace(&self.config, config);
        self.signal(Signal::HUP);
    }

    /// Replaces its operators' file and tells it so.
    pub fn reload_operators_file(&self, operators: &str) {
        replace(
            self.operators.as_deref().expect("it was started with one"),
            operators,
        );
        self.signal(Signal::HUP);
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        let mut ended = None;
        wait_until("the program ends", || {
            ended = self.child.try_wait().expect("a child");
            ended.is_some()
        });
        ended.expect("ended")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        self.operators.as_ref().map(std::fs::remove_file);
    }
}

fn replace(file: &Path, text: &str) {
    let next = file.with_extension("next");
    std::fs::write(&next, text).expect("a file");
    std::fs::rename(&next, file).expect("a file");
}

/// A client's connection.
pub struct Client {
    input: BufReader<TcpStream>,
}

impl Client {
    /// A connection to a node.
    #[must_use]
    pub fn connect(node: SocketAddr) -> Self {
        Self::try_connect(node).expect("it listens")
    }

    /// The same, where it may not listen.
    #[must_use]
    pub fn try_connect(node: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(node).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            input: BufReader::new(stream),
        })
    }

    /// Sends text as it is; `false`: the connection has ended.
    #[must_use]
    pub fn try_send(&mut self, text: &str) -> bool {
        self.input.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Sends text as it is.
    pub fn send(&mut self, text: &str) {
        self.input
            .get_mut()
            .write_all(text.as_bytes())
            .expect("an open connection");
    }

    /// Ends its sending, and could still read.
    pub fn shutdown_write(&self) {
        self.input
            .get_ref()
            .shutdown(std::net::Shutdown::Write)
            .expect("an open connection");
    }

    /// The next answer; `None` is an end before its last byte.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Whether the node has ended the connection.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.input.read(&mut [0; 1]), Ok(0) | Err(_))
    }

    /// Whether the connection is open and nothing comes on it for a moment.
    pub fn is_silent(&mut self) -> bool {
        let stream = self.input.get_ref();
        stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("a socket");
        let came = self.input.read(&mut [0; 1]);
        self.input
            .get_ref()
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a socket");
        came.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Whether the node ends the connection with its answer's end, and not with a reset.
    pub fn is_closed_without_reset(&mut self) -> bool {
        matches!(self.input.read(&mut [0; 1]), Ok(0))
    }
}
