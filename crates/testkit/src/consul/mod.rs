//! A fake Consul agent, written from Consul's published HTTP API documentation. It keeps one catalog in memory and
//! answers blocking queries. On request it lags, responds incorrectly, loses its data or becomes unreachable.
//!
//! It implements `/v1/health/service/:name` (with `passing`), `/v1/catalog/service/:name`, `/v1/catalog/services`,
//! `/v1/status/leader`, `/v1/agent/self`, and of the agent API `service/register`, `service/deregister/:id`,
//! `service/maintenance/:id`, `maintenance` and `check/update/:id`. It evaluates the query parameters `index`,
//! `wait`, `tag` and `passing`, and ignores all others, such as `stale`, `consistent` and `cached`. It has one node,
//! one datacenter, and no ACLs except a single token.

mod catalog;
mod http;
mod service_query;
mod state;

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::message::Message;
use catalog::{parse_registration, RegisteredInstance};
use http::{headers, percent_decode, write_endless, write_response, write_truncated};
use service_query::ServiceQuery;
use state::{State, Version};

pub use catalog::{Catalog, CatalogEditor, Instance};

/// Maximum number of catalog versions kept for an agent that lags.
const MAX_VERSIONS: usize = 4_096;
/// Interval at which an agent that lags checks whether a later version has become visible.
const LAG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time between a response and the second one of [`Fault::SecondResponse`].
pub const SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// A fault in the responses to queries for service instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Responds with this status.
    Status(u16),
    /// Closes the connection after this many bytes of the body.
    Truncate(usize),
    /// Reads the query and never responds.
    Never,
    /// Responds with a body that does not end.
    Endless,
    /// Responds with this body.
    Body(String),
    /// Responds at once, whatever index the query blocks on.
    Immediate,
    /// Returns this index in place of the catalog's.
    Index(u64),
    /// Writes, [`SECOND_RESPONSE_DELAY`] after each response, a second one without instances and with this index.
    SecondResponse(u64),
    /// Reports that the cluster has no known leader.
    NoLeader,
    /// Reports that its last contact with the leader was this many milliseconds ago.
    LastContact(u64),
    /// Reports that the response comes from a cache and has this age, in seconds.
    Cached(u64),
}

/// A response that was written completely.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedResponse {
    /// Time just before its first byte was written.
    pub started_at: Instant,
    /// Time just after its last byte was written.
    pub completed_at: Instant,
    /// Index of the catalog that it was built from.
    pub index: u64,
    /// IDs of its instances in maintenance mode.
    pub draining: Vec<String>,
    /// IDs of its instances that are not in maintenance mode.
    pub not_draining: Vec<String>,
}

/// A fake Consul agent. Clones are handles to the same agent.
#[derive(Clone)]
pub struct Consul {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Consul {
    /// Starts an agent with an empty catalog on a free port.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into()).expect("bind a loopback socket")
    }

    /// Starts an agent at an address.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
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
                let handle = stream.try_clone().expect("duplicate a socket");
                serving.state().connections.push(handle);
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
            .expect("no thread panics while it holds the lock")
    }

    /// Edits the catalog and increments its index by one.
    pub fn change(&self, edit: impl FnOnce(&mut CatalogEditor<'_>)) {
        let mut state = self.state();
        let mut next = Catalog::clone(state.newest());
        next.index += 1;
        edit(&mut CatalogEditor(&mut next));
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

    /// Registers an instance, or replaces the one with the same ID.
    pub fn register(&self, instance: Instance) {
        self.change(|catalog| catalog.put(instance));
    }

    /// Removes an instance.
    pub fn deregister(&self, id: &str) {
        self.change(|catalog| catalog.remove(id));
    }

    /// Removes all instances.
    pub fn deregister_all(&self) {
        self.change(|catalog| catalog.0.instances.clear());
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

    /// Turns the maintenance mode of an instance on or off.
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

    /// Replaces the catalog and drops its earlier versions, as when an agent is restored from a snapshot or replaced by
    /// another agent.
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

    /// Injects a fault into all responses to queries for service instances from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
        self.shared.1.notify_all();
    }

    /// Sets by how much the agent's view of the catalog lags from now on.
    pub fn set_lag(&self, lag: Duration) {
        self.state().lag = lag;
    }

    /// Closes all connections and accepts no more, or accepts connections again.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        let mut state = self.state();
        state.is_unreachable = is_unreachable;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both); // The client may have closed it already.
        }
    }

    /// Requires this token from now on.
    pub fn require_token(&self, token: &str) {
        self.state().token = Some(token.into());
    }

    /// Request lines of all queries, in order of arrival.
    #[must_use]
    pub fn queries(&self) -> Vec<String> {
        self.state().queries.clone()
    }

    /// Number of queries received.
    #[must_use]
    pub fn query_count(&self) -> usize {
        self.state().query_count
    }

    /// All responses to queries for service instances that were written completely, in order.
    #[must_use]
    pub fn responses(&self) -> Vec<RecordedResponse> {
        self.state().responses.clone()
    }

    /// Records neither queries nor responses from now on, for long runs.
    pub fn stop_recording(&self) {
        self.state().is_recording = false;
    }

    fn connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true); // Responses only arrive later without it.
        let mut input = BufReader::new(stream.try_clone().expect("duplicate a socket"));
        while let Some(request) = Message::read(&mut input) {
            let mut state = self.state();
            state.query_count += 1;
            if state.is_recording {
                state.queries.push(request.start_line.clone());
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
                let _ = stream.shutdown(Shutdown::Both); // An error means that it is already closed.
                return;
            }
        }
    }

    /// Responds to a request; returns whether the connection stays open.
    fn respond(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let mut words = request.start_line.split(' ');
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
                let query = ServiceQuery::parse(path[0] == "health", service, &query);
                self.list_instances(stream, &query)
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
                let is_valid = self.handle_agent_api(rest, &query, &request.body);
                write_response(
                    stream,
                    if is_valid {
                        "200 OK"
                    } else {
                        "400 Bad Request"
                    },
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
                    .and_then(|body| parse_registration(&body));
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
                self.change(|catalog| catalog.set_node_maintenance(enable));
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

    /// Responds to a query for a service's instances; returns whether the connection stays open.
    fn list_instances(&self, stream: &mut TcpStream, query: &ServiceQuery<'_>) -> bool {
        let Some((fault, catalog)) = self.block(query.index, query.wait) else {
            return false;
        };
        let selected: Vec<_> = catalog
            .instances
            .values()
            .filter(|registered| query.selects(&registered.instance))
            .collect();
        let body = match &fault {
            Fault::Body(body) => body.clone(),
            _ => query.body(&selected),
        };
        let headers = headers(&fault, catalog.index);
        match fault {
            Fault::Status(status) => {
                write_response(stream, &format!("{status} Fault"), &headers, b"fault")
            }
            Fault::Truncate(at) => {
                write_truncated(stream, &headers, &body, at);
                false
            }
            Fault::Endless => {
                write_endless(stream, &headers, selected.first().copied());
                false
            }
            fault => {
                let started_at = Instant::now();
                let is_complete = write_response(stream, "200 OK", &headers, body.as_bytes());
                if is_complete {
                    self.record_response(started_at, &fault, &catalog, &selected);
                }
                if let Fault::SecondResponse(index) = fault {
                    write_second_response(stream, index);
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
            let matching = selected
                .iter()
                .filter(|registered| registered.instance.is_in_maintenance() == draining);
            matching
                .map(|registered| registered.instance.id.clone())
                .collect()
        };
        let response = RecordedResponse {
            started_at,
            completed_at: Instant::now(),
            index: catalog.index,
            draining: ids(true),
            not_draining: ids(false),
        };
        state.responses.push(response);
    }

    /// Waits until the visible catalog is newer than `index`, the wait time is over, or a fault requires an immediate
    /// response. Returns `None`, and no response is sent, if the agent has become unreachable.
    fn block(&self, index: u64, wait: Duration) -> Option<(Fault, Arc<Catalog>)> {
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let now = Instant::now();
            let visible = Arc::clone(state.visible());
            let responds = match state.fault {
                _ if state.is_unreachable => return None,
                Fault::Never => false,
                Fault::None
                | Fault::NoLeader
                | Fault::LastContact(_)
                | Fault::Cached(_)
                | Fault::SecondResponse(_) => visible.index > index || now >= end,
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
            let remaining = end
                .saturating_duration_since(now)
                .clamp(Duration::from_millis(1), interval);
            state = self
                .shared
                .1
                .wait_timeout(state, remaining)
                .expect("no thread panics while it holds the lock")
                .0;
        }
    }
}

/// Writes a response without instances after a delay, whatever the connection carries by then.
fn write_second_response(stream: &TcpStream, index: u64) {
    let mut stream = stream.try_clone().expect("duplicate a socket");
    thread::spawn(move || {
        thread::sleep(SECOND_RESPONSE_DELAY);
        let headers = headers(&Fault::Index(index), index);
        write_response(&mut stream, "200 OK", &headers, b"[]");
    });
}
