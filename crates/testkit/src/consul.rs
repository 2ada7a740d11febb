//! A fake Consul agent, written from the published HTTP API pages. It holds one catalog in memory, answers blocking
//! queries, and lags, responds wrongly, loses its data and becomes unreachable on request.
//!
//! What it implements: `/v1/health/service/:name` (with `passing`), `/v1/catalog/service/:name`, `/v1/catalog/services`,
//! `/v1/status/leader`, `/v1/agent/self`, and of the agent API `service/register`, `service/deregister/:id`,
//! `service/maintenance/:id`, `maintenance` and `check/update/:id`. Of the query parameters `index`, `wait`, `tag`,
//! `stale`, `consistent` and `cached`; others are ignored. One node, one datacenter, no ACLs but one token.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::message::Message;

/// Versions of the catalog that are kept for an agent that lags.
const MAX_VERSIONS: usize = 4_096;
/// How long a query blocks if it does not say (as the API pages have it).
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// The longest wait that a query may ask for (as the API pages have it).
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Pieces of a response without an end: some hundred MB. A client that receives them all fails its test.
const MAX_PIECES: usize = 10_000;
/// How often an agent that lags checks whether a later version is due.
const LAG_POLL_INTERVAL: Duration = Duration::from_millis(5);

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
    /// Its metadata.
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
                "Node": "fake", "CheckID": id, "Name": id, "Status": status, "Notes": "", "Output": "",
                "ServiceID": service, "ServiceName": self.service, "ServiceTags": self.tags, "Type": "ttl",
                "Definition": {}, "CreateIndex": self.create_index, "ModifyIndex": self.modify_index,
            })
        };
        let checks: Vec<_> = self.checks.iter().map(check).collect();
        json!({"Node": node_json(), "Service": self.service_json(), "Checks": checks}).to_string()
    }

    fn catalog_json(&self) -> String {
        json!({
            "ID": "40e4a748-2192-161a-0510-9bf59fe950b5", "Node": "fake", "Address": "127.0.0.1",
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
        "ID": "40e4a748-2192-161a-0510-9bf59fe950b5", "Node": "fake", "Address": "127.0.0.1",
        "Datacenter": "dc1", "TaggedAddresses": {"lan": "127.0.0.1"}, "Meta": {}, "CreateIndex": 1, "ModifyIndex": 1,
    })
}

/// An instance with its JSON, which is built once.
#[derive(Debug)]
struct RegisteredInstance {
    instance: Instance,
    health: String,
    catalog: String,
}

/// The catalog at an index.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The index.
    pub index: u64,
    instances: BTreeMap<String, Arc<RegisteredInstance>>,
}

impl Catalog {
    /// The same catalog at another index.
    #[must_use]
    pub fn at_index(self, index: u64) -> Self {
        Self { index, ..self }
    }

    /// The instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances
            .values()
            .map(|registered| &registered.instance)
    }
}

/// What an agent does to its responses.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It responds with this status.
    Status(u16),
    /// It closes the connection after so many bytes of the body.
    Truncate(usize),
    /// It reads the query and never responds.
    Never,
    /// Its response has no end.
    Endless,
    /// Its response has this body.
    Body(String),
    /// It responds at once, whatever the index.
    Immediate,
    /// It returns this index.
    Index(u64),
    /// It knows no leader.
    NoLeader,
    /// It was in contact with the leader so many milliseconds ago.
    LastContact(u64),
    /// It responds from a cache of this age, in seconds.
    Cached(u64),
}

/// A response that was written completely.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedResponse {
    /// Before its first byte was written.
    pub started_at: Instant,
    /// After its last byte was written.
    pub completed_at: Instant,
    /// The index of its catalog.
    pub index: u64,
    /// The ids of the instances in maintenance mode.
    pub draining: Vec<String>,
    /// The ids of the others.
    pub others: Vec<String>,
}

/// The catalog since a time; `None`: from the beginning.
struct Version {
    since: Option<Instant>,
    catalog: Arc<Catalog>,
}

#[derive(Default)]
struct State {
    versions: VecDeque<Version>,
    fault: Fault,
    lag: Duration,
    is_unreachable: bool,
    token: Option<String>,
    queries: Vec<String>,
    query_count: usize,
    responses: Vec<RecordedResponse>,
    is_recording: bool,
    connections: Vec<TcpStream>,
}

impl State {
    fn newest(&self) -> &Arc<Catalog> {
        &self
            .versions
            .back()
            .expect("there is always a version")
            .catalog
    }

    /// The catalog as the agent sees it: an earlier version, if it lags.
    fn visible(&self) -> &Arc<Catalog> {
        let is_visible = |version: &&Version| {
            version
                .since
                .is_none_or(|since| since.elapsed() >= self.lag)
        };
        let visible = self.versions.iter().rev().find(is_visible);
        let visible = visible.or(self.versions.front());
        &visible.expect("there is always a version").catalog
    }
}

/// A fake agent. Clones are handles to the same one.
#[derive(Clone)]
pub struct Consul {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Consul {
    /// Starts an agent with an empty catalog on a free port.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into()).expect("a port")
    }

    /// Starts an agent at an address.
    ///
    /// # Errors
    ///
    /// It cannot listen there.
    pub fn start_at(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let mut state = State {
            is_recording: true,
            ..State::default()
        };
        state.versions.push_back(Version {
            since: None,
            catalog: Arc::new(Catalog {
                index: 1,
                ..Catalog::default()
            }),
        });
        let consul = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = consul.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if serving.state().is_unreachable {
                    continue; // Dropping the stream closes it.
                }
                let copy = stream.try_clone().expect("a socket");
                serving.state().connections.push(copy);
                let consul = serving.clone();
                thread::spawn(move || consul.connection(stream));
            }
        });
        Ok(consul)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .0
            .lock()
            .expect("no thread panics with the lock")
    }

    /// Changes the catalog by one index.
    pub fn change(&self, change: impl FnOnce(&mut CatalogEditor<'_>)) {
        let mut state = self.state();
        let mut next = Catalog::clone(state.newest());
        next.index += 1;
        change(&mut CatalogEditor(&mut next));
        state.versions.push_back(Version {
            since: Some(Instant::now()),
            catalog: Arc::new(next),
        });
        if state.versions.len() > MAX_VERSIONS {
            state.versions.pop_front();
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Registers an instance, or registers it anew.
    pub fn register(&self, instance: Instance) {
        self.change(|catalog| catalog.put(instance));
    }

    /// Removes an instance.
    pub fn deregister(&self, id: &str) {
        self.change(|catalog| catalog.remove(id));
    }

    /// Removes all instances.
    pub fn deregister_all(&self) {
        self.change(|catalog| catalog.instances_mut().clear());
    }

    /// Sets the status of an instance's own check.
    pub fn set_status(&self, id: &str, status: &str) {
        self.change(|catalog| {
            catalog.edit(id, |instance| {
                instance
                    .checks
                    .insert(format!("service:{id}"), status.into());
            });
        });
    }

    /// Sets or ends the maintenance mode of an instance.
    pub fn set_maintenance(&self, id: &str, on: bool) {
        self.change(|catalog| {
            catalog.edit(id, |instance| {
                let check = format!("_service_maintenance:{id}");
                if on {
                    instance.checks.insert(check, "critical".into());
                } else {
                    instance.checks.remove(&check);
                }
            });
        });
    }

    /// The current catalog.
    #[must_use]
    pub fn catalog(&self) -> Catalog {
        Catalog::clone(self.state().newest())
    }

    /// Replaces the catalog by one of another time or another agent.
    pub fn restore(&self, catalog: Catalog) {
        let mut state = self.state();
        state.versions.clear();
        state.versions.push_back(Version {
            since: None,
            catalog: Arc::new(catalog),
        });
        drop(state);
        self.shared.1.notify_all();
    }

    /// Injects a fault into all responses from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
        self.shared.1.notify_all();
    }

    /// Sets how far the agent lags from now on.
    pub fn set_lag(&self, lag: Duration) {
        self.state().lag = lag;
    }

    /// Closes all connections and accepts no more, or accepts connections again.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        let mut state = self.state();
        state.is_unreachable = is_unreachable;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both); // It may have been closed by the client.
        }
    }

    /// Requires this token from now on.
    pub fn require_token(&self, token: &str) {
        self.state().token = Some(token.into());
    }

    /// The request lines of all queries, in order.
    #[must_use]
    pub fn queries(&self) -> Vec<String> {
        self.state().queries.clone()
    }

    /// How many queries were received.
    #[must_use]
    pub fn query_count(&self) -> usize {
        self.state().query_count
    }

    /// All responses that were written completely, in order.
    #[must_use]
    pub fn responses(&self) -> Vec<RecordedResponse> {
        self.state().responses.clone()
    }

    /// Records neither queries nor responses from now on, for long runs.
    pub fn stop_recording(&self) {
        self.state().is_recording = false;
    }

    fn connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true); // It only makes responses arrive sooner.
        let mut input = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(request) = Message::read(&mut input) {
            let mut state = self.state();
            state.query_count += 1;
            if state.is_recording {
                state.queries.push(request.first.clone());
            }
            let allowed = state
                .token
                .as_ref()
                .is_none_or(|token| request.header("x-consul-token") == Some(token));
            drop(state);
            let stays_open = if allowed {
                self.respond(&mut stream, &request)
            } else {
                write_response(&mut stream, "403 Forbidden", "", b"Permission denied")
            };
            if !stays_open {
                let _ = stream.shutdown(Shutdown::Both); // The client sees the end either way.
                return;
            }
        }
    }

    /// Responds to a request; returns whether the connection stays open.
    fn respond(&self, stream: &mut TcpStream, request: &Message) -> bool {
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
            .map(percent_decode)
            .collect();
        let path: Vec<_> = path.iter().map(String::as_str).collect();
        match (method, path.as_slice()) {
            ("GET", ["health" | "catalog", "service", service]) => {
                self.list_instances(stream, path[0] == "health", service, &query)
            }
            ("GET", ["catalog", "services"]) => {
                let mut services = BTreeMap::<_, Vec<String>>::new();
                let catalog = self.catalog();
                for instance in catalog.instances() {
                    services
                        .entry(&instance.service)
                        .or_default()
                        .extend(instance.tags.clone());
                }
                let body = json!(services).to_string();
                write_response(
                    stream,
                    "200 OK",
                    &headers(&Fault::None, catalog.index),
                    body.as_bytes(),
                )
            }
            ("GET", ["status", "leader"]) => {
                write_response(stream, "200 OK", "", b"\"127.0.0.1:8300\"")
            }
            ("GET", ["agent", "self"]) => {
                let body =
                    json!({"Config": {"Datacenter": "dc1", "NodeName": "fake", "Server": true}});
                write_response(stream, "200 OK", "", body.to_string().as_bytes())
            }
            ("PUT", ["agent", rest @ ..]) => {
                let done = self.handle_agent_api(rest, &query, &request.body);
                write_response(
                    stream,
                    if done { "200 OK" } else { "400 Bad Request" },
                    "",
                    b"",
                )
            }
            _ => write_response(stream, "404 Not Found", "", b"no such page"),
        }
    }

    /// Handles a request of the agent API; returns whether it is valid.
    fn handle_agent_api(&self, path: &[&str], query: &[(&str, &str)], body: &[u8]) -> bool {
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
                self.change(|catalog| catalog.node_maintenance(enable));
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

    fn list_instances(
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
            .and_then(parse_duration)
            .unwrap_or(DEFAULT_WAIT)
            .min(MAX_WAIT);
        let Some((fault, catalog)) = self.block(index, wait) else {
            return false;
        };
        let tags: Vec<_> = query
            .iter()
            .filter(|(name, _)| *name == "tag")
            .map(|(_, tag)| percent_decode(tag))
            .collect();
        let is_selected = |registered: &&Arc<RegisteredInstance>| {
            let instance = &registered.instance;
            instance.service == service
                && tags.iter().all(|tag| instance.tags.contains(tag))
                && (value("passing").is_none() || instance.is_passing())
        };
        let selected: Vec<_> = catalog.instances.values().filter(is_selected).collect();
        let texts = selected.iter().map(|registered| {
            if health {
                &registered.health
            } else {
                &registered.catalog
            }
        });
        let body = match &fault {
            Fault::Body(body) => body.clone(),
            _ => format!(
                "[{}]",
                texts.map(String::as_str).collect::<Vec<_>>().join(",")
            ),
        };
        let head = headers(&fault, catalog.index);
        match fault {
            Fault::Status(status) => {
                write_response(stream, &format!("{status} Fault"), &head, b"fault")
            }
            Fault::Truncate(at) => {
                let whole = format!(
                    "HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all(whole.as_bytes()); // The connection ends either way.
                let _ = stream.write_all(&body.as_bytes()[..at.min(body.len().saturating_sub(1))]);
                false
            }
            Fault::Endless => {
                let start = format!("HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n[");
                let one = format!(
                    "{},",
                    selected
                        .first()
                        .map_or("{}", |registered| registered.health.as_str())
                )
                .repeat(64);
                let mut is_open = stream.write_all(start.as_bytes()).is_ok();
                for _ in 0..MAX_PIECES {
                    is_open = is_open && stream.write_all(one.as_bytes()).is_ok();
                }
                false
            }
            fault => {
                let started_at = Instant::now();
                let is_complete = write_response(stream, "200 OK", &head, body.as_bytes());
                if is_complete {
                    self.record_response(started_at, &fault, &catalog, &selected);
                }
                is_complete
            }
        }
    }

    fn record_response(
        &self,
        started_at: Instant,
        fault: &Fault,
        catalog: &Catalog,
        selected: &[&Arc<RegisteredInstance>],
    ) {
        let mut state = self.state();
        if !state.is_recording || matches!(fault, Fault::Body(_)) {
            return;
        }
        let ids = |draining: bool| {
            let some = selected
                .iter()
                .filter(|registered| registered.instance.is_in_maintenance() == draining);
            some.map(|registered| registered.instance.id.clone())
                .collect()
        };
        let response = RecordedResponse {
            started_at,
            completed_at: Instant::now(),
            index: catalog.index,
            draining: ids(true),
            others: ids(false),
        };
        state.responses.push(response);
    }

    /// Waits until the visible catalog is newer than `index`, or the wait is over. `None`: the agent has become
    /// unreachable, and there is no response.
    fn block(&self, index: u64, wait: Duration) -> Option<(Fault, Arc<Catalog>)> {
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let now = Instant::now();
            let visible = Arc::clone(state.visible());
            let responds = match state.fault {
                _ if state.is_unreachable => return None,
                Fault::Never => false,
                Fault::None | Fault::NoLeader | Fault::LastContact(_) | Fault::Cached(_) => {
                    visible.index > index || now >= end
                }
                _ => true,
            };
            if responds {
                return Some((state.fault.clone(), visible));
            }
            let interval = if state.lag.is_zero() {
                Duration::from_millis(200)
            } else {
                LAG_POLL_INTERVAL
            };
            let left = end
                .saturating_duration_since(now)
                .clamp(Duration::from_millis(1), interval);
            state = self
                .shared
                .1
                .wait_timeout(state, left)
                .expect("no thread panics with the lock")
                .0;
        }
    }
}

/// Edits a catalog, within one index.
pub struct CatalogEditor<'a>(&'a mut Catalog);

impl CatalogEditor<'_> {
    /// Adds an instance, or replaces the one of the same id.
    pub fn put(&mut self, mut instance: Instance) {
        let before = self.0.instances.get(&instance.id);
        instance.create_index = before.map_or(self.0.index, |before| before.instance.create_index);
        instance.modify_index = self.0.index;
        let (health, catalog) = (instance.health_json(), instance.catalog_json());
        let id = instance.id.clone();
        self.0.instances.insert(
            id,
            Arc::new(RegisteredInstance {
                instance,
                health,
                catalog,
            }),
        );
    }

    /// Removes an instance.
    pub fn remove(&mut self, id: &str) {
        self.0.instances.remove(id);
    }

    /// Edits an instance, if it exists.
    pub fn edit(&mut self, id: &str, edit: impl FnOnce(&mut Instance)) {
        if let Some(registered) = self.0.instances.get(id) {
            let mut instance = registered.instance.clone();
            edit(&mut instance);
            self.put(instance);
        }
    }

    fn instances_mut(&mut self) -> &mut BTreeMap<String, Arc<RegisteredInstance>> {
        &mut self.0.instances
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

/// The headers of a response.
fn headers(fault: &Fault, index: u64) -> String {
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

fn write_response(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

/// Parses a duration in Go's format: a number and one unit.
fn parse_duration(text: &str) -> Option<Duration> {
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

/// Decodes percent-encoding.
fn percent_decode(text: &str) -> String {
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
