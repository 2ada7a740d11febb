//! Client of Consul's agents: performs the actions of a [`Watch`], and passes the updates that it
//! reports to the merged view.

mod exchange;
mod token;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use consul::{Action, Event, MappedEndpoint, ServiceUpdate, Watch, WatchSettings};
use endpoint_discovery::{
    Assertion, Endpoint, Freshness, Lifecycle, Removal, SourceId, SourcePolicy, SourceUpdate,
};

use crate::node::admin::log;
use crate::node::discovery::updates::EndpointUpdates;
use exchange::{Exchange, Progress};

/// The settings for following a service in Consul.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsulSource {
    /// The policy of the source, with its name.
    pub policy: SourcePolicy,
    /// The agents, in the order in which they are tried.
    pub agents: Vec<SocketAddr>,
    /// The file that holds the token.
    pub token_file: Option<PathBuf>,
    /// The settings of the watch, such as its query and the mapping of the response.
    pub watch: WatchSettings,
}

/// Follows a service; never completes. Dropping the future closes the connection and leaves the
/// source in the merged view.
pub async fn follow(
    updates: Rc<EndpointUpdates>,
    source: SourceId,
    settings: ConsulSource,
    seed: u64,
) {
    let mut follower = Follower {
        watch: Watch::new(settings.watch.clone(), seed),
        exchange: Exchange::new(settings.agents.clone(), settings.token_file),
        source_name: settings.policy.name,
        agents: settings.agents,
        updates,
        source,
        timer_ms: 0.0,
    };
    follower.handle(Event::TimerExpired);
    loop {
        let remaining_ms = (follower.timer_ms - follower.updates.dispatcher().now_ms()).max(0.0);
        let remaining = Duration::try_from_secs_f64(remaining_ms / 1e3).unwrap_or(Duration::MAX);
        let progress = tokio::select! {
            progress = follower.exchange.next() => Some(progress),
            () = tokio::time::sleep(remaining) => None,
        };
        match progress {
            None => follower.handle(Event::TimerExpired),
            Some(progress) => follower.handle_progress(progress),
        }
    }
}

struct Follower {
    watch: Watch,
    exchange: Exchange,
    source_name: String,
    agents: Vec<SocketAddr>,
    updates: Rc<EndpointUpdates>,
    source: SourceId,
    /// The time at which the watch's timer expires, in milliseconds of the dispatcher's clock.
    timer_ms: f64,
}

impl Follower {
    /// Passes an event to the watch and performs the resulting actions.
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        let now_ms = self.updates.dispatcher().now_ms();
        self.watch.handle(now_ms, event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn handle_progress(&mut self, progress: Progress) {
        match progress {
            Progress::Head(response) => {
                let headers: Vec<_> = response
                    .headers()
                    .iter()
                    .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
                    .collect();
                self.handle(Event::Head {
                    status: response.status().as_u16(),
                    headers: &headers,
                });
                self.exchange.receive_body(response.into_body());
            }
            Progress::Body(piece) => self.handle(Event::Body(&piece)),
            Progress::End => self.handle(Event::End),
            Progress::Failed(error) => self.handle(Event::ConnectionFailed(error.to_string())),
        }
    }

    fn perform(&mut self, action: Action) {
        let source = self.source;
        match action {
            Action::SendQuery { agent, path } => self.exchange.send(agent, &path),
            Action::CloseConnection => self.exchange.close(),
            Action::SetTimer(at_ms) => self.timer_ms = at_ms,
            Action::Report(report) => {
                let update = source_update(report);
                self.updates
                    .handle(endpoint_discovery::Event::SourceUpdated { source, update });
            }
            Action::ReportUnreachable => self
                .updates
                .handle(endpoint_discovery::Event::SourceLost { source }),
            Action::LogError { agent, error } => log::line(format_args!(
                "{}: agent {}: {error}",
                self.source_name, self.agents[agent]
            )),
        }
    }
}

/// Converts the update that a watch reports to an update of the merged view.
fn source_update(report: ServiceUpdate) -> SourceUpdate {
    let version = report.index;
    SourceUpdate {
        freshness: if report.is_current {
            Freshness::Current
        } else {
            Freshness::Outdated
        },
        epoch: report.epoch,
        assertions: report
            .updated
            .iter()
            .map(|mapped| assertion(mapped, version))
            .collect(),
        removals: report
            .removed
            .into_iter()
            .map(|key| Removal { key, version })
            .collect(),
    }
}

fn assertion(mapped: &MappedEndpoint, version: u64) -> Assertion {
    let lifecycle = lifecycle(mapped.lifecycle);
    Assertion {
        key: mapped.key.clone(),
        lifecycle,
        version,
        endpoint: Some(Endpoint {
            id: mapped.key.clone(),
            address: mapped.address,
            alternate_addresses: mapped.alternate_addresses.clone(),
            lifecycle,
            zone: mapped.zone.clone().unwrap_or_default(),
            machine_type: mapped.machine_type.clone().unwrap_or_default(),
            cell: mapped.cell,
            started_at_ms: mapped.started_at_ms.unwrap_or(0.0),
            weight: mapped.weight,
        }),
    }
}

fn lifecycle(lifecycle: consul::Lifecycle) -> Lifecycle {
    match lifecycle {
        consul::Lifecycle::Ready => Lifecycle::Ready,
        consul::Lifecycle::Draining => Lifecycle::Draining,
        consul::Lifecycle::Gone => Lifecycle::Gone,
    }
}
