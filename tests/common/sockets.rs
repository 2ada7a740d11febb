//! What the tests of the node share: servers, a discovery and clients on loopback sockets, and the program.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything takes on a machine that is busy, and short enough for a test that fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something is so.
pub fn until(what: &str, mut so: impl FnMut() -> bool) {
    let start = Instant::now();
    while !so() {
        assert!(start.elapsed() < PATIENCE, "it never came to this: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A message as it came: its first line, its headers in lower case, its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one; `None` is an end before its last byte.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut text = String::new();
            from.read_line(&mut text).ok().filter(|n| *n > 0)?;
            Some(text.trim_end().to_owned())
        };
        let first = line()?;
        let mut headers = Vec::new();
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self { first, headers, body: Vec::new() };
        message.body = vec![0; message.header("content-length").map_or(0, |n| n.parse().expect("a length"))];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).expect("a status").parse().expect("a number")
    }
}

/// What a server does with a request.
#[derive(Clone)]
pub enum Reply {
    /// Writes this and keeps the connection.
    Say(Vec<u8>),
    /// Writes this and closes the connection without a word of it.
    SayAndClose(Vec<u8>),
    /// Writes this, and that so much later.
    SayThen(Vec<u8>, Duration, Vec<u8>),
    /// Closes the connection.
    Close,
    /// Says nothing.
    Silence,
}

impl Reply {
    pub fn ok(body: &str) -> Self {
        Self::Say(answer("200 OK", "", body))
    }
}

pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[derive(Default)]
struct Seen {
    requests: Vec<Message>,
    opened: usize,
    closed: usize,
}

/// A server that notes what comes.
pub struct Server {
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl Server {
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (seen, reply) = (Arc::<Mutex<Seen>>::default(), Arc::new(reply));
        let noted = Arc::clone(&seen);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (noted, reply) = (Arc::clone(&noted), Arc::clone(&reply));
                noted.lock().expect("sound").opened += 1;
                thread::spawn(move || {
                    Self::connection(stream, &noted, &*reply);
                    noted.lock().expect("sound").closed += 1;
                });
            }
        });
        Self { address, seen }
    }

    fn connection(mut stream: TcpStream, seen: &Mutex<Seen>, reply: &dyn Fn(&Message) -> Reply) {
        let mut input = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(request) = Message::read(&mut input) {
            seen.lock().expect("sound").requests.push(request.clone());
            match reply(&request) {
                Reply::Say(text) => stream.write_all(&text).unwrap_or_default(),
                Reply::SayAndClose(text) => return stream.write_all(&text).unwrap_or_default(),
                Reply::SayThen(now, after, then) => {
                    stream.write_all(&now).unwrap_or_default();
                    thread::sleep(after);
                    stream.write_all(&then).unwrap_or_default();
                }
                Reply::Close => return,
                Reply::Silence => {}
            }
        }
    }

    pub fn requests(&self) -> Vec<Message> {
        self.seen.lock().expect("sound").requests.clone()
    }

    pub fn opened(&self) -> usize {
        self.seen.lock().expect("sound").opened
    }

    pub fn closed(&self) -> usize {
        self.seen.lock().expect("sound").closed
    }

    /// Its entry in a list.
    pub fn entry(&self, id: &str, lifecycle: &str) -> String {
        entry(id, self.address, lifecycle)
    }
}

pub fn entry(id: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"z","machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

pub fn list(generation: u64, reset: bool, entries: &[String]) -> String {
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

/// An address where nobody listens, nor can another test while this lives: a connection has its port.
pub struct Unreachable {
    pub address: SocketAddr,
    _ends: (TcpListener, TcpStream),
}

impl Unreachable {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        Self { address: stream.local_addr().expect("an address"), _ends: (listener, stream) }
    }
}

/// A discovery whose watch says what it is told to.
pub struct Discovery {
    pub address: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, watches): (Sender<(String, TcpStream)>, _) = channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut input = BufReader::new(stream.try_clone().expect("a socket"));
                let Some(request) = Message::read(&mut input) else { continue };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(head.as_bytes()).is_err() || sender.send((request.first, stream)).is_err()
                {
                    return;
                }
            }
        });
        Self { address, watches }
    }

    /// The next watch that a node opens.
    pub fn watch(&self) -> Watch {
        let (asked, stream) = self.watches.recv_timeout(PATIENCE).expect("a watch");
        Watch { asked, stream }
    }
}

/// An open watch; dropping it ends it.
pub struct Watch {
    /// The first line of the request.
    pub asked: String,
    stream: TcpStream,
}

impl Watch {
    /// Sends text as one chunk, whether or not it is a whole line.
    pub fn say(&mut self, text: &str) {
        self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).expect("an open watch");
    }
}

impl Watch {
    /// Whether the node has ended it.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        match self.stream.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// The settings of the tests: a safe, a keyed and an unsafe class.
pub fn settings(deadline_ms: u64) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"all","dedup_window_ms":60000.0,"promise_ms":{deadline_ms}.0,"deadline_ms":{deadline_ms}.0,"worth":1.0}}"#
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

pub fn config(discovery: SocketAddr, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0f","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}

/// The program, running.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    config: std::path::PathBuf,
}

pub fn write_config(text: &str) -> std::path::PathBuf {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("silverthread-{}-{next}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silverthread"));
    command.env_remove("ROUTER_CONFIG");
    command
}

impl Node {
    pub fn start(config: &str) -> Self {
        let config = write_config(config);
        let mut child =
            program().env("ROUTER_CONFIG", &config).stderr(Stdio::piped()).spawn().expect("it starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a log");
        let address = line.trim_end().rsplit(' ').next().and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| panic!("it did not say where it serves: {line}"));
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|line| println!("{line}")));
        let node = Self { child, address, config };
        until("/up answers 200", || node.ask("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200);
        node
    }

    /// A node that knows these servers, with its discovery and the open watch.
    pub fn with(servers: &[&Server], deadline_ms: u64) -> (Self, Discovery, Watch) {
        let discovery = Discovery::start();
        let entries: Vec<_> =
            servers.iter().enumerate().map(|(i, s)| s.entry(&format!("s-{i}"), "ready")).collect();
        let known = list(1, true, &entries);
        let node = Self::start(&config(discovery.address, &known, &settings(deadline_ms)));
        let watch = discovery.watch();
        (node, discovery, watch)
    }

    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Client { input: BufReader::new(stream) }
    }

    /// The answer to a request on a connection of its own.
    pub fn ask(&self, request: &str) -> Message {
        let mut client = self.connect();
        client.send(request);
        client.answer().expect("an answer")
    }

    /// The answer to a request, asked again for as long as it is refused: a balancer that has measured a machine
    /// which stood still for a while may refuse, and a test of something else must not depend on it.
    pub fn ask_until_taken(&self, request: &str) -> Message {
        let mut answer = self.ask(request);
        until("a request is taken", || {
            if answer.status() == 503 {
                answer = self.ask(request);
            }
            answer.status() != 503
        });
        answer
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces its configuration and tells it so.
    pub fn reload(&self, config: &str) {
        let next = self.config.with_extension("next");
        std::fs::write(&next, config).expect("a file");
        std::fs::rename(&next, &self.config).expect("a file");
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("kill");
        assert!(status.success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let mut ended = None;
        until("the program ends", || {
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
    }
}

pub struct Client {
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn send(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).expect("an open connection");
    }

    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Whether the node has ended the connection.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.input.read(&mut [0; 1]), Ok(0) | Err(_))
    }
}

impl Client {
    /// Whether the node ends the connection with its answer's end, and not with a reset.
    pub fn ends_in_order(&mut self) -> bool {
        matches!(self.input.read(&mut [0; 1]), Ok(0))
    }
}

/// A request of the safe class.
pub fn read(id: &str, deadline: &str) -> String {
    format!("GET /api?key=inn-7 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: read\r\nReq-Deadline: {deadline}\r\n\r\n")
}

/// A request with a body, keyed or not.
pub fn post(id: &str, class: &str, key: &str, body: &str) -> String {
    format!(
        "POST /api?key=inn-7 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Deadline: 15000m\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
