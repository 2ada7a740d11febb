//! A seeded soak of processes that replace one another on one listening socket: they are started, terminated, killed and paused,
//! while clients disconnect, requests fail, and some clients reuse the ids of other requests. The checker reads only what
//! the clients and the servers saw.
//!
//! A few seeds run here. `SOAK_SEEDS=100..150 cargo test --release --test replacement_soak` runs others.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use testkit::*;

/// Seeds of a run without `SOAK_SEEDS`.
const DEFAULT_SEEDS: Range<u64> = 1..9;
const RUN_TIME: Duration = Duration::from_secs(6);
const SERVERS: usize = 3;
const CLIENTS: usize = 10;
const MAX_PROCESSES: usize = 3;
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Shortest time that a server works on a slow request, and within which clients leave.
const SLOW_WORK: Duration = Duration::from_millis(300);
/// Longest time for which a process is stopped.
const MAX_STOP: Duration = Duration::from_millis(400);
/// Time between the moment at which a node has written a response and the moment at which its client has noted it.
const CLIENT_DELAY: Duration = Duration::from_millis(200);
/// Minimum numbers below which a run provokes too little.
const MIN_SERVED: usize = 100;
const MIN_REPEATED: usize = 50;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What is known of a request id.
#[derive(Clone, Debug, Default)]
struct IdRecord {
    /// Whether it is of the class whose requests run only once. A node may itself send keyed ones again.
    runs_once: bool,
    /// When servers began to run it.
    runs: Vec<Instant>,
    /// When clients had got complete responses of servers, or left so late that one may have been written to their connections.
    served: Vec<Instant>,
    /// How often it was sent.
    sent: usize,
}

/// One seed's run.
struct Run {
    seed: u64,
    records: Mutex<HashMap<String, IdRecord>>,
    /// The ids that were sent last, with their classes.
    recent: Mutex<Vec<(String, &'static str)>>,
    next_id: AtomicU64,
    is_over: AtomicBool,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            records: Mutex::default(),
            recent: Mutex::default(),
            next_id: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
        }
    }

    fn random(&self, stream: u64) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed.wrapping_mul(0x9e37_79b9) ^ stream)
    }

    /// A new id, or one that was sent a moment ago.
    fn choose_id(&self, random: &mut fastrand::Rng) -> (String, &'static str) {
        let mut recent = lock(&self.recent);
        if !recent.is_empty() && random.usize(0..3) == 0 {
            return recent[random.usize(0..recent.len())].clone();
        }
        let class = ["pay", "pay", "hold", "read"][random.usize(0..4)];
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{}-{number}", self.seed);
        recent.push((id.clone(), class));
        if recent.len() > 20 {
            recent.remove(0);
        }
        lock(&self.records).entry(id.clone()).or_default().runs_once = class == "pay";
        (id, class)
    }

    fn record(&self, id: &str, update: impl FnOnce(&mut IdRecord)) {
        update(lock(&self.records).entry(id.to_owned()).or_default());
    }
}

fn start_server(run: &Arc<Run>) -> Server {
    let run = Arc::clone(run);
    Server::start(move |request| {
        let id = request.header("req-id").unwrap_or_default().to_owned();
        run.record(&id, |record| record.runs.push(Instant::now()));
        thread::sleep(work_on(&id));
        match number_of(&id) % 20 {
            0 => Reply::Close,
            1 => Reply::Send(response("500 Internal Server Error", "", "")),
            _ => Reply::ok(&id),
        }
    })
    .without_recording()
}

fn number_of(id: &str) -> u64 {
    let number = id.rsplit_once('-').and_then(|(_, text)| text.parse().ok());
    number.expect("an id ends with its number")
}

/// Time that a server works on a request.
fn work_on(id: &str) -> Duration {
    let mut random = fastrand::Rng::with_seed(number_of(id));
    if is_slow(id) {
        SLOW_WORK + Duration::from_millis(random.u64(0..900))
    } else {
        Duration::from_millis(random.u64(1..60))
    }
}

fn is_slow(id: &str) -> bool {
    number_of(id) % 3 == 0
}

fn message(id: &str, class: &str) -> String {
    let deadline = format!("{}m", TIMEOUT.as_millis());
    match class {
        "read" => read_request(id, &deadline),
        "hold" => post_request(id, class, &format!("Idempotency-Key: {id}\r\n"), "x")
            .replace("15000m", &deadline),
        _ => post_request(id, class, "", "x").replace("15000m", &deadline),
    }
}

/// Sends requests one after the other, on new and reused connections, and disconnects during some of them.
fn run_client(run: &Run, node: SocketAddr, number: u64) {
    let mut random = run.random(number);
    let mut kept = None;
    while !run.is_over.load(Ordering::SeqCst) {
        let (id, class) = run.choose_id(&mut random);
        let stream = kept.take().or_else(|| TcpStream::connect(node).ok());
        kept = stream.and_then(|stream| send_request(run, stream, &id, class, &mut random));
        thread::sleep(Duration::from_millis(random.u64(0..20)));
    }
}

/// Sends a request. Returns the connection if it can be used again.
fn send_request(
    run: &Run,
    mut stream: TcpStream,
    id: &str,
    class: &str,
    random: &mut fastrand::Rng,
) -> Option<TcpStream> {
    run.record(id, |record| record.sent += 1);
    stream.write_all(message(id, class).as_bytes()).ok()?;
    if is_slow(id) && random.usize(0..2) == 0 {
        let sent_at = Instant::now();
        thread::sleep(Duration::from_millis(random.u64(0..100)));
        drop(stream);
        if sent_at.elapsed() >= SLOW_WORK {
            run.record(id, |record| record.served.push(Instant::now()));
        }
        return None;
    }
    stream.set_read_timeout(Some(2 * TIMEOUT)).ok()?;
    let response = Message::read(&mut BufReader::new(&stream))?;
    if response.status() == 200 {
        run.record(id, |record| record.served.push(Instant::now()));
    }
    let is_kept = random.bool() && response.header("connection") != Some("close");
    is_kept.then_some(stream)
}

/// Starts, ends, kills and stops processes until the time of the run is over. At least one of them always accepts.
fn replace_processes(run: &Run, config: &str, listener: &TcpListener, first: Node) -> usize {
    let mut random = run.random(2_000);
    let mut processes = vec![first];
    let mut ended = Vec::new();
    let started_at = Instant::now();
    while started_at.elapsed() < RUN_TIME {
        thread::sleep(Duration::from_millis(random.u64(20..400)));
        if processes.len() < MAX_PROCESSES && random.bool() {
            processes.push(Node::start_on(config, listener));
            continue;
        }
        if processes.len() < 2 {
            continue;
        }
        let index = random.usize(0..processes.len());
        match random.usize(0..4) {
            0 => {
                let killed = processes.remove(index);
                killed.signal(Signal::KILL);
                ended.push(killed);
            }
            1 => {
                processes[index].signal(Signal::STOP);
                thread::sleep(MAX_STOP.mul_f64(random.f64()));
                processes[index].signal(Signal::CONT);
            }
            2 => {
                // It is stopped while it shuts down.
                let stopped = processes.remove(index);
                stopped.terminate();
                stopped.signal(Signal::STOP);
                thread::sleep(MAX_STOP.mul_f64(random.f64()));
                stopped.signal(Signal::CONT);
                ended.push(stopped);
            }
            _ => {
                let replaced = processes.remove(index);
                replaced.terminate();
                ended.push(replaced);
            }
        }
    }
    run.is_over.store(true, Ordering::SeqCst);
    ended.len()
}

/// Whether an id ran although an earlier run of it may have had an effect that its clients do not know of.
fn ran_again(record: &IdRecord) -> bool {
    let mut runs = record.runs.clone();
    let mut served = record.served.clone();
    runs.sort();
    served.sort();
    // Before each run but the first, a client had got the response of the run before.
    runs.iter().skip(1).enumerate().any(|(index, run)| {
        let responses_before = served.iter().filter(|at| **at < *run + CLIENT_DELAY);
        responses_before.count() <= index
    })
}

fn check_run(run: &Run, ended: usize) -> Vec<String> {
    let records = lock(&run.records).clone();
    let served: usize = records.values().map(|record| record.served.len()).sum();
    let repeated = records.values().filter(|record| record.sent > 1).count();
    let once = records.iter().filter(|(_, record)| record.runs_once);
    let broken: Vec<_> = once.filter(|(_, record)| ran_again(record)).collect();
    eprintln!(
        "seed {}: {} ids, {served} served, {repeated} sent again, {ended} processes ended, {} ran again",
        run.seed,
        records.len(),
        broken.len()
    );
    let mut failures: Vec<_> = broken
        .iter()
        .map(|(id, record)| format!("seed {}: {id} ran again: {record:?}", run.seed))
        .collect();
    if served < MIN_SERVED || repeated < MIN_REPEATED || ended == 0 {
        failures.push(format!("seed {}: the run provoked too little", run.seed));
    }
    failures
}

/// Runs one seed. Returns the broken rules.
fn run_seed(seed: u64) -> Vec<String> {
    let run = Arc::new(Run::new(seed));
    let servers: Vec<_> = (0..SERVERS).map(|_| start_server(&run)).collect();
    let discovery = Discovery::start();
    let endpoints = ready_servers(servers.iter().map(|server| server.address));
    let settings = settings(TIMEOUT.as_millis() as u64);
    let text = config(discovery.address, &endpoints, &settings);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let first = Node::start_on(&text, &listener);
    let address = first.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let run = Arc::clone(&run);
            thread::spawn(move || run_client(&run, address, number as u64))
        })
        .collect();
    let ended = replace_processes(&run, &text, &listener, first);
    for client in clients {
        client.join().expect("the client does not panic");
    }
    check_run(&run, ended)
}

/// Guards against requests that run twice while processes replace one another, end, are killed and hang.
#[test]
fn ids_run_once_while_processes_are_replaced_under_seeded_faults() {
    let broken = run_seeds(DEFAULT_SEEDS, run_seed);
    assert!(broken.is_empty(), "{}: {broken:#?}", broken.len());
}
