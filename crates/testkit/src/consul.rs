//! A stand-in for a Consul agent, written from the published HTTP API pages. It holds one catalogue in memory, answers
//! blocking queries, and lags, lies, forgets and vanishes as it is told.
//!
//! What it speaks: `/v1/health/service/:name` (with `passing`), `/v1/catalog/service/:name`, `/v1/catalog/services`,
//! `/v1/status/leader`, `/v1/agent/self`, and of the agent API `service/register`, `service/deregister/:id`,
//! `service/maintenance/:id`, `maintenance` and `check/update/:id`. Of the query parameters `index`, `wait`, `tag`,
//! `stale`, `consistent` and `cached`; others are passed over. One node, one datacenter, no ACLs but one token.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::message::Message;

/// Worlds that are kept for an agent that lags.
const MOST_WORLDS: usize = 4_096;
/// How long a query blocks where it does not say, and at the most (as the API pages have it).
const WAIT: [Duration; 2] = [Duration::from_secs(300), Duration::from_secs(600)];
/// Pieces of an answer that has no end: some hundred MB. A client that takes them all is a test that fails.
const MOST_PIECES: usize = 10_000;
/// How often an agent that lags looks whether a later world is due.
const LOOK: Duration = Duration::from_millis(5);

/// An instance of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The service's id.
    pub id: String,
    /// The service's name.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its tags.
    pub tags: Vec<String>,
    /// Its meta data.
    pub meta: BTreeMap<String, String>,
    /// Its weights while it passes and while it warns.
    pub weights: (u32, u32),
    /// Its checks: id and status.
    pub checks: BTreeMap<String, String>,
    create_index: u64,
    modify_index: u64,
}

impl Instance {
    /// An instance with one check that passes.
    #[must_use]
    pub fn new(service: &str, id: &str, address: SocketAddr) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            address,
            tags: Vec::new(),
            meta: BTreeMap::new(),
            weights: (1, 1),
            checks: BTreeMap::from([(format!("service:{id}"), "passing".to_owned())]),
            create_index: 0,
            modify_index: 0,
        }
    }

    /// Whether it is in maintenance mode.
    #[must_use]
    pub fn is_in_maintenance(&self) -> bool {
        self.checks.keys().any(|id| id.contains("_maintenance"))
    }

    fn is_passing(&self) -> bool {
        self.checks.values().all(|status| status == "passing")
    }

    fn service_json(&self) -> Value {
        json!({
            "ID": self.id, "Service": self.service, "Tags": self.tags, "Meta": self.meta,
            "Address": self.address.ip().to_string(), "Port": self.address.port(),
            "TaggedAddresses": {"lan": {"Address": self.address.ip().to_string(), "Port": self.address.port()}},
            "Weights": {"Passing": self.weights.0, "Warning": self.weights.1},
            "EnableTagOverride": false, "Namespace": "default", "Datacenter": "dc1",
            "CreateIndex": self.create_index, "ModifyIndex": self.modify_index,
        })
    }

    fn health_json(&self) -> String {
        let check = |(id, status): (&String, &String)| {
            let service = if id == "_node_maintenance" {
                ""
            } else {
                &self.id
            };
            json!({
                "Node": "stand-in", "CheckID": id, "Name": id, "Status": status, "Notes": "", "Output": "",
                "ServiceID": service, "ServiceName": self.service, "ServiceTags": self.tags, "Type": "ttl",
                "Definition": {}, "CreateIndex": self.create_index, "ModifyIndex": self.modify_index,
            })
        };
        let checks: Vec<_> = self.checks.iter().map(check).collect();
        json!({"Node": node_json(), "Service": self.service_json(), "Checks": checks}).to_string()
    }

    fn catalog_json(&self) -> String {
        json!({
            "ID": "40e4a748-2192-161a-0510-9bf59fe950b5", "Node": "stand-in", "Address": "127.0.0.1",
            "Datacenter": "dc1", "TaggedAddresses": {"lan": "127.0.0.1"}, "NodeMeta": {},
            "ServiceID": self.id, "ServiceName": self.service, "ServiceTags": self.tags, "ServiceMeta": self.meta,
            "ServiceAddress": self.address.ip().to_string(), "ServicePort": self.address.port(),
            "ServiceWeights": {"Passing": self.weights.0, "Warning": self.weights.1},
            "ServiceEnableTagOverride": false, "Namespace": "default",
            "CreateIndex": self.create_index, "ModifyIndex": self.modify_index,
        })
        .to_string()
    }
}

fn node_json() -> Value {
    json!({
        "ID": "40e4a748-2192-161a-0510-9bf59fe950b5", "Node": "stand-in", "Address": "127.0.0.1",
        "Datacenter": "dc1", "TaggedAddresses": {"lan": "127.0.0.1"}, "Meta": {}, "CreateIndex": 1, "ModifyIndex": 1,
    })
}

/// An instance with its words, which are made once.
#[derive(Debug)]
struct Held {
    instance: Instance,
    health: String,
    catalog: String,
}

/// The catalogue at an index.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// The index.
    pub index: u64,
    instances: BTreeMap<String, Arc<Held>>,
}

impl Catalogue {
    /// The same at another index.
    #[must_use]
    pub fn at_index(self, index: u64) -> Self {
        Self { index, ..self }
    }

    /// The instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values().map(|held| &held.instance)
    }
}

/// What an agent does to its answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It answers with this status.
    Status(u16),
    /// It ends the connection after so many bytes of the body.
    Cut(usize),
    /// It reads the query and never answers.
    Never,
    /// Its answer has no end.
    Endless,
    /// Its answer has this body.
    Body(String),
    /// It answers at once, whatever the index.
    AtOnce,
    /// It tells this index.
    Index(u64),
    /// It knows no leader.
    NoLeader,
    /// It heard of the leader so many milliseconds ago.
    LastContact(u64),
    /// It answers from a cache of so many seconds.
    Cached(u64),
}

/// What was told of an instance in an answer that was written whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Before its first byte was written, and after its last.
    pub at: (Instant, Instant),
    /// The answer's index.
    pub index: u64,
    /// Whether the answer was as a sound agent's.
    pub sound: bool,
    /// The ids of the instances in maintenance mode.
    pub draining: Vec<String>,
    /// The ids of the others.
    pub others: Vec<String>,
}

#[derive(Default)]
struct State {
    worlds: VecDeque<(Option<Instant>, Arc<Catalogue>)>,
    fault: Fault,
    lag: Duration,
    vanished: bool,
    token: Option<String>,
    queries: Vec<String>,
    asked: usize,
    told: Vec<Told>,
    noting: bool,
    open: Vec<TcpStream>,
}

impl State {
    fn newest(&self) -> &Arc<Catalogue> {
        &self.worlds.back().expect("there is always a world").1
    }

    /// The world as the agent has it: of a while ago, where it lags.
    fn seen(&self) -> &Arc<Catalogue> {
        let due = |(at, _): &&(Option<Instant>, Arc<Catalogue>)| {
            at.is_none_or(|at| at.elapsed() >= self.lag)
        };
        let seen = self.worlds.iter().rev().find(due).or(self.worlds.front());
        &seen.expect("there is always a world").1
    }
}

/// An agent.
#[derive(Clone)]
pub struct Consul {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Consul {
    /// An agent with an empty catalogue, on a port that the system gives.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into()).expect("a port")
    }

    /// An agent at an address.
    ///
    /// # Errors
    ///
    /// It cannot listen there.
    pub fn start_at(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let mut state = State {
            noting: true,
            ..State::default()
        };
        state.worlds.push_back((
            None,
            Arc::new(Catalogue {
                index: 1,
                ..Catalogue::default()
            }),
        ));
        let consul = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = consul.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if serving.state().vanished {
                    continue; // Dropped: the connection ends.
                }
                let copy = stream.try_clone().expect("a socket");
                serving.state().open.push(copy);
                let consul = serving.clone();
                thread::spawn(move || consul.connection(stream));
            }
        });
        Ok(consul)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("sound")
    }

    /// Changes the catalogue by one index.
    pub fn change(&self, change: impl FnOnce(&mut Editor<'_>)) {
        let mut state = self.state();
        let mut next = Catalogue::clone(state.newest());
        next.index += 1;
        change(&mut Editor(&mut next));
        state
            .worlds
            .push_back((Some(Instant::now()), Arc::new(next)));
        if state.worlds.len() > MOST_WORLDS {
            state.worlds.pop_front();
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Registers an instance, or registers it anew.
    pub fn register(&self, instance: Instance) {
        self.change(|catalogue| catalogue.put(instance));
    }

    /// Removes an instance.
    pub fn deregister(&self, id: &str) {
        self.change(|catalogue| catalogue.remove(id));
    }

    /// Sets the status of an instance's own check.
    pub fn set_status(&self, id: &str, status: &str) {
        self.change(|catalogue| {
            catalogue.edit(id, |instance| {
                instance
                    .checks
                    .insert(format!("service:{id}"), status.into());
            });
        });
    }

    /// Puts an instance into maintenance mode or takes it out.
    pub fn set_maintenance(&self, id: &str, on: bool) {
        self.change(|catalogue| {
            catalogue.edit(id, |instance| {
                let check = format!("_service_maintenance:{id}");
                if on {
                    instance.checks.insert(check, "critical".into());
                } else {
                    instance.checks.remove(&check);
                }
            });
        });
    }

    /// The catalogue as it stands.
    #[must_use]
    pub fn catalogue(&self) -> Catalogue {
        Catalogue::clone(self.state().newest())
    }

    /// Takes a catalogue, of another time or another agent, as it is.
    pub fn restore(&self, catalogue: Catalogue) {
        let mut state = self.state();
        state.worlds.clear();
        state.worlds.push_back((None, Arc::new(catalogue)));
        drop(state);
        self.shared.1.notify_all();
    }

    /// What it does to its answers from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
        self.shared.1.notify_all();
    }

    /// How far it is behind from now on.
    pub fn set_lag(&self, lag: Duration) {
        self.state().lag = lag;
    }

    /// It ends all connections and takes no more, or comes back.
    pub fn set_vanished(&self, vanished: bool) {
        let mut state = self.state();
        state.vanished = vanished;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both); // One that has ended is what is wanted.
        }
    }

    /// Queries must bring this token.
    pub fn want_token(&self, token: &str) {
        self.state().token = Some(token.into());
    }

    /// The request lines that came, in their order.
    #[must_use]
    pub fn queries(&self) -> Vec<String> {
        self.state().queries.clone()
    }

    /// How many requests have come.
    #[must_use]
    pub fn asked(&self) -> usize {
        self.state().asked
    }

    /// What its answers told, in their order.
    #[must_use]
    pub fn told(&self) -> Vec<Told> {
        self.state().told.clone()
    }

    /// Notes neither queries nor answers any more: for long runs.
    pub fn note_nothing(&self) {
        self.state().noting = false;
    }

    fn connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true); // It only makes answers come sooner.
        let mut input = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(request) = Message::read(&mut input) {
            let mut state = self.state();
            state.asked += 1;
            if state.noting {
                state.queries.push(request.first.clone());
            }
            let allowed = state
                .token
                .as_ref()
                .is_none_or(|token| request.header("x-consul-token") == Some(token));
            drop(state);
            let goes_on = if allowed {
                self.answer(&mut stream, &request)
            } else {
                write_answer(&mut stream, "403 Forbidden", "", b"Permission denied")
            };
            if !goes_on {
                let _ = stream.shutdown(Shutdown::Both); // The client sees the end either way.
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let mut words = request.first.split(' ');
        let (method, target) = (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        );
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: Vec<_> = query
            .split('&')
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
            .collect();
        let path: Vec<_> = path
            .trim_start_matches("/v1/")
            .split('/')
            .map(decode)
            .collect();
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        match (method, path.as_slice()) {
            ("GET", ["health" | "catalog", "service", service]) => {
                self.list(stream, path[0] == "health", service, &query)
            }
            ("GET", ["catalog", "services"]) => {
                let mut services = BTreeMap::<_, Vec<String>>::new();
                let catalogue = self.catalogue();
                for instance in catalogue.instances() {
                    services
                        .entry(&instance.service)
                        .or_default()
                        .extend(instance.tags.clone());
                }
                let body = json!(services).to_string();
                write_answer(
                    stream,
                    "200 OK",
                    &head(&Fault::None, catalogue.index),
                    body.as_bytes(),
                )
            }
            ("GET", ["status", "leader"]) => {
                write_answer(stream, "200 OK", "", b"\"127.0.0.1:8300\"")
            }
            ("GET", ["agent", "self"]) => {
                let body = json!({"Config": {"Datacenter": "dc1", "NodeName": "stand-in", "Server": true}});
                write_answer(stream, "200 OK", "", body.to_string().as_bytes())
            }
            ("PUT", ["agent", rest @ ..]) => {
                let done = self.agent(rest, &query, &request.body);
                write_answer(
                    stream,
                    if done { "200 OK" } else { "400 Bad Request" },
                    "",
                    b"",
                )
            }
            _ => write_answer(stream, "404 Not Found", "", b"no such page"),
        }
    }

    /// The agent API, for trying things. `false`: it makes no sense.
    fn agent(&self, path: &[&str], query: &[(&str, &str)], body: &[u8]) -> bool {
        let enable = query.contains(&("enable", "true"));
        match path {
            ["service", "register"] => {
                let instance = serde_json::from_slice(body)
                    .ok()
                    .and_then(|body| registration(&body));
                instance.map(|instance| self.register(instance)).is_some()
            }
            ["service", "deregister", id] => {
                self.deregister(id);
                true
            }
            ["service", "maintenance", id] => {
                self.set_maintenance(id, enable);
                true
            }
            ["maintenance"] => {
                self.change(|catalogue| catalogue.node_maintenance(enable));
                true
            }
            ["check", "update", check] => {
                let body: Value = serde_json::from_slice(body).unwrap_or_default();
                let status = body["Status"].as_str().unwrap_or_default().to_owned();
                let Some(id) = check.strip_prefix("service:") else {
                    return false;
                };
                self.set_status(id, &status);
                matches!(status.as_str(), "passing" | "warning" | "critical")
            }
            _ => false,
        }
    }

    fn list(
        &self,
        stream: &mut TcpStream,
        health: bool,
        service: &str,
        query: &[(&str, &str)],
    ) -> bool {
        let value = |name: &str| {
            query
                .iter()
                .find(|(n, _)| *n == name)
                .map(|(_, value)| *value)
        };
        let index = value("index")
            .and_then(|index| index.parse().ok())
            .unwrap_or(0);
        let wait = value("wait")
            .and_then(duration)
            .unwrap_or(WAIT[0])
            .min(WAIT[1]);
        let Some((fault, catalogue)) = self.block(index, wait) else {
            return false;
        };
        let tags: Vec<_> = query
            .iter()
            .filter(|(name, _)| *name == "tag")
            .map(|(_, tag)| decode(tag))
            .collect();
        let wanted = |held: &&Arc<Held>| {
            let instance = &held.instance;
            instance.service == service
                && tags.iter().all(|tag| instance.tags.contains(tag))
                && (value("passing").is_none() || instance.is_passing())
        };
        let found: Vec<_> = catalogue.instances.values().filter(wanted).collect();
        let texts = found
            .iter()
            .map(|held| if health { &held.health } else { &held.catalog });
        let body = match &fault {
            Fault::Body(body) => body.clone(),
            _ => format!(
                "[{}]",
                texts.map(String::as_str).collect::<Vec<_>>().join(",")
            ),
        };
        let head = head(&fault, catalogue.index);
        match fault {
            Fault::Status(status) => {
                write_answer(stream, &format!("{status} Trouble"), &head, b"trouble")
            }
            Fault::Cut(at) => {
                let whole = format!(
                    "HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all(whole.as_bytes()); // The connection ends either way.
                let _ = stream.write_all(&body.as_bytes()[..at.min(body.len().saturating_sub(1))]);
                false
            }
            Fault::Endless => {
                let begun = format!("HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n[");
                let one = format!(
                    "{},",
                    found.first().map_or("{}", |held| held.health.as_str())
                )
                .repeat(64);
                let mut goes_on = stream.write_all(begun.as_bytes()).is_ok();
                for _ in 0..MOST_PIECES {
                    goes_on = goes_on && stream.write_all(one.as_bytes()).is_ok();
                }
                false
            }
            fault => {
                let begun = Instant::now();
                let whole = write_answer(stream, "200 OK", &head, body.as_bytes());
                self.note(whole.then_some(begun), &fault, &catalogue, &found);
                whole
            }
        }
    }

    fn note(
        &self,
        begun: Option<Instant>,
        fault: &Fault,
        catalogue: &Catalogue,
        found: &[&Arc<Held>],
    ) {
        let mut state = self.state();
        let noted = begun.filter(|_| state.noting && !matches!(fault, Fault::Body(_)));
        let Some(begun) = noted else { return };
        let ids = |draining: bool| {
            let some = found
                .iter()
                .filter(|held| held.instance.is_in_maintenance() == draining);
            some.map(|held| held.instance.id.clone()).collect()
        };
        let told = Told {
            at: (begun, Instant::now()),
            index: catalogue.index,
            sound: matches!(fault, Fault::None | Fault::AtOnce),
            draining: ids(true),
            others: ids(false),
        };
        state.told.push(told);
    }

    /// Waits until the world as it is seen is newer than `index`, or the wait is over. `None`: there is no answer.
    fn block(&self, index: u64, wait: Duration) -> Option<(Fault, Arc<Catalogue>)> {
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let now = Instant::now();
            let seen = Arc::clone(state.seen());
            let answers = match state.fault {
                _ if state.vanished => return None,
                Fault::Never => false,
                Fault::None | Fault::NoLeader | Fault::LastContact(_) | Fault::Cached(_) => {
                    seen.index > index || now >= end
                }
                _ => true,
            };
            if answers {
                return Some((state.fault.clone(), seen));
            }
            let look = if state.lag.is_zero() {
                Duration::from_millis(200)
            } else {
                LOOK
            };
            let left = end
                .saturating_duration_since(now)
                .clamp(Duration::from_millis(1), look);
            state = self.shared.1.wait_timeout(state, left).expect("sound").0;
        }
    }
}

/// Changes a catalogue.
pub struct Editor<'a>(&'a mut Catalogue);

impl Editor<'_> {
    /// Puts an instance in, or in place of the one of its id.
    pub fn put(&mut self, mut instance: Instance) {
        let before = self.0.instances.get(&instance.id);
        instance.create_index = before.map_or(self.0.index, |before| before.instance.create_index);
        instance.modify_index = self.0.index;
        let (health, catalog) = (instance.health_json(), instance.catalog_json());
        let id = instance.id.clone();
        self.0.instances.insert(
            id,
            Arc::new(Held {
                instance,
                health,
                catalog,
            }),
        );
    }

    /// Takes an instance out.
    pub fn remove(&mut self, id: &str) {
        self.0.instances.remove(id);
    }

    /// Changes an instance, where it is there.
    pub fn edit(&mut self, id: &str, edit: impl FnOnce(&mut Instance)) {
        if let Some(held) = self.0.instances.get(id) {
            let mut instance = held.instance.clone();
            edit(&mut instance);
            self.put(instance);
        }
    }

    /// Takes all instances out.
    pub fn clear(&mut self) {
        self.0.instances.clear();
    }

    fn node_maintenance(&mut self, on: bool) {
        let ids: Vec<_> = self.0.instances.keys().cloned().collect();
        for id in ids {
            self.edit(&id, |instance| {
                if on {
                    instance
                        .checks
                        .insert("_node_maintenance".into(), "critical".into());
                } else {
                    instance.checks.remove("_node_maintenance");
                }
            });
        }
    }
}

fn registration(body: &Value) -> Option<Instance> {
    let name = body["Name"].as_str()?;
    let id = body["ID"].as_str().unwrap_or(name);
    let address = body["Address"]
        .as_str()
        .unwrap_or("127.0.0.1")
        .parse()
        .ok()?;
    let port = u16::try_from(body["Port"].as_u64()?).ok()?;
    let mut instance = Instance::new(name, id, SocketAddr::new(address, port));
    let tags = body["Tags"].as_array().into_iter().flatten();
    instance.tags = tags
        .filter_map(|tag| tag.as_str().map(str::to_owned))
        .collect();
    let meta = body["Meta"].as_object().into_iter().flatten();
    instance.meta = meta
        .filter_map(|(k, v)| Some((k.clone(), v.as_str()?.to_owned())))
        .collect();
    Some(instance)
}

fn head(fault: &Fault, index: u64) -> String {
    let index = if let Fault::Index(index) = fault {
        *index
    } else {
        index
    };
    let leader = *fault != Fault::NoLeader;
    let contact = if let Fault::LastContact(ms) = fault {
        *ms
    } else {
        0
    };
    let cached = match fault {
        Fault::Cached(age) => format!("X-Cache: HIT\r\nAge: {age}\r\n"),
        _ => String::new(),
    };
    format!(
        "Content-Type: application/json\r\nX-Consul-Index: {index}\r\nX-Consul-KnownLeader: {leader}\r\n\
         X-Consul-LastContact: {contact}\r\n{cached}"
    )
}

fn write_answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

/// A duration as Go words one: a number and one unit.
fn duration(text: &str) -> Option<Duration> {
    let unit = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let number: f64 = text[..unit].parse().ok()?;
    let seconds = match &text[unit..] {
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * seconds).ok()
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let [first, more @ ..] = rest {
        rest = more;
        let hex = (*first == b'%').then(|| more.get(..2)).flatten();
        let byte = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        if byte.is_some() {
            rest = &more[2..];
        }
        bytes.push(byte.unwrap_or(*first));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
