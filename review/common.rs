//! What the cases share: the node as a process, a stand-in for discovery, and a record. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The repository's root, which `run.sh` passes on.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_ROOT").expect("run.sh sets REVIEW_ROOT"))
}

/// The case's private temporary folder, which `run.sh` passes on and removes.
pub fn temporary() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_TMP").expect("run.sh sets REVIEW_TMP"))
}

/// Whether the case's disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: it could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// Lines with the time since the start of the case, for `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Vec<(Duration, String)>>)>);

impl Record {
    pub fn new() -> Self {
        Self(Arc::new((Instant::now(), Mutex::default())))
    }

    pub fn ms(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl Into<String>) {
        let at = self.0 .0.elapsed();
        self.0 .1.lock().unwrap().push((at, text.into()));
    }

    /// A line about something that happened at `at`.
    pub fn line_at(&self, at: Instant, text: impl Into<String>) {
        let at = at.saturating_duration_since(self.0 .0);
        self.0 .1.lock().unwrap().push((at, text.into()));
    }

    /// Prints the lines in order; `run.sh` leads them to `record.txt`.
    pub fn print(&self) {
        let mut lines = self.0 .1.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        for (at, text) in lines {
            println!("{:9.1} ms  {text}", at.as_secs_f64() * 1e3);
        }
    }
}

/// A free address of the loopback interface.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    listener.local_addr().expect("the port has an address")
}

/// Sends a signal to a process that the case started.
pub fn signal(name: &str, pid: u32) {
    let status = Command::new("sh")
        .args(["-c", &format!("kill -{name} {pid}")])
        .status();
    if !status.is_ok_and(|status| status.success()) {
        cannot_run("a signal could not be sent");
    }
}

/// A child process that is killed when it is dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The settings of a small deployment, in the form of the page WIRE and with the figures of `south-holds`.
pub fn settings(classes: &str) -> String {
    format!(
        r#"{{"allowed":{{"cancel":true,"conn_idle_ms":60000.0,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,
"dial_timeout_ms":150.0,"max_attempts":3,"max_retry_after_ms":2000.0,"most_held":20000,"multiplex":100,"peers":false,
"probes":false,"retry_after":true,"second_copies":false}},"az":0,"classes":[{classes}],
"clients":{{"marks_retry":false}},"discovery":"automatic","family":"proxy","kinds":["fast-2c","std-2c"],"me":0,
"n_instances":1,"over_share_worth":0.1,"parties":[],
"rules":{{"answer_slack_ms":20.0,"ask_within_ms":10000.0,"cold_from":0.35,"cold_ms":8800.0,"drain_grace_ms":2000.0,
"tip_after_ms":1500.0,"tip_multiple":3.0}},
"stats":{{"fields":["active","rps","waiting"],"source":"inline"}},"tick_ms":5.0,"tier":0,"tiers":["holds-web"],
"value_by":"request","weights":"live","zones":["hartford","providence","worcester","portland"]}}"#
    )
}

/// The class `hold-place` of `south-holds`, with this effect.
pub fn hold_place(effect: &str) -> String {
    format!(
        r#"{{"deadline_ms":6000.0,"dedup_window_ms":6000.0,"effect":"{effect}","group":"all","late_worth":0.3,
"name":"hold-place","promise_ms":1200.0,"streaming":false,"worth":2.0}}"#
    )
}

/// One entry of discovery's list.
pub fn entry(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"hartford","machineType":"std-2c","cell":1,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// The memory of a process in KiB, without the pages of its program file; `None` once it has ended.
pub fn memory_of(pid: u32) -> Option<usize> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// The node, started by the command of the deploy file.
pub struct Node {
    pub process: Process,
    pub address: SocketAddr,
}

impl Node {
    pub fn start(
        discovery: SocketAddr,
        entries: &[String],
        settings: &str,
        memory_mb: usize,
        sockets: usize,
    ) -> Self {
        let address = free_address();
        let folder = temporary();
        let config = folder.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{{"generation":1,"reset":true,"instances":[{}]}},"settings":{settings}}}"#,
            entries.join(",")
        );
        fs::write(&config, text).expect("write the node's configuration");
        let node_folder = folder.join("node");
        fs::create_dir_all(&node_folder).expect("make the node's folder");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("node.log"))
            .expect("open the node's log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .current_dir(root())
            .env_remove("SILVERTHREAD_CONFIG")
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", &node_folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share the node's log"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            cannot_run("the node does not start")
        };
        let node = Self {
            process: Process(child),
            address,
        };
        node.wait_until_ready();
        node
    }

    /// The node's own memory in KiB; `None` once the process has ended.
    pub fn memory_kib(&self) -> Option<usize> {
        memory_of(self.process.0.id())
    }

    fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let request = "GET /up HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n";
                if stream.write_all(request.as_bytes()).is_ok() {
                    if let Ok(response) = read_response(&mut BufReader::new(stream)) {
                        if response.status == 200 {
                            return;
                        }
                    }
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        cannot_run("the node is not ready after 20 s");
    }
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("read the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next());
    command.expect("the deploy file has `run`").to_owned()
}

struct ListState {
    generation: u64,
    changes: Vec<(u64, String)>,
}

/// A stand-in for discovery's agent: a watch first gets the whole list, then each change, and an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind discovery");
        let address = listener.local_addr().expect("discovery has an address");
        let state = Arc::new((
            Mutex::new(ListState {
                generation: 1,
                changes: vec![],
            }),
            Condvar::new(),
        ));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (entries, shared) = (entries.clone(), Arc::clone(&shared));
                thread::spawn(move || {
                    let _ = serve_watch(stream, &entries, &shared);
                });
            }
        });
        Self { address, state }
    }

    /// Tells a change.
    pub fn change(&self, entry: String) {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        state.changes.push((generation, entry));
        self.state.1.notify_all();
    }
}

fn serve_watch(
    stream: TcpStream,
    entries: &[String],
    shared: &(Mutex<ListState>, Condvar),
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let list = |generation: u64, reset: bool, entries: &str| {
        format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{entries}]}}"#)
    };
    write_chunk(&mut stream, &list(1, true, &entries.join(",")))?;
    let mut told = 1;
    loop {
        let (lock, changed) = shared;
        let state = lock.lock().unwrap();
        let (state, _) = changed
            .wait_timeout_while(state, Duration::from_secs(2), |state| {
                state.generation == told
            })
            .unwrap();
        let news: Vec<String> = state
            .changes
            .iter()
            .filter(|(generation, _)| *generation > told)
            .map(|(_, entry)| entry.clone())
            .collect();
        told = state.generation;
        drop(state);
        if news.is_empty() {
            write_chunk(&mut stream, "")?;
        } else {
            write_chunk(&mut stream, &list(told, false, &news.join(",")))?;
        }
    }
}

fn write_chunk(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// The head of a message: its first line and its headers, names in lower case.
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    /// Whether the message is the last on its connection.
    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a head; `None` if the connection ends before it is complete.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut first_line = String::new();
    reader.read_line(&mut first_line).ok().filter(|n| *n > 0)?;
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            let first_line = first_line.trim_end().to_owned();
            return Some(Head {
                first_line,
                headers,
            });
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Reads a body of either framing to its end; `None` if it is not whole.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = head.header("content-length");
    let length: usize = if length.is_empty() { 0 } else { length.parse().ok()? };
    body.resize(length, 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads a body to its end and drops it; `None` if it is not whole.
pub fn skip_body(reader: &mut impl BufRead, head: &Head) -> Option<()> {
    if !head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        return read_body(reader, head).map(|_| ());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut left = length + 2;
        while left > 0 {
            let available = reader.fill_buf().ok()?.len().min(left);
            if available == 0 {
                return None;
            }
            reader.consume(available);
            left -= available;
        }
        if length == 0 {
            return Some(());
        }
    }
}

/// A whole response.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether it is the last on its connection.
    pub closes: bool,
}

/// Reads a whole response; the error says how it failed.
pub fn read_response(reader: &mut impl BufRead) -> Result<Response, &'static str> {
    let head = read_head(reader).ok_or("no whole head")?;
    let status = head.first_line.split(' ').nth(1);
    let status = status.and_then(|text| text.parse().ok());
    let status = status.ok_or("the head cannot be read")?;
    let body = read_body(reader, &head).ok_or("the body is not whole")?;
    let closes = head.closes();
    Ok(Response {
        status,
        body,
        closes,
    })
}

/// A usual client: one request at a time on a connection that it keeps. If the node closes a resting connection while a
/// request crosses, the client sends it once more on a new one.
pub struct Client {
    node: SocketAddr,
    patience: Duration,
    kept: Option<BufReader<TcpStream>>,
}

impl Client {
    /// `patience` is how long it waits for an answer after its request's last byte.
    pub fn new(node: SocketAddr, patience: Duration) -> Self {
        Self {
            node,
            patience,
            kept: None,
        }
    }

    pub fn send(&mut self, message: &[u8]) -> Result<Response, &'static str> {
        if let Some(mut kept) = self.kept.take() {
            let is_unanswered = kept.get_mut().write_all(message).is_err()
                || kept.fill_buf().is_ok_and(<[u8]>::is_empty)
                || kept.fill_buf().is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
            if !is_unanswered {
                return self.read(kept);
            }
        }
        let mut stream = TcpStream::connect(self.node).map_err(|_| "no connection")?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(self.patience));
        stream.write_all(message).map_err(|_| "the request could not be written")?;
        self.read(BufReader::new(stream))
    }

    fn read(&mut self, mut reader: BufReader<TcpStream>) -> Result<Response, &'static str> {
        let response = read_response(&mut reader)?;
        self.kept = Some(reader).filter(|_| !response.closes);
        Ok(response)
    }
}
