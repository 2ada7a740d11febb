// Stand-ins that the cases 6 to 10 share: a record, a node process, a discovery agent, servers and clients. They follow
// the pages PROTOCOL, DEPLOY and STANDING. Only the standard library is used; every address is on loopback.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// A case ends by itself before this time.
const MAX_RUN: Duration = Duration::from_secs(110);

struct Run {
    started: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<Child>>,
    folder: PathBuf,
}

static RUN: OnceLock<Run> = OnceLock::new();

fn run() -> &'static Run {
    RUN.get().expect("start() is called first")
}

/// The root of the repository: the binary stands in target/review-2/.
pub fn root() -> PathBuf {
    let binary = std::env::current_exe().expect("path of the binary");
    binary.ancestors().nth(3).expect("root of the repository").to_owned()
}

/// Opens the record of case `number` and the temporary folder, and sets the limit on the time.
pub fn start(number: u32) {
    let file = File::create(root().join(format!("review/{number}/record.txt"))).expect("record.txt");
    let folder = std::env::temp_dir().join(format!("silverthread-review-{number}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("temporary folder");
    let state = Run { started: Instant::now(), record: Mutex::new(file), children: Mutex::default(), folder };
    assert!(RUN.set(state).is_ok(), "start() is called once");
    std::panic::set_hook(Box::new(|info| {
        eprintln!("the case could not run: {info}");
        finish(COULD_NOT_RUN, &format!("the case could not run: {info}"));
    }));
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        finish(COULD_NOT_RUN, "the case took too long");
    });
    record(&format!("case {number}, trouble {}", if has_trouble() { "on" } else { "off" }));
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Milliseconds since the start of the case.
pub fn now_ms() -> f64 {
    run().started.elapsed().as_secs_f64() * 1e3
}

/// Writes a line to the record.
pub fn record(line: &str) {
    let mut file = run().record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let _ = writeln!(file, "{:10.1} ms  {line}", now_ms());
}

/// Ends all processes and the case.
pub fn finish(code: i32, verdict: &str) -> ! {
    static IS_ENDING: AtomicBool = AtomicBool::new(false);
    if IS_ENDING.swap(true, Ordering::SeqCst) {
        loop {
            thread::park();
        }
    }
    record(&format!("verdict: {verdict} (exit {code})"));
    println!("{verdict}");
    for _ in 0..100 {
        // Another thread holds the lock for a moment only; a thread that panicked with it never gives it back.
        let Ok(mut children) = run().children.try_lock() else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        break;
    }
    let _ = fs::remove_dir_all(&run().folder);
    std::process::exit(code);
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("run in the deploy file");
    line.trim().trim_matches('"').to_owned()
}

/// A class in the settings.
pub struct Class {
    pub name: &'static str,
    pub deadline_ms: f64,
    pub effect: &'static str,
    pub window_ms: f64,
}

/// The classes of the site south-holds, and one that is unsafe to repeat.
pub fn classes() -> Vec<Class> {
    vec![
        Class { name: "avail-read", deadline_ms: 750.0, effect: "retryable", window_ms: 5000.0 },
        Class { name: "rate-set", deadline_ms: 1500.0, effect: "retryable", window_ms: 5000.0 },
        Class { name: "hold-place", deadline_ms: 6000.0, effect: "dedup", window_ms: 6000.0 },
        Class { name: "note-add", deadline_ms: 1500.0, effect: "fragile", window_ms: 5000.0 },
    ]
}

/// The settings of a small deployment, as on the page WIRE.
pub fn settings(classes: &[Class], nodes: usize, me: usize) -> String {
    let classes: Vec<String> = classes
        .iter()
        .map(|class| {
            format!(
                r#"{{"deadline_ms":{},"dedup_window_ms":{},"effect":"{}","group":"all","late_worth":0.5,"name":"{}","promise_ms":{},"streaming":false,"worth":2.0}}"#,
                class.deadline_ms, class.window_ms, class.effect, class.name, class.deadline_ms * 0.4
            )
        })
        .collect();
    format!(
        r#"{{"allowed":{{"cancel":true,"conn_idle_ms":60000.0,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,"dial_timeout_ms":150.0,"max_attempts":3,"max_retry_after_ms":2000.0,"most_held":20000,"multiplex":100,"peers":false,"probes":false,"retry_after":true,"second_copies":false}},"az":0,"classes":[{}],"clients":{{"marks_retry":false}},"discovery":"automatic","family":"proxy","kinds":["fast-2c","std-2c"],"me":{me},"n_instances":{nodes},"over_share_worth":0.1,"parties":[],"prices":{{"connection":0.03,"cross_zone":0.01,"discovery":0.0,"handshake":0.03,"late_fail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.15}},"rules":{{"answer_slack_ms":20.0,"ask_within_ms":10000.0,"cold_from":0.35,"cold_ms":8800.0,"drain_grace_ms":2000.0,"tip_after_ms":1500.0,"tip_multiple":3.0}},"scoring_mix":{{"whole":0.55,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.15}},"specifics":{{"warm_keys":false}},"stats":{{"fields":["active","rps","waiting"],"source":"inline"}},"tick_ms":5.0,"tier":0,"tiers":["holds-web"],"value_by":"request","weights":"live","zones":["hartford"]}}"#,
        classes.join(",")
    )
}

/// A node that the deploy file's command started.
pub struct Node {
    pub address: SocketAddr,
    pub pid: u32,
    name: String,
    config: PathBuf,
}

impl Node {
    /// Starts a node and waits until `GET /up` is answered with 200.
    pub fn start(name: &str, discovery: SocketAddr, known: &str, settings: &str, memory_mb: usize, sockets: usize) -> Self {
        let node = Self::spawn(name, None, discovery, known, settings, memory_mb, sockets);
        node.wait_until_up();
        node
    }

    /// Starts a process of a node. With `listener`, it is handed this listening socket as docs/admin/operate.md says.
    pub fn spawn(
        name: &str,
        listener: Option<&TcpListener>,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        memory_mb: usize,
        sockets: usize,
    ) -> Self {
        let address = listener.and_then(|listener| listener.local_addr().ok()).unwrap_or_else(free_address);
        let config = run().folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        fs::write(&config, text).expect("the configuration file");
        let log = File::create(run().folder.join(format!("{name}.log"))).expect("the node's log");
        let mut command = Command::new("/bin/sh");
        if let Some(listener) = listener {
            let descriptor = listener.as_raw_fd();
            command.env("ROUTER_LISTEN_FD", HANDED_DESCRIPTOR.to_string());
            // SAFETY: the call in the child takes numbers only; it keeps the copy open across exec.
            unsafe {
                command.pre_exec(move || if dup2(descriptor, HANDED_DESCRIPTOR) < 0 { Err(io::Error::last_os_error()) } else { Ok(()) });
            }
        }
        let child = command
            .args(["-c", &run_command()])
            .current_dir(root())
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", &run().folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the node's log"))
            .stderr(log)
            .spawn()
            .expect("start of the node");
        let pid = child.id();
        run().children.lock().unwrap().push(child);
        Self { address, pid, name: name.to_owned(), config }
    }

    /// Waits until `GET /up` is answered with 200.
    pub fn wait_until_up(&self) {
        for _ in 0..300 {
            if self.is_up() {
                record(&format!("node {} (pid {}) is ready at {}", self.name, self.pid, self.address));
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        finish(COULD_NOT_RUN, "the node was not ready within 30 s");
    }

    fn is_up(&self) -> bool {
        let answer = Client::connect(self.address)
            .and_then(|mut client| client.call(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n", Duration::from_secs(1)));
        matches!(answer, Answer::Whole { status: 200, .. })
    }

    /// Whether the process still runs.
    pub fn is_running(&self) -> bool {
        let mut children = run().children.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() == self.pid);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Whether the node's log holds this text.
    pub fn has_logged(&self, text: &str) -> bool {
        let log = fs::read_to_string(run().folder.join(format!("{}.log", self.name)));
        log.is_ok_and(|log| log.contains(text))
    }

    /// Copies the node's log into the record.
    pub fn record_log(&self, max_lines: usize) {
        let log = fs::read_to_string(run().folder.join(format!("{}.log", self.name))).unwrap_or_default();
        for line in log.lines().take(max_lines) {
            record(&format!("log of {}: {line}", self.name));
        }
    }

    /// Another handle of the same process.
    pub fn handle(&self) -> Self {
        Self { address: self.address, pid: self.pid, name: self.name.clone(), config: self.config.clone() }
    }

    pub fn signal(&self, signal: i32) {
        send_signal(self.pid, signal);
    }

    pub fn config(&self) -> &Path {
        &self.config
    }
}

/// The number under which a process gets the listening socket: one that nothing else has.
const HANDED_DESCRIPTOR: i32 = 100;

extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that the case started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: the call takes numbers only.
    unsafe { kill(pid as i32, signal) };
}

/// The end of a client's request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole answer.
    Whole { status: u16, body: Vec<u8>, head: String, took: Duration },
    /// The connection was refused, or ended or reset before any byte of an answer.
    Unread(String),
    /// The connection ended or was reset within the answer.
    Cut { received: usize, head: String, error: String },
    /// No whole answer came in the time that the case waits.
    Nothing { received: usize },
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Self::Whole { status, body, took, .. } => format!("{status} with {} bytes after {:.0} ms", body.len(), took.as_secs_f64() * 1e3),
            Self::Unread(error) => format!("no answer, the connection ended: {error}"),
            Self::Cut { received, error, .. } => format!("cut after {received} bytes: {error}"),
            Self::Nothing { received } => format!("no answer in time ({received} bytes came)"),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: Option<TcpStream>,
    error: String,
}

pub trait AndCall {
    fn and_then<F: FnOnce(Client) -> Answer>(self, call: F) -> Answer;
}

impl Client {
    pub fn connect(address: SocketAddr) -> ClientResult {
        ClientResult(TcpStream::connect_timeout(&address, Duration::from_secs(3)))
    }

    /// Sends bytes and waits for one answer.
    pub fn call(&mut self, bytes: &[u8], wait: Duration) -> Answer {
        let Some(stream) = &mut self.stream else {
            return Answer::Unread(self.error.clone());
        };
        if let Err(error) = stream.write_all(bytes) {
            return Answer::Unread(error.to_string());
        }
        read_answer(stream, Instant::now(), wait)
    }
}

/// Sends a request on a new connection and waits for its answer. The client keeps the connection until the case ends.
pub fn call_and_keep(address: SocketAddr, bytes: &[u8], wait: Duration) -> Answer {
    Client::connect(address).and_then(|mut client| {
        let answer = client.call(bytes, wait);
        std::mem::forget(client.stream.take());
        answer
    })
}

/// The result of a connection attempt.
pub struct ClientResult(io::Result<TcpStream>);

impl ClientResult {
    pub fn and_then<F: FnOnce(Client) -> Answer>(self, call: F) -> Answer {
        match self.0 {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                call(Client { stream: Some(stream), error: String::new() })
            }
            Err(error) => Answer::Unread(error.to_string()),
        }
    }

    pub fn ok(self) -> Option<TcpStream> {
        self.0.ok()
    }
}

/// Reads one answer with a length or in chunks. `sent` is when the request's last byte was written.
pub fn read_answer(stream: &mut TcpStream, sent: Instant, wait: Duration) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some((status, head, body)) = parse_answer(&bytes) {
            return Answer::Whole { status, body, head, took: sent.elapsed() };
        }
        let left = wait.saturating_sub(sent.elapsed());
        if left.is_zero() {
            return Answer::Nothing { received: bytes.len() };
        }
        let _ = stream.set_read_timeout(Some(left));
        let ended = match stream.read(&mut buffer) {
            Ok(0) => "closed".to_owned(),
            Ok(read) => {
                bytes.extend_from_slice(&buffer[..read]);
                continue;
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => error.to_string(),
        };
        if bytes.is_empty() {
            return Answer::Unread(ended);
        }
        let head = String::from_utf8_lossy(&bytes[..bytes.len().min(300)]).into_owned();
        return Answer::Cut { received: bytes.len(), head, error: ended };
    }
}

/// The status, head and body of a whole answer.
fn parse_answer(bytes: &[u8]) -> Option<(u16, String, Vec<u8>)> {
    let end = find(bytes, b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    if (100..200).contains(&status) {
        return parse_answer(&bytes[end..]);
    }
    if header(&head, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        return parse_chunks(&bytes[end..]).map(|body| (status, head, body));
    }
    let length: usize = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let body = bytes.get(end..end + length)?;
    Some((status, head, body.to_vec()))
}

fn parse_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = find(bytes, b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..line]).ok()?.trim(), 16).ok()?;
        let data = bytes.get(line + 2..line + 2 + size)?;
        bytes.get(line + 2 + size..line + 4 + size)?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(data);
        bytes = &bytes[line + 4 + size..];
    }
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// The value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// A new id for a request, as long as those on the page.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The bytes of a request. The method follows from the class.
pub fn request(id: &str, class: &str, deadline_ms: u64, idempotency_key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let method = if class == "avail-read" || class == "rate-set" { "GET" } else { "POST" };
    let mut head = format!(
        "{method} /api?key=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Deadline: {deadline_ms}m\r\n"
    );
    if let Some(key) = idempotency_key {
        head += &format!("Idempotency-Key: {key}\r\n");
    }
    if method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (head + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A request as a server received it.
#[derive(Clone)]
pub struct Received {
    pub id: String,
    pub head: String,
    pub body: Vec<u8>,
}

/// Reads a request from a node: the head, and a body with a length or in chunks. `None` if the connection ends before its last byte.
pub fn read_request(stream: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n").map(|end| end + 4) {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let id = header(&head, "req-id").unwrap_or_default();
            let is_chunked = header(&head, "transfer-encoding").is_some();
            let length: usize = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            let body = if is_chunked { parse_chunks(&bytes[end..]) } else { bytes.get(end..end + length).map(<[u8]>::to_vec) };
            if let Some(body) = body {
                return Some(Received { id, head, body });
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

/// A 200 answer with a length.
pub fn ok_answer(body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Starts a server: `serve` gets each connection on a thread of its own.
pub fn serve(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a server's port");
    let address = listener.local_addr().expect("a server's address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// The requests that a server holds, and when it served others, by its port.
static LOADS: Mutex<BTreeMap<u16, (usize, VecDeque<Instant>)>> = Mutex::new(BTreeMap::new());

/// Counts a request that a server has got.
fn begin_work(port: u16) {
    let mut loads = LOADS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    loads.entry(port).or_default().0 += 1;
}

/// Counts a request that a server has served, and returns its load report, with the fields that the settings name.
fn end_work(port: u16) -> String {
    let mut loads = LOADS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let (active, served) = loads.entry(port).or_default();
    let report_active = *active;
    *active = active.saturating_sub(1);
    served.push_back(Instant::now());
    while served.front().is_some_and(|at| at.elapsed() > Duration::from_secs(1)) {
        served.pop_front();
    }
    format!("Srv-Load: TEXT active={report_active}, rps={}, waiting=0\r\n", served.len())
}

/// Serves one request after the other on a connection; `answer` gives the bytes of each answer, to which the load is added.
pub fn serve_requests(mut stream: TcpStream, answer: impl Fn(&Received) -> Vec<u8>) {
    let port = stream.local_addr().map_or(0, |address| address.port());
    while let Some(received) = read_request(&mut stream) {
        begin_work(port);
        let mut bytes = answer(&received);
        let report = end_work(port);
        if let Some(line) = find(&bytes, b"\r\n") {
            bytes.splice(line + 2..line + 2, report.into_bytes());
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        if header(&received.head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            return;
        }
    }
}

/// An entry of the endpoint list.
pub fn entry(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"hartford","machineType":"std-2c","cell":1,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A whole list.
pub fn whole_list(generation: u64, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":true,"instances":[{}]}}"#, entries.join(","))
}

/// Starts a discovery agent that pushes `list`, which stays as it is, and an empty line every 2 s.
pub fn serve_discovery(list: String) -> SocketAddr {
    serve(move |mut stream| {
        while let Some(received) = read_discovery_request(&mut stream) {
            record(&format!("discovery was asked: {received}"));
            if !received.contains("watch=1") {
                let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes());
                continue;
            }
            if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
                return;
            }
            let mut line = format!("{list}\n");
            while stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok() {
                line = "\n".to_owned();
                thread::sleep(Duration::from_secs(2));
            }
            return;
        }
    })
}

/// Reads the head of a request to discovery and returns its first line.
pub fn read_discovery_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while find(&bytes, b"\r\n\r\n").is_none() {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).lines().next().unwrap_or_default().to_owned())
}

/// Ignores SIGPIPE-like ends: writes to closed connections return errors (the default of Rust programs).
pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
