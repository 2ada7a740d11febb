//! Consul's agents over sockets: carries out what a [`Watch`] asks for and brings the view what it tells.

use std::future::{pending, Future};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use consul::{Action, Event, News, Said, State as Stated, Trouble, Watch, WatchSettings};
use endpoint_discovery::{
    Assertion, Endpoint, Freshness, Lifecycle, Removal, SourceId, SourcePolicy, SourceUpdate,
};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ACCEPT, HOST};
use hyper::{Request, Response};
use socket2::{SockRef, TcpKeepalive};

use crate::node::admin::log;
use crate::node::discovery::connection::Connection;
use crate::node::discovery::updates::EndpointUpdates;

/// How long a connection to an agent may take: it is near.
const CONNECTING: Duration = Duration::from_secs(2);
/// The longest token; Consul's own are 36 characters.
const MOST_TOKEN: usize = 4 * 1024;
/// An agent's machine that has vanished is noticed after these: quiet for the first, then so many times the second
/// without an answer. That is 20 s, and not the end of the wait.
const KEEPALIVE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(5));
const KEEPALIVE_RETRIES: u32 = 2;

/// A service to follow.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsulSource {
    /// How far it is believed; its name is there, too.
    pub policy: SourcePolicy,
    /// The agents, in the order in which they are tried.
    pub agents: Vec<SocketAddr>,
    /// The file that holds the token.
    pub token_file: Option<PathBuf>,
    /// What is asked, and how it is read.
    pub watch: WatchSettings,
}

/// Follows a service for as long as the future is polled. Dropping it ends its connections and nothing else.
pub async fn follow(
    updates: Rc<EndpointUpdates>,
    source: SourceId,
    settings: ConsulSource,
    seed: u64,
) {
    let mut watch = Watch::new(settings.watch.clone(), seed);
    let mut exchange = Exchange::new(settings);
    let (mut actions, mut wake_at_ms) = (Vec::new(), 0.0);
    watch.handle(updates.driver().now_ms(), Event::Due, &mut actions);
    loop {
        for action in actions.drain(..) {
            match action {
                Action::Ask { agent, path } => exchange.ask(agent, &path),
                Action::HangUp => exchange.hang_up(),
                Action::WakeAt(at) => wake_at_ms = at,
                Action::Tell(news) => updates.handle(listed(source, news)),
                Action::Lost => updates.handle(endpoint_discovery::Event::SourceLost { source }),
                Action::Trouble { agent, trouble } => exchange.log(agent, &trouble),
            }
        }
        let left_ms = (wake_at_ms - updates.driver().now_ms()).max(0.0);
        let left = Duration::try_from_secs_f64(left_ms / 1e3).unwrap_or(Duration::MAX);
        let came = tokio::select! {
            came = exchange.next() => Some(came),
            () = tokio::time::sleep(left) => None,
        };
        let now = updates.driver().now_ms();
        match came {
            None => watch.handle(now, Event::Due, &mut actions),
            Some(Came::Head(answer)) => {
                let headers = answer.headers().iter();
                let headers: Vec<_> = headers
                    .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
                    .collect();
                let status = answer.status().as_u16();
                watch.handle(
                    now,
                    Event::Head {
                        status,
                        headers: &headers,
                    },
                    &mut actions,
                );
                exchange.read(answer.into_body());
            }
            Some(Came::Body(piece)) => watch.handle(now, Event::Body(&piece), &mut actions),
            Some(Came::End) => watch.handle(now, Event::End, &mut actions),
            Some(Came::Broken(why)) => watch.handle(now, Event::Broken(why), &mut actions),
        }
    }
}

/// What Consul tells, in the view's words.
fn listed(source: SourceId, news: News) -> endpoint_discovery::Event {
    let freshness = if news.fresh {
        Freshness::Current
    } else {
        Freshness::Outdated
    };
    let index = news.index;
    let words = news.words.iter().map(|said| word(said, index)).collect();
    let left = news
        .left
        .into_iter()
        .map(|key| Removal {
            key,
            version: index,
        })
        .collect();
    let update = SourceUpdate {
        freshness,
        epoch: news.history,
        assertions: words,
        removals: left,
    };
    endpoint_discovery::Event::SourceUpdated { source, update }
}

fn word(said: &Said, index: u64) -> Assertion {
    let facts = &said.facts;
    let endpoint = Endpoint {
        id: said.key.clone(),
        address: facts.address,
        alternate_addresses: facts.others.clone(),
        lifecycle: state(said.state),
        zone: facts.zone.clone().unwrap_or_default(),
        machine_type: facts.kind.clone().unwrap_or_default(),
        cell: facts.cell,
        started_at_ms: facts.started_at_ms.unwrap_or(0.0),
        weight: facts.weight,
    };
    Assertion {
        key: said.key.clone(),
        lifecycle: state(said.state),
        version: index,
        endpoint: Some(endpoint),
    }
}

fn state(state: Stated) -> Lifecycle {
    match state {
        Stated::Ready => Lifecycle::Ready,
        Stated::Draining => Lifecycle::Draining,
        Stated::Gone => Lifecycle::Gone,
    }
}

/// What has come of an exchange.
enum Came {
    Head(Response<Incoming>),
    Body(Bytes),
    End,
    Broken(String),
}

/// An answer, with the agent and the connection that it came from.
type Asked = Result<(Response<Incoming>, usize, Connection), String>;

enum Step {
    Idle,
    Asking(Pin<Box<dyn Future<Output = Asked>>>),
    Reading(Incoming),
}

/// One exchange at a time, on a connection that is kept while it goes to the same agent.
struct Exchange {
    settings: ConsulSource,
    state: Step,
    /// And which agent it goes to.
    connection: Option<(usize, Connection)>,
}

impl Exchange {
    fn new(settings: ConsulSource) -> Self {
        Self {
            settings,
            state: Step::Idle,
            connection: None,
        }
    }

    fn ask(&mut self, agent: usize, path: &str) {
        let kept = self
            .connection
            .take()
            .filter(|(to, kept)| *to == agent && kept.is_ready());
        let address = self.settings.agents[agent];
        let request = self.request(address, path);
        self.state = Step::Asking(Box::pin(async move {
            let request = request?;
            let mut connection = match kept {
                Some((_, kept)) => kept,
                None => connect(address).await?,
            };
            let answer = connection.send(request).await;
            Ok((
                answer.map_err(|error| error.to_string())?,
                agent,
                connection,
            ))
        }));
    }

    fn request(&self, address: SocketAddr, path: &str) -> Result<Request<Empty<Bytes>>, String> {
        let mut request = Request::get(path)
            .header(HOST, address.to_string())
            .header(ACCEPT, "application/json");
        if let Some(file) = &self.settings.token_file {
            request = request.header("x-consul-token", token(file)?);
        }
        request
            .body(Empty::new())
            .map_err(|error| error.to_string())
    }

    fn read(&mut self, body: Incoming) {
        // A head that was refused has been hung up on already.
        if self.connection.is_some() {
            self.state = Step::Reading(body);
        }
    }

    fn hang_up(&mut self) {
        self.state = Step::Idle;
        self.connection = None;
    }

    /// What comes next; nothing while nothing is asked. It may be dropped midway.
    async fn next(&mut self) -> Came {
        let came = match &mut self.state {
            Step::Idle => pending().await,
            Step::Asking(asked) => match asked.await {
                Ok((answer, agent, connection)) => {
                    self.connection = Some((agent, connection));
                    Came::Head(answer)
                }
                Err(why) => Came::Broken(why),
            },
            Step::Reading(body) => match body.frame().await {
                Some(Ok(frame)) => Came::Body(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => Came::Broken(error.to_string()),
                None => Came::End,
            },
        };
        match &came {
            Came::Head(_) | Came::End => self.state = Step::Idle,
            Came::Broken(_) => self.hang_up(),
            Came::Body(_) => {}
        }
        came
    }

    fn log(&self, agent: usize, trouble: &Trouble) {
        let (name, agent) = (&self.settings.policy.name, self.settings.agents[agent]);
        match trouble {
            Trouble::Unreachable(why) => {
                log::line(format_args!("{name}: agent {agent} cannot be asked: {why}"));
            }
            Trouble::Status(status) => {
                log::line(format_args!("{name}: agent {agent} answered {status}"));
            }
            Trouble::Forbidden => log::line(format_args!(
                "{name}: agent {agent} does not take the token"
            )),
            Trouble::Silent => log::line(format_args!(
                "{name}: agent {agent} does not answer in time"
            )),
            Trouble::Answer(why) => {
                log::line(format_args!(
                    "{name}: the answer of agent {agent} is of no use: {why}"
                ));
            }
            Trouble::Instances(why) => log::line(format_args!("{name}: agent {agent}: {why}")),
            Trouble::Nameless(count) => {
                log::line(format_args!(
                    "{name}: {count} instances name no server; see `id` in the operators' file"
                ));
            }
            Trouble::Index => {
                log::line(format_args!(
                    "{name}: the index of agent {agent} went back or stood; its word is doubted"
                ));
            }
        }
    }
}

/// The token, read anew for each query, so that it can be replaced while the node runs.
fn token(file: &std::path::Path) -> Result<HeaderValue, String> {
    let unreadable = |error: io::Error| format!("the token's file cannot be read: {error}");
    let mut text = Vec::new();
    // Guards against a file that has no end.
    let mut limited = std::fs::File::open(file)
        .map_err(unreadable)?
        .take(MOST_TOKEN as u64 + 1);
    limited.read_to_end(&mut text).map_err(unreadable)?;
    let text = text.trim_ascii();
    let mut value = HeaderValue::from_bytes(text)
        .ok()
        .filter(|_| !text.is_empty() && text.len() <= MOST_TOKEN);
    if let Some(value) = &mut value {
        value.set_sensitive(true);
    }
    value.ok_or_else(|| "the token's file holds no token".to_owned())
}

async fn connect(address: SocketAddr) -> Result<Connection, String> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE.0)
        .with_interval(KEEPALIVE.1)
        .with_retries(KEEPALIVE_RETRIES);
    let opened = Connection::open(address, |stream| {
        SockRef::from(stream).set_tcp_keepalive(&keepalive)
    });
    let opened = tokio::time::timeout(CONNECTING, opened).await;
    opened
        .map_err(|_| "no connection in time".to_owned())?
        .map_err(|error| error.to_string())
}
